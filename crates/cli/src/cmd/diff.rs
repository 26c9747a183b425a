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

/// Show the changes that applying a catalogue file would make.
///
/// Lines begin with + for added items, - for removed ones and ~ for changed
/// ones, which are followed by the changed fields. Verifiers are masked.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    note = "The revision printed can be passed to `apply --from`, which then applies
the file only if nothing has changed since.",
    error_code(0, "The comparison succeeded, with or without differences."),
    error_code(1, "The file has errors, or the store does not answer."),
    error_code(2, "The command line or a setting is wrong.")
)]
pub(crate) struct Args {
    /// the store's endpoints, IP:PORT separated by commas (DANDELIONLINK_STORE)
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
