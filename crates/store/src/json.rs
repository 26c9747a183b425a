//! JSON encoding of calls and answers, as the gateway defines it.
//!
//! Keys and values are base64 and 64-bit numbers are decimal strings, following the JSON
//! mapping of protocol buffers. Absent fields are zero.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::call::{Answer, Call, Compare, Event, Fault, Pair, Put};

/// URL path of a call.
pub(crate) fn path(call: &Call) -> &'static str {
    match call {
        Call::Range { .. } | Call::Span { .. } => "/v3/kv/range",
        Call::Txn { .. } => "/v3/kv/txn",
        Call::Grant { .. } => "/v3/lease/grant",
        Call::KeepAlive { .. } => "/v3/lease/keepalive",
        Call::Revoke { .. } => "/v3/lease/revoke",
    }
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// End of the range of keys that begin with `prefix`.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Body of a request for all keys that begin with `prefix`.
fn prefix_range(prefix: &str) -> Value {
    json!({ "key": encode(prefix), "range_end": encode(range_end(prefix)) })
}

/// Body of a request for all keys from `from` up to `to`.
fn span(from: &str, to: &str) -> Value {
    json!({ "key": encode(from), "range_end": encode(to) })
}

/// Request body of a call.
pub(crate) fn body(call: &Call) -> Value {
    match call {
        Call::Range { prefix } => prefix_range(prefix),
        Call::Span { from, to } => span(from, to),
        Call::Txn {
            compares,
            puts,
            deletes,
        } => txn(compares, puts, deletes),
        Call::Grant { ttl } => json!({ "TTL": ttl.as_secs().to_string() }),
        Call::KeepAlive { lease } | Call::Revoke { lease } => json!({ "ID": lease.to_string() }),
    }
}

fn txn(compares: &[Compare], puts: &[Put], deletes: &[String]) -> Value {
    let compare = |condition: &Compare| {
        json!({
            "key": encode(&condition.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": condition.revision.to_string(),
        })
    };
    let put = |put: &Put| {
        let lease = put.lease.unwrap_or(0).to_string();
        json!({
            "request_put": {
                "key": encode(&put.key),
                "value": encode(&put.value),
                "lease": lease,
            },
        })
    };
    let delete = |key: &String| json!({ "request_delete_range": { "key": encode(key) } });
    let read = |condition: &Compare| json!({ "request_range": { "key": encode(&condition.key) } });
    json!({
        "compare": compares.iter().map(compare).collect::<Vec<_>>(),
        "success": puts.iter().map(put).chain(deletes.iter().map(delete)).collect::<Vec<_>>(),
        "failure": compares.iter().map(read).collect::<Vec<_>>(),
    })
}

/// Request body that opens a watch at `revision`.
pub(crate) fn watch((from, to): (&str, &str), revision: u64) -> Value {
    let mut request = span(from, to);
    request["start_revision"] = json!(revision.to_string());
    json!({ "create_request": request })
}

fn malformed(what: &'static str) -> Fault {
    Fault::Malformed { what }
}

/// Parses a 64-bit number, which the gateway sends as a string and omits if zero.
fn number(value: &Value) -> Result<u64, Fault> {
    match value {
        Value::Null => Ok(0),
        Value::String(text) => text.parse().map_err(|_| malformed("not a 64-bit number")),
        Value::Number(number) => number.as_u64().ok_or(malformed("not a 64-bit number")),
        _ => Err(malformed("not a 64-bit number")),
    }
}

fn bytes(value: &Value) -> Result<Vec<u8>, Fault> {
    match value {
        Value::Null => Ok(Vec::new()),
        Value::String(text) => STANDARD.decode(text).map_err(|_| malformed("base64")),
        _ => Err(malformed("base64")),
    }
}

fn key(value: &Value) -> Result<String, Fault> {
    String::from_utf8(bytes(value)?).map_err(|_| malformed("key is not UTF-8"))
}

fn pair(value: &Value) -> Result<Pair, Fault> {
    let revision = number(&value["mod_revision"])?;
    Ok(Pair {
        key: key(&value["key"])?,
        value: bytes(&value["value"])?,
        revision,
    })
}

fn pairs(value: &Value) -> Result<Vec<Pair>, Fault> {
    let list = value["kvs"].as_array().map_or(&[][..], Vec::as_slice);
    list.iter().map(pair).collect()
}

/// Parses the answer to `call`.
pub(crate) fn answer(call: &Call, value: &Value) -> Result<Answer, Fault> {
    let revision = number(&value["header"]["revision"])?;
    if !value["header"].is_object() && !value["result"].is_object() {
        return Err(malformed("missing header"));
    }
    match call {
        Call::Range { .. } | Call::Span { .. } => Ok(Answer::Pairs {
            pairs: pairs(value)?,
            revision,
        }),
        Call::Txn { .. } if value["succeeded"] == json!(true) => Ok(Answer::Swapped { revision }),
        Call::Txn { .. } => Ok(Answer::Conflict {
            pairs: conflict(value)?,
            revision,
        }),
        Call::Grant { .. } => lease(value),
        Call::KeepAlive { .. } => lease(&value["result"]),
        Call::Revoke { lease } => Ok(Answer::Lease {
            lease: *lease,
            ttl: Duration::ZERO,
        }),
    }
}

fn conflict(value: &Value) -> Result<Vec<Pair>, Fault> {
    let mut found = Vec::new();
    for response in value["responses"].as_array().map_or(&[][..], Vec::as_slice) {
        found.append(&mut pairs(&response["response_range"])?);
    }
    Ok(found)
}

fn lease(value: &Value) -> Result<Answer, Fault> {
    let ttl = Duration::from_secs(number(&value["TTL"])?);
    Ok(Answer::Lease {
        lease: number(&value["ID"])?,
        ttl,
    })
}

/// Parses an error response, which has a gRPC status code and a message.
pub(crate) fn refusal(value: &Value) -> Fault {
    let error = if value["error"].is_object() {
        &value["error"]
    } else {
        value
    };
    let code = error["code"]
        .as_i64()
        .or(error["grpc_code"].as_i64())
        .unwrap_or(2);
    let message = error["message"].as_str().unwrap_or("no message").to_owned();
    Fault::Refused { code, message }
}

/// Parses one line of a watch into its changes and their revision.
pub(crate) fn events(value: &Value) -> Result<(Vec<Event>, u64), Fault> {
    let result = &value["result"];
    if !result.is_object() {
        return Err(refusal(value));
    }
    let compacted = number(&result["compact_revision"])?;
    if compacted > 0 {
        return Err(Fault::Compacted {
            revision: compacted,
        });
    }
    let revision = number(&result["header"]["revision"])?;
    let list = result["events"].as_array().map_or(&[][..], Vec::as_slice);
    let events = list.iter().map(event).collect::<Result<_, _>>()?;
    Ok((events, revision))
}

fn event(value: &Value) -> Result<Event, Fault> {
    let pair = pair(&value["kv"])?;
    if value["type"] == json!("DELETE") {
        return Ok(Event::Delete {
            key: pair.key,
            revision: pair.revision,
        });
    }
    Ok(Event::Put(pair))
}

#[cfg(test)]
mod tests;
