//! Division of an upstream's slots among its holders, in virtual time.

use std::{collections::VecDeque, time::Duration};

use admit::{
    budget,
    load::{Load, Meter, Sample, TENTHS},
    windows::{Report, View, Window, capacity, share},
};
use clock::Instant;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 4;
const HOLDERS: usize = 8;

/// Interval at which windows are recomputed, and number of them between two reports.
const TICK_MS: u64 = 25;
const REPORT_TICKS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(300);

/// Statements that a slot runs in a tick.
const PER_SLOT: f64 = 2.5;

fn tick(at: usize) -> Instant {
    Instant::from_millis(10_000 + TICK_MS * at as u64)
}

/// The loads, without that of the holder at `rank`, as reports that arrived at `heard`.
fn reports_to(rank: usize, loads: &[Load], heard: Instant) -> Vec<Option<Report>> {
    let report = |load: &Load| {
        Some(Report {
            load: *load,
            heard,
            next: INTERVAL,
        })
    };
    let others = loads.iter().enumerate().filter(|(at, _)| *at != rank);
    others.map(|(_, load)| report(load)).collect()
}

/// The shares of all holders that know the same loads.
fn shares(slots: usize, loads: &[Load]) -> Vec<usize> {
    let holders = 0..loads.len();
    let share_of = |rank| {
        let reports = reports_to(rank, loads, tick(0));
        let view = View {
            slots,
            holders: loads.len(),
            rank,
            own: loads[rank],
            reports: &reports,
        };
        share(&view, tick(0))
    };
    holders.map(share_of).collect()
}

/// Holders with queues before one upstream; reports arrive after `delay` ticks.
struct Fleet {
    queues: Vec<f64>,
    meters: Vec<Meter>,
    loads: Vec<Load>,
    windows: Vec<Window>,
    sizes: Vec<usize>,
    /// Loads that were reported and have not arrived, with the tick of their arrival.
    in_transit: VecDeque<(usize, usize, Load)>,
    heard: Vec<Option<Report>>,
    delay: usize,
    /// Statements that the slots could have run while requests waited.
    wasted: f64,
}

impl Fleet {
    fn new(delay: usize) -> Self {
        Self {
            queues: vec![0.0; HOLDERS],
            meters: vec![Meter::default(); HOLDERS],
            loads: vec![Load::default(); HOLDERS],
            windows: vec![Window::default(); HOLDERS],
            sizes: vec![budget::window(SLOTS, HOLDERS); HOLDERS],
            in_transit: VecDeque::new(),
            heard: vec![None; HOLDERS],
            delay,
            wasted: 0.0,
        }
    }

    /// Returns the statements of each holder in flight.
    fn run_millisecond(&mut self, arrivals: &[f64; HOLDERS]) -> [f64; HOLDERS] {
        for (queue, arrived) in self.queues.iter_mut().zip(arrivals) {
            *queue += arrived / TICK_MS as f64;
        }
        let sent: [f64; HOLDERS] =
            std::array::from_fn(|rank| self.queues[rank].min(self.sizes[rank] as f64));
        let total: f64 = sent.iter().sum();
        let waiting = self.queues.iter().sum::<f64>() - total;
        let slots = SLOTS as f64;
        self.wasted += (slots - total).clamp(0.0, waiting.max(0.0)) * PER_SLOT / TICK_MS as f64;
        let served = PER_SLOT / TICK_MS as f64 * (slots / total.max(slots));
        for (queue, sent) in self.queues.iter_mut().zip(sent) {
            *queue -= sent * served;
        }
        sent
    }

    fn step(&mut self, at: usize, arrivals: &[f64; HOLDERS]) {
        let mut samples = [Sample::default(); HOLDERS];
        for _ in 0..TICK_MS {
            let sent = self.run_millisecond(arrivals);
            for (sample, (queue, sent)) in samples.iter_mut().zip(self.queues.iter().zip(sent)) {
                sample.running = sent as usize;
                sample.waiting = (queue - sent).max(0.0) as usize;
            }
        }
        for (rank, sample) in samples.into_iter().enumerate() {
            self.loads[rank] = self.meters[rank].record(tick(at), sample);
            if at % REPORT_TICKS == rank {
                let report = (at + self.delay, rank, self.loads[rank]);
                self.in_transit.push_back(report);
            }
        }
        while let Some((_, rank, load)) = self.in_transit.pop_front_if(|(due, ..)| *due <= at) {
            self.heard[rank] = Some(Report {
                load,
                heard: tick(at),
                next: INTERVAL,
            });
        }
        for rank in 0..HOLDERS {
            let mut reports = self.heard.clone();
            reports.remove(rank);
            let view = View {
                slots: SLOTS,
                holders: HOLDERS,
                rank,
                own: self.loads[rank],
                reports: &reports,
            };
            self.sizes[rank] = self.windows[rank].update(&view, tick(at));
        }
    }
}

