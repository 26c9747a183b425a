//! A temporary working directory per test, in which the tool is run.

use std::{
    env, fs,
    io::Write,
    path::PathBuf,
    process::{self, Command, Stdio},
    sync::atomic::{AtomicUsize, Ordering},
};

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// A directory that is removed on drop.
#[derive(Debug)]
pub(crate) struct Workdir {
    path: PathBuf,
}

/// Result of a run of the tool.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Run {
    /// Standard output as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

impl Workdir {
    pub(crate) fn new() -> Self {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let name = format!("dandelionlink-{}-{number}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self { path }
    }

    /// Writes a file.
    pub(crate) fn file(&self, name: &str, text: &str) {
        fs::write(self.path.join(name), text).unwrap();
    }

    /// Command for the tool with `args` and without inherited environment variables.
    pub(crate) fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dandelionlink"));
        command
            .args(args)
            .current_dir(&self.path)
            .env_clear()
            .env("USER", "imena")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    /// Runs the tool until it exits.
    pub(crate) fn run(&self, args: &[&str]) -> Run {
        wait_for_output(self.command(args).spawn().unwrap())
    }

    /// Runs the tool with `input` on its standard input.
    pub(crate) fn run_with_input(&self, args: &[&str], input: &str) -> Run {
        let mut child = self.command(args).stdin(Stdio::piped()).spawn().unwrap();
        let mut stdin = child.stdin.take().unwrap();
        stdin.write_all(input.as_bytes()).unwrap();
        drop(stdin);
        wait_for_output(child)
    }
}

/// Waits for a run and collects its exit code and output.
pub(crate) fn wait_for_output(child: process::Child) -> Run {
    let output = child.wait_with_output().unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A catalogue with one entry that is limited to `connections`.
pub(crate) fn catalog(connections: u16) -> String {
    format!(
        r#"[tenant.yard.users]
app = "SCRAM-SHA-256$4096:c2FsdA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

[database.core]
dbname = "booking"
upstream.a = {{ address = "10.0.0.1:5432", zone = "z1", slots = 2, connections = 16 }}
upstream.b = {{ address = "10.0.0.2:5432", zone = "z2", slots = 2, connections = 16 }}
upstream.c = {{ address = "10.0.0.3:5432", zone = "z3", slots = 2, connections = 16 }}

[entry.calendar]
tenant = "yard"
database = "core"
freshness = "age"
staleness_ms = 5000
connections = {connections}
queue = 100
deadline_ms = 2000
"#
    )
}
