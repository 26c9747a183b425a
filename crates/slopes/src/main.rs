//! Measures how the fleet's costs grow with its size.

use std::{alloc::System, str::FromStr};

use argh::FromArgs;
use cap::Cap;
use slopes::{measure, table};

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

const NODES_MIN: usize = 3;
const NODES_MAX: usize = 10_000;

/// Measures how the fleet's costs grow with its size, in virtual time.
#[derive(Debug, FromArgs)]
struct Args {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// seed of the random choices (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// fleet sizes to measure, such as 9,90,900,4000
    #[argh(option, default = "Sizes(vec![9, 90, 900, 4000])")]
    nodes: Sizes,
}

#[derive(Debug)]
struct Sizes(Vec<usize>);

/// Error in a list of fleet sizes.
#[derive(Debug, thiserror::Error)]
enum SizesError {
    #[error("{0:?} is not a number of instances")]
    Number(String),
    #[error("{0} instances are outside the range {NODES_MIN} to {NODES_MAX}")]
    Range(usize),
}

impl FromStr for Sizes {
    type Err = SizesError;

    fn from_str(text: &str) -> Result<Self, SizesError> {
        text.split(',')
            .map(parse_size)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

fn parse_size(text: &str) -> Result<usize, SizesError> {
    let size = text.trim().parse();
    let size = size.map_err(|_| SizesError::Number(text.to_owned()))?;
    if !(NODES_MIN..=NODES_MAX).contains(&size) {
        return Err(SizesError::Range(size));
    }
    Ok(size)
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let mut rows = Vec::new();
    for &nodes in &args.nodes.0 {
        rows.extend(measure(nodes, args.seed, || HEAP.allocated()));
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print!("{}", table(&rows));
    }
    Ok(())
}
