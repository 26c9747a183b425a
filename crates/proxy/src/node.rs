//! The state of an instance, shared by all of its tasks.

mod ability;
mod contact;
mod holders;
mod proved;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use clock::{Boot, Instant};
use lead::freshness::Watermark;
use tokio::{sync::Notify, time::sleep};

use crate::{
    account::Quota,
    catalog::{Catalog, Route, Upstream},
    catalog_sends::CatalogSends,
    counted::Counted,
    delta,
    edge::{Edge, Item, Store},
    features::{Features, Traits},
    freshness,
    group::Group,
    leaves::Undated,
    member::Member,
    metrics::Metrics,
    mirror::{self, Mirror},
    peers::{Peers, frame::Compressed},
    proof_lease::Lease,
    proofs::Proofs,
    registry::Registry,
    relay,
    settings::Settings,
    shares::{self, Shares},
    work::{Kind, Work},
};

/// Interval between checks for a first catalogue.
const CATALOG_CHECK_INTERVAL: Duration = Duration::from_millis(5);

pub use ability::ServiceState;
pub use proved::Proved;

/// Time after the first read of the list of instances within which the others may not have been
/// heard: they answer the first heartbeat at once, but their processors may be busy.
const PEER_WAIT: Duration = Duration::from_millis(200);

/// Time without a proof after which an instance counts as unable to serve.
const LAPSE_TOLERANCE: Duration = Duration::from_millis(150);

/// Stage of an instance's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The instance serves.
    Serving,
    /// The instance was told to stop at this time.
    Stopping(Instant),
}

/// The state of an instance, shared by all of its tasks.
#[derive(Debug)]
pub struct Node<E: Edge> {
    /// The platform outside the process.
    pub edge: E,
    /// The settings from the instance's start.
    pub settings: Settings,
    /// Random number of this run of the process.
    pub incarnation: u64,
    catalog: RefCell<Rc<Catalog>>,
    registry: Registry,
    /// The other instances.
    pub peers: Peers,
    /// Stage of the instance's life.
    pub stage: Cell<Stage>,
    /// Notified when the stage changes.
    pub stage_changed: Notify,
    /// Notified when a proof is needed now.
    pub proof_wanted: Notify,
    /// Id of the proof lease that all instances share, zero if unknown.
    pub proof_lease: Cell<u64>,
    /// The proof lease as it was last read from the store.
    pub(crate) lease: Cell<Lease>,
    /// Time at which the records were last read.
    pub records_read_at: Cell<Instant>,
    /// Number of outstanding requests to the store for a proof.
    pub proofs_in_flight: Cell<usize>,
    /// Id of the proof lease that was confirmed last, and the time from which that proof counts.
    pub(crate) proved_lease: Cell<(u64, Instant)>,
    /// Time of this instance's last renewal of the proof lease.
    pub lease_renewed_at: Cell<Instant>,
    /// True while another instance is asked for a proof.
    pub is_asking_relay: Cell<bool>,
    /// Notified when the list of upstreams may have changed.
    pub refresh: Notify,
    /// True once the list of upstreams was read.
    pub is_upstream_list_read: Cell<bool>,
    /// Time at which this instance's list of upstreams was last known to be complete: when it sent
    /// the last request for the list that the store answered.
    pub(crate) list_current_at: Cell<Option<Instant>>,
    /// Leaving upstreams that get no work by what is known here of their announcements.
    pub(crate) undated_leaves: Undated,
    pub(crate) started_at: Instant,
    /// Time of the first read of the list of instances.
    pub instances_listed_at: Cell<Option<Instant>>,
    able_at: Cell<Instant>,
    /// Revision of the takeover lock that was last seen, and the time since which it has been seen.
    pub takeover_lock: Cell<(u64, Instant)>,
    /// The store's era, and the time at which this instance learnt of it.
    store_era: Cell<(u64, Instant)>,
    /// True while this instance holds the takeover lock.
    pub(crate) holds_takeover_lock: Cell<bool>,
    /// Holders of the takeover lock before this instance acquired it last.
    pub(crate) previous_holders: RefCell<Vec<String>>,
    /// Time of this instance's last order.
    pub(crate) last_order_at: Cell<Option<Instant>>,
    /// Send time of the last request that the store answered.
    pub store_contact_at: Cell<Instant>,
    /// Time of the store's last answer to this instance or to a relay for it.
    pub store_heard_at: Cell<Instant>,
    /// Time of the store's last answer to this instance.
    pub store_answered_at: Cell<Instant>,
    /// Time of the last request of this instance that the store did not answer.
    store_failed_at: Cell<Instant>,
    /// Number of consecutive renewals that the store did not answer.
    pub(crate) renewal_failures: Cell<u32>,
    /// The relay that did not answer, and the time of that.
    pub(crate) silent_relay: Cell<Option<(SocketAddr, Instant)>>,
    /// The relay that this instance is connected to.
    pub(crate) followed_relay: Cell<Option<SocketAddr>>,
    /// The known contents of the store.
    pub mirror: RefCell<Mirror>,
    /// Notified when the mirror changes.
    pub store_changed: Notify,
    packed: RefCell<Option<Compressed>>,
    /// The encoded answer to a follower that knows nothing, with the versions of the mirror and the
    /// catalogue that it was made of.
    pub(crate) full_batch: RefCell<Option<((mirror::Version, u64), Bytes)>>,
    /// The differences between the latest versions of the catalogue.
    pub(crate) deltas: RefCell<delta::History>,
    /// Limit on the bytes of catalogues that are being sent to peers.
    pub(crate) catalog_sends: CatalogSends,
    /// Outstanding requests for proofs.
    pub proofs: Proofs,
    /// Proof that the catalogue and the shares are current.
    pub freshness: freshness::Tracker,
    /// Shares of the accounts' quotas that this instance may use.
    pub shares: Shares,
    /// Time of the last answer to a watch of the store.
    pub watch_answered_at: Cell<Instant>,
    /// Notified when the store answers again.
    pub(crate) store_returned: Notify,
    /// Time since which the store has answered without a long gap.
    pub store_up_since: Cell<Instant>,
    /// The features of load control in force.
    pub features: Cell<Features>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Counts of the work for the background duties.
    pub work: Work,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
    /// Number of broken callers' connections since they were last logged.
    pub(crate) lost_callers: Cell<usize>,
    /// Time of the last log line of a read that succeeded in time.
    pub(crate) unusual_read_at: Cell<Instant>,
}

