//! Memory use of idle callers.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, anyhow};
use serde::Serialize;

use crate::{login::log_in, machine};

/// The entry that idle callers connect to.
const ENTRY: &str = "slots";

/// Callers that connect before the first measurement, so that the daemon's
/// one-time allocations are not counted.
const WARM_UP_CALLERS: usize = 100;

/// Number of threads that log callers in. The client
/// derives the keys.
const LOGIN_THREADS: usize = 4;

/// Number of file descriptors reserved for other uses than callers.
const OTHER_FILES: u64 = 300;

/// File descriptors of one caller: both ends of its connection are in this
/// process.
const FILES_PER_CALLER: u64 = 2;

/// Longest time that the daemon may take to read its catalogue.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two attempts to connect.
const READY_PAUSE: Duration = Duration::from_millis(10);

/// Memory use of a number of idle callers.
#[derive(Debug, Serialize)]
pub(crate) struct Measurement {
    /// Requested number of callers.
    pub(crate) wanted: usize,
    /// Number of connected callers, which the limit on file descriptors may
    /// reduce.
    pub(crate) callers: usize,
    /// Resident memory for each caller, in bytes.
    pub(crate) bytes_per_caller: u64,
}

/// Connected idle callers.
pub(crate) struct IdleCallers {
    address: SocketAddr,
    sockets: Vec<TcpStream>,
    before: u64,
}

impl IdleCallers {
    /// Connects the first [`WARM_UP_CALLERS`] callers, which are not measured.
    ///
    /// # Errors
    ///
    /// Fails if a caller can't connect.
    pub(crate) fn open(address: SocketAddr) -> anyhow::Result<Self> {
        let began = Instant::now();
        while let Err(error) = log_in(address, ENTRY) {
            if began.elapsed() > READY_TIMEOUT {
                return Err(error).context("the daemon accepts no callers");
            }
            thread::sleep(READY_PAUSE);
        }
        let mut callers = Self {
            address,
            sockets: Vec::new(),
            before: 0,
        };
        callers.connect(WARM_UP_CALLERS)?;
        callers.before = machine::resident();
        Ok(callers)
    }

    /// Connects callers until there are `wanted` in addition to the first ones.
    ///
    /// # Errors
    ///
    /// Fails if a caller can't connect.
    pub(crate) fn grow(&mut self, wanted: usize) -> anyhow::Result<Measurement> {
        let limit = machine::files().saturating_sub(OTHER_FILES) / FILES_PER_CALLER;
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let callers = wanted.min(limit.saturating_sub(WARM_UP_CALLERS));
        let more = (WARM_UP_CALLERS + callers).saturating_sub(self.sockets.len());
        self.connect(more)?;
        let grown = machine::resident().saturating_sub(self.before);
        Ok(Measurement {
            wanted,
            callers,
            bytes_per_caller: grown / callers.max(1) as u64,
        })
    }

    fn connect(&mut self, count: usize) -> anyhow::Result<()> {
        let address = self.address;
        let shares = (0..LOGIN_THREADS)
            .map(|it| count / LOGIN_THREADS + usize::from(it < count % LOGIN_THREADS));
        let threads: Vec<_> = shares
            .map(|share| thread::spawn(move || connect_share(address, share)))
            .collect();
        for thread in threads {
            let sockets = thread.join().map_err(|_| anyhow!("a login panicked"))??;
            self.sockets.extend(sockets);
        }
        Ok(())
    }
}

fn connect_share(address: SocketAddr, count: usize) -> anyhow::Result<Vec<TcpStream>> {
    (0..count).map(|_| log_in(address, ENTRY)).collect()
}
