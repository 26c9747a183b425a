//! The messages of etcd v3's JSON gateway that the tool needs.
//!
//! Source: etcd's `rpc.proto` (messages `RangeRequest` and `TxnRequest`) in
//! the JSON form of Protocol Buffers: bytes are base64, 64-bit numbers are
//! strings, and fields with their default value are left out.

use base64::{Engine, engine::general_purpose::STANDARD};
use catalog::{layout::Pair, plan::Txn};
use serde::Deserialize;
use serde_json::{Value, json};

/// Why bytes are not an answer of the gateway.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is not JSON of the expected form.
    #[error("its answer is not that of an etcd v3 gateway: {0}")]
    Json(#[from] serde_json::Error),
    /// A key or value is not base64.
    #[error("its answer holds a key or value that is not base64: {0}")]
    Base64(#[from] base64::DecodeError),
    /// A key is not text.
    #[error("its answer holds a key that is not text: {0}")]
    Key(#[from] std::string::FromUtf8Error),
    /// A number is not one.
    #[error("its answer holds a revision that is not a number: {0}")]
    Number(#[from] std::num::ParseIntError),
}

/// The keys from `start` up to, and without, `end`.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Range {
    start: Vec<u8>,
    /// None for the key `start` alone.
    end: Option<Vec<u8>>,
}

impl Range {
    /// One key.
    pub(crate) fn key(key: &str) -> Self {
        Self {
            start: key.into(),
            end: None,
        }
    }

    /// All keys that begin with `prefix`.
    pub(crate) fn prefix(prefix: &str) -> Self {
        Self::tail(prefix, prefix)
    }

    /// The keys that begin with `prefix`, from `start` on.
    pub(crate) fn tail(start: &str, prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        // The prefixes here end in `/`, which has a successor.
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        Self {
            start: start.into(),
            end: Some(end),
        }
    }

    /// The request's body.
    pub(crate) fn body(&self) -> Vec<u8> {
        let mut body = json!({ "key": STANDARD.encode(&self.start) });
        if let Some(end) = &self.end {
            body["range_end"] = STANDARD.encode(end).into();
        }
        body.to_string().into_bytes()
    }
}

/// The body of a transaction's request.
pub(crate) fn txn(txn: &Txn) -> Vec<u8> {
    let compares: Vec<_> = txn
        .compares
        .iter()
        .map(|compare| {
            json!({
                "target": "MOD",
                "result": "EQUAL",
                "key": STANDARD.encode(&compare.key),
                "mod_revision": compare.revision.to_string(),
            })
        })
        .collect();
    let puts = txn.puts.iter().map(|put| {
        let key = STANDARD.encode(&put.key);
        let value = STANDARD.encode(&put.value);
        json!({ "request_put": { "key": key, "value": value } })
    });
    let deletes = txn.deletes.iter().map(|key| {
        let key = STANDARD.encode(key);
        json!({ "request_delete_range": { "key": key } })
    });
    let success: Vec<Value> = puts.chain(deletes).collect();
    json!({ "compare": compares, "success": success })
        .to_string()
        .into_bytes()
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    kvs: Vec<KeyValue>,
    // Every answer has a header: without it, this is something else.
    #[serde(rename = "header")]
    _header: Header,
}

#[derive(Debug, Deserialize)]
struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    mod_revision: String,
}

#[derive(Debug, Deserialize)]
struct Header {
    revision: String,
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

/// The pairs in a range's answer.
pub(crate) fn pairs(answer: &[u8]) -> Result<Vec<Pair>, Error> {
    let answer: RangeAnswer = serde_json::from_slice(answer)?;
    answer.kvs.into_iter().map(pair).collect()
}

fn pair(kv: KeyValue) -> Result<Pair, Error> {
    Ok(Pair {
        key: String::from_utf8(STANDARD.decode(kv.key)?)?,
        value: STANDARD.decode(kv.value)?,
        revision: kv.mod_revision.parse()?,
    })
}

/// The revision that a transaction made; none if a condition did not hold.
pub(crate) fn outcome(answer: &[u8]) -> Result<Option<u64>, Error> {
    let answer: TxnAnswer = serde_json::from_slice(answer)?;
    let revision = answer.header.revision.parse()?;
    Ok(answer.succeeded.then_some(revision))
}
