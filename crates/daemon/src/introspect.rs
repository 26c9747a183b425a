//! State of the duties for operators.
//!
//! Each duty builds its part on request, in its own thread, so a statement pays
//! nothing for counting or copying. A duty that hangs must not block the
//! operators' port as well: each request has a timeout, and a duty that does
//! not answer is reported as a doubt.

use std::{sync::Arc, sync::atomic::AtomicBool, time::Duration};

use model::{Term, name};
use tokio::sync::{mpsc, oneshot};
use view::{Doubt, Duty, Member, Revision, Session, Upstream};

/// Time that a duty has to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Requests that may wait for one duty; further ones fail at once, as if the
/// duty were silent.
const MAX_PENDING: usize = 4;

/// Requests the state of one duty.
#[derive(Debug)]
pub(crate) struct Requester<T>(mpsc::Sender<oneshot::Sender<T>>);

/// Receives such requests in the duty; each one is a channel for the answer.
pub(crate) type Requests<T> = mpsc::Receiver<oneshot::Sender<T>>;

/// Creates a requester and its receiving end.
pub(crate) fn channel<T>() -> (Requester<T>, Requests<T>) {
    let (sender, requests) = mpsc::channel(MAX_PENDING);
    (Requester(sender), requests)
}

impl<T> Requester<T> {
    /// Requests the state; `None` if the duty does not answer in time.
    pub(crate) async fn request(&self) -> Option<T> {
        let (reply, replied) = oneshot::channel();
        self.0.try_send(reply).ok()?;
        tokio::time::timeout(TIMEOUT, replied).await.ok()?.ok()
    }
}

/// State of the peers' duty.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Revision of the catalogue in force.
    pub(crate) revision: Revision,
    /// Milliseconds since this revision was put in force.
    pub(crate) applied_ms_ago: u64,
    /// Other instances.
    pub(crate) members: Vec<Member>,
    /// Problems of the fleet or the catalogue.
    pub(crate) doubts: Vec<Doubt>,
}

/// State of one database in the control duty.
#[derive(Debug)]
pub(crate) struct Primary {
    /// The database.
    pub(crate) database: name::Database,
    /// Latest known term.
    pub(crate) term: Term,
    /// Primary of this term; `None` while the term is only claimed.
    pub(crate) upstream: Option<name::Upstream>,
}

/// State of one database in the upstreams' duty.
#[derive(Debug)]
pub(crate) struct Group {
    /// The database.
    pub(crate) database: name::Database,
    /// Milliseconds since a majority confirmed a primary; `None` if none has
    /// yet.
    pub(crate) confirmed_ms_ago: Option<u64>,
    /// Upstreams of the database.
    pub(crate) upstreams: Vec<Upstream>,
    /// Problems of the database.
    pub(crate) doubts: Vec<Doubt>,
}

/// State of the upstreams' duty.
#[derive(Debug)]
pub(crate) struct Groups {
    /// Databases, ordered by name.
    pub(crate) groups: Vec<Group>,
    /// Callers whose request is waiting and has not been sent yet.
    pub(crate) queued: Vec<u64>,
}

/// State of the callers' duty.
#[derive(Debug)]
pub(crate) struct Callers {
    /// Number of connected callers.
    pub(crate) total: u64,
    /// Some of the callers with their numbers, longest-running work first.
    pub(crate) sessions: Vec<(u64, Session)>,
}

/// Requesters of all duties, and facts known without a request.
#[derive(Debug)]
pub(crate) struct Introspection {
    /// This instance.
    pub(crate) instance: name::Instance,
    /// Availability zone of this instance.
    pub(crate) zone: name::Zone,
    /// True if a catalogue is in force for callers.
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

/// Receiving ends for the duties.
#[derive(Debug)]
pub(crate) struct Receivers {
    /// Requests to the peers' duty.
    pub(crate) fleet: Requests<Fleet>,
    /// Requests to the control duty.
    pub(crate) primaries: Requests<Vec<Primary>>,
    /// Requests to the upstreams' duty.
    pub(crate) groups: Requests<Groups>,
    /// Requests to the callers' duty.
    pub(crate) callers: Requests<Callers>,
    /// Requests to the store's duty.
    pub(crate) store: Requests<view::Store>,
}

impl Introspection {
    /// Creates the requesters of an instance and the receiving ends for its
    /// duties.
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

/// Passes on the state of `duty`, or adds a doubt if the duty did not answer.
pub(crate) fn or_doubt<T>(part: Option<T>, duty: Duty, doubts: &mut Vec<Doubt>) -> Option<T> {
    if part.is_none() {
        doubts.push(Doubt::DutySilent { duty });
    }
    part
}

/// Converts a duration to whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
