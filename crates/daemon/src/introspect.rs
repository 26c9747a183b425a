//! What operators ask of the duties, and what each duty shows of itself.
//!
//! A duty makes its part only when it is asked, in its own thread, so nothing
//! is counted or copied on the way of a statement. What can go wrong: a duty
//! that hangs would hang the operators' port too, just when it is needed. Each
//! question therefore waits a bounded time, and a duty that does not answer is
//! named as a doubt.

use std::{sync::Arc, sync::atomic::AtomicBool, time::Duration};

use model::{Term, name};
use tokio::sync::{mpsc, oneshot};
use view::{Doubt, Duty, Member, Revision, Session, Upstream};

/// How long a duty may take to show its part.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Questions that may wait for a duty; more are answered as by a silent one.
const MAX_PENDING: usize = 4;

/// Where one duty is asked for its part.
#[derive(Debug)]
pub(crate) struct Requester<T>(mpsc::Sender<oneshot::Sender<T>>);

/// The questions, as the duty takes them.
pub(crate) type Requests<T> = mpsc::Receiver<oneshot::Sender<T>>;

/// Makes the two ends.
pub(crate) fn channel<T>() -> (Requester<T>, Requests<T>) {
    let (sender, requests) = mpsc::channel(MAX_PENDING);
    (Requester(sender), requests)
}

impl<T> Requester<T> {
    /// Asks for the part; `None` when the duty does not answer in time.
    pub(crate) async fn request(&self) -> Option<T> {
        let (reply, replied) = oneshot::channel();
        self.0.try_send(reply).ok()?;
        tokio::time::timeout(TIMEOUT, replied).await.ok()?.ok()
    }
}

/// What the peers' duty shows.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// The catalogue's revision in force.
    pub(crate) revision: Revision,
    /// For how many milliseconds.
    pub(crate) applied_ms_ago: u64,
    /// The other instances.
    pub(crate) members: Vec<Member>,
    /// What is wrong with the fleet or the catalogue.
    pub(crate) doubts: Vec<Doubt>,
}

/// What the control duty shows of one database.
#[derive(Debug)]
pub(crate) struct Primary {
    /// The database.
    pub(crate) database: name::Database,
    /// The latest term known.
    pub(crate) term: Term,
    /// Who leads in it; none while it is only claimed.
    pub(crate) upstream: Option<name::Upstream>,
}

/// What the upstreams' duty shows of one database.
#[derive(Debug)]
pub(crate) struct Group {
    /// The database.
    pub(crate) database: name::Database,
    /// Milliseconds since a majority confirmed a primary; none if not yet.
    pub(crate) confirmed_ms_ago: Option<u64>,
    /// Its upstreams.
    pub(crate) upstreams: Vec<Upstream>,
    /// What is wrong with it.
    pub(crate) doubts: Vec<Doubt>,
}

/// What the upstreams' duty shows.
#[derive(Debug)]
pub(crate) struct Groups {
    /// All databases, by name.
    pub(crate) groups: Vec<Group>,
    /// The callers whose request waits and was not sent yet.
    pub(crate) queued: Vec<u64>,
}

/// What the callers' duty shows.
#[derive(Debug)]
pub(crate) struct Callers {
    /// How many there are.
    pub(crate) total: u64,
    /// Some of them with their numbers, those in longest work first.
    pub(crate) sessions: Vec<(u64, Session)>,
}

/// Where all duties are asked, and what is known without asking.
#[derive(Debug)]
pub(crate) struct Introspection {
    /// This instance.
    pub(crate) instance: name::Instance,
    /// Its availability zone.
    pub(crate) zone: name::Zone,
    /// Whether callers find a catalogue in force.
    pub(crate) serving: Arc<AtomicBool>,
    /// The peers' duty.
    pub(crate) fleet: Requester<Fleet>,
    /// The control duty.
    pub(crate) primaries: Requester<Vec<Primary>>,
    /// The upstreams' duty.
    pub(crate) groups: Requester<Groups>,
    /// The callers' duty.
    pub(crate) callers: Requester<Callers>,
    /// The store's duty.
    pub(crate) store: Requester<view::Store>,
}

/// The other ends of a board, one for each duty.
#[derive(Debug)]
pub(crate) struct Receivers {
    /// Of the peers' duty.
    pub(crate) fleet: Requests<Fleet>,
    /// Of the control duty.
    pub(crate) primaries: Requests<Vec<Primary>>,
    /// Of the upstreams' duty.
    pub(crate) groups: Requests<Groups>,
    /// Of the callers' duty.
    pub(crate) callers: Requests<Callers>,
    /// Of the store's duty.
    pub(crate) store: Requests<view::Store>,
}

impl Introspection {
    /// Makes the board of an instance, and the duties' ends of it.
    pub(crate) fn open(instance: &name::Instance, zone: &name::Zone) -> (Self, Receivers) {
        let (fleet, fleet_requests) = channel();
        let (primaries, primaries_requests) = channel();
        let (groups, groups_requests) = channel();
        let (callers, callers_requests) = channel();
        let (store, store_requests) = channel();
        let introspection = Self {
            instance: instance.clone(),
            zone: zone.clone(),
            serving: Arc::default(),
            fleet,
            primaries,
            groups,
            callers,
            store,
        };
        let receivers = Receivers {
            fleet: fleet_requests,
            primaries: primaries_requests,
            groups: groups_requests,
            callers: callers_requests,
            store: store_requests,
        };
        (introspection, receivers)
    }
}

/// The part of `duty`, or a doubt in its place.
pub(crate) fn or_doubt<T>(part: Option<T>, duty: Duty, doubts: &mut Vec<Doubt>) -> Option<T> {
    if part.is_none() {
        doubts.push(Doubt::DutySilent { duty });
    }
    part
}

/// A span as the views tell it, in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
