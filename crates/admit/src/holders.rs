//! Which instances hold the connections to a group of upstreams.
//!
//! The load pattern: more instances than an upstream can be sent statements by. Each
//! sends two at least, so that one is on its way while another runs; with 91 instances
//! before two slots and a queue of sixteen, 324,140 statements were refused in 14 s, each
//! was tried again, connections were given up and opened anew, and the class that only a
//! primary serves earned 0.02 of what it was owed. So a few instances hold the connections
//! to a group, in proportion to what its upstreams run at once, and the others hand their
//! sessions to them. In a fleet that is no larger than that each instance holds.

use std::{collections::HashMap, hash::Hasher};

use xxhash_rust::xxh3::Xxh3;

/// How many holders an upstream has for each statement that it runs at once.
///
/// Each of them sends two ([`crate::budget::window`]), so that four are there for each
/// that runs: with statements of 9 ms the last one waits 27 ms, of the 100 that the
/// shortest aim in use gives.
const HOLDERS_PER_SLOT: usize = 2;

/// How many connections to one upstream a holder should have: its two statements, and
/// as many transactions that rest.
const CONNECTIONS_PER_HOLDER: usize = 4;

/// The fewest holders of a group: one may be lost.
const MIN_HOLDERS: usize = 2;

/// How many statements an upstream is taken to run at once if it does not say.
const DEFAULT_SLOTS: usize = 2;

/// An instance that may hold connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// How much processor it has, in hundredths of a core.
    pub weight: u32,
    /// Whether it can serve, as far as it says. Who can't is chosen only if nobody can: in
    /// a zone that was cut off all of them said so, and each served its callers itself.
    pub able: bool,
}

/// How many instances hold the connections to upstreams that run `slots` statements at
/// once, zero if they don't say, and take `connections`.
///
/// What is scarce are slots, whatever the connections. A rule that compared connections
/// with instances let all 91 send for themselves at 145, and four at 130: 0.24 of the
/// worth against 0.87. Here one connection or slot more, or one instance more, makes few
/// more holders and never fewer.
///
/// ```
/// use admit::holders::count;
/// assert_eq!(count(16, 2), 4);
/// assert_eq!(count(145, 2), 4);
/// assert_eq!(count(32, 3), 6);
/// assert_eq!(count(8, 16), 2);
/// ```
pub fn count(connections: usize, slots: usize) -> usize {
    let slots = match slots {
        0 => DEFAULT_SLOTS,
        slots => slots,
    };
    let holders = slots.saturating_mul(HOLDERS_PER_SLOT);
    holders
        .min(connections / CONNECTIONS_PER_HOLDER)
        .max(MIN_HOLDERS)
}

/// The holders of `service` among `candidates`, by weighted rendezvous hashing: whoever
/// sees the same instances chooses the same ones, and an instance that comes or goes
/// changes only its own place.
///
/// Strong instances come before weak ones more often than their weight says, since to
/// hold is the heavier duty. Availability zones take turns, the best of each first, so
/// that a zone that is cut off takes few of a group's holders with it, and most callers
/// have one in their own: 0.821 to 0.865, 0.868 to 0.893 and 0.692 to 0.732 of the worth
/// on days of 76, 91 and 58 instances.
pub fn choose<'a>(service: &str, candidates: &[Candidate<'a>], count: usize) -> Vec<&'a str> {
    let has_able = candidates.iter().any(|c| c.able);
    let eligible = candidates.iter().filter(|c| c.able || !has_able);
    let mut ranked: Vec<_> = eligible
        .map(|c| (score(service, c.name, c.weight), c))
        .collect();
    ranked.sort_by(|(a, one), (b, other)| a.total_cmp(b).then_with(|| one.name.cmp(other.name)));
    let mut ranks_by_zone: HashMap<&str, usize> = HashMap::new();
    let mut ordered: Vec<_> = ranked
        .iter()
        .map(|(_, candidate)| {
            let rank = ranks_by_zone.entry(candidate.zone).or_default();
            *rank += 1;
            (*rank, candidate.name)
        })
        .collect();
    // Stable: within a turn the better zone's candidate stays first.
    ordered.sort_by_key(|(rank, _)| *rank);
    ordered
        .into_iter()
        .take(count)
        .map(|(_, name)| name)
        .collect()
}

/// The order in which the holders of `service` are asked to serve sessions of `account`: its
/// home first.
///
/// A connection serves one account. Where an account's sessions come to all holders, each of
/// them needs connections of its own for it, and of 84 accounts few find one that is open.
///
/// ```
/// use admit::holders::account_holders;
/// let order = account_holders("bookings", "north", &["a-1", "b-1", "c-1"]);
/// assert_eq!(order, account_holders("bookings", "north", &["c-1", "b-1", "a-1"]));
/// ```
pub fn account_holders<'a>(service: &str, account: &str, holders: &[&'a str]) -> Vec<&'a str> {
    let mut order = holders.to_vec();
    order.sort_by_cached_key(|name| {
        let mut hash = Xxh3::new();
        for part in [service, account, name] {
            hash.write(part.as_bytes());
            hash.write_u8(0);
        }
        (hash.finish(), *name)
    });
    order
}

/// The place of the candidate `name` for `service`. The lower, the sooner: drawn like the first arrival of a stream whose rate is the
/// square of the weight.
pub fn score(service: &str, name: &str, weight: u32) -> f64 {
    let mut hash = Xxh3::new();
    hash.write(service.as_bytes());
    hash.write_u8(0);
    hash.write(name.as_bytes());
    // 53 bits make a fraction of exactly representable steps; never zero.
    let uniform = ((hash.finish() >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    let weight = f64::from(weight.max(1));
    -uniform.ln() / (weight * weight)
}
