//! Tests of session tokens: valid ones, and the error for each kind of invalid one.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use model::{Position, name};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use session::{Error, Key, Keys, MAX_TEXT, Token};

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    TestRunner::new_with_rng(Config::with_cases(512), rng)
}

fn database(text: &str) -> name::Database {
    name::Database::new(text).unwrap()
}

fn key(id: u8) -> Key {
    Key::new(id, &[id; 32]).unwrap()
}

fn reshape(text: &str, change: impl Fn(&mut Vec<u8>)) -> String {
    let mut bytes = URL_SAFE_NO_PAD.decode(text).unwrap();
    change(&mut bytes);
    URL_SAFE_NO_PAD.encode(bytes)
}

#[test]
fn round_trip_at_every_position_within_64_bytes() {
    let keys = Keys::new(key(1));
    let arena = database("arena");
    runner()
        .run(&(any::<u64>(), any::<u64>()), |(term, lsn)| {
            let token = Token::new(&arena, Position::new(term, lsn));
            let text = token.encode(&keys);
            prop_assert!(text.len() <= MAX_TEXT);
            prop_assert_eq!(Token::decode(&text, &keys, &arena), Ok(token));
            Ok(())
        })
        .unwrap();
}

/// Guards against a floor that no instance has signed. Bits of the token change on
/// the way, or the caller forges one.
#[test]
fn any_changed_bit_is_refused() {
    let keys = Keys::new(key(1)).accept(key(2));
    let arena = database("arena");
    let text = Token::new(&arena, Position::new(3, 0x1234)).encode(&keys);
    for bit in 0..42 * 8 {
        let forged = reshape(&text, |bytes| bytes[bit / 8] ^= 1 << (bit % 8));
        let error = Token::decode(&forged, &keys, &arena).unwrap_err();
        let expected = match bit / 8 {
            0 => matches!(error, Error::Version(_)),
            1 => matches!(error, Error::Key(_) | Error::Signature),
            _ => error == Error::Signature,
        };
        assert!(expected, "bit {bit} gave {error:?}");
    }
}

#[test]
fn each_defect_has_its_error() {
    let keys = Keys::new(key(1));
    let arena = database("arena");
    let text = Token::new(&arena, Position::new(3, 9)).encode(&keys);
    let decode = |text: &str| Token::decode(text, &keys, &arena).unwrap_err();
    assert_eq!(decode(""), Error::Length(0));
    assert_eq!(decode("not a token!"), Error::Encoding);
    assert_eq!(
        decode(&reshape(&text, |b| b.truncate(41))),
        Error::Length(41)
    );
    assert_eq!(decode(&reshape(&text, |b| b.push(0))), Error::Length(43));
    assert_eq!(decode(&"A".repeat(65)), Error::Length(65));
    assert_eq!(decode(&reshape(&text, |b| b[0] = 2)), Error::Version(2));
    assert_eq!(decode(&reshape(&text, |b| b[1] = 9)), Error::Key(9));
    let other = Token::new(&database("paddock"), Position::new(3, 9)).encode(&keys);
    assert_eq!(decode(&other), Error::Database);
    assert_eq!(Key::new(1, &[1; 31]).unwrap_err(), Error::Secret(31));
}

/// Guards against refused tokens during a key rotation. Instances get the new key
/// at different times, and a caller moves between one that signs with the new key
/// and one that still signs with the old key.
#[test]
fn a_key_is_rotated_without_refused_tokens() {
    let rollouts = [
        Keys::new(key(1)),
        Keys::new(key(1)).accept(key(2)),
        Keys::new(key(2)).accept(key(1)),
        Keys::new(key(2)),
    ];
    let arena = database("arena");
    let token = Token::new(&arena, Position::new(1, 5));
    for pair in rollouts.windows(2) {
        for (signer, reader) in [(0, 1), (1, 0)] {
            let text = token.encode(&pair[signer]);
            assert_eq!(Token::decode(&text, &pair[reader], &arena), Ok(token));
        }
    }
    let dropped = token.encode(&rollouts[0]);
    assert_eq!(
        Token::decode(&dropped, &rollouts[3], &arena),
        Err(Error::Key(1))
    );
}

#[test]
fn arbitrary_text_is_refused_without_a_panic() {
    let keys = Keys::new(key(1));
    let arena = database("arena");
    runner()
        .run(&".{0,80}", |text| {
            prop_assert!(Token::decode(&text, &keys, &arena).is_err());
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_key_never_shows_its_secret() {
    let shown = format!("{:?}", Keys::new(key(77)));
    assert_eq!(shown, "Keys { current: Key { id: 77, .. }, other: None }");
}
