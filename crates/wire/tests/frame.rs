//! Frames that endpoints and streams accept, and frames that they drop.

use std::net::SocketAddr;

use wire::{
    DATAGRAM_MAX, Endpoint, Error, Evidence, Format, Message, Node, Revision, Ring, STREAM_MAX,
    Side, Stream, Verdict, View,
};

const OLD_KEY: &str = "1:00112233445566778899aabbccddeeff";
const NEW_KEY: &str = "2:ffeeddccbbaa99887766554433221100";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(id: u8, incarnation: u64, keys: &str) -> Endpoint {
    let ring = Ring::parse(keys).unwrap();
    Endpoint::open(Node([id; 8]), incarnation, address(id.into()), ring)
}

fn ping(probe: u32) -> Message {
    Message::Ping {
        probe,
        view: View::default(),
        updates: Vec::new(),
    }
}

fn evidence() -> Message {
    Message::Evidence(Evidence {
        database: model::name::Database::new("booking-1").unwrap(),
        term: model::Term(7),
        verdict: Verdict::Silent,
        place: None,
        claim: Some(model::Term(8)),
    })
}

#[test]
fn forged_frames_are_dropped() {
    // Guards against decoding before the tag is verified: a host without the
    // key sends well-formed frames, or modifies captured ones, to move the
    // instances to a revision of its own.
    let mut ours = endpoint(1, 7, OLD_KEY);
    let mut theirs = endpoint(2, 7, OLD_KEY);
    let bytes = ours.seal(address(2), &ping(1)).unwrap();
    for at in 0..bytes.len() {
        let mut forged = bytes.clone();
        forged[at] ^= 1;
        let error = theirs.receive(address(1), &forged).unwrap_err();
        let expected = match at {
            0 => Error::ForeignFormat(3),
            1 => Error::UnknownKey(0),
            _ => Error::Unauthenticated,
        };
        assert_eq!(error, expected, "byte {at}");
    }
    let mut forger = endpoint(1, 7, "1:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa");
    let forged = forger.seal(address(2), &ping(1)).unwrap();
    assert_eq!(
        theirs.receive(address(1), &forged),
        Err(Error::Unauthenticated)
    );
    assert_eq!(theirs.receive(address(1), &bytes).unwrap().message, ping(1));
}

#[test]
fn replayed_frames_are_dropped() {
    // Guards against replays, which could bring back a member that left or
    // count evidence twice: a datagram is recorded and sent again, now or after
    // a restart, or to another instance. Its bytes stay authentic; only the
    // windows and the receiver's address under the tag identify the copy.
    let mut ours = endpoint(1, 7, OLD_KEY);
    let mut theirs = endpoint(2, 7, OLD_KEY);
    let mut third = endpoint(3, 7, OLD_KEY);
    let first = ours.seal(address(2), &ping(1)).unwrap();
    let second = ours.seal(address(2), &ping(2)).unwrap();
    assert!(theirs.receive(address(1), &second).is_ok());
    assert!(
        theirs.receive(address(1), &first).is_ok(),
        "late is not replayed"
    );
    assert_eq!(theirs.receive(address(1), &first), Err(Error::Replayed));
    assert_eq!(theirs.receive(address(1), &second), Err(Error::Replayed));
    assert_eq!(
        third.receive(address(1), &first),
        Err(Error::Unauthenticated)
    );

    let mut restarted = endpoint(1, 8, OLD_KEY);
    let bytes = restarted.seal(address(2), &ping(1)).unwrap();
    assert!(theirs.receive(address(1), &bytes).is_ok());
    let old = ours.seal(address(2), &ping(9)).unwrap();
    assert_eq!(
        theirs.receive(address(1), &old),
        Err(Error::EarlierIncarnation)
    );
}

