//! The groups of an instance, and those that need work.
//!
//! An instance knows all groups of the catalogue and uses a few of them. Periodic work is done
//! for the active groups only: a group becomes active on an event and becomes idle again when
//! nothing is left to do.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
};

use clock::Instant;

use crate::{catalog::Catalog, group::Group};

/// Number of groups checked per sweep.
const GROUPS_PER_SWEEP: usize = 16;

/// Names of groups that have had an event since the active groups were last read.
#[derive(Debug, Default)]
pub struct Pending {
    names: RefCell<Vec<Rc<str>>>,
}

impl Pending {
    /// Adds the group of `service`.
    pub(crate) fn push(&self, service: &Rc<str>) {
        self.names.borrow_mut().push(Rc::clone(service));
    }
}

/// The groups of an instance.
#[derive(Debug, Default)]
pub struct Registry {
    groups: RefCell<HashMap<Rc<str>, Rc<Group>>>,
    /// The groups of the catalogue, ordered by name.
    catalogued: RefCell<Rc<[Rc<Group>]>>,
    /// The service under which each upstream was last listed.
    services: RefCell<HashMap<Rc<str>, Rc<str>>>,
    pending: Rc<Pending>,
    active: RefCell<BTreeMap<Rc<str>, Rc<Group>>>,
    /// Index in `catalogued` at which the next sweep begins.
    next_sweep: Cell<usize>,
}

impl Registry {
    /// Returns the group of a service, creating it if necessary.
    pub(crate) fn group(&self, service: &Rc<str>) -> Rc<Group> {
        let mut groups = self.groups.borrow_mut();
        if let Some(group) = groups.get(service) {
            return Rc::clone(group);
        }
        let group = Rc::new(Group::new(service, &self.pending));
        groups.insert(Rc::clone(service), Rc::clone(&group));
        group
    }

    /// Returns the group of a service, if there is one.
    pub(crate) fn find(&self, service: &str) -> Option<Rc<Group>> {
        self.groups.borrow().get(service).cloned()
    }

    /// Sets the services of the catalogue.
    pub(crate) fn set_services(&self, catalog: &Catalog) {
        let mut services: Vec<_> = catalog.services.keys().collect();
        services.sort();
        let groups = services.into_iter().map(|service| self.group(service));
        *self.catalogued.borrow_mut() = groups.collect();
    }

    /// All groups of the catalogue, ordered by name.
    pub(crate) fn catalogued(&self) -> Rc<[Rc<Group>]> {
        Rc::clone(&self.catalogued.borrow())
    }

    /// The active groups, ordered by name.
    pub(crate) fn active(&self) -> Vec<Rc<Group>> {
        let mut active = self.active.borrow_mut();
        for service in self.pending.names.take() {
            if let Some(group) = self.find(&service) {
                active.insert(service, group);
            }
        }
        active.values().cloned().collect()
    }

    /// Deactivates the groups without work, and checks some of the idle groups.
    ///
    /// An active group that was deactivated by mistake would not get a failed primary replaced,
    /// so all idle groups are checked in turn, a few per sweep.
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

    /// Drops upstreams that no longer belong to a group.
    fn drop_stale_upstreams(&self) {
        let is_member = |id: &Rc<str>, service: &Rc<str>| {
            let group = self.find(service);
            group.is_some_and(|group| group.member(id).is_some())
        };
        let mut services = self.services.borrow_mut();
        services.retain(|id, service| is_member(id, service));
    }

    /// Records that the upstream `id` is listed under `service`. Returns its previous group if
    /// that is another one.
    pub(crate) fn assign(&self, id: &Rc<str>, service: &Rc<str>) -> Option<Rc<Group>> {
        let mut services = self.services.borrow_mut();
        let old = services.insert(Rc::clone(id), Rc::clone(service));
        old.filter(|old| old != service)
            .and_then(|old| self.find(&old))
    }

    /// Returns the group under which the upstream `id` was last listed.
    pub(crate) fn group_of_upstream(&self, id: &str) -> Option<Rc<Group>> {
        let service = self.services.borrow().get(id).cloned()?;
        self.find(&service)
    }
}
