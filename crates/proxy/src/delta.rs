//! Differences between versions of the catalogue.
//!
//! A catalogue changes by a few routes, or grows by some. An instance that holds the version
//! before is sent only the difference; hashes of both versions show whether it fits.

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    io::{self, Read, Write},
    rc::Rc,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::edge::Item;

/// Length of the blocks by which equal parts are found.
const BLOCK_BYTES: usize = 32;

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 16 << 20;

/// Total size of the differences that an instance keeps.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// A part of a value.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// Bytes of the previous version.
    Copy { at: u32, size: u32 },
    /// New bytes.
    New(Bytes),
}

/// The difference between two versions of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Hash of the previous version's value.
    from: u64,
    /// Hash of the new version's value.
    to: u64,
    /// The new version without its value.
    item: Item,
    /// The encoded parts, deflated.
    parts: Bytes,
}

/// Hash by which a value is identified.
pub fn hash(value: &[u8]) -> u64 {
    xxh3_64(value)
}

impl Delta {
    /// Computes the difference between the value `old` and the item `new`.
    ///
    /// # Errors
    ///
    /// The parts can't be encoded.
    pub fn new(old: &[u8], new: &Item) -> io::Result<Self> {
        let parts = postcard::to_stdvec(&parts(old, &new.value)).map_err(io::Error::other)?;
        let mut out = DeflateEncoder::new(Vec::new(), Compression::default());
        out.write_all(&parts)?;
        Ok(Self {
            from: hash(old),
            to: hash(&new.value),
            item: Item {
                value: Bytes::new(),
                ..new.clone()
            },
            parts: out.finish()?.into(),
        })
    }

    /// Applies the difference to the value `old`.
    ///
    /// # Errors
    ///
    /// `old` is not the previous version, or the difference is malformed.
    pub fn apply(&self, old: &[u8]) -> io::Result<Item> {
        if hash(old) != self.from {
            return Err(io::Error::other("difference to another version"));
        }
        let mut encoded = Vec::new();
        let deflated = DeflateDecoder::new(&self.parts[..]);
        deflated
            .take(MAX_VALUE_BYTES as u64 + 1)
            .read_to_end(&mut encoded)?;
        let parts: Vec<Part> = postcard::from_bytes(&encoded).map_err(io::Error::other)?;
        let mut value = Vec::with_capacity(old.len());
        for part in &parts {
            let bytes = match part {
                Part::New(bytes) => Some(&bytes[..]),
                Part::Copy { at, size } => old
                    .get(*at as usize..)
                    .and_then(|rest| rest.get(..*size as usize)),
            };
            let bytes = bytes.ok_or_else(|| io::Error::other("copy beyond the end"))?;
            if value.len() + bytes.len() > MAX_VALUE_BYTES {
                return Err(io::Error::other("value exceeds the maximum of 16 MiB"));
            }
            value.extend_from_slice(bytes);
        }
        if hash(&value) != self.to {
            return Err(io::Error::other("result is not the new version"));
        }
        Ok(Item {
            value: value.into(),
            ..self.item.clone()
        })
    }

    /// Hash of the previous version's value.
    pub fn from(&self) -> u64 {
        self.from
    }

    /// Size in bytes.
    pub fn size(&self) -> usize {
        self.parts.len() + size_of::<Self>()
    }
}

/// Applies differences one after the other to the value `old`.
///
/// # Errors
///
/// There are none, or one of them doesn't fit.
pub fn apply_all(deltas: &[Rc<Delta>], old: &[u8]) -> io::Result<Item> {
    let [first, rest @ ..] = deltas else {
        return Err(io::Error::other("no difference"));
    };
    let next = first.apply(old)?;
    rest.iter()
        .try_fold(next, |item, delta| delta.apply(&item.value))
}

