//! Baselines for a read: a naive router and an oracle.

use std::time::Duration;

use check::Request;
use clock::Instant;
use model::Freshness;

use super::bench::{PRIMARY, Pending, Simulation};

/// Step in which the oracle tries later times, up to the router's maximum wait.
const ORACLE_STEP: Duration = Duration::from_millis(1);

impl Simulation {
    /// Counts where both baselines would send a read; nothing is sent.
    pub(super) fn count_baselines(&mut self, request: Request) {
        let replicas: Vec<_> = (0..self.servers.len()).filter(|&u| u != PRIMARY).collect();
        let replica = replicas[self.draw(replicas.len())];
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let naive = u64::from(self.naive(&pending, replica));
        let oracle = u64::from(self.oracle(&pending, &replicas));
        let class = self.class(&pending);
        class.naive += naive;
        class.oracle += oracle;
        self.pending.insert(request, pending);
    }

    /// Returns true if the last report of `replica`, chosen at random,
    /// satisfies the read; the naive router uses the primary otherwise. The age
    /// that the replica reports is trusted.
    fn naive(&self, pending: &Pending, replica: usize) -> bool {
        let node = &self.instances[pending.instance];
        let Some((at, report, age)) = node.reports.get(&replica) else {
            return false;
        };
        let Some(floor) = node
            .sessions
            .get(&pending.caller)
            .and_then(|s| s.position())
        else {
            return false;
        };
        let shown = route::position(report);
        if !shown.covers(floor) {
            return false;
        }
        match pending.read.freshness {
            Freshness::Age(bound) => *age + self.now.since(*at) <= bound,
            Freshness::Session | Freshness::Current => true,
        }
    }

    /// Returns true if any replica satisfies the read on arrival or within the
    /// time that the router may wait for a replica.
    fn oracle(&self, pending: &Pending, replicas: &[usize]) -> bool {
        let max_wait = route::Conf::default().max_replica_wait;
        let mut wait = Duration::ZERO;
        while wait <= max_wait {
            let at = self.now + self.site.intra_zone_latency + wait;
            if replicas.iter().any(|&u| self.can_serve(pending, u, at)) {
                return true;
            }
            wait += ORACLE_STEP;
        }
        false
    }

    fn can_serve(&self, pending: &Pending, server: usize, at: Instant) -> bool {
        let Some(lag) = &self.servers[server].lag else {
            return false;
        };
        let shown = self.commits_until(lag.shown(at));
        let floor = self.callers[pending.caller]
            .token
            .map_or(0, |token| token.lsn.0);
        if shown < floor {
            return false;
        }
        match pending.read.freshness {
            Freshness::Age(bound) => self.age(shown, at) <= bound,
            Freshness::Session | Freshness::Current => true,
        }
    }
}