#[test]
fn a_frame_older_than_the_window_is_dropped() {
    let mut ours = endpoint(1, 7, OLD_KEY);
    let mut theirs = endpoint(2, 7, OLD_KEY);
    let old = ours.seal(address(2), &ping(0)).unwrap();
    let edge = ours.seal(address(2), &ping(1)).unwrap();
    for probe in 2..129 {
        let bytes = ours.seal(address(2), &ping(probe)).unwrap();
        theirs.receive(address(1), &bytes).unwrap();
    }
    assert_eq!(theirs.receive(address(1), &old), Err(Error::Replayed));
    assert!(theirs.receive(address(1), &edge).is_ok());
}

#[test]
fn keys_rotate_without_downtime() {
    let old = endpoint(1, 7, OLD_KEY);
    let rings = [
        OLD_KEY.to_owned(),
        format!("{OLD_KEY},{NEW_KEY}"),
        format!("{NEW_KEY},{OLD_KEY}"),
        NEW_KEY.to_owned(),
    ];
    let mut ours = old;
    let mut theirs = endpoint(2, 7, OLD_KEY);
    for step in rings.windows(2) {
        // Between two changes of the settings, each end may have either ring.
        for (a, b) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            ours.rotate(Ring::parse(&step[a]).unwrap());
            theirs.rotate(Ring::parse(&step[b]).unwrap());
            let bytes = ours.seal(address(2), &ping(1)).unwrap();
            assert!(
                theirs.receive(address(1), &bytes).is_ok(),
                "{step:?} {a} {b}"
            );
        }
    }
    ours.rotate(Ring::parse(OLD_KEY).unwrap());
    let bytes = ours.seal(address(2), &ping(1)).unwrap();
    assert_eq!(
        theirs.receive(address(1), &bytes),
        Err(Error::UnknownKey(1))
    );
}

#[test]
fn the_previous_format_is_written_during_an_upgrade() {
    // Guards against upgraded instances that write only the newest format:
    // during an upgrade, instances of formats 1 and 2 run side by side for
    // minutes, and those not upgraded could not read the frames.
    let mut new = endpoint(1, 7, OLD_KEY);
    let mut old = endpoint(2, 7, OLD_KEY);
    let view = View {
        revision: Revision {
            epoch: 0,
            number: 812,
        },
        digest: 5,
        applied: None,
        members: 9,
    };
    let message = Message::Rumour {
        view,
        delta: None,
        updates: Vec::new(),
    };
    let bytes = old.seal_in(Format::Previous, address(1), &message).unwrap();
    let frame = new.receive(address(2), &bytes).unwrap();
    assert_eq!(frame.format, Format::Previous);
    assert_eq!(frame.message, message);

    let answer = new.seal(address(2), &message).unwrap();
    assert_eq!(answer[0], Format::Previous.number());
    assert_eq!(old.receive(address(1), &answer).unwrap().message, message);
    assert_eq!(new.seal(address(2), &evidence()), Err(Error::NotInFormat));

    // A peer that is not upgraded can read all but the occasional frame in the
    // newest format.
    let formats: Vec<_> = (0..32)
        .map(|_| new.seal(address(2), &message).unwrap()[0])
        .collect();
    assert_eq!(formats.iter().filter(|&&format| format == 1).count(), 30);

    // Once upgraded, the peer writes format 2 and is answered in format 2.
    let mut upgraded = endpoint(2, 8, OLD_KEY);
    let bytes = upgraded.seal(address(1), &message).unwrap();
    new.receive(address(2), &bytes).unwrap();
    let answer = new.seal(address(2), &evidence()).unwrap();
    assert_eq!(answer[0], Format::Newest.number());
}

