//! Overhead of the daemon on loopback.
//!
//! Run with `cargo run --release --example loopback`.
//!
//! Measures latency and throughput of callers that connect to simulated
//! upstreams directly and through a daemon, in alternating rounds of one run,
//! and the memory use of an idle caller. The load is bounded and stays on
//! loopback.

#[path = "../common/mod.rs"]
mod common;
mod idle;
mod latency;
mod login;
mod machine;
mod report;

use std::net::SocketAddr;

use argh::FromArgs;
use tokio::task::LocalSet;

use common::cluster::{Cluster, Conf};
use latency::Case;
use report::Report;

/// Connection limit of an upstream, sufficient for the callers of both paths.
const CONNECTIONS: usize = 64;

/// Limit on the daemon's callers.
const CALLERS: usize = 20_000;

/// Numbers of callers for each latency case.
const WIDTHS: [usize; 2] = [1, 8];

/// Numbers of idle callers, measured one after another.
const IDLE: [usize; 2] = [1_000, 10_000];

/// Measures the overhead of the daemon on loopback.
#[derive(Debug, FromArgs)]
struct Args {
    /// print the results as JSON
    #[argh(switch)]
    json: bool,

    /// seed of the random number generators (1)
    #[argh(option, default = "1")]
    seed: u64,

    /// rounds of each latency case; more rounds take longer and vary less (40)
    #[argh(option, default = "40")]
    turns: usize,

    /// skip the memory use of idle callers
    #[argh(switch)]
    no_idle: bool,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let cluster = Cluster::open(Conf {
        daemons: 1,
        callers: CALLERS,
        connections: CONNECTIONS,
        seed: args.seed,
    })?;
    let address = cluster.daemons[0].callers();
    let idle = if args.no_idle {
        Vec::new()
    } else {
        measure_idle(address)?
    };
    let latency = measure_latency(&cluster, address, args.turns)?;
    cluster.stop();
    let report = Report {
        machine: machine::read(),
        seed: args.seed,
        latency,
        idle,
    };
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Runs before the latency cases, since memory freed after those would hide the
/// growth by idle callers.
fn measure_idle(address: SocketAddr) -> anyhow::Result<Vec<idle::Measurement>> {
    let mut callers = idle::IdleCallers::open(address)?;
    IDLE.iter().map(|&count| callers.grow(count)).collect()
}

fn measure_latency(
    cluster: &Cluster,
    address: SocketAddr,
    turns: usize,
) -> anyhow::Result<Vec<latency::Measurement>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let upstreams = cluster.group.addresses();
    let mut measurements = Vec::new();
    for case in Case::ALL {
        for width in WIDTHS {
            let measurement = latency::measure(case, width, turns, &upstreams, address);
            measurements.push(LocalSet::new().block_on(&runtime, measurement)?);
        }
    }
    Ok(measurements)
}
