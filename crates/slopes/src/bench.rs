//! What is measured at one size of the fleet.

use std::time::Duration;

use bytes::Bytes;
use clock::Instant;
use fleet::{Assignments, Mirror, Watch};
use serde::Serialize;
use wire::{Change, Endpoint, Mark, Message, Node, Revision, Ring, State, Update, View};

use crate::{Setup, World};

/// How long rumours of the start are given to end.
const WARM_UP_TIME: Duration = Duration::from_secs(25);
/// How long traffic is counted for each share of loss.
const WINDOW: Duration = Duration::from_secs(30);
/// Changes of the catalogue and restarts within the window: at 4,000 instances
/// twice the target's 4,200 changes and three times its 1,651 restarts a day.
const CHANGES: u32 = 3;
const RESTARTS: usize = 2;
/// The target's 175 changes in an hour, put together into fewer revisions: what
/// healing costs depends on the keys that differ.
const HOUR_REVISIONS: usize = 7;
const HOUR_KEYS: usize = 25;
/// How long a change may take to be in force everywhere.
const SPREAD_MAX: Duration = Duration::from_secs(60);
/// The target's databases, and entries reckoned at two for each.
const DATABASES: usize = 6_600;
const ENTRIES: usize = 13_200;
/// How many probers each database has.
const PROBERS: usize = 3;

/// What happens while a row is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Changes of the catalogue and restarts.
    Ordinary,
    /// One instance in a hundred, a relay among them, dies without a word right
    /// before each change, and is started again after it.
    Killed,
    /// A zone dies right before the change.
    ZoneLost,
    /// All of that zone's instances start again at once; what is timed is how
    /// long until the last of them has the catalogue.
    ZoneStarted,
    /// A region is cut off from the others and the store.
    RegionCut,
    /// That region is joined again, after as many changes as the target has in
    /// an hour; what is timed is how long until its last instance has them.
    RegionHealed,
}

/// What was measured at one size, in one scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// What happened meanwhile.
    pub scenario: Scenario,
    /// How many instances.
    pub nodes: usize,
    /// The share of datagrams lost.
    pub loss: f64,
    /// Until the last reachable instance had a change in force, the slowest of
    /// several changes.
    pub spread_p100_ms: f64,
    /// Until half of the instances had it, likewise.
    pub spread_p50_ms: f64,
    /// Bytes sent and received, headers and seals included; mean of instances.
    pub bytes_per_node_s: f64,
    /// The same of the instance that has most.
    pub bytes_per_node_s_max: f64,
    /// Messages sent and received; mean of instances.
    pub messages_per_node_s: f64,
    /// Control state of one instance with the target's catalogue.
    pub state_bytes: usize,
    /// The part of it that is the table of members.
    pub table_bytes: usize,
    /// Heap of the whole process by instance, its queue and small catalogue
    /// included: a check on the reckoned state.
    pub heap_per_node: usize,
    /// Requests to the store and answers to watches, and each waiting watch
    /// once a second.
    pub store_calls_s: f64,
    /// Watches that wait at the store.
    pub watches: usize,
    /// Share of a core: steps as measured, and seals as measured a message.
    pub cpu_share: f64,
    /// Members suspected at the end that run.
    pub wrong_suspects: usize,
    /// Promises broken, which must be none.
    pub violations: usize,
}

/// Measures one size in every scenario; `heap` tells the bytes allocated in the process.
pub fn measure(nodes: usize, seed: u64, heap: impl Fn() -> usize) -> Vec<Row> {
    let before = heap();
    let mut world = World::open(Setup::sized(nodes, seed));
    world.apply(&[("catalog/entry/first", Some(b"first"))]);
    for database in 0..DATABASES.min(nodes) {
        world.write(&[(&format!("primary/{database}"), Some(&[7; 90]))]);
    }
    world.warm_up(WARM_UP_TIME);
    let seal_time = measure_seal_time();
    let target_bytes = target_bytes(&world);
    let mut rows = Vec::new();
    let mut benchmark = Benchmark {
        world,
        seal_time,
        target_bytes,
    };
    for (loss, scenario) in [
        (0.0, Scenario::Ordinary),
        (0.01, Scenario::Ordinary),
        (0.1, Scenario::Ordinary),
        (0.01, Scenario::Killed),
        (0.01, Scenario::ZoneLost),
        (0.01, Scenario::ZoneStarted),
        (0.01, Scenario::RegionCut),
        (0.01, Scenario::RegionHealed),
    ] {
        benchmark.world.loss = loss;
        let mut row = benchmark.measure(scenario);
        row.heap_per_node = heap().saturating_sub(before) / nodes;
        rows.push(row);
    }
    rows
}

