//! `dandelionlink diff`

use std::path::PathBuf;

use argh::FromArgs;
use catalog::change::{self, Change};
use serde::Serialize;

use crate::{
    error::Error,
    exit::Exit,
    settings::{self, STORE},
    store::Store,
    util,
};

/// Show what applying a catalogue file would change.
///
/// Lines begin with + for what is new, - for what is removed, and ~ for what
/// differs, with its fields below. Verifiers are not shown.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    note = "The revision printed can be given to `apply --from`, which then applies
only if nothing changed since.",
    error_code(0, "Whether or not there are differences."),
    error_code(1, "The file has faults, or the store does not answer."),
    error_code(2, "The command line or a setting is wrong.")
)]
pub(crate) struct Args {
    /// the store's endpoints, IP:PORT parted by commas (DANDELIONLINK_STORE)
    #[argh(option)]
    store: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,

    /// the catalogue file
    #[argh(positional)]
    file: PathBuf,
}

#[derive(Debug, Serialize)]
struct Report {
    revision: u64,
    changes: Vec<Change>,
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let endpoints = settings::addresses(STORE, args.store.as_deref())?;
    let checked = util::read(&args.file)?;
    util::warn(&args.file, &checked);

    let snapshot = Store::open(endpoints).await?.snapshot().await?;
    let report = Report {
        revision: snapshot.revision,
        changes: change::diff(&snapshot.catalog, &checked.catalog),
    };
    if args.json {
        util::print_json(&report)?;
        return Ok(Exit::Success);
    }
    if report.changes.is_empty() {
        util::print(&format!(
            "nothing to change from revision {}\n",
            report.revision
        ))?;
        return Ok(Exit::Success);
    }
    let mut text = format!("from revision {}\n", report.revision);
    text += &util::format_changes(&report.changes);
    util::print(&text)?;
    Ok(Exit::Success)
}
