//! The store's duty: calls the platform's store for the catalogue and the
//! records of primaries.

mod client;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use clock::Clock;
use failover::{Call, Entry, StoreFault};
use fleet::{HEAD, RANGE_END, RANGE_START, Request};
use model::{Record, name};
use store::{Answer, Compare, Event, Fault, Gateway, Pair, Put};
use tokio::sync::oneshot;
use wire::Change;

use crate::{
    duty::{self, Phase, Watch},
    introspect::Requests,
    peers::{full_key, short_key},
    ring,
};

use client::Client;

/// Key prefix of the records of primaries, one for each database.
pub(crate) const PRIMARIES: &str = "dandelionlink/primary/";

/// Timeout of a call to the store.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Request of the control duty.
#[derive(Debug)]
pub(crate) enum RecordRequest {
    /// Read a database's record.
    Read {
        /// The database.
        database: name::Database,
        /// Id that the answer repeats.
        call: Call,
    },
    /// Replace a database's record if its revision is the expected one.
    Swap {
        /// The database.
        database: name::Database,
        /// Id that the answer repeats.
        call: Call,
        /// Expected revision; 0 if there must be no record.
        expected: u64,
        /// The new record.
        record: Record,
    },
}

/// Answer to the control duty.
#[derive(Debug)]
pub(crate) enum RecordResponse {
    /// Answer to [`RecordRequest::Read`].
    Read {
        /// The database.
        database: name::Database,
        /// Id of the request.
        call: Call,
        /// Record, if there is one.
        result: Result<Option<Entry>, StoreFault>,
    },
    /// Answer to [`RecordRequest::Swap`].
    Swapped {
        /// The database.
        database: name::Database,
        /// Id of the request.
        call: Call,
        /// New revision of the record.
        result: Result<u64, StoreFault>,
    },
}

/// The store's answer to a call of the fleet state machine.
#[derive(Debug)]
pub(crate) struct FleetAnswer {
    /// Id of the request.
    pub(crate) call: fleet::Call,
    /// Answer of the store.
    pub(crate) answer: fleet::Answer,
}

/// Configuration of the store's duty.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Address of the store's gateway.
    pub(crate) endpoint: SocketAddr,
    /// The machine's clock.
    pub(crate) clock: Clock,
    /// Requests of the control duty.
    pub(crate) requests: ring::Receiver<RecordRequest>,
    /// Answers to the control duty.
    pub(crate) responses: ring::Sender<RecordResponse>,
    /// Calls of the peers' duty.
    pub(crate) calls: ring::Receiver<fleet::Store>,
    /// Answers to the peers' duty.
    pub(crate) answers: ring::Sender<FleetAnswer>,
    /// Requests of the operators' port.
    pub(crate) inquiries: Requests<view::Store>,
    /// The daemon's phase.
    pub(crate) watch: Watch,
}

/// Runs the duty until the daemon stops.
pub(crate) async fn run(conf: Conf) {
    let responses = ring::Shared::new(conf.responses);
    let answers = Answers(ring::Shared::new(conf.answers));
    let Ok(gateway) = Gateway::open(conf.endpoint, TIMEOUT).await else {
        log::error!(duty = "store"; "can't create the store's client");
        return;
    };
    let store = Client::open(gateway, conf.clock);
    ntex::rt::spawn(serve_records(store.clone(), conf.requests, responses));
    ntex::rt::spawn(serve_inquiries(store.clone(), conf.inquiries));
    ntex::rt::spawn(serve_calls(store, conf.calls, answers));
    let mut watch = conf.watch;
    duty::wait_for(&mut watch, Phase::Stop).await;
}

async fn serve_inquiries(store: Client, mut inquiries: Requests<view::Store>) {
    while let Some(answer) = inquiries.recv().await {
        let _ = answer.send(store.view());
    }
}

async fn serve_records(
    store: Client,
    mut requests: ring::Receiver<RecordRequest>,
    responses: ring::Shared<RecordResponse>,
) {
    while let Some(request) = requests.recv().await {
        let (store, responses) = (store.clone(), responses.clone());
        ntex::rt::spawn(async move {
            let answer = match request {
                RecordRequest::Read { database, call } => {
                    let result = read(&store, &database).await;
                    RecordResponse::Read {
                        database,
                        call,
                        result,
                    }
                }
                RecordRequest::Swap {
                    database,
                    call,
                    expected,
                    record,
                } => {
                    let result = swap(&store, &database, expected, &record).await;
                    RecordResponse::Swapped {
                        database,
                        call,
                        result,
                    }
                }
            };
            responses.send(answer).await;
        });
    }
}

fn key(database: &name::Database) -> String {
    format!("{PRIMARIES}{database}")
}

