//! Dandelionlink in one process: `cargo run --release --example quickstart`.
//!
//! Starts a simulated store, three simulated upstreams and two daemons on
//! loopback. A session writes through one instance and reads its write through
//! the other; then the primary crashes, and the next write succeeds on its
//! replacement. Exits with 1 if a step fails.

#[path = "../common/mod.rs"]
mod common;
mod steps;

use argh::FromArgs;
use signal_hook::{consts::SIGINT, iterator::Signals};
use tokio::task::LocalSet;

use common::{
    caller::{PASSWORD, USER},
    cluster::{Cluster, Conf, zone},
};

/// Number of daemons.
const DAEMONS: usize = 2;

/// Limit on a daemon's callers.
const CALLERS: usize = 100;

/// Connection limit of an upstream, as in the larger target deployment.
const CONNECTIONS: usize = 16;

/// Shows a session that moves between two instances, and a change of primary.
#[derive(Debug, FromArgs)]
struct Args {
    /// keep listening afterwards, until Ctrl-C
    #[argh(switch)]
    stay: bool,

    /// seed of the random number generators (1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let mut signals = Signals::new([SIGINT])?;
    let cluster = Cluster::open(Conf {
        daemons: DAEMONS,
        callers: CALLERS,
        connections: CONNECTIONS,
        seed: args.seed,
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, steps::run(&cluster))?;
    if args.stay {
        println!("\nBoth instances keep listening; press Ctrl-C to stop them.");
        print_addresses(&cluster);
        signals.forever().next();
    }
    cluster.stop();
    Ok(())
}

fn print_addresses(cluster: &Cluster) {
    for (index, daemon) in cluster.daemons.iter().enumerate() {
        let address = daemon.callers();
        println!(
            "  {}: postgres://{USER}:{PASSWORD}@{address}/slots",
            zone(index)
        );
    }
    println!("They serve one table, kv(key text primary key, value text).");
}
