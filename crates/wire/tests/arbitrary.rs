//! Arbitrary bytes neither cause a panic nor make the decoder allocate without
//! bound.

use std::{alloc::System, net::SocketAddr};

use cap::Cap;
use proptest::{prelude::*, test_runner::RngSeed};
use wire::{DATAGRAM_MAX, Endpoint, Error, Format, Key, Message, Node, Ring, View};

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Maximum bytes that serde preallocates for a list, whatever length the input
/// claims.
const PREALLOCATION_MAX: usize = 1024 * 1024;
/// Maximum ratio of a decoded element's size to its encoded size.
const EXPANSION_MAX: usize = 256;

fn ring() -> Ring {
    Ring::parse("1:00112233445566778899aabbccddeeff").unwrap()
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn endpoint() -> Endpoint {
    Endpoint::open(Node([1; 8]), 1, address(), ring())
}

/// Seals an arbitrary body with the valid key.
fn sealed(format: Format, body: &[u8]) -> Vec<u8> {
    use hmac::{Hmac, Mac};

    let secret = [0x00, 0x11, 0x22, 0x33, 0x44, 0x55, 0x66, 0x77];
    let secret: Vec<u8> = secret
        .into_iter()
        .chain([0x88, 0x99, 0xaa, 0xbb, 0xcc, 0xdd, 0xee, 0xff])
        .collect();
    let mut buf = vec![format.number(), 1];
    buf.extend_from_slice(&[7; 8]);
    buf.extend_from_slice(&[1, 1]);
    buf.extend_from_slice(body);
    let mut mac = Hmac::<sha2::Sha256>::new_from_slice(&secret).unwrap();
    mac.update(b"datagram ");
    mac.update(&[127, 0, 0, 1]);
    mac.update(&9u16.to_le_bytes());
    mac.update(&buf);
    buf.extend_from_slice(&mac.finalize().into_bytes()[..16]);
    buf
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

// The allocator counts the whole process, so all cases run in one test.
#[test]
fn arbitrary_bytes_are_bounded() {
    let mut runner = proptest::test_runner::TestRunner::new(config());
    let bytes = prop::collection::vec(any::<u8>(), 0..1_400);
    runner
        .run(&bytes, |bytes| {
            let error = endpoint().receive(address(), &bytes).unwrap_err();
            let oversized = matches!(error, Error::Oversized { .. });
            prop_assert_eq!(oversized, bytes.len() > DATAGRAM_MAX);
            Ok(())
        })
        .unwrap();

    let formats = prop_oneof![Just(Format::Newest), Just(Format::Previous)];
    let body = (formats, 0u8..14, prop::collection::vec(any::<u8>(), 0..900));
    runner
        .run(&body, |(format, kind, mut body)| {
            body.insert(0, kind);
            let frame = sealed(format, &body);
            let before = HEAP.allocated();
            let most = before + PREALLOCATION_MAX + EXPANSION_MAX * frame.len();
            HEAP.set_limit(most).unwrap();
            let result = endpoint().receive(address(), &frame);
            HEAP.set_limit(usize::MAX).unwrap();
            if let Err(error) = result {
                prop_assert_eq!(error, Error::Malformed);
            }
            Ok(())
        })
        .unwrap();

    // A list whose length claims four billion elements.
    let mut body = vec![4];
    body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0x0f]);
    let frame = sealed(Format::Newest, &body);
    HEAP.set_limit(HEAP.allocated() + PREALLOCATION_MAX + EXPANSION_MAX * frame.len())
        .unwrap();
    let result = endpoint().receive(address(), &frame);
    HEAP.set_limit(usize::MAX).unwrap();
    assert_eq!(result, Err(Error::Malformed));

    // Checks that `sealed` makes valid tags; otherwise the cases above would
    // not reach the decoder.
    let ping = Message::Ping {
        probe: 3,
        view: View::default(),
        updates: Vec::new(),
    };
    let body = postcard::to_allocvec(&ping).unwrap();
    let frame = endpoint()
        .receive(address(), &sealed(Format::Newest, &body))
        .unwrap();
    assert_eq!(frame.message, ping);
    assert_eq!(wire::len(&ping), body.len());
    assert!(Key::new(1, b"short").is_err());
}
