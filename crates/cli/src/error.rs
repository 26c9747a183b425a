//! Everything that can end a command.

use std::{io, path::PathBuf};

use catalog::{head::Id, layout, parts, plan};

use crate::{exit::Exit, http, settings, store};

/// Why a command did not do what it was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A setting is missing or wrong.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A file can't be read.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A file is not a catalogue; each line names the file and the place.
    #[error("{0}")]
    Catalog(Faults),
    /// The store did not answer, or not as a store does.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// What the store holds is not a catalogue of this version.
    #[error(transparent)]
    Layout(#[from] layout::Error),
    /// The change can't be planned.
    #[error(transparent)]
    Plan(#[from] plan::Error),
    /// The store's answers do not tell whether the change took effect.
    #[error(
        "whether change {change} took effect is not known, since the store stopped answering; \
         once it answers, `dandelionlink history` shows the change if it did, \
         and applying the file again is safe"
    )]
    Unknown {
        /// The change's mark.
        change: Id,
    },
    /// The store's answer was lost, and what it holds now can't be read.
    #[error("whether change {change} took effect is not known: {source}")]
    Unreadable {
        /// The change's mark.
        change: Id,
        /// Why it can't be read.
        source: Box<Error>,
    },
    /// The change can't be split.
    #[error(transparent)]
    Parts(#[from] parts::Error),
    /// The store refused the change or could not be reached.
    #[error("nothing was changed: {}", reason(.0.as_ref()))]
    NotRun(Option<::store::Fault>),
    /// The history holds no such change.
    #[error("the history holds no change number {0}")]
    NoRecord(u64),
    /// No HTTP client can be made.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// No instance answered.
    #[error("no instance answered: {0}")]
    NoAnswer(String),
    /// The password on standard input is empty.
    #[error("standard input holds no password")]
    NoPassword,
    /// The catalogue has no text form.
    #[error("the catalogue has no text form: {0}")]
    Text(#[from] toml::ser::Error),
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The command line names no file to read.
    #[error("no file is given")]
    NoFile,
    /// A result has no JSON form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// The exit code that tells a script of this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Settings(_) | Self::NoFile => Exit::Usage,
            _ => Exit::Failed,
        }
    }
}

fn reason(fault: Option<&::store::Fault>) -> String {
    let contradiction = "the store's answers contradict each other".to_owned();
    fault.map_or(contradiction, ToString::to_string)
}

/// The faults of a file.
#[derive(Debug)]
pub(crate) struct Faults {
    pub(crate) path: PathBuf,
    pub(crate) error: catalog::Error,
}

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let path = self.path.display();
        let count = self.error.faults.len();
        write!(f, "{path} is not a catalogue, faults: {count}")?;
        let faults = &self.error.faults;
        faults
            .iter()
            .try_for_each(|fault| write!(f, "\n{path}:{fault}"))
    }
}
