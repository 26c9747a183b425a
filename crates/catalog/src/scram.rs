//! SCRAM-SHA-256 verifiers (RFC 5802, RFC 7677) in PostgreSQL's text format.

use std::ops::RangeInclusive;

use base64::{Engine, engine::general_purpose::STANDARD};

/// Accepted iteration counts; RFC 7677 requires at least 4,096.
pub const ITERATIONS: RangeInclusive<u32> = 4_096..=1_000_000;

/// Bytes of a SHA-256 digest and of each of the two keys.
pub const KEY_LEN: usize = 32;

const SCHEME: &str = "SCRAM-SHA-256";

/// Verifier that a server stores instead of a password. The password can be
/// checked against the verifier but not derived from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verifier {
    /// Iteration count of the key derivation.
    pub iterations: u32,
    /// Salt of the key derivation.
    pub salt: Vec<u8>,
    /// `StoredKey`, against which a client's proof is checked.
    pub stored: [u8; KEY_LEN],
    /// `ServerKey`, with which the server proves that it has the verifier.
    pub server: [u8; KEY_LEN],
}

/// Reason why a text is not a verifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Parts are missing or out of order.
    #[error("a verifier is written SCRAM-SHA-256$iterations:salt$stored:server")]
    Format,
    /// The iteration count is not a number in [`ITERATIONS`].
    #[error("a verifier has from {} to {} iterations", ITERATIONS.start(), ITERATIONS.end())]
    Iterations,
    /// The salt is empty or not base64.
    #[error("the salt of a verifier is base64 and not empty")]
    Salt,
    /// A key is not the base64 of [`KEY_LEN`] bytes.
    #[error("the stored and server keys of a verifier are base64 of {KEY_LEN} bytes each")]
    Key,
}

impl Verifier {
    /// Parses a verifier in PostgreSQL's text format.
    ///
    /// ```
    /// let key = "A".repeat(43) + "=";
    /// let text = format!("SCRAM-SHA-256$4096:c2FsdA==${key}:{key}");
    /// let verifier = catalog::scram::Verifier::parse(&text).unwrap();
    /// assert_eq!(verifier.salt, b"salt");
    /// ```
    ///
    /// # Errors
    ///
    /// [`Error`] names the invalid part and never contains the text itself.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut parts = text.split('$');
        let (Some(SCHEME), Some(first), Some(second), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Error::Format);
        };
        let (iterations, salt) = first.split_once(':').ok_or(Error::Format)?;
        let (stored, server) = second.split_once(':').ok_or(Error::Format)?;

        let iterations = iterations.parse().map_err(|_| Error::Iterations)?;
        if !ITERATIONS.contains(&iterations) {
            return Err(Error::Iterations);
        }
        let salt = STANDARD.decode(salt).map_err(|_| Error::Salt)?;
        if salt.is_empty() {
            return Err(Error::Salt);
        }
        Ok(Self {
            iterations,
            salt,
            stored: decode_key(stored)?,
            server: decode_key(server)?,
        })
    }
}

fn decode_key(text: &str) -> Result<[u8; KEY_LEN], Error> {
    let bytes = STANDARD.decode(text).map_err(|_| Error::Key)?;
    bytes.try_into().map_err(|_| Error::Key)
}
