//! Property tests of the decoders of logins and session settings.

use catalog::scram::Verifier;
use hmac::{Hmac, Mac};
use proptest::{prelude::*, test_runner::RngSeed};
use sha2::{Digest, Sha256};

use super::{
    auth::{self, Exchange},
    change, greet, local,
};
use crate::job::Change;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x0ca1_1e75),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const CLIENT_KEY: [u8; 32] = [7; 32];

fn verifier() -> Verifier {
    Verifier {
        iterations: 4_096,
        salt: b"salt".to_vec(),
        stored: Sha256::digest(CLIENT_KEY).into(),
        server: [9; 32],
    }
}

fn open() -> Exchange {
    Exchange::open(verifier(), b"n,,n=,r=nonce", &[1; 18]).expect("a first message")
}

/// Client's final message with the right key.
fn proof(exchange: &Exchange) -> String {
    use base64::{Engine, engine::general_purpose::STANDARD};
    let nonce = exchange.challenge().split(',').next().expect("a nonce");
    let without = format!("c=biws,{nonce}");
    let signed = format!("n=,r=nonce,{},{without}", exchange.challenge());
    let mut mac = Hmac::<Sha256>::new_from_slice(&verifier().stored).expect("a key");
    mac.update(signed.as_bytes());
    let signature = mac.finalize().into_bytes();
    let proof: Vec<u8> = signature
        .iter()
        .zip(CLIENT_KEY)
        .map(|(a, b)| a ^ b)
        .collect();
    format!("{without},p={}", STANDARD.encode(proof))
}

#[test]
fn a_valid_proof_passes_and_a_mock_verifier_accepts_none() {
    let exchange = open();
    assert!(exchange.finish(proof(&exchange).as_bytes()).is_ok());
    let mock = auth::mock(&[3; 32], "nobody", Some(&verifier()));
    assert_eq!((mock.iterations, mock.salt.len()), (4_096, 4));
    assert_eq!(mock, auth::mock(&[3; 32], "nobody", Some(&verifier())));
    let exchange = Exchange::open(mock, b"n,,n=,r=nonce", &[1; 18]).expect("a first message");
    assert_eq!(
        exchange.finish(proof(&exchange).as_bytes()),
        Err(auth::Error::Proof)
    );
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn login_messages_are_accepted_or_refused(
        bytes in proptest::collection::vec(any::<u8>(), 0..100),
        text in "[nyp=,]{0,4}[a-z=,]{0,12}",
    ) {
        greet::initial_response(&bytes);
        for first in [&bytes[..], text.as_bytes()] {
            if let Ok(exchange) = Exchange::open(verifier(), first, &[1; 18]) {
                prop_assert!(exchange.challenge().len() <= first.len() + 64);
                prop_assert!(exchange.finish(first).is_err());
            }
        }
    }

    /// A proof with one changed byte must fail, wherever that byte is.
    #[test]
    fn a_changed_proof_never_passes(at: prop::sample::Index, byte: u8) {
        let exchange = open();
        let mut bytes = proof(&exchange).into_bytes();
        let at = at.index(bytes.len());
        prop_assume!(bytes[at] != byte);
        bytes[at] = byte;
        prop_assert!(exchange.finish(&bytes).is_err());
    }

    #[test]
    fn statements_on_settings_are_parsed_or_ignored(
        text in any::<String>(),
        sql in "(SET|RESET|DISCARD|SHOW|DEALLOCATE|set session characteristics as transaction) \
            [a-zA-Z.]{0,10}( |=|;|'|,|\"|/\\*|\\*/|TO|ALL|TIME ZONE|NAMES|DEFAULT|[a-z0-9]){0,8}",
    ) {
        for sql in [&text, &sql] {
            let size: usize = change::changes(sql).iter().map(|change| match change {
                Change::Set(key, value) => key.len() + value.len(),
                Change::Reset(key) => key.len(),
                Change::ResetAll => 0,
            }).sum();
            // A setting's name may be longer than its keyword in the statement,
            // and quotes are added.
            prop_assert!(size <= 3 * sql.len() + 40);
            change::only_changes(sql);
            local::read(sql);
            local::is_own(sql);
        }
    }

    #[test]
    fn options_are_parsed_or_ignored(text in any::<String>(), near in "(-c ?|--|[a-z.=\\\\ ]){0,20}") {
        for text in [&text, &near] {
            let found = greet::options(text);
            let size: usize = found.iter().map(|(key, value)| key.len() + value.len()).sum();
            prop_assert!(size <= text.len());
        }
    }
}

#[test]
fn changes_are_parsed_as_by_the_server() {
    let set = |key: &str, value: &str| Change::Set(key.to_owned(), value.to_owned());
    let cases = [
        ("SET a.B = 'it''s'", vec![set("a.b", "it's")]),
        (
            "set search_path to 'a', 'b'",
            vec![set("search_path", "\"a\", \"b\"")],
        ),
        ("SET x TO DEFAULT", vec![Change::Reset("x".to_owned())]),
        (
            "SET TIME ZONE 'Africa/Kigali';",
            vec![set("timezone", "Africa/Kigali")],
        ),
        (
            "SET TIME ZONE LOCAL",
            vec![Change::Reset("timezone".to_owned())],
        ),
        ("SET NAMES 'UTF8'", vec![set("client_encoding", "UTF8")]),
        ("SET LOCAL x = 1", vec![]),
        ("SELECT 1", vec![]),
        ("RESET ALL /* x */", vec![Change::ResetAll]),
        (
            "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY, ISOLATION LEVEL REPEATABLE READ",
            vec![
                set("default_transaction_read_only", "on"),
                set("default_transaction_isolation", "repeatable read"),
            ],
        ),
    ];
    for (sql, expected) in cases {
        assert_eq!(change::changes(sql), expected, "{sql}");
    }
}
