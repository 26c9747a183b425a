//! Which instances hold the connections to a group of upstreams.
//!
//! The load pattern: more instances than an upstream takes connections. Each opens what
//! it needs, is refused, tries again; connections are given up after every use so that
//! others get their turn, and opening them takes more of the upstreams' slots than the
//! statements do. With 58 instances before upstreams that take 32 connections, a day
//! opened 650,000 and served 0.39 of what was asked. So a few instances hold the
//! connections to a group, and the others hand their sessions to them.

use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

/// How many connections to one upstream a holder should have: enough that what rests in
/// transactions leaves some for single statements.
const EACH: usize = 8;

/// The fewest holders of a group: one may be lost.
const FEWEST: usize = 2;

/// The most: each of them knows of only its part of an upstream's queue.
const MOST: usize = 4;

/// An instance that may hold connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// How much processor it has, in hundredths of a core.
    pub weight: u32,
}

/// How many instances hold the connections to upstreams that take `connections` each;
/// `None` if each of the `instances` can have its own.
///
/// ```
/// use admit::holders::count;
/// assert_eq!(count(22, 6), None);
/// assert_eq!(count(16, 9), None);
/// assert_eq!(count(32, 58), Some(4));
/// assert_eq!(count(23, 76), Some(2));
/// ```
pub fn count(connections: usize, instances: usize) -> Option<usize> {
    let enough = connections * 2 >= instances * 3;
    (!enough).then(|| (connections / EACH).clamp(FEWEST, MOST))
}

/// The holders of `service` among `candidates`, by weighted rendezvous hashing: whoever
/// sees the same instances chooses the same ones, and an instance that comes or goes
/// changes only its own place.
///
/// Strong instances come before weak ones more often than their weight says, since to
/// hold is the heavier duty; and the first two are never of one availability zone, if
/// there are several.
pub fn choose<'a>(service: &str, candidates: &[Candidate<'a>], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates.iter().collect();
    ranked.sort_by(|a, b| {
        let by_score = score(service, a).total_cmp(&score(service, b));
        by_score.then_with(|| a.name.cmp(b.name))
    });
    let first = ranked.first().map(|first| first.zone);
    if let Some(other) = ranked.iter().position(|c| Some(c.zone) != first) {
        let other = ranked.remove(other);
        ranked.insert(1, other);
    }
    ranked.into_iter().take(count).map(|c| c.name).collect()
}

/// The lower, the sooner: drawn like the first arrival of a stream whose rate is the
/// square of the weight.
fn score(service: &str, candidate: &Candidate<'_>) -> f64 {
    let mut hash = Xxh3::new();
    hash.write(service.as_bytes());
    hash.write_u8(0);
    hash.write(candidate.name.as_bytes());
    // 53 bits make a fraction of exactly representable steps; never zero.
    let drawn = ((hash.finish() >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    let weight = f64::from(candidate.weight.max(1));
    -drawn.ln() / (weight * weight)
}
