//! The control duty: who leads each database.

use model::{Record, Report, name};

/// What the control duty asks of the upstreams' duty.
#[derive(Debug)]
pub(crate) enum Order {
    /// Ask an upstream for its status.
    Probe {
        /// The database.
        database: name::Database,
        /// To answer with.
        call: failover::Call,
        /// The upstream.
        upstream: name::Upstream,
    },
    /// Send an upstream an order.
    Execute {
        /// The database.
        database: name::Database,
        /// To answer with.
        call: failover::Call,
        /// The upstream.
        upstream: name::Upstream,
        /// The order.
        order: failover::Order,
    },
    /// Somebody leads, as the store or an announcement has it.
    SetPrimary {
        /// The database.
        database: name::Database,
        /// Who, and in which term.
        record: Record,
    },
}

/// What the upstreams' duty answers the control duty.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The database.
    pub(crate) database: name::Database,
    /// What was asked.
    pub(crate) call: failover::Call,
    /// The upstream.
    pub(crate) upstream: name::Upstream,
    /// Its status, or why there is none.
    pub(crate) result: Result<Report, failover::Fault>,
}

mod duty;
mod pace;

pub(crate) use duty::{Conf, run};
