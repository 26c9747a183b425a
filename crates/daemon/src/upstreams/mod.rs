//! The upstreams' duty: where requests run, and what is known of each group.

mod ack;
mod choose;
mod clean;
mod control;
mod exchange;
mod group;
mod host;
mod line;
mod lines;
mod once;
mod pace;
mod plan;
mod remote;
mod run;
mod running;
mod sink;
mod site;
mod view;
mod within;

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

use group::Group;
use line::Line;
use remote::Pending;
use running::Running;

/// How often the duty looks whether all requests have ended during a stop.
const DRAIN_STEP: Duration = Duration::from_millis(5);

/// How long nothing must have run before a stop goes on.
const DRAIN_QUIET: Duration = Duration::from_millis(300);

/// How long the last words to other instances have until the streams close.
const BYE: Duration = Duration::from_millis(50);

/// What the upstreams' duty is given.
#[derive(Debug)]
pub(crate) struct Conf {
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// This instance's availability zone.
    pub(crate) zone: name::Zone,
    /// How the proxy logs in to upstreams.
    pub(crate) login: Login,
    /// This instance.
    pub(crate) instance: name::Instance,
    /// To the peers' duty.
    pub(crate) outs: ring::Sender<Out>,
    /// From the peers' duty.
    pub(crate) ins: ring::Receiver<In>,
    /// From the callers' duty.
    pub(crate) commands: ring::Receiver<Command>,
    /// To the callers' duty.
    pub(crate) replies: ring::Sender<Reply>,
    /// From the control duty.
    pub(crate) orders: ring::Receiver<Order>,
    /// To the control duty.
    pub(crate) answers: ring::Sender<Answer>,
    /// Where requests are counted.
    pub(crate) meters: Meters,
    /// What operators ask.
    pub(crate) inquiries: Requests<introspect::Groups>,
    /// The daemon's phase.
    pub(crate) watch: Watch,
    /// Where the random numbers begin.
    pub(crate) seed: u64,
}

/// What a caller's transaction or open batch holds.
enum Pin {
    /// A connection.
    Open {
        /// The connection.
        line: Box<Line>,
        /// The database.
        group: Rc<Group>,
    },
    /// A connection of another instance.
    Remote {
        /// The instance.
        to: name::Instance,
        /// The command that began the transaction.
        pin: Seq,
        /// The database.
        group: Rc<Group>,
    },
    /// Nothing: its connection is gone, and the caller has not ended it yet.
    Failed,
}

/// What the tasks of the duty share.
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
    tickets: Cell<u64>,
    /// How many commands of other instances are being carried out.
    taken: Cell<usize>,
    /// Whether no command of another instance is taken any more.
    closed: Cell<bool>,
    seqs: Cell<Seq>,
    /// The instances that may be given work, with their zones.
    members: RefCell<BTreeMap<name::Instance, name::Zone>>,
    /// Those of them that have said that they are stopping.
    leaving: RefCell<BTreeSet<name::Instance>>,
    /// Commands to other instances that wait for answers.
    pending: RefCell<HashMap<Seq, Pending>>,
    /// Batches that run here for other instances.
    hosted: RefCell<HashMap<(Conn, Seq), Rc<Running>>>,
    /// Connections that transactions of other instances hold.
    guests: RefCell<HashMap<(Conn, Seq), Box<Line>>>,
}

impl Core {
    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn ticket(&self) -> pool::Ticket {
        self.tickets.set(self.tickets.get() + 1);
        pool::Ticket(self.tickets.get())
    }

    fn next_seq(&self) -> Seq {
        self.seqs.set(self.seqs.get() + 1);
        self.seqs.get()
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
        tickets: Cell::new(0),
        taken: Cell::new(0),
        closed: Cell::new(false),
        seqs: Cell::new(0),
        meters: conf.meters,
        members: RefCell::default(),
        leaving: RefCell::default(),
        pending: RefCell::default(),
        hosted: RefCell::default(),
        guests: RefCell::default(),
    });
    ntex::rt::spawn(take_ins(Rc::clone(&core), conf.ins));
    ntex::rt::spawn(take_commands(Rc::clone(&core), conf.commands));
    ntex::rt::spawn(view::serve(Rc::clone(&core), conf.inquiries));
    ntex::rt::spawn(take_orders(Rc::clone(&core), conf.orders));
    let mut watch = conf.watch;
    duty::wait_for(&mut watch, Phase::Drain).await;
    core.outs.send(Out::Leaving).await;
    // The callers' duty ends first and may ask on behalf of a caller until then.
    duty::wait_for(&mut watch, Phase::Settle).await;
    tokio::select! {
        () = drained(&core) => {}
        // What still runs is cut, and its end must not be told as "not run".
        () = duty::wait_for(&mut watch, Phase::Stop) => return,
    }
    core.closed.set(true);
    core.outs.send(Out::Bye).await;
    sleep(BYE).await;
}

/// Waits until nothing has run here for a while.
///
/// Other instances learn that this one leaves a little later, and go on to send
/// their batches until then: a stop in between would cut them.
async fn drained(core: &Core) {
    let mut quiet = core.now();
    while core.now().since(quiet) < DRAIN_QUIET {
        sleep(DRAIN_STEP).await;
        let own = core.running.borrow().is_empty() && core.pins.borrow().is_empty();
        let others = core.taken.get() == 0 && core.guests.borrow().is_empty();
        if !own || !others {
            quiet = core.now();
        }
    }
}

async fn take_commands(core: Rc<Core>, mut commands: ring::Receiver<Command>) {
    while let Some(ask) = commands.recv().await {
        match ask {
            Command::Run(job) => drop(ntex::rt::spawn(run::serve(Rc::clone(&core), *job))),
            Command::Leave(caller) => run::leave(&core, caller),
            Command::Taken { caller, seq } => run::taken(&core, caller, seq),
            Command::Cancel { caller, seq } => run::cancel(&core, caller, seq),
            Command::Catalog(snapshot) => follow(&core, &snapshot),
        }
    }
}

/// Brings the groups in line with the catalogue.
fn follow(core: &Rc<Core>, snapshot: &Arc<Snapshot>) {
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
        group.follow(core, database);
    }
}

async fn take_orders(core: Rc<Core>, mut orders: ring::Receiver<Order>) {
    while let Some(order) = orders.recv().await {
        ntex::rt::spawn(control::carry_out(Rc::clone(&core), order));
    }
}

async fn take_ins(core: Rc<Core>, mut ins: ring::Receiver<In>) {
    while let Some(input) = ins.recv().await {
        match input {
            In::Members(members) => {
                // One that membership has let go of may come back.
                core.leaving
                    .borrow_mut()
                    .retain(|it| members.contains_key(it));
                *core.members.borrow_mut() = members;
                let groups: Vec<_> = core.groups.borrow().values().cloned().collect();
                groups.iter().for_each(|group| group.assign(&core));
            }
            In::Asked { .. } | In::Gone { .. } => host::take(&core, input),
            In::Answered { .. }
            | In::Unsent { .. }
            | In::Leaving { .. }
            | In::Left { .. }
            | In::Down { .. } => {
                remote::take(&core, input);
            }
        }
    }
}
