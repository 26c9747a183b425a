//! What instances ask the holder of an upstream's connections to do for them.
//!
//! An upstream takes a few connections from the whole fleet, so few instances
//! hold them. The others send their batches to a holder over one stream; each
//! command carries a number, and every answer carries it back.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{Cause, Position, Report, name};
use serde::{Deserialize, Serialize};

use crate::job::{Batch, Scope, Settings};

/// A stream on which another instance asks, numbered by this one.
pub(crate) type Conn = u64;

/// Numbers the commands of one instance.
pub(crate) type Seq = u64;

/// The number of no command.
pub(crate) const NO_SEQ: Seq = 0;

/// A batch that is to run on an upstream outside a transaction.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Run {
    /// The upstream.
    pub(crate) upstream: name::Upstream,
    /// Whose it is.
    pub(crate) scope: Scope,
    /// What to run.
    pub(crate) batch: Batch,
    /// The session's settings.
    pub(crate) settings: Settings,
    /// Whether the status is wanted ahead of the batch, and from which place
    /// on an earlier one of the same connection will do.
    pub(crate) proof: Proof,
    /// How long it may take, in microseconds.
    pub(crate) left_us: u64,
}

/// Whether a status is wanted ahead of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Proof {
    /// It is not.
    None,
    /// It is, of this moment.
    Fresh,
    /// It is; one that came before on the connection will do if it covers this.
    Covering(Position),
}

/// What a holder is asked.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Run a batch.
    Run(Box<Run>),
    /// Run a batch in the transaction that the command `pin` began.
    Within {
        /// The command that began it.
        pin: Seq,
        /// What to run.
        batch: Batch,
        /// How long it may take, in microseconds.
        left_us: u64,
    },
    /// End the transaction that the command `pin` began.
    Leave {
        /// The command that began it.
        pin: Seq,
    },
    /// A part of the answer to `of` was taken.
    Taken {
        /// The command.
        of: Seq,
    },
    /// Cancel what the command `of` runs.
    Cancel {
        /// The command.
        of: Seq,
    },
    /// Ask an upstream for its status.
    Probe {
        /// The database.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Have an upstream carry out an order.
    Order {
        /// The database.
        database: name::Database,
        /// The upstream.
        upstream: name::Upstream,
        /// The order.
        order: failover::Order,
    },
}

/// How a batch ended at the holder.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Finish {
    /// The transaction's state behind it; `None` when the batch goes on.
    pub(crate) status: Option<u8>,
    /// The SQLSTATE of its error, if it had one.
    pub(crate) error: Option<String>,
    /// The status asked for behind it.
    pub(crate) behind: Option<Report>,
    /// Whether a statement of the proxy's own was refused.
    pub(crate) spoiled: bool,
    /// The rest of the answer.
    pub(crate) bytes: Bytes,
}

/// What a holder answers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Response {
    /// To a probe or an order; ends the command.
    Status(Result<Report, failover::Fault>),
    /// The status ahead of a batch; `None` when the upstream gave none.
    Before(Option<Report>),
    /// Part of a batch's answer.
    Chunk(Bytes),
    /// The end of a batch's answer; ends the command.
    End(Box<Finish>),
    /// The batch did not run; ends the command.
    Refused {
        /// Why.
        cause: Cause,
        /// When asking again has a chance, in microseconds.
        retry_after_us: Option<u64>,
    },
    /// The upstream's connection failed, the batch may have run; ends the
    /// command.
    Broken,
    /// The holder is stopping: it finishes what it has, and new work should go
    /// to others. It carries [`NO_SEQ`].
    ///
    /// Membership tells this too, but takes longer than a stop waits.
    Leaving,
    /// The holder takes no command any more, and whatever it has not answered
    /// it has not begun. It carries [`NO_SEQ`] and is the last on its stream.
    ///
    /// A stop that just closed the stream would leave the commands that were
    /// on their way in doubt, and each planned restart would cut some.
    Bye,
}

/// From the upstreams' duty to the peers' duty.
#[derive(Debug)]
pub(crate) enum Out {
    /// Ask another instance.
    Ask {
        /// Whom.
        to: name::Instance,
        /// Numbers the command.
        seq: Seq,
        /// What to do.
        command: Command,
    },
    /// Answer another instance.
    Answer {
        /// The stream it asked on.
        conn: Conn,
        /// The command.
        seq: Seq,
        /// The answer.
        response: Response,
    },
    /// Tell all that ask here [`Response::Leaving`].
    Leaving,
    /// Tell all that ask here [`Response::Bye`].
    Bye,
}

/// From the peers' duty to the upstreams' duty.
#[derive(Debug)]
pub(crate) enum In {
    /// The instances that may be given work, with their zones.
    Members(BTreeMap<name::Instance, name::Zone>),
    /// Another instance asks.
    Asked {
        /// The stream it asks on.
        conn: Conn,
        /// Its number for the command.
        seq: Seq,
        /// What to do.
        command: Command,
    },
    /// The stream of another instance has ended.
    Gone {
        /// The stream.
        conn: Conn,
    },
    /// A command was answered.
    Answered {
        /// The command.
        seq: Seq,
        /// The answer.
        response: Response,
    },
    /// A command never left this instance.
    Unsent {
        /// The command.
        seq: Seq,
    },
    /// Another instance has said [`Response::Leaving`].
    Leaving {
        /// The instance.
        to: name::Instance,
    },
    /// Another instance has said [`Response::Bye`].
    Left {
        /// The instance.
        to: name::Instance,
        /// The last command that its stream carried.
        upto: Seq,
    },
    /// The stream to another instance has ended, and what was asked on it is
    /// lost: commands may have run, transactions have rolled back.
    Down {
        /// The instance.
        to: name::Instance,
        /// The last command that the stream carried.
        upto: Seq,
    },
}
