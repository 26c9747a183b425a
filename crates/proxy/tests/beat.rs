//! Compatibility of heartbeat datagrams between this version and the one before.

use std::{net::SocketAddr, time::Duration};

use admit::{load::Load, service::Priority};
use lead::Verdict;
use model::Term;
use proptest::prelude::*;
use proxy::{
    node::ServiceState,
    peers::heartbeat::{
        self, Datagram, Extension, FORMAT, Heartbeat, LoadReport, Message, Observation,
        ReplyRequest, StoreContact, UpstreamLoad,
    },
};
use serde::{Deserialize, Serialize};

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

fn sample_heartbeat() -> (Heartbeat, Extension) {
    let observation = Observation {
        service: "db".to_owned(),
        term: Term(3),
        verdict: Verdict::Failing,
    };
    let heartbeat = Heartbeat {
        name: "one".to_owned(),
        address: address(),
        version: 7,
        observations: vec![observation],
        locked_out: vec!["i-1".to_owned()],
        zone: "zone-1".to_owned(),
        weight: 25,
        service: ServiceState::Able,
        leaving: false,
    };
    let extension = Extension {
        format: FORMAT,
        next: Duration::from_millis(300),
        store: StoreContact::Reachable,
        is_relay: true,
        reply_request: ReplyRequest::Answer,
        unreachable_zones: vec!["zone-2".to_owned()],
        introduced: vec![address()],
    };
    (heartbeat, extension)
}

fn sample_report() -> LoadReport {
    let load = Load {
        running: 20,
        waiting: 380,
        urgent: 10,
        accounts: 70,
    };
    let upstream = [1, 2, 3, 4];
    LoadReport {
        number: 300,
        loads: vec![UpstreamLoad { upstream, load }],
    }
}

fn encode(heartbeat: &Heartbeat, extension: &Extension, report: Option<&LoadReport>) -> Vec<u8> {
    let mut bytes = heartbeat::encode(heartbeat, extension).unwrap();
    if let Some(report) = report {
        report.append_to(&mut bytes);
    }
    bytes
}

#[test]
fn heartbeat_round_trips() {
    let (heartbeat, extension) = sample_heartbeat();
    for report in [None, Some(LoadReport::default()), Some(sample_report())] {
        let bytes = encode(&heartbeat, &extension, report.as_ref());
        let decoded = heartbeat::decode(&bytes).unwrap();
        let expected = Datagram::Heartbeat(heartbeat.clone(), Some(extension.clone()), report);
        assert_eq!(decoded, expected);
    }
}

/// Guards against load reports that outgrow the control traffic that docs/CAPACITY.md allows.
#[test]
fn load_of_an_upstream_takes_a_few_bytes() {
    let (heartbeat, extension) = sample_heartbeat();
    let size = |report: Option<&LoadReport>| encode(&heartbeat, &extension, report).len();
    let idle = LoadReport {
        loads: Vec::new(),
        ..sample_report()
    };
    assert_eq!(size(Some(&idle)) - size(None), 3);
    assert_eq!(size(Some(&sample_report())) - size(Some(&idle)), 9);
}

/// Guards against a format change that older instances can't read: during a rolling upgrade they
/// receive heartbeats of this version, and decode only the part that they know.
#[test]
fn previous_version_decodes_the_current_heartbeat() {
    let (heartbeat, extension) = sample_heartbeat();
    let bytes = encode(&heartbeat, &extension, Some(&sample_report()));
    assert_eq!(
        postcard::from_bytes::<Heartbeat>(&bytes).unwrap(),
        heartbeat
    );
}

/// Guards against a load report that makes instances of format 2 drop the whole heartbeat. They
/// decode what follows the heartbeat as the extension.
#[test]
fn format_2_decodes_the_extension_before_a_load_report() {
    let (heartbeat, extension) = sample_heartbeat();
    let bytes = encode(&heartbeat, &extension, Some(&sample_report()));
    let (_, rest) = postcard::take_from_bytes::<Heartbeat>(&bytes).unwrap();
    assert_eq!(postcard::from_bytes::<Extension>(rest).unwrap(), extension);
}

/// Guards against an instance of format 2 that counts as idle, though it reports no load.
#[test]
fn heartbeat_of_format_2_has_no_load_report() {
    let (heartbeat, extension) = sample_heartbeat();
    let mut bytes = postcard::to_stdvec(&heartbeat).unwrap();
    bytes.extend(postcard::to_stdvec(&extension).unwrap());
    let expected = Datagram::Heartbeat(heartbeat, Some(extension), None);
    assert_eq!(heartbeat::decode(&bytes), Some(expected));
}

