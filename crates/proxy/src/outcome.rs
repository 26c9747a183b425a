//! Outcomes of statements.

use std::{borrow::Cow, rc::Rc};

use bytes::{Bytes, BytesMut};
use model::Position;

use crate::{
    edge::Protocol,
    message::{Code, Reply, State},
};

/// Cause for which a statement did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// No primary was proved in time.
    NoProof,
    /// No connection to an upstream was free in time.
    NoConnection,
    /// The upstream refused the statement, or the statement failed there.
    Upstream,
    /// The upstream's connection broke before the answer was complete.
    Broken,
    /// The upstream's answer did not come in time.
    Late,
    /// The commit was acknowledged, but its upstream may have been replaced by then.
    Unproved,
    /// The transaction had failed or had been rolled back before.
    Undone,
    /// The transaction's upstream is no longer the primary.
    Replaced,
    /// No route has the database's name.
    NoRoute,
    /// No account holds the caller's key any more.
    NoKey,
    /// The caller's key can't be proved to be valid still.
    Stale,
    /// The account has used up its quota.
    OverQuota {
        /// Time after which an operation can be expected, in milliseconds.
        retry_after_ms: u16,
    },
    /// There is no such prepared statement.
    NoStatement,
    /// The statement can't be parsed, or is not allowed in this state.
    Malformed,
    /// The instance that served the session was lost.
    Holder,
}

impl Cause {
    /// Returns the message for callers and logs.
    pub fn text(self) -> Cow<'static, str> {
        let text = match self {
            Self::NoProof => "no primary proved, come back in 200 ms",
            Self::NoConnection => "no connection free, come back in 100 ms",
            Self::Upstream => "refused by the upstream, come back in 50 ms",
            Self::Broken => "the upstream's connection broke",
            Self::Late => "the upstream did not answer in time",
            Self::Unproved => "it may have been kept",
            Self::Undone => "the transaction was undone, come back in 50 ms",
            Self::Replaced => "the primary is being replaced, come back in 200 ms",
            Self::NoRoute => "no such database",
            Self::NoKey => "no account holds this key",
            Self::Stale => "whether the key is valid can't be told, come back in 500 ms",
            Self::OverQuota { retry_after_ms } => {
                return format!("the account's quota is used up, come back in {retry_after_ms} ms")
                    .into();
            }
            Self::NoStatement => "no such prepared statement",
            Self::Malformed => "not understood here",
            Self::Holder => "the session's instance was lost, come back in 50 ms",
        };
        text.into()
    }
}

/// Number of a statement's failed attempts, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    /// An upstream refused the statement without running it.
    pub refused: u32,
    /// No connection became free in time.
    pub unconnected: u32,
    /// The connection broke or the upstream stayed silent.
    pub lost: u32,
}

/// The upstream that ran a statement, and the position that its log had to have reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The upstream's id.
    pub upstream: Rc<str>,
    /// The position; `None` if the upstream was proved to be the primary.
    pub floor: Option<Position>,
}

/// The answer to a caller and the session's state after it.
#[derive(Debug)]
pub struct Outcome {
    /// Bytes of the answer.
    pub bytes: Bytes,
    /// Transaction state of the session.
    pub state: State,
    /// Position that the upstream's log had reached.
    pub position: Option<Position>,
    /// Where a read ran, or a statement of a transaction.
    pub origin: Option<Origin>,
    /// Code and cause of a failure.
    pub failure: Option<(Code, Cause)>,
    /// Failed attempts before this outcome.
    pub attempts: Attempts,
}

impl Outcome {
    /// Wraps an upstream's answer.
    pub fn from_reply(reply: Reply) -> Self {
        let failure = reply.verdict.as_ref().err();
        Self {
            failure: failure.map(|failure| (failure.code, Cause::Upstream)),
            bytes: reply.raw,
            state: reply.state,
            position: reply.position,
            origin: None,
            attempts: Attempts::default(),
        }
    }

    /// Creates a refusal by this process.
    pub fn refusal<P: Protocol>(code: Code, cause: Cause, state: State) -> Self {
        let mut out = BytesMut::new();
        P::refusal(code, &cause.text(), state, &mut out);
        Self {
            bytes: out.freeze(),
            state,
            position: None,
            origin: None,
            failure: Some((code, cause)),
            attempts: Attempts::default(),
        }
    }

    /// Creates a success without an upstream.
    pub fn done<P: Protocol>(state: State) -> Self {
        let mut out = BytesMut::new();
        P::done(state, &mut out);
        Self {
            bytes: out.freeze(),
            state,
            position: None,
            origin: None,
            failure: None,
            attempts: Attempts::default(),
        }
    }
}
