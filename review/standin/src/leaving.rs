//! Both replicas leave, the nodes are restarted in turn, and the primary crashes.

use std::{
    collections::HashMap,
    fmt::Write as _,
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    group::Group,
    late_order::{ZONES, serve_cloud},
    load::{Asked, Clients, Entry},
    nodes::Fleet,
    store::Store,
};

/// `drainMs` and `stableWindowMs` of the settings.
const DRAIN: Duration = Duration::from_millis(7_000);
const STABLE_WINDOW: Duration = Duration::from_millis(4_000);

/// Time between two releases.
const RELEASE_GAP: Duration = Duration::from_secs(1);

/// Times after the first replica's announcement: the first node is told to stop, each further one, the
/// primary crashes, and the replicas end.
const ROLL_AT: Duration = Duration::from_millis(200);
const ROLL_GAP: Duration = Duration::from_millis(1_210);
const CRASH_AT: Duration = Duration::from_millis(7_200);

/// Time from a node's end to its next start.
const START_DELAY: Duration = Duration::from_millis(200);
const END_AT: Duration = Duration::from_secs(14);

pub fn play(root: &Path, folder: &Path, trouble: &str) -> io::Result<usize> {
    let crashes = trouble != "0";
    let store = Store::new();
    let members = [
        ("i-5f3b7713", ZONES[0]),
        ("i-1a52c09e", ZONES[1]),
        ("i-9c40d2aa", ZONES[2]),
    ];
    let group = Group::start("huvo11a", &members, &store);
    store.put(
        "op/config",
        &json!({"version": 4, "routes": [{"name": "box-pull", "host": "lepu270",
            "type": "primary", "service": "huvo11a", "timeoutMs": 800, "latencySloMs": 100,
            "priority": 1, "maxAttempts": 2}],
            "services": [{"name": "huvo11a", "maxConns": 34, "syncReplicas": 0}],
            "limits": {"txIdleMs": 3000}}),
    );
    let cloud = serve_cloud(&group, &std::sync::Arc::default());
    let mut fleet = Fleet::start(root, &ZONES, store.start("127.0.3.1"), cloud)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the nodes are not ready"));
    }
    let begun = Instant::now();
    let nodes: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| (node.front, node.ready))
        .collect();
    let entry = Entry::start(&nodes);
    let clients = Clients::start(&entry, 12, 25);
    // Voters are named once the list has been the same for five seconds.
    thread::sleep(Duration::from_secs(8));
    // One after the other; each new replica starts first.
    let mut events = Vec::new();
    group.add("i-c7700d35", ZONES[1], "127.0.2.4", false);
    thread::sleep(RELEASE_GAP);
    group.lock().members[1].state = "draining";
    let announced = Instant::now();
    events.push((
        announced,
        format!("{} announces that it leaves", members[1].0),
    ));
    group.add("i-e2f81b04", ZONES[2], "127.0.2.5", false);
    let second = group.clone();
    let releasing = thread::spawn(move || {
        thread::sleep(RELEASE_GAP);
        second.lock().members[2].state = "draining";
        Instant::now()
    });
    let leaving = group.clone();
    let ending = thread::spawn(move || {
        let mut events = Vec::new();
        thread::sleep(CRASH_AT);
        if crashes {
            leaving.crash(0);
            events.push((Instant::now(), "the primary i-5f3b7713 crashes".to_owned()));
        }
        thread::sleep(END_AT.saturating_sub(announced.elapsed()));
        leaving.end(1);
        leaving.end(2);
        events.push((Instant::now(), "the two that leave end".to_owned()));
        events
    });
    let restarts = roll(&mut fleet, announced, &mut events)?;
    let at = releasing.join().expect("the second announcement");
    events.push((at, format!("{} announces that it leaves", members[2].0)));
    events.extend(ending.join().expect("the events"));
    thread::sleep(Duration::from_secs(4));
    let asked = clients.stop();
    drop(fleet);
    judge(
        &group,
        &asked,
        events,
        (begun, announced),
        &restarts,
        trouble,
        folder,
    )
}

