//! `dandelionlink explain`

use std::{fs, path::PathBuf};

use argh::FromArgs;

use crate::{error::Error, exit::Exit, util};

/// Diagnose the outcome of a request from instances' logs.
///
/// Prints the request's log lines together with the instances' decisions about
/// the request's service and the state of the request's instance at that time,
/// then the cause in one sentence. The files may contain lines of any number of
/// instances in any order. Truncated lines and lines that are not log lines are
/// skipped and counted.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    error_code(1, "A file can't be read, or no line mentions the request."),
    error_code(2, "The command line is wrong or has no file.")
)]
pub(crate) struct Args {
    /// time at which the request was sent, in seconds since the Unix epoch: if no
    /// line mentions the request, only instances that were unable to answer at
    /// that time are named
    #[argh(option)]
    at: Option<f64>,

    /// the request's id
    #[argh(positional)]
    id: String,

    /// the log files
    #[argh(positional)]
    files: Vec<PathBuf>,
}

pub(crate) fn run(args: &Args) -> Result<Exit, Error> {
    if args.files.is_empty() {
        return Err(Error::NoFile);
    }
    let mut texts = Vec::new();
    for path in &args.files {
        let bytes = fs::read(path).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let log = explain::parse(texts.iter().map(String::as_str));
    let diagnosis = explain::diagnose(&log, &args.id, args.at);
    let mut text = String::new();
    for line in &diagnosis.lines {
        text += &format!("{line}\n");
    }
    text += &format!("{}\n", diagnosis.cause);
    if log.unparsed > 0 {
        text += &format!("{} lines could not be read\n", log.unparsed);
    }
    util::print(&text)?;
    Ok(match diagnosis.found {
        true => Exit::Success,
        false => Exit::Failed,
    })
}
