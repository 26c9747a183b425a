//! Counts of the work for an instance's background duties.

use std::{cell::Cell, fmt::Write, rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{edge::Edge, node::Node};

/// Interval at which the counts are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A heartbeat to an instance that waits for it.
    FrequentHeartbeat,
    /// A heartbeat to an instance that only keeps track of the members.
    InfrequentHeartbeat,
    /// A received heartbeat.
    HeardHeartbeat,
    /// A byte of sent heartbeats.
    HeartbeatByte,
    /// An instance that appeared or disappeared.
    ChangedInstance,
    /// A change batch sent to a follower.
    ChangeBatch,
    /// A byte of sent change batches.
    ChangeBatchByte,
    /// A change received from a relay.
    Change,
    /// A request of another instance for a proof.
    ProofQuestion,
    /// A catalogue put in force.
    Catalogue,
    /// A group that a periodic duty examined.
    Group,
}

impl Kind {
    const ALL: [Self; 11] = [
        Self::FrequentHeartbeat,
        Self::InfrequentHeartbeat,
        Self::HeardHeartbeat,
        Self::HeartbeatByte,
        Self::ChangedInstance,
        Self::ChangeBatch,
        Self::ChangeBatchByte,
        Self::Change,
        Self::ProofQuestion,
        Self::Catalogue,
        Self::Group,
    ];

    /// Returns the kind's name in metrics and logs.
    fn name(self) -> &'static str {
        match self {
            Self::FrequentHeartbeat => "prompt_heartbeats",
            Self::InfrequentHeartbeat => "rare_heartbeats",
            Self::HeardHeartbeat => "heard_heartbeats",
            Self::HeartbeatByte => "heartbeat_bytes",
            Self::ChangedInstance => "changed_instances",
            Self::ChangeBatch => "feeds",
            Self::ChangeBatchByte => "feed_bytes",
            Self::Change => "changes",
            Self::ProofQuestion => "proof_questions",
            Self::Catalogue => "catalogues",
            Self::Group => "groups",
        }
    }
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Work {
    counts: [Cell<u64>; Kind::ALL.len()],
}

impl Work {
    /// Adds `more` to the count of `kind`.
    pub(crate) fn add(&self, kind: Kind, more: usize) {
        let count = &self.counts[kind as usize];
        count.set(count.get() + more as u64);
    }

    /// Returns the count of `kind`.
    ///
    /// ```
    /// use proxy::work::{Kind, Work};
    ///
    /// assert_eq!(Work::default().count(Kind::ChangeBatch), 0);
    /// ```
    pub fn count(&self, kind: Kind) -> u64 {
        self.counts[kind as usize].get()
    }
}

/// Returns all counts of an instance by name.
pub fn counts<E: Edge>(node: &Node<E>) -> Vec<(&'static str, u64)> {
    let (looks, draws) = node.peers.counters();
    let own = Kind::ALL.map(|kind| (kind.name(), node.work.count(kind)));
    own.into_iter()
        .chain([("looks", looks), ("draws", draws)])
        .collect()
}

/// Logs the counts periodically until the process ends, one line for all of them.
pub(crate) async fn log_periodically<E: Edge>(node: Rc<Node<E>>) {
    loop {
        sleep(LOG_INTERVAL).await;
        let mut done = String::new();
        for (name, count) in counts(&node) {
            let _ = write!(done, "{name}={count} ");
        }
        let calls = node.metrics.calls();
        let (instances, active) = (node.peers.count(), node.active().len());
        log::info!(
            instances, active, relays = node.is_relay(), sessions = node.sessions.get(),
            calls = &*calls;
            "work: {}", done.trim_end()
        );
    }
}
