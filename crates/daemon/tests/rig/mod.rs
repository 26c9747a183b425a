//! Test rig: a store, a group of upstreams and daemons in one process, on
//! loopback.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use catalog::{
    Catalog,
    layout::Snapshot,
    plan::{Proposal, plan},
};
use daemon::{Daemon, Settings, settings::Args};
use tokio_postgres::{Client, NoTls};

/// The password of the rig's user.
const PASSWORD: &str = "wachtwoord";

/// A running store, group and daemons, all stopped on drop.
pub(crate) struct Rig {
    pub(crate) store: fake::Store,
    pub(crate) group: fake::Group,
    pub(crate) daemons: Vec<Option<Daemon>>,
    applied: Snapshot,
}

/// The text of a catalogue for upstreams at these addresses.
pub(crate) fn catalog_text(addresses: &[SocketAddr]) -> String {
    let verifier = postgres_protocol::password::scram_sha_256(PASSWORD.as_bytes());
    let mut text = format!(
        "[tenant.yard]\nusers = {{ groom = \"{verifier}\" }}\n\n[database.booking]\ndbname = \"booking\"\n"
    );
    for (index, address) in addresses.iter().enumerate() {
        text += &format!(
            "[database.booking.upstream.booking-{index}]\naddress = \"{address}\"\n\
             zone = \"nl-west-{index}\"\nslots = 2\nconnections = 16\n"
        );
    }
    for (entry, class) in [
        (
            "slots",
            "freshness = \"read-your-writes\"\npriority = \"high\"",
        ),
        (
            "calendar",
            "freshness = \"age\"\nstaleness_ms = 2000\nidempotent = true\npriority = \"low\"",
        ),
        ("status", "freshness = \"current\""),
    ] {
        text += &format!(
            "[entry.{entry}]\ntenant = \"yard\"\ndatabase = \"booking\"\n{class}\n\
             connections = 8\nqueue = 100\ndeadline_ms = 5000\n"
        );
    }
    text
}

impl Rig {
    /// Starts `count` daemons for a group of three upstreams.
    pub(crate) fn open(count: usize) -> Self {
        Self::open_with(count, &Args::default())
    }

    /// Starts `count` daemons with these flags for a group of three upstreams.
    pub(crate) fn open_with(count: usize, args: &Args) -> Self {
        let store = fake::Store::spawn().expect("a store");
        let group = fake::Group::spawn(3, &fake::group::Conf::default()).expect("a group");
        let mut rig = Self {
            store,
            group,
            daemons: Vec::new(),
            applied: Snapshot::default(),
        };
        rig.apply(&catalog_text(&rig.group.addresses()));
        for index in 0..count {
            let daemon = Daemon::spawn(&rig.settings(index, args)).expect("a daemon");
            rig.daemons.push(Some(daemon));
        }
        rig
    }

    /// The settings of the daemon with this index.
    pub(crate) fn settings(&self, index: usize, args: &Args) -> Settings {
        let env = BTreeMap::from([
            ("DANDELIONLINK_LISTEN", "127.0.0.1:0".to_owned()),
            ("DANDELIONLINK_OPS", "127.0.0.1:0".to_owned()),
            ("DANDELIONLINK_PEERS", "127.0.0.1:0".to_owned()),
            ("DANDELIONLINK_PEER_KEYS", format!("1:{}", "3c".repeat(32))),
            ("DANDELIONLINK_SEEDS", self.seeds()),
            ("DANDELIONLINK_INSTANCE", format!("entry-{index}")),
            ("DANDELIONLINK_ZONE", format!("nl-west-{}", index % 3)),
            ("DANDELIONLINK_STORE", self.store.address().to_string()),
            (
                "DANDELIONLINK_SESSION_KEYS",
                format!("1:{}", "5a".repeat(32)),
            ),
            ("DANDELIONLINK_UPSTREAM_USER", "proxy".to_owned()),
            ("DANDELIONLINK_DRAIN_MS", "10000".to_owned()),
        ]);
        let env = |name: &str| env.get(name).cloned();
        Settings::read(args, &env).expect("the rig's settings are valid")
    }

    /// Stops a daemon as SIGTERM would, and restarts it at the same address.
    pub(crate) fn restart(&mut self, index: usize) {
        let address = self.address(index);
        if let Some(daemon) = self.daemons[index].take() {
            daemon.stop();
        }
        let mut settings = self.settings(index, &Args::default());
        settings.listen = address;
        self.daemons[index] = Some(Daemon::spawn(&settings).expect("a daemon"));
        // Waits until the daemon is ready, as an operator does before the next
        // restart: it accepts callers once it has the catalogue.
        run(async { drop(connect_at(address).await) });
    }

