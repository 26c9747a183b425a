//! The listed upstreams of a group, and the voters on its primary.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use clock::Instant;
use lead::Record;

use super::{Group, LIST_MEMORY, StoredRecord};
use crate::member::Member;

impl Group {
    /// Returns the number of replicas, counting those that were listed within `memory`: an entry
    /// may expire though its upstream is alive.
    pub fn replica_count(&self, now: Instant, memory: Duration) -> usize {
        let count = self.members.borrow().len();
        let (largest_list, at) = self.largest_list.get();
        let members = match at + memory < now {
            true => count,
            false => count.max(largest_list),
        };
        members.saturating_sub(1)
    }

    /// Returns the number of replicas of which a majority proves the primary, or that have to be
    /// fenced against one.
    ///
    /// The record's voters, if it names any: instances may have different lists. Otherwise, an
    /// instance that has just started knows only the current list. An entry that is missing
    /// may have expired though its upstream is alive and counts at other instances, so until the
    /// instance remembers the list for long enough the record's count is the least.
    pub fn quorum_replicas(&self, now: Instant) -> usize {
        let named = self.stored.borrow();
        let named = named.as_ref().and_then(|s| s.record.voting_replicas());
        named.unwrap_or_else(|| self.listed_replicas(now))
    }

    /// Number of replicas by the list, and by the record until the list is known for long enough.
    fn listed_replicas(&self, now: Instant) -> usize {
        let count = self.replica_count(now, LIST_MEMORY);
        let since = self.listed_since.get();
        match since.is_some_and(|since| since + LIST_MEMORY < now) {
            true => count,
            false => count.max(self.recorded_replicas()),
        }
    }

    /// Ids of the listed upstreams.
    fn listed(&self) -> Vec<String> {
        let members = self.members();
        members
            .iter()
            .map(|member| member.upstream.id.to_string())
            .collect()
    }

    /// Ids of the upstreams that vote on `primary` when a record of it is written: the listed ones
    /// and the primary, which may have left the list meanwhile.
    pub fn voters(&self, primary: &str) -> Vec<String> {
        let mut voters = self.listed();
        if !voters.iter().any(|voter| voter == primary) {
            voters.push(primary.to_owned());
        }
        voters
    }

    /// Last known addresses of `voters`.
    pub fn addresses(&self, voters: &[String]) -> BTreeMap<String, SocketAddr> {
        let stored = self.stored.borrow();
        let recorded = |id: &str| Some(*stored.as_ref()?.record.addresses.get(id)?);
        let known = |id: &str| {
            let member = self.member(id).or_else(|| self.absent_member(id));
            member.map_or_else(|| recorded(id), |member| Some(member.upstream.address))
        };
        let all = voters
            .iter()
            .filter_map(|id| Some((id.clone(), known(id)?)));
        all.collect()
    }

    /// Number of the replicas among the record's voters that have left.
    pub fn left_voters(&self, now: Instant) -> usize {
        let stored = self.stored.borrow();
        let Some(StoredRecord { record, .. }) = stored.as_ref() else {
            return 0;
        };
        let replicas = record.voters.iter().filter(|id| **id != record.upstream);
        replicas
            .filter(|id| self.left_for(id, now).is_some())
            .count()
    }

    /// Number of the replicas among the record's voters that are not listed and have not left.
    pub fn unlisted_voters(&self, now: Instant) -> usize {
        let stored = self.stored.borrow();
        let Some(StoredRecord { record, .. }) = stored.as_ref() else {
            return 0;
        };
        let replicas = record.voters.iter().filter(|id| **id != record.upstream);
        let unlisted = replicas.filter(|id| self.member(id).is_none());
        unlisted
            .filter(|id| self.left_for(id, now).is_none())
            .count()
    }

    /// Returns true if the answer of `member` counts towards a proof of the primary.
    pub fn is_voter(&self, member: &Member) -> bool {
        let stored = self.stored.borrow();
        stored
            .as_ref()
            .is_none_or(|s| s.record.is_voter(&member.upstream.id))
    }

    /// Returns true if the record names voters.
    pub fn names_voters(&self) -> bool {
        let stored = self.stored.borrow();
        stored.as_ref().is_some_and(|s| !s.record.voters.is_empty())
    }

    /// Returns true if the record names voters and all of them are listed, so that none is to be
    /// revised.
    fn has_all_voters(&self) -> bool {
        let (stored, members) = (self.stored.borrow(), self.members.borrow());
        let Some(StoredRecord { record, .. }) = stored.as_ref() else {
            return true;
        };
        let is_listed = |voter: &String| members.contains_key(&**voter);
        record.voters.len() > usize::from(members.len() > 1) && record.voters.iter().all(is_listed)
    }

    /// Returns the record with its voters revised, if any of them has left.
    pub fn revised_record(&self, now: Instant) -> Option<StoredRecord> {
        let stored = self.stored.borrow();
        if self.has_all_voters() {
            return None;
        }
        let StoredRecord { record, revision } = stored.as_ref()?;
        let listed = self.listed();
        let listed: Vec<_> = listed.iter().map(String::as_str).collect();
        let voters =
            record.revised_voters(&listed, now.since(self.list_changed_at.get()), |id| {
                self.left_for(id, now)
            })?;
        let record = Record {
            addresses: self.addresses(&voters),
            voters,
            ..record.clone()
        };
        Some(StoredRecord {
            record,
            revision: *revision,
        })
    }

    /// Returns the number of replicas in the group's record; zero if unknown.
    fn recorded_replicas(&self) -> usize {
        let stored = self.stored.borrow();
        stored.as_ref().map_or(0, |stored| stored.record.replicas)
    }

    /// Returns true if the list has as many members as at any time within `memory`.
    ///
    /// An entry may expire though its upstream is alive, so an incomplete list must not be taken
    /// for all members.
    pub fn is_list_complete(&self, now: Instant, memory: Duration) -> bool {
        let count = self.members.borrow().len();
        let (largest_list, at) = self.largest_list.get();
        if count >= largest_list || at + memory < now {
            self.largest_list.set((count, now));
            return true;
        }
        false
    }
}
