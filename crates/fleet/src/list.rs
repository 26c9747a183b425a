//! Handling of the platform's list of instances, which may be late or wrong.

use clock::Instant;
use wire::{Node, Record, State};

use crate::{Action, Fleet, Lifecycle, Listing, Notice, fleet::Discovery, table::Merge};

/// State of this instance in the list.
#[derive(Debug, Default)]
pub(crate) struct List {
    own: Option<Lifecycle>,
}

impl Fleet {
    /// Processes the platform's list.
    ///
    /// The list adds members and marks members as leaving. It removes none: a
    /// member that answers heartbeats is alive, listed or not.
    pub(crate) fn on_list(&mut self, now: Instant, listings: &[Listing]) {
        self.add_listed(now, listings);
        if self.reject_implausible(listings) {
            return;
        }
        for listing in listings {
            self.on_listing(now, listing);
        }
        self.update_relay(now);
    }

    fn add_listed(&mut self, now: Instant, listings: &[Listing]) {
        let waiting = self.discovery == Discovery::Waiting;
        let mut pinged = 0;
        for listing in listings {
            let record = Record {
                name: listing.name.clone(),
                zone: listing.zone.clone(),
                address: listing.address,
                // Below the incarnation of any process, so that the member's
                // own record takes precedence.
                incarnation: 0,
                state: State::Alive,
            };
            if Node::of(&record.name) == self.node {
                continue;
            }
            let known = self.table.merge_record(now, &record) != Merge::Joined;
            if !known {
                self.out.push(Action::Member(record));
            }
            if waiting && pinged < LISTED_PINGS_MAX && listing.zone == self.conf.zone {
                pinged += 1;
                self.ping_with_record(listing.address);
            }
        }
    }

    /// Returns true, and sends a notice, if the list would remove most of the
    /// members that answer.
    ///
    /// If a platform's list is empty or marks all instances as leaving while
    /// they answer each other, following the list would stop the whole service
    /// at once.
    fn reject_implausible(&mut self, listings: &[Listing]) -> bool {
        let alive = self
            .table
            .members()
            .filter(|member| member.record.state == State::Alive)
            .count();
        let leaving = listings
            .iter()
            .filter(|listing| listing.lifecycle == Lifecycle::Leaving)
            .filter(|listing| {
                let member = self.table.find(Node::of(&listing.name));
                member.is_some_and(|member| member.record.state == State::Alive)
            })
            .count();
        let distrusted = listings.is_empty() && alive > 1 || leaving * 2 > alive;
        if distrusted {
            let lost = if listings.is_empty() { alive } else { leaving };
            self.notice(Notice::ListDistrusted { lost, alive });
        }
        distrusted
    }

    fn on_listing(&mut self, now: Instant, listing: &Listing) {
        let node = Node::of(&listing.name);
        if node == self.node {
            self.on_own_listing(now, listing.lifecycle);
            return;
        }
        let changed = self.table.set_listed(node, Some(listing.lifecycle));
        if let Some(member) = changed {
            let record = member.record.clone();
            self.out.push(Action::Member(record));
        }
    }

    fn on_own_listing(&mut self, now: Instant, lifecycle: Lifecycle) {
        let before = self.list.own.replace(lifecycle);
        match (before, lifecycle) {
            (Some(Lifecycle::Leaving), Lifecycle::Leaving) | (None, Lifecycle::Live) => {}
            (_, Lifecycle::Leaving) => {
                self.notice(Notice::ListedLeaving);
                self.leave(now);
            }
            (Some(Lifecycle::Leaving), Lifecycle::Live) => self.cancel_leave(now),
            (Some(Lifecycle::Live), Lifecycle::Live) => {}
        }
    }

    /// Resumes work after the platform no longer marks this instance as
    /// leaving.
    fn cancel_leave(&mut self, now: Instant) {
        if self.state != State::Leaving {
            return;
        }
        self.state = State::Alive;
        self.incarnation += 1;
        self.publish_record(now);
        self.start_push(now);
    }
}

/// Maximum number of listed members of the own zone that are pinged at once
/// when starting.
const LISTED_PINGS_MAX: usize = 5;
