//! Shared keys from the settings, of which two may be valid at once.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::frame::TAG_LEN;

/// Minimum length of a secret in bytes.
const SECRET_MIN: usize = 16;

/// A shared secret, and the id by which frames refer to the key.
#[derive(Debug, Clone)]
pub struct Key {
    id: u8,
    mac: Hmac<Sha256>,
}

/// Reason why a text is not a valid ring of keys.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No key is given.
    #[error("at least one peer key is needed")]
    None,
    /// More than two keys are given.
    #[error("at most two peer keys may be valid at once")]
    TooMany,
    /// Two keys have the same id.
    #[error("two peer keys have the id {0}")]
    SameId(u8),
    /// A key is not written as its id, a colon and its secret, as in
    /// `7:00112233…`.
    #[error("a peer key must be its id, a colon and its secret in hexadecimal")]
    Shape,
    /// A secret is not hexadecimal.
    #[error("the secret of peer key {0} is not hexadecimal")]
    Hexadecimal(u8),
    /// A secret is too short.
    #[error("the secret of peer key {0} has fewer than {SECRET_MIN} bytes")]
    Short(u8),
}

impl Key {
    /// Creates a key from a secret of at least 16 bytes.
    ///
    /// # Errors
    ///
    /// [`KeyError::Short`] if the secret is shorter.
    pub fn new(id: u8, secret: &[u8]) -> Result<Self, KeyError> {
        if secret.len() < SECRET_MIN {
            return Err(KeyError::Short(id));
        }
        let mac = Hmac::new_from_slice(secret).map_err(|_| KeyError::Short(id))?;
        Ok(Self { id, mac })
    }

    /// Id by which frames refer to the key.
    pub fn id(&self) -> u8 {
        self.id
    }

    pub(crate) fn tag(&self, context: &[u8], bytes: &[u8]) -> [u8; TAG_LEN] {
        let mut mac = self.mac.clone();
        mac.update(context);
        mac.update(bytes);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG_LEN]);
        tag
    }

    pub(crate) fn verifies(&self, context: &[u8], bytes: &[u8], tag: &[u8]) -> bool {
        let mut mac = self.mac.clone();
        mac.update(context);
        mac.update(bytes);
        mac.verify_truncated_left(tag).is_ok()
    }
}

/// The valid keys, of which the first seals new frames.
///
/// A key is rotated without downtime by three changes of the settings on all
/// instances: the new key is added as the second, then moved to the first
/// place, then the old key is removed.
#[derive(Debug, Clone)]
pub struct Ring {
    keys: Vec<Key>,
}

impl Ring {
    /// Parses a ring such as `2:00112233445566778899aabbccddeeff,1:…`.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the text is invalid; the error never contains a secret.
    ///
    /// ```
    /// let ring = wire::Ring::parse("7:00112233445566778899aabbccddeeff").unwrap();
    /// assert_eq!(ring.sealing().id(), 7);
    /// ```
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let keys = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(parse_key)
            .collect::<Result<Vec<_>, _>>()?;
        Self::new(keys)
    }

    /// Creates a ring of one or two keys, of which the first seals.
    ///
    /// # Errors
    ///
    /// [`KeyError`] for no keys, more than two keys, or two keys with one id.
    pub fn new(keys: Vec<Key>) -> Result<Self, KeyError> {
        match keys.as_slice() {
            [] => Err(KeyError::None),
            [_] => Ok(Self { keys }),
            [a, b] if a.id == b.id => Err(KeyError::SameId(a.id)),
            [_, _] => Ok(Self { keys }),
            _ => Err(KeyError::TooMany),
        }
    }

    /// The key that seals new frames.
    pub fn sealing(&self) -> &Key {
        &self.keys[0]
    }

    pub(crate) fn find(&self, id: u8) -> Option<&Key> {
        self.keys.iter().find(|key| key.id == id)
    }
}

fn parse_key(text: &str) -> Result<Key, KeyError> {
    let (id, secret) = text.split_once(':').ok_or(KeyError::Shape)?;
    let id = id.parse().map_err(|_| KeyError::Shape)?;
    let secret = parse_hex(secret).ok_or(KeyError::Hexadecimal(id))?;
    Key::new(id, &secret)
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
