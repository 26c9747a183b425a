//! `dandelionlink explain`

use std::{fs, path::PathBuf};

use argh::FromArgs;

use crate::{error::Error, exit::Exit, util};

/// Tell from instances' logs what became of a request.
///
/// Prints the request's lines and, around them, what the instances decided about
/// its service and what its own instance went through; then the cause in a
/// sentence. The files may hold lines of any number of instances in any order;
/// what is cut or is no log line is passed over and counted.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    error_code(1, "A file can't be read, or no line tells of the request."),
    error_code(2, "The command line is wrong, or names no file.")
)]
pub(crate) struct Args {
    /// when the request was sent, in seconds since the Unix epoch: where no line
    /// tells of it, only instances that could not answer then are named
    #[argh(option)]
    at: Option<f64>,

    /// the request's id
    #[argh(positional)]
    id: String,

    /// the logs
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
