//! The upstreams duty: runs requests on upstreams and tracks the state of each
//! database.

mod ack;
mod backoff;
mod choose;
mod clean;
mod connection;
mod connections;
mod control;
mod dispatch;
mod exchange;
mod group;
mod host;
mod once;
mod plan;
mod remote;
mod run;
mod running;
mod sink;
mod transaction;
mod view;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use catalog::layout::Snapshot;
use clock::{Clock, Instant};
use model::name;
use ntex::time::sleep;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use upstream::Login;

use crate::{
    control::{Answer, Order},
    duty::{self, Phase, Watch},
    forward::{Conn, In, Out, Seq},
    introspect::{self, Requests},
    job::{Caller, Command, Reply},
    meter::Meters,
    ring,
};

use connection::Connection;
use group::Group;
use remote::Pending;
use running::Running;

/// Interval at which a draining duty checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time without a running request after which a drain is complete.
const DRAIN_QUIET_PERIOD: Duration = Duration::from_millis(300);

/// Time for the final messages to other instances before the streams close.
const BYE_GRACE: Duration = Duration::from_millis(50);

/// Configuration and channels of the upstreams duty.
#[derive(Debug)]
pub(crate) struct Conf {
    /// The system clock.
    pub(crate) clock: Clock,
    /// This instance's availability zone.
    pub(crate) zone: name::Zone,
    /// Credentials for logging in to upstreams.
    pub(crate) login: Login,
    /// The name of this instance.
    pub(crate) instance: name::Instance,
    /// Messages to the peers duty.
    pub(crate) outs: ring::Sender<Out>,
    /// Messages from the peers duty.
    pub(crate) ins: ring::Receiver<In>,
    /// Commands from the callers duty.
    pub(crate) commands: ring::Receiver<Command>,
    /// Replies to the callers duty.
    pub(crate) replies: ring::Sender<Reply>,
    /// Orders from the control duty.
    pub(crate) orders: ring::Receiver<Order>,
    /// Answers to the control duty.
    pub(crate) answers: ring::Sender<Answer>,
    /// Request counters.
    pub(crate) meters: Meters,
    /// Operators' requests for the state of the databases.
    pub(crate) inquiries: Requests<introspect::Groups>,
    /// The daemon's lifecycle phase.
    pub(crate) watch: Watch,
    /// Seed of the random number generator.
    pub(crate) seed: u64,
}

/// The connection held for a caller's open transaction or unfinished batch.
enum Pin {
    /// A connection of this instance.
    Open {
        /// The connection.
        connection: Box<Connection>,
        /// The database group that the connection belongs to.
        group: Rc<Group>,
    },
    /// A connection held by another instance.
    Remote {
        /// The instance that holds the connection.
        to: name::Instance,
        /// Sequence number of the command that began the transaction.
        pin: Seq,
        /// The database group that the connection belongs to.
        group: Rc<Group>,
    },
    /// The connection was lost, and the caller has not ended the transaction
    /// yet.
    Failed,
}

/// State shared by the tasks of the duty.
struct Core {
    meters: Meters,
    clock: Clock,
    zone: name::Zone,
    login: Login,
    instance: name::Instance,
    outs: ring::Shared<Out>,
    replies: ring::Shared<Reply>,
    answers: ring::Shared<Answer>,
    groups: RefCell<BTreeMap<name::Database, Rc<Group>>>,
    running: RefCell<HashMap<Caller, Rc<Running>>>,
    pins: RefCell<HashMap<Caller, Pin>>,
    rng: RefCell<ChaCha8Rng>,
    last_ticket: Cell<u64>,
    /// Number of commands from other instances that are being executed.
    peer_commands: Cell<usize>,
    /// True if commands from other instances are no longer accepted.
    closed: Cell<bool>,
    last_seq: Cell<Seq>,
    /// The instances that can be given work, with their availability zones.
    members: RefCell<BTreeMap<name::Instance, name::Zone>>,
    /// The members that have announced that they are stopping.
    leaving: RefCell<BTreeSet<name::Instance>>,
    /// Commands sent to other instances that wait for answers.
    pending: RefCell<HashMap<Seq, Pending>>,
    /// Batches that run here on behalf of other instances.
    peer_batches: RefCell<HashMap<(Conn, Seq), Rc<Running>>>,
    /// Connections held by open transactions of other instances.
    peer_connections: RefCell<HashMap<(Conn, Seq), Box<Connection>>>,
}

impl Core {
    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn ticket(&self) -> pool::Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        pool::Ticket(self.last_ticket.get())
    }

    fn next_seq(&self) -> Seq {
        self.last_seq.set(self.last_seq.get() + 1);
        self.last_seq.get()
    }

    fn group(&self, database: &name::Database) -> Option<Rc<Group>> {
        self.groups.borrow().get(database).cloned()
    }
}

