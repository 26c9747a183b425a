//! Feeds arbitrary and mutated bytes to each decoder.
//!
//! Guards against a panic, and against a decoded message that is larger than its
//! bytes, as a length or a count that is trusted without a check would give.

use ntex::{codec::Decoder, util::BytesMut};
use pg::{Codec, Error, Frame, Frontend, LoginCodec, MAX_FRAME, MAX_LOGIN, MAX_STARTUP};
use proptest::{prelude::*, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x00da_de11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns a valid message of each type that a caller may send.
fn valid() -> Vec<Vec<u8>> {
    let message = |tag: u8, body: &[u8]| {
        let length = (body.len() as u32 + 4).to_be_bytes();
        [&[tag], &length[..], body].concat()
    };
    vec![
        message(b'Q', b"SELECT value FROM kv\0"),
        message(b'P', b"name\0SELECT $1\0\0\x01\0\0\0\x19"),
        message(
            b'B',
            b"\0name\0\0\x01\0\x01\0\x02\0\0\0\x01x\xff\xff\xff\xff\0\x01\0\0",
        ),
        message(b'D', b"Sname\0"),
        message(b'C', b"P\0"),
        message(b'E', b"\0\0\0\0\x05"),
        message(b'p', b"SCRAM-SHA-256\0\0\0\0\x08n,,n=,r="),
        message(b'H', b""),
        message(b'S', b""),
        message(b'X', b""),
    ]
}

fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0groom\0database\0slots\0options\0-c a=b\0\0";
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&length[..], body].concat()
}

/// Generates valid messages with up to three bytes changed, which may also be
/// truncated or extended.
fn mutated(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let changes = proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4);
    let tail = proptest::collection::vec(any::<u8>(), 0..8);
    (
        prop::sample::select(valid),
        changes,
        any::<prop::sample::Index>(),
        tail,
    )
        .prop_map(|(mut bytes, changes, cut, tail)| {
            for (index, byte) in changes {
                let at = index.index(bytes.len());
                bytes[at] = byte;
            }
            bytes.truncate(cut.index(bytes.len() + 1).max(1));
            bytes.extend(tail);
            bytes
        })
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        mutated(valid())
    ]
}

/// Returns the size of a decoded message: its bytes and 4 for each of its items.
fn size(front: &Frontend) -> usize {
    match front {
        Frontend::Query(sql) => sql.len(),
        Frontend::Parse(it) => it.query.len() + it.type_oids.len() * 4,
        Frontend::Bind(it) => {
            let values = it.parameters.iter().flatten();
            values.map(|it| it.len()).sum::<usize>() + it.parameters.len() * 4
        }
        _ => 0,
    }
}

fn check(frame: &Frame, max: usize) {
    assert!(frame.bytes().len() <= max);
    if let Ok(front) = pg::decode(frame) {
        assert!(size(&front) <= frame.bytes().len());
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn frames_are_split_and_decoded_or_refused(input in bytes()) {
        let mut src = BytesMut::copy_from_slice(&input);
        while let Ok(Some(frame)) = Codec.decode(&mut src) {
            check(&frame, MAX_FRAME);
        }
        let mut src = BytesMut::copy_from_slice(&input);
        while let Ok(Some(frame)) = LoginCodec.decode(&mut src) {
            check(&frame, MAX_LOGIN + 1);
        }
    }

    #[test]
    fn an_announced_length_is_refused_before_it_is_awaited(tag: u8, length: u32) {
        let mut src = BytesMut::copy_from_slice([&[tag], &length.to_be_bytes()[..]].concat());
        let result = LoginCodec.decode(&mut src);
        let fits = (4..MAX_LOGIN as u32).contains(&length);
        prop_assert_eq!(result.is_ok(), fits);
        let oversized = matches!(result, Err(Error::Oversized { most: MAX_LOGIN, .. }));
        prop_assert_eq!(oversized, length >= MAX_LOGIN as u32);
    }

    #[test]
    fn first_messages_are_decoded_or_refused(
        input in prop_oneof![
            proptest::collection::vec(any::<u8>(), 0..200),
            mutated(vec![startup(), vec![0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2]]),
        ],
    ) {
        let mut buf = bytes::BytesMut::from(&input[..]);
        let announced = input.first_chunk::<4>().map(|it| u32::from_be_bytes(*it) as usize);
        let result = pg::decode_startup(&mut buf);
        if let (Ok(None), Some(announced)) = (&result, announced) {
            prop_assert!(input.len() < 8 || announced <= MAX_STARTUP);
        }
        if let Ok(Some(pg::Startup::Session(startup))) = result {
            let sizes = startup.parameters.iter().map(|(key, value)| key.len() + value.len());
            // A byte that is not UTF-8 is replaced by at most three bytes.
            prop_assert!(sizes.sum::<usize>() <= 3 * MAX_STARTUP);
        }
    }
}

#[test]
fn valid_messages_are_accepted() {
    for message in valid() {
        let mut src = BytesMut::copy_from_slice(&message);
        let frame = Codec.decode(&mut src).unwrap().expect("a whole message");
        let expected = frame.tag() != b'p';
        assert_eq!(pg::decode(&frame).is_ok(), expected, "{message:?}");
    }
    let mut buf = bytes::BytesMut::from(&startup()[..]);
    assert!(matches!(
        pg::decode_startup(&mut buf),
        Ok(Some(pg::Startup::Session(_)))
    ));
}
