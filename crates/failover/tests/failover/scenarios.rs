//! Single failure scenarios and the invariants that must hold in each.

use std::time::Duration;

use clock::Instant;
use failover::{Event, State};
use model::Term;

use crate::world::{
    InjectedFault, Injection, Setup, World,
    instance::members,
    net::Host,
    upstream::{Down, Server},
};

const SECOND: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn injection(state: State, fault: InjectedFault) -> Vec<Injection> {
    vec![Injection { state, fault }]
}

/// Runs for `span` and checks every invariant; returns the time for which no
/// write was acknowledged at `instances`.
fn run_and_verify(
    world: &mut World,
    span: Duration,
    instances: &[usize],
    since: Instant,
) -> Duration {
    world.run(span);
    world.verify();
    let gap = world.gap(instances, since);
    gap.unwrap_or_else(|| panic!("no write is acknowledged: {:?}", world.trace))
}

/// The primary's process ends and its host refuses connections. Every zone sees
/// the refusal within a probe interval, so no silence time-out is needed.
#[test]
fn primary_process_ends() {
    let mut world = World::running(Setup::umurage(), 1);
    let fault = world.now;
    world.servers[0].down = Some(Down::Process);
    let gap = run_and_verify(&mut world, SECOND, &[0, 1, 2], fault);
    assert!(gap < millis(200), "{gap:?}");
    assert_eq!(world.check.promotions.len(), 1);
}

/// The primary's host is down and nothing refuses connections: a majority of
/// the zones must detect the silence, after which writes are acknowledged
/// again.
#[test]
fn primary_host_is_gone() {
    let mut world = World::running(Setup::umurage(), 2);
    let fault = world.now;
    world.servers[0].down = Some(Down::Host);
    let gap = run_and_verify(&mut world, SECOND, &[0, 1, 2], fault);
    assert!(gap < millis(500), "{gap:?}");
    assert_eq!(world.check.promotions.len(), 1);
}

/// The primary's zone is cut off together with an instance and callers. The old
/// primary still runs their writes: none may be acknowledged, and after the cut
/// heals the old primary must drop its tail and follow the new one.
#[test]
fn cut_off_zone_with_callers() {
    let mut world = World::running(Setup::umurage(), 3);
    let setup = world.setup.clone();
    world.net.cut_zone(&setup, 0);
    let fault = world.now;
    let gap = run_and_verify(&mut world, SECOND * 3, &[1, 2], fault);
    assert!(gap < millis(600), "{gap:?}");
    assert_eq!(world.first_ack(0, fault), None);
    let tail = world.servers[0].log.len();
    world.net.heal();
    world.store_watch();
    let healed = world.now;
    run_and_verify(&mut world, SECOND * 2, &[0, 1, 2], healed);
    assert_eq!(world.servers[0].leads, Term(1));
    assert!(world.servers[0].follows.is_some());
    assert!(
        tail > 0
            && world.servers[0].log.iter().all(|entry| {
                let leader = world.servers.iter().find(|s| s.leads == Term(2)).unwrap();
                leader.log.contains(entry)
            })
    );
}

/// The primary is cut off from the other zones, and the instance of its own
/// zone reports it alive. No replica receives its log: the reported log
/// position proves it, and the report must stop delaying the claim.
#[test]
fn cut_off_primary_reachable_from_its_zone() {
    let mut world = World::running(Setup::umurage(), 4);
    let setup = world.setup.clone();
    world.net.cut_server(&setup, 0);
    let fault = world.now;
    let gap = run_and_verify(&mut world, SECOND * 3, &[0, 1, 2], fault);
    assert!(gap > millis(500) && gap < millis(700), "{gap:?}");
}

/// As above, but without writes: no log position can prove that the primary is
/// cut off. The report may delay the claim only for a bounded time.
#[test]
fn cut_off_idle_primary_reachable_from_its_zone() {
    let mut setup = Setup::umurage();
    setup.write_interval = SECOND * 600;
    let mut world = World::running(setup, 4);
    world.run(SECOND);
    let setup = world.setup.clone();
    world.net.cut_server(&setup, 0);
    let fault = world.now;
    world.run(SECOND * 3);
    world.verify();
    let (at, _, _) = world.check.promotions[0];
    let gap = at.since(fault);
    assert!(gap > millis(1_000) && gap < millis(2_000), "{gap:?}");
}

