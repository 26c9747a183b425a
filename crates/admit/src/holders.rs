//! Choice of the instances that hold connections to a group of upstreams.
//!
//! Load pattern: more instances than an upstream can serve. Each keeps at least two
//! statements in flight, one in transit while another runs. With 91 instances at two slots
//! and a queue of sixteen, 324,140 statements were refused and retried within 14 s, and
//! connections were closed and reopened. So a few instances hold the connections to a group,
//! in proportion to the slots of its upstreams, and the others forward their sessions to
//! them. In a small fleet every instance is a holder.

use std::{collections::HashMap, hash::Hasher};

use xxhash_rust::xxh3::Xxh3;

/// Holders of an upstream for each statement that it runs at once.
///
/// Each holder has two statements in flight ([`crate::budget::window`]), which makes four for
/// each slot. At 9 ms a statement the last one waits 27 ms; the shortest latency objective in
/// use is 100 ms.
const HOLDERS_PER_SLOT: usize = 2;

/// Connections of a holder to one upstream: for its two statements and as many idle
/// transactions.
const CONNECTIONS_PER_HOLDER: usize = 4;

/// Fewest holders of a group, so that one may be lost.
const MIN_HOLDERS: usize = 2;

/// Slots assumed for an upstream that reports none.
const DEFAULT_SLOTS: usize = 2;

/// Instance that may hold connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Availability zone of the instance.
    pub zone: &'a str,
    /// Processor capacity in hundredths of a core.
    pub weight: u32,
    /// True if the instance reports that it can serve. Instances that can't are chosen only if
    /// none can: in a partitioned zone all instances reported so, and without this rule each
    /// became a holder for its own callers.
    pub able: bool,
}

/// Number of holders for upstreams that run `slots` statements at once (zero if unknown) and
/// accept `connections`.
///
/// The slots are the scarce resource, so the number follows them. A rule that compared
/// connections with instances made all 91 instances holders at 145 connections and four at
/// 130. Here one more connection, slot or instance adds few holders and removes none.
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

/// Chooses the holders of `service` among `candidates` by weighted rendezvous hashing:
/// instances with the same view choose the same holders, and an instance that joins or
/// leaves changes only its own assignment.
///
/// Instances with more processor are preferred more strongly than in proportion to their
/// weight, since holding connections is the heavier load. The choice is round-robin over the
/// availability zones, the best candidate of each first, so that a partitioned zone costs few
/// of a group's holders and most callers have a holder in their own zone.
pub fn choose<'a>(service: &str, candidates: &[Candidate<'a>], count: usize) -> Vec<&'a str> {
    let has_able = candidates.iter().any(|c| c.able);
    let eligible = candidates.iter().filter(|c| c.able || !has_able);
    let mut ranked: Vec<_> = eligible
        .map(|c| (score(service, c.name, c.weight), c))
        .collect();
    ranked.sort_by(|(a, first), (b, second)| {
        a.total_cmp(b).then_with(|| first.name.cmp(second.name))
    });
    let mut ranks_by_zone: HashMap<&str, usize> = HashMap::new();
    let mut ordered: Vec<_> = ranked
        .iter()
        .map(|(_, candidate)| {
            let rank = ranks_by_zone.entry(candidate.zone).or_default();
            *rank += 1;
            (*rank, candidate.name)
        })
        .collect();
    // The sort is stable, so the better candidate stays first within a rank.
    ordered.sort_by_key(|(rank, _)| *rank);
    ordered
        .into_iter()
        .take(count)
        .map(|(_, name)| name)
        .collect()
}

/// Orders the holders of `service` by preference for sessions of `account`.
///
/// A connection serves one account. If an account's sessions were spread over all holders,
/// each holder would need connections of its own for it, and with 84 accounts few sessions
/// would find one open.
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

/// Rendezvous score of the candidate `name` for `service`; the lowest score wins.
///
/// The score is an exponential variate, derived from the hash, with the square of the weight
/// as its rate.
pub fn score(service: &str, name: &str, weight: u32) -> f64 {
    let mut hash = Xxh3::new();
    hash.write(service.as_bytes());
    hash.write_u8(0);
    hash.write(name.as_bytes());
    // 53 bits give exactly representable steps; the fraction is never zero.
    let uniform = ((hash.finish() >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    let weight = f64::from(weight.max(1));
    -uniform.ln() / (weight * weight)
}