/// Splits `new` into parts that `old` contains, and new ones.
///
/// Parts are found by blocks that occur once in `old`: what all routes have in common would lead
/// to the wrong one.
fn parts(old: &[u8], new: &[u8]) -> Vec<Part> {
    let mut blocks: HashMap<u64, Option<usize>> = HashMap::new();
    for (index, block) in old.chunks_exact(BLOCK_BYTES).enumerate() {
        match blocks.entry(hash(block)) {
            Entry::Vacant(entry) => drop(entry.insert(Some(index * BLOCK_BYTES))),
            Entry::Occupied(mut entry) => drop(entry.insert(None)),
        }
    }
    let mut parts = Vec::new();
    let (mut sent, mut at) = (0, 0);
    while let Some(block) = new.get(at..at + BLOCK_BYTES) {
        let found = blocks.get(&hash(block)).copied().flatten();
        let Some(found) = found.filter(|found| old[*found..].starts_with(block)) else {
            at += 1;
            continue;
        };
        let before = old[..found].iter().rev().zip(new[sent..at].iter().rev());
        let before = before.take_while(|(a, b)| a == b).count();
        let after = old[found..].iter().zip(&new[at..]);
        let after = after.take_while(|(a, b)| a == b).count();
        push_new(&mut parts, &new[sent..at - before]);
        parts.push(Part::Copy {
            at: (found - before) as u32,
            size: (before + after) as u32,
        });
        at += after;
        sent = at;
    }
    push_new(&mut parts, &new[sent..]);
    parts
}

fn push_new(parts: &mut Vec<Part>, bytes: &[u8]) {
    if !bytes.is_empty() {
        parts.push(Part::New(Bytes::copy_from_slice(bytes)));
    }
}

/// The differences between the latest versions of an instance's catalogue, oldest first.
#[derive(Debug, Default)]
pub struct History {
    /// Hash of the newest version; zero if there is none.
    newest: u64,
    deltas: VecDeque<Rc<Delta>>,
    /// The differences by which the next version was received.
    received: Vec<Rc<Delta>>,
    /// The version before the newest and the newest, until the difference is computed.
    replaced: Option<(Bytes, Item)>,
}

impl History {
    /// Hash of the newest version; zero if there is none.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Forgets all versions, so that a whole one is needed next.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Announces that the next version is one to which `deltas` lead.
    pub fn expect(&mut self, deltas: Vec<Rc<Delta>>) {
        self.received = deltas;
    }

    /// Records that `new` has replaced `old`. Unless the difference was received, it is computed
    /// when a peer asks for it.
    pub fn record(&mut self, old: Option<Item>, new: &Item) {
        let received = std::mem::take(&mut self.received);
        let newest = hash(&new.value);
        let is_received = received.last().is_some_and(|last| last.to == newest);
        let is_linked = match is_received {
            true => received.first().is_some_and(|d| d.from == self.newest),
            false => old.is_some(),
        };
        if !is_linked || self.replaced.is_some() {
            self.deltas.clear();
        }
        self.replaced = None;
        if is_received {
            self.deltas.extend(received);
        } else if self.newest != 0 {
            self.replaced = old.map(|old| (old.value, new.clone()));
        }
        self.newest = newest;
        self.drop_oldest();
    }

    /// Computes the difference to the version that was replaced last.
    fn compute(&mut self) {
        if let Some((old, new)) = self.replaced.take()
            && let Ok(delta) = Delta::new(&old, &new)
        {
            self.deltas.push_back(Rc::new(delta));
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        while self.size() > MAX_KEPT_BYTES {
            self.deltas.pop_front();
        }
    }

    fn size(&self) -> usize {
        self.deltas.iter().map(|delta| delta.size()).sum()
    }

    /// Returns the differences between the version with this hash and the newest one, or `None`
    /// if they are not known.
    pub fn since(&mut self, hash: u64) -> Option<Vec<Rc<Delta>>> {
        if hash == 0 || hash == self.newest {
            return None;
        }
        self.compute();
        let first = self.deltas.iter().rposition(|delta| delta.from == hash)?;
        Some(self.deltas.range(first..).cloned().collect())
    }
}
