//! Keepers of one account's quota before a store, on days on which anything happens to them:
//! they start again, stand still, or are cut off from the store or from each other, and whoever
//! looks after the table takes their shares away meanwhile.

use std::time::Duration;

use admit::{
    bucket::{Bucket, Limit},
    holders::Candidate,
    shares::{Planner, TOTAL_PARTS, Table},
};
use clock::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ACCOUNT: &str = "north";
const NAMES: [&str; 8] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2", "d-1", "d-2"];
const ZONES: [&str; 8] = ["a", "a", "b", "b", "c", "c", "d", "d"];

/// The quota, what it may be exceeded by in a window, and the window.
const RATE: f64 = 20.0;
const BURST: f64 = 20.0;
const WINDOW: u64 = 5_000;
const SLACK: f64 = 0.1 * (RATE * 5.0 + BURST) + 20.0;

/// What a keeper has when it starts.
const START: f64 = 0.3 * SLACK;

/// How long a table may be used unseen.
const SPAN: Duration = Duration::from_secs(15);

const STEP: u64 = 20;
const STEPS: u64 = 2_500;
const SEEDS: u64 = 60;

/// Whether shares that were taken away stay reserved, so that the check is seen to fail.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reserve {
    Kept,
    Dropped,
}

struct Keeper {
    table: Table,
    /// From when its proof counts that its table is the newest.
    proved: u64,
    bucket: Option<Bucket>,
    /// Until when it is not there, and whether it starts anew then.
    away: u64,
    restarts: bool,
    /// Until when it does not reach the store, and until when those who look after the table
    /// don't hear it.
    cut: u64,
    unheard: u64,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms + 20_000)
}

/// Plays a day on which as much is asked for as there is; when operations were given.
fn play(seed: u64, reserve: Reserve) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut stored = (Table::default(), 0_u64);
    let mut ledgers = [(); 2].map(|()| Planner::new(SPAN, at(0)));
    let mut keepers: Vec<_> = NAMES
        .iter()
        .map(|_| Keeper {
            table: Table::default(),
            proved: 0,
            bucket: None,
            away: 0,
            restarts: false,
            cut: 0,
            unheard: 0,
        })
        .collect();
    let mut given = Vec::new();
    for now in (0..STEPS).map(|step| step * STEP) {
        for keeper in &mut keepers {
            if keeper.restarts && keeper.away <= now {
                keeper.restarts = false;
                (keeper.bucket, keeper.table) = (None, Table::default());
            }
            if rng.random_ratio(1, 1_500) {
                keeper.away = now + rng.random_range(100..9_000);
                keeper.restarts = rng.random_ratio(1, 2);
            }
            if rng.random_ratio(1, 900) {
                keeper.cut = now + rng.random_range(100..14_000);
            }
            if rng.random_ratio(1, 900) {
                keeper.unheard = now + rng.random_range(100..20_000);
            }
            // What the store has is known a little later, if it is reached.
            let reaches = keeper.away <= now && keeper.cut <= now;
            if reaches && rng.random_ratio(1, 20) {
                keeper.table = stored.0.clone();
                keeper.proved = now;
            }
        }
        // Two look after the table, and don't see the same; one of them may be behind.
        for ledger in &mut ledgers {
            let heard: Vec<_> = (0..NAMES.len())
                .filter(|at| keepers[*at].away <= now && keepers[*at].unheard <= now)
                .filter(|_| !rng.random_ratio(1, 50))
                .collect();
            if now < 1_000 || heard.is_empty() || !rng.random_ratio(1, 5) {
                continue;
            }
            let candidates: Vec<_> = heard
                .iter()
                .map(|at| Candidate {
                    name: NAMES[*at],
                    zone: ZONES[*at],
                    weight: 25,
                    able: true,
                })
                .collect();
            let names: Vec<_> = heard.iter().map(|at| NAMES[*at]).collect();
            let (mut table, revision) = stored.clone();
            if reserve == Reserve::Dropped {
                for share in table.rows.values_mut().flat_map(|row| row.values_mut()) {
                    share.reserved = share.parts;
                }
            }
            if let Some(next) = ledger.plan(&table, &[ACCOUNT], &names, &candidates, at(now)) {
                stored = (next, revision + 1);
            }
        }
        for (keeper, name) in keepers.iter_mut().zip(NAMES) {
            let proved = now < keeper.proved + SPAN.as_millis() as u64 * 49 / 50;
            let parts = keeper.table.parts(ACCOUNT, name);
            if keeper.away > now || !proved || parts == 0 {
                continue;
            }
            let part = f64::from(parts) / f64::from(TOTAL_PARTS);
            let limit = Limit {
                rate: RATE * part,
                burst: (BURST + 0.3 * SLACK) * part,
            };
            let new = || Bucket::new(START * part, at(now));
            let bucket = keeper.bucket.get_or_insert_with(new);
            while bucket.take(limit, at(now), Duration::ZERO).is_ok() {
                given.push(now);
            }
        }
    }
    given
}

