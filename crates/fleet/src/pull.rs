//! Requests to peers for keys and members that this instance lacks.

use std::{mem::size_of, net::SocketAddr, time::Duration};

use clock::{Instant, Token};
use wire::{Change, Delta, Message, Node, Part, Record, Revision, View};

use crate::{
    Action, Call, Fleet, Notice,
    answer::Limiter,
    fleet::{Discovery, Due},
    keys,
    mirror::Error,
};

/// Timeout of a pull for its next frame.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum interval between comparisons of member tables, which rumours make
/// equal in the meantime.
const COMPARE_INTERVAL_MAX: Duration = Duration::from_secs(10);
/// Interval between comparisons just after the start, from which the interval
/// doubles. An instance whose first datagrams were lost has sent its record as
/// often as a rumour is sent, and stays unknown until tables are compared.
const COMPARE_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Maximum number of buckets of the member table in one request.
const BUCKETS_PER_REQUEST: usize = 16;

#[derive(Debug)]
struct Pull {
    call: Call,
    token: Token,
    to: SocketAddr,
    parts: Vec<Part>,
}

/// Pending pulls, and the limiter of answers to peers' pulls.
#[derive(Debug)]
pub(crate) struct Pulls {
    keys: Option<Pull>,
    members: Option<(Call, Token)>,
    has_table: bool,
    compare_schedule: Schedule,
    pub(crate) limiter: Limiter,
}

/// Schedule of table comparisons.
#[derive(Debug)]
struct Schedule {
    last: Instant,
    interval: Duration,
}

impl Schedule {
    fn open(now: Instant) -> Self {
        Self {
            last: now,
            interval: COMPARE_INTERVAL_MIN,
        }
    }

    /// Returns true if a comparison is due, and then doubles the interval to
    /// the next one.
    fn poll(&mut self, now: Instant) -> bool {
        if now.since(self.last) < self.interval {
            return false;
        }
        self.last = now;
        self.interval = (self.interval * 2).min(COMPARE_INTERVAL_MAX);
        true
    }
}

impl Pulls {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            keys: None,
            members: None,
            has_table: false,
            compare_schedule: Schedule::open(now),
            limiter: Limiter::open(now),
        }
    }

    pub(crate) fn state_bytes(&self) -> usize {
        let parts = self.keys.as_ref().map_or(&[][..], |pull| &pull.parts);
        let changes = parts.iter().flat_map(|part| &part.changes);
        changes
            .map(|change| size_of::<Change>() + change.key.len() + value_len(change))
            .sum()
    }
}

fn value_len(change: &Change) -> usize {
    change.value.as_ref().map_or(0, |bytes| bytes.len())
}

impl Fleet {
    /// Compares a peer's view with this instance's state, and requests what
    /// this instance lacks.
    pub(crate) fn compare_views(
        &mut self,
        now: Instant,
        peer: Node,
        address: SocketAddr,
        view: &View,
    ) {
        let held = self.mirror.revision();
        if view.revision > held {
            self.pull(now, address);
        }
        if view.revision == held && view.digest != self.mirror.digest() {
            self.notice(Notice::Diverged {
                peer,
                revision: held,
            });
            self.recheck_store(now);
        }
        if view.members != self.table.digest() {
            self.compare_tables(now, peer, address);
        }
    }

    fn pull(&mut self, now: Instant, to: SocketAddr) {
        self.pull_since(now, to, self.mirror.revision());
    }

    fn pull_since(&mut self, now: Instant, to: SocketAddr, from: Revision) {
        if self.pulls.keys.is_some() {
            return;
        }
        let call = self.call();
        let token = self.timer.subscribe(now + TIMEOUT, Due::Pull(call));
        self.pulls.keys = Some(Pull {
            call,
            token,
            to,
            parts: Vec::new(),
        });
        self.out.push(Action::Ask {
            call,
            to,
            message: Message::Pull(from),
        });
    }

    /// Handles the first answer after a start: the sender has the member table
    /// and the keys.
    pub(crate) fn on_first_ack(&mut self, now: Instant, address: SocketAddr) {
        if !self.pulls.has_table {
            self.ask_members(now, address, Vec::new());
        }
        if self.pulls.keys.is_none() {
            self.finish_discovery(now);
        }
    }

    fn ask_members(&mut self, now: Instant, to: SocketAddr, buckets: Vec<u16>) {
        if self.pulls.members.is_some() {
            return;
        }
        let known = if buckets.is_empty() {
            Vec::new()
        } else {
            self.table.fingerprints(&buckets)
        };
        let call = self.call();
        let token = self.timer.subscribe(now + TIMEOUT, Due::Pull(call));
        self.pulls.members = Some((call, token));
        self.out.push(Action::Ask {
            call,
            to,
            message: Message::Members { buckets, known },
        });
    }

    /// Compares tables with a peer whose table differs. The rate is limited,
    /// since rumours in transit make tables differ for a moment all the time.
    ///
    /// A peer that is not in the table knows more than this instance, which
    /// requests the peer's table. Any other peer is sent this instance's
    /// digests, and requests the members that it lacks.
    fn compare_tables(&mut self, now: Instant, peer: Node, to: SocketAddr) {
        if !self.pulls.compare_schedule.poll(now) {
            return;
        }
        if self.table.find(peer).is_none() {
            return self.ask_members(now, to, Vec::new());
        }
        let sums = self.table.sums().to_vec();
        self.send(to, Message::Buckets(sums));
    }

