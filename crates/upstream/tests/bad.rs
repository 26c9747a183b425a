//! Invalid messages of an upstream must give an error.
//!
//! Guards against a panic, a hang or a login that succeeds when a faulty
//! upstream sends truncated, oversized or unexpected messages.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpListener},
};

use ntex::codec::Decoder;
use proptest::{prelude::*, test_runner::RngSeed};
use upstream::{Conn, Error, Login, parse_report};

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// Replaces `NONCE` in `part` by the nonce that the proxy sent in `received`.
fn with_nonce(part: &[u8], received: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(received);
    let challenge = String::from_utf8(part.get(5..).unwrap_or_default().to_vec());
    match (challenge, text.split_once("r=")) {
        (Ok(challenge), Some((_, nonce))) if challenge.contains("NONCE") => {
            message(b'R', challenge.replace("NONCE", nonce).as_bytes())
        }
        _ => part.to_vec(),
    }
}

/// Logs in to an upstream that sends one part of `script` after each message from
/// the proxy, and then closes the connection.
fn log_in(script: Vec<Vec<u8>>) -> Result<(), Error> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4_096];
        for part in script {
            let received = stream.read(&mut buf).unwrap_or(0);
            let part = with_nonce(&part, &buf[..received]);
            if received == 0 || stream.write_all(&part).is_err() {
                return;
            }
        }
        // Signals the end of the stream, then waits until the proxy closes.
        let _ = stream.shutdown(std::net::Shutdown::Write);
        while stream.read(&mut buf).unwrap_or(0) > 0 {}
    });
    let login = Login {
        user: "proxy".to_owned(),
        password: Some("wachtwoord".to_owned()),
    };
    let system = ntex::rt::System::new("test", ntex::rt::DefaultRuntime);
    let result = system.block_on(async move {
        let conn = Conn::open(address, &login, "booking").await;
        conn.map(drop)
    });
    server.join().unwrap();
    result
}

#[test]
fn a_broken_login_is_a_typed_error() {
    let sasl = message(b'R', b"\0\0\0\x0aSCRAM-SHA-256\0\0");
    let challenge = |text: &str| message(b'R', &[b"\0\0\0\x0b", text.as_bytes()].concat());
    let ok = message(b'R', &[0; 4]);
    let cases = [
        vec![Vec::new()],
        vec![message(b'R', b"\0")],
        vec![message(b'R', b"\0\0\0\x07")],
        vec![challenge("r=x,s=AAAA,i=4096")],
        vec![message(b'R', b"\0\0\0\x0cv=x")],
        vec![sasl.clone(), challenge("nonsense")],
        // Without a limit on the iterations, this case takes half an hour.
        vec![sasl.clone(), challenge("r=NONCEx,s=AAAA,i=4294967295")],
        vec![sasl.clone(), challenge("r=NONCEx,s=AAAA")],
        vec![sasl, challenge("r=other,s=AAAA,i=4096")],
        vec![[&ok[..], &message(b'K', b"\0\0")].concat()],
        vec![vec![b'R', 0x7f, 0, 0, 0]],
        vec![vec![b'R', 0, 0, 0, 1]],
        vec![message(b'E', b"CDL010\0")],
    ];
    for case in cases {
        let text = format!("{case:?}");
        assert!(log_in(case).is_err(), "{text}");
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x0009_04e5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates rows of a status query, some with malformed columns or lengths.
fn row() -> impl Strategy<Value = Vec<u8>> {
    let column = prop_oneof![
        Just("t".to_owned()),
        Just("7".to_owned()),
        Just("0/1A".to_owned()),
        "[0-9A-F/]{0,20}",
        any::<String>(),
    ];
    let columns = proptest::collection::vec(column, 0..7);
    (columns, any::<Option<(u16, u32)>>()).prop_map(|(columns, odd)| {
        let count = odd.map_or(columns.len() as u16, |it| it.0);
        let mut body = count.to_be_bytes().to_vec();
        for (index, column) in columns.iter().enumerate() {
            let length = match odd {
                Some((_, length)) if index == 2 => length,
                _ => column.len() as u32,
            };
            body.extend(length.to_be_bytes());
            body.extend(column.as_bytes());
        }
        body
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_status_is_read_or_refused(
        body in prop_oneof![row(), proptest::collection::vec(any::<u8>(), 0..100)],
    ) {
        let mut src = ntex::util::BytesMut::copy_from_slice(message(b'D', &body));
        let frame = pg::Codec.decode(&mut src).unwrap().unwrap();
        if let Err(error) = parse_report(&frame) {
            prop_assert!(matches!(error, Error::Status(_)));
        }
    }
}
