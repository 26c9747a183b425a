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

/// Number of upstreams of the database.
const UPSTREAMS: usize = 3;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Configuration of an example's cluster.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conf {
    /// Number of daemons.
    pub(crate) daemons: usize,
    /// Limit on each daemon's callers.
    pub(crate) callers: usize,
    /// Limit on each upstream's connections.
    pub(crate) connections: usize,
    /// Seed of the random number generators.
    pub(crate) seed: u64,
}

/// A running store, group of upstreams and daemons.
pub(crate) struct Cluster {
    /// The simulated store.
    pub(crate) store: fake::Store,
    /// The database's upstreams; the first one is the initial primary.
    pub(crate) group: fake::Group,
    /// The daemons.
    pub(crate) daemons: Vec<Daemon>,
    /// The revision of the applied catalogue.
    pub(crate) revision: u64,
}

impl Cluster {
    /// Starts the store, the upstreams and the daemons, and applies the
    /// catalogue.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't be started, or if the catalogue can't be
    /// applied.
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

    /// Stops the daemons as SIGTERM would, and then the rest.
    pub(crate) fn stop(self) {
        self.daemons.into_iter().for_each(Daemon::stop);
    }
}

/// The text of a catalogue for upstreams at these addresses.
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

/// The availability zone of the upstream and the daemon with this index.
pub(crate) fn zone(index: usize) -> String {
    format!("nl-west-{}", index + 1)
}

/// Applies the catalogue `text` in one conditional transaction, as
/// `dandelionlink apply` does, and returns its revision.
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
            other => bail!("unexpected answer of the store: {other:?}"),
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

/// Reads a daemon's settings from environment variables made for it.
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
