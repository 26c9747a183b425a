//! `dandelionlink show`

use argh::FromArgs;

use crate::{
    error::Error,
    exit::Exit,
    settings::{self, STORE},
    store::Store,
    util,
};

/// Print the catalogue in force as a file that `apply` accepts.
///
/// Comments are not stored. The output contains the users' verifiers and must be
/// protected like the catalogue file itself.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    error_code(1, "The store does not answer, or its catalogue can't be decoded."),
    error_code(2, "The command line or a setting is wrong.")
)]
pub(crate) struct Args {
    /// the store's endpoints, IP:PORT separated by commas (DANDELIONLINK_STORE)
    #[argh(option)]
    store: Option<String>,

    /// print the catalogue as JSON
    #[argh(switch)]
    json: bool,
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let endpoints = settings::addresses(STORE, args.store.as_deref())?;
    let snapshot = Store::open(endpoints).await?.snapshot().await?;
    if args.json {
        util::print_json(&snapshot.catalog)?;
        return Ok(Exit::Success);
    }
    util::print(&snapshot.catalog.to_text()?)?;
    Ok(Exit::Success)
}