/// Only the links from the primary to its replicas are cut: every instance sees
/// the primary alive, but no write commits. The primary must be replaced by
/// another upstream, although its own log is the longest.
#[test]
fn a_primary_isolated_from_its_replicas_is_replaced() {
    let mut world = World::running(Setup::umurage(), 9);
    world.net.cut(Host::Server(0), Host::Server(1));
    world.net.cut(Host::Server(0), Host::Server(2));
    let fault = world.now;
    let gap = run_and_verify(&mut world, SECOND * 4, &[0, 1, 2], fault);
    assert!(gap < millis(2_000), "{gap:?}");
    assert_eq!(world.check.promotions.len(), 1);
    assert_ne!(world.check.promotions[0].2, 0);
}

/// One of two replicas is cut off from the primary. The other one forms a
/// majority with it, so no promotion may happen.
#[test]
fn one_replica_is_cut_from_the_primary() {
    let mut world = World::running(Setup::umurage(), 10);
    world.net.cut(Host::Server(0), Host::Server(1));
    let fault = world.now;
    run_and_verify(&mut world, SECOND * 10, &[0, 1, 2], fault);
    assert_eq!(world.check.promotions, []);
}

/// One zone cannot reach the primary, the others can: no candidate may claim,
/// however long the cut lasts.
#[test]
fn a_zone_that_cannot_reach_the_primary_does_not_claim() {
    let mut world = World::running(Setup::umurage(), 5);
    world.net.cut(Host::Instance(1), Host::Server(0));
    world.net.cut(Host::Server(1), Host::Server(0));
    world.run(SECOND * 30);
    world.verify();
    assert_eq!(world.check.promotions, []);
    assert_eq!(world.store.swaps, 0);
}

/// The instances of two of three zones cannot reach the primary, but the
/// replicas still receive its log and writes commit through the third.
/// Replacing the primary would interrupt these writes.
#[test]
fn a_replicating_primary_is_not_replaced() {
    let mut world = World::running(Setup::umurage(), 6);
    world.net.cut(Host::Instance(1), Host::Server(0));
    world.net.cut(Host::Instance(2), Host::Server(0));
    world.run(SECOND * 10);
    world.verify();
    assert_eq!(world.check.promotions, []);
}

/// A zone without the primary is cut off. It suspects all upstreams but reaches
/// no majority, so it must not claim, even if it reaches the store.
#[test]
fn a_cut_off_zone_does_not_claim() {
    let mut world = World::running(Setup::umurage(), 7);
    let setup = world.setup.clone();
    world.net.cut_zone(&setup, 2);
    world.net.restore(Host::Instance(2), Host::Store);
    let fault = world.now;
    run_and_verify(&mut world, SECOND * 10, &[0, 1], fault);
    assert_eq!(world.store.swaps, 0);
}

/// A candidate is paused for seconds and resumes with stale evidence. It must
/// not take its own pause for silence of the primary.
#[test]
fn a_paused_candidate_does_not_claim() {
    let mut world = World::running(Setup::umurage(), 8);
    for i in 0..3 {
        world.pause(Host::Instance(i), SECOND * 3);
    }
    world.run(SECOND * 10);
    world.verify();
    assert_eq!(world.store.swaps, 0);
}

/// The promoter dies at each step, before or after the messages of that step
/// have left. Another candidate must overtake its claim with a higher term, or
/// complete its record, within a bounded time.
#[test]
fn promoter_dies_at_each_step() {
    let steps = [
        State::Claiming,
        State::Fencing,
        State::Promoting,
        State::Recording,
    ];
    for (seed, state) in (0..).zip(steps) {
        for fault in [InjectedFault::DieBefore, InjectedFault::DieAfter] {
            let mut world = World::running(Setup::umurage(), 20 + seed);
            world.servers[0].down = Some(Down::Host);
            world.injections = injection(state, fault);
            let fault = world.now;
            world.run(SECOND * 4);
            let alive: Vec<_> = (0..3)
                .filter(|&i| world.instances[i].group.is_some())
                .collect();
            assert_eq!(alive.len(), 2, "{state:?} {fault:?}");
            let gap = run_and_verify(&mut world, SECOND, &alive, fault);
            assert!(gap < millis(2_000), "{state:?} {fault:?} {gap:?}");
        }
    }
}

/// The promoter pauses at each step for longer than the claim time-out, and
/// resumes with orders and a swap still to come. These carry a fenced term or
/// an old revision and must have no effect.
#[test]
fn promoter_pauses_and_resumes() {
    let steps = [
        State::Claiming,
        State::Fencing,
        State::Promoting,
        State::Recording,
    ];
    for (seed, state) in (0..).zip(steps) {
        let mut world = World::running(Setup::umurage(), 30 + seed);
        world.servers[0].down = Some(Down::Host);
        world.injections = injection(state, InjectedFault::Pause(SECOND * 3));
        let fault = world.now;
        world.run(SECOND * 6);
        let gap = run_and_verify(&mut world, SECOND, &[0, 1, 2], fault + SECOND * 4);
        assert!(gap < millis(500), "{state:?} {gap:?}");
    }
}

