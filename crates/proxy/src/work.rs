//! What an instance's duties cost it, counted where the work is done.

use std::{cell::Cell, fmt::Write, rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{edge::Edge, node::Node};

/// How often the counts go into the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A heartbeat to an instance that waits for it.
    FrequentHeartbeat,
    /// A heartbeat to an instance that only wants to know who there is.
    InfrequentHeartbeat,
    /// A heartbeat that came.
    HeardHeartbeat,
    /// A byte of heartbeats sent.
    HeartbeatByte,
    /// An instance that came or went.
    ChangedInstance,
    /// An answer to an instance that follows this one.
    ChangeBatch,
    /// A byte of these answers.
    ChangeBatchByte,
    /// A change that a relay told of.
    Change,
    /// A question for a proof that came from another instance.
    ProofQuestion,
    /// A catalogue put in force.
    Catalogue,
    /// A group looked at, by any of the duties that look again and again.
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

    /// Its name among the metrics.
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
    /// Counts `more` of a kind.
    pub(crate) fn add(&self, kind: Kind, more: usize) {
        let count = &self.counts[kind as usize];
        count.set(count.get() + more as u64);
    }

    /// How much of a kind was done.
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

/// All counts of an instance, by name.
pub fn counts<E: Edge>(node: &Node<E>) -> Vec<(&'static str, u64)> {
    let (looks, draws) = node.peers.counters();
    let own = Kind::ALL.map(|kind| (kind.name(), node.work.count(kind)));
    own.into_iter()
        .chain([("looks", looks), ("draws", draws)])
        .collect()
}

/// Tells the counts in the log until the process ends, one line for all of them.
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
