//! Table of members, as this instance sees them.

use std::{
    collections::{BTreeMap, HashSet},
    mem::size_of,
    time::Duration,
};

use clock::Instant;
use model::name;
use wire::{Mark, Node, Record, State, Update};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Lifecycle, Member, Path};

/// Number of buckets in which tables are compared. With 4,000 members, a bucket
/// has 62 of them, and the digests of all buckets fit in a datagram.
pub(crate) const BUCKETS: usize = 64;
/// Time that a suspect stays in the table: longer than a partition of an hour
/// between regions, so that no member has to join again when the partition
/// heals.
const SUSPECT_TTL: Duration = Duration::from_secs(2 * 60 * 60);
/// Time that a gone member stays in the table, so that a late rumour does not
/// add the member again.
const GONE_TTL: Duration = Duration::from_secs(10 * 60);

/// Result of merging an update into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The update was known, or older than what is known.
    Unchanged,
    /// The member is new in the table, or has another zone or address.
    Joined,
    /// The member's state or incarnation changed.
    Changed,
    /// The update is about a member that is not in the table.
    UnknownMember,
}

/// Members of a zone.
#[derive(Debug, Clone, Default)]
struct Zone {
    nodes: Vec<Node>,
    /// Counts the changes of the set of available members.
    version: u64,
}

/// Table of members, as this instance sees them.
///
/// Of two records of a member, the one of the later incarnation takes
/// precedence, and within an incarnation the later state: alive, suspect,
/// leaving, gone. The order and repetition of rumours therefore do not matter.
#[derive(Debug, Clone)]
pub struct Table {
    members: BTreeMap<Node, Member>,
    zones: BTreeMap<name::Zone, Zone>,
    sums: [u32; BUCKETS],
}

impl Default for Table {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            zones: BTreeMap::new(),
            sums: [0; BUCKETS],
        }
    }
}

impl Table {
    /// The member with this identifier.
    pub fn find(&self, node: Node) -> Option<&Member> {
        self.members.get(&node)
    }

    /// All members, by identifier.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// All members of a zone.
    pub fn zone(&self, zone: &name::Zone) -> impl Iterator<Item = &Member> {
        let nodes = self.nodes(zone).iter();
        nodes.filter_map(|node| self.members.get(node))
    }

    /// Zones that have members.
    pub fn zones(&self) -> impl Iterator<Item = &name::Zone> {
        let zones = self.zones.iter().filter(|(_, zone)| !zone.nodes.is_empty());
        zones.map(|(name, _)| name)
    }

    /// Number of known members, in any state.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns true if no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Count of the changes of a zone's set of available members.
    pub(crate) fn version(&self, zone: &name::Zone) -> u64 {
        self.zones.get(zone).map_or(0, |zone| zone.version)
    }

    pub(crate) fn nodes(&self, zone: &name::Zone) -> &[Node] {
        self.zones.get(zone).map_or(&[], |zone| &zone.nodes)
    }

    pub(crate) fn sums(&self) -> &[u32; BUCKETS] {
        &self.sums
    }

    /// Digest of all members' incarnations and departures.
    ///
    /// Suspicions are left out: they come and go with lost datagrams, and would
    /// make members compare their tables without end.
    pub(crate) fn digest(&self) -> u32 {
        self.sums
            .iter()
            .fold(0, |sum, part| sum.wrapping_add(*part))
    }

    pub(crate) fn merge(&mut self, now: Instant, update: &Update) -> Merge {
        match update {
            Update::Record(record) => self.merge_record(now, record),
            Update::Mark(mark) => self.merge_mark(now, mark),
        }
    }

    pub(crate) fn merge_record(&mut self, now: Instant, record: &Record) -> Merge {
        let node = Node::of(&record.name);
        let Some(member) = self.members.get(&node) else {
            if record.state == State::Gone {
                return Merge::Unchanged;
            }
            self.insert(now, node, record);
            return Merge::Joined;
        };
        if precedence(record.incarnation, record.state)
            <= precedence(member.record.incarnation, member.record.state)
        {
            return Merge::Unchanged;
        }
        if member.record.zone != record.zone || member.record.address != record.address {
            self.remove(node);
            self.insert(now, node, record);
            return Merge::Joined;
        }
        let mark = Mark {
            node,
            incarnation: record.incarnation,
            state: record.state,
        };
        self.merge_mark(now, &mark)
    }

    pub(crate) fn merge_mark(&mut self, now: Instant, mark: &Mark) -> Merge {
        let Some(member) = self.members.get_mut(&mark.node) else {
            return Merge::UnknownMember;
        };
        let known = &mut member.record;
        if precedence(mark.incarnation, mark.state) <= precedence(known.incarnation, known.state) {
            return Merge::Unchanged;
        }
        let bucket = bucket(mark.node);
        self.sums[bucket] = self.sums[bucket].wrapping_sub(sum(known, mark.node));
        if (known.state == State::Alive) != (mark.state == State::Alive)
            && let Some(zone) = self.zones.get_mut(&known.zone)
        {
            zone.version += 1;
        }
        known.incarnation = mark.incarnation;
        known.state = mark.state;
        member.since = now;
        self.sums[bucket] = self.sums[bucket].wrapping_add(sum(&member.record, mark.node));
        Merge::Changed
    }

    pub(crate) fn find_mut(&mut self, node: Node) -> Option<&mut Member> {
        self.members.get_mut(&node)
    }