/// Guards against slots that lie idle while one holder queues, as with fixed parts: two
/// statements in flight of one holder use half of four slots.
#[test]
fn a_single_busy_holder_gets_all_slots() {
    let mut fleet = Fleet::new(1);
    let mut arrivals = [0.0; HOLDERS];
    arrivals[3] = 9.0;
    for at in 0..200 {
        fleet.step(at, &arrivals);
    }
    assert!(fleet.sizes[3] >= SLOTS, "{:?}", fleet.sizes);
    assert!(fleet.queues[3] < 20.0, "{:?}", fleet.queues);
}

/// Guards against a queue of a dozen statements in the upstream, in order of arrival: with fixed
/// parts, eight busy holders have sixteen statements in flight at four slots.
#[test]
fn busy_holders_send_no_more_than_keeps_the_slots_busy() {
    let mut fleet = Fleet::new(1);
    for at in 0..40 {
        fleet.step(at, &[3.0; HOLDERS]);
    }
    assert_eq!(fleet.sizes, [1; HOLDERS]);
    assert_eq!(HOLDERS * budget::window(SLOTS, HOLDERS), 16);
}

/// Guards against urgent requests that wait at one holder while others send slow ones: every busy
/// holder keeps a place, and the rest goes to the urgent requests.
#[test]
fn urgent_requests_get_the_places_first() {
    let waiting = Load {
        waiting: 300,
        ..Load::default()
    };
    let urgent = Load {
        urgent: 300,
        ..waiting
    };
    assert_eq!(shares(SLOTS, &[waiting, urgent, waiting]), [1, 6, 1]);
}

/// Guards against slots that lie idle for a round trip behind each statement: as many busy holders
/// as slots, with one statement in flight each.
#[test]
fn each_slot_has_a_statement_in_transit() {
    let busy = Load {
        waiting: 300,
        ..Load::default()
    };
    assert_eq!(shares(SLOTS, &[busy; SLOTS]), [2; SLOTS]);
}

/// Guards against one account with many requests that gets as much as all accounts of another
/// holder together.
#[test]
fn places_are_divided_by_the_accounts_that_wait() {
    let waiting = |accounts| Load {
        waiting: 300,
        accounts,
        ..Load::default()
    };
    let idle = Load::default();
    let shares = |one, other| shares(SLOTS, &[waiting(one), waiting(other), idle, idle]);
    assert_eq!(shares(10, 50)[..2], [2, 6]);
    assert_eq!(shares(30, 30)[..2], [4, 4]);
}

/// Guards against holders that all take the idle parts, then all give them back, because they act
/// on the same old reports.
#[test]
fn holders_do_not_oscillate_on_reports_300_ms_old() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let ticks = 50 * REPORT_TICKS;
    let capacity = SLOTS as f64 * PER_SLOT;
    for busy in 1..=HOLDERS {
        for load in [0.5, 0.8, 0.95, 1.2] {
            let mut fleet = Fleet::new(REPORT_TICKS);
            let (mut changes, mut late_changes, mut peak) = (0, 0, 0);
            for at in 0..ticks {
                let before = fleet.sizes.clone();
                let arrivals = std::array::from_fn(|rank| match rank < busy {
                    true => random.random_range(0.5..1.5) * capacity * load / busy as f64,
                    false => 0.0,
                });
                fleet.step(at, &arrivals);
                let moves = before.iter().zip(&fleet.sizes);
                let moves: usize = moves.map(|(old, new)| old.abs_diff(*new)).sum();
                changes += moves;
                late_changes += if at > ticks / 2 { moves } else { 0 };
                peak = peak.max(fleet.sizes.iter().sum());
            }
            let context = format!("{busy} busy holders, load {load}");
            assert!(
                changes < HOLDERS * ticks / REPORT_TICKS,
                "{context}: {changes}"
            );
            assert!(load < 1.0 || late_changes == 0, "{context}: {late_changes}");
            assert!(
                peak <= HOLDERS * (budget::window(SLOTS, HOLDERS) + 1),
                "{context}: {peak}"
            );
            // A single holder grows by one place for each report.
            let is_alone = busy == 1;
            let wasted = fleet.wasted / (capacity * ticks as f64);
            assert!(is_alone || wasted < 0.03, "{context}: {wasted}");
        }
    }
}

