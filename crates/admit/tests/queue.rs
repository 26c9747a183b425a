//! Simulation of overload at the queue of waiters, in virtual time.

use std::time::Duration;

use admit::{Queue, Waiter};
use clock::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OBJECTIVE: Duration = Duration::from_millis(250);
const GIVE_UP_AFTER: Duration = Duration::from_millis(300);
const SERVICE: Duration = Duration::from_millis(18);
const SLOTS: usize = 3;

/// Order in which waiters are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    Arrival,
    Queue,
}

/// Fraction of requests answered in time over ten seconds by an upstream of three slots, at
/// `load` times its capacity.
fn goodput(load: f64, order: Order, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let gap = SERVICE.as_secs_f64() / SLOTS as f64 / load;
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    while at < 10.0 {
        at += -gap * (1.0 - rng.random::<f64>()).ln();
        arrivals.push(Instant::ZERO + Duration::from_secs_f64(at));
    }
    let mut queue: Queue<Instant> = Queue::default();
    let mut free = [Instant::ZERO; SLOTS];
    let (mut next, mut in_time) = (0, 0);
    loop {
        let slot = (0..SLOTS).min_by_key(|slot| free[*slot]).unwrap();
        let now = match queue.is_empty() {
            true if next == arrivals.len() => break,
            true => free[slot].max(arrivals[next]),
            false => free[slot],
        };
        while next < arrivals.len() && arrivals[next] <= now {
            let since = arrivals[next];
            let due = match order {
                Order::Queue => since + OBJECTIVE,
                // No waiter is ever late and the queue never counts as standing.
                Order::Arrival => since + Duration::from_secs(3_600),
            };
            let since = match order {
                Order::Queue => since,
                Order::Arrival => since + Duration::from_secs(3_600),
            };
            queue.push(Waiter {
                priority: 1,
                since,
                due,
                reply: arrivals[next],
            });
            next += 1;
        }
        queue.retain(|since| *since + GIVE_UP_AFTER > now);
        let Some(waiter) = queue.pop(now, SERVICE) else {
            continue;
        };
        let span = SERVICE.mul_f64(0.5 + rng.random::<f64>());
        free[slot] = now + span;
        in_time += usize::from(now + span <= waiter.reply + OBJECTIVE);
    }
    in_time as f64 / arrivals.len() as f64
}

fn mean(load: f64, order: Order) -> f64 {
    (1..=8).map(|seed| goodput(load, order, seed)).sum::<f64>() / 8.0
}

/// Guards against a third of all requests being late or lost while a primary also does its
/// replicas' work, at 1.5 times its capacity. Served in order of arrival, each request waits
/// as long as it may and is late when its turn comes.
#[test]
fn under_overload_most_answers_are_in_time() {
    let (queue, arrival) = (mean(1.5, Order::Queue), mean(1.5, Order::Arrival));
    assert!(queue > 0.55, "{queue}");
    assert!(queue > arrival * 2.0, "{queue} {arrival}");
}

/// Guards against long waits of some requests without overload, caused by serving the
/// newest first at all times.
#[test]
fn without_overload_the_queue_is_as_good_as_arrival_order() {
    let (queue, arrival) = (mean(0.7, Order::Queue), mean(0.7, Order::Arrival));
    assert!(queue >= arrival - 0.001, "{queue} {arrival}");
    assert!(queue > 0.99, "{queue}");
}

/// Guards against work for answers that are late anyway: a late waiter of high priority
/// would delay others beyond their objective.
#[test]
fn late_waiters_are_served_last_whatever_their_priority() {
    let at = Instant::from_millis;
    let mut queue = Queue::default();
    for (priority, due, reply) in [(0, 50, "late"), (2, 500, "low"), (1, 500, "high")] {
        queue.push(Waiter {
            priority,
            since: at(90),
            due: at(due),
            reply,
        });
    }
    let mut order = Vec::new();
    while let Some(waiter) = queue.pop(at(100), Duration::from_millis(10)) {
        order.push(waiter.reply);
    }
    assert_eq!(order, ["high", "low", "late"]);
}
