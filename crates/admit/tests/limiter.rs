//! Replays of an account that exceeds its quota against a limiter, in virtual time.

use std::time::Duration;

use admit::{
    bucket::{Bucket, Limit},
    limiter::Limiter,
    service::Priority,
    stock::{GRANT_TTL, Source, Stock},
};
use clock::Instant;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const URGENT: Priority = 0;
const LOW: Priority = 2;

/// Limit of a whole quota of 100 operations a second, with its tolerated excess as the reserve.
const LIMIT: Limit = Limit {
    rate: 100.0,
    burst: 124.0,
    reserve: 24.0,
};

fn at(micros: u64) -> Instant {
    Instant::ZERO + Duration::from_micros(micros)
}

/// Random arrivals until `end_s`, as moments in microseconds with their priorities.
fn arrivals(seed: u64, end_s: u64, rates: &[(Priority, f64)]) -> Vec<(u64, Priority)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for (priority, rate) in rates {
        let mut at = 0.0;
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / rate;
            if at >= end_s as f64 {
                break;
            }
            all.push(((at * 1e6) as u64, *priority));
        }
    }
    all.sort_unstable();
    all
}

/// Grants and refusals of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    granted: u32,
    refused: u32,
}

/// Whether the limiter is told the priorities.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Arrival,
    Priority,
}

/// Sends arrivals to one limiter and returns the tallies of urgent and of low priority.
fn replay(limiter: &mut Limiter, arrivals: &[(u64, Priority)], order: Order) -> [Tally; 2] {
    let mut tallies = [Tally::default(); 2];
    for (micros, priority) in arrivals {
        let told = match order {
            Order::Arrival => 0,
            Order::Priority => *priority,
        };
        let tally = &mut tallies[usize::from(*priority > 0)];
        match limiter.grant(LIMIT, told, 1, at(*micros)) {
            Ok(count) => tally.granted += count,
            Err(_) => tally.refused += 1,
        }
    }
    tallies
}

/// Guards against urgent operations refused for want of quota while less urgent ones use it:
/// an account sends three times its quota, three quarters of it of the lowest priority.
#[test]
fn urgent_operations_within_a_quota_are_granted_during_a_flood() {
    for seed in 0..20 {
        let flood = arrivals(seed, 20, &[(URGENT, 75.0), (LOW, 225.0)]);
        let new = || Limiter::new(Bucket::new(LIMIT.burst, at(0)));
        let [urgent, low] = replay(&mut new(), &flood, Order::Priority);
        assert_eq!(urgent.refused, 0, "seed {seed}");
        let total = f64::from(urgent.granted + low.granted);
        let quota = LIMIT.rate * 20.0 + LIMIT.burst;
        assert!(
            (quota - LIMIT.reserve - 2.0..=quota).contains(&total),
            "seed {seed}: {total} of {quota}"
        );
        let [urgent, _] = replay(&mut new(), &flood, Order::Arrival);
        assert!(
            urgent.refused > urgent.granted,
            "seed {seed}: in order of arrival {urgent:?}"
        );
    }
}

/// Guards against low priorities that are refused for as long as a single urgent caller is active,
/// at a limiter whose part of the quota's burst is less than one operation.
#[test]
fn a_small_share_grants_low_priorities_beside_an_urgent_caller() {
    let limit = Limit {
        rate: 2.0,
        burst: 1.75,
        reserve: 1.5,
    };
    let mut limiter = Limiter::new(Bucket::new(limit.burst, at(0)));
    let mut low = 0;
    for second in 0..60 {
        assert_eq!(
            limiter.grant(limit, URGENT, 1, at(second * 1_000_000)),
            Ok(1)
        );
        let between = at(second * 1_000_000 + 500_000);
        low += limiter.grant(limit, LOW, 1, between).unwrap_or(0);
    }
    assert!(low >= 30, "{low} granted, 60 left by the urgent caller");
}

/// Guards against a quota that is partly lost to low priorities after the urgent callers have
/// stopped.
#[test]
fn what_urgent_callers_leave_is_granted_to_others() {
    let mut limiter = Limiter::new(Bucket::new(LIMIT.burst, at(0)));
    let flood = arrivals(1, 10, &[(URGENT, 75.0), (LOW, 225.0)]);
    replay(&mut limiter, &flood, Order::Priority);
    let alone: Vec<_> = arrivals(2, 10, &[(LOW, 225.0)])
        .iter()
        .map(|(micros, priority)| (micros + 10_000_000, *priority))
        .collect();
    let [_, low] = replay(&mut limiter, &alone, Order::Priority);
    assert!(f64::from(low.granted) >= LIMIT.rate * 10.0 - 1.0, "{low:?}");
}

/// Guards against callers that are told to come back before an operation of their priority is
/// available, and against callers that are told to stay away for much longer.
#[test]
fn an_operation_is_available_at_the_time_to_come_back() {
    const GAP: u64 = 12_500;
    let send_urgent = |limiter: &mut Limiter, between: std::ops::Range<u64>| {
        for micros in between.step_by(GAP as usize) {
            assert_eq!(limiter.grant(LIMIT, URGENT, 1, at(micros)), Ok(1));
        }
    };
    let mut limiter = Limiter::new(Bucket::new(LIMIT.reserve, at(0)));
    let refused_at = 10_000_000;
    send_urgent(&mut limiter, 0..refused_at);
    while limiter.grant(LIMIT, LOW, 1, at(refused_at)).is_ok() {}
    assert_eq!(limiter.grant(LIMIT, URGENT, 5, at(refused_at)), Ok(5));
    let shortage = limiter.grant(LIMIT, LOW, 1, at(refused_at)).unwrap_err();
    let wait = shortage.wait.as_micros() as u64;
    let halfway = refused_at + wait / 2;
    send_urgent(&mut limiter, refused_at + GAP..halfway);
    assert!(limiter.grant(LIMIT, LOW, 1, at(halfway)).is_err());
    send_urgent(&mut limiter, halfway + GAP..refused_at + wait);
    let back_at = refused_at + wait + GAP;
    assert_eq!(limiter.grant(LIMIT, LOW, 1, at(back_at)), Ok(1));
}