/// The most operations that one window had.
fn most(given: &[u64]) -> usize {
    let windows = given.iter().enumerate().map(|(first, from)| {
        let inside = given[first..].iter().take_while(|at| **at < from + WINDOW);
        inside.count()
    });
    windows.max().unwrap_or(0)
}

fn allowed() -> usize {
    (RATE * 5.0 + BURST + SLACK) as usize
}

#[test]
fn no_window_has_more_than_the_quota_and_its_slack() {
    let mut all = 0;
    for seed in 0..SEEDS {
        let given = play(seed, Reserve::Kept);
        let most = most(&given);
        assert!(most <= allowed(), "seed {seed}: {most} of {}", allowed());
        all += given.len();
    }
    let usual = SEEDS as f64 * RATE * (STEPS * STEP / 1_000) as f64;
    assert!(all as f64 > usual * 0.6, "only {all} of {usual} were given");
}

/// The check fails where a share that was taken away is given to another at once: its keeper
/// may be cut off, and goes on using it.
#[test]
fn shares_that_are_not_reserved_exceed_the_quota() {
    let exceeds = |seed| most(&play(seed, Reserve::Dropped)) > allowed();
    assert!((0..SEEDS).any(exceeds));
}

/// Symptom: a customer is refused below its limit for as long as a machine is replaced.
/// Events: one of its four keepers is lost for good.
#[test]
fn the_share_of_a_lost_keeper_goes_to_another_once_it_is_not_used_any_more() {
    let one = |at: usize| Candidate {
        name: NAMES[at],
        zone: ZONES[at],
        weight: 25,
        able: true,
    };
    let all: Vec<_> = (0..NAMES.len()).map(one).collect();
    let mut ledger = Planner::new(SPAN, at(0));
    let table = ledger
        .plan(&Table::default(), &[ACCOUNT], &NAMES, &all, at(0))
        .unwrap();
    let keepers: Vec<_> = table.limiters(ACCOUNT).map(str::to_owned).collect();
    assert_eq!(keepers.len(), 4);
    let rest: Vec<_> = all
        .iter()
        .filter(|c| c.name != keepers[0])
        .copied()
        .collect();
    let names: Vec<_> = rest.iter().map(|c| c.name).collect();
    let mut tables = vec![table];
    let mut free_at = None;
    for now in (0..40_000).step_by(100) {
        let last = tables.last().unwrap();
        if let Some(next) = ledger.plan(last, &[ACCOUNT], &names, &rest, at(now)) {
            let parts = names.iter().map(|name| next.parts(ACCOUNT, name));
            if parts.sum::<u16>() == TOTAL_PARTS {
                free_at.get_or_insert(now);
            }
            tables.push(next);
        }
    }
    let free_at = free_at.expect("the share is used again");
    assert!(free_at >= SPAN.as_millis() as u64, "at {free_at} ms");
    assert!(tables.len() <= 4, "{} tables", tables.len());
}
