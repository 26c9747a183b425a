//! Which instances of an availability zone ask the store, and how often instances tell
//! each other that they live.
//!
//! The load pattern: 195 instances before one store. Each of them watched it, read the
//! records and proved primaries by itself: 7,066 calls on a day on which nothing
//! happened. And each told all others every 0.3 s that it lives: 126,000 datagrams a
//! second in the fleet, 650 a second for an instance with an eighth of a core. Both grow
//! with the square of the instances, and neither serves a caller better.

use std::time::Duration;

use crate::holders::{self, Candidate};

/// How many instances of a zone ask the store: one may be lost.
pub const COUNT: usize = 2;

/// How often somebody who is needed tells that it lives.
pub const FREQUENT_INTERVAL: Duration = Duration::from_millis(300);

/// How much time there is for each beat of an instance that nobody waits for: thirty a
/// second, as many as nine instances send that all are needed.
const PER_HEARTBEAT: Duration = Duration::from_millis(33);

/// The longest interval between two beats: callers of an instance that nobody needed a
/// moment ago and that is chosen then wait 0.2 s if it is gone, not longer.
const MAX_INTERVAL: Duration = Duration::from_secs(5);

/// What names the duty of a relay, beside the names of services.
pub const ROLE: &str = "relay";

/// The relays among `candidates`, which are all of one zone, the first one first: those
/// who don't hear the store only if nobody does.
///
/// ```
/// use admit::{holders::Candidate, relays};
///
/// let one = |name, able| Candidate { name, zone: "a", weight: 25, able };
/// let all = [one("a-1", true), one("a-2", false), one("a-3", true)];
/// let mut chosen = relays::choose(&all);
/// chosen.sort();
/// assert_eq!(chosen, ["a-1", "a-3"]);
/// ```
pub fn choose<'a>(candidates: &[Candidate<'a>]) -> Vec<&'a str> {
    holders::choose(ROLE, &reweighted(candidates), COUNT)
}

/// The weight of a candidate for a relay's duty, which grows with the whole zone: a relay
/// with an eighth of a core and a thin link keeps all that follow it waiting when they
/// start at once.
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

/// What names the duty of reading the store.
const READER_ROLE: &str = "reader";

/// Which of all zones' relays read and watch the store; the others have its contents from
/// them, the catalogue packed.
///
/// A catalogue of 1,524 routes takes a link of 2 Mbit/s 1.4 s, and nothing else passes
/// meanwhile. Where a third of all instances read it at once, callers lost their answers,
/// upstreams and holders seemed dead: of 370 requests 80 were answered in time.
pub fn readers<'a>(relays: &[Candidate<'a>]) -> Vec<&'a str> {
    holders::choose(READER_ROLE, &reweighted(relays), COUNT)
}

/// Whether an instance waits for another's beats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frequency {
    /// It does: it would use what the other holds, or judges beside it.
    Frequent,
    /// It only wants to know who there is.
    Infrequent,
}

/// How long one of `others` instances waits between two beats to another.
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
