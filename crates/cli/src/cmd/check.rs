//! `dandelionlink check`

use std::path::PathBuf;

use argh::FromArgs;
use catalog::{Catalog, Located};
use serde::Serialize;

use crate::{
    error::{Error, Faults},
    exit::Exit,
    util,
};

/// Check a catalogue file without contacting the store.
///
/// All errors are listed with file, line, column and the expected value.
/// Warnings point out declarations that are permitted but questionable.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} examples/stalgenoot.toml",
    error_code(1, "The file has errors or can't be read.")
)]
pub(crate) struct Args {
    /// print the result as JSON
    #[argh(switch)]
    json: bool,

    /// the catalogue file
    #[argh(positional)]
    file: PathBuf,
}

/// An error or warning as JSON.
#[derive(Debug, Serialize)]
struct Remark {
    line: usize,
    column: usize,
    message: String,
}

#[derive(Debug, Serialize)]
struct Report {
    faults: Vec<Remark>,
    warnings: Vec<Remark>,
}

pub(crate) fn run(args: &Args) -> Result<Exit, Error> {
    let checked = match util::read(&args.file) {
        Err(Error::Catalog(faults)) if args.json => return print_faults(&faults),
        other => other?,
    };
    if args.json {
        let warnings = remarks(&checked.warnings);
        let faults = Vec::new();
        util::print_json(&Report { faults, warnings })?;
        return Ok(Exit::Success);
    }
    util::warn(&args.file, &checked);
    util::print(&sizes(&args.file.display().to_string(), &checked.catalog))?;
    Ok(Exit::Success)
}

fn print_faults(faults: &Faults) -> Result<Exit, Error> {
    let faults = remarks(&faults.error.faults);
    let warnings = Vec::new();
    util::print_json(&Report { faults, warnings })?;
    Ok(Exit::Failed)
}

fn remarks<T: ToString>(located: &[Located<T>]) -> Vec<Remark> {
    let remark = |located: &Located<T>| Remark {
        line: located.line,
        column: located.column,
        message: located.kind.to_string(),
    };
    located.iter().map(remark).collect()
}

fn sizes(file: &str, catalog: &Catalog) -> String {
    let groups = catalog.databases.values();
    let upstreams: usize = groups.map(|database| database.upstreams.len()).sum();
    format!(
        "{file}: tenants {}, databases {}, upstreams {upstreams}, entries {}\n",
        catalog.tenants.len(),
        catalog.databases.len(),
        catalog.entries.len(),
    )
}