struct Benchmark {
    world: World,
    /// What sealing or opening a frame takes.
    seal_time: Duration,
    /// The bytes of the target's keys and duties.
    target_bytes: usize,
}

impl Benchmark {
    fn measure(&mut self, scenario: Scenario) -> Row {
        let world = &mut self.world;
        world.reset_counts();
        let spreads = match scenario {
            Scenario::Ordinary => ordinary(world),
            Scenario::Killed => killed(world),
            Scenario::ZoneLost => {
                kill_zone(world);
                vec![time_change(world, 0)]
            }
            Scenario::ZoneStarted => start_zone(world),
            Scenario::RegionCut => {
                set_region(world, 1);
                vec![time_change(world, 0)]
            }
            Scenario::RegionHealed => heal_region(world),
        };
        let spent = world.now().since(world.counted_since());
        world.run(WINDOW.saturating_sub(spent));
        let span = world.now().since(world.counted_since());
        self.row(scenario, span, &spreads)
    }
}

fn ordinary(world: &mut World) -> Vec<Vec<f64>> {
    let start = world.now();
    let mut spreads = Vec::new();
    for change in 0..CHANGES {
        if (change as usize) < RESTARTS {
            restart_one(world, change as usize);
        }
        spreads.push(time_change(world, change));
        wait_for_change(world, start, change);
    }
    spreads
}

fn killed(world: &mut World) -> Vec<Vec<f64>> {
    let start = world.now();
    let mut spreads = Vec::new();
    for change in 0..CHANGES {
        let victims = choose_victims(world, world.len().div_ceil(100));
        for &slot in &victims {
            world.kill(slot);
        }
        spreads.push(time_change(world, change));
        for slot in victims {
            world.start(slot);
        }
        wait_for_change(world, start, change);
    }
    spreads
}

/// Changes come at even distances within the window.
fn wait_for_change(world: &mut World, start: Instant, change: u32) {
    let spent = world.now().since(start);
    world.run((WINDOW / CHANGES * (change + 1)).saturating_sub(spent));
}

fn zone(world: &World) -> Vec<usize> {
    let zone = world.zone(world.len() - 1);
    let slots = 0..world.len();
    slots.filter(|&slot| world.zone(slot) == zone).collect()
}

fn kill_zone(world: &mut World) {
    for slot in zone(world) {
        world.kill(slot);
    }
}

fn start_zone(world: &mut World) -> Vec<Vec<f64>> {
    let slots = zone(world);
    let start = world.now();
    for &slot in &slots {
        world.start(slot);
    }
    let newest = newest(world);
    let all = |world: &World| slots.iter().all(|&slot| has_applied(world, slot, newest));
    world.run_until(SPREAD_MAX, all);
    vec![spread_times(world, start, newest, &slots)]
}

/// Puts the last three of ten zones, or the last of fewer, on an island.
fn set_region(world: &mut World, partition: u8) {
    for slot in region(world) {
        world.set_partition(slot, partition);
    }
}

fn region(world: &World) -> Vec<usize> {
    let zones = 1
        + (0..world.len())
            .map(|slot| world.zone(slot))
            .max()
            .unwrap_or(0);
    let first = zones - zones.div_ceil(4);
    let slots = 0..world.len();
    slots.filter(|&slot| world.zone(slot) >= first).collect()
}

