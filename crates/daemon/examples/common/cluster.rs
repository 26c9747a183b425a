//! A store, a group of upstreams and daemons in one process, on loopback.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use catalog::{
    Catalog,
    head::Id,
    layout::Snapshot,
    plan::{self, Plan, Proposal},
};
use daemon::{Daemon, Settings, settings::Args};
use ntex::rt::{DefaultRuntime, System};
use store::{Answer, Call, Compare, Edge, Gateway, Put};

use super::caller::{PASSWORD, USER};

/// The upstreams of the one database.
const UPSTREAMS: usize = 3;

/// The longest that a call to the store takes.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// What the examples vary.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conf {
    /// How many daemons run.
    pub(crate) daemons: usize,
    /// How many callers each daemon takes.
    pub(crate) callers: usize,
    /// How many connections each upstream takes.
    pub(crate) connections: usize,
    /// Where random choices begin.
    pub(crate) seed: u64,
}

/// The parts, running.
pub(crate) struct Cluster {
    /// The platform's store.
    pub(crate) store: fake::Store,
    /// The database's upstreams; the first is primary.
    pub(crate) group: fake::Group,
    /// The daemons.
    pub(crate) daemons: Vec<Daemon>,
    /// The revision of the catalogue.
    pub(crate) revision: u64,
}

impl Cluster {
    /// Starts all parts and applies the catalogue.
    ///
    /// # Errors
    ///
    /// Tells which part did not start.
    pub(crate) fn open(conf: Conf) -> anyhow::Result<Self> {
        let store = fake::Store::spawn().context("the store did not start")?;
        let group_conf = fake::group::Conf {
            connections: conf.connections,
            ..fake::group::Conf::default()
        };
        let group = fake::Group::spawn(UPSTREAMS, &group_conf)
            .context("the group of upstreams did not start")?;
        let text = catalog_text(&group.addresses(), conf.connections);
        let revision = apply(store.address(), &text).context("the catalogue was not applied")?;
        let mut daemons: Vec<Daemon> = Vec::new();
        for index in 0..conf.daemons {
            let seeds: Vec<_> = daemons.iter().map(Daemon::peers).collect();
            let settings = settings(index, store.address(), &seeds, conf)?;
            daemons.push(Daemon::spawn(&settings).context("a daemon did not start")?);
        }
        Ok(Self {
            store,
            group,
            daemons,
            revision,
        })
    }

    /// Stops the daemons as SIGTERM would, and the rest after them.
    pub(crate) fn stop(self) {
        self.daemons.into_iter().for_each(Daemon::stop);
    }
}

/// The catalogue, for upstreams at these addresses.
pub(crate) fn catalog_text(addresses: &[SocketAddr], connections: usize) -> String {
    let verifier = postgres_protocol::password::scram_sha_256(PASSWORD.as_bytes());
    let mut text = format!(
        "[tenant.yard]\nusers = {{ {USER} = \"{verifier}\" }}\n\n\
         [database.booking]\ndbname = \"booking\"\n"
    );
    for (index, address) in addresses.iter().enumerate() {
        text += &format!(
            "\n[database.booking.upstream.booking-{index}]\naddress = \"{address}\"\n\
             zone = \"{}\"\nslots = 2\nconnections = {connections}\n",
            zone(index)
        );
    }
    text += &entry(
        "slots",
        "freshness = \"read-your-writes\"\npriority = \"high\"",
    );
    text += &entry(
        "calendar",
        "freshness = \"age\"\nstaleness_ms = 2000\nidempotent = true\npriority = \"low\"",
    );
    text
}

fn entry(name: &str, class: &str) -> String {
    format!(
        "\n[entry.{name}]\ntenant = \"yard\"\ndatabase = \"booking\"\n{class}\n\
         connections = 8\nqueue = 100\ndeadline_ms = 5000\n"
    )
}

/// The availability zone of an upstream, and of the daemon beside it.
pub(crate) fn zone(index: usize) -> String {
    format!("nl-west-{}", index + 1)
}

/// Puts `text` in force by one conditional transaction, as `dandelionlink
/// apply` does, and returns the revision that it made.
fn apply(store: SocketAddr, text: &str) -> anyhow::Result<u64> {
    let catalog = Catalog::parse(text)?;
    let proposal = Proposal {
        change: Id(1),
        author: "example".to_owned(),
        message: "a first catalogue".to_owned(),
        time: String::new(),
    };
    let plan = plan::plan(&Snapshot::default(), &catalog, proposal)?;
    let system = System::new("apply", DefaultRuntime);
    system.block_on(async move {
        let gateway = Gateway::open(store, STORE_TIMEOUT).await?;
        match gateway.call(&transaction(plan)).await? {
            Answer::Swapped { revision } => Ok(revision),
            other => bail!("the store answered {other:?}"),
        }
    })
}

fn transaction(plan: Plan) -> Call {
    let compares = plan.txn.compares.into_iter().map(|it| Compare {
        key: it.key,
        revision: it.revision,
    });
    let puts = plan.txn.puts.into_iter().map(|it| Put {
        key: it.key,
        value: it.value,
        lease: None,
    });
    Call::Txn {
        compares: compares.collect(),
        puts: puts.collect(),
        deletes: plan.txn.deletes,
    }
}

/// The settings of a daemon, as its environment would give them.
fn settings(
    index: usize,
    store: SocketAddr,
    seeds: &[SocketAddr],
    conf: Conf,
) -> anyhow::Result<Settings> {
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    let env = BTreeMap::from([
        ("DANDELIONLINK_LISTEN", "127.0.0.1:0".to_owned()),
        ("DANDELIONLINK_OPS", "127.0.0.1:0".to_owned()),
        ("DANDELIONLINK_PEERS", "127.0.0.1:0".to_owned()),
        ("DANDELIONLINK_PEER_KEYS", format!("1:{}", "3c".repeat(32))),
        ("DANDELIONLINK_SEEDS", seeds.join(",")),
        ("DANDELIONLINK_INSTANCE", format!("entry-{}", index + 1)),
        ("DANDELIONLINK_ZONE", zone(index)),
        ("DANDELIONLINK_STORE", store.to_string()),
        (
            "DANDELIONLINK_SESSION_KEYS",
            format!("1:{}", "5a".repeat(32)),
        ),
        ("DANDELIONLINK_UPSTREAM_USER", "proxy".to_owned()),
        ("DANDELIONLINK_CALLERS", conf.callers.to_string()),
        ("DANDELIONLINK_DRAIN_MS", "2000".to_owned()),
        ("DANDELIONLINK_SEED", conf.seed.to_string()),
    ]);
    Settings::read(&Args::default(), &|name| env.get(name).cloned()).map_err(|faults| {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", faults.join("; "))
    })
}