/// Stops and starts the nodes in turn; returns when each was started.
fn roll(
    fleet: &mut Fleet,
    announced: Instant,
    events: &mut Vec<(Instant, String)>,
) -> io::Result<Vec<Instant>> {
    let count = fleet.nodes.len();
    let mut stopped = vec![None; count];
    let mut ended = vec![None; count];
    let mut started = vec![None; count];
    while started.iter().any(Option::is_none) {
        thread::sleep(Duration::from_millis(5));
        let now = Instant::now();
        for index in 0..count {
            let due = announced + ROLL_AT + ROLL_GAP * index as u32;
            if stopped[index].is_none() && due <= now {
                fleet.stop(index);
                stopped[index] = Some(now);
                events.push((now, format!("node {} is told to stop", index + 1)));
            }
            if stopped[index].is_some() && ended[index].is_none() && fleet.has_ended(index)? {
                ended[index] = Some(now);
            }
            if started[index].is_none() && ended[index].is_some_and(|at| at + START_DELAY <= now) {
                fleet.start_again(index)?;
                started[index] = Some(now);
                events.push((now, format!("node {} starts again", index + 1)));
            }
        }
    }
    Ok(started.into_iter().flatten().collect())
}

/// Judges rule DRAIN: a request reaches a backend later than `drainMs` after the store has
/// acknowledged that the backend leaves, through a machine that is in touch.
fn judge(
    group: &Group,
    asked: &[Asked],
    events: Vec<(Instant, String)>,
    (begun, announced): (Instant, Instant),
    restarts: &[Instant],
    trouble: &str,
    folder: &Path,
) -> io::Result<usize> {
    let db = group.lock();
    let sent: HashMap<&str, &Asked> = asked.iter().map(|asked| (&*asked.id, asked)).collect();
    let seconds = |at: Instant| at.saturating_duration_since(begun).as_secs_f64();
    let mut lines: Vec<(Instant, String)> = events;
    let mut broken = 0;
    // The store acknowledged the announcements up to 20 ms later.
    let late_from = announced + Duration::from_millis(30) + DRAIN;
    for (at, member, id, text) in &db.runs {
        let name = &db.members[*member].id;
        let Some(asked) = sent.get(&**id) else {
            continue;
        };
        let is_in_touch = restarts[asked.node] + STABLE_WINDOW < *at;
        if *member == 1 && *at > late_from && is_in_touch {
            broken += 1;
            let late = at.saturating_duration_since(announced).as_millis();
            lines.push((
                *at,
                format!(
                    "DRAIN BROKEN {id} reaches {name} {late} ms after it announced that it leaves, \
                     through node {}",
                    asked.node + 1
                ),
            ));
        }
        lines.push((*at, format!("{name} runs {id} {text}")));
    }
    for promotion in &db.promotions {
        let id = &db.members[promotion.member].id;
        lines.push((promotion.at, format!("{id} leads term {}", promotion.term)));
    }
    for asked in asked {
        let (node, answered) = (asked.node + 1, seconds(asked.answered));
        lines.push((
            asked.at,
            format!(
                "{} {} through node {node}: {} at {answered:.3}",
                asked.id, asked.text, asked.status
            ),
        ));
    }
    lines.sort_by_key(|(at, _)| *at);
    let done = asked.iter().filter(|asked| asked.status == "DONE").count();
    let summary = format!(
        "TROUBLE={trouble}: {} writes sent, {done} acknowledged, {} promotions, {broken} requests at a \
         leaving backend behind drainMs (rule DRAIN)",
        asked.len(),
        db.promotions.len()
    );
    let mut record = format!("{summary}\n");
    for (at, line) in lines {
        let _ = writeln!(record, "{:9.3} {line}", seconds(at));
    }
    std::fs::write(folder.join("record.txt"), record)?;
    println!("{summary}");
    if done < 200 {
        return Err(io::Error::other("too few writes were acknowledged"));
    }
    Ok(broken)
}
