//! A primary crashes and comes back with its log while the platform's API is slow.

use std::{
    collections::HashMap,
    fmt::Write as _,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    group::{Group, Order},
    http::{self, Response},
    load::{Asked, Clients, Entry},
    nodes::Fleet,
    store::Store,
};

pub const ZONES: [&str; 3] = ["nyamirambo", "gisozi", "kimihurura"];

/// Time that the platform's API takes to carry out a call while it is slow, in milliseconds, unless
/// `SLOW_MS` sets another.
const SLOW_MS: u64 = 3_000;

/// Time for which the primary is down.
const DOWN: Duration = Duration::from_millis(2_500);

/// Load before the disturbance, and from its beginning to the end.
const BEFORE: Duration = Duration::from_secs(4);
const AFTER: Duration = Duration::from_secs(22);

pub fn play(root: &Path, folder: &Path, trouble: &str) -> io::Result<usize> {
    let (crashes, is_slow) = match trouble {
        "0" => (false, false),
        "crash" => (true, false),
        "slow" => (false, true),
        _ => (true, true),
    };
    let store = Store::new();
    let members = [
        ("i-1a52c09e", ZONES[0]),
        ("i-5f3b7713", ZONES[1]),
        ("i-9c40d2aa", ZONES[2]),
    ];
    let group = Group::start("huvo11a", &members, &store);
    let route = |name: &str, host: &str, kind: &str| {
        json!({"name": name, "host": host, "type": kind, "service": "huvo11a", "timeoutMs": 800,
            "latencySloMs": 100, "priority": 1, "maxStalenessMs": 1500})
    };
    store.put(
        "op/config",
        &json!({"version": 4, "routes": [route("box-pull", "lepu270", "primary")],
            "services": [{"name": "huvo11a", "maxConns": 34, "syncReplicas": 0}],
            "limits": {"txIdleMs": 3000}}),
    );
    let slow_ms = Arc::new(AtomicU64::new(0));
    let cloud = serve_cloud(&group, &slow_ms);
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
    let clients = Clients::start(&Entry::start(&nodes), 9, usize::MAX);
    thread::sleep(BEFORE);
    let mut events = Vec::new();
    if is_slow {
        let set = std::env::var("SLOW_MS")
            .ok()
            .and_then(|text| text.parse().ok());
        slow_ms.store(set.unwrap_or(SLOW_MS), Ordering::Relaxed);
        events.push((
            Instant::now(),
            "the platform's API is slow from now on".to_owned(),
        ));
    }
    let since = Instant::now();
    if crashes {
        group.crash(0);
        events.push((Instant::now(), format!("primary {} crashes", members[0].0)));
        thread::sleep(DOWN);
        group.restart(0);
        events.push((
            Instant::now(),
            format!("{} is back with its log", members[0].0),
        ));
    }
    thread::sleep(AFTER.saturating_sub(since.elapsed()));
    let asked = clients.stop();
    thread::sleep(Duration::from_millis(300));
    drop(fleet);
    judge(&group, &asked, events, begun, trouble, folder)
}

/// Serves the platform's API. It carries out each call that it has read, after the time that it
/// takes now.
pub fn serve_cloud(group: &Group, slow_ms: &Arc<AtomicU64>) -> SocketAddr {
    let (group, slow_ms) = (group.clone(), Arc::clone(slow_ms));
    http::serve("127.0.3.2", move |request| {
        if request.method != "POST" || request.path != "/promote" {
            return Response::new(404, json!({}));
        }
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let word = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        group.lock().orders.push(Order {
            id: word("id"),
            token: header("x-dandelionlink-fencing-token").parse().unwrap_or(0),
            holder: header("x-dandelionlink-duty-holder"),
            received: Instant::now(),
        });
        thread::sleep(Duration::from_millis(slow_ms.load(Ordering::Relaxed)));
        Response::new(group.promote(&word("service"), &word("id")), json!({}))
    })
}

/// Judges rule ONE: a write is committed at the old primary after a promote has taken effect, and
/// acknowledged to the client.
fn judge(
    group: &Group,
    asked: &[Asked],
    events: Vec<(Instant, String)>,
    begun: Instant,
    trouble: &str,
    folder: &Path,
) -> io::Result<usize> {
    let db = group.lock();
    let acknowledged: HashMap<&str, &Asked> = asked
        .iter()
        .filter(|asked| asked.status == "DONE")
        .map(|asked| (&*asked.id, asked))
        .collect();
    let seconds = |at: Instant| at.saturating_duration_since(begun).as_secs_f64();
    let mut lines: Vec<(Instant, String)> = events;
    let mut broken = 0;
    for commit in &db.commits {
        let Some(asked) = acknowledged.get(&*commit.id) else {
            continue;
        };
        if commit.position.0 < commit.newest_term {
            broken += 1;
            lines.push((
                commit.at,
                format!(
                    "ONE BROKEN {} committed at {} as {}.{} though term {} was led, acknowledged at {:.3}",
                    commit.id,
                    db.members[commit.member].id,
                    commit.position.0,
                    commit.position.1,
                    commit.newest_term,
                    seconds(asked.answered)
                ),
            ));
        }
    }
    let leader = db.leader().map_or(0, |leader| leader);
    let kept: std::collections::HashSet<&str> = db.members[leader]
        .log
        .iter()
        .map(|entry| &*entry.id)
        .collect();
    let lost = acknowledged.keys().filter(|id| !kept.contains(*id)).count();
    for order in &db.orders {
        lines.push((
            order.received,
            format!(
                "the platform reads the order to promote {} (token {}, holder {})",
                order.id, order.token, order.holder
            ),
        ));
    }
    for promotion in &db.promotions {
        let id = &db.members[promotion.member].id;
        lines.push((promotion.at, format!("{id} leads term {}", promotion.term)));
    }
    for asked in asked {
        lines.push((
            asked.at,
            format!(
                "{} {} through node {}: {} at {:.3}",
                asked.id,
                asked.text,
                asked.node + 1,
                asked.status,
                seconds(asked.answered)
            ),
        ));
    }
    for (at, member, id, text) in &db.runs {
        let member = &db.members[*member].id;
        lines.push((*at, format!("{member} runs {id} {text}")));
    }
    lines.sort_by_key(|(at, _)| *at);
    let mut record = String::new();
    let done = acknowledged.len();
    let summary = format!(
        "TROUBLE={trouble}: {} writes sent, {done} acknowledged, {} promotions, {broken} acknowledged \
         commits at an old primary (rule ONE), {lost} acknowledged writes missing from the last \
         primary's log",
        asked.len(),
        db.promotions.len()
    );
    let _ = writeln!(record, "{summary}");
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
