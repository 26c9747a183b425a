//! Leaving upstreams get no new work.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use clock::Instant;
use model::name;

use crate::{Event, Transaction, Violation};

/// Time for which an upstream may still get new work after it began to leave.
pub const GRACE: Duration = Duration::from_secs(3);

/// Checks that a leaving upstream gets no new work after [`GRACE`].
///
/// Statements of a transaction that began earlier are not new work.
#[derive(Debug, Default)]
pub struct Leaving {
    since: HashMap<name::Upstream, Instant>,
    begun: HashSet<Transaction>,
}

impl Leaving {
    /// Processes one event.
    pub fn observe(&mut self, at: Instant, event: &Event) -> Option<Violation> {
        match event {
            Event::Leaving { upstream } => {
                self.since.entry(upstream.clone()).or_insert(at);
                None
            }
            Event::Returned { upstream } => {
                self.since.remove(upstream);
                None
            }
            Event::Ended { transaction } => {
                self.begun.remove(transaction);
                None
            }
            Event::Sent {
                request,
                upstream,
                transaction,
            } => {
                let new = match transaction {
                    Some(transaction) => self.begun.insert(*transaction),
                    None => true,
                };
                let after = at.since(*self.since.get(upstream)?);
                (new && after > GRACE).then(|| Violation::WorkWhileLeaving {
                    upstream: upstream.clone(),
                    request: *request,
                    after,
                })
            }
            _ => None,
        }
    }
}