/// Runs the duty until the daemon stops.
pub(crate) async fn run(conf: Conf) {
    let core = Rc::new(Core {
        clock: conf.clock,
        zone: conf.zone,
        login: conf.login,
        instance: conf.instance,
        outs: ring::Shared::new(conf.outs),
        replies: ring::Shared::new(conf.replies),
        answers: ring::Shared::new(conf.answers),
        groups: RefCell::default(),
        running: RefCell::default(),
        pins: RefCell::default(),
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(conf.seed)),
        last_ticket: Cell::new(0),
        peer_commands: Cell::new(0),
        closed: Cell::new(false),
        last_seq: Cell::new(0),
        meters: conf.meters,
        members: RefCell::default(),
        leaving: RefCell::default(),
        pending: RefCell::default(),
        peer_batches: RefCell::default(),
        peer_connections: RefCell::default(),
    });
    ntex::rt::spawn(receive_peer_inputs(Rc::clone(&core), conf.ins));
    ntex::rt::spawn(receive_commands(Rc::clone(&core), conf.commands));
    ntex::rt::spawn(view::serve(Rc::clone(&core), conf.inquiries));
    ntex::rt::spawn(receive_orders(Rc::clone(&core), conf.orders));
    let mut watch = conf.watch;
    duty::wait_for(&mut watch, Phase::Drain).await;
    core.outs.send(Out::Leaving).await;
    // The callers duty ends first and may send requests for a caller until
    // then.
    duty::wait_for(&mut watch, Phase::Settle).await;
    tokio::select! {
        () = drained(&core) => {}
        // Requests that still run are cut off. They may have run, so they must
        // not be reported as "not run".
        () = duty::wait_for(&mut watch, Phase::Stop) => return,
    }
    core.closed.set(true);
    core.outs.send(Out::Bye).await;
    sleep(BYE_GRACE).await;
}

/// Waits until no request has run for [`DRAIN_QUIET_PERIOD`].
///
/// Other instances learn of the drain with a delay and keep sending batches
/// until then; stopping in between would cut those off.
async fn drained(core: &Core) {
    let mut quiet = core.now();
    while core.now().since(quiet) < DRAIN_QUIET_PERIOD {
        sleep(DRAIN_POLL_INTERVAL).await;
        let own = core.running.borrow().is_empty() && core.pins.borrow().is_empty();
        let others = core.peer_commands.get() == 0 && core.peer_connections.borrow().is_empty();
        if !own || !others {
            quiet = core.now();
        }
    }
}

async fn receive_commands(core: Rc<Core>, mut commands: ring::Receiver<Command>) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Run(job) => drop(ntex::rt::spawn(run::serve(Rc::clone(&core), *job))),
            Command::Leave(caller) => run::release_caller(&core, caller),
            Command::Taken { caller, seq } => run::note_taken(&core, caller, seq),
            Command::Cancel { caller, seq } => run::cancel(&core, caller, seq),
            Command::Catalog(snapshot) => apply_catalog(&core, &snapshot),
        }
    }
}

/// Updates the groups to match the catalogue.
fn apply_catalog(core: &Rc<Core>, snapshot: &Arc<Snapshot>) {
    let databases = &snapshot.catalog.databases;
    core.groups
        .borrow_mut()
        .retain(|name, _| databases.contains_key(name));
    for (name, database) in databases {
        let known = core.group(name);
        let group = known.unwrap_or_else(|| {
            let group = Rc::new(Group::open(core, name));
            core.groups
                .borrow_mut()
                .insert(name.clone(), Rc::clone(&group));
            let cleaning = clean::serve(Rc::downgrade(core), Rc::downgrade(&group));
            ntex::rt::spawn(cleaning);
            group
        });
        group.apply_catalog(core, database);
    }
}

async fn receive_orders(core: Rc<Core>, mut orders: ring::Receiver<Order>) {
    while let Some(order) = orders.recv().await {
        ntex::rt::spawn(control::carry_out(Rc::clone(&core), order));
    }
}

async fn receive_peer_inputs(core: Rc<Core>, mut ins: ring::Receiver<In>) {
    while let Some(input) = ins.recv().await {
        match input {
            In::Members(members) => {
                // An instance that membership has removed may come back.
                core.leaving
                    .borrow_mut()
                    .retain(|it| members.contains_key(it));
                *core.members.borrow_mut() = members;
                let groups: Vec<_> = core.groups.borrow().values().cloned().collect();
                groups.iter().for_each(|group| group.assign(&core));
            }
            In::Asked { .. } | In::Gone { .. } => host::handle(&core, input),
            In::Answered { .. }
            | In::Unsent { .. }
            | In::Leaving { .. }
            | In::Left { .. }
            | In::Down { .. } => {
                remote::handle(&core, input);
            }
        }
    }
}
