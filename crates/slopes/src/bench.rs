//! Measures the costs of one fleet size in each scenario.

use std::time::Duration;

use bytes::Bytes;
use clock::Instant;
use fleet::{Assignments, Mirror, Watch};
use serde::Serialize;
use wire::{Change, Endpoint, Mark, Message, Node, Revision, Ring, State, Update, View};

use crate::{Setup, World};

/// Warm-up time, in which the rumours of the start end.
const WARM_UP_TIME: Duration = Duration::from_secs(25);
/// Time in which the traffic of a scenario is counted.
const WINDOW: Duration = Duration::from_secs(30);
/// Catalogue changes and restarts within the window. At 4,000 instances these
/// are twice the target's 4,200 changes and three times its 1,651 restarts a day.
const CHANGES: u32 = 3;
const RESTARTS: usize = 2;
/// The target's 175 changes in an hour, in fewer revisions: the cost of healing a
/// partition depends on the number of keys that differ.
const HOUR_REVISIONS: usize = 7;
const HOUR_KEYS: usize = 25;
/// Maximum time until a change is in force at all instances.
const SPREAD_MAX: Duration = Duration::from_secs(60);
/// The target's databases, and its entries, estimated at two for each database.
const DATABASES: usize = 6_600;
const ENTRIES: usize = 13_200;
/// Number of instances that probe each database.
const PROBERS: usize = 3;

/// The failures and changes while a row is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Catalogue changes and restarts.
    Ordinary,
    /// One instance in a hundred, one relay included, is killed right before each
    /// change and started again after the change.
    Killed,
    /// All instances of a zone are killed right before the change.
    ZoneLost,
    /// All instances of that zone start at once; the time is measured until the
    /// last one has the catalogue.
    ZoneStarted,
    /// A region is cut off from the other regions and from the store.
    RegionCut,
    /// The partition of that region heals after as many changes as the target has
    /// in an hour; the time is measured until the region's last instance has them.
    RegionHealed,
}

/// The results of one fleet size in one scenario.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The scenario.
    pub scenario: Scenario,
    /// Number of instances.
    pub nodes: usize,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Time until the last reachable instance had a change in force, for the
    /// slowest change.
    pub spread_p100_ms: f64,
    /// Time until half of the instances had a change in force, for the slowest
    /// change.
    pub spread_p50_ms: f64,
    /// Bytes sent and received, with headers and signatures; mean per instance.
    pub bytes_per_node_s: f64,
    /// Bytes sent and received by the instance with the most traffic.
    pub bytes_per_node_s_max: f64,
    /// Messages sent and received; mean per instance.
    pub messages_per_node_s: f64,
    /// Size of the control state of one instance with the target's catalogue.
    pub state_bytes: usize,
    /// Size of the member table, which is part of the control state.
    pub table_bytes: usize,
    /// Heap of the whole process per instance, with the queue and a small
    /// catalogue, as a check of the computed state size.
    pub heap_per_node: usize,
    /// Requests to the store, events sent to watches, and each open watch once a
    /// second.
    pub store_calls_s: f64,
    /// Number of open watches at the store.
    pub watches: usize,
    /// Share of a processor core: measured time of the steps, plus the measured
    /// time of sealing or opening each message.
    pub cpu_share: f64,
    /// Running members that are suspected at the end.
    pub wrong_suspects: usize,
    /// Number of invariant violations, which must be 0.
    pub violations: usize,
}

/// Measures one fleet size in every scenario; `heap` returns the bytes that the
/// process has allocated.
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
    /// Time to seal or to open one frame.
    seal_time: Duration,
    /// Size of the target's keys and probe assignments.
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

/// Runs until the next change is due; changes are evenly spaced in the window.
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

/// Puts the last quarter of the zones, rounded up, in a network partition: three
/// of ten.
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

/// Returns instances spread over the fleet, a relay first: killing a relay costs
/// most.
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

/// Applies a change and returns the time that each reachable instance took.
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

/// Returns the sorted times in milliseconds in which `slots` applied `revision`.
fn spread_times(world: &World, start: Instant, revision: Revision, slots: &[usize]) -> Vec<f64> {
    let times = slots.iter().map(|&slot| {
        let (applied, at) = world.applied(slot);
        let applied_at = if applied >= revision { at } else { world.now() };
        applied_at.since(start).as_secs_f64() * 1e3
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

/// Number of running members that are suspected, in the table of one instance as
/// a sample.
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

/// The largest state of an instance, without its mirror.
fn bytes_without_mirror(world: &World) -> usize {
    let fleets = world.running().filter_map(|slot| world.fleet(slot));
    let bytes = fleets.map(|fleet| fleet.state_bytes() - fleet.mirror().state_bytes());
    bytes.max().unwrap_or(0)
}

/// Size of the target's keys and probe assignments. They are the same in all
/// instances and too large to be built for each of 4,000 in one process.
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
        Err(error) => unreachable!("keys in ascending order were refused: {error}"),
    }
}

/// Measures the mean time to seal or to open one ping.
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
