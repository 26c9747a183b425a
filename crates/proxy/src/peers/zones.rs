//! Detects other availability zones that can't be reached.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use super::{
    peer::Peer,
    table::{LOST_HEARTBEATS, Peers},
};

/// Number of peers in this zone that must have lost a zone. A single one may be cut off itself.
const MIN_WITNESSES: usize = 2;

/// Time without a heartbeat from another zone after which that zone counts as cut off.
const ZONE_SILENCE: Duration = Duration::from_millis(500);

impl Peers {
    /// The zones that this instance no longer hears, among the zones that send it frequent
    /// heartbeats.
    pub(super) fn silent_zones(&self) -> Vec<String> {
        let table = self.table.borrow();
        let heard = self.heard_zones(&table);
        let silent = heard.into_iter().filter(|(_, heard)| !heard);
        silent.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// The other zones that send frequent heartbeats to this instance, and whether any of their
    /// instances is heard.
    fn heard_zones<'a>(&self, table: &'a HashMap<String, Peer>) -> HashMap<&'a str, bool> {
        let now = self.unstalled_now();
        let mut zones = HashMap::new();
        for peer in table.values() {
            if peer.zone.is_empty() || peer.zone == self.zone || !peer.is_frequent() {
                continue;
            }
            let heard = peer.heard.is_some_and(|at| at + ZONE_SILENCE > now);
            *zones.entry(&*peer.zone).or_default() |= heard;
        }
        zones
    }

    /// The other zones that can't be reached. The instance's own observation decides or, for a
    /// zone that sends it no frequent heartbeats, the observation of peers in its own zone.
    ///
    /// Waiting for missing infrequent heartbeats instead would let sessions be forwarded into a
    /// lost zone for ten seconds: while a zone was cut off, seven tenths of its requests were
    /// lost.
    pub(super) fn unreached_zones<'a>(&self, table: &'a HashMap<String, Peer>) -> HashSet<&'a str> {
        let now = self.unstalled_now();
        let own = self.heard_zones(table);
        let near = table.values().filter(|p| p.zone == self.zone);
        let near = near.filter(|p| p.is_frequent() && p.was_heard(now, LOST_HEARTBEATS));
        let (mut witnesses, mut reported) = (0, HashMap::new());
        for peer in near {
            witnesses += 1;
            for zone in &peer.unreachable_zones {
                *reported.entry(zone.as_str()).or_insert(0) += 1;
            }
        }
        let enough = MIN_WITNESSES.min(witnesses);
        let reported = reported.into_iter().filter(|(_, count)| *count >= enough);
        let reported = reported
            .map(|(zone, _)| zone)
            .filter(|zone| !own.contains_key(zone));
        let silent = own.iter().filter(|(_, heard)| !**heard);
        silent.map(|(zone, _)| *zone).chain(reported).collect()
    }

    /// Returns true if other zones are known and none of them can be reached.
    pub(super) fn is_isolated(&self) -> bool {
        let table = self.table.borrow();
        let unreached = self.unreached_zones(&table);
        let mut far = table.values().filter(|p| p.zone != self.zone);
        let mut far = far.by_ref().filter(|p| !p.zone.is_empty()).peekable();
        far.peek().is_some() && far.all(|p| unreached.contains(&*p.zone))
    }
}