impl<E: Edge> Node<E> {
    /// Creates a node without any knowledge.
    pub fn new(edge: E, settings: Settings) -> Self {
        Self {
            edge,
            peers: Peers::new(&settings),
            catalog_sends: CatalogSends::new(settings.link),
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
            list_current_at: Cell::default(),
            undated_leaves: Undated::default(),
            started_at: Boot.now(),
            instances_listed_at: Cell::default(),
            able_at: Cell::new(Boot.now()),
            takeover_lock: Cell::default(),
            store_era: Cell::default(),
            holds_takeover_lock: Cell::new(false),
            previous_holders: RefCell::default(),
            last_order_at: Cell::default(),
            store_contact_at: Cell::default(),
            store_heard_at: Cell::default(),
            store_answered_at: Cell::default(),
            store_failed_at: Cell::default(),
            renewal_failures: Cell::default(),
            silent_relay: Cell::default(),
            followed_relay: Cell::default(),
            mirror: RefCell::default(),
            store_changed: Notify::new(),
            packed: RefCell::default(),
            full_batch: RefCell::default(),
            deltas: RefCell::default(),
            proofs: Proofs::default(),
            freshness: freshness::Tracker::default(),
            shares: Shares::default(),
            watch_answered_at: Cell::default(),
            store_returned: Notify::new(),
            store_up_since: Cell::default(),
            features: Cell::default(),
            metrics: Metrics::default(),
            work: Work::default(),
            sessions: Cell::new(0),
            lost_callers: Cell::new(0),
            unusual_read_at: Cell::default(),
        }
    }

    /// Returns the time since which the store is known to be in its current era.
    pub(crate) fn era_since(&self) -> Instant {
        let era = self.edge.store().era();
        if self.store_era.get().0 != era {
            self.store_era.set((era, Boot.now()));
        }
        self.store_era.get().1
    }

