//! What one instance knows, shared by all of its tasks.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use admit::holders::{self, Candidate};
use bytes::Bytes;
use clock::{Boot, Instant};
use lead::freshness::Watermark;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    account::Quota,
    catalog::{Catalog, Route, Upstream},
    counted::Counted,
    edge::{Edge, Item, Store},
    freshness,
    group::Group,
    member::Member,
    metrics::{Metrics, Wait},
    mirror::{self, Mirror},
    peers::{Peers, frame::Compressed, heartbeat::StoreContact},
    proof_lease::{self, Lease},
    proofs::Proofs,
    registry::Registry,
    relay,
    settings::Settings,
    shares::{self, Shares},
    work::{Kind, Work},
};
/// How long the store may be silent until it counts as having been away.
const STORE_GAP: Duration = Duration::from_millis(1_200);

/// How long behind an answer of the store an instance counts as hearing it: a relay asks
/// it at least every half second.
const STORE_REACHABLE_TTL: Duration = Duration::from_millis(1_500);

/// How long an instance that asked the store in vain is passed over as a relay.
const STORE_UNREACHABLE_TTL: Duration = Duration::from_secs(10);

/// How many instances look at a primary that one sees fail, beside those that use it.
const JUDGE_COUNT: usize = 9;

/// How often it is looked whether a catalogue is in force.
const CATALOG_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How long before its time is over an upstream that leaves is sent its last work.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_500);

/// How long behind its first reading of the list an instance may not have heard the
/// others: they answer its first beat at once, and their processors may be busy.
const PEER_WAIT: Duration = Duration::from_millis(200);

/// How long nothing may be proved until an instance counts as unable to serve.
const LAPSE_TOLERANCE: Duration = Duration::from_millis(150);

/// How far an instance is with its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It was told to stop at this moment.
    Stopping(Instant),
}

/// Whether an instance serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceState {
    /// It has proved a primary lately, and reaches it.
    Able,
    /// Nobody asked it lately, because other instances serve its sessions: it has no
    /// proof, and no reason to doubt.
    Idle,
    /// It was asked, and can prove none.
    Unable,
}

/// What one instance knows, shared by all of its tasks.
#[derive(Debug)]
pub struct Node<E: Edge> {
    /// What is outside of the process.
    pub edge: E,
    /// What it was told at its start.
    pub settings: Settings,
    /// A number of this life of the process.
    pub incarnation: u64,
    catalog: RefCell<Rc<Catalog>>,
    registry: Registry,
    /// Other instances.
    pub peers: Peers,
    /// How far it is with its life.
    pub stage: Cell<Stage>,
    /// Told when the stage changes.
    pub stage_changed: Notify,
    /// Told when somebody needs a proof now.
    pub proof_wanted: Notify,
    /// The era that all instances prove, zero if it is not known.
    pub proof_lease: Cell<u64>,
    /// Its lease.
    pub(crate) lease: Cell<Lease>,
    /// When the records were last read.
    pub records_read_at: Cell<Instant>,
    /// How many questions for a proof are on their way to the store.
    pub proofs_in_flight: Cell<usize>,
    /// Which era was proved last, and from when on that proof counts.
    pub(crate) proved_lease: Cell<(u64, Instant)>,
    /// When the era was last renewed by this instance.
    pub lease_renewed_at: Cell<Instant>,
    /// Whether another instance is asked for a proof.
    pub is_asking_relay: Cell<bool>,
    /// Told when the catalogue or the upstreams may have changed.
    pub refresh: Notify,
    /// Whether the list of upstreams was read.
    pub is_upstream_list_read: Cell<bool>,
    pub(crate) started_at: Instant,
    /// When the list of instances was read first.
    pub instances_listed_at: Cell<Option<Instant>>,
    able_at: Cell<Instant>,
    /// The right to give orders as it was last seen, and since when.
    pub duty: Cell<(u64, Instant)>,
    /// The era of the store, and when this instance met it.
    store_era: Cell<(u64, Instant)>,
    /// Whether this instance has that right.
    pub(crate) has_right: Cell<bool>,
    /// Who had that right before this instance took it last.
    pub(crate) previous_holders: RefCell<Vec<String>>,
    /// When this instance gave its last order.
    pub(crate) last_order_at: Cell<Option<Instant>>,
    /// When the last question was sent that the store answered.
    pub store_contact_at: Cell<Instant>,
    /// When the store last answered, this instance or a relay for it.
    pub store_heard_at: Cell<Instant>,
    /// When the store last answered this instance.
    pub store_answered_at: Cell<Instant>,
    /// When the store last did not answer this instance.
    store_failed_at: Cell<Instant>,
    /// How many renewals in a row it did not answer.
    pub(crate) renewal_failures: Cell<u32>,
    /// Which relay did not answer, and when.
    pub(crate) silent_relay: Cell<Option<(SocketAddr, Instant)>>,
    /// What is known of the store.
    pub mirror: RefCell<Mirror>,
    /// Told when something was learnt of the store.
    pub store_changed: Notify,
    packed: RefCell<Option<Compressed>>,
    /// What those are told who know nothing, and of which state of the mirror and the
    /// catalogue.
    pub(crate) full_batch: RefCell<Option<((mirror::Version, u64), Bytes)>>,
    /// Questions for proofs.
    pub proofs: Proofs,
    /// How surely it is known what may be asked for.
    pub freshness: freshness::Tracker,
    /// What each account may ask for here.
    pub shares: Shares,
    /// When the store's watch was answered last.
    pub watch_answered_at: Cell<Instant>,
    /// Told when it answers again.
    pub(crate) store_returned: Notify,
    /// Since when it has answered again and again.
    pub store_up_since: Cell<Instant>,
    /// What was counted.
    pub metrics: Metrics,
    /// What its duties cost.
    pub work: Work,
    /// How many sessions are open.
    pub sessions: Cell<usize>,
    /// How many callers' connections broke since it was told.
    pub(crate) lost_callers: Cell<usize>,
}

