//! An entry instance: its machine, and callers that write through it.

use std::collections::BTreeMap;

use clock::Instant;
use failover::{CANDIDATES, Conf, Group, Member, Primary, Quorum, Status};
use model::{Position, Report, name};

use super::{Happening, Host, Setup, World, id, upstream, zone};

pub(crate) struct Proxy {
    pub(crate) group: Option<Group>,
    pub(crate) wake: Option<Instant>,
    /// Counts restarts, so that nothing from a former life is taken.
    pub(crate) life: u32,
    pub(crate) dying: Option<u32>,
    pub(crate) doomed: bool,
    primary: Option<Primary>,
    quorum: Option<Quorum>,
    issued: BTreeMap<u64, (Instant, Position)>,
    /// When each acknowledged write was issued and acknowledged.
    pub(crate) acked: Vec<(Instant, Instant)>,
}

pub(crate) fn instance(i: usize) -> name::Instance {
    name::Instance::new(&format!("i{i}")).unwrap()
}

pub(crate) fn number(name: &name::Instance) -> usize {
    name.as_str()[1..].parse().unwrap()
}

pub(crate) fn members(setup: &Setup, leaving: Option<usize>) -> BTreeMap<name::Upstream, Member> {
    let member = |u| {
        let status = match leaving == Some(u) {
            true => Status::Leaving,
            false => Status::Active,
        };
        let zone = zone(u);
        (upstream(u), Member { zone, status })
    };
    (0..setup.upstreams).map(member).collect()
}

impl Proxy {
    pub(crate) fn open(setup: &Setup, i: usize, seed: u64, now: Instant) -> Self {
        let conf = Conf {
            database: name::Database::new("holdings").unwrap(),
            instance: instance(i),
            zone: zone(i % setup.zones),
            upstreams: members(setup, None),
            candidates: CANDIDATES,
            seed,
            timing: setup.timing.clone(),
        };
        Self {
            group: Some(Group::open(conf, now).unwrap()),
            wake: None,
            life: 0,
            dying: None,
            doomed: false,
            primary: None,
            quorum: None,
            issued: BTreeMap::new(),
            acked: Vec::new(),
        }
    }
}

impl World {
    /// Lets the instance's write quorum know who leads.
    pub(crate) fn primary(&mut self, i: usize) {
        let size = self.setup.majority_of;
        let proxy = &mut self.proxies[i];
        let primary = proxy.group.as_ref().and_then(Group::primary);
        if primary == proxy.primary.as_ref() {
            return;
        }
        proxy.primary = primary.cloned();
        let Some(primary) = &proxy.primary else {
            return;
        };
        proxy.issued.clear();
        match &mut proxy.quorum {
            Some(quorum) => drop(quorum.replace_primary(primary.term, primary.upstream.clone())),
            quorum => *quorum = Some(Quorum::open(size, primary.term, primary.upstream.clone())),
        }
    }

    pub(crate) fn caller(&mut self, i: usize, life: u32) {
        if self.proxies[i].life != life {
            return;
        }
        if std::mem::take(&mut self.proxies[i].doomed) {
            self.proxies[i].group = None;
        }
        if self.proxies[i].group.is_none() {
            return;
        }
        let every = self.setup.write_every;
        self.after(every, Happening::Caller(i, life));
        let now = self.now;
        if self.proxies[i]
            .quorum
            .as_ref()
            .is_some_and(|q| q.waiting() > 0)
        {
            for u in 0..self.servers.len() {
                self.send(Host::Proxy(i), Host::Server(u), Happening::Poll(i, u, now));
            }
        }
        let Some(primary) = self.proxies[i].primary.clone() else {
            return;
        };
        let write = self.number();
        let u = super::upstream::number(&primary.upstream);
        self.proxies[i]
            .issued
            .insert(write, (now, Position::default()));
        let happening = Happening::Write(i, u, write, primary.term);
        self.send(Host::Proxy(i), Host::Server(u), happening);
    }

    pub(crate) fn written(
        &mut self,
        i: usize,
        u: usize,
        write: u64,
        asked: Instant,
        result: Option<(Position, Report)>,
    ) {
        let proxy = &mut self.proxies[i];
        let (Some((position, report)), Some(quorum)) = (result, proxy.quorum.as_mut()) else {
            proxy.issued.remove(&write);
            return;
        };
        let Some(issued) = proxy.issued.get_mut(&write) else {
            return;
        };
        issued.1 = position;
        let mut done = Vec::new();
        if let Ok(Some(landed)) = quorum.add_write(id(write), position) {
            done.push(landed);
        }
        done.extend(quorum.report(&upstream(u), asked, &report));
        self.acknowledge(i, done);
    }

    pub(crate) fn polled(&mut self, i: usize, u: usize, asked: Instant, report: &Report) {
        let Some(quorum) = &mut self.proxies[i].quorum else {
            return;
        };
        let mut report = *report;
        if self.setup.blind {
            report.fenced = report.fenced.min(quorum.term());
        }
        let done = quorum.report(&upstream(u), asked, &report);
        self.acknowledge(i, done);
    }

    fn acknowledge(&mut self, i: usize, done: Vec<failover::quorum::Id>) {
        for done in done {
            let Some((at, position)) = self.proxies[i].issued.remove(&done.0) else {
                continue;
            };
            self.proxies[i].acked.push((at, self.now));
            self.check.acknowledged(&self.servers, done.0, position);
        }
    }
}
