//! Which other availability zones can't be reached.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use super::{
    peer::Peer,
    table::{LOST_HEARTBEATS, Peers},
};

/// How many others of the own zone must hear nobody of another one: who alone hears nobody
/// is cut off itself.
const MIN_WITNESSES: usize = 2;

/// How long nobody of another zone may be heard until this zone counts as cut off.
const ZONE_SILENCE: Duration = Duration::from_millis(500);

impl Peers {
    /// The other zones of which this instance hears nobody any more, of those whose
    /// instances it would hear promptly.
    pub(super) fn silent_zones(&self) -> Vec<String> {
        let table = self.table.borrow();
        let heard = self.heard_zones(&table);
        let silent = heard.into_iter().filter(|(_, heard)| !heard);
        silent.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// The other zones whose instances this one would hear promptly, and whether it hears
    /// any of them.
    fn heard_zones<'a>(&self, table: &'a HashMap<String, Peer>) -> HashMap<&'a str, bool> {
        let now = self.unstalled_now();
        let mut zones = HashMap::new();
        for peer in table.values() {
            if peer.zone.is_empty() || peer.zone == self.zone || !peer.is_prompt() {
                continue;
            }
            let heard = peer.heard.is_some_and(|at| at + ZONE_SILENCE > now);
            *zones.entry(&*peer.zone).or_default() |= heard;
        }
        zones
    }

    /// The other zones that can't be reached: by own hearing or, where nobody there tells
    /// this instance promptly, by that of others in its own zone.
    ///
    /// Whoever waits instead for the rare beats of those behind a cut goes on handing
    /// sessions to them for ten seconds: of a zone's requests seven tenths were lost for
    /// as long as it was cut off.
    pub(super) fn unreached_zones<'a>(&self, table: &'a HashMap<String, Peer>) -> HashSet<&'a str> {
        let now = self.unstalled_now();
        let own = self.heard_zones(table);
        let near = table.values().filter(|p| p.zone == self.zone);
        let near = near.filter(|p| p.is_prompt() && p.was_heard(now, LOST_HEARTBEATS));
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

    /// Whether other zones are known, and none of them can be reached any more.
    pub(super) fn is_isolated(&self) -> bool {
        let table = self.table.borrow();
        let unreached = self.unreached_zones(&table);
        let mut far = table.values().filter(|p| p.zone != self.zone);
        let mut far = far.by_ref().filter(|p| !p.zone.is_empty()).peekable();
        far.peek().is_some() && far.all(|p| unreached.contains(&*p.zone))
    }
}
