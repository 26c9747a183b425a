//! Commands from other instances to the holder of an upstream's connections.
//!
//! An upstream accepts only a few connections from the whole fleet, so few
//! instances hold them. The others send their batches to a holder over one
//! stream; each command has a number, and every answer repeats that number.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{Cause, Position, Report, name};
use serde::{Deserialize, Serialize};

use crate::job::{Batch, Scope, Settings};

/// Number of a stream from another instance, assigned by this instance.
pub(crate) type Conn = u64;

/// Number of a command of one instance.
pub(crate) type Seq = u64;

/// Number that belongs to no command.
pub(crate) const NO_SEQ: Seq = 0;

/// A batch to run on an upstream outside a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Run {
    /// Upstream to run on.
    pub(crate) upstream: name::Upstream,
    /// Owner, class and limits of the request.
    pub(crate) scope: Scope,
    /// Batch to run.
    pub(crate) batch: Batch,
    /// Settings of the session.
    pub(crate) settings: Settings,
    /// Status that is required before the batch.
    pub(crate) proof: Proof,
    /// Time left for the batch, in microseconds.
    pub(crate) left_us: u64,
}

/// Status of the upstream that is required before a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Proof {
    /// No status.
    None,
    /// A status read now.
    Fresh,
    /// A status that covers this position; an earlier one of the same
    /// connection suffices.
    Covering(Position),
}

/// Command to a holder.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Run a batch outside a transaction.
    Run(Box<Run>),
    /// Run a batch in the transaction that the command `pin` began.
    Within {
        /// Command that began the transaction.
        pin: Seq,
        /// Batch to run.
        batch: Batch,
        /// Time left for the batch, in microseconds.
        left_us: u64,
    },
    /// End the transaction that the command `pin` began.
    Leave {
        /// Command that began the transaction.
        pin: Seq,
    },
    /// The caller has received a part of the answer to command `of`.
    Taken {
        /// Number of the command.
        of: Seq,
    },
    /// Cancel the statement of command `of`.
    Cancel {
        /// Number of the command.
        of: Seq,
    },
    /// Read the status of an upstream.
    Probe {
        /// The database.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Send an order to an upstream.
    Order {
        /// The database.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
        /// The order.
        order: failover::Order,
    },
}

/// Result of a batch at the holder.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Finish {
    /// Transaction state after the batch; `None` if the batch continues.
    pub(crate) status: Option<u8>,
    /// SQLSTATE of the batch's error, if any.
    pub(crate) error: Option<String>,
    /// Status read after the batch.
    pub(crate) behind: Option<Report>,
    /// True if the upstream refused a statement of the proxy itself.
    pub(crate) spoiled: bool,
    /// Rest of the answer.
    pub(crate) bytes: Bytes,
}

/// Answer of a holder.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Response {
    /// Status after a probe or an order; ends the command.
    Status(Result<Report, failover::Fault>),
    /// Status before a batch; `None` if the upstream gave none.
    Before(Option<Report>),
    /// Part of a batch's answer.
    Chunk(Bytes),
    /// End of a batch's answer; ends the command.
    End(Box<Finish>),
    /// The batch did not run; ends the command.
    Refused {
        /// Cause of the refusal.
        cause: Cause,
        /// Microseconds until a retry may succeed.
        retry_after_us: Option<u64>,
    },
    /// The connection to the upstream failed and the batch may have run; ends
    /// the command.
    Broken,
    /// The holder is stopping: it finishes running commands, and new work
    /// should go to other instances. Sent with [`NO_SEQ`].
    ///
    /// Membership reports this as well, but later than a stop waits.
    Leaving,
    /// The holder accepts no more commands, and has not begun any command that
    /// is unanswered. Sent with [`NO_SEQ`] as the last message of the stream.
    ///
    /// If a stop only closed the stream, commands in flight would end with an
    /// unknown outcome, so each planned restart would lose some.
    Bye,
}

/// Messages from the upstreams' duty to the peers' duty.
#[derive(Debug)]
pub(crate) enum Out {
    /// Send a command to another instance.
    Ask {
        /// Instance to send to.
        to: name::Instance,
        /// Number of the command.
        seq: Seq,
        /// Command to send.
        command: Command,
    },
    /// Answer a command of another instance.
    Answer {
        /// Stream that the command came on.
        conn: Conn,
        /// Number of the command.
        seq: Seq,
        /// Answer to send.
        response: Response,
    },
    /// Send [`Response::Leaving`] to all instances with a stream to this one.
    Leaving,
    /// Send [`Response::Bye`] to all instances with a stream to this one.
    Bye,
}

/// Messages from the peers' duty to the upstreams' duty.
#[derive(Debug)]
pub(crate) enum In {
    /// Available instances with their zones.
    Members(BTreeMap<name::Instance, name::Zone>),
    /// Another instance sent a command.
    Asked {
        /// Stream that the command came on.
        conn: Conn,
        /// Number of the command at its sender.
        seq: Seq,
        /// Command to run.
        command: Command,
    },
    /// A stream from another instance has ended.
    Gone {
        /// Number of the stream.
        conn: Conn,
    },
    /// A command of this instance was answered.
    Answered {
        /// Number of the command.
        seq: Seq,
        /// Answer of the holder.
        response: Response,
    },
    /// A command was not sent.
    Unsent {
        /// Number of the command.
        seq: Seq,
    },
    /// Another instance sent [`Response::Leaving`].
    Leaving {
        /// The instance.
        to: name::Instance,
    },
    /// Another instance sent [`Response::Bye`].
    Left {
        /// The instance.
        to: name::Instance,
        /// Last command sent on the stream.
        upto: Seq,
    },
    /// The stream to another instance has ended. Unanswered commands on the
    /// stream may have run, and their transactions have rolled back.
    Down {
        /// The instance.
        to: name::Instance,
        /// Last command sent on the stream.
        upto: Seq,
    },
}
