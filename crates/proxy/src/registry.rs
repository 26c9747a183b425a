//! The groups of an instance, and which of them need looking after.
//!
//! An instance knows all groups of the catalogue and serves a few of them. What is done
//! again and again is done for the active ones only; a group becomes active when something
//! happens to it, and stops being so once nothing is left to do.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use clock::Instant;

use crate::{catalog::Catalog, group::Group};

/// How many groups are looked at in one sweep.
const GROUPS_PER_SWEEP: usize = 16;

/// The names of groups that something happened to.
#[derive(Debug, Default)]
pub struct Pending {
    names: RefCell<Vec<Rc<str>>>,
}

impl Pending {
    /// Takes in that something happened to the group of `service`.
    pub(crate) fn push(&self, service: &Rc<str>) {
        self.names.borrow_mut().push(Rc::clone(service));
    }
}

/// The groups of an instance.
#[derive(Debug, Default)]
pub struct Registry {
    groups: RefCell<HashMap<Rc<str>, Rc<Group>>>,
    /// Those that the catalogue names, in order.
    catalogued: RefCell<Rc<[Rc<Group>]>>,
    /// The service that each upstream was listed under last.
    services: RefCell<HashMap<Rc<str>, Rc<str>>>,
    pending: Rc<Pending>,
    active: RefCell<BTreeMap<Rc<str>, Rc<Group>>>,
    /// Where the next sweep begins.
    next_sweep: Cell<usize>,
}

impl Registry {
    /// The group of a service; made if it is new.
    pub(crate) fn group(&self, service: &Rc<str>) -> Rc<Group> {
        let mut groups = self.groups.borrow_mut();
        if let Some(group) = groups.get(service) {
            return Rc::clone(group);
        }
        let group = Rc::new(Group::new(service, &self.pending));
        groups.insert(Rc::clone(service), Rc::clone(&group));
        group
    }

    /// The group of a service, if there is one.
    pub(crate) fn find(&self, service: &str) -> Option<Rc<Group>> {
        self.groups.borrow().get(service).cloned()
    }

    /// Takes in which services a catalogue names.
    pub(crate) fn set_services(&self, catalog: &Catalog) {
        let mut services: Vec<_> = catalog.services.keys().collect();
        services.sort();
        let groups = services.into_iter().map(|service| self.group(service));
        *self.catalogued.borrow_mut() = groups.collect();
    }

    /// All groups that the catalogue names, in order of their names.
    pub(crate) fn catalogued(&self) -> Rc<[Rc<Group>]> {
        Rc::clone(&self.catalogued.borrow())
    }

    /// The active groups, in order of their names.
    pub(crate) fn active(&self) -> Vec<Rc<Group>> {
        let mut active = self.active.borrow_mut();
        for service in self.pending.names.take() {
            if let Some(group) = self.find(&service) {
                active.insert(service, group);
            }
        }
        active.values().cloned().collect()
    }

    /// Lets the groups rest that need nothing, and looks at some of those that rest.
    ///
    /// A group that was wrongly let rest would have its primary replaced by nobody: each is
    /// looked at again and again, a few at a time.
    pub(crate) fn sweep(&self, now: Instant) {
        self.active();
        let mut active = self.active.borrow_mut();
        active.retain(|_, group| !group.deactivate_if_quiet(now));
        drop(active);
        let catalogued = self.catalogued();
        let next = self.next_sweep.get();
        if next >= catalogued.len() {
            self.next_sweep.set(0);
            self.drop_stale_upstreams();
            return;
        }
        catalogued
            .iter()
            .skip(next)
            .take(GROUPS_PER_SWEEP)
            .for_each(|group| group.activate_if_needed(now));
        self.next_sweep.set(next + GROUPS_PER_SWEEP);
    }

    /// Forgets the upstreams that are in no group any more.
    fn drop_stale_upstreams(&self) {
        let is_member = |id: &Rc<str>, service: &Rc<str>| {
            let group = self.find(service);
            group.is_some_and(|group| group.member(id).is_some())
        };
        let mut services = self.services.borrow_mut();
        services.retain(|id, service| is_member(id, service));
    }

    /// Takes in that the upstream `id` is listed under `service`; the group that it was in
    /// before, if that is another one.
    pub(crate) fn assign(&self, id: &Rc<str>, service: &Rc<str>) -> Option<Rc<Group>> {
        let mut services = self.services.borrow_mut();
        let old = services.insert(Rc::clone(id), Rc::clone(service));
        old.filter(|old| old != service)
            .and_then(|old| self.find(&old))
    }

    /// The group that the upstream `id` was listed in last.
    pub(crate) fn group_of_upstream(&self, id: &str) -> Option<Rc<Group>> {
        let service = self.services.borrow().get(id).cloned()?;
        self.find(&service)
    }
}
