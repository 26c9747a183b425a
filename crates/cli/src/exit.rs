//! The exit codes, which scripts may rely on.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It did what it was asked.
    Success = 0,
    /// It failed, or the catalogue is faulty.
    Failed = 1,
    /// The command line or a setting is wrong.
    Usage = 2,
    /// Another change was faster; nothing was changed.
    Conflict = 3,
    /// The time to wait ran out.
    TimedOut = 4,
    /// Some instances did not answer.
    Partial = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
