//! The store's duty: the catalogue and the primaries' records.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use catalog::layout::{self, Snapshot};
use clock::Clock;
use failover::{Call, Entry, StoreFault};
use model::{Record, name};
use ntex::time::sleep;
use store::{Answer, Compare, Edge, Event, Fault, Gateway, Pair, Put};

use crate::{
    duty::{self, Phase, Watch},
    ring,
};

/// Below it is one key for each database, with its primary's record.
pub(crate) const PRIMARIES: &str = "dandelionlink/primary/";

/// How long a call to the store may take.
const TIMEOUT: Duration = Duration::from_millis(500);

/// How long until a watch that broke is opened again, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MOST_PAUSE: Duration = Duration::from_secs(2);

/// What the control duty asks of the store.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Read a database's record.
    Read {
        /// The database.
        database: name::Database,
        /// To answer with.
        call: Call,
    },
    /// Replace a database's record if it is still at a revision.
    Swap {
        /// The database.
        database: name::Database,
        /// To answer with.
        call: Call,
        /// The revision it must have; 0 when there must be none.
        expected: u64,
        /// The new record.
        record: Record,
    },
}

/// What the control duty is told.
#[derive(Debug)]
pub(crate) enum Told {
    /// The catalogue that is in force now.
    Catalog(Arc<Snapshot>),
    /// The store's catalogue can't be put in force; the last one stays.
    Held {
        /// Why.
        error: String,
    },
    /// To [`Ask::Read`].
    Read {
        /// The database.
        database: name::Database,
        /// What was asked.
        call: Call,
        /// The record.
        result: Result<Option<Entry>, StoreFault>,
    },
    /// To [`Ask::Swap`].
    Swapped {
        /// The database.
        database: name::Database,
        /// What was asked.
        call: Call,
        /// The record's new revision.
        result: Result<u64, StoreFault>,
    },
    /// A watch showed a record.
    Seen {
        /// The database.
        database: name::Database,
        /// The record.
        entry: Entry,
    },
    /// Whether the store answers.
    Reach(Reach),
}

/// Whether the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// It does.
    Up,
    /// It does not.
    Down,
}

/// What the store's duty is given.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Where the store's gateway is.
    pub(crate) endpoint: SocketAddr,
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// From the control duty.
    pub(crate) asks: ring::Receiver<Ask>,
    /// To the control duty.
    pub(crate) told: ring::Sender<Told>,
    /// To the callers' duty.
    pub(crate) catalogs: ring::Sender<Arc<Snapshot>>,
    /// The daemon's phase.
    pub(crate) watch: Watch,
}

/// Runs the duty until the daemon stops.
pub(crate) async fn run(conf: Conf) {
    let told = ring::Shared::new(conf.told);
    let catalogs = ring::Shared::new(conf.catalogs);
    let Ok(gateway) = Gateway::open(conf.endpoint, TIMEOUT).await else {
        log::error!(duty = "store"; "the store's client could not be made");
        return;
    };
    ntex::rt::spawn(take_asks(gateway.clone(), conf.asks, told.clone()));
    ntex::rt::spawn(follow_primaries(gateway.clone(), told.clone()));
    let mut watch = conf.watch;
    tokio::select! {
        () = follow_catalog(gateway, told, catalogs) => {}
        () = duty::reached(&mut watch, Phase::Stop) => {}
    }
}

async fn take_asks(gateway: Gateway, mut asks: ring::Receiver<Ask>, told: ring::Shared<Told>) {
    while let Some(ask) = asks.recv().await {
        let (gateway, told) = (gateway.clone(), told.clone());
        ntex::rt::spawn(async move {
            let answer = match ask {
                Ask::Read { database, call } => {
                    let result = read(&gateway, &database).await;
                    Told::Read {
                        database,
                        call,
                        result,
                    }
                }
                Ask::Swap {
                    database,
                    call,
                    expected,
                    record,
                } => {
                    let result = swap(&gateway, &database, expected, &record).await;
                    Told::Swapped {
                        database,
                        call,
                        result,
                    }
                }
            };
            told.send(answer).await;
        });
    }
}

fn key(database: &name::Database) -> String {
    format!("{PRIMARIES}{database}")
}

async fn read(gateway: &Gateway, database: &name::Database) -> Result<Option<Entry>, StoreFault> {
    let key = key(database);
    let call = store::Call::Range {
        prefix: key.clone(),
    };
    let Ok(Answer::Pairs { pairs, .. }) = gateway.call(&call).await else {
        return Err(StoreFault::Unanswered);
    };
    // The range has the keys of databases whose names begin with this one's.
    let found = pairs.iter().find(|pair| pair.key == key);
    Ok(found.and_then(entry))
}

async fn swap(
    gateway: &Gateway,
    database: &name::Database,
    expected: u64,
    record: &Record,
) -> Result<u64, StoreFault> {
    let key = key(database);
    let value = serde_json::to_vec(record).map_err(|_| StoreFault::Unanswered)?;
    let call = store::Call::Txn {
        compares: vec![Compare {
            key: key.clone(),
            revision: expected,
        }],
        puts: vec![Put {
            key,
            value,
            lease: None,
        }],
        deletes: Vec::new(),
    };
    match gateway.call(&call).await {
        Ok(Answer::Swapped { revision }) => Ok(revision),
        Ok(Answer::Conflict { .. }) => Err(StoreFault::Conflict),
        Ok(_) | Err(_) => Err(StoreFault::Unanswered),
    }
}

