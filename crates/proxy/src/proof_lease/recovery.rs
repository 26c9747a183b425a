//! Writes records of primaries that the store lacks or may have lost: a group's first record,
//! and records that a restore of the store has undone.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

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
    group::{Group, ProofSource, StoredRecord},
    node::Node,
    probe, relay,
    takeover::RESTORE_GRACE,
};

/// Extra delay of the second reader before it writes first records, so that it finds the
/// records of the first reader.
const READER_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of groups whose members are queried at once. Without the limit a fleet of new
/// groups would use up the instance's file descriptors.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Number of records per call. The store takes at most 32 entries in one call.
pub(super) const RECORDS_PER_SWAP: usize = 16;

/// Writes the records that the store lacks.
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
        .filter_map(async |(group, record)| {
            let record = record?;
            Some((
                Rc::clone(group),
                StoredRecord {
                    record,
                    revision: 0,
                },
            ))
        })
        .chunks(RECORDS_PER_SWAP)
        .for_each(async |records| write_records(node, &records).await);
    join(restored, records).await;
}

/// Rewrites a known record that is missing from a restored store.
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

/// Builds a group's first record from the members' replies.
async fn first_record<E: Edge>(node: &Rc<Node<E>>, group: &Group) -> Option<Record> {
    let members = group.members();
    if members.is_empty() || group.has_record() {
        return None;
    }
    let replies = probe::status_of_all::<E::Protocol>(&members).await;
    if !group.is_proof_wanted(Boot.now()) {
        // The holders of the group aren't known yet. Without closing these connections, which
        // would stay idle, an upstream with four slots refused the holders' first connections.
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
        replicas: group.quorum_replicas(Boot.now()),
        voters: Vec::new(),
        addresses: BTreeMap::new(),
        ordered: None,
    })
}

/// Writes records in place of those at their revisions, in one call or, if the store has a newer one
/// of any of them, one by one. Zero stands for a missing record.
pub(super) async fn write_records<E: Edge>(
    node: &Rc<Node<E>>,
    records: &[(Rc<Group>, StoredRecord)],
) {
    let key = |group: &Group| record_key::<E>(&group.service);
    let expected = records.iter().map(|(group, to)| (key(group), to.revision));
    let puts = records
        .iter()
        .map(|(group, to)| (key(group), encode(&to.record), 0));
    let swap = Swap {
        expected: expected.collect(),
        puts: puts.collect(),
        deletes: Vec::new(),
    };
    let sent = Boot.now();
    let swapped = timeout(STORE_TIMEOUT, node.store().swap(&swap)).await;
    log::info!(records = records.len(), swapped:?; "records written");
    match swapped {
        Ok(Ok(Swapped::Done(revision))) => {
            for (group, to) in records {
                group.update_record(to.record.clone(), revision);
                group.extend_proof(revision, ProofSource::Record, sent, node.settings.proof);
            }
            node.proof_wanted.notify_one();
        }
        Ok(Ok(_)) if records.len() > 1 => {
            let is_known = |(group, to): &&(Rc<Group>, StoredRecord)| {
                group.revision().unwrap_or(0) == to.revision
            };
            for (group, to) in records.iter().filter(is_known) {
                write_record(node, group, to.record.clone(), to.revision).await;
            }
        }
        _ => {}
    }
}

/// Writes a record in place of the one at `revision`; zero stands for a missing record.
async fn write_record<E: Edge>(node: &Rc<Node<E>>, group: &Group, record: Record, revision: u64) {
    let key = record_key::<E>(&group.service);
    let swap = Swap {
        expected: vec![(key.clone(), revision)],
        puts: vec![(key, encode(&record), 0)],
        deletes: Vec::new(),
    };
    let sent = Boot.now();
    let swapped = timeout(STORE_TIMEOUT, node.store().swap(&swap)).await;
    let term = record.term.0;
    log::info!(service = &*group.service, term, revision, swapped:?; "record written");
    if let Ok(Ok(Swapped::Done(revision))) = swapped {
        group.update_record(record, revision);
        group.extend_proof(revision, ProofSource::Record, sent, node.settings.proof);
    }
    node.proof_wanted.notify_one();
}

/// Rewrites a group's record that was found at `revision` in a restored store.
///
/// The restore may have undone a replacement. A session that followed the restored record would
/// use a primary that no longer leads, so the record isn't used until it has been rewritten:
/// from the record that an instance remembers or, if no instance does, from the members'
/// replies. Before that, a replacement in progress has to end, because the restored store may
/// lack its lock and its announcement. Until then the members prove their primary, as they do
/// while the store is down.
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

/// Replaces a group's record that can't be parsed, which was found at `revision`: another writer has
/// changed it.
///
/// The lost record may have been that of a replacement whose order still takes effect. So the new one
/// doesn't name a primary in use but a replacement in progress, and the holder of the takeover lock
/// finds out what leads.
pub(crate) fn repair_record<E: Edge>(node: &Rc<Node<E>>, group: &Rc<Group>, revision: u64) {
    if group.replacing.replace(true) {
        return;
    }
    log::error!(service = &*group.service, revision; "record can't be parsed");
    let (node, group) = (Rc::clone(node), Rc::clone(group));
    spawn_local(async move {
        let jitter = Duration::from_millis(rand::random_range(0..WRITE_JITTER_MS * 3));
        sleep(jitter).await;
        let last = match group.stored_record() {
            Some(known) if known.revision > revision => None,
            Some(known) => Some(known.record),
            None => first_record(&node, &group).await,
        };
        if let Some(last) = last {
            let record = Record {
                phase: Phase::Changing,
                by: node.settings.name.clone(),
                written: node.store().era(),
                ..last
            };
            write_record(&node, &group, record, revision).await;
        }
        group.replacing.set(false);
    });
}

/// Rewrites a restored record from the members' replies.
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
        Some((term, upstream)) => {
            let voters = group.voters(&upstream);
            Record {
                term,
                upstream,
                phase: Phase::Stable,
                by: node.settings.name.clone(),
                written,
                replicas: group.quorum_replicas(Boot.now()),
                addresses: group.addresses(&voters),
                voters,
                ordered: None,
            }
        }
        // A replacement that had begun is resumed from the restored record.
        None => Record { written, ..copy },
    };
    write_record(node, group, record, revision).await;
}
