//! A stand-in for the platform's metadata store, over HTTP/1.1.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::http::{self, Request, Response};

/// Time that an answer of the store takes, as in the site file.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn new() -> Self {
        let state = State {
            revision: 10,
            next_lease: 100,
            ..State::default()
        };
        let store = Self(Arc::new((Mutex::new(state), Condvar::new())));
        let reaper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                reaper.reap();
            }
        });
        store
    }

    fn reap(&self) {
        let mut state = self.0.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            end_lease(&mut state, lease);
        }
        self.0.1.notify_all();
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        put(&mut state, key, value.to_string().into_bytes(), 0);
        self.0.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        if state.items.contains_key(key) {
            state.revision += 1;
            delete(&mut state, key);
        }
        self.0.1.notify_all();
    }

    pub fn serve(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match (&*request.method, &*request.path) {
            ("GET", "/api/kv-key") => self.key(&request.query),
            ("GET", "/api/kv-range") => self.range(&request.query),
            ("GET", "/api/kv-watch") => self.watch(&request.query),
            ("POST", "/api/kv-txn") => self.txn(&body),
            ("POST", "/api/kv-lease") => self.grant(&body),
            ("POST", path) if path.starts_with("/api/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => self.end(path),
            _ => Response::new(404, json!({})),
        }
    }

    fn key(&self, query: &HashMap<String, String>) -> Response {
        let state = self.0.0.lock().unwrap();
        let key = query.get("key").cloned().unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let mut body = shown(&key, item);
                body["atRev"] = json!(state.revision);
                Response::new(200, body)
            }
            None => Response::new(404, json!({})),
        }
    }

    fn range(&self, query: &HashMap<String, String>) -> Response {
        let state = self.0.0.lock().unwrap();
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let found: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .collect();
        let truncated = found.len() > 500;
        let items: Vec<Value> = found
            .iter()
            .take(500)
            .map(|(key, item)| shown(key, item))
            .collect();
        Response::new(
            200,
            json!({"items": items, "truncated": truncated, "atRev": state.revision}),
        )
    }

    fn watch(&self, query: &HashMap<String, String>) -> Response {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok());
        let (after, wait) = (
            number("after").unwrap_or(0),
            number("waitMs").unwrap_or(0).min(30_000),
        );
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.0.0.lock().unwrap();
        loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => shown(key, item),
                    None => json!({"key": key, "revision": revision, "tombstone": true}),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return Response::new(200, json!({"events": events, "atRev": state.revision}));
            }
            state = self.0.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn txn(&self, body: &Value) -> Response {
        let empty = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&empty).clone();
        let mut state = self.0.0.lock().unwrap();
        let expected = list("expectedRev");
        let holds = expected.iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            state.items.get(key).map_or(0, |item| item.revision)
                == row["revision"].as_u64().unwrap_or(0)
        });
        if !holds {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = row["key"].as_str()?;
                    Some(shown(key, state.items.get(key)?))
                })
                .collect();
            return Response::new(412, json!({"items": items}));
        }
        let (puts, deletes) = (list("puts"), list("deletes"));
        let lease_of = |put: &Value| put["leaseId"].as_u64().unwrap_or(0);
        if puts
            .iter()
            .any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put)))
        {
            return Response::new(404, json!({}));
        }
        if !puts.is_empty() || !deletes.is_empty() {
            state.revision += 1;
        }
        for entry in &puts {
            let value = STANDARD.decode(entry["value"].as_str().unwrap_or_default());
            let key = entry["key"].as_str().unwrap_or_default().to_owned();
            put(&mut state, &key, value.unwrap_or_default(), lease_of(entry));
        }
        for key in &deletes {
            delete(&mut state, key.as_str().unwrap_or_default());
        }
        let revision = state.revision;
        self.0.1.notify_all();
        Response::new(200, json!({"revision": revision}))
    }

    fn grant(&self, body: &Value) -> Response {
        let ttl = body["ttlMs"]
            .as_u64()
            .unwrap_or(1_000)
            .clamp(1_000, 600_000);
        let mut state = self.0.0.lock().unwrap();
        state.next_lease += 1;
        let (id, ttl) = (state.next_lease, Duration::from_millis(ttl));
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        Response::new(200, json!({"leaseId": id, "ttlMs": ttl.as_millis() as u64}))
    }

    fn keep(&self, path: &str) -> Response {
        let mut state = self.0.0.lock().unwrap();
        match state.leases.get_mut(&id_in(path)) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                Response::new(200, json!({"ttlMs": ttl.as_millis() as u64}))
            }
            None => Response::new(404, json!({})),
        }
    }

    fn end(&self, path: &str) -> Response {
        let mut state = self.0.0.lock().unwrap();
        let id = id_in(path);
        if !state.leases.contains_key(&id) {
            return Response::new(404, json!({}));
        }
        end_lease(&mut state, id);
        self.0.1.notify_all();
        Response::new(200, json!({}))
    }

    /// Serves the store until the process ends; returns its address.
    pub fn start(&self, ip: &str) -> std::net::SocketAddr {
        let store = self.clone();
        http::serve(ip, move |request| store.serve(request))
    }
}

fn id_in(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|id| id.parse().ok())
        .unwrap_or(0)
}

fn shown(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "createdRev": item.created, "leaseId": item.lease})
}

fn put(state: &mut State, key: &str, value: Vec<u8>, lease: u64) {
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |item| item.created);
    let item = Item {
        value,
        revision,
        created,
        lease,
    };
    state.items.insert(key.to_owned(), item.clone());
    state.history.push((revision, key.to_owned(), Some(item)));
}

fn delete(state: &mut State, key: &str) {
    if state.items.remove(key).is_some() {
        let revision = state.revision;
        state.history.push((revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut State, id: u64) {
    state.leases.remove(&id);
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == id)
        .map(|(key, _)| key.clone())
        .collect();
    if !keys.is_empty() {
        state.revision += 1;
    }
    for key in keys {
        delete(state, &key);
    }
}