fn any_load() -> impl Strategy<Value = Load> {
    let counts = (0_u16..60, 0_u16..400, 0_u16..400, 0_u16..60);
    let load = counts.prop_map(|(running, waiting, urgent, accounts)| Load {
        running,
        waiting,
        urgent: urgent.min(waiting),
        accounts: accounts.min(waiting),
    });
    prop_oneof![Just(Load::default()), load]
}

fn any_loads() -> impl Strategy<Value = Vec<Load>> {
    prop::collection::vec(any_load(), 1..=12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn busy_holders_share_what_keeps_the_slots_busy(slots in 1_usize..20, loads in any_loads()) {
        let shares = shares(slots, &loads);
        prop_assert!(shares.iter().all(|share| *share > 0));
        let busy: Vec<_> = (0..loads.len()).filter(|rank| loads[*rank].is_busy()).collect();
        let total: usize = busy.iter().map(|rank| shares[*rank]).sum();
        prop_assert!(total <= capacity(slots).max(busy.len()), "{shares:?}");
        let demand: usize = busy.iter().map(|rank| loads[*rank].total()).sum();
        let light: usize = loads.iter().filter(|load| !load.is_busy()).map(|load| load.total()).sum();
        let is_saturated = demand >= 2 * slots * usize::from(TENTHS) && light < usize::from(TENTHS);
        let one = budget::window(slots, loads.len()) + loads.len();
        prop_assert!(!is_saturated || total >= slots.min(one), "{shares:?}");
    }

    #[test]
    fn more_demand_never_gives_less(
        slots in 1_usize..20,
        loads in any_loads(),
        rank in any::<prop::sample::Index>(),
        more in 0_u16..200,
        is_urgent in any::<bool>(),
    ) {
        let rank = rank.index(loads.len());
        let before = shares(slots, &loads)[rank];
        let mut loads = loads;
        loads[rank].waiting += more;
        loads[rank].urgent += if is_urgent { more } else { 0 };
        prop_assert!(shares(slots, &loads)[rank] >= before);
    }

    #[test]
    fn without_reports_each_holder_has_its_fixed_part(
        slots in 0_usize..20,
        loads in any_loads(),
        rank in any::<prop::sample::Index>(),
        age in 700_u64..5_000,
    ) {
        let holders = loads.len();
        let rank = rank.index(holders);
        let reports = reports_to(rank, &loads, tick(0));
        let now = tick(0) + Duration::from_millis(age);
        let view = View { slots, holders, rank, own: loads[rank], reports: &reports };
        prop_assert_eq!(share(&view, now), budget::window(slots, holders));
        prop_assert_eq!(Window::default().update(&view, now), budget::window(slots, holders));
    }

    /// Each report is lost, or arrives up to one interval late.
    #[test]
    fn lost_and_late_reports_give_at_most_one_place_more_to_each(
        slots in 1_usize..10,
        count in 1_usize..9,
        seed in any::<u64>(),
        loss in 0.0..1.0,
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut windows = vec![Window::default(); count];
        let mut loads = vec![Load::default(); count];
        let mut heard = vec![vec![None; count]; count];
        let mut in_transit = Vec::new();
        for at in 0..30 * REPORT_TICKS {
            for load in &mut loads {
                if random.random_bool(0.02) {
                    load.waiting = [0, 0, 15, 400][random.random_range(0..4)];
                }
            }
            for from in (0..count).filter(|from| at % REPORT_TICKS == *from) {
                for to in (0..count).filter(|to| *to != from) {
                    if !random.random_bool(loss) {
                        let due = at + random.random_range(0..REPORT_TICKS);
                        in_transit.push((due, from, to, loads[from]));
                    }
                }
            }
            in_transit.retain(|(due, from, to, load)| {
                if *due == at {
                    heard[*to][*from] = Some(Report { load: *load, heard: tick(at), next: INTERVAL });
                }
                *due > at
            });
            let mut total = 0;
            for rank in 0..count {
                let mut reports = heard[rank].clone();
                reports.remove(rank);
                let view = View { slots, holders: count, rank, own: loads[rank], reports: &reports };
                total += windows[rank].update(&view, tick(at));
            }
            let fixed = budget::window(slots, count);
            prop_assert!(total <= count * (fixed + 1), "{total} at {at}");
        }
    }
}
