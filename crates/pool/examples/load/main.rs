//! Measures goodput and refusals of one upstream at 0.5, 1, 2 and 5 times its
//! capacity.
//!
//! `cargo run --release -p pool --example load [seed]`

mod sim;

use sim::{CAPACITY, KINDS, Policy, Report, run};

const SECONDS: u64 = 60;
const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 5.0];

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(1);
    println!("seed {seed}, {SECONDS} s of virtual time, capacity {CAPACITY}/s");
    for policy in [Policy::Pool] {
        let reports = LOADS.map(|load| run(policy, load, SECONDS, seed));
        let peak = reports.iter().map(Report::done).max().unwrap_or(1);
        println!("\n{policy:?}");
        for (load, report) in LOADS.iter().zip(&reports) {
            print(*load, report, peak);
        }
    }
}

fn print(load: f64, report: &Report, peak: u64) {
    println!(
        "load {load}: goodput {:.1}/s, {:.3} of peak; connections {}",
        report.done() as f64 / SECONDS as f64,
        report.done() as f64 / peak as f64,
        report.connections,
    );
    let kinds = KINDS.iter().zip(&report.kinds).zip(&report.tenants);
    for ((kind, tally), tenants) in kinds {
        let share = |count: u64| count as f64 / tally.first_attempts.max(1) as f64;
        println!(
            "  {:<6} asked {:>6}  in time {:.4}  at first {:.4}  refused {:>6}  cut {:>5}  refusal after mean {:.1} ms, p99 {:.1} ms; by tenant {:?}",
            format!("{:?}", kind.priority),
            tally.first_attempts,
            share(tally.done),
            share(tally.first),
            tally.refusals.len(),
            tally.timed_out,
            tally.mean_refusal() as f64 / 1_000.0,
            tally.p99_refusal() as f64 / 1_000.0,
            tenants,
        );
    }
}
