//! What the daemon adds on loopback: `cargo run --release --example loopback`.
//!
//! Latency and throughput of callers that ask a stand-in directly and of
//! callers that ask it through a daemon, in turns within one run; and the
//! memory of an idle caller. The load is bounded and stays on loopback.

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

/// Connections of an upstream: enough for the callers on both ways at once.
const CONNECTIONS: usize = 64;

/// Callers that the daemon takes.
const CALLERS: usize = 20_000;

/// The callers of each latency case.
const WIDTHS: [usize; 2] = [1, 8];

/// Idle callers that are connected, one measurement after the other.
const IDLE: [usize; 2] = [1_000, 10_000];

/// Measures what the daemon adds on loopback.
#[derive(Debug, FromArgs)]
struct Args {
    /// print the figures as JSON
    #[argh(switch)]
    json: bool,

    /// where random choices begin (1)
    #[argh(option, default = "1")]
    seed: u64,

    /// turns of each latency case; more take longer and vary less (40)
    #[argh(option, default = "40")]
    turns: usize,

    /// leave out the memory of idle callers
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

/// Measured first: freed memory of the busy callers would hide the idle ones'.
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
