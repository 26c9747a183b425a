//! SCRAM-SHA-256 from the server's side, as RFC 5802 and RFC 7677 have it.
//!
//! The catalogue keeps verifiers only, so a reader of the catalogue can't log
//! in with what it finds there.

use base64::{Engine, engine::general_purpose::STANDARD};
use catalog::scram::Verifier;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// Why a login failed; callers are told only that it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The message is not of the exchange's form.
    #[error("the message is not one of SCRAM-SHA-256")]
    Form,
    /// The nonce is not the one that was given.
    #[error("the nonce is another one")]
    Nonce,
    /// The proof does not fit the verifier.
    #[error("the proof does not fit")]
    Proof,
}

/// An exchange after the caller's first message.
#[derive(Debug)]
pub(crate) struct Exchange {
    verifier: Verifier,
    client_first_bare: String,
    server_first: String,
    nonce: String,
    gs2_header: String,
}

impl Exchange {
    /// Takes the caller's first message; `salt` makes the nonce unforeseeable.
    ///
    /// # Errors
    ///
    /// [`Error::Form`] when the message is malformed or wants channel binding.
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

    /// The server's first message.
    pub(crate) fn challenge(&self) -> &str {
        &self.server_first
    }

    /// Checks the caller's last message and returns the server's.
    ///
    /// # Errors
    ///
    /// [`Error`] when the proof does not fit or the message is malformed.
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
        // All bytes are compared, so that the time taken tells nothing.
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

/// The iterations of a verifier that PostgreSQL makes by its defaults.
const DEFAULT_ITERATIONS: u32 = 4_096;

/// The bytes of such a verifier's salt.
const DEFAULT_SALT_LEN: usize = 16;

/// A verifier for a user that does not exist, which no proof fits.
///
/// Its salt comes from a secret that all instances share, so that it is the
/// same each time, as a real user's is; `template` is a real verifier that it
/// takes its form from. An attacker could else tell who has an account.
pub(crate) fn mock(secret: &[u8; 32], user: &str, template: Option<&Verifier>) -> Verifier {
    let salt = mac(secret, user.as_bytes());
    let length = template.map_or(DEFAULT_SALT_LEN, |it| it.salt.len().min(salt.len()));
    Verifier {
        iterations: template.map_or(DEFAULT_ITERATIONS, |it| it.iterations),
        salt: salt[..length].to_vec(),
        // No digest of a key that anybody knows.
        stored: mac(secret, &salt),
        server: mac(secret, &[&salt[..], &salt[..]].concat()),
    }
}

fn mac(key: &[u8], data: &[u8]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("an HMAC takes a key of any length");
    mac.update(data);
    mac.finalize().into_bytes().into()
}