    /// Returns the platform's store with its calls counted.
    pub fn store(&self) -> Counted<'_, E::Store> {
        Counted::new(self.edge.store(), &self.metrics)
    }

    /// Returns the catalogue in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        Rc::clone(&self.catalog.borrow())
    }

    /// Puts a catalogue in force unless one of the same or a higher version is.
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

    /// Returns the versions of the catalogue and the shares that this instance has.
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

    /// Returns the quota of an account, if the account exists and has one.
    pub fn quota(&self, account: &str) -> Option<Quota> {
        self.catalog.borrow().accounts.quota(account)
    }

    /// Returns true if keys in force here may be served for requests that came at `moment`.
    ///
    /// Without this proof, an instance that is cut off would go on serving a revoked key for as
    /// long as the partition lasts.
    pub fn is_fresh(&self, moment: Instant) -> bool {
        let limit = self.settings.revocation;
        limit.is_none_or(|limit| self.freshness.covers(moment, limit))
    }

    /// Returns the route of `database`.
    pub fn route(&self, database: &Bytes) -> Option<Rc<Route>> {
        self.catalog.borrow().routes.get(database).cloned()
    }

    /// Returns true if this instance asks the store on behalf of its zone.
    pub fn is_relay(&self) -> bool {
        relay::is_relay(self)
    }

    /// Returns the group of a service, and creates it if needed.
    pub fn group_of(&self, service: &Rc<str>) -> Rc<Group> {
        self.registry.group(service)
    }

    /// Returns true if a primary of `service` is known.
    pub(crate) fn has_primary(&self, service: &str) -> bool {
        let group = self.registry.find(service);
        group.is_some_and(|group| group.stored_record().is_some())
    }

    /// Returns all groups of the catalogue, in order of their names.
    pub fn groups(&self) -> Rc<[Rc<Group>]> {
        self.registry.catalogued()
    }

    /// Returns the catalogue's active groups, in order of their names.
    pub fn active(&self) -> Vec<Rc<Group>> {
        let catalog = self.catalog();
        let mut active = self.registry.active();
        active.retain(|group| catalog.services.contains_key(&group.service));
        self.work.add(Kind::Group, active.len());
        active
    }

    /// Deactivates groups that need no attention.
    pub fn sweep(&self, now: Instant) {
        self.registry.sweep(now);
    }

    /// Applies a registered upstream.
    pub fn put_upstream(&self, upstream: Upstream) {
        let group = self.group_of(&upstream.service);
        let id = Rc::clone(&upstream.id);
        if let Some(old) = self.registry.assign(&id, &upstream.service) {
            old.unlist(&id, Boot.now(), self.list_current_at.get());
        }
        let catalog = self.catalog();
        let connections = catalog.services.get(&upstream.service);
        let is_leave = group.put(upstream, self.list_current_at.get());
        let Some(member) = group.member(&id) else {
            return;
        };
        if let Some(entry) = connections {
            member.pool.limit.set(connection_limit(entry.connections));
        }
        let now = Boot.now();
        if is_leave && self.is_drain_over(&member, now) {
            self.undated_leaves.push(&id, now);
        }
    }

    /// Returns the upstream with this id from any group.
    pub fn member(&self, id: &str) -> Option<Rc<Member>> {
        self.registry.group_of_upstream(id)?.member(id)
    }

    /// Records that the list lacks the upstream with this id.
    pub fn unlist_upstream(&self, id: &str) {
        if let Some(group) = self.registry.group_of_upstream(id) {
            group.unlist(id, Boot.now(), self.list_current_at.get());
        }
    }

    /// Returns the longest time for which the upstream with this id may have been leaving; `None` if
    /// it stays or that is unknown.
    pub(crate) fn leaving_for(&self, id: &str, now: Instant) -> Option<Duration> {
        let member = self.registry.group_of_upstream(id)?.member(id)?;
        member.leaving_for(now)
    }

    /// Records that the upstream with this id announced at `not_before` or later that it leaves.
    pub(crate) fn date_leave(&self, id: &str, not_before: Option<Instant>) {
        let group = self.registry.group_of_upstream(id);
        let Some((member, group)) = group.and_then(|group| Some((group.member(id)?, group))) else {
            return;
        };
        let now = Boot.now();
        let (was_over, known) = (self.is_drain_over(&member, now), member.leaving_for(now));
        member.date_leave(not_before);
        let age = member.leaving_for(now);
        if was_over && age != known {
            let leaving_ms = age.map(|age| age.as_millis());
            log::info!(service = &*group.service, upstream = id, leaving_ms:?; "announcement dated by another instance");
            group.changed.notify_waiters();
        }
    }

    /// Waits until a catalogue is in force, at most for `wait`, and returns whether one is.
    ///
    /// A caller that came earlier would be told that its database does not exist.
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

    /// Waits until there was time to hear the other instances.
    ///
    /// An instance that has heard no other considers itself a holder of every group. After a loss
    /// of power, each of 91 instances served its first callers itself for as long as they stayed,
    /// and upstreams shed 35,628 statements in two seconds.
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

    /// Records that the list of instances was read.
    pub(crate) fn note_instances_listed(&self) {
        if self.instances_listed_at.get().is_none() {
            self.instances_listed_at.set(Some(Boot.now()));
            self.peers.announce_to_all();
        }
    }

    /// Logs which settings have changed while the process runs, and reads the list of upstreams
    /// again. Changed settings take effect at the next start.
    pub fn reload(&self, settings: &Settings) {
        let changed = self.settings.changed(settings).join(" ");
        log::info!(changed = &*changed; "settings reloaded");
        self.refresh.notify_one();
    }

    /// Returns the catalogue as the store holds it.
    pub(crate) fn catalog_item(&self) -> Option<Item> {
        self.mirror.borrow().item(E::CATALOG_KEY)
    }

    /// Returns the catalogue compressed, and compresses each one only once.
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

    /// Brings the features of load control in line with the catalogue and the other instances.
    pub(crate) fn update_features(&self) {
        let traits = Traits {
            has_accounts: !self.catalog().accounts.is_empty(),
            is_uneven: self.peers.is_uneven(self.settings.weight),
        };
        let features = self.settings.switches.resolve(traits);
        if self.features.replace(features) != features {
            log::info!(
                admission = features.admission, account_shares = features.account_shares,
                replica_reads = features.replica_reads, load_reports = features.load_reports;
                "load control changed"
            );
        }
    }

    /// Returns true once the instance was told to stop.
    pub fn is_stopping(&self) -> bool {
        matches!(self.stage.get(), Stage::Stopping(_))
    }
}

/// Returns the number of an upstream's connections that one instance may take: half, so that no
/// instance keeps all others out.
fn connection_limit(connections: usize) -> usize {
    (connections / 2).max(1)
}
