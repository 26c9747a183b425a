//! Choice of the instances that read the store for their availability zone, and intervals of
//! heartbeats.
//!
//! Load pattern: 195 instances at one store. When each watched the store, read the records
//! and proved primaries itself, the store received 7,066 calls although nothing changed. When
//! each sent a heartbeat to all others every 0.3 s, the fleet sent 126,000 datagrams a second,
//! 650 of them from or to each instance, even one with an eighth of a core. Both loads grow
//! with the square of the number of instances and serve no caller better.

use std::{fmt::Display, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::holders::{self, Candidate};

/// Number of relays of a zone, and of readers among all relays, so that one may be lost.
pub const COUNT: usize = 2;

/// Heartbeat interval towards instances that depend on the sender.
pub const FREQUENT_INTERVAL: Duration = Duration::from_millis(300);

/// Time for each infrequent heartbeat: an instance sends thirty a second in total, as many
/// as frequent heartbeats to nine instances.
const PER_HEARTBEAT: Duration = Duration::from_millis(33);

/// Longest interval between two heartbeats. If an instance without dependents is chosen and
/// has failed, its callers wait 0.2 s and no longer.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// Hash key of the relay role, used in place of a service's name.
pub const ROLE: &str = "relay";

/// Chooses the relays among `candidates` of one zone, the preferred one first. Candidates
/// without contact to the store are chosen only if none has contact.
///
/// ```
/// use admit::{holders::Candidate, relays};
///
/// let candidate = |name, able| Candidate { name, zone: "a", weight: 25, able };
/// let all = [candidate("a-1", true), candidate("a-2", false), candidate("a-3", true)];
/// let mut chosen = relays::choose(&all);
/// chosen.sort();
/// assert_eq!(chosen, ["a-1", "a-3"]);
/// ```
pub fn choose<'a>(candidates: &[Candidate<'a>]) -> Vec<&'a str> {
    holders::choose(ROLE, &reweighted(candidates), COUNT)
}

/// Weight of a candidate for the relay role. The weight is squared because a relay's load
/// grows with its zone: a relay with an eighth of a core and a slow link delays all of its
/// followers when these start at once.
pub fn weight(weight: u32) -> u32 {
    weight.saturating_mul(weight)
}

fn reweighted<'a>(candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let reweight = |candidate: &Candidate<'a>| Candidate {
        weight: weight(candidate.weight),
        ..*candidate
    };
    candidates.iter().map(reweight).collect()
}

/// Hash key of the reader role.
const READER_ROLE: &str = "reader";

/// Picks the relay that the instance `name` follows. The followers spread evenly. When a relay
/// drops out, only its own followers pick another; when one joins, it takes its share of them.
pub fn pick<T: Copy + Display>(name: &str, relays: impl Iterator<Item = T>) -> Option<T> {
    relays.max_by_key(|relay| xxh3_64(format!("{name} {relay}").as_bytes()))
}

/// Chooses the relays of all zones that read and watch the store. The other relays get the
/// contents from these, the catalogue in compressed form.
///
/// A catalogue of 1,524 routes occupies a link of 2 Mbit/s for 1.4 s. When a third of all
/// instances read the catalogue at once, answers were lost, and upstreams and holders seemed
/// to have failed: of 370 requests 80 were answered in time.
pub fn readers<'a>(relays: &[Candidate<'a>]) -> Vec<&'a str> {
    holders::choose(READER_ROLE, &reweighted(relays), COUNT)
}

/// Frequency of the heartbeats sent to another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frequency {
    /// The receiver uses connections that the sender holds, or judges primaries with it.
    Frequent,
    /// The receiver only keeps its list of instances up to date.
    Infrequent,
}

/// Interval between two heartbeats to one of `others` instances.
///
/// ```
/// use std::time::Duration;
/// use admit::relays::{Frequency, interval};
///
/// assert_eq!(interval(Frequency::Frequent, 194), Duration::from_millis(300));
/// assert_eq!(interval(Frequency::Infrequent, 8), Duration::from_millis(300));
/// assert_eq!(interval(Frequency::Infrequent, 60), Duration::from_millis(1_980));
/// ```
pub fn interval(frequency: Frequency, others: usize) -> Duration {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    match frequency {
        Frequency::Frequent => FREQUENT_INTERVAL,
        Frequency::Infrequent => PER_HEARTBEAT
            .saturating_mul(others)
            .clamp(FREQUENT_INTERVAL, MAX_INTERVAL),
    }
}
