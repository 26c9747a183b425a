//! Seeded runs with random faults, one at a time, combined and repeated.
//!
//! `DANDELIONLINK_HUNT=N` runs N more seeds, starting at `DANDELIONLINK_SEED`.

use std::{env, time::Duration};

use failover::Event;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::world::{Setup, World, instance::members, net::Host, upstream::Down};

/// Number of seeds that always run.
const SEEDS: u64 = 60;

/// Duration of the faults in milliseconds, and the time to recover afterwards.
const FAULT_PHASE_MS: u64 = 20_000;
const RECOVERY: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
enum Fault {
    Crash(usize, Down),
    Return(usize),
    CutZone(usize),
    CutServer(usize),
    CutLink(usize, usize),
    Isolate(usize),
    CutOneWay(usize, usize),
    Heal,
    Pause(Host, Duration),
    Lag(usize, Duration),
    Restart(usize),
    Kill(usize),
    SplitZones(usize),
    Leave(Option<usize>),
    StoreDown,
    StoreUp,
    StoreSlow(Duration),
    LoseAnswers(u32),
}

fn fault(rng: &mut ChaCha8Rng, setup: &Setup) -> Fault {
    let zone = rng.random_range(0..setup.zones);
    let instance = rng.random_range(0..setup.instances);
    let server = rng.random_range(0..setup.upstreams);
    let span = Duration::from_millis(rng.random_range(1..3_000));
    match rng.random_range(0..25) {
        0 => Fault::Crash(server, Down::Process),
        1 => Fault::Crash(server, Down::Host),
        2..5 => Fault::Return(server),
        5 => Fault::CutZone(zone),
        6 => Fault::CutServer(server),
        7 => Fault::CutLink(instance, server),
        8 => Fault::CutOneWay(instance, server),
        9 | 10 => Fault::Heal,
        11 => Fault::Pause(Host::Instance(instance), span),
        12 => Fault::Pause(Host::Server(server), span),
        13 => Fault::Lag(server, span),
        14 => Fault::Restart(instance),
        15 => Fault::StoreDown,
        16 | 17 => Fault::StoreUp,
        18 => Fault::StoreSlow(span / 4),
        19 => Fault::Kill(instance),
        20 => Fault::SplitZones(zone),
        21 => Fault::Leave(Some(server)),
        22 => Fault::Leave(None),
        23 => Fault::Isolate(server),
        _ => Fault::LoseAnswers(rng.random_range(1..5)),
    }
}

fn apply_fault(world: &mut World, fault: Fault) {
    let setup = world.setup.clone();
    match fault {
        Fault::Crash(u, down) => world.servers[u].down = Some(down),
        Fault::Return(u) => world.servers[u].down = None,
        Fault::CutZone(z) => world.net.cut_zone(&setup, z),
        Fault::CutServer(u) => world.net.cut_server(&setup, u),
        Fault::CutLink(i, u) => world.net.cut(Host::Instance(i), Host::Server(u)),
        Fault::Isolate(u) => (0..setup.upstreams)
            .filter(|other| *other != u)
            .for_each(|other| world.net.cut(Host::Server(u), Host::Server(other))),
        Fault::CutOneWay(i, u) => world.net.cut_one_way(Host::Server(u), Host::Instance(i)),
        Fault::Heal => world.net.heal(),
        Fault::Pause(host, span) => world.pause(host, span),
        Fault::Lag(u, lag) => world.servers[u].lag = lag,
        Fault::Restart(i) => world.restart(i),
        Fault::Kill(i) => world.kill(i),
        Fault::SplitZones(below) => world.net.split_zones(&setup, below),
        Fault::Leave(leaving) => set_leaving(world, leaving),
        Fault::StoreDown => world.store.down = true,
        Fault::StoreUp => world.restore_store(),
        Fault::StoreSlow(slow) => world.store.slow = slow,
        Fault::LoseAnswers(answers) => world.store.answers_to_lose = answers,
    }
}

fn set_leaving(world: &mut World, leaving: Option<usize>) {
    for i in 0..world.instances.len() {
        let members = members(&world.setup, leaving);
        world.step(i, Event::Upstreams(members));
    }
}

fn recover(world: &mut World) {
    for server in &mut world.servers {
        server.down = None;
        server.lag = Duration::ZERO;
    }
    world.net.heal();
    world.store.answers_to_lose = 0;
    for i in 0..world.instances.len() {
        if world.instances[i].group.is_none() {
            world.restart(i);
        }
    }
    set_leaving(world, None);
    world.restore_store();
}

/// Runs one seed; returns the injected faults if an invariant was violated.
pub(crate) fn run_seed(setup: Setup, seed: u64) -> Result<World, String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let max_wait_ms = rng.random_range(200..3_000);
    let mut world = World::running(setup, seed);
    world.net.lossy = true;
    let mut faults = Vec::new();
    let start = world.now;
    while world.now.since(start) < Duration::from_millis(FAULT_PHASE_MS) {
        let fault = fault(&mut rng, &world.setup);
        faults.push((world.now.as_micros(), fault));
        apply_fault(&mut world, fault);
        world.run(Duration::from_millis(rng.random_range(1..max_wait_ms)));
    }
    recover(&mut world);
    world.run(RECOVERY);
    let healed = world.now;
    world.run(RECOVERY);
    world.check.check_survival(&world.servers);
    let all: Vec<usize> = (0..world.setup.instances).collect();
    if world.check.violations.is_empty() && world.gap(&all, healed).is_some() {
        return Ok(world);
    }
    let violations = &world.check.violations;
    let shown = &violations[..violations.len().min(3)];
    let end = &world.trace[world.trace.len().saturating_sub(12)..];
    let record = &world.store.entry;
    Err(format!(
        "seed {seed}: {shown:?}\n{faults:?}\n{end:?}\n{record:?}"
    ))
}

fn env_number(name: &str) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Runs every fourth seed, so that the four tests run in parallel.
fn run_share(share: u64) {
    let first = env_number("DANDELIONLINK_SEED");
    let seeds = first..first + SEEDS + env_number("DANDELIONLINK_HUNT");
    let mut ack_count = 0;
    for seed in seeds.filter(|seed| seed % 4 == share) {
        let mut setup = match seed % 3 {
            0 => Setup::stalgenoot(),
            _ => Setup::umurage(),
        };
        if seed % 2 == 1 {
            setup.instances = setup.zones * 2;
        }
        match run_seed(setup, seed) {
            Ok(world) => ack_count += world.check.ack_count(),
            Err(report) => panic!("{report}"),
        }
    }
    assert!(ack_count > 0);
}

#[test]
fn random_faults_violate_no_invariant_first_share() {
    run_share(0);
}

#[test]
fn random_faults_violate_no_invariant_second_share() {
    run_share(1);
}

#[test]
fn random_faults_violate_no_invariant_third_share() {
    run_share(2);
}

#[test]
fn random_faults_violate_no_invariant_fourth_share() {
    run_share(3);
}