fn heal_region(world: &mut World) -> Vec<Vec<f64>> {
    for number in 0..HOUR_REVISIONS {
        let keys: Vec<_> = (0..HOUR_KEYS)
            .map(|key| format!("catalog/entry/hour-{number}-{key}"))
            .collect();
        let value = [7; 200];
        let changes: Vec<(&str, Option<&[u8]>)> = keys
            .iter()
            .map(|key| (key.as_str(), Some(value.as_slice())))
            .collect();
        world.apply(&changes);
        world.run(Duration::from_secs(1));
    }
    world.run(Duration::from_secs(10));
    set_region(world, 0);
    world.reset_counts();
    let start = world.now();
    let newest = newest(world);
    let slots = region(world);
    let all = |world: &World| slots.iter().all(|&slot| has_applied(world, slot, newest));
    world.run_until(SPREAD_MAX, all);
    vec![spread_times(world, start, newest, &slots)]
}

fn newest(world: &World) -> Revision {
    let applied = world.running().map(|slot| world.applied(slot).0);
    applied.max().unwrap_or(Revision::NONE)
}

/// Instances spread over the fleet, a relay first: its death costs most.
fn choose_victims(world: &World, count: usize) -> Vec<usize> {
    let mut running: Vec<_> = world.running().collect();
    let watches = |slot: &usize| {
        let watch = world.fleet(*slot).map(fleet::Fleet::watch);
        watch == Some(Watch::On)
    };
    let relay = running.iter().position(watches).unwrap_or(0);
    running.rotate_left(relay);
    let step = (running.len() / count.max(1)).max(1);
    running.into_iter().step_by(step).take(count).collect()
}

fn restart_one(world: &mut World, turn: usize) {
    let slot = (world.len() / 3 + 7 * turn) % world.len();
    world.deliver_event(slot, fleet::Event::Stop);
    world.kill(slot);
    world.start(slot);
}

/// Applies a change, and tells how long each instance within reach took.
fn time_change(world: &mut World, change: u32) -> Vec<f64> {
    let text = format!("limits {change} {}", "x".repeat(200));
    let start = world.now();
    let revision = world.apply(&[("catalog/entry/first", Some(text.as_bytes()))]);
    let running = world.running();
    let reached: Vec<_> = running.filter(|&slot| world.reaches_store(slot)).collect();
    let all = |world: &World| {
        reached
            .iter()
            .all(|&slot| has_applied(world, slot, revision))
    };
    world.run_until(SPREAD_MAX, all);
    spread_times(world, start, revision, &reached)
}

/// How long each of `slots` took to have `revision`, in milliseconds, sorted.
fn spread_times(world: &World, start: Instant, revision: Revision, slots: &[usize]) -> Vec<f64> {
    let times = slots.iter().map(|&slot| {
        let (applied, at) = world.applied(slot);
        let late = if applied >= revision { at } else { world.now() };
        late.since(start).as_secs_f64() * 1e3
    });
    let mut times: Vec<_> = times.collect();
    times.sort_by(f64::total_cmp);
    times
}

fn has_applied(world: &World, slot: usize, revision: Revision) -> bool {
    world.applied(slot).0 >= revision
}

impl Benchmark {
    fn row(&self, scenario: Scenario, span: Duration, spreads: &[Vec<f64>]) -> Row {
        let world = &self.world;
        let nodes = world.len();
        let seconds = span.as_secs_f64();
        let per_node = |total: u64| total as f64 / nodes as f64 / seconds;
        let counts: Vec<_> = (0..nodes).map(|slot| world.count(slot)).collect();
        let bytes = counts.iter().map(|count| count.bytes()).sum();
        let most = counts.iter().map(|count| count.bytes()).max();
        let messages: u64 = counts.iter().map(|count| count.messages()).sum();
        let sealing = self.seal_time.as_secs_f64() * messages as f64;
        let worst =
            |at: fn(&[f64]) -> f64| spreads.iter().map(|times| at(times)).fold(0.0, f64::max);
        Row {
            scenario,
            nodes,
            loss: world.loss,
            spread_p100_ms: worst(|times| times.last().copied().unwrap_or(0.0)),
            spread_p50_ms: worst(|times| times.get(times.len() / 2).copied().unwrap_or(0.0)),
            bytes_per_node_s: per_node(bytes),
            bytes_per_node_s_max: most.unwrap_or(0) as f64 / seconds,
            messages_per_node_s: per_node(messages),
            state_bytes: bytes_without_mirror(world) + self.target_bytes,
            table_bytes: table_bytes(world),
            heap_per_node: 0,
            store_calls_s: world.store.calls as f64 / seconds + world.watches() as f64,
            watches: world.watches(),
            cpu_share: (world.step_time.as_secs_f64() + sealing) / nodes as f64 / seconds,
            wrong_suspects: wrong_suspects(world),
            violations: world.monitor.violations().len(),
        }
    }
}

