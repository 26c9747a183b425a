//! Which instances should hold the connections of an upstream.

use std::{cmp::Reverse, num::NonZeroU16};

use model::name;
use xxhash_rust::xxh3::xxh3_64;

/// Connections of each upstream that no seat gets: a new holder connects with
/// it to end what its predecessor left open, so the limit holds meanwhile.
pub const RESERVE: u16 = 1;

/// A live instance and its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The instance.
    pub instance: &'a name::Instance,
    /// Where it runs.
    pub zone: &'a name::Zone,
}

/// One seat's part of an upstream's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// How many connections the holder may open.
    pub connections: u16,
    /// How many statements it may have in flight.
    pub slots: u16,
}

/// Ranks the `count` instances that should hold `upstream`, best first.
///
/// Rendezvous hashing: when an instance goes, only what it held moves. The
/// instances of the upstream's zone come first, so that a zone that is cut
/// off goes on; the others only stand in where the zone has too few.
/// The ranking is advice: views of who is live differ, and only the lease
/// of [`crate::Seat`] decides.
///
/// ```
/// use model::name::{Instance, Upstream, Zone};
/// use pool::holder::{Candidate, assign};
///
/// let zone = Zone::new("a").unwrap();
/// let names = ["i1", "i2", "i3"].map(|it| Instance::new(it).unwrap());
/// let live: Vec<_> = names
///     .iter()
///     .map(|instance| Candidate { instance, zone: &zone })
///     .collect();
/// let upstream = Upstream::new("u1").unwrap();
/// assert_eq!(assign(&upstream, &zone, &live, 2).len(), 2);
/// ```
pub fn assign<'a>(
    upstream: &name::Upstream,
    zone: &name::Zone,
    live: &[Candidate<'a>],
    count: usize,
) -> Vec<&'a name::Instance> {
    let mut ranked: Vec<_> = live.to_vec();
    ranked.sort_by_cached_key(|it| {
        let weight = weight(upstream.as_str(), it.instance.as_str());
        (it.zone != zone, Reverse(weight), it.instance.clone())
    });
    ranked.dedup_by_key(|it| it.instance);
    ranked.truncate(count);
    ranked.iter().map(|it| it.instance).collect()
}

fn weight(upstream: &str, instance: &str) -> u64 {
    let mut text = String::with_capacity(upstream.len() + instance.len() + 1);
    text.push_str(upstream);
    text.push('/');
    text.push_str(instance);
    xxh3_64(text.as_bytes())
}

/// The share of seat `index` out of `seats`: the shares of all seats and
/// [`RESERVE`] add up to the limit exactly.
///
/// ```
/// use std::num::NonZeroU16;
///
/// let seats = NonZeroU16::new(2).unwrap();
/// let shares = [0, 1].map(|index| pool::holder::share(16, 2, seats, index));
/// assert_eq!(shares[0].connections + shares[1].connections, 15);
/// assert_eq!(shares[0].slots + shares[1].slots, 2);
/// ```
pub fn share(connections: u16, slots: u16, seats: NonZeroU16, index: u16) -> Share {
    Share {
        connections: part(connections.saturating_sub(RESERVE), seats, index),
        slots: part(slots, seats, index),
    }
}

/// How many seats an upstream has: two where it has the slots for it, so that
/// losing a holder leaves half of it in use.
pub fn seats(slots: u16) -> NonZeroU16 {
    NonZeroU16::new(slots.min(2)).unwrap_or(NonZeroU16::MIN)
}

/// An entry's limit at seat `index` out of the `seats` of its whole database;
/// the parts add up to the limit, so it holds over the fleet.
pub fn entry_limit(limit: u16, seats: NonZeroU16, index: u16) -> u16 {
    part(limit, seats, index)
}

fn part(whole: u16, seats: NonZeroU16, index: u16) -> u16 {
    if index >= seats.get() {
        return 0;
    }
    whole / seats + u16::from(index < whole % seats)
}
