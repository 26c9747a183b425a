//! `dandelionlink wait`

use std::time::Duration;

use argh::FromArgs;
use clock::Clock;
use ntex::time::sleep;
use serde::Serialize;
use view::{Revision, Status};

use crate::{
    error::Error,
    exit::Exit,
    fleet::{self, Answer},
    settings::{self, INSTANCES},
    summary::Summary,
    util,
};

/// Delay between two rounds of queries.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Default timeout in seconds.
const TIMEOUT_S: u64 = 30;

/// Wait until a revision is in force at all reachable instances.
///
/// The instances given are queried, and the instances that these know count as
/// well. Unreachable instances are listed; they apply the revision when they
/// are reachable again.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "wait",
    example = "{command_name} --revision 42 --timeout 20",
    error_code(0, "The revision is in force at all reachable instances."),
    error_code(1, "No instance answered before the timeout."),
    error_code(2, "The command line or a setting is wrong."),
    error_code(4, "The timeout expired; instances that lack the revision are listed.")
)]
pub(crate) struct Args {
    /// the revision, as `apply` printed it
    #[argh(option)]
    revision: Revision,

    /// seconds to wait, 30 by default
    #[argh(option, default = "TIMEOUT_S")]
    timeout: u64,

    /// operators' ports of the instances, IP:PORT separated by commas (DANDELIONLINK_INSTANCES)
    #[argh(option)]
    instance: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

/// Instances with and without a revision.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
struct Progress {
    revision: Revision,
    in_force: Vec<String>,
    lacking: Vec<String>,
    unreachable: Vec<String>,
}

impl Progress {
    fn of(revision: Revision, answers: &[Answer<Status>]) -> Result<Self, Error> {
        let (found, failed) = fleet::partition(answers)?;
        let mut progress = Self {
            revision,
            unreachable: failed,
            ..Self::default()
        };
        for (name, instance) in &Summary::of(&found).instances {
            let name = format!("{name} in zone {}", instance.zone);
            if instance.holds(revision) {
                progress.in_force.push(name);
            } else if instance.is_reachable() {
                progress.lacking.push(name);
            } else {
                progress.unreachable.push(name);
            }
        }
        Ok(progress)
    }
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let addresses = settings::addresses(INSTANCES, args.instance.as_deref())?;
    let clock = Clock::open();
    let end = clock.now() + Duration::from_secs(args.timeout);
    loop {
        let answers = fleet::ask::<Status>(&addresses, view::STATUS).await?;
        let progress = Progress::of(args.revision, &answers);
        let is_over = clock.now() >= end;
        match progress {
            Ok(progress) if progress.lacking.is_empty() => {
                print_progress(args, &progress)?;
                return Ok(Exit::Success);
            }
            Ok(progress) if is_over => {
                print_progress(args, &progress)?;
                return Ok(Exit::TimedOut);
            }
            Err(err) if is_over => return Err(err),
            Ok(_) | Err(_) => sleep(POLL_INTERVAL).await,
        }
    }
}

fn print_progress(args: &Args, progress: &Progress) -> Result<(), Error> {
    if args.json {
        return util::print_json(progress);
    }
    let mut text = format!(
        "revision {} is in force at {} instances\n",
        progress.revision,
        progress.in_force.len(),
    );
    for name in &progress.lacking {
        text += &format!("lacking: {}\n", util::sanitize(name));
    }
    for name in &progress.unreachable {
        text += &format!("unreachable: {}\n", util::sanitize(name));
    }
    util::print(&text)
}
