//! What can be wrong with a chart's text.

use std::fmt;

/// Why a text is not a chart, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {fault}")]
pub struct Error {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong there.
    pub fault: Fault,
}

/// What is wrong with a chart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text is not TOML, or has keys that a chart does not have.
    #[error("{0}")]
    Toml(String),
    /// The machine has no such word.
    #[error("the machine knows no {kind} {name:?}")]
    Unknown {
        /// What the word should have been.
        kind: Kind,
        /// The word.
        name: String,
    },
    /// A state is used that the chart does not declare.
    #[error("state {0:?} is not declared")]
    Undeclared(String),
    /// A state is declared twice.
    #[error("state {0:?} is declared twice")]
    Duplicate(String),
    /// No initial state is named.
    #[error("the chart names no initial state")]
    NoInitial,
    /// No path of transitions leads from the initial state to this one.
    #[error("state {0:?} can't be reached")]
    Unreachable(String),
    /// This transition and an earlier one could fire on the same event.
    #[error("clashes with the transition at line {earlier}: both could fire")]
    Ambiguous {
        /// The line of the earlier transition.
        earlier: usize,
    },
}

/// The kinds of words in a chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A state.
    State,
    /// An event.
    Event,
    /// A guard.
    Guard,
    /// An action.
    Action,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::State => "state",
            Self::Event => "event",
            Self::Guard => "guard",
            Self::Action => "action",
        })
    }
}