    pub(crate) fn set_listed(&mut self, node: Node, listed: Option<Lifecycle>) -> Option<&Member> {
        let member = self.members.get_mut(&node)?;
        if member.listed == listed {
            return None;
        }
        member.listed = listed;
        if let Some(zone) = self.zones.get_mut(&member.record.zone) {
            zone.version += 1;
        }
        Some(member)
    }

    /// Reachability of a zone from this instance.
    pub fn path(&self, zone: &name::Zone) -> Path {
        let member = self.zone(zone).next();
        member.map_or(Path::Open, |member| member.path)
    }

    pub(crate) fn set_path(&mut self, zone: &name::Zone, path: Path) {
        let Some(zone) = self.zones.get_mut(zone) else {
            return;
        };
        zone.version += 1;
        for node in &zone.nodes {
            if let Some(member) = self.members.get_mut(node) {
                member.path = path;
            }
        }
    }

    /// Records of the given buckets, or of all buckets if none is given,
    /// without those whose fingerprint is in `known`.
    pub(crate) fn records(&self, buckets: &[u16], known: &[u32]) -> Vec<Record> {
        let known: HashSet<_> = known.iter().collect();
        self.members_in(buckets)
            .filter(|member| !known.contains(&fingerprint(&member.record, member.node)))
            .map(|member| member.record.clone())
            .collect()
    }

    /// Fingerprints of the members of the given buckets, or of all members if
    /// none is given.
    pub(crate) fn fingerprints(&self, buckets: &[u16]) -> Vec<u32> {
        self.members_in(buckets)
            .map(|member| fingerprint(&member.record, member.node))
            .collect()
    }

    fn members_in(&self, buckets: &[u16]) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| {
            // A bucket's number is below `BUCKETS`, which fits in 16 bits.
            buckets.is_empty() || buckets.contains(&(bucket(member.node) as u16))
        })
    }

    /// Marks suspects that were silent for long as gone, and removes members
    /// that were gone for long. Returns the members newly marked as gone.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Node> {
        let older = |member: &&Member, state, ttl| {
            member.record.state == state && now.since(member.since) > ttl
        };
        let nodes = |state, ttl| -> Vec<Node> {
            let members = self.members.values();
            let expired = members.filter(|member| older(member, state, ttl));
            expired.map(|member| member.node).collect()
        };
        let forgotten = nodes(State::Gone, GONE_TTL);
        let gone = nodes(State::Suspect, SUSPECT_TTL);
        for node in forgotten {
            self.remove(node);
        }
        for &node in &gone {
            if let Some(incarnation) = self.find(node).map(|member| member.record.incarnation) {
                let mark = Mark {
                    node,
                    incarnation,
                    state: State::Gone,
                };
                self.merge_mark(now, &mark);
            }
        }
        gone
    }

    /// Estimated memory of the table in bytes, with B-tree nodes two thirds
    /// full and each name as its own allocation.
    pub fn state_bytes(&self) -> usize {
        let slot = size_of::<Node>() + size_of::<Member>();
        let members = self.members.values().map(|member| {
            let record = &member.record;
            let names = record.name.as_str().len() + record.zone.as_str().len() + 2 * 16;
            slot * 3 / 2 + names + size_of::<Node>()
        });
        size_of::<Self>() + members.sum::<usize>()
    }

    fn insert(&mut self, now: Instant, node: Node, record: &Record) {
        // Members of a zone share the allocation of the zone's name.
        let zone = self.zones.get_key_value(&record.zone);
        let zone = zone.map_or(&record.zone, |(zone, _)| zone).clone();
        let path = self.path(&zone);
        let entry = self.zones.entry(zone.clone()).or_default();
        entry.nodes.push(node);
        entry.version += 1;
        let record = Record {
            zone,
            ..record.clone()
        };
        let bucket = bucket(node);
        self.sums[bucket] = self.sums[bucket].wrapping_add(sum(&record, node));
        let member = Member {
            node,
            record,
            since: now,
            listed: None,
            path,
            view: None,
        };
        self.members.insert(node, member);
    }

    fn remove(&mut self, node: Node) {
        let Some(member) = self.members.remove(&node) else {
            return;
        };
        let bucket = bucket(node);
        self.sums[bucket] = self.sums[bucket].wrapping_sub(sum(&member.record, node));
        if let Some(zone) = self.zones.get_mut(&member.record.zone) {
            zone.nodes.retain(|other| *other != node);
            zone.version += 1;
        }
    }
}

fn precedence(incarnation: u64, state: State) -> (u64, State) {
    (incarnation, state)
}

fn bucket(node: Node) -> usize {
    node.number() as usize % BUCKETS
}

/// Contribution of a member to the sum of its bucket. Gone members contribute
/// nothing, since each instance removes them at a different time.
fn sum(record: &Record, node: Node) -> u32 {
    match record.state {
        State::Gone => 0,
        State::Alive | State::Suspect | State::Leaving => fingerprint(record, node),
    }
}

/// Hash of a member's incarnation and of its departure.
fn fingerprint(record: &Record, node: Node) -> u32 {
    let state = match record.state {
        State::Alive | State::Suspect => 0,
        State::Leaving => 1,
        State::Gone => 2,
    };
    // The lower 32 bits of the hash suffice.
    xxh3_64_with_seed(&node.0, record.incarnation << 2 ^ state) as u32
}
