//! JSON between tools and instances of different versions.

use view::{Doubt, Revision, Status, Store};

const STATUS: &str = r#"{
    "instance": "i-1", "zone": "z1", "version": "0.1.0", "revision": {"number": 42},
    "applied_ms_ago": 1200,
    "store": {"state": "silent", "since_ms": 900},
    "primaries": [{"database": "core", "term": 3, "upstream": "a", "confirmed_ms_ago": 12}],
    "members": [{"instance": "i-2", "zone": "z2", "address": "10.0.0.2:7400",
                 "health": "alive", "revision": {"epoch": 0, "number": 42}, "heard_ms_ago": 80}],
    "doubts": [{"kind": "store-older", "shown": {"number": 40}, "held": {"number": 42}}]
}"#;

#[test]
fn a_status_survives_a_round_trip() {
    let status: Status = serde_json::from_str(STATUS).unwrap();
    assert_eq!(status.store, Store::Silent { since_ms: 900 });
    let doubt = Doubt::StoreOlder {
        shown: Revision {
            epoch: 0,
            number: 40,
        },
        held: Revision {
            epoch: 0,
            number: 42,
        },
    };
    assert_eq!(status.doubts, [doubt]);
    let json = serde_json::to_string(&status).unwrap();
    assert_eq!(serde_json::from_str::<Status>(&json).unwrap(), status);
}

/// Guards against a reader that refuses unknown fields or kinds of doubts:
/// during a rolling upgrade, an older tool's `status` would fail on every
/// upgraded instance.
#[test]
fn unknown_fields_and_doubts_are_ignored() {
    let newer = STATUS
        .replace("\"version\"", "\"build\": \"x\", \"version\"")
        .replace("\"store-older\"", "\"moon-phase\"");
    let status: Status = serde_json::from_str(&newer).unwrap();
    assert_eq!(status.doubts, [Doubt::Other]);
}

#[test]
fn an_incomplete_status_is_refused() {
    let incomplete = STATUS.replace("\"revision\": {\"number\": 42},\n", "");
    assert!(serde_json::from_str::<Status>(&incomplete).is_err());
    let wrong = STATUS.replace("\"i-1\"", "\"I 1\"");
    assert!(serde_json::from_str::<Status>(&wrong).is_err());
}