fn entry(pair: &Pair) -> Option<Entry> {
    let record = serde_json::from_slice(&pair.value).ok()?;
    Some(Entry {
        revision: pair.revision,
        record,
    })
}

/// Waits a little longer after each failure in a row.
async fn back_off(pause: &mut Duration) {
    sleep(*pause).await;
    *pause = (*pause * 2).min(MOST_PAUSE);
}

/// Reads all primaries' records, and then each change as a watch shows it.
async fn follow_primaries(gateway: Gateway, told: ring::Shared<Told>) {
    let mut pause = FIRST_PAUSE;
    loop {
        if watch_primaries(&gateway, &told, &mut pause).await.is_err() {
            back_off(&mut pause).await;
        }
    }
}

async fn watch_primaries(
    gateway: &Gateway,
    told: &ring::Shared<Told>,
    pause: &mut Duration,
) -> Result<(), Fault> {
    let range = store::Call::Range {
        prefix: PRIMARIES.to_owned(),
    };
    let Answer::Pairs { pairs, revision } = gateway.call(&range).await? else {
        return Ok(());
    };
    for pair in &pairs {
        see(told, pair).await;
    }
    let mut watch = gateway.watch(PRIMARIES, revision + 1).await?;
    *pause = FIRST_PAUSE;
    loop {
        for event in watch.next().await?.0 {
            if let Event::Put(pair) = event {
                see(told, &pair).await;
            }
        }
    }
}

async fn see(told: &ring::Shared<Told>, pair: &Pair) {
    let database = pair
        .key
        .strip_prefix(PRIMARIES)
        .and_then(|it| name::Database::new(it).ok());
    if let (Some(database), Some(entry)) = (database, entry(pair)) {
        told.send(Told::Seen { database, entry }).await;
    }
}

/// Reads the catalogue, and reads it again whenever a watch shows a change.
async fn follow_catalog(
    gateway: Gateway,
    told: ring::Shared<Told>,
    catalogs: ring::Shared<Arc<Snapshot>>,
) {
    let mut pause = FIRST_PAUSE;
    let mut force = Force {
        told,
        catalogs,
        revision: 0,
    };
    loop {
        if let Err(fault) = watch_catalog(&gateway, &mut force, &mut pause).await {
            force.told.send(Told::Reach(Reach::Down)).await;
            log::warn!(duty = "store"; "the catalogue's watch broke: {fault}");
            back_off(&mut pause).await;
        }
    }
}

/// What is in force at this instance.
struct Force {
    told: ring::Shared<Told>,
    catalogs: ring::Shared<Arc<Snapshot>>,
    revision: u64,
}

async fn watch_catalog(
    gateway: &Gateway,
    force: &mut Force,
    pause: &mut Duration,
) -> Result<(), Fault> {
    let seen = read_catalog(gateway, force).await?;
    force.told.send(Told::Reach(Reach::Up)).await;
    let mut watch = gateway.watch(layout::PREFIX, seen + 1).await?;
    *pause = FIRST_PAUSE;
    loop {
        let (events, _) = watch.next().await?;
        if !events.is_empty() {
            read_catalog(gateway, force).await?;
        }
    }
}

/// Reads the catalogue and puts it in force if it is newer.
async fn read_catalog(gateway: &Gateway, force: &mut Force) -> Result<u64, Fault> {
    let range = store::Call::Range {
        prefix: layout::PREFIX.to_owned(),
    };
    let Answer::Pairs { pairs, revision } = gateway.call(&range).await? else {
        return Ok(0);
    };
    let pairs: Vec<_> = pairs
        .into_iter()
        .map(|it| layout::Pair {
            key: it.key,
            value: it.value,
            revision: it.revision,
        })
        .collect();
    match layout::decode(&pairs) {
        Ok(snapshot) => force.apply(snapshot).await,
        Err(error) => {
            let error = error.to_string();
            log::error!(duty = "store"; "the catalogue is held back: {error}");
            force.told.send(Told::Held { error }).await;
        }
    }
    Ok(revision)
}

impl Force {
    /// Puts a catalogue in force, unless a later one was seen.
    ///
    /// A store that was restored from a backup shows an older catalogue than
    /// was in force; going back to it would revert an accepted change.
    async fn apply(&mut self, snapshot: Snapshot) {
        if snapshot.revision < self.revision {
            let error = format!(
                "the store went back from revision {} to {}",
                self.revision, snapshot.revision
            );
            log::error!(duty = "store"; "{error}");
            self.told.send(Told::Held { error }).await;
            return;
        }
        if snapshot.revision == self.revision {
            return;
        }
        self.revision = snapshot.revision;
        let snapshot = Arc::new(snapshot);
        self.told.send(Told::Catalog(Arc::clone(&snapshot))).await;
        self.catalogs.send(snapshot).await;
    }
}