/// Guards against a crowd of refused callers that are all told to come back for the next
/// operation, of whom all but one would be refused again.
#[test]
fn refused_callers_that_come_back_as_told_are_granted() {
    const GAP: u64 = 12_500;
    let mut limiter = Limiter::new(Bucket::new(LIMIT.reserve, at(0)));
    let mut events: Vec<_> = (0..1_500).map(|count| (count * GAP, URGENT)).collect();
    let refused_at = 10_000_000;
    let (before, after) = events.split_at((refused_at / GAP) as usize);
    replay(&mut limiter, before, Order::Priority);
    while limiter.grant(LIMIT, LOW, 1, at(refused_at)).is_ok() {}
    let mut returns = after.to_vec();
    for _ in 0..40 {
        let shortage = limiter.grant(LIMIT, LOW, 1, at(refused_at)).unwrap_err();
        let retry = shortage.retry.as_micros() as u64;
        // An urgent operation granted just before takes what accrues in five gaps.
        returns.push((refused_at + retry + 5 * GAP, LOW));
    }
    returns.sort_unstable();
    events = returns;
    let last = events.iter().rfind(|(_, priority)| *priority == LOW);
    let last = last.unwrap();
    // Twenty operations a second are left by the urgent callers.
    assert!((11_900_000..12_500_000).contains(&last.0), "{last:?}");
    let [urgent, low] = replay(&mut limiter, &events, Order::Priority);
    assert_eq!((urgent.refused, low.refused), (0, 0));
}

/// Guards against urgent callers refused without asking because a less urgent caller was
/// refused, and against less urgent ones that ask again for each operation.
#[test]
fn exhaustion_binds_the_same_and_lower_priorities_only() {
    let mut stock = Stock::default();
    let (until, available_at) = (at(300_000), at(400_000));
    stock.exhaust(1, until, available_at, at(0));
    assert_eq!(stock.take(0, at(100_000)), Source::Limiter);
    for priority in [1, 2] {
        assert_eq!(
            stock.take(priority, at(100_000)),
            Source::Exhausted(Duration::from_millis(300))
        );
        assert_eq!(stock.take(priority, until), Source::Limiter);
    }
}

/// Guards against a refund that turns an urgent operation into one for all priorities.
#[test]
fn a_refund_returns_to_the_priority_that_it_was_granted_to() {
    let mut stock = Stock::default();
    stock.add(0, 1, at(0));
    assert_eq!(stock.take(0, at(0)), Source::Granted(0));
    stock.refund(0, at(0));
    assert_eq!(stock.take(2, at(0)), Source::Limiter);
    assert_eq!(stock.take(0, at(0)), Source::Granted(0));
    stock.refund(0, at(0));
    assert_eq!(stock.take(0, at(0) + GRANT_TTL), Source::Limiter);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against refusals by priority of an account that stays within its quota.
    #[test]
    fn an_account_within_its_quota_is_never_refused(
        requests in prop::collection::vec((0_u64..300, 0_u8..4, 1_u32..5), 1..300),
        (rate, burst, reserve) in (1.0_f64..50.0, 4.0_f64..40.0, 0.0_f64..20.0),
    ) {
        let limit = Limit { rate, burst: burst + reserve, reserve };
        let quota = Limit { rate, burst, reserve: 0.0 };
        let mut limiter = Limiter::new(Bucket::new(limit.burst, at(0)));
        // Requests beyond the quota itself aren't sent.
        let mut within_quota = Bucket::new(burst - 0.01, at(0));
        let mut micros = 0;
        for (pause, priority, count) in requests {
            micros += pause * 1_000;
            let now = at(micros);
            let sent = (0..count)
                .take_while(|_| within_quota.take(quota, now, Duration::ZERO).is_ok())
                .count() as u32;
            if sent > 0 {
                prop_assert_eq!(limiter.grant(limit, priority.into(), sent, now), Ok(sent));
            }
        }
    }

    /// Guards against a limit that is exceeded by a mix of priorities.
    #[test]
    fn no_mix_of_priorities_exceeds_the_limit(
        requests in prop::collection::vec((0_u64..100, 0_u8..4, 1_u32..9), 1..300),
    ) {
        let mut limiter = Limiter::new(Bucket::new(LIMIT.burst, at(0)));
        let (mut micros, mut granted) = (0, 0);
        for (pause, priority, count) in requests {
            micros += pause * 1_000;
            granted += limiter.grant(LIMIT, priority.into(), count, at(micros)).unwrap_or(0);
            let most = LIMIT.rate * micros as f64 / 1e6 + LIMIT.burst;
            prop_assert!(f64::from(granted) <= most + 0.01, "{} of {}", granted, most);
        }
    }
}
