//! Delays of messages.

use rand::Rng;

use crate::{World, setup::ZONES};

/// One-way delays.
const SAME_ZONE_US: u64 = 250;
const SAME_REGION_US: u64 = 1_500;
const OTHER_REGION_US: u64 = 40_000;
const STORE_US: u64 = 3_000;
/// Delay of a stream by a lost segment.
const RETRANSMIT_US: u64 = 200_000;
/// Number of regions into which the zones are divided.
const REGIONS: usize = 3;

impl World {
    pub(crate) fn delay(&mut self, a: usize, b: usize) -> u64 {
        let [a, b] = [a, b].map(|slot| self.slots[slot].zone);
        let region = |zone| zone * REGIONS / ZONES;
        let base = if a == b {
            SAME_ZONE_US
        } else if region(a) == region(b) {
            SAME_REGION_US
        } else {
            OTHER_REGION_US
        };
        base + self.rng.random_range(0..=base / 2)
    }

    /// One-way delay to the store; without jitter, since the store answers in order.
    pub(crate) fn store_delay(&self, slot: usize) -> u64 {
        let region = self.slots[slot].zone * REGIONS / ZONES;
        if region == 0 {
            STORE_US
        } else {
            OTHER_REGION_US
        }
    }

    pub(crate) fn retransmit_delay(&mut self) -> u64 {
        let lost = 1.0 - (1.0 - self.loss).powi(2);
        if lost > 0.0 && self.rng.random_bool(lost) {
            RETRANSMIT_US
        } else {
            0
        }
    }
}
