//! Property tests of the parser: an arbitrary answer yields a typed fault or an answer no
//! larger than its text, and never a panic.

use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::{Value, json};

use super::{answer, events, refusal};
use crate::{Answer, Call, Event, Fault};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x0057_04e5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Field names of the gateway, so that generated values resemble real answers.
const FIELDS: [&str; 16] = [
    "header",
    "revision",
    "kvs",
    "kv",
    "key",
    "value",
    "mod_revision",
    "succeeded",
    "responses",
    "response_range",
    "result",
    "events",
    "type",
    "ID",
    "TTL",
    "compact_revision",
];

fn leaf() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(|number| Value::from(number.to_string())),
        "[A-Za-z0-9+/=]{0,12}".prop_map(Value::from),
        Just(json!("DELETE")),
        Just(json!("a2V5")),
    ]
}

fn value() -> impl Strategy<Value = Value> {
    leaf().prop_recursive(6, 64, 6, |inner| {
        let field = prop::sample::select(FIELDS.to_vec());
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            proptest::collection::vec((field, inner), 0..8).prop_map(|fields| {
                let fields = fields
                    .into_iter()
                    .map(|(key, value)| (key.to_owned(), value));
                Value::Object(fields.collect())
            }),
        ]
    })
}

fn calls() -> [Call; 4] {
    [
        Call::Range {
            prefix: "a".to_owned(),
        },
        Call::Txn {
            compares: Vec::new(),
            puts: Vec::new(),
            deletes: Vec::new(),
        },
        Call::KeepAlive { lease: 1 },
        Call::Revoke { lease: 1 },
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn answers_parse_or_fail(value in value()) {
        let text = value.to_string().len();
        for call in calls() {
            match answer(&call, &value) {
                Ok(Answer::Pairs { pairs, .. } | Answer::Conflict { pairs, .. }) => {
                    let sizes = pairs.iter().map(|pair| pair.key.len() + pair.value.len());
                    prop_assert!(sizes.sum::<usize>() <= text);
                }
                Ok(_) => {}
                Err(fault) => {
                    let is_malformed = matches!(fault, Fault::Malformed { .. });
                    prop_assert!(is_malformed, "{fault:?}");
                }
            }
        }
        refusal(&value);
    }

    #[test]
    fn watch_lines_parse_or_fail(value in value()) {
        if let Ok((events, _)) = events(&value) {
            let keys = events.iter().map(|event| match event {
                Event::Put(pair) => pair.key.len() + pair.value.len(),
                Event::Delete { key, .. } => key.len(),
            });
            prop_assert!(keys.sum::<usize>() <= value.to_string().len());
        }
    }

    #[test]
    fn arbitrary_json_is_no_answer(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        if let Ok(value) = serde_json::from_slice::<Value>(&bytes) {
            prop_assert!(answer(&calls()[0], &value).is_err());
        }
    }
}

/// Guards against a stack overflow on deeply nested answers; the library's limit must turn
/// them into an error.
#[test]
fn deep_nesting_is_refused() {
    let text = "[".repeat(100_000);
    assert!(serde_json::from_str::<Value>(&text).is_err());
}