#[test]
fn upgraded_instances_leave_the_previous_format() {
    // Guards against upgraded pairs that stay in format 1 and can't exchange
    // evidence: the first frame is in format 1 because the predecessor's was,
    // and each end then answers in the format it receives.
    let mut ours = endpoint(1, 7, OLD_KEY);
    let mut theirs = endpoint(2, 7, OLD_KEY);
    let first = ours
        .seal_in(Format::Previous, address(2), &ping(0))
        .unwrap();
    theirs.receive(address(1), &first).unwrap();
    let mut last = Vec::new();
    for probe in 0..40 {
        let bytes = theirs.seal(address(1), &ping(probe)).unwrap();
        ours.receive(address(2), &bytes).unwrap();
        last = ours.seal(address(2), &ping(probe)).unwrap();
        theirs.receive(address(1), &last).unwrap();
    }
    assert_eq!(last[0], Format::Newest.number());
    assert!(theirs.seal(address(1), &evidence()).is_ok());
}

#[test]
fn foreign_formats_and_short_frames_are_dropped() {
    let mut ours = endpoint(1, 7, OLD_KEY);
    assert_eq!(ours.receive(address(2), &[]), Err(Error::Truncated));
    assert_eq!(ours.receive(address(2), &[2, 1]), Err(Error::Truncated));
    assert_eq!(
        ours.receive(address(2), &[9; 64]),
        Err(Error::ForeignFormat(9))
    );
    let huge = vec![2; DATAGRAM_MAX + 1];
    let error = Error::Oversized {
        len: DATAGRAM_MAX + 1,
        max: DATAGRAM_MAX,
    };
    assert_eq!(ours.receive(address(2), &huge), Err(error));
}

#[test]
fn an_oversized_message_is_not_sent() {
    let mut ours = endpoint(1, 7, OLD_KEY);
    let message = Message::Buckets(vec![u32::MAX; 400]);
    let error = ours.seal(address(2), &message).unwrap_err();
    assert_eq!(error.label(), "oversized");
    let length = u32::try_from(STREAM_MAX + 1).unwrap().to_le_bytes();
    let error = Stream::length(length).unwrap_err();
    assert_eq!(error.label(), "oversized");
}

#[test]
fn a_replayed_connection_is_rejected() {
    // Guards against a forwarded payment that is booked twice: the bytes of a
    // connection between two instances are recorded and sent again on another
    // connection, where their tags would be authentic without the nonce.
    let ring = Ring::parse(OLD_KEY).unwrap();
    let open = |id, nonce, side| Stream::open(Node([id; 8]), 7, ring.clone(), nonce, side);
    let mut ours = open(1, [5; 16], Side::Connector);
    let mut theirs = open(2, [5; 16], Side::Acceptor);
    let forward = Message::Forward {
        generation: 1,
        sequence: 1,
        body: bytes::Bytes::from_static(b"insert"),
    };
    let first = ours.seal(&forward).unwrap();
    let second = ours.seal(&forward).unwrap();
    let (first, second) = (&first[Stream::LENGTH_LEN..], &second[Stream::LENGTH_LEN..]);
    assert_eq!(theirs.receive(second), Err(Error::Replayed), "a gap");
    assert_eq!(theirs.receive(first).unwrap().message, forward);
    assert_eq!(theirs.receive(first), Err(Error::Replayed));
    assert_eq!(theirs.receive(second).unwrap().message, forward);

    let mut again = open(2, [6; 16], Side::Acceptor);
    assert_eq!(again.receive(first), Err(Error::Unauthenticated));
    let mut reflected = open(1, [5; 16], Side::Connector);
    assert_eq!(reflected.receive(first), Err(Error::Unauthenticated));
}

#[test]
fn bad_rings_are_refused() {
    use wire::KeyError;

    let error = |text: &str| Ring::parse(text).unwrap_err();
    assert_eq!(error(""), KeyError::None);
    assert_eq!(error("0011"), KeyError::Shape);
    assert_eq!(error("1:001"), KeyError::Hexadecimal(1));
    assert_eq!(error("1:0011"), KeyError::Short(1));
    assert_eq!(error(&format!("{OLD_KEY},{OLD_KEY}")), KeyError::SameId(1));
    let three = format!("{OLD_KEY},{NEW_KEY},3:{}", "ab".repeat(16));
    assert_eq!(error(&three), KeyError::TooMany);
}
