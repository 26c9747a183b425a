//! What a caller is told, and why.

use bytes::{Bytes, BytesMut};
use model::Position;

use crate::{
    edge::Protocol,
    message::{Code, Reply, State},
};

/// Why a statement did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Nobody could be proved to lead in time.
    NoProof,
    /// No connection to an upstream was free in time.
    NoConnection,
    /// The upstream refused it, or it failed there.
    Upstream,
    /// The upstream's connection broke before its answer was whole.
    Broken,
    /// The upstream's answer did not come in time.
    Late,
    /// The commit was answered, but by then its upstream may have been replaced.
    Unproved,
    /// The transaction had failed or had been undone before.
    Undone,
    /// The transaction's upstream is no longer the primary.
    Replaced,
    /// No route has the database's name.
    NoRoute,
    /// No account holds the caller's key any more.
    NoKey,
    /// It can't be proved that the caller's key was not taken away.
    Stale,
    /// The account has asked for as much as it may.
    OverQuota,
    /// There is no such prepared statement.
    NoStatement,
    /// The statement is not understood, or not now.
    Malformed,
    /// The instance that served the session was lost.
    Holder,
}

impl Cause {
    /// The cause as callers and logs read it.
    pub fn text(self) -> &'static str {
        match self {
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
            Self::OverQuota => "the account's quota is used up, come back in 500 ms",
            Self::NoStatement => "no such prepared statement",
            Self::Malformed => "not understood here",
            Self::Holder => "the session's instance was lost, come back in 50 ms",
        }
    }
}

/// How often a statement was tried in vain, by what stood in its way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    /// An upstream refused it without running it.
    pub refused: u32,
    /// No connection became free in time.
    pub unconnected: u32,
    /// The connection broke or stayed silent.
    pub lost: u32,
}

/// What a caller is told, and where its session stands then.
#[derive(Debug)]
pub struct Outcome {
    /// The bytes of the answer.
    pub bytes: Bytes,
    /// Where the session stands.
    pub state: State,
    /// How far the upstream's log went.
    pub position: Option<Position>,
    /// Why the statement did not succeed.
    pub failure: Option<(Code, Cause)>,
    /// The tries before.
    pub attempts: Attempts,
}

impl Outcome {
    /// An upstream's own answer.
    pub fn from_reply(reply: Reply) -> Self {
        let failure = reply.verdict.as_ref().err();
        Self {
            failure: failure.map(|failure| (failure.code, Cause::Upstream)),
            bytes: reply.raw,
            state: reply.state,
            position: reply.position,
            attempts: Attempts::default(),
        }
    }

    /// A refusal of this process's own making.
    pub fn refusal<P: Protocol>(code: Code, cause: Cause, state: State) -> Self {
        let mut out = BytesMut::new();
        P::refusal(code, cause.text(), state, &mut out);
        Self {
            bytes: out.freeze(),
            state,
            position: None,
            failure: Some((code, cause)),
            attempts: Attempts::default(),
        }
    }

    /// A success of this process's own making.
    pub fn done<P: Protocol>(state: State) -> Self {
        let mut out = BytesMut::new();
        P::done(state, &mut out);
        Self {
            bytes: out.freeze(),
            state,
            position: None,
            failure: None,
            attempts: Attempts::default(),
        }
    }
}
