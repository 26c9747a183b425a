//! Server side of SCRAM-SHA-256 (RFC 5802 and RFC 7677).
//!
//! The catalogue stores verifiers only, so reading the catalogue does not
//! suffice to log in.

use base64::{Engine, engine::general_purpose::STANDARD};
use catalog::scram::Verifier;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// Error of a login; the caller learns only that the login failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The message is malformed.
    #[error("the message is not one of SCRAM-SHA-256")]
    Form,
    /// The nonce is not the one that was issued.
    #[error("the nonce does not match")]
    Nonce,
    /// The proof does not match the verifier.
    #[error("the proof does not match the verifier")]
    Proof,
}

/// A SCRAM exchange after the client's first message.
#[derive(Debug)]
pub(crate) struct Exchange {
    verifier: Verifier,
    client_first_bare: String,
    server_first: String,
    nonce: String,
    gs2_header: String,
}

impl Exchange {
    /// Starts an exchange with the client's first message; `salt` makes the
    /// nonce unpredictable.
    ///
    /// # Errors
    ///
    /// [`Error::Form`] if the message is malformed or requires channel binding.
    pub(crate) fn open(verifier: Verifier, message: &[u8], salt: &[u8; 18]) -> Result<Self, Error> {
        let text = std::str::from_utf8(message).map_err(|_| Error::Form)?;
        let header_end = text.match_indices(',').nth(1).ok_or(Error::Form)?.0 + 1;
        let (gs2_header, client_first_bare) = text.split_at(header_end);
        if !gs2_header.starts_with("n,") && !gs2_header.starts_with("y,") {
            return Err(Error::Form);
        }
        let client = client_first_bare
            .split(',')
            .find_map(|it| it.strip_prefix("r="))
            .ok_or(Error::Form)?;
        let nonce = format!("{client}{}", STANDARD.encode(salt));
        let salt = STANDARD.encode(&verifier.salt);
        let server_first = format!("r={nonce},s={salt},i={}", verifier.iterations);
        Ok(Self {
            verifier,
            client_first_bare: client_first_bare.to_owned(),
            server_first,
            nonce,
            gs2_header: gs2_header.to_owned(),
        })
    }

    /// Server's first message.
    pub(crate) fn challenge(&self) -> &str {
        &self.server_first
    }

    /// Verifies the client's final message and returns the server's final
    /// message.
    ///
    /// # Errors
    ///
    /// [`Error`] if the proof does not match or the message is malformed.
    pub(crate) fn finish(&self, message: &[u8]) -> Result<String, Error> {
        let text = std::str::from_utf8(message).map_err(|_| Error::Form)?;
        let (without_proof, proof) = text.rsplit_once(",p=").ok_or(Error::Form)?;
        let mut fields = without_proof.split(',');
        let binding = fields
            .next()
            .and_then(|it| it.strip_prefix("c="))
            .ok_or(Error::Form)?;
        if binding != STANDARD.encode(&self.gs2_header) {
            return Err(Error::Form);
        }
        let nonce = fields
            .next()
            .and_then(|it| it.strip_prefix("r="))
            .ok_or(Error::Form)?;
        if nonce != self.nonce {
            return Err(Error::Nonce);
        }
        let signed = format!(
            "{},{},{without_proof}",
            self.client_first_bare, self.server_first
        );
        self.check(&signed, &STANDARD.decode(proof).map_err(|_| Error::Form)?)?;
        let signature = mac(&self.verifier.server, signed.as_bytes());
        Ok(format!("v={}", STANDARD.encode(signature)))
    }

    fn check(&self, signed: &str, proof: &[u8]) -> Result<(), Error> {
        let signature = mac(&self.verifier.stored, signed.as_bytes());
        if proof.len() != signature.len() {
            return Err(Error::Form);
        }
        let client_key: Vec<u8> = proof.iter().zip(signature).map(|(a, b)| a ^ b).collect();
        let digest: [u8; 32] = Sha256::digest(&client_key).into();
        // All bytes are compared, so that the duration reveals nothing.
        let difference = digest
            .iter()
            .zip(self.verifier.stored)
            .fold(0, |all, (a, b)| all | (a ^ b));
        if difference == 0 {
            Ok(())
        } else {
            Err(Error::Proof)
        }
    }
}

/// Iterations of a verifier that PostgreSQL creates by default.
const DEFAULT_ITERATIONS: u32 = 4_096;

/// Salt length of such a verifier, in bytes.
const DEFAULT_SALT_LEN: usize = 16;

/// Creates a verifier for an unknown user, which no proof matches.
///
/// The salt is derived from a secret that all instances share, so that it is
/// the same at each login, as for a real user. `template` is a real verifier
/// whose iterations and salt length are copied. Otherwise an attacker could
/// tell which users exist.
pub(crate) fn mock(secret: &[u8; 32], user: &str, template: Option<&Verifier>) -> Verifier {
    let salt = mac(secret, user.as_bytes());
    let length = template.map_or(DEFAULT_SALT_LEN, |it| it.salt.len().min(salt.len()));
    Verifier {
        iterations: template.map_or(DEFAULT_ITERATIONS, |it| it.iterations),
        salt: salt[..length].to_vec(),
        // Not the digest of any known key.
        stored: mac(secret, &salt),
        server: mac(secret, &[&salt[..], &salt[..]].concat()),
    }
}

fn mac(key: &[u8], data: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("an HMAC takes a key of any length");
    mac.update(data);
    mac.finalize().into_bytes().into()
}
