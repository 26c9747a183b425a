//! An instance with its state machine, and callers that write through it.

use std::collections::BTreeMap;

use clock::Instant;
use failover::{CANDIDATES, Conf, Group, Member, Primary, Quorum, Status};
use model::{Position, Report, name};

use super::{Host, Setup, Task, World, id, upstream_name, zone_name};

pub(crate) struct Instance {
    pub(crate) group: Option<Group>,
    pub(crate) wake: Option<Instant>,
    /// Number of restarts; tasks of an earlier incarnation are ignored.
    pub(crate) incarnation: u32,
    pub(crate) dies_after_step: Option<u32>,
    pub(crate) dies_on_next_write: bool,
    primary: Option<Primary>,
    quorum: Option<Quorum>,
    issued: BTreeMap<u64, (Instant, Position)>,
    /// Times at which each acknowledged write was issued and acknowledged.
    pub(crate) acked: Vec<(Instant, Instant)>,
}

pub(crate) fn instance_name(i: usize) -> name::Instance {
    name::Instance::new(&format!("i{i}")).unwrap()
}

pub(crate) fn index(name: &name::Instance) -> usize {
    name.as_str()[1..].parse().unwrap()
}

pub(crate) fn members(setup: &Setup, leaving: Option<usize>) -> BTreeMap<name::Upstream, Member> {
    let member = |u| {
        let status = match leaving == Some(u) {
            true => Status::Leaving,
            false => Status::Active,
        };
        let zone = zone_name(u);
        (upstream_name(u), Member { zone, status })
    };
    (0..setup.upstreams).map(member).collect()
}

impl Instance {
    pub(crate) fn open(setup: &Setup, i: usize, seed: u64, now: Instant) -> Self {
        let conf = Conf {
            database: name::Database::new("holdings").unwrap(),
            instance: instance_name(i),
            zone: zone_name(i % setup.zones),
            upstreams: members(setup, None),
            candidates: CANDIDATES,
            seed,
            timing: setup.timing.clone(),
        };
        Self {
            group: Some(Group::open(conf, now).unwrap()),
            wake: None,
            incarnation: 0,
            dies_after_step: None,
            dies_on_next_write: false,
            primary: None,
            quorum: None,
            issued: BTreeMap::new(),
            acked: Vec::new(),
        }
    }
}

impl World {
    /// Passes a change of primary to the instance's write quorum.
    pub(crate) fn update_quorum(&mut self, i: usize) {
        let size = self.setup.quorum_size;
        let instance = &mut self.instances[i];
        let primary = instance.group.as_ref().and_then(Group::primary);
        if primary == instance.primary.as_ref() {
            return;
        }
        instance.primary = primary.cloned();
        let Some(primary) = &instance.primary else {
            return;
        };
        instance.issued.clear();
        match &mut instance.quorum {
            Some(quorum) => drop(quorum.replace_primary(primary.term, primary.upstream.clone())),
            quorum => *quorum = Some(Quorum::open(size, primary.term, primary.upstream.clone())),
        }
    }

    pub(crate) fn issue_write(&mut self, i: usize, incarnation: u32) {
        if self.instances[i].incarnation != incarnation {
            return;
        }
        if std::mem::take(&mut self.instances[i].dies_on_next_write) {
            self.instances[i].group = None;
        }
        if self.instances[i].group.is_none() {
            return;
        }
        let every = self.setup.write_interval;
        self.schedule(every, Task::IssueWrite(i, incarnation));
        let now = self.now;
        if self.instances[i]
            .quorum
            .as_ref()
            .is_some_and(|q| q.waiting() > 0)
        {
            for u in 0..self.servers.len() {
                self.send(Host::Instance(i), Host::Server(u), Task::Poll(i, u, now));
            }
        }
        let Some(primary) = self.instances[i].primary.clone() else {
            return;
        };
        let write = self.next_write();
        let u = super::upstream::index(&primary.upstream);
        self.instances[i]
            .issued
            .insert(write, (now, Position::default()));
        let task = Task::Write(i, u, write, primary.term);
        self.send(Host::Instance(i), Host::Server(u), task);
    }

    pub(crate) fn written(
        &mut self,
        i: usize,
        u: usize,
        write: u64,
        asked: Instant,
        result: Option<(Position, Report)>,
    ) {
        let instance = &mut self.instances[i];
        let (Some((position, report)), Some(quorum)) = (result, instance.quorum.as_mut()) else {
            instance.issued.remove(&write);
            return;
        };
        let Some(issued) = instance.issued.get_mut(&write) else {
            return;
        };
        issued.1 = position;
        let mut done = Vec::new();
        if let Ok(Some(first_ack)) = quorum.add_write(id(write), position) {
            done.push(first_ack);
        }
        done.extend(quorum.report(&upstream_name(u), asked, &report));
        self.acknowledge(i, done);
    }

    pub(crate) fn polled(&mut self, i: usize, u: usize, asked: Instant, report: &Report) {
        let Some(quorum) = &mut self.instances[i].quorum else {
            return;
        };
        let mut report = *report;
        if self.setup.ignores_fences {
            report.fenced = report.fenced.min(quorum.term());
        }
        let done = quorum.report(&upstream_name(u), asked, &report);
        self.acknowledge(i, done);
    }

    fn acknowledge(&mut self, i: usize, done: Vec<failover::quorum::Id>) {
        for id in done {
            let Some((at, position)) = self.instances[i].issued.remove(&id.0) else {
                continue;
            };
            self.instances[i].acked.push((at, self.now));
            self.check.acknowledged(&self.servers, id.0, position);
        }
    }
}
