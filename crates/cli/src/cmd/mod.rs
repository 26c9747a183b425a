//! The commands, one file each.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod explain;
pub(crate) mod history;
pub(crate) mod sessions;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod upstreams;
pub(crate) mod verifier;
pub(crate) mod wait;

use argh::FromArgs;

use crate::{error::Error, exit::Exit};

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Cmd {
    /// Checks a file.
    Check(check::Args),
    /// Compares a file with the catalogue in force.
    Diff(diff::Args),
    /// Puts a file in force.
    Apply(apply::Args),
    /// Lists past changes.
    History(history::Args),
    /// Prints the catalogue in force.
    Show(show::Args),
    /// Shows the state of all instances.
    Status(status::Args),
    /// Waits until a revision is in force.
    Wait(wait::Args),
    /// Shows upstreams as seen by the instances.
    Upstreams(upstreams::Args),
    /// Shows the instances' sessions.
    Sessions(sessions::Args),
    /// Diagnoses the outcome of a request.
    Explain(explain::Args),
    /// Generates a user's verifier.
    Verifier(verifier::Args),
}

impl Cmd {
    /// Runs the command.
    pub(crate) async fn run(self) -> Result<Exit, Error> {
        match self {
            Self::Check(args) => check::run(&args),
            Self::Diff(args) => diff::run(&args).await,
            Self::Apply(args) => apply::run(&args).await,
            Self::History(args) => history::run(&args).await,
            Self::Show(args) => show::run(&args).await,
            Self::Status(args) => status::run(&args).await,
            Self::Wait(args) => wait::run(&args).await,
            Self::Upstreams(args) => upstreams::run(&args).await,
            Self::Sessions(args) => sessions::run(&args).await,
            Self::Explain(args) => explain::run(&args),
            Self::Verifier(args) => verifier::run(&args),
        }
    }
}