/// Suspicions held, by one instance as a sample, of members that run.
fn wrong_suspects(world: &World) -> usize {
    let Some(fleet) = world.running().next().and_then(|slot| world.fleet(slot)) else {
        return 0;
    };
    let suspects = fleet.table().members();
    let suspects = suspects.filter(|member| member.record.state == State::Suspect);
    let running: Vec<_> = world
        .running()
        .filter_map(|slot| world.fleet(slot))
        .map(fleet::Fleet::node)
        .collect();
    suspects
        .filter(|member| running.contains(&member.node))
        .count()
}

fn table_bytes(world: &World) -> usize {
    let fleets = world.running().filter_map(|slot| world.fleet(slot));
    let bytes = fleets.map(|fleet| fleet.table().state_bytes());
    bytes.max().unwrap_or(0)
}

/// The largest state of an instance, but for its mirror.
fn bytes_without_mirror(world: &World) -> usize {
    let fleets = world.running().filter_map(|slot| world.fleet(slot));
    let bytes = fleets.map(|fleet| fleet.state_bytes() - fleet.mirror().state_bytes());
    bytes.max().unwrap_or(0)
}

/// The state that holds the target's keys and duties: too large to build once
/// for each of 4,000 instances in one process, and the same in all of them.
fn target_bytes(world: &World) -> usize {
    let keys = |prefix: &str, count: usize, len: usize| -> Vec<Change> {
        let key = |number| format!("{prefix}{number:08}").as_str().into();
        let change = |number| Change {
            key: key(number),
            revision: 1,
            value: Some(Bytes::from(vec![7; len])),
        };
        (0..count).map(change).collect()
    };
    let mut changes = keys("catalog/database/database-", DATABASES, 400);
    changes.extend(keys("catalog/entry/entry-", ENTRIES, 240));
    changes.extend(keys("primary/database-", DATABASES, 110));
    let mut mirror = Mirror::default();
    let to = Revision {
        epoch: 0,
        number: 1,
    };
    let replaced = mirror.replace(to, None, &changes);
    let mut assignments = Assignments::open(PROBERS);
    let nodes: Vec<Node> = world
        .running()
        .filter_map(|slot| world.fleet(slot))
        .map(fleet::Fleet::node)
        .collect();
    for number in 0..DATABASES {
        assignments.add(&format!("database-{number:08}"), &nodes);
    }
    match replaced {
        Ok(_) => mirror.state_bytes() + assignments.state_bytes(),
        Err(error) => unreachable!("keys made in order are taken: {error}"),
    }
}

/// What sealing or opening one heartbeat takes, measured.
fn measure_seal_time() -> Duration {
    const ROUNDS: u32 = 20_000;
    let ring = Ring::parse("1:00112233445566778899aabbccddeeff").expect("a well-formed ring");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut ours = Endpoint::open(Node([1; 8]), 1 << 50, address, ring.clone());
    let mut theirs = Endpoint::open(Node([2; 8]), 1 << 50, address, ring);
    let mark = Mark {
        node: Node([3; 8]),
        incarnation: 1 << 50,
        state: State::Suspect,
    };
    let ping = Message::Ping {
        probe: 1,
        view: View::default(),
        updates: vec![Update::Mark(mark); 4],
    };
    let start = std::time::Instant::now();
    for _ in 0..ROUNDS {
        let bytes = ours.seal(address, &ping).expect("a ping is small");
        theirs
            .receive(address, &bytes)
            .expect("our own frame is authentic");
    }
    start.elapsed() / ROUNDS / 2
}
