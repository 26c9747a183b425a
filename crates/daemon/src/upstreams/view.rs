//! The operators' view of the databases and their upstreams.

use std::{rc::Rc, time::Duration};

use clock::Instant;
use failover::Fault;
use model::{Position, name};
use view::{Breaker, Doubt, Link, Pool, Upstream};

use super::{
    Core,
    connections::Connections,
    control::Status,
    group::{Group, Member},
};
use crate::introspect::{self, Requests, millis};

/// Replication lag above which an upstream is reported. Usual catalogues allow
/// reads a staleness of two seconds, so a replica with more lag serves none of
/// them.
const MAX_LAG: Duration = Duration::from_secs(2);

/// Age above which a status report no longer shows that the upstream answers.
const MAX_STATUS_AGE: Duration = Duration::from_secs(5);

/// Duration of an upstream's failures after which they are reported.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Time without a confirmed primary after which it is reported.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(2);

/// The times of an upstream's probes and answers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ProbeHistory {
    /// End of the first probe.
    first: Option<Instant>,
    /// End of the last probe.
    asked: Option<Instant>,
    /// Time of the last answer.
    answered: Option<Instant>,
    /// Time of the first failure since the last answer.
    failing: Option<Instant>,
}

impl ProbeHistory {
    /// Records the result of a probe. A refused order and a reached connection
    /// limit are answers as well.
    pub(super) fn note(&mut self, now: Instant, status: &Status) {
        self.first.get_or_insert(now);
        self.asked = Some(now);
        match status {
            Ok(_) | Err(Fault::Fenced(_) | Fault::Full) => {
                self.answered = Some(now);
                self.failing = None;
            }
            Err(Fault::Refused | Fault::Timeout | Fault::Broken) => {
                self.failing.get_or_insert(now);
            }
        }
    }
}

/// Answers operators' requests until the daemon stops.
pub(super) async fn serve(core: Rc<Core>, mut asked: Requests<introspect::Groups>) {
    while let Some(answer) = asked.recv().await {
        let _ = answer.send(groups(&core));
    }
}

fn groups(core: &Core) -> introspect::Groups {
    let now = core.now();
    let groups = core.groups.borrow();
    let running = core.running.borrow();
    let queued = running.iter().filter(|(_, it)| !it.sent.get());
    introspect::Groups {
        groups: groups.values().map(|it| it.view(now)).collect(),
        queued: queued.map(|(caller, _)| *caller).collect(),
    }
}

impl Group {
    fn view(&self, now: Instant) -> introspect::Group {
        let members = self.members.borrow();
        let mut doubts = Vec::new();
        let mut upstreams = Vec::new();
        for (name, member) in members.iter() {
            let upstream = self.upstream(now, name, member);
            doubts.extend(self.member_doubts(now, &upstream));
            upstreams.push(upstream);
        }
        let confirmed = self.router.borrow().confirmed().map(|it| it.since);
        doubts.extend(self.unconfirmed(now, confirmed));
        introspect::Group {
            database: self.name.clone(),
            confirmed_ms_ago: confirmed.map(|at| millis(now.since(at))),
            upstreams,
            doubts,
        }
    }

    fn upstream(&self, now: Instant, name: &name::Upstream, member: &Member) -> Upstream {
        let router = self.router.borrow();
        let answer = router.answer(name);
        let report = answer.map(|it| it.report);
        let position = |report: model::Report| Position {
            term: report.received.term,
            lsn: report.replayed,
        };
        let probe_history = self.probe_history(name);
        let answered = answer.map(|it| it.sent).max(probe_history.answered);
        let link = match probe_history.failing {
            Some(_) => Link::Down,
            None if answered.is_some_and(|at| now.since(at) <= MAX_STATUS_AGE) => Link::Up,
            None => Link::Unsure,
        };
        Upstream {
            database: self.name.clone(),
            upstream: name.clone(),
            zone: member.conf.zone.clone(),
            address: member.conf.address,
            link,
            role: report.map(|it| it.role),
            received: report.map(|it| it.received),
            position: report.map(position),
            lag_ms: router.lag(name).map(millis),
            leaving: member.conf.leaving,
            pool: member.is_holder().then(|| member.connections.view(now)),
        }
    }

    fn probe_history(&self, name: &name::Upstream) -> ProbeHistory {
        self.probe_histories
            .borrow()
            .get(name)
            .copied()
            .unwrap_or_default()
    }

    fn member_doubts(&self, now: Instant, upstream: &Upstream) -> Vec<Doubt> {
        let mut doubts = Vec::new();
        let database = || self.name.clone();
        let name = || upstream.upstream.clone();
        let failing = self
            .probe_history(&upstream.upstream)
            .failing
            .map(|at| now.since(at));
        if let Some(span) = failing.filter(|span| *span >= SILENT_AFTER) {
            doubts.push(Doubt::UpstreamSilent {
                database: database(),
                upstream: name(),
                since_ms: millis(span),
            });
        }
        let lag_ms = upstream.lag_ms.filter(|lag| *lag > millis(MAX_LAG));
        if let Some(lag_ms) = lag_ms {
            doubts.push(Doubt::UpstreamBehind {
                database: database(),
                upstream: name(),
                lag_ms,
            });
        }
        let breaker = upstream.pool.and_then(|it| it.breaker);
        if matches!(breaker, Some(Breaker::Open { .. })) {
            doubts.push(Doubt::BreakerOpen {
                database: database(),
                upstream: name(),
            });
        }
        doubts
    }

    /// Returns a doubt if no majority confirms a primary although most
    /// upstreams were probed recently. An instance that probes no upstream
    /// can't tell.
    fn unconfirmed(&self, now: Instant, confirmed: Option<Instant>) -> Option<Doubt> {
        let members = self.members.borrow();
        let probe_histories = self.probe_histories.borrow();
        let recent =
            |it: &&ProbeHistory| it.asked.is_some_and(|at| now.since(at) <= MAX_STATUS_AGE);
        let asked = probe_histories.values().filter(recent).count();
        let first = || probe_histories.values().filter_map(|it| it.first).min();
        let since = confirmed.or_else(first)?;
        let span = now.since(since);
        let doubted = asked > members.len() / 2 && span >= UNCONFIRMED_AFTER;
        doubted.then(|| Doubt::Unconfirmed {
            database: self.name.clone(),
            since_ms: millis(span),
        })
    }
}

impl Connections {
    fn view(&self, now: Instant) -> Pool {
        let pool = self.pool.borrow();
        let count = |it: usize| u32::try_from(it).unwrap_or(u32::MAX);
        let breaker = match pool.breaker().retry_at() {
            Some(at) => Breaker::Open {
                retry_ms: millis(at.since(now)),
            },
            None => Breaker::Closed,
        };
        Pool {
            open: count(pool.connections()),
            busy: count(pool.busy()),
            limit: pool.limit().into(),
            waiting: count(pool.waiting()),
            breaker: Some(breaker),
        }
    }
}
