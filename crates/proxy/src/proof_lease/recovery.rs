//! Records of primaries that are written by what is known here or what the members say: a
//! group's first one, and those that a copy of the store may have lost.

use std::{rc::Rc, time::Duration};

use clock::Boot;
use futures_util::{
    StreamExt,
    future::{join, join_all},
    stream,
};
use lead::{Phase, Record};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{STORE_TIMEOUT, WRITE_JITTER_MS};
use crate::{
    control::{encode, record_key},
    edge::{Edge, Store, Swap, Swapped},
    group::Group,
    node::Node,
    probe, relay,
    takeover::RESTORE_GRACE,
};

/// How much later the second reader of the store writes groups' first records than the
/// first one: it is to find them written.
const READER_DELAY: Duration = Duration::from_millis(300);

/// How many groups' members are asked at once who leads. A fleet of new groups would else
/// take all descriptors of the instance that asks.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// How many records are written by one call: the store takes 32 entries in one.
const RECORDS_PER_SWAP: usize = 16;

/// Writes the records of groups that the store has none of.
pub(super) async fn write_missing<E: Edge>(node: &Rc<Node<E>>, groups: &[Rc<Group>]) {
    let jitter = Duration::from_millis(rand::random_range(0..WRITE_JITTER_MS * 2));
    let readers = relay::readers(node);
    let rank = readers
        .iter()
        .position(Option::is_none)
        .unwrap_or(readers.len());
    sleep(READER_DELAY * u32::try_from(rank).unwrap_or(u32::MAX) + jitter).await;
    let (lost, new): (Vec<_>, Vec<_>) = groups.iter().partition(|group| group.has_record());
    let restored = join_all(lost.into_iter().map(|group| rewrite_lost(node, group)));
    let records = stream::iter(new)
        .map(async |group| (group, first_record(node, group).await))
        .buffer_unordered(MAX_CONCURRENT_QUERIES)
        .filter_map(async |(group, record)| Some((Rc::clone(group), record?)))
        .chunks(RECORDS_PER_SWAP)
        .for_each(async |records| write_first_records(node, &records).await);
    join(restored, records).await;
}

/// Writes a known record anew that a copy of the store does not have at all.
async fn rewrite_lost<E: Edge>(node: &Rc<Node<E>>, group: &Group) {
    let Some(known) = group.stored_record() else {
        return;
    };
    let written = node.store().era();
    if known.record.written < written {
        sleep((node.era_since() + RESTORE_GRACE).since(Boot.now())).await;
        let record = Record {
            written,
            ..known.record
        };
        write_record(node, group, record, 0).await;
    }
}

/// A group's first record, from what its members say.
async fn first_record<E: Edge>(node: &Rc<Node<E>>, group: &Group) -> Option<Record> {
    let members = group.members();
    if members.is_empty() || group.has_record() {
        return None;
    }
    let replies = probe::status_of_all::<E::Protocol>(&members).await;
    if !group.is_proof_wanted(Boot.now()) {
        // Who holds is not told yet; the holders' first connections were refused by an
        // upstream of four, while those of these questions lay idle.
        members.iter().for_each(|member| member.pool.close());
    }
    let leaders = members.iter().zip(&replies).filter_map(|(member, reply)| {
        let status = reply.status().filter(|status| status.leads)?;
        Some((status.term, member))
    });
    let (term, member) = leaders.max_by_key(|(term, _)| *term)?;
    Some(Record {
        term,
        upstream: member.upstream.id.to_string(),
        phase: Phase::Stable,
        by: node.settings.name.clone(),
        written: node.store().era(),
    })
}

/// Writes first records by one call; one by one if the store has one of them already.
async fn write_first_records<E: Edge>(node: &Rc<Node<E>>, records: &[(Rc<Group>, Record)]) {
    let key = |group: &Group| record_key::<E>(&group.service);
    let swap = Swap {
        expected: records.iter().map(|(group, _)| (key(group), 0)).collect(),
        puts: records
            .iter()
            .map(|(group, record)| (key(group), encode(record), 0))
            .collect(),
        deletes: Vec::new(),
    };
    let swapped = timeout(STORE_TIMEOUT, node.store().swap(&swap)).await;
    log::info!(records = records.len(), swapped:?; "first records written");
    match swapped {
        Ok(Ok(Swapped::Done(revision))) => {
            for (group, record) in records {
                group.update_record(record.clone(), revision);
            }
            node.proof_wanted.notify_one();
        }
        Ok(Ok(_)) if records.len() > 1 => {
            for (group, record) in records.iter().filter(|(group, _)| !group.has_record()) {
                write_record(node, group, record.clone(), 0).await;
            }
        }
        _ => {}
    }
}

/// Writes a record in the place of the one at `revision`, zero for none.
async fn write_record<E: Edge>(node: &Rc<Node<E>>, group: &Group, record: Record, revision: u64) {
    let key = record_key::<E>(&group.service);
    let swap = Swap {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    let swapped = timeout(STORE_TIMEOUT, node.store().swap(&swap)).await;
    let term = record.term.0;
    log::info!(service = &*group.service, term, revision, swapped:?; "record written");
    if let Ok(Ok(Swapped::Done(revision))) = swapped {
        group.update_record(record, revision);
    }
    node.proof_wanted.notify_one();
}

/// Writes a group's record anew that stands in a copy of the store, at `revision`.
///
/// The copy may have lost a replacement: whoever believed it would read from a primary that
/// leads no more. So nobody does. Who knows what the record said writes it again; where
/// nobody does, the members are asked who leads. Before that, whoever was replacing the
/// primary has to be done: its right, and what it announced, may be gone from the copy. Until
/// then the members prove their primary, as they do while the store is away.
pub(crate) fn restore_record<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Rc<Group>,
    copy: Record,
    revision: u64,
) {
    if group.replacing.replace(true) {
        return;
    }
    let (node, group) = (Rc::clone(node), Rc::clone(group));
    spawn_local(async move {
        let jitter = Duration::from_millis(rand::random_range(0..WRITE_JITTER_MS * 3));
        let rest = (node.era_since() + RESTORE_GRACE).since(Boot.now());
        sleep(rest + jitter).await;
        let written = node.store().era();
        let known = group.stored_record().map(|known| known.record);
        match known.filter(|known| copy.is_behind(known)) {
            Some(known) if known.written < written => {
                let record = Record { written, ..known };
                write_record(&node, &group, record, revision).await;
            }
            Some(_) => {}
            None => rewrite_from_members(&node, &group, copy, revision).await,
        }
        group.replacing.set(false);
    });
}

/// Writes a copied record anew by what the members say.
async fn rewrite_from_members<E: Edge>(
    node: &Rc<Node<E>>,
    group: &Group,
    copy: Record,
    revision: u64,
) {
    let members = group.members();
    let replies = probe::status_of_all::<E::Protocol>(&members).await;
    let leaders = members.iter().zip(&replies).filter_map(|(member, reply)| {
        let status = reply.status().filter(|status| status.leads)?;
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
    write_record(node, group, record, revision).await;
}
