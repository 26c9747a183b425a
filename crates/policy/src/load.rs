//! Goodput and refusals under load, up to five times the capacity.
//!
//! The real pools admit, queue and refuse, with two seats per upstream; the
//! real router chooses the upstream. Callers repeat refused requests, so that
//! refusals add load.

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

/// Simulated loads, as multiples of the capacity.
pub const LEVELS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 5.0];

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A slot reservation, which writes.
    Reservation,
    /// A payment, which writes and must not be repeated.
    Payment,
    /// A view of the front desk.
    Desk,
    /// A calendar view.
    Calendar,
}

impl Kind {
    /// All kinds of request.
    pub const ALL: [Self; 4] = [Self::Reservation, Self::Payment, Self::Desk, Self::Calendar];

    /// Share of the requests, in percent.
    ///
    /// At five times the capacity the writes alone use three quarters of the
    /// primary; with more, no policy could meet their deadlines.
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

    /// Time until the caller gives up.
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

/// Requests of one kind or tenant at one load level.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    /// Requests sent, without repeats.
    pub asked: u64,
    /// Requests done in time.
    pub met: u64,
}

/// Result of one load level.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Level {
    /// Load as a multiple of the capacity.
    pub load: f64,
    /// Requests per second, without repeats.
    pub offered: f64,
    /// Requests per second done in time.
    pub goodput: f64,
    /// Requests per second refused as not run, after all repeats.
    pub refused: f64,
    /// Requests per second done too late.
    pub late: f64,
    /// Requests per second whose outcome is unknown.
    pub unknown: f64,
    /// Repeats per second by callers.
    pub repeats: f64,
    /// Share of reservations and payments done in time.
    pub high_met: f64,
    /// Share of desk views done in time.
    pub normal_met: f64,
    /// Share of calendar views done in time.
    pub low_met: f64,
    /// Time until a refusal.
    pub refusal: Quantiles,
    /// Duration of reservations and payments.
    pub high: Quantiles,
    /// Share of requests done in time for the worst served small tenant,
    /// divided by the mean of the small tenants.
    pub fairness: f64,
    /// Consistency violations found by the checkers.
    pub violations: usize,
}

/// Result of all load levels.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Statements per second that the upstreams can run.
    pub capacity: f64,
    /// Result of each level.
    pub levels: Vec<Level>,
    /// Goodput at five times the capacity as a share of the highest goodput.
    pub goodput_5x: f64,
    /// `goodput_5x` of queues without limits, deadlines and priorities.
    pub naive_goodput_5x: f64,
    /// Share of reservations and payments done in time at five times the
    /// capacity.
    pub high_deadline_met_5x: f64,
    /// Consistency violations found by the checkers.
    pub violations: usize,
}

/// Returns the statements per second that a group can run.
pub fn capacity(site: Site) -> f64 {
    site.upstreams as f64 * f64::from(site.slots) / site.service_time.as_secs_f64()
}

/// Simulates one load level for `span`.
pub fn run(site: Site, load: f64, span: Duration, seed: u64) -> Level {
    let mut simulation = Simulation::open(site, load, span, seed);
    simulation.run();
    simulation.level()
}

/// Simulates all load levels.
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

const TENANT_WEIGHT: NonZeroU32 = NonZeroU32::MIN;
/// Number of tenants; the first one sends half of the requests.
const TENANTS: usize = 20;

fn random_tenant(rng: &mut ChaCha8Rng) -> usize {
    match rng.random_bool(0.5) {
        true => 0,
        false => rng.random_range(1..TENANTS),
    }
}
