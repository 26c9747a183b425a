//! The control duty: elects the primary of each database.

use model::{Record, Report, name};

/// Order from the control duty to the upstreams' duty.
#[derive(Debug)]
pub(crate) enum Order {
    /// Read an upstream's status.
    Probe {
        /// The database.
        database: name::Database,
        /// Id that the answer repeats.
        call: failover::Call,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Send an upstream an order.
    Execute {
        /// The database.
        database: name::Database,
        /// Id that the answer repeats.
        call: failover::Call,
        /// The upstream.
        upstream: name::Upstream,
        /// The order.
        order: failover::Order,
    },
    /// Set the primary that the store or an announcement names.
    SetPrimary {
        /// The database.
        database: name::Database,
        /// Primary and its term.
        record: Record,
    },
}

/// Answer of the upstreams' duty to the control duty.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The database.
    pub(crate) database: name::Database,
    /// Id of the order.
    pub(crate) call: failover::Call,
    /// The upstream.
    pub(crate) upstream: name::Upstream,
    /// Status of the upstream, or the fault of the order.
    pub(crate) result: Result<Report, failover::Fault>,
}

mod duty;
mod pace;

pub(crate) use duty::{Conf, run};
