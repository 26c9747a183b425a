//! Results of a run, as a table or as JSON.

use std::fmt;

use serde::Serialize;

use crate::{idle, latency, machine::Machine};

/// The results of one run.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// The machine of the run.
    pub(crate) machine: Machine,
    /// Seed of the random number generators.
    pub(crate) seed: u64,
    /// Latency and throughput.
    pub(crate) latency: Vec<latency::Measurement>,
    /// Memory use of idle callers.
    pub(crate) idle: Vec<idle::Measurement>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Machine {
            cores,
            memory_gib,
            load,
            files,
        } = self.machine;
        writeln!(
            f,
            "{cores} cores, {memory_gib:.0} GiB, load {load:.1}, {files} file descriptors, seed {}\n",
            self.seed
        )?;
        writeln!(
            f,
            "| case | callers | direct p50/p99 us | through daemon p50/p99 us | added p50/p99 us | requests/s direct | through daemon |"
        )?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- | --- |")?;
        for measurement in &self.latency {
            row(f, measurement)?;
        }
        if self.idle.is_empty() {
            return Ok(());
        }
        writeln!(
            f,
            "\n| idle callers | connected | bytes for each |\n| --- | --- | --- |"
        )?;
        for it in &self.idle {
            writeln!(
                f,
                "| {} | {} | {} |",
                it.wanted, it.callers, it.bytes_per_caller
            )?;
        }
        Ok(())
    }
}

fn row(f: &mut fmt::Formatter<'_>, measurement: &latency::Measurement) -> fmt::Result {
    let (direct, proxied) = (&measurement.direct, &measurement.proxied);
    writeln!(
        f,
        "| {} | {} | {:.0} / {:.0} | {:.0} / {:.0} | {:.0} / {:.0} | {:.0} | {:.0} |",
        measurement.case.title(),
        measurement.callers,
        direct.p50_us,
        direct.p99_us,
        proxied.p50_us,
        proxied.p99_us,
        proxied.p50_us - direct.p50_us,
        proxied.p99_us - direct.p99_us,
        direct.throughput,
        proxied.throughput,
    )
}