    pub(crate) fn compare_buckets(&mut self, now: Instant, address: SocketAddr, sums: &[u32]) {
        let ours = self.table.sums();
        if sums.len() != ours.len() {
            return;
        }
        let differing: Vec<u16> = (0u16..)
            .zip(ours.iter().zip(sums))
            .filter(|(_, (ours, theirs))| ours != theirs)
            .map(|(bucket, _)| bucket)
            .take(BUCKETS_PER_REQUEST)
            .collect();
        if !differing.is_empty() {
            self.ask_members(now, address, differing);
        }
    }

    pub(crate) fn on_answer(&mut self, now: Instant, call: Call, message: Message) {
        match message {
            Message::Part(part) => self.on_part(now, call, part),
            Message::Table(records) => self.on_table(now, call, &records),
            _ => self.on_pull_failed(now, call),
        }
    }

    pub(crate) fn on_pull_failed(&mut self, now: Instant, call: Call) {
        if let Some(pull) = self.pulls.keys.take_if(|pull| pull.call == call) {
            self.timer.cancel(pull.token);
            self.finish_discovery_after_pull(now);
        }
        if let Some((_, token)) = self.pulls.members.take_if(|(own, _)| *own == call) {
            self.timer.cancel(token);
        }
    }

    fn on_table(&mut self, now: Instant, call: Call, records: &[Record]) {
        let Some((_, token)) = self.pulls.members.take_if(|(own, _)| *own == call) else {
            return;
        };
        self.timer.cancel(token);
        self.pulls.has_table = true;
        for record in records {
            self.merge_without_gossip(now, record);
        }
        self.update_relay(now);
    }

    fn on_part(&mut self, now: Instant, call: Call, part: Part) {
        let Some(pull) = self.pulls.keys.as_mut().filter(|pull| pull.call == call) else {
            return;
        };
        let fits = pull.parts.first().is_none_or(|first| {
            (first.from, first.to, first.count) == (part.from, part.to, part.count)
        });
        if !fits || part.index as usize != pull.parts.len() {
            self.on_pull_failed(now, call);
            return;
        }
        let done = part.index + 1 >= part.count;
        pull.parts.push(part);
        self.timer.cancel(pull.token);
        if !done {
            pull.token = self.timer.subscribe(now + TIMEOUT, Due::Pull(call));
            return;
        }
        if let Some(pull) = self.pulls.keys.take() {
            self.on_pulled(now, pull);
        }
    }

    /// Applies a complete answer, or nothing of it.
    fn on_pulled(&mut self, now: Instant, mut pull: Pull) {
        let Some(Part {
            from, to, digest, ..
        }) = pull.parts.first().cloned()
        else {
            return;
        };
        let changes: Vec<Change> = pull.parts.drain(..).flat_map(|part| part.changes).collect();
        let result = match from {
            Some(from) => self.advance(now, from, to, Some(digest), changes),
            None => self.replace(now, to, Some(digest), &changes),
        };
        match result {
            Ok(()) | Err(Error::NotNewer { .. }) => {}
            // Rumours advanced the mirror while the answer was in transit.
            Err(Error::Gap { .. }) => self.pull(now, pull.to),
            // This instance started from a store restored from a backup, whose
            // history diverged from the peers' mirrors. Only a full answer can
            // be applied.
            Err(Error::Digest) if from.is_some() => {
                self.pull_since(now, pull.to, Revision::NONE);
            }
            Err(error) => self.notice(Notice::BadAnswer { error }),
        }
        self.finish_discovery_after_pull(now);
    }

    fn finish_discovery_after_pull(&mut self, now: Instant) {
        if self.discovery == Discovery::Waiting && self.pulls.keys.is_none() {
            self.finish_discovery(now);
        }
    }

    /// Applies the delta in a rumour if it starts from the mirrored revision.
    pub(crate) fn on_delta(&mut self, now: Instant, view: &View, delta: &Delta) {
        if view.revision <= self.mirror.revision() || delta.from != self.mirror.revision() {
            return;
        }
        let changes = delta.changes.clone();
        let result = self.advance(now, delta.from, view.revision, Some(view.digest), changes);
        if let Err(error) = result {
            self.notice(Notice::BadAnswer { error });
        }
    }

    pub(crate) fn advance(
        &mut self,
        now: Instant,
        from: Revision,
        to: Revision,
        digest: Option<u64>,
        changes: Vec<Change>,
    ) -> Result<(), Error> {
        self.mirror.advance(from, to, digest, &changes)?;
        self.emit_primaries(&changes);
        self.set_delta(Delta { from, changes });
        self.on_advanced(now);
        Ok(())
    }

    pub(crate) fn replace(
        &mut self,
        now: Instant,
        to: Revision,
        digest: Option<u64>,
        changes: &[Change],
    ) -> Result<(), Error> {
        let before = self.mirror.revision();
        let differences = self.mirror.replace(to, digest, changes)?;
        self.emit_primaries(&differences);
        self.push.delta = None;
        if to > before {
            self.on_advanced(now);
        }
        Ok(())
    }

    fn on_advanced(&mut self, now: Instant) {
        self.apply_catalog();
        self.push_revision(now);
    }

    fn emit_primaries(&mut self, changes: &[Change]) {
        let primaries = changes
            .iter()
            .filter(|change| change.key.starts_with(keys::PRIMARY))
            .map(|change| Action::Primary(change.clone()));
        self.out.extend(primaries);
    }
}
