//! Format 1, supported so that instances of two versions can run together
//! during an upgrade.
//!
//! Revisions in format 1 have no epoch, and there is no evidence. Operators
//! raise the epoch only after all instances were upgraded, so a revision with
//! an epoch is never written in format 1.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Change, Delta, Error, Message, Part, Record, Revision, Update, View, frame};

#[derive(Debug, Serialize, Deserialize)]
struct OldView {
    revision: u64,
    digest: u64,
    applied: Option<u64>,
    members: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct OldDelta {
    from: u64,
    changes: Vec<Change>,
}

#[derive(Debug, Serialize, Deserialize)]
struct OldPart {
    from: Option<u64>,
    to: u64,
    digest: u64,
    index: u32,
    count: u32,
    changes: Vec<Change>,
}

#[derive(Debug, Serialize, Deserialize)]
enum OldMessage {
    Ping(u32, OldView, Vec<Update>),
    Ack(u32, OldView, Vec<Update>),
    Probe(u32, SocketAddr),
    Rumour(OldView, Option<OldDelta>, Vec<Update>),
    Buckets(Vec<u32>),
    Pull(u64),
    Part(OldPart),
    Busy,
    Members(Vec<u16>),
    Table(Vec<Record>),
    Forward(u64, u64, Bytes),
    Answer(u64, u64, Bytes),
}

pub(crate) fn encode(message: &Message, buf: Vec<u8>) -> Result<Vec<u8>, Error> {
    let old = downgrade(message)?;
    postcard::to_extend(&old, buf).map_err(|_| Error::Malformed)
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Message, Error> {
    frame::decode_all(bytes).map(upgrade)
}

fn downgrade(message: &Message) -> Result<OldMessage, Error> {
    Ok(match message.clone() {
        Message::Ping {
            probe,
            view,
            updates,
        } => OldMessage::Ping(probe, downgrade_view(view)?, updates),
        Message::Ack {
            probe,
            view,
            updates,
        } => OldMessage::Ack(probe, downgrade_view(view)?, updates),
        Message::Probe { probe, target } => OldMessage::Probe(probe, target),
        Message::Rumour {
            view,
            delta,
            updates,
        } => {
            let delta = delta.map(downgrade_delta).transpose()?;
            OldMessage::Rumour(downgrade_view(view)?, delta, updates)
        }
        Message::Buckets(sums) => OldMessage::Buckets(sums),
        Message::Evidence(_) => return Err(Error::NotInFormat),
        Message::Pull(revision) => OldMessage::Pull(number(revision)?),
        Message::Part(part) => OldMessage::Part(downgrade_part(part)?),
        Message::Busy => OldMessage::Busy,
        // Format 1 has no fingerprints, so the answer contains all members of
        // the buckets.
        Message::Members { buckets, .. } => OldMessage::Members(buckets),
        Message::Table(records) => OldMessage::Table(records),
        Message::Forward {
            generation,
            sequence,
            body,
        } => OldMessage::Forward(generation, sequence, body),
        Message::Answer {
            generation,
            sequence,
            body,
        } => OldMessage::Answer(generation, sequence, body),
    })
}

fn upgrade(old: OldMessage) -> Message {
    match old {
        OldMessage::Ping(probe, view, updates) => Message::Ping {
            probe,
            view: upgrade_view(view),
            updates,
        },
        OldMessage::Ack(probe, view, updates) => Message::Ack {
            probe,
            view: upgrade_view(view),
            updates,
        },
        OldMessage::Probe(probe, target) => Message::Probe { probe, target },
        OldMessage::Rumour(view, delta, updates) => Message::Rumour {
            view: upgrade_view(view),
            delta: delta.map(|delta| Delta {
                from: revision(delta.from),
                changes: delta.changes,
            }),
            updates,
        },
        OldMessage::Buckets(sums) => Message::Buckets(sums),
        OldMessage::Pull(from) => Message::Pull(revision(from)),
        OldMessage::Part(part) => Message::Part(Part {
            from: part.from.map(revision),
            to: revision(part.to),
            digest: part.digest,
            index: part.index,
            count: part.count,
            changes: part.changes,
        }),
        OldMessage::Busy => Message::Busy,
        OldMessage::Members(buckets) => Message::Members {
            buckets,
            known: Vec::new(),
        },
        OldMessage::Table(records) => Message::Table(records),
        OldMessage::Forward(generation, sequence, body) => Message::Forward {
            generation,
            sequence,
            body,
        },
        OldMessage::Answer(generation, sequence, body) => Message::Answer {
            generation,
            sequence,
            body,
        },
    }
}

fn number(revision: Revision) -> Result<u64, Error> {
    if revision.epoch != 0 {
        return Err(Error::NotInFormat);
    }
    Ok(revision.number)
}

fn revision(number: u64) -> Revision {
    Revision { epoch: 0, number }
}

fn downgrade_view(view: View) -> Result<OldView, Error> {
    Ok(OldView {
        revision: number(view.revision)?,
        digest: view.digest,
        applied: view.applied.map(number).transpose()?,
        members: view.members,
    })
}

fn upgrade_view(view: OldView) -> View {
    View {
        revision: revision(view.revision),
        digest: view.digest,
        applied: view.applied.map(revision),
        members: view.members,
    }
}

fn downgrade_delta(delta: Delta) -> Result<OldDelta, Error> {
    Ok(OldDelta {
        from: number(delta.from)?,
        changes: delta.changes,
    })
}

fn downgrade_part(part: Part) -> Result<OldPart, Error> {
    Ok(OldPart {
        from: part.from.map(number).transpose()?,
        to: number(part.to)?,
        digest: part.digest,
        index: part.index,
        count: part.count,
        changes: part.changes,
    })
}
