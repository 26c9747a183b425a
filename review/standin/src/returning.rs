//! A primary crashes, the next one crashes while the other replica receives nothing, and the first
//! one comes back.

use std::{
    collections::{HashMap, HashSet},
    fmt::Write as _,
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    group::{Group, Position},
    late_order::{ZONES, serve_cloud},
    load::{Asked, Clients, Entry},
    nodes::Fleet,
    store::Store,
};

/// Load before the disturbance and from its beginning to the end.
const BEFORE: Duration = Duration::from_secs(7);
const AFTER: Duration = Duration::from_secs(14);

/// Times after the first crash: the second one, the first primary's return, and the end of the
/// replica's deafness.
const SECOND_CRASH_AT: Duration = Duration::from_millis(3_000);
const RETURN_AT: Duration = Duration::from_millis(3_500);
const DEAF_FOR: Duration = Duration::from_millis(6_000);

pub fn play(root: &Path, folder: &Path, trouble: &str) -> io::Result<usize> {
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
    let fleet = Fleet::start(root, &ZONES, store.start("127.0.3.1"), cloud)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the nodes are not ready"));
    }
    let begun = Instant::now();
    let nodes: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| (node.front, node.ready))
        .collect();
    let clients = Clients::start_with(&Entry::start(&nodes), 24, usize::MAX, true);
    thread::sleep(BEFORE);
    let mut events = Vec::new();
    let since = Instant::now();
    if trouble != "0" {
        let wait = |until: Duration| thread::sleep(until.saturating_sub(since.elapsed()));
        // The replica that isn't promoted: among logs of one length the least id leads.
        group.lock().members[2].is_deaf = true;
        group.crash(0);
        events.push((
            since,
            "i-5f3b7713 crashes, i-9c40d2aa receives nothing".to_owned(),
        ));
        wait(SECOND_CRASH_AT);
        let next = group.lock().leader();
        if let Some(next) = next {
            let id = group.lock().members[next].id.clone();
            group.crash(next);
            events.push((Instant::now(), format!("{id} crashes")));
        }
        wait(RETURN_AT);
        group.restart(0);
        events.push((Instant::now(), "i-5f3b7713 is back with its log".to_owned()));
        wait(DEAF_FOR);
        group.lock().members[2].is_deaf = false;
        events.push((Instant::now(), "i-9c40d2aa receives again".to_owned()));
        wait(SECOND_CRASH_AT + Duration::from_secs(7));
        if let Some(next) = next {
            group.restart(next);
        }
    }
    thread::sleep(AFTER.saturating_sub(since.elapsed()));
    let asked = clients.stop();
    drop(fleet);
    judge(&group, &asked, events, begun, trouble, folder)
}

/// Judges rule STALE on a `primary` route: a read runs on a log that lacks a commit which was
/// acknowledged before the read's first byte, and which no promote has rolled back: the last
/// primary has it.
fn judge(
    group: &Group,
    asked: &[Asked],
    events: Vec<(Instant, String)>,
    begun: Instant,
    trouble: &str,
    folder: &Path,
) -> io::Result<usize> {
    let db = group.lock();
    let seconds = |at: Instant| at.saturating_duration_since(begun).as_secs_f64();
    let mut lines: Vec<(Instant, String)> = events;
    let sent: HashMap<&str, &Asked> = asked.iter().map(|asked| (&*asked.id, asked)).collect();
    let last = db.leader().map_or(0, |leader| leader);
    let kept: HashSet<&str> = db.members[last]
        .log
        .iter()
        .map(|entry| &*entry.id)
        .collect();
    // Acknowledged commits that were kept, by the time of the answer.
    let mut owed: Vec<(Instant, Position, &str)> = Vec::new();
    for commit in &db.commits {
        let heard = sent.get(&*commit.id).filter(|asked| asked.status == "DONE");
        if let Some(heard) = heard.filter(|_| kept.contains(&*commit.id)) {
            owed.push((heard.answered, commit.position, &commit.id));
        }
    }
    let mut broken = 0;
    for read in &db.reads {
        let Some(asked) = sent.get(&*read.id).filter(|asked| asked.status == "DONE") else {
            continue;
        };
        let missed = owed
            .iter()
            .find(|(heard, position, _)| *heard < asked.at && !read.has(*position));
        if let Some((heard, (term, number), id)) = missed {
            broken += 1;
            lines.push((
                asked.at,
                format!(
                    "STALE BROKEN read {} ran at {} on a log of {:?} and lacked {id} at {term}.{number}, \
                     acknowledged at {:.3}",
                    read.id,
                    db.members[read.member].id,
                    read.log,
                    seconds(*heard)
                ),
            ));
        }
    }
    for (at, member, id, text) in &db.runs {
        lines.push((*at, format!("{} runs {id} {text}", db.members[*member].id)));
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
        "TROUBLE={trouble}: {} statements sent, {done} done, {} promotions, {broken} reads without an \
         acknowledged commit that the last primary has (rule STALE)",
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
        return Err(io::Error::other("too few statements were done"));
    }
    Ok(broken)
}
