//! Simulates the policies in virtual time and prints a report.

use anyhow::Context;
use argh::FromArgs;
use policy::report::{FULL, Report};

/// Simulate the policies in virtual time with the sizes of both deployments.
#[derive(Debug, FromArgs)]
struct Args {
    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,
    /// seed of the random number generators
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let report = Report::measure(FULL, args.seed);
    if !args.json {
        print!("{report}");
        return Ok(());
    }
    let json = serde_json::to_string_pretty(&report).context("encoding the report as JSON")?;
    println!("{json}");
    Ok(())
}
