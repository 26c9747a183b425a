//! `dandelionlink`, the operators' command-line tool.
//!
//! `main` only dispatches. Each command is a module of `cmd` with its flags, help
//! text and `run` function. Results go to standard output, warnings and errors to
//! standard error; the module `exit` lists the exit codes.

mod cmd;
mod error;
mod exit;
mod fleet;
mod http;
mod sender;
mod settings;
mod store;
mod summary;
mod util;

use std::{env, process::ExitCode};

use argh::FromArgs;
use ntex::rt::{DefaultRuntime, System};

use crate::{cmd::Cmd, exit::Exit};

/// Manages the catalogue of dandelionlink and shows the state of its instances.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The store's endpoints come from --store or DANDELIONLINK_STORE, the
operators' ports of the instances from --instance or DANDELIONLINK_INSTANCES; a
flag takes precedence over its variable. Each is a list of IP:PORT separated by
commas.",
    error_code(0, "The command succeeded."),
    error_code(1, "The command failed, or the catalogue has errors."),
    error_code(2, "The command line or a setting is wrong."),
    error_code(3, "Another change was committed first; nothing was changed."),
    error_code(4, "The timeout expired."),
    error_code(5, "Some instances did not answer.")
)]
struct Args {
    #[argh(subcommand)]
    cmd: Cmd,
}

fn main() -> ExitCode {
    let words: Vec<String> = env::args_os()
        .map(|word| word.to_string_lossy().into_owned())
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, rest) = words.split_first().unwrap_or((&"dandelionlink", &[]));
    let name = name.rsplit('/').next().unwrap_or(name);

    let args = match Args::from_args(&[name], rest) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return Exit::Success.into();
        }
        Err(early) => {
            eprintln!("{}", early.output);
            return Exit::Usage.into();
        }
    };
    let system = System::new(name, DefaultRuntime);
    match system.block_on(args.cmd.run()) {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("{name}: {}", util::sanitize_lines(&err.to_string()));
            err.exit().into()
        }
    }
}
