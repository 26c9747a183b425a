//! Where a naive router and an oracle would have sent a read.

use std::time::Duration;

use check::Request;
use clock::Instant;
use model::Freshness;

use super::bench::{Bench, Open, PRIMARY};

/// How long the oracle may wait for a replica: as long as the router may.
const STEP: Duration = Duration::from_millis(1);

impl Bench {
    /// Asks both, without sending anything.
    pub(super) fn baselines(&mut self, request: Request) {
        let replicas: Vec<_> = (0..self.servers.len()).filter(|&u| u != PRIMARY).collect();
        let drawn = replicas[self.draw(replicas.len())];
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let naive = u64::from(self.naive(&open, drawn));
        let oracle = u64::from(self.oracle(&open, &replicas));
        let class = self.class(&open);
        class.naive += naive;
        class.oracle += oracle;
        self.open.insert(request, open);
    }

    /// A replica drawn at random, if what it said last shows that it will do;
    /// else the primary. What it says of its own age is believed.
    fn naive(&self, open: &Open, drawn: usize) -> bool {
        let here = &self.instances[open.instance];
        let Some((at, report, age)) = here.heard.get(&drawn) else {
            return false;
        };
        let Some(floor) = here.sessions.get(&open.caller).and_then(|s| s.position()) else {
            return false;
        };
        let shown = route::position(report);
        if !shown.covers(floor) {
            return false;
        }
        match open.read.freshness {
            Freshness::Age(bound) => *age + self.now.since(*at) <= bound,
            Freshness::Session | Freshness::Current => true,
        }
    }

    /// Any replica that will do when the read gets there, or within the time
    /// that the router may wait for one.
    fn oracle(&self, open: &Open, replicas: &[usize]) -> bool {
        let patience = route::Conf::default().max_replica_wait;
        let mut wait = Duration::ZERO;
        while wait <= patience {
            let at = self.now + self.site.intra_zone_latency + wait;
            if replicas.iter().any(|&u| self.will_do(open, u, at)) {
                return true;
            }
            wait += STEP;
        }
        false
    }

    fn will_do(&self, open: &Open, server: usize, at: Instant) -> bool {
        let Some(lag) = &self.servers[server].lag else {
            return false;
        };
        let shown = self.commits_until(lag.shown(at));
        let floor = self.callers[open.caller]
            .token
            .map_or(0, |token| token.lsn.0);
        if shown < floor {
            return false;
        }
        match open.read.freshness {
            Freshness::Age(bound) => self.age(shown, at) <= bound,
            Freshness::Session | Freshness::Current => true,
        }
    }
}
