//! Logs changes in which sessions this instance serves itself and which ones it forwards.

use std::{collections::HashMap, rc::Rc, time::Duration};

use clock::Boot;
use tokio::time::sleep;

use crate::{edge::Edge, group::Group, node::Node};

/// Interval at which the assignments are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How a group's sessions are served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Assignment {
    /// Number of other instances to which new sessions are forwarded; zero if this instance
    /// serves them itself.
    holders: usize,
    /// Whether this instance still serves sessions although other instances hold the group.
    serves: bool,
}

/// Logs changes until the process ends.
pub(crate) async fn watch<E: Edge>(node: Rc<Node<E>>) {
    let mut logged: HashMap<Rc<str>, Assignment> = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Boot.now();
        let mut used = node.active();
        used.retain(|group| group.sessions.get() > 0 || group.is_proof_wanted(now));
        logged.retain(|service, _| used.iter().any(|group| group.service == *service));
        for group in used {
            let holders = node.holders(&group.service).len();
            let since = group.held_elsewhere_since.get().unwrap_or(Boot.now());
            group
                .held_elsewhere_since
                .set((holders > 0).then_some(since));
            let serves = holders > 0 && group.sessions.get() > 0;
            let assignment = Assignment { holders, serves };
            let old = logged.insert(Rc::clone(&group.service), assignment);
            if old.unwrap_or_default() != assignment {
                log_change(&node, &group, assignment);
            }
        }
    }
}

fn log_change<E: Edge>(node: &Node<E>, group: &Group, assignment: Assignment) {
    let catalog = node.catalog();
    let entry = catalog.services.get(&group.service);
    log::info!(
        service = &*group.service, holders = assignment.holders,
        sessions = group.sessions.get(), instances = node.peers.count(),
        connections = entry.map_or(0, |entry| entry.connections);
        "holders"
    );
}
