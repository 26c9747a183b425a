//! Simulated store and upstream of the seat tests.

use std::collections::BTreeMap;

use clock::Instant;
use pool::{
    lease::Id,
    seat::{Epoch, Record},
};

pub(crate) const SEATS: usize = 2;
pub(crate) const LIMIT: usize = 16;

/// Index of a process; a restarted process has a new index.
pub(crate) type Holder = usize;

#[derive(Debug, Clone, Copy)]
struct Key {
    holder: Holder,
    lease: Id,
    epoch: Epoch,
}

/// Simulated store with leases and seat keys.
#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: u64,
    leases: BTreeMap<Id, Instant>,
    keys: [Option<Key>; SEATS],
}

impl Store {
    pub(crate) fn grant(&mut self, until: Instant) -> Id {
        self.revision += 1;
        let id = Id(self.revision as i64);
        self.leases.insert(id, until);
        id
    }

    /// Renews a lease; returns false if it does not exist.
    pub(crate) fn renew(&mut self, id: Id, until: Instant) -> bool {
        self.leases.get_mut(&id).map(|it| *it = until).is_some()
    }

    /// Removes expired leases and their keys.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        self.leases.retain(|_, until| now < *until);
        for key in &mut self.keys {
            *key = key.filter(|it| self.leases.contains_key(&it.lease));
        }
    }

    pub(crate) fn claim(&mut self, holder: Holder, seat: usize, lease: Id, over: Option<Epoch>) {
        let epoch = self.keys[seat].map(|it| it.epoch);
        if epoch == over && self.leases.contains_key(&lease) {
            self.revision += 1;
            self.keys[seat] = Some(Key {
                holder,
                lease,
                epoch: Epoch(self.revision),
            });
        }
    }

    pub(crate) fn release(&mut self, seat: usize, epoch: Epoch) {
        self.keys[seat] = self.keys[seat].filter(|it| it.epoch != epoch);
    }

    pub(crate) fn read(&self, holder: Holder, seat: usize) -> Record {
        match self.keys[seat] {
            None => Record::Absent,
            Some(key) if key.holder == holder => Record::Mine(key.epoch),
            Some(key) => Record::Other(key.epoch),
        }
    }

    pub(crate) fn epoch(&self, seat: usize) -> Option<Epoch> {
        self.keys[seat].map(|it| it.epoch)
    }
}

/// A connection at the upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conn {
    pub(crate) holder: Holder,
    pub(crate) seat: usize,
    pub(crate) epoch: Epoch,
    /// Whether a statement ran on the connection.
    pub(crate) used: bool,
}

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Connections of two holders of a seat were in use at once.
    Two {
        seat: usize,
        holder: Holder,
        other: Holder,
    },
    /// More connections of a seat were in use at once than its share.
    Share { seat: usize, used: usize },
}

/// Simulated upstream that refuses connections beyond its limit.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) conns: BTreeMap<u64, Conn>,
    last: [Option<Holder>; SEATS],
    pub(crate) most: usize,
    pub(crate) refused: u64,
    pub(crate) statements: [u64; SEATS],
    /// Number of changes of the holder that uses a seat.
    pub(crate) changes: u64,
    pub(crate) violations: Vec<Violation>,
}

impl Upstream {
    /// Opens a connection; returns false if the limit is reached.
    pub(crate) fn open(&mut self, id: u64, conn: Conn) -> bool {
        if self.conns.len() >= LIMIT {
            self.refused += 1;
            return false;
        }
        self.conns.insert(id, conn);
        self.most = self.most.max(self.conns.len());
        true
    }

    /// Epochs of other holders' connections of the seat.
    pub(crate) fn others(&self, holder: Holder, seat: usize) -> Vec<Epoch> {
        let other = |it: &&Conn| it.seat == seat && it.holder != holder;
        self.conns
            .values()
            .filter(other)
            .map(|it| it.epoch)
            .collect()
    }

    /// Ends other holders' connections of the seat with epochs below `below`.
    pub(crate) fn end_others(
        &mut self,
        holder: Holder,
        seat: usize,
        below: Epoch,
    ) -> Vec<(u64, Conn)> {
        let ends = |it: &Conn| it.seat == seat && it.holder != holder && it.epoch < below;
        self.conns.extract_if(.., |_, it| ends(it)).collect()
    }

    /// Runs a statement; returns false if the connection was ended.
    pub(crate) fn run(&mut self, id: u64, share: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else {
            return false;
        };
        conn.used = true;
        let Conn { holder, seat, .. } = *conn;
        let last = self.last[seat].replace(holder);
        self.changes += u64::from(last != Some(holder));
        let mut conns = self.conns.values();
        let mixed = conns.find(|it| it.seat == seat && it.used && it.holder != holder);
        if let Some(other) = mixed.map(|it| it.holder) {
            self.violations.push(Violation::Two {
                seat,
                holder,
                other,
            });
        }
        let used = |it: &&Conn| it.seat == seat && it.used;
        let used = self.conns.values().filter(used).count();
        if used > share {
            self.violations.push(Violation::Share { seat, used });
        }
        self.statements[seat] += 1;
        true
    }
}
