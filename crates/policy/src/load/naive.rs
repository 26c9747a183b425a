//! Baseline: one unbounded FIFO queue per upstream.

use std::time::Duration;

use clock::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Kind, capacity};
use crate::{net::exponential, site::Site};

/// Returns the requests per second that are done in time.
pub(super) fn goodput(site: Site, load: f64, span: Duration, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let slots = usize::from(site.slots);
    let mut free = vec![Instant::ZERO; site.upstreams * slots];
    let mean = 1.0 / (capacity(site) * load);
    let mut now = Instant::ZERO;
    let mut met = 0;
    while now < Instant::ZERO + span {
        now = now + Duration::from_secs_f64(exponential(&mut rng, mean));
        let kind = Kind::draw(&mut rng);
        let upstream = match kind.is_write() {
            true => 0,
            false => rng.random_range(0..site.upstreams),
        };
        let mine = &mut free[upstream * slots..(upstream + 1) * slots];
        let Some(slot) = mine.iter_mut().min() else {
            return 0.0;
        };
        let service = exponential(&mut rng, site.service_time.as_secs_f64());
        *slot = (*slot).max(now) + Duration::from_secs_f64(service);
        met += u64::from(slot.since(now) <= kind.deadline());
    }
    met as f64 / span.as_secs_f64()
}