async fn read(store: &Client, database: &name::Database) -> Result<Option<Entry>, StoreFault> {
    let key = key(database);
    let call = store::Call::Range {
        prefix: key.clone(),
    };
    let Ok(Answer::Pairs { pairs, .. }) = store.call(&call).await else {
        return Err(StoreFault::Unanswered);
    };
    // The range also contains keys of databases whose names begin with this
    // one's.
    let found = pairs.iter().find(|pair| pair.key == key);
    Ok(found.and_then(entry))
}

async fn swap(
    store: &Client,
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
    match store.call(&call).await {
        Ok(Answer::Swapped { revision }) => Ok(revision),
        Ok(Answer::Conflict { .. }) => Err(StoreFault::Conflict),
        // This includes faults that prove that the swap did not run: the state
        // machine then reads the record back, which costs one call and is
        // always correct. A conflict would mean that another instance has
        // changed the record.
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

/// Serves calls of the fleet state machine until the daemon stops.
async fn serve_calls(store: Client, mut calls: ring::Receiver<fleet::Store>, answers: Answers) {
    let mut watches: HashMap<fleet::Call, oneshot::Sender<()>> = HashMap::new();
    while let Some(fleet::Store { call, request }) = calls.recv().await {
        let (store, answers) = (store.clone(), answers.clone());
        match request {
            Request::Range => {
                ntex::rt::spawn(async move { answers.send(call, range(&store).await).await });
            }
            Request::Head => {
                ntex::rt::spawn(async move { answers.send(call, head(&store).await).await });
            }
            Request::Watch { from } => {
                let (stop, stopped) = oneshot::channel();
                watches.retain(|_, other| !other.is_closed());
                watches.insert(call, stop);
                ntex::rt::spawn(async move {
                    tokio::select! {
                        answer = watch(&store, from, call, &answers) => {
                            answers.send(call, answer).await;
                        }
                        _ = stopped => {}
                    }
                });
            }
            Request::Unwatch => drop(watches.remove(&call)),
        }
    }
}

/// Sends answers to the peers' duty.
#[derive(Clone)]
struct Answers(ring::Shared<FleetAnswer>);

impl Answers {
    async fn send(&self, call: fleet::Call, answer: fleet::Answer) {
        self.0.send(FleetAnswer { call, answer }).await;
    }
}

async fn range(store: &Client) -> fleet::Answer {
    let span = store::Call::Span {
        from: full_key(RANGE_START),
        to: full_key(RANGE_END),
    };
    match store.call(&span).await {
        Ok(Answer::Pairs { pairs, revision }) => {
            let changes = pairs.into_iter().filter_map(put).collect();
            fleet::Answer::Range { revision, changes }
        }
        Ok(_) | Err(_) => fleet::Answer::Down,
    }
}

async fn head(store: &Client) -> fleet::Answer {
    let key = full_key(HEAD);
    let call = store::Call::Range {
        prefix: key.clone(),
    };
    match store.call(&call).await {
        Ok(Answer::Pairs { pairs, revision }) => {
            let written = pairs.iter().find(|it| it.key == key).map(|it| it.revision);
            fleet::Answer::Head { revision, written }
        }
        Ok(_) | Err(_) => fleet::Answer::Down,
    }
}

/// Passes on changes from a watch until the watch ends, and returns the reason.
async fn watch(store: &Client, from: u64, call: fleet::Call, answers: &Answers) -> fleet::Answer {
    let (first, past) = (full_key(RANGE_START), full_key(RANGE_END));
    let Ok(mut watch) = store.watch(&first, &past, from).await else {
        return fleet::Answer::Down;
    };
    let mut announced = false;
    loop {
        let (events, revision) = match watch.next().await {
            Ok(found) => found,
            Err(Fault::Compacted { .. }) => return fleet::Answer::Compacted,
            Err(fault) => {
                log::warn!(duty = "store"; "watch of the store failed: {fault}");
                return fleet::Answer::Down;
            }
        };
        if !announced {
            announced = true;
            answers
                .send(call, fleet::Answer::Watching { revision })
                .await;
        }
        for (revision, changes) in by_revision(events) {
            answers
                .send(call, fleet::Answer::Changes { revision, changes })
                .await;
        }
    }
}

/// Groups changes by revision: a revision is applied whole or not at all.
fn by_revision(events: Vec<Event>) -> BTreeMap<u64, Vec<Change>> {
    let mut found: BTreeMap<u64, Vec<Change>> = BTreeMap::new();
    for event in events {
        let change = match event {
            Event::Put(pair) => put(pair),
            Event::Delete { key, revision } => short_key(&key).map(|key| Change {
                key: key.into(),
                revision,
                value: None,
            }),
        };
        if let Some(change) = change {
            found.entry(change.revision).or_default().push(change);
        }
    }
    found
}

fn put(pair: Pair) -> Option<Change> {
    let key = short_key(&pair.key)?.into();
    Some(Change {
        key,
        revision: pair.revision,
        value: Some(pair.value.into()),
    })
}
