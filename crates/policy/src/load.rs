//! Goodput and refusals under load, up to five times the capacity.
//!
//! The real pools admit, queue and refuse, two seats to each upstream; the
//! real router chooses between upstreams. Callers whose request was refused
//! ask again, as callers do, so that refusals bring more load.

mod bench;
mod naive;

use std::{num::NonZeroU32, time::Duration};

use model::{Priority, name};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    site::Site,
    stat::{Quantiles, parallel},
};

use bench::Simulation;

/// The loads that are measured, as multiples of the capacity.
pub const LEVELS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 5.0];

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A slot reservation: it writes.
    Reservation,
    /// A payment: it writes, and may not be repeated.
    Payment,
    /// The desk's own views.
    Desk,
    /// A calendar view.
    Calendar,
}

impl Kind {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Reservation, Self::Payment, Self::Desk, Self::Calendar];

    /// The kind's share of the requests, in hundredths.
    ///
    /// At five times the capacity the writes alone are three quarters of what
    /// the primary can do; with more, no policy could keep their deadlines.
    fn percent(self) -> u32 {
        match self {
            Self::Reservation => 4,
            Self::Payment => 1,
            Self::Desk => 15,
            Self::Calendar => 80,
        }
    }

    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let mut draw = rng.random_range(0..100);
        for kind in Self::ALL {
            match draw < kind.percent() {
                true => return kind,
                false => draw -= kind.percent(),
            }
        }
        Self::Calendar
    }

    fn is_write(self) -> bool {
        matches!(self, Self::Reservation | Self::Payment)
    }

    fn priority(self) -> Priority {
        match self {
            Self::Reservation | Self::Payment => Priority::High,
            Self::Desk => Priority::Normal,
            Self::Calendar => Priority::Low,
        }
    }

    /// How long a caller waits for it.
    fn deadline(self) -> Duration {
        match self {
            Self::Reservation | Self::Payment => Duration::from_millis(250),
            Self::Desk => Duration::from_millis(400),
            Self::Calendar => Duration::from_millis(300),
        }
    }

    fn entry(self) -> name::Entry {
        let text = match self {
            Self::Reservation => "reservation",
            Self::Payment => "payment",
            Self::Desk => "desk",
            Self::Calendar => "calendar",
        };
        name::Entry::new(text).expect("a generated name is valid")
    }
}

/// What one tenant got of one level.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    /// Requests it sent, repeats left out.
    pub asked: u64,
    /// Those that were done in time.
    pub met: u64,
}

/// What one level of load showed.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Level {
    /// The load as a multiple of the capacity.
    pub load: f64,
    /// Requests a second, repeats left out.
    pub offered: f64,
    /// Requests a second that were done in time.
    pub goodput: f64,
    /// Requests a second that were refused as not run, for good.
    pub refused: f64,
    /// Requests a second that were done too late.
    pub late: f64,
    /// Requests a second whose outcome is unknown.
    pub unknown: f64,
    /// Repeats a second by callers.
    pub repeats: f64,
    /// The share of reservations and payments that were done in time.
    pub high_met: f64,
    /// The share of the desk's views that were done in time.
    pub normal_met: f64,
    /// The share of calendar views that were done in time.
    pub low_met: f64,
    /// How long refusals took.
    pub refusal: Quantiles,
    /// How long reservations and payments took.
    pub high: Quantiles,
    /// The share that the worst served small tenant got, against the mean of
    /// the small tenants.
    pub fairness: f64,
    /// Promises broken.
    pub violations: usize,
}

/// What all levels showed.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Statements a second that the upstreams can run.
    pub capacity: f64,
    /// Each level.
    pub levels: Vec<Level>,
    /// Goodput at five times the capacity as a share of the highest goodput.
    pub goodput_5x: f64,
    /// The same for queues without limits, deadlines and priorities.
    pub naive_goodput_5x: f64,
    /// The share of reservations and payments done in time at that load.
    pub high_deadline_met_5x: f64,
    /// Promises broken.
    pub violations: usize,
}

/// The statements a second that a group can run.
pub fn capacity(site: Site) -> f64 {
    site.upstreams as f64 * f64::from(site.slots) / site.service_time.as_secs_f64()
}

/// Runs one level for `span`.
pub fn run(site: Site, load: f64, span: Duration, seed: u64) -> Level {
    let mut simulation = Simulation::open(site, load, span, seed);
    simulation.run();
    simulation.level()
}

/// Runs all levels.
pub fn measure(site: Site, span: Duration, seed: u64) -> Summary {
    let job = |n: u64| {
        let load = LEVELS[n as usize];
        let naive = naive::goodput(site, load, span, seed.wrapping_add(n));
        (run(site, load, span, seed.wrapping_add(n)), naive)
    };
    let (levels, naive): (Vec<Level>, Vec<f64>) =
        parallel(LEVELS.len() as u64, job).into_iter().unzip();
    let last = levels.len() - 1;
    let best = levels.iter().map(|l| l.goodput).fold(0.0, f64::max);
    let naive_best = naive.iter().copied().fold(0.0, f64::max);
    Summary {
        capacity: capacity(site),
        goodput_5x: levels[last].goodput / best,
        naive_goodput_5x: naive[last] / naive_best,
        high_deadline_met_5x: levels[last].high_met,
        violations: levels.iter().map(|l| l.violations).sum(),
        levels,
    }
}

/// The weight of each tenant.
const TENANT_WEIGHT: NonZeroU32 = NonZeroU32::MIN;
/// How many tenants there are; the first sends half of the requests.
const TENANTS: usize = 20;

fn random_tenant(rng: &mut ChaCha8Rng) -> usize {
    match rng.random_bool(0.5) {
        true => 0,
        false => rng.random_range(1..TENANTS),
    }
}
