//! Keys, leases, history and watches of the store.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A refusal in the JSON form of the store's gateway.
type Refusal = Value;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug)]
struct Watcher {
    from: Vec<u8>,
    to: Vec<u8>,
    lines: UnboundedSender<String>,
}

/// The data of the store.
#[derive(Debug, Default)]
pub(super) struct Db {
    revision: u64,
    items: BTreeMap<Vec<u8>, Item>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    history: Vec<(u64, Vec<u8>, Value)>,
    compacted: u64,
    watchers: Vec<Watcher>,
}

fn refusal(code: i64, message: &str) -> Refusal {
    json!({ "code": code, "message": message })
}

fn bytes(value: &Value) -> Result<Vec<u8>, Refusal> {
    let text = value.as_str().unwrap_or_default();
    STANDARD
        .decode(text)
        .map_err(|_| refusal(3, "invalid base64"))
}

fn number(value: &Value) -> u64 {
    let text = value.as_str().and_then(|text| text.parse().ok());
    text.or(value.as_u64()).unwrap_or(0)
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns the key range of a request; a request without an end means one key.
fn range(request: &Value) -> Result<(Vec<u8>, Vec<u8>), Refusal> {
    let from = bytes(&request["key"])?;
    let mut to = bytes(&request["range_end"])?;
    if to.is_empty() {
        to = from.clone();
        to.push(0);
    }
    Ok((from, to))
}

impl Db {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn value(&self, key: &[u8]) -> Option<Vec<u8>> {
        self.items.get(key).map(|item| item.value.clone())
    }

    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Executes one call.
    pub(super) fn call(&mut self, path: &str, call: &Value) -> Result<Value, Refusal> {
        self.expire_leases();
        match path {
            "/v3/kv/range" => self.read(call),
            "/v3/kv/txn" => self.txn(call),
            "/v3/lease/grant" => Ok(self.grant(number(&call["TTL"]))),
            "/v3/lease/keepalive" => Ok(self.keep_alive(number(&call["ID"]))),
            "/v3/lease/revoke" => {
                self.end_lease(number(&call["ID"]));
                Ok(json!({ "header": self.header() }))
            }
            _ => Err(refusal(12, "no such call")),
        }
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn read(&self, request: &Value) -> Result<Value, Refusal> {
        let (from, to) = range(request)?;
        let found = self.items.range(from..to);
        let kvs: Vec<_> = found.map(|(key, item)| key_value(key, item)).collect();
        Ok(json!({ "header": self.header(), "kvs": kvs, "count": kvs.len().to_string() }))
    }

    fn txn(&mut self, request: &Value) -> Result<Value, Refusal> {
        let mut holds = true;
        for compare in list(&request["compare"]) {
            let key = bytes(&compare["key"])?;
            let current = self.items.get(&key).map_or(0, |item| item.revision);
            holds &= current == number(&compare["mod_revision"]);
        }
        let operations = if holds {
            &request["success"]
        } else {
            &request["failure"]
        };
        let writes =
            |it: &Value| !it["request_put"].is_null() || !it["request_delete_range"].is_null();
        // All writes of a transaction share one revision.
        let revision = self.revision + u64::from(list(operations).iter().any(writes));
        let mut responses = Vec::new();
        for operation in list(operations) {
            responses.push(self.operation(operation, revision)?);
        }
        self.revision = revision;
        self.notify_watchers();
        Ok(json!({ "header": self.header(), "succeeded": holds, "responses": responses }))
    }

    fn operation(&mut self, operation: &Value, revision: u64) -> Result<Value, Refusal> {
        if operation["request_range"].is_object() {
            return Ok(json!({ "response_range": self.read(&operation["request_range"])? }));
        }
        if operation["request_put"].is_object() {
            let put = &operation["request_put"];
            let lease = number(&put["lease"]);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return Err(refusal(5, "requested lease not found"));
            }
            self.write(
                &bytes(&put["key"])?,
                &bytes(&put["value"])?,
                lease,
                revision,
            );
            return Ok(json!({ "response_put": {} }));
        }
        self.remove(&bytes(&operation["request_delete_range"]["key"])?, revision);
        Ok(json!({ "response_delete_range": {} }))
    }

    /// Writes one key as a new revision.
    pub(super) fn put(&mut self, key: &[u8], value: &[u8], lease: u64) {
        self.write(key, value, lease, self.revision + 1);
        self.revision += 1;
        self.notify_watchers();
    }

    /// Removes one key as a new revision.
    pub(super) fn delete(&mut self, key: &[u8]) {
        self.remove(key, self.revision + 1);
        self.revision += 1;
        self.notify_watchers();
    }

    fn write(&mut self, key: &[u8], value: &[u8], lease: u64, revision: u64) {
        let item = Item {
            value: value.to_vec(),
            revision,
            lease,
        };
        let event = json!({ "kv": key_value(key, &item) });
        self.items.insert(key.to_vec(), item);
        self.record_event(key, revision, event);
    }

    fn remove(&mut self, key: &[u8], revision: u64) {
        if self.items.remove(key).is_none() {
            return;
        }
        let kv = json!({ "key": STANDARD.encode(key), "mod_revision": revision.to_string() });
        self.record_event(key, revision, json!({ "type": "DELETE", "kv": kv }));
    }

    fn record_event(&mut self, key: &[u8], revision: u64, event: Value) {
        self.history.push((revision, key.to_vec(), event));
    }

    /// Sends the changes of the newest revision to the watches, as one line each.
    fn notify_watchers(&mut self) {
        let revision = self.revision;
        let changed = self.history.iter().rev().take_while(|it| it.0 == revision);
        let changed: Vec<_> = changed.collect();
        self.watchers.retain(|watcher| {
            let is_watched = |key: &[u8]| (&watcher.from[..]..&watcher.to[..]).contains(&key);
            let events = changed
                .iter()
                .rev()
                .filter(|it| is_watched(&it.1))
                .map(|it| &it.2);
            let events: Vec<_> = events.collect();
            events.is_empty() || watcher.lines.send(line(revision, &events)).is_ok()
        });
    }

    fn grant(&mut self, ttl: u64) -> Value {
        self.last_lease += 1;
        let ttl_span = Duration::from_secs(ttl);
        let lease = Lease {
            ttl: ttl_span,
            expires: Instant::now() + ttl_span,
        };
        self.leases.insert(self.last_lease, lease);
        json!({
            "header": self.header(),
            "ID": self.last_lease.to_string(),
            "TTL": ttl.to_string(),
        })
    }

    fn keep_alive(&mut self, id: u64) -> Value {
        let header = self.header();
        let Some(lease) = self.leases.get_mut(&id) else {
            return json!({ "result": { "header": header, "ID": id.to_string() } });
        };
        lease.expires = Instant::now() + lease.ttl;
        let ttl = lease.ttl.as_secs().to_string();
        json!({ "result": { "header": header, "ID": id.to_string(), "TTL": ttl } })
    }

    /// Ends the leases that have expired.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|it| it.1.expires <= now)
            .map(|it| *it.0)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self.items.iter().filter(|it| it.1.lease == id && id != 0);
        let keys: Vec<_> = held.map(|it| it.0.clone()).collect();
        if keys.is_empty() {
            return;
        }
        for key in keys {
            self.remove(&key, self.revision + 1);
        }
        self.revision += 1;
        self.notify_watchers();
    }

    /// Opens a watch and sends the matching changes of the history first.
    pub(super) fn watch(&mut self, request: &Value) -> Result<UnboundedReceiver<String>, Refusal> {
        let (from, to) = range(request)?;
        let start = number(&request["start_revision"]);
        let (lines, stream) = unbounded_channel();
        let send = |text: String| drop(lines.send(text));
        if start > 0 && start <= self.compacted {
            let compacted = (self.compacted + 1).to_string();
            let result = json!({ "header": self.header(), "canceled": true,
                "compact_revision": compacted });
            send(format!("{}\n", json!({ "result": result })));
            return Ok(stream);
        }
        let result = json!({ "header": self.header(), "created": true });
        send(format!("{}\n", json!({ "result": result })));
        let past = self.history.iter().filter(|it| start > 0 && it.0 >= start);
        let mut past = past.filter(|it| (&from..&to).contains(&&it.1)).peekable();
        while let Some((revision, _, event)) = past.next() {
            let mut events = vec![event];
            while let Some(more) = past.next_if(|it| it.0 == *revision) {
                events.push(&more.2);
            }
            send(line(*revision, &events));
        }
        self.watchers.push(Watcher { from, to, lines });
        Ok(stream)
    }
}

fn key_value(key: &[u8], item: &Item) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&item.value),
        "mod_revision": item.revision.to_string(),
        "lease": item.lease.to_string(),
    })
}

fn line(revision: u64, events: &[&Value]) -> String {
    let header = json!({ "revision": revision.to_string() });
    format!(
        "{}\n",
        json!({ "result": { "header": header, "events": events } })
    )
}
