//! Errors in a chart's text.

use std::fmt;

/// An error in a chart's text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {fault}")]
pub struct Error {
    /// Line number, starting at 1.
    pub line: usize,
    /// Kind of the error.
    pub fault: Fault,
}

/// Kind of an error in a chart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text is not valid TOML or has unknown keys.
    #[error("{0}")]
    Toml(String),
    /// A name is not in the machine's vocabulary.
    #[error("unknown {kind} {name:?}")]
    Unknown {
        /// Expected kind of the name.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// A state that is used is not declared.
    #[error("state {0:?} is not declared")]
    Undeclared(String),
    /// A state is declared more than once.
    #[error("state {0:?} is declared twice")]
    Duplicate(String),
    /// The chart has no initial state.
    #[error("the chart has no initial state")]
    NoInitial,
    /// No path of transitions leads from the initial state to this state.
    #[error("state {0:?} is unreachable")]
    Unreachable(String),
    /// This transition and an earlier one could fire on the same event in the
    /// same state.
    #[error("ambiguous with the transition at line {earlier}: both could fire")]
    Ambiguous {
        /// Line of the earlier transition.
        earlier: usize,
    },
}

/// Kinds of names in a chart.
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
