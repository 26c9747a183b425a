//! The memory of idle callers.

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

/// Callers that are connected before the first measurement, so that what the
/// daemon makes once is not counted to the first callers.
const WARM_UP_CALLERS: usize = 100;

/// Threads that log callers in; the key derivation is the callers' work.
const LOGIN_THREADS: usize = 4;

/// File descriptors for all but the callers.
const OTHER_FILES: u64 = 300;

/// A caller has two ends in this process.
const FILES_PER_CALLER: u64 = 2;

/// How long the daemon may take to read its catalogue.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between two tries to connect.
const READY_PAUSE: Duration = Duration::from_millis(10);

/// What a number of idle callers takes.
#[derive(Debug, Serialize)]
pub(crate) struct Measurement {
    /// The callers that were asked for.
    pub(crate) wanted: usize,
    /// The callers that were connected: as many as the limit on file
    /// descriptors lets in.
    pub(crate) callers: usize,
    /// Bytes of resident memory for each of them.
    pub(crate) bytes_per_caller: u64,
}

/// Idle callers.
pub(crate) struct IdleCallers {
    address: SocketAddr,
    sockets: Vec<TcpStream>,
    before: u64,
}

impl IdleCallers {
    /// Connects the first callers, which are not counted.
    ///
    /// # Errors
    ///
    /// Why a caller could not connect.
    pub(crate) fn open(address: SocketAddr) -> anyhow::Result<Self> {
        let began = Instant::now();
        while let Err(error) = log_in(address, ENTRY) {
            if began.elapsed() > READY_TIMEOUT {
                return Err(error).context("the daemon takes no callers");
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

    /// Connects callers until there are `wanted` beside the first ones.
    ///
    /// # Errors
    ///
    /// Why a caller could not connect.
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
