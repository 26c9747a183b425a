//! Records of primaries that are written by what is known here or what the members say: a
//! group's first one, and those that a copy of the store may have lost.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use lead::{Phase, Record};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{CALL, JITTER_MS};
use crate::{
    control::{encode, lead_key},
    edge::{Edge, Store, Swap, Swapped},
    group::Group,
    node::Node,
    peers::Relay,
    probe, relay,
    takeover::{self, OUTLASTED},
};

/// How much later each further relay writes a group's first record. Were all of them to ask
/// the members of each group that is new, those of a fleet of new groups would be busy with
/// nothing else.
const TURN: Duration = Duration::from_millis(300);

/// Writes a group's first record, from what its members say.
pub(super) async fn found<E: Edge>(node: &Rc<Node<E>>, group: &Group) {
    let relays = node.peers.all_relays(relay::candidate(node));
    let relays: Vec<_> = relays.iter().map(Relay::name).map(str::to_owned).collect();
    let jitter = Duration::from_millis(rand::random_range(0..JITTER_MS * 5));
    sleep(TURN * takeover::rank(node, &group.service, &relays) + jitter).await;
    let members = group.members();
    if let Some(known) = group.known() {
        let written = node.store().era();
        if known.record.written < written {
            // The copy does not know it at all.
            sleep((node.era_since() + OUTLASTED).since(Boot.now())).await;
            let record = Record {
                written,
                ..known.record
            };
            write(node, group, record, 0).await;
        }
        return;
    }
    if members.is_empty() {
        return;
    }
    let said = probe::all::<E::Protocol>(&members).await;
    if !group.is_wanted(Boot.now()) {
        // Who holds is not told yet; the holders' first connections were refused by an
        // upstream of four, while those of these questions lay idle.
        members.iter().for_each(|member| member.pool.close());
    }
    let leaders = members.iter().zip(&said).filter_map(|(member, said)| {
        let status = said.status().filter(|status| status.leads)?;
        Some((status.term, member))
    });
    let Some((term, member)) = leaders.max_by_key(|(term, _)| *term) else {
        return;
    };
    let record = Record {
        term,
        upstream: member.upstream.id.to_string(),
        phase: Phase::Stable,
        by: node.settings.name.clone(),
        written: node.store().era(),
    };
    write(node, group, record, 0).await;
}

/// Writes a record in the place of the one at `revision`, zero for none.
async fn write<E: Edge>(node: &Rc<Node<E>>, group: &Group, record: Record, revision: u64) {
    let key = lead_key::<E>(&group.service);
    let swap = Swap {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    let swapped = timeout(CALL, node.store().swap(&swap)).await;
    let term = record.term.0;
    log::info!(service = &*group.service, term, revision, swapped:?; "record written");
    if let Ok(Ok(Swapped::Done(revision))) = swapped {
        group.learn(record, revision);
    }
    node.prove.notify_one();
}

/// Writes a group's record anew that stands in a copy of the store, at `revision`.
///
/// The copy may have lost a replacement: whoever believed it would read from a primary that
/// leads no more. So nobody does. Who knows what the record said writes it again; where
/// nobody does, the members are asked who leads. Before that, whoever was replacing the
/// primary has to be done: its right, and what it announced, may be gone from the copy. Until
/// then the members prove their primary, as they do while the store is away.
pub(crate) fn reclaim<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, copy: Record, revision: u64) {
    if group.replacing.replace(true) {
        return;
    }
    let (node, group) = (Rc::clone(node), Rc::clone(group));
    spawn_local(async move {
        let jitter = Duration::from_millis(rand::random_range(0..JITTER_MS * 3));
        let rest = (node.era_since() + OUTLASTED).since(Boot.now());
        sleep(rest + jitter).await;
        let written = node.store().era();
        let known = group.known().map(|known| known.record);
        match known.filter(|known| copy.is_behind(known)) {
            Some(known) if known.written < written => {
                let record = Record { written, ..known };
                write(&node, &group, record, revision).await;
            }
            Some(_) => {}
            None => confirm(&node, &group, copy, revision).await,
        }
        group.replacing.set(false);
    });
}

/// Writes a copied record anew by what the members say.
async fn confirm<E: Edge>(node: &Rc<Node<E>>, group: &Group, copy: Record, revision: u64) {
    let members = group.members();
    let said = probe::all::<E::Protocol>(&members).await;
    let leaders = members.iter().zip(&said).filter_map(|(member, said)| {
        let status = said.status().filter(|status| status.leads)?;
        Some((status.term, member.upstream.id.to_string()))
    });
    let written = node.store().era();
    let leads = leaders.max_by_key(|(term, _)| *term);
    let record = match leads.filter(|(term, _)| *term > copy.term) {
        Some((term, upstream)) => Record {
            term,
            upstream,
            phase: Phase::Stable,
            by: node.settings.name.clone(),
            written,
        },
        // A replacement that had begun is taken up where the copy left it.
        None => Record { written, ..copy },
    };
    write(node, group, record, revision).await;
}
