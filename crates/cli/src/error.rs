//! Errors of commands.

use std::{io, path::PathBuf};

use catalog::{head::Id, layout, parts, plan};

use crate::{exit::Exit, http, settings, store};

/// Reason why a command failed.
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
        /// The I/O error.
        source: io::Error,
    },
    /// A file is not a valid catalogue; each line of the message has the file
    /// and the position of an error.
    #[error("{0}")]
    Catalog(Faults),
    /// The store did not answer or gave an unexpected answer.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The store's catalogue can't be decoded.
    #[error(transparent)]
    Layout(#[from] layout::Error),
    /// The change can't be planned.
    #[error(transparent)]
    Plan(#[from] plan::Error),
    /// The change's outcome is unknown, because the store stopped answering.
    #[error(
        "whether change {change} took effect is not known, since the store stopped answering; \
         once it answers, `dandelionlink history` shows the change if it did, \
         and applying the file again is safe"
    )]
    Unknown {
        /// Id of the change.
        change: Id,
    },
    /// The store's answer was lost, and its contents can't be decoded.
    #[error("whether change {change} took effect is not known: {source}")]
    Unreadable {
        /// Id of the change.
        change: Id,
        /// Reason why the contents can't be decoded.
        source: Box<Error>,
    },
    /// The change can't be split.
    #[error(transparent)]
    Parts(#[from] parts::Error),
    /// The store rejected the change or was unreachable.
    #[error("nothing was changed: {}", reason(.0.as_ref()))]
    NotRun(Option<::store::Fault>),
    /// The history has no change with this number.
    #[error("the history holds no change number {0}")]
    NoRecord(u64),
    /// The HTTP client could not be created.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// No instance answered.
    #[error("no instance answered: {0}")]
    NoAnswer(String),
    /// The password on standard input is empty.
    #[error("standard input holds no password")]
    NoPassword,
    /// The catalogue could not be serialized as text.
    #[error("the catalogue can't be serialized: {0}")]
    Text(#[from] toml::ser::Error),
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The command line has no input file.
    #[error("no file is given")]
    NoFile,
    /// A result could not be serialized as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Error {
    /// Exit code for this error.
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

/// Errors in a catalogue file.
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
