//! Which instances hold the connections to a service, and which ones judge its primary.

use std::{net::SocketAddr, rc::Rc};

use admit::holders::{self, Candidate};
use clock::Boot;

use super::Node;
use crate::{edge::Edge, group::Group, peers::heartbeat::UpstreamKey};

/// Number of instances that check a primary which one of them sees fail, besides those that use it.
const JUDGE_COUNT: usize = 9;

impl<E: Edge> Node<E> {
    /// Returns the addresses of the instances that serve sessions on `service`, if this one has to
    /// forward sessions.
    pub fn holders(&self, service: &Rc<str>) -> Vec<SocketAddr> {
        let Some(count) = self.max_holders(service) else {
            return Vec::new();
        };
        let upstreams = match self.features.get().load_reports {
            true => self.upstream_keys(service),
            false => Vec::new(),
        };
        let own = self.candidate();
        self.peers.holders(service, count, own, &upstreams)
    }

    fn upstream_keys(&self, service: &Rc<str>) -> Vec<UpstreamKey> {
        let members = self.group_of(service).members();
        members.iter().map(|member| member.load.key()).collect()
    }

    /// Returns the addresses of the instances that serve sessions of `account` on `service`, the
    /// preferred one first, if this one has to forward sessions.
    pub fn account_holders(&self, service: &Rc<str>, account: &str) -> Vec<SocketAddr> {
        let holders = self.holder_names(service);
        let own = &self.settings.name;
        self.peers.account_holders(service, account, &holders, own)
    }

    /// Returns the names of the instances that hold the connections to `service`, in order of
    /// preference.
    pub fn holder_names(&self, service: &Rc<str>) -> Vec<String> {
        let count = self.max_holders(service).unwrap_or(0);
        self.peers.holder_names(service, count, self.candidate())
    }

    /// Returns true if this instance has to check the group's primary when another one sees it
    /// fail: it uses the group, holds its connections, may replace primaries, or is one of a few
    /// more instances.
    pub fn is_judge(&self, group: &Group) -> bool {
        let own = &self.settings.name;
        let is_named = || {
            let duty = format!("judge {}", group.service);
            let judges = self
                .peers
                .holder_names(&duty, JUDGE_COUNT, self.candidate());
            judges.contains(own) || self.holder_names(&group.service).contains(own)
        };
        self.holds_takeover_lock.get() || group.is_proof_wanted(Boot.now()) || is_named()
    }

    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            name: &self.settings.name,
            zone: &self.settings.zone,
            weight: self.settings.weight,
            able: true,
        }
    }

    /// Returns the number of instances that hold the connections to `service`.
    pub fn holder_count(&self, service: &Rc<str>) -> usize {
        let instances = self.peers.count();
        let most = self.max_holders(service);
        most.map_or(instances, |most| most.min(instances))
    }

    /// Returns the number of instances that hold them if that many exist; `None` if no catalogue
    /// has the service.
    fn max_holders(&self, service: &Rc<str>) -> Option<usize> {
        let connections = self.catalog().services.get(service)?.connections;
        let slots = self.group_of(service).slots();
        Some(holders::count(connections, slots))
    }
}
