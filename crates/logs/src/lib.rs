//! Non-blocking JSON log lines.
//!
//! A full pipe, or a reader that has stopped, would block the thread that writes a line, and
//! with it every request of the process. So a line is written only if the output accepts it
//! at once and the rate limit permits it; the next line written reports the number of dropped
//! lines.

use std::{
    fmt::Debug,
    io::Write,
    os::fd::AsFd,
    sync::{
        Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Instant, SystemTime},
};

use logforth::{
    Append, Diagnostic, Error,
    kv::{Key, Value, Visitor},
    record::{Level, Record},
};
use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    io::Errno,
};
use serde_json::{Map, json};

/// Lines written per second.
const RATE: f64 = 150.0;

/// Lines that may be written at once after a quiet period.
const BURST: f64 = 300.0;

/// Longest line in bytes: the size that a writable pipe accepts without blocking.
const MAX_LINE: usize = 4_096;

/// Lines dropped since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the start of the process.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Name of the instance, added to each line.
static INSTANCE: OnceLock<String> = OnceLock::new();

/// Adds the name of the instance to all subsequent lines, since lines of several instances
/// are collected in one place. Only the first call has an effect.
pub fn set_instance(instance: &str) {
    let _ = INSTANCE.set(instance.to_owned());
}

#[derive(Debug)]
struct State<W> {
    out: W,
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

/// Appender that writes records as JSON lines and drops lines that would block or exceed the
/// rate limit.
#[derive(Debug)]
pub struct Appender<W> {
    crates: &'static [&'static str],
    state: Mutex<State<W>>,
}

impl<W: Write + AsFd> Appender<W> {
    /// Creates an appender that writes to `out` all records of `crates`, and of other crates
    /// only those of level warning and above.
    pub fn new(out: W, crates: &'static [&'static str]) -> Self {
        let state = State {
            out,
            tokens: BURST,
            refilled_at: Instant::now(),
            dropped: 0,
        };
        Self {
            crates,
            state: Mutex::new(state),
        }
    }

    fn accepts(&self, record: &Record) -> bool {
        let name = record.target().split("::").next().unwrap_or_default();
        self.crates.contains(&name)
            || matches!(record.level(), Level::Warn | Level::Error | Level::Fatal)
    }
}

struct Fields(Map<String, serde_json::Value>);

impl Visitor for Fields {
    fn visit(&mut self, key: Key, value: Value) -> Result<(), Error> {
        let text = || json!(value.to_string());
        let value = serde_json::to_value(&value).unwrap_or_else(|_| text());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn encode(record: &Record, dropped: u64) -> Result<Vec<u8>, Error> {
    let since_epoch = record.time().duration_since(SystemTime::UNIX_EPOCH);
    let mut fields = Fields(Map::new());
    let at = since_epoch.unwrap_or_default().as_secs_f64();
    fields.0.insert("at".to_owned(), json!(at));
    if let Some(name) = INSTANCE.get() {
        fields.0.insert("instance".to_owned(), json!(name));
    }
    fields
        .0
        .insert("level".to_owned(), json!(record.level().name()));
    fields.0.insert("part".to_owned(), json!(record.target()));
    fields
        .0
        .insert("message".to_owned(), json!(record.payload()));
    if dropped > 0 {
        fields.0.insert("left_out".to_owned(), json!(dropped));
    }
    record.key_values().visit(&mut fields)?;
    let mut line = serde_json::to_vec(&fields.0).unwrap_or_default();
    line.push(b'\n');
    Ok(line)
}

fn is_writable<W: AsFd>(out: &W) -> bool {
    let mut polled = [PollFd::new(out, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    match poll(&mut polled, Some(&no_wait)) {
        Ok(ready) => ready > 0 && polled[0].revents().contains(PollFlags::OUT),
        Err(Errno::INTR) | Err(_) => false,
    }
}

impl<W: Write + AsFd + Debug + Send + 'static> Append for Appender<W> {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if !self.accepts(record) {
            return Ok(());
        }
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(state.refilled_at);
        state.refilled_at = now;
        state.tokens = (state.tokens + elapsed.as_secs_f64() * RATE).min(BURST);
        let line = encode(record, state.dropped)?;
        if state.tokens < 1.0 || line.len() > MAX_LINE || !is_writable(&state.out) {
            state.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        state.tokens -= 1.0;
        if state.out.write_all(&line).is_ok() {
            state.dropped = 0;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