#[test]
fn heartbeat_of_the_previous_version_is_decoded() {
    let (heartbeat, _) = sample_heartbeat();
    let bytes = postcard::to_stdvec(&heartbeat).unwrap();
    assert_eq!(
        heartbeat::decode(&bytes),
        Some(Datagram::Heartbeat(heartbeat, None, None))
    );
}

#[test]
fn proof_request_is_not_decoded_as_a_heartbeat() {
    let request = Message::LeaseRequest {
        id: 9,
        reply_to: address(),
    };
    let bytes = heartbeat::encode_message(&request).unwrap();
    assert_eq!(heartbeat::decode(&bytes), Some(Datagram::Message(request)));
}

/// Messages about quotas as the previous version writes and reads them, at their places among the
/// messages.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum PreviousMessage {
    LeaseRequest,
    LeaseRenewed,
    LeaseAge,
    FreshnessRequest,
    FreshnessAge,
    /// Asks for operations of an account.
    QuotaRequest {
        id: u64,
        reply_to: SocketAddr,
        account: String,
        count: u32,
    },
    /// Grants operations.
    QuotaGrant {
        id: u64,
        count: u32,
        wait: Duration,
    },
}

fn quota_request(priority: Priority) -> Message {
    Message::QuotaRequest {
        id: 9,
        reply_to: address(),
        account: "north".to_owned(),
        count: 3,
        priority,
    }
}

fn previous_quota_request() -> PreviousMessage {
    PreviousMessage::QuotaRequest {
        id: 9,
        reply_to: address(),
        account: "north".to_owned(),
        count: 3,
    }
}

/// An instance of a version that read priorities as single bytes takes those up to 127 for what they
/// are.
#[test]
fn usual_priorities_are_single_bytes() {
    for priority in [0, 1, 127] {
        let bytes = heartbeat::encode_message(&quota_request(priority)).unwrap();
        let before = heartbeat::encode_message(&quota_request(0)).unwrap();
        assert_eq!(bytes.len(), before.len());
        assert_eq!(bytes.last().copied().map(Priority::from), Some(priority));
    }
    let largest = heartbeat::encode_message(&quota_request(Priority::MAX)).unwrap();
    let decoded = heartbeat::decode(&largest);
    assert_eq!(
        decoded,
        Some(Datagram::Message(quota_request(Priority::MAX)))
    );
}

/// Guards against limiters that answer no requests of the other version during a rolling upgrade:
/// all accounts would be refused there.
#[test]
fn quota_requests_are_understood_between_versions() {
    let bytes = heartbeat::encode_message(&quota_request(2)).unwrap();
    assert_eq!(
        heartbeat::decode(&bytes),
        Some(Datagram::Message(quota_request(2)))
    );
    let previous: PreviousMessage = postcard::from_bytes(&bytes[1..]).unwrap();
    assert_eq!(previous, previous_quota_request());
    let mut bytes = vec![bytes[0]];
    bytes.extend(postcard::to_stdvec(&previous).unwrap());
    assert_eq!(
        heartbeat::decode(&bytes),
        Some(Datagram::Message(quota_request(0)))
    );
}

/// Guards against refusals that are taken for silence during a rolling upgrade: the limiter would be
/// asked last from then on.
#[test]
fn quota_grants_are_understood_between_versions() {
    let wait = Duration::from_millis(40);
    let grant = |retry| Message::QuotaGrant {
        id: 9,
        count: 0,
        wait,
        retry,
    };
    let bytes = heartbeat::encode_message(&grant(wait * 2)).unwrap();
    assert_eq!(
        heartbeat::decode(&bytes),
        Some(Datagram::Message(grant(wait * 2)))
    );
    let previous: PreviousMessage = postcard::from_bytes(&bytes[1..]).unwrap();
    let expected = PreviousMessage::QuotaGrant {
        id: 9,
        count: 0,
        wait,
    };
    assert_eq!(previous, expected);
    let mut bytes = vec![bytes[0]];
    bytes.extend(postcard::to_stdvec(&previous).unwrap());
    assert_eq!(
        heartbeat::decode(&bytes),
        Some(Datagram::Message(grant(Duration::ZERO)))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn truncated_heartbeat_decodes_to_no_other_heartbeat(length in 0_usize..200) {
        let (heartbeat, extension) = sample_heartbeat();
        let mut bytes = encode(&heartbeat, &extension, Some(&sample_report()));
        bytes.truncate(length);
        if let Some(Datagram::Heartbeat(decoded, ..)) = heartbeat::decode(&bytes) {
            prop_assert_eq!(decoded, heartbeat);
        }
    }
}