/// The swap of the claim takes effect and its answer is lost, once or several
/// times. The promoter must recognise its own claim when it reads the record.
#[test]
fn answers_of_the_store_are_lost() {
    for lost in 1..6 {
        let mut world = World::running(Setup::umurage(), 40);
        world.servers[0].down = Some(Down::Host);
        world.injections = injection(State::Claiming, InjectedFault::LoseAnswers(lost));
        let fault = world.now;
        let gap = run_and_verify(&mut world, SECOND * 4, &[0, 1, 2], fault);
        assert!(gap < millis(3_000), "{lost} {gap:?}");
    }
}

/// The store is down when the primary fails. No candidate may promote without a
/// claim, so writes wait for the store and must be acknowledged soon after the
/// store is back.
#[test]
fn store_is_down_before_the_crash() {
    let mut world = World::running(Setup::umurage(), 50);
    world.store.down = true;
    world.run(SECOND);
    let fault = world.now;
    let served = world.gap(&[0, 1, 2], fault - SECOND);
    assert!(served.is_some(), "writes continue without the store");
    world.servers[0].down = Some(Down::Host);
    world.run(SECOND * 5);
    assert_eq!(world.check.promotions, []);
    world.restore_store();
    let back = world.now;
    let gap = run_and_verify(&mut world, SECOND * 3, &[0, 1, 2], back);
    assert!(gap < millis(1_500), "{gap:?}");
}

/// The store goes down between the claim and the record of the new primary. The
/// claim settles which candidate may promote, so the new primary is announced
/// and serves; its record must follow when the store is back.
#[test]
fn store_goes_down_between_claim_and_record() {
    for state in [State::Fencing, State::Promoting, State::Recording] {
        let mut world = World::running(Setup::umurage(), 51);
        world.servers[0].down = Some(Down::Host);
        world.injections = injection(state, InjectedFault::StoreDown);
        let fault = world.now;
        let gap = run_and_verify(&mut world, SECOND * 5, &[0, 1, 2], fault);
        assert!(gap < millis(600), "{state:?} {gap:?}");
        world.restore_store();
        world.run(SECOND * 5);
        world.verify();
        let entry = world.store.entry.clone().unwrap();
        assert!(entry.record.leader().is_some(), "{state:?} {entry:?}");
        assert_eq!(world.check.promotions.len(), 1, "{state:?}");
    }
}

/// The store goes down between claim and record, and the promoter dies after
/// announcing the new primary. Another candidate must complete the record when
/// the store is back, without a second promotion.
#[test]
fn announced_primary_is_recorded_by_another() {
    let mut world = World::running(Setup::umurage(), 52);
    world.servers[0].down = Some(Down::Host);
    world.injections = injection(State::Promoting, InjectedFault::StoreDown);
    world
        .injections
        .extend(injection(State::Recording, InjectedFault::DieAfter));
    world.run(SECOND * 3);
    world.restore_store();
    world.run(SECOND * 5);
    world.verify();
    let entry = world.store.entry.clone().unwrap();
    assert!(
        entry.record.leader().is_some(),
        "{entry:?} {:?}",
        world.trace
    );
    assert_eq!(world.check.promotions.len(), 1);
}

/// Each answer of the store takes 1.5 s, longer than the first time-outs.
/// Retries must not pile up claims.
#[test]
fn store_is_slow() {
    let mut world = World::running(Setup::umurage(), 53);
    world.store.slow = millis(1_500);
    world.servers[0].down = Some(Down::Host);
    let fault = world.now;
    let gap = run_and_verify(&mut world, SECOND * 20, &[0, 1, 2], fault);
    assert!(gap < millis(8_000), "{gap:?}");
    assert!(world.store.swaps <= 4, "{}", world.store.swaps);
}

/// The store answers later than every time-out, and no watch delivers anything.
/// A new instance must still learn the primary: a late answer must not be
/// dropped because its call has timed out.
#[test]
fn answers_of_the_store_are_later_than_any_wait() {
    let mut world = World::open(Setup::umurage(), 54);
    world.store.slow = millis(2_500);
    world.run(SECOND * 6);
    world.verify();
    assert!(
        world.gap(&[0, 1, 2], Instant::ZERO).is_some(),
        "{:?}",
        world.trace
    );
}

