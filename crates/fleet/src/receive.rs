//! Handling of peers' datagrams.

use std::net::SocketAddr;

use clock::Instant;
use wire::{Message, Node, Record, State, Update, View};

use crate::{Action, Fleet, Path, gossip::Detail, table::Merge};

impl Fleet {
    pub(crate) fn on_message(
        &mut self,
        now: Instant,
        from: Node,
        address: SocketAddr,
        message: Message,
    ) {
        match message {
            Message::Ping {
                probe,
                view,
                updates,
            } => {
                self.on_gossip(now, from, address, &view, &updates);
                self.answer_ping(from, address, probe);
            }
            Message::Ack {
                probe,
                view,
                updates,
            } => {
                self.on_gossip(now, from, address, &view, &updates);
                self.on_ack(now, from, address, probe);
            }
            Message::Probe { probe, target } => self.probe_on_behalf(now, address, probe, target),
            Message::Rumour {
                view,
                delta,
                updates,
            } => {
                if let Some(delta) = delta {
                    self.on_delta(now, &view, &delta);
                }
                self.on_gossip(now, from, address, &view, &updates);
            }
            Message::Buckets(sums) => self.compare_buckets(now, address, &sums),
            // Stream messages are not valid in datagrams, and evidence is
            // handled by the failover state machines.
            Message::Evidence(_)
            | Message::Pull(_)
            | Message::Part(_)
            | Message::Busy
            | Message::Members { .. }
            | Message::Table(_)
            | Message::Forward { .. }
            | Message::Answer { .. } => {}
        }
    }

    /// Processes the view and the updates in a heartbeat or rumour.
    fn on_gossip(
        &mut self,
        now: Instant,
        from: Node,
        address: SocketAddr,
        view: &View,
        updates: &[Update],
    ) {
        for update in updates {
            self.merge(now, update);
        }
        self.note_heard(now, from, view);
        self.compare_views(now, from, address, view);
    }

    fn note_heard(&mut self, now: Instant, from: Node, view: &View) {
        let Some(member) = self.table.find_mut(from) else {
            return;
        };
        member.view = Some((*view, now));
        let zone = member.record.zone.clone();
        if member.path == Path::CutOff {
            self.set_path(&zone, Path::Open);
        }
        self.probes.note_heard(now, zone);
    }

    pub(crate) fn set_path(&mut self, zone: &model::name::Zone, path: Path) {
        self.table.set_path(zone, path);
        let zone = zone.clone();
        self.out.push(Action::Zone { zone, path });
    }

    pub(crate) fn merge(&mut self, now: Instant, update: &Update) {
        let (node, detail) = match self.merge_or_refute(now, update) {
            (_, Merge::Unchanged | Merge::UnknownMember) => return,
            (node, Merge::Joined) => (node, Detail::Record),
            (node, Merge::Changed) => (node, Detail::Mark),
        };
        self.announce(now, node, detail);
    }

    /// Merges an update into the table. An update about this instance itself is
    /// not merged, but refuted if it is wrong.
    fn merge_or_refute(&mut self, now: Instant, update: &Update) -> (Node, Merge) {
        let (node, incarnation, state) = match update {
            Update::Record(record) => (Node::of(&record.name), record.incarnation, record.state),
            Update::Mark(mark) => (mark.node, mark.incarnation, mark.state),
        };
        if node == self.node {
            self.refute(now, incarnation, state);
            return (node, Merge::Unchanged);
        }
        (node, self.table.merge(now, update))
    }

    /// Merges a record from a peer's table without queueing a rumour: a joining
    /// member would otherwise repeat the whole table to members that know it.
    pub(crate) fn merge_without_gossip(&mut self, now: Instant, record: &Record) {
        let update = Update::Record(record.clone());
        if let (node, Merge::Joined | Merge::Changed) = self.merge_or_refute(now, &update) {
            self.report_member(node);
        }
    }

    /// Spreads a change of a member, and reports the change to the daemon.
    pub(crate) fn announce(&mut self, now: Instant, node: Node, detail: Detail) {
        self.gossip.enqueue(node, detail);
        let state = self.table.find(node).map(|member| member.record.state);
        // Until peers learn of the change, they give work to a member that
        // leaves or died, and none to a member that started. Such changes are
        // pushed without waiting for heartbeats.
        match state {
            Some(State::Suspect) => self.push_once(now),
            Some(State::Leaving) => self.start_push(now),
            _ if detail == Detail::Record => self.start_push(now),
            _ => {}
        }
        self.report_member(node);
    }

    fn report_member(&mut self, node: Node) {
        let Some(member) = self.table.find(node) else {
            return;
        };
        let record = member.record.clone();
        self.out.push(Action::Member(record));
    }

    /// Refutes a false rumour about this instance by a later incarnation.
    ///
    /// Peers suspect a paused or slow instance and give it no work. Without a
    /// later incarnation that overrides the suspicion, the instance would stay
    /// out of service for ever.
    fn refute(&mut self, now: Instant, incarnation: u64, state: State) {
        if (incarnation, state) <= (self.incarnation, self.state) {
            return;
        }
        self.incarnation = self.incarnation.max(incarnation) + 1;
        self.publish_record(now);
    }
}