impl<E: Edge> Node<E> {
    /// A node that knows nothing yet.
    pub fn new(edge: E, settings: Settings) -> Self {
        Self {
            edge,
            peers: Peers::new(&settings),
            settings,
            incarnation: rand::random(),
            catalog: RefCell::default(),
            registry: Registry::default(),
            stage: Cell::new(Stage::Serving),
            stage_changed: Notify::new(),
            proof_wanted: Notify::new(),
            proof_lease: Cell::default(),
            lease: Cell::default(),
            records_read_at: Cell::default(),
            proofs_in_flight: Cell::default(),
            proved_lease: Cell::default(),
            lease_renewed_at: Cell::default(),
            is_asking_relay: Cell::default(),
            refresh: Notify::new(),
            is_upstream_list_read: Cell::new(false),
            started_at: Boot.now(),
            instances_listed_at: Cell::default(),
            able_at: Cell::new(Boot.now()),
            duty: Cell::default(),
            store_era: Cell::default(),
            has_right: Cell::new(false),
            previous_holders: RefCell::default(),
            last_order_at: Cell::default(),
            store_contact_at: Cell::default(),
            store_heard_at: Cell::default(),
            store_answered_at: Cell::default(),
            store_failed_at: Cell::default(),
            renewal_failures: Cell::default(),
            silent_relay: Cell::default(),
            mirror: RefCell::default(),
            store_changed: Notify::new(),
            packed: RefCell::default(),
            full_batch: RefCell::default(),
            proofs: Proofs::default(),
            freshness: freshness::Tracker::default(),
            shares: Shares::default(),
            watch_answered_at: Cell::default(),
            store_returned: Notify::new(),
            store_up_since: Cell::default(),
            metrics: Metrics::default(),
            work: Work::default(),
            sessions: Cell::new(0),
            lost_callers: Cell::new(0),
        }
    }

    /// Since when the store has been in the era that it is in, as far as is known here.
    pub(crate) fn era_since(&self) -> Instant {
        let era = self.edge.store().era();
        if self.store_era.get().0 != era {
            self.store_era.set((era, Boot.now()));
        }
        self.store_era.get().1
    }