/// Two candidates claim at once because neither hears the other. The swap must
/// settle which one wins: one term has one primary.
#[test]
fn two_promoters_at_once() {
    for seed in 60..80 {
        let mut world = World::running(Setup::umurage(), seed);
        for (one, other) in [(0, 1), (0, 2), (1, 2)] {
            world.net.cut(Host::Instance(one), Host::Instance(other));
        }
        world.servers[0].down = Some(Down::Process);
        let fault = world.now;
        let gap = run_and_verify(&mut world, SECOND * 4, &[0, 1, 2], fault);
        assert!(gap < millis(2_500), "{seed} {gap:?}");
    }
}

/// A primary crashes and comes back as a replica, and the new primary crashes
/// as soon as it leads. The second change is held off briefly and must lose no
/// write.
#[test]
fn two_crashes_in_a_row() {
    let mut world = World::running(Setup::umurage(), 81);
    world.servers[0].down = Some(Down::Host);
    world.run(SECOND);
    world.servers[0].down = None;
    world.run(millis(300));
    let (_, _, second) = *world.check.promotions.last().unwrap();
    world.servers[second].down = Some(Down::Host);
    let fault = world.now;
    let gap = run_and_verify(&mut world, SECOND * 3, &[0, 1, 2], fault);
    assert!(gap < millis(1_000), "{gap:?}");
    world.servers[second].down = None;
    world.run(SECOND);
    world.verify();
    assert!(world.servers.iter().all(|s: &Server| s.log.len() > 1));
}

/// Every primary fails soon after its promotion and comes back after a second,
/// again and again. The hold-off must make changes of primary rarer.
#[test]
fn repeated_failures_are_held_off() {
    let mut world = World::running(Setup::umurage(), 82);
    let mut before = 0;
    let mut counts = Vec::new();
    for _ in 0..4 {
        for _ in 0..15 {
            let leader = world.check.promotions.last().map_or(0, |(_, _, u)| *u);
            world.servers[leader].down = Some(Down::Host);
            world.run(SECOND);
            world.servers[leader].down = None;
            world.run(SECOND);
        }
        counts.push(world.check.promotions.len() - before);
        before = world.check.promotions.len();
    }
    world.verify();
    assert!(counts[0] > counts[3] && counts[3] <= 2, "{counts:?}");
}

/// A primary is being taken out of service. A replica that holds all of its log
/// must become primary, without any failure.
#[test]
fn a_leaving_primary_hands_over() {
    let mut world = World::running(Setup::umurage(), 83);
    let fault = world.now;
    for i in 0..3 {
        let members = members(&world.setup, Some(0));
        world.step(i, Event::Upstreams(members));
    }
    let gap = run_and_verify(&mut world, SECOND * 2, &[0, 1, 2], fault);
    assert!(gap < millis(200), "{gap:?}");
    let (_, term, upstream) = *world.check.promotions.last().unwrap();
    assert!(
        upstream != 0 && term == Term(2),
        "{:?}",
        world.check.promotions
    );
    assert_eq!(world.check.promotions.len(), 1);
}

/// A database without a record: the primary that a majority follows must be
/// recorded as it is, without a promotion.
#[test]
fn a_first_record_adopts_the_primary() {
    let mut setup = Setup::umurage();
    setup.has_record = false;
    let mut world = World::running(setup, 84);
    world.verify();
    assert!(world.gap(&[0, 1, 2], Instant::ZERO).is_some());
    assert_eq!(world.check.promotions, []);
    assert_eq!(world.store.entry.clone().unwrap().record.term, Term(1));
}

/// One of the two replicas is far behind when the primary fails. The one that
/// holds the acknowledged writes must be chosen.
#[test]
fn a_lagging_replica_is_not_chosen() {
    for (lagging, caught_up) in [(1, 2), (2, 1)] {
        let mut world = World::running(Setup::umurage(), 85);
        world.servers[lagging].lag = SECOND * 60;
        world.run(SECOND);
        world.servers[0].down = Some(Down::Host);
        let fault = world.now;
        world.run(millis(500));
        world.servers[lagging].lag = Duration::ZERO;
        run_and_verify(&mut world, SECOND * 3, &[0, 1, 2], fault);
        assert_eq!(world.check.promotions[0].2, caught_up);
    }
}

/// A zone with the primary, an instance and callers goes down at once: no host
/// refuses connections, and the last evidence of the lost zone still reports
/// the primary alive. This evidence must expire and not delay the claim.
#[test]
fn a_lost_zone_does_not_delay_the_claim() {
    let mut world = World::running(Setup::stalgenoot(), 86);
    world.servers[0].down = Some(Down::Host);
    world.instances[0].group = None;
    let fault = world.now;
    let gap = run_and_verify(&mut world, SECOND * 2, &[1, 2, 3], fault);
    assert!(gap < millis(700), "{gap:?}");
}
