//! Assignment of an upstream's connections to instances.

use std::{cmp::Reverse, num::NonZeroU16};

use model::name;
use xxhash_rust::xxh3::xxh3_64;

/// Connections of each upstream reserved from the seats' shares. A new holder
/// uses one to end the connections of its predecessor, so that the limit holds
/// meanwhile.
pub const RESERVE: u16 = 1;

/// A live instance and its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub instance: &'a name::Instance,
    /// Zone of the instance.
    pub zone: &'a name::Zone,
}

/// Share of an upstream's limits that belongs to one seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of open connections.
    pub connections: u16,
    /// Maximum number of statements in flight.
    pub slots: u16,
}

/// Returns the `count` instances that should hold `upstream`, best first.
///
/// The ranking uses rendezvous hashing: when an instance leaves, only its own
/// upstreams move. Instances of the upstream's zone rank first, so that a zone
/// that is cut off continues to work; others are used only if the zone has too
/// few. The ranking is only a hint, as views of the live instances differ; the
/// lease of [`crate::Seat`] decides.
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

/// Returns the share of seat `index` out of `seats`. The shares of all seats
/// and [`RESERVE`] add up to the limit exactly.
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

/// Number of seats of an upstream: two if it has at least two slots, so that
/// losing one holder leaves half of the upstream in use.
pub fn seats(slots: u16) -> NonZeroU16 {
    NonZeroU16::new(slots.min(2)).unwrap_or(NonZeroU16::MIN)
}

/// Limit of an entry at seat `index` out of the `seats` of its whole database.
/// The parts add up to the limit, so the limit holds for the fleet.
pub fn entry_limit(limit: u16, seats: NonZeroU16, index: u16) -> u16 {
    part(limit, seats, index)
}

fn part(whole: u16, seats: NonZeroU16, index: u16) -> u16 {
    if index >= seats.get() {
        return 0;
    }
    whole / seats + u16::from(index < whole % seats)
}
