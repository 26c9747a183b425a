//! What instances of this version and of the one before make of each other's datagrams.

use std::{net::SocketAddr, time::Duration};

use lead::Verdict;
use model::Term;
use proptest::prelude::*;
use proxy::{
    node::ServiceState,
    peers::beat::{self, Beat, Belief, Datagram, FORMAT, Greeting, Hearing, More, Proof},
};

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000))
}

fn own() -> (Beat, More) {
    let belief = Belief {
        service: "db".to_owned(),
        term: Term(3),
        verdict: Verdict::Failing,
    };
    let beat = Beat {
        name: "one".to_owned(),
        address: address(),
        version: 7,
        beliefs: vec![belief],
        starved: vec!["i-1".to_owned()],
        zone: "zone-1".to_owned(),
        weight: 25,
        service: ServiceState::Able,
        leaving: false,
    };
    let more = More {
        format: FORMAT,
        next: Duration::from_millis(300),
        hearing: Hearing::Hears,
        relays: true,
        greeting: Greeting::Answer,
        silent: vec!["zone-2".to_owned()],
        near: vec![address()],
    };
    (beat, more)
}

#[test]
fn a_beat_is_read_as_it_was_written() {
    let (beat, more) = own();
    let bytes = beat::encode(&beat, &more).unwrap();
    let read = beat::decode(&bytes).unwrap();
    assert_eq!(read, Datagram::Beat(beat, Some(more)));
}

/// While a release goes on, instances of the version before hear beats of this one. They
/// read a beat alone, and nothing may be missing for them.
#[test]
fn the_version_before_reads_a_beat_of_this_one() {
    let (beat, more) = own();
    let bytes = beat::encode(&beat, &more).unwrap();
    assert_eq!(postcard::from_bytes::<Beat>(&bytes).unwrap(), beat);
}

#[test]
fn a_beat_of_the_version_before_is_read() {
    let (beat, _) = own();
    let bytes = postcard::to_stdvec(&beat).unwrap();
    assert_eq!(beat::decode(&bytes), Some(Datagram::Beat(beat, None)));
}

#[test]
fn a_question_for_a_proof_is_no_beat() {
    let ask = Proof::Ask {
        stamp: 9,
        answer: address(),
    };
    let bytes = beat::encode_proof(&ask).unwrap();
    assert_eq!(beat::decode(&bytes), Some(Datagram::Proof(ask)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_beat_that_was_cut_short_names_nobody_else(cut in 0_usize..200) {
        let (beat, more) = own();
        let mut bytes = beat::encode(&beat, &more).unwrap();
        bytes.truncate(cut);
        if let Some(Datagram::Beat(read, _)) = beat::decode(&bytes) {
            prop_assert_eq!(read, beat);
        }
    }
}
