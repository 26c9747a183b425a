//! Measures the decisions in virtual time and prints the figures.

use anyhow::Context;
use argh::FromArgs;
use policy::report::{FULL, Report};

/// Measure the decisions in virtual time, on both deployments' sizes.
#[derive(Debug, FromArgs)]
struct Args {
    /// print JSON instead of tables
    #[argh(switch)]
    json: bool,
    /// the seed of all that is drawn; any number runs
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