    /// The platform's store, its calls counted.
    pub fn store(&self) -> Counted<'_, E::Store> {
        Counted::new(self.edge.store(), &self.metrics)
    }

    /// The catalogue in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        Rc::clone(&self.catalog.borrow())
    }

    /// Puts a catalogue in force, unless one of the same or a higher version is.
    pub fn apply(&self, catalog: Catalog) {
        let old = self.catalog();
        if catalog.version <= old.version {
            return;
        }
        log::info!(
            revision = catalog.version, was = old.version, routes = catalog.routes.len();
            "catalogue in force"
        );
        for (service, entry) in &catalog.services {
            let was = old.services.get(service).map(|entry| entry.connections);
            if was == Some(entry.connections) {
                continue;
            }
            for member in self.group_of(service).members() {
                member.pool.limit.set(connection_limit(entry.connections));
            }
        }
        self.work.add(Kind::Catalogue, 1);
        self.registry.set_services(&catalog);
        *self.catalog.borrow_mut() = Rc::new(catalog);
        self.freshness.advance(self.mark());
    }

    /// How far this instance is with what is agreed on.
    pub fn mark(&self) -> Watermark {
        Watermark {
            catalog: self.catalog().version,
            shares: self
                .mirror
                .borrow()
                .item(&shares::table_key::<E>())
                .map_or(0, |item| item.revision),
        }
    }

    /// The quota of an account, if there is such an account and it has one.
    pub fn quota(&self, account: &str) -> Option<Quota> {
        self.catalog.borrow().accounts.quota(account)
    }

    /// Whether keys may be served that are in force here, for requests that came at
    /// `moment`.
    ///
    /// Without the proof a customer whose key was taken away would be served on by an
    /// instance that is cut off, for as long as that lasts.
    pub fn is_fresh(&self, moment: Instant) -> bool {
        let limit = self.settings.revocation;
        limit.is_none_or(|limit| self.freshness.covers(moment, limit))
    }

    /// The route that callers of `database` take.
    pub fn route(&self, database: &Bytes) -> Option<Rc<Route>> {
        self.catalog.borrow().routes.get(database).cloned()
    }

    /// Whether this instance asks the store for its zone.
    pub fn is_relay(&self) -> bool {
        relay::is_relay(self)
    }

    /// Where to reach the instances that serve sessions on `service`, if this one is to
    /// hand them over.
    pub fn holders(&self, service: &Rc<str>) -> Vec<SocketAddr> {
        let Some(count) = self.max_holders(service) else {
            return Vec::new();
        };
        self.peers.holders(service, count, self.candidate())
    }

    /// Where to reach the instances that serve sessions of `account` on `service`, its home
    /// first, if this one is to hand them over.
    pub fn account_holders(&self, service: &Rc<str>, account: &str) -> Vec<SocketAddr> {
        let holders = self.holder_names(service);
        let own = &self.settings.name;
        self.peers.homes(service, account, &holders, own)
    }

    /// The names of the instances that hold its connections, the first one first.
    pub fn holder_names(&self, service: &Rc<str>) -> Vec<String> {
        let count = self.max_holders(service).unwrap_or(0);
        self.peers.holder_names(service, count, self.candidate())
    }

    /// Whether this instance is to look at the group's primary when another one sees it
    /// fail: it uses the group, holds its connections, gives the orders, or is one of a
    /// few more.
    pub fn is_judge(&self, group: &Group) -> bool {
        let own = &self.settings.name;
        let is_named = || {
            let duty = format!("judge {}", group.service);
            let judges = self
                .peers
                .holder_names(&duty, JUDGE_COUNT, self.candidate());
            judges.contains(own) || self.holder_names(&group.service).contains(own)
        };
        self.has_right.get() || group.is_proof_wanted(Boot.now()) || is_named()
    }

    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            name: &self.settings.name,
            zone: &self.settings.zone,
            weight: self.settings.weight,
            able: true,
        }
    }

    /// How many instances hold the connections to `service`.
    pub fn holder_count(&self, service: &Rc<str>) -> usize {
        let instances = self.peers.count();
        let most = self.max_holders(service);
        most.map_or(instances, |most| most.min(instances))
    }

    /// How many hold them if there are so many; `None` if no catalogue names the service.
    fn max_holders(&self, service: &Rc<str>) -> Option<usize> {
        let connections = self.catalog().services.get(service)?.connections;
        let slots = self.group_of(service).slots();
        Some(holders::count(connections, slots))
    }

    /// The group of a service; made if it is new.
    pub fn group_of(&self, service: &Rc<str>) -> Rc<Group> {
        self.registry.group(service)
    }

    /// Whether a primary of `service` is known.
    pub(crate) fn has_primary(&self, service: &str) -> bool {
        let group = self.registry.find(service);
        group.is_some_and(|group| group.stored_record().is_some())
    }

    /// All groups that the catalogue names, in order of their names.
    pub fn groups(&self) -> Rc<[Rc<Group>]> {
        self.registry.catalogued()
    }

    /// The groups of the catalogue that something is to be done for, in order of their
    /// names.
    pub fn active(&self) -> Vec<Rc<Group>> {
        let catalog = self.catalog();
        let mut active = self.registry.active();
        active.retain(|group| catalog.services.contains_key(&group.service));
        self.work.add(Kind::Group, active.len());
        active
    }

    /// Lets groups rest for which nothing is to be done.
    pub fn sweep(&self, now: Instant) {
        self.registry.sweep(now);
    }

    /// Takes in an entry of the list of upstreams.
    pub fn put_upstream(&self, upstream: Upstream) {
        let group = self.group_of(&upstream.service);
        let id = Rc::clone(&upstream.id);
        if let Some(old) = self.registry.assign(&id, &upstream.service) {
            old.unlist(&id, Boot.now());
        }
        let catalog = self.catalog();
        let connections = catalog.services.get(&upstream.service);
        group.put(upstream);
        if let (Some(member), Some(entry)) = (group.member(&id), connections) {
            member.pool.limit.set(connection_limit(entry.connections));
        }
    }

    /// The upstream with this id, whichever group it is in.
    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        self.registry.group_of_upstream(id)?.member(id)
    }

    /// Takes in that the list lacks the upstream with this id.
    pub fn unlist_upstream(&self, id: &str) {
        if let Some(group) = self.registry.group_of_upstream(id) {
            group.unlist(id, Boot.now());
        }
    }

    /// Waits until some catalogue is in force, or `wait` is over; whether one is.
    ///
    /// A caller that comes before would be told that its database does not exist.
    pub async fn wait_for_catalog(&self, wait: Duration) -> bool {
        let since = Boot.now();
        while self.catalog().version == 0 {
            if Boot.now().since(since) > wait {
                return false;
            }
            sleep(CATALOG_CHECK_INTERVAL).await;
        }
        true
    }

    /// Waits until the other instances could be heard.
    ///
    /// Who has heard nobody takes itself for a holder of everything. Behind a loss of
    /// power each of 91 instances served its first callers itself for as long as they
    /// stayed, and upstreams shed 35,628 statements in two seconds.
    pub async fn wait_for_peers(&self) {
        loop {
            let since = self.instances_listed_at.get().unwrap_or(self.started_at);
            let left = (since + PEER_WAIT).since(Boot.now());
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }

    /// Notes that the list of instances was read.
    pub(crate) fn note_instances_listed(&self) {
        if self.instances_listed_at.get().is_none() {
            self.instances_listed_at.set(Some(Boot.now()));
            self.peers.announce_to_all();
        }
    }

    /// Whether nobody asked this instance for a primary lately: its sessions are served
    /// by others, or it has none.
    pub fn is_idle(&self) -> bool {
        let now = Boot.now();
        !self.active().iter().any(|group| group.is_proof_wanted(now))
    }

    /// Whether the instance can take callers.
    ///
    /// One that can't serve while others may says so: the balancer then sends its
    /// zone's callers to another zone.
    pub fn is_ready(&self) -> bool {
        if self.stage.get() != Stage::Serving || !self.is_upstream_list_read.get() {
            return false;
        }
        if !self.catalog().accounts.is_empty() && !self.is_fresh(Boot.now()) {
            return false;
        }
        let groups = self.groups();
        let has_record = groups.iter().any(|group| group.stored_record().is_some());
        has_record && self.unable_since().is_none()
    }

    /// Whether it serves, or would.
    pub fn service(&self) -> ServiceState {
        if self.is_idle() {
            return match self.peers.is_unserved() {
                true => ServiceState::Unable,
                false => ServiceState::Idle,
            };
        }
        match self.is_able() {
            true => ServiceState::Able,
            false => ServiceState::Unable,
        }
    }

    /// Whether some primary is proved, or was a moment ago, and can be reached.
    fn is_able(&self) -> bool {
        let now = Boot.now();
        self.active().iter().any(|group| {
            let proved = group.proof().until() + LAPSE_TOLERANCE > now;
            proved
                && group
                    .primary()
                    .is_some_and(|(member, _)| !member.is_failing())
        })
    }

    /// Since when this instance can't serve though others may.
    pub fn unable_since(&self) -> Option<Instant> {
        let now = Boot.now();
        if self.service() != ServiceState::Unable || !self.peers.may_others_serve() {
            self.able_at.set(now);
            return None;
        }
        let since = self.able_at.get() + LAPSE_TOLERANCE;
        (since < now).then_some(since)
    }

    /// The primary, if it is proved that it led at `moment` and it may be sent work.
    ///
    /// One that leaves is replaced. If that does not come about in time, nothing is
    /// sent to it any more all the same: it may end at any moment.
    fn proved_primary(&self, group: &Group, moment: Instant) -> Option<Rc<Member>> {
        let (member, _) = group.primary()?;
        let left = member.leaves_in(Boot.now(), self.settings.drain);
        let stays = left.is_none_or(|left| left > DRAIN_MARGIN);
        (stays && group.proof().covers(moment)).then_some(member)
    }

    /// Waits until it is proved that the primary led at `moment`, or `wait` is over.
    pub async fn proved(&self, group: &Group, moment: Instant, wait: Duration) -> Proved {
        group.want_proof(Boot.now());
        if let Some(member) = self.proved_primary(group, moment) {
            return Proved::Primary(member);
        }
        // A group that rested was not proved with the others.
        proof_lease::adopt_proof(self, group);
        if let Some(member) = self.proved_primary(group, moment) {
            return Proved::Primary(member);
        }
        let _waited = self.metrics.wait(Wait::Proof);
        let proved = async {
            loop {
                let changed = group.changed.notified();
                if let Some(member) = self.proved_primary(group, moment) {
                    return Proved::Primary(member);
                }
                // Who replaces the primary tells when it is over.
                if group.primary().is_some() {
                    self.proof_wanted.notify_one();
                }
                changed.await;
            }
        };
        timeout(wait, proved).await.unwrap_or(Proved::NoPrimary)
    }

    /// Takes in settings that were changed while the process runs: tells which, and
    /// reads the store anew. What is changed is in force from the next start on.
    pub fn reload(&self, settings: &Settings) {
        let changed = self.settings.changed(settings).join(" ");
        log::info!(changed = &*changed; "settings read again");
        self.refresh.notify_one();
    }

    /// Notes that a question which was sent to the store at `sent`, by this instance
    /// or through another, was answered.
    pub fn heard_from_store(&self, sent: Instant) {
        self.store_contact_at
            .set(self.store_contact_at.get().max(sent));
    }

    /// Notes that the store answered this instance.
    pub fn store_answered(&self) {
        self.store_answered_at.set(Boot.now());
        self.store_heard();
    }

    /// Notes that the store did not answer this instance, or turned it away.
    pub fn store_failed(&self) {
        self.store_failed_at.set(Boot.now());
    }

    /// When the store last did not answer this instance.
    pub(crate) fn failed_at(&self) -> Instant {
        self.store_failed_at.get()
    }

    /// Whether this instance hears the store itself.
    pub fn store_contact(&self) -> StoreContact {
        let now = Boot.now();
        let (answered, failed) = (self.store_answered_at.get(), self.store_failed_at.get());
        if answered != Instant::ZERO && answered + STORE_REACHABLE_TTL > now {
            return StoreContact::Reachable;
        }
        match failed > answered && failed + STORE_UNREACHABLE_TTL > now {
            true => StoreContact::Unreachable,
            false => StoreContact::Unknown,
        }
    }

    /// The catalogue as the store holds it.
    pub(crate) fn catalog_item(&self) -> Option<Item> {
        self.mirror.borrow().item(E::CATALOG_KEY)
    }

    /// The same, packed once for all who ask.
    pub(crate) fn packed(&self) -> Option<Compressed> {
        let item = self.catalog_item()?;
        let mut packed = self.packed.borrow_mut();
        if packed
            .as_ref()
            .is_none_or(|p| p.item.revision != item.revision)
        {
            *packed = Compressed::compress(&item).ok();
        }
        packed.clone()
    }

    /// Notes that the store answered this instance, or a relay for it.
    pub fn store_heard(&self) {
        let now = Boot.now();
        if self.store_heard_at.get() + STORE_GAP < now {
            self.store_returned.notify_waiters();
            self.store_up_since.set(now);
        }
        self.store_heard_at.set(now);
    }

    /// Whether a stop was asked for.
    pub fn is_stopping(&self) -> bool {
        matches!(self.stage.get(), Stage::Stopping(_))
    }
}

/// Who may be used as the primary.
#[derive(Debug)]
pub enum Proved {
    /// This upstream.
    Primary(Rc<Member>),
    /// Nobody, as far as could be told in time.
    NoPrimary,
}

/// How many of an upstream's connections one instance may take.
///
/// Half, so that no instance keeps all others out.
fn connection_limit(connections: usize) -> usize {
    (connections / 2).max(1)
}
