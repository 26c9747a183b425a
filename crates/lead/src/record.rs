//! Record of a database's primary in the store.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use model::Term;
use serde::{Deserialize, Serialize};

/// Time within which the successor of a voter that left is expected.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without a change after which a list of upstreams is taken for complete.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Phase of a primary: usable or being replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The upstream leads. A read of the record proves the primary for a span.
    Stable,
    /// A replacement is in progress. The record proves no primary.
    Changing,
}

/// Record of a database's primary, changed only by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The current term, or the last one before a replacement in progress.
    pub term: Term,
    /// The primary, or the last one before a replacement in progress.
    pub upstream: String,
    /// Phase of the primary.
    pub phase: Phase,
    /// The instance that last wrote the record.
    pub by: String,
    /// Era of the store in which the record was written. In a later era the store is a restored
    /// copy, from which later writes may be missing.
    #[serde(default)]
    pub written: u64,
    /// Number of the group's replicas when the record was written; zero if unknown.
    #[serde(default)]
    pub replicas: usize,
    /// The upstreams whose answers prove the primary, itself among them. If none is named, all
    /// listed upstreams count.
    #[serde(default)]
    pub voters: Vec<String>,
    /// Last known addresses of the voters: an instance that never saw the entry of one asks it there.
    /// Records of earlier versions have none.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub addresses: BTreeMap<String, SocketAddr>,
    /// The upstream that a replacement in progress has ordered, or is about to order, to lead.
    #[serde(default)]
    pub ordered: Option<String>,
}

impl Record {
    /// Returns true if the record is no newer than `other`, which was seen before: a copy of the
    /// store may lack a replacement that took effect.
    ///
    /// ```
    /// use lead::{Phase, Record};
    /// use model::Term;
    ///
    /// let record = |term, phase| Record {
    ///     term: Term(term),
    ///     upstream: "i-1".into(),
    ///     phase,
    ///     by: "one".into(),
    ///     written: 1,
    ///     replicas: 2,
    ///     voters: Vec::new(),
    ///     addresses: Default::default(),
    ///     ordered: None,
    /// };
    /// assert!(record(3, Phase::Stable).is_behind(&record(4, Phase::Stable)));
    /// assert!(record(3, Phase::Stable).is_behind(&record(3, Phase::Changing)));
    /// assert!(!record(4, Phase::Stable).is_behind(&record(3, Phase::Changing)));
    /// ```
    pub fn is_behind(&self, other: &Self) -> bool {
        let rank = |record: &Self| (record.term, record.phase == Phase::Changing);
        rank(self) <= rank(other)
    }

    /// Returns true if the answer of the upstream counts towards a proof of the primary.
    pub fn is_voter(&self, upstream: &str) -> bool {
        self.voters.is_empty() || self.voters.iter().any(|voter| voter == upstream)
    }

    /// Returns true if the record names the upstream as its primary or as a voter.
    pub fn names(&self, upstream: &str) -> bool {
        self.upstream == upstream || self.voters.iter().any(|voter| voter == upstream)
    }

    /// Number of replicas whose answers count, if the record names them.
    pub fn voting_replicas(&self) -> Option<usize> {
        if self.voters.is_empty() {
            return None;
        }
        let replicas = self.voters.iter().filter(|id| **id != self.upstream);
        Some(replicas.count())
    }

    /// Returns true if both records prove the same primary.
    pub fn proves_same(&self, other: &Self) -> bool {
        let lead = |record: &Self| (record.term, record.phase, record.written);
        lead(self) == lead(other) && self.upstream == other.upstream
    }

    /// Returns the voters with those that have left replaced by others of the `listed`
    /// upstreams, or `None` if that changes nothing. `unchanged_for` is the time since the list
    /// last changed, and `left_for` the time since an upstream has ended.
    ///
    /// The first voters are named once the list has settled: a first record may be written while
    /// most upstreams have yet to register, and one that isn't named then has no vote until the next
    /// term.
    ///
    /// There are never more voters than before, and each that stays goes on voting: an instance
    /// that knows only the record before misses the voter that left, so the replicas that must be
    /// fenced by this record suffice for the one before. A lone primary is proved by no voters, so
    /// that any may join.
    pub fn revised_voters(
        &self,
        listed: &[&str],
        unchanged_for: Duration,
        left_for: impl Fn(&str) -> Option<Duration>,
    ) -> Option<Vec<String>> {
        let has_left = |voter: &String| left_for(voter).is_some();
        if self.phase != Phase::Stable || has_left(&self.upstream) {
            return None;
        }
        let is_settled = unchanged_for >= SETTLING_TIME;
        if self.voters.is_empty() {
            let is_listed = listed.contains(&&*self.upstream);
            let all = || listed.iter().map(|id| (*id).to_owned()).collect();
            return (is_settled && is_listed).then(all);
        }
        let left = self.voters.iter().filter(|voter| has_left(voter)).count();
        let joining = match self.voters.len() {
            1 if is_settled => listed.len(),
            _ => left,
        };
        let joined = listed.iter().filter(|id| !self.is_voter(id)).take(joining);
        let joined: Vec<_> = joined.map(|id| (*id).to_owned()).collect();
        let mut waiting = left.saturating_sub(joined.len());
        let mut voters = self.voters.clone();
        voters.retain(|voter| {
            let Some(left_for) = left_for(voter) else {
                return true;
            };
            let waits = waiting > 0 && left_for < SUCCESSOR_TIMEOUT;
            waiting -= usize::from(waits);
            waits
        });
        voters.extend(joined);
        (voters != self.voters).then_some(voters)
    }
}
