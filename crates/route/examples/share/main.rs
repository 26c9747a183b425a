//! Simulates the share of reads that replicas serve, in virtual time, for the sizes of
//! the user Stalgenoot.
//!
//! `cargo run --release -p route --example share -- [seed]`

mod report;
mod setup;
mod trace;
mod world;

fn main() {
    let seed = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let seed = seed.unwrap_or(1);
    report::policies(seed);
    report::probes(seed);
    report::replica_waits(seed);
    report::callers(seed);
    report::unverified(seed);
}