    /// The peer addresses of the running daemons.
    fn seeds(&self) -> String {
        let running = self.daemons.iter().flatten();
        running
            .map(|it| it.peers().to_string())
            .collect::<Vec<_>>()
            .join(",")
    }

    /// Writes a catalogue to the store, as the command-line tool does.
    pub(crate) fn apply(&mut self, text: &str) {
        let catalog = Catalog::parse(text).expect("the rig's catalogue is valid");
        let proposal = Proposal {
            change: catalog::head::Id(u128::from(self.applied.revision) + 1),
            author: "rig".to_owned(),
            message: "test".to_owned(),
            time: String::new(),
        };
        let plan = plan(&self.applied, &catalog, proposal).expect("a plan");
        for key in &plan.txn.deletes {
            self.store.remove(key);
        }
        // The head is written last: daemons read the catalogue when the head
        // changes.
        let (heads, others): (Vec<_>, Vec<_>) = plan
            .txn
            .puts
            .iter()
            .partition(|put| put.key.ends_with("/head"));
        for put in others.into_iter().chain(heads) {
            self.store.put(&put.key, &put.value);
        }
        let revision = self.store.revision();
        self.applied = Snapshot {
            catalog,
            head: Some(plan.head),
            revision,
        };
    }

    /// The revision of the last applied catalogue.
    pub(crate) fn revision(&self) -> u64 {
        self.applied.revision
    }

    /// The address for callers of a daemon.
    pub(crate) fn address(&self, index: usize) -> SocketAddr {
        self.daemons[index]
            .as_ref()
            .expect("a running daemon")
            .callers()
    }

    /// Connects to a daemon in a single attempt, with the client configuration
    /// changed by `change`.
    pub(crate) async fn connect_with(
        &self,
        index: usize,
        entry: &str,
        change: impl FnOnce(&mut tokio_postgres::Config),
    ) -> Result<Client, tokio_postgres::Error> {
        let mut config = self.config(index, entry);
        change(&mut config);
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// The client configuration for `entry`.
    pub(crate) fn config(&self, index: usize, entry: &str) -> tokio_postgres::Config {
        let address = self.address(index);
        let mut config = tokio_postgres::Config::new();
        config
            .host("127.0.0.1")
            .port(address.port())
            .user("groom")
            .password(PASSWORD)
            .dbname(entry);
        config
    }

    /// Connects to a daemon as a caller of `entry`, retrying until it has the
    /// catalogue.
    pub(crate) async fn connect(&self, index: usize, entry: &str) -> Client {
        let config = self.config(index, entry);
        for _ in 0..200 {
            if let Ok((client, connection)) = config.connect(NoTls).await {
                tokio::spawn(connection);
                return client;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no connection to daemon {index}");
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for daemon in self.daemons.drain(..).flatten() {
            daemon.kill();
        }
    }
}

/// Runs a test's future on a new runtime.
pub(crate) fn run<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(future)
}

/// Connects to a daemon's address, retrying until it accepts the caller.
async fn connect_at(address: SocketAddr) -> Client {
    let mut config = tokio_postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(address.port())
        .user("groom")
        .password(PASSWORD)
        .dbname("slots");
    for _ in 0..1_000 {
        if let Ok((client, connection)) = config.connect(NoTls).await {
            tokio::spawn(connection);
            return client;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no connection to {address}");
}

/// Writes keys through one daemon until `stop` is set, reconnecting when the
/// daemon stops. Returns the number of keys written.
///
/// # Panics
///
/// Panics if a request is interrupted: its outcome is unknown, or it was
/// written although it failed.
pub(crate) async fn write_until(address: SocketAddr, stop: Arc<AtomicBool>) -> usize {
    let mut client = connect_at(address).await;
    let mut written = 0;
    while !stop.load(Ordering::Relaxed) {
        let key = format!("{}-{written}", address.port());
        let insert = "INSERT INTO kv (key, value) VALUES ($1, 'x')";
        match client.execute(insert, &[&key]).await {
            Ok(_) => written += 1,
            Err(error) => match error.code().map(|state| state.code().to_owned()) {
                None => client = connect_at(address).await,
                Some(state) if state == "57P01" => client = connect_at(address).await,
                Some(state) if state == "DL001" => {}
                Some(state) => panic!("{key} was interrupted: {state} {error:?}"),
            },
        }
    }
    written
}
