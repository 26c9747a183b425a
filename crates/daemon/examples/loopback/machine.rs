//! Properties of the machine and memory use of this process.

use std::{fs, thread};

use serde::Serialize;

/// Properties of the machine.
#[derive(Debug, Serialize)]
pub(crate) struct Machine {
    /// Number of processors available to this process.
    pub(crate) cores: usize,
    /// Memory, in GiB.
    pub(crate) memory_gib: f64,
    /// Load average over the last minute.
    pub(crate) load: f64,
    /// Limit on this process's file descriptors.
    pub(crate) files: u64,
}

/// Reads the machine's properties; a property that can't be read is 0.
pub(crate) fn read() -> Machine {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().and_then(|it| it.parse().ok());
    Machine {
        cores: thread::available_parallelism().map_or(0, usize::from),
        memory_gib: kib("/proc/meminfo", "MemTotal:") as f64 / (1 << 20) as f64,
        load: load.unwrap_or_default(),
        files: files(),
    }
}

/// The resident memory of this process, in bytes.
pub(crate) fn resident() -> u64 {
    kib("/proc/self/status", "VmRSS:") << 10
}

/// Limit on this process's file descriptors.
pub(crate) fn files() -> u64 {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|it| it.strip_prefix("Max open files"));
    first_number(line.unwrap_or_default())
}

fn kib(file: &str, field: &str) -> u64 {
    let text = fs::read_to_string(file).unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix(field));
    first_number(line.unwrap_or_default())
}

fn first_number(text: &str) -> u64 {
    let word = text.split_whitespace().next().unwrap_or_default();
    word.parse().unwrap_or_default()
}
