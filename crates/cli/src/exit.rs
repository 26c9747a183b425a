//! Exit codes, which scripts may rely on.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed, or the catalogue has errors.
    Failed = 1,
    /// The command line or a setting is wrong.
    Usage = 2,
    /// Another change was committed first; nothing was changed.
    Conflict = 3,
    /// The timeout expired.
    TimedOut = 4,
    /// Some instances did not answer.
    Partial = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
