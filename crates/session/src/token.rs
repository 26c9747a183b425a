//! Session tokens: a floor as opaque, versioned and authenticated text.
//!
//! Layout before base64url: version (1 byte), key id (1), xxh3 of the
//! database's name (8), term (8), log position (8), and the first 16 bytes of
//! an HMAC-SHA-256 over a fixed context and all the bytes before it. Numbers
//! are big-endian.

use std::fmt;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use model::{Position, name};
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;

/// Largest size of a token's text, in bytes.
pub const MAX_TEXT: usize = 64;

const VERSION: u8 = 1;
const BODY: usize = 26;
const TAG: usize = 16;
const TOKEN: usize = BODY + TAG;
const MIN_SECRET: usize = 32;

/// Prefix of the signed bytes, so that a tag made for another purpose with the same
/// secret is not valid here.
const CONTEXT: &[u8] = b"dandelionlink session token";

/// Reasons why a text is not a valid token, or a secret not a valid key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not base64url without padding.
    #[error("the session token is not base64url")]
    Encoding,
    /// The length does not fit the format.
    #[error("the session token has a wrong length of {0} bytes")]
    Length(usize),
    /// The version of the format is not supported.
    #[error("the session token has version {0}, which is not known here")]
    Version(u8),
    /// The token was signed with a key that this instance does not have, or no
    /// longer has.
    #[error("the session token was signed with key {0}, which is not held here")]
    Key(u8),
    /// The signature is invalid: the token is corrupt or forged.
    #[error("the session token's signature does not fit")]
    Signature,
    /// The token belongs to another database.
    #[error("the session token belongs to another database")]
    Database,
    /// The secret is too short.
    #[error("a session key has at least {MIN_SECRET} bytes, this one has {0}")]
    Secret(usize),
}

/// Returns the hash that identifies a database in a token.
pub fn database_hash(database: &name::Database) -> u64 {
    xxh3_64(database.as_str().as_bytes())
}

/// The floor of a session in one database, as a token carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The database, as its [`database_hash`].
    pub database: u64,
    /// Position that the session's reads must have reached.
    pub position: Position,
}

impl Token {
    /// Creates a token for `database` at `position`.
    pub fn new(database: &name::Database, position: Position) -> Self {
        Self {
            database: database_hash(database),
            position,
        }
    }

    /// Signs the token with the current key and encodes it as text.
    ///
    /// ```
    /// use model::{Position, name};
    /// use session::{Key, Keys, Token};
    ///
    /// let keys = Keys::new(Key::new(1, &[7; 32]).unwrap());
    /// let arena = name::Database::new("arena").unwrap();
    /// let token = Token::new(&arena, Position::new(3, 90));
    /// let text = token.encode(&keys);
    /// assert_eq!(text.len(), 56);
    /// assert_eq!(Token::decode(&text, &keys, &arena), Ok(token));
    /// ```
    pub fn encode(&self, keys: &Keys) -> String {
        let key = &keys.current;
        let mut bytes = [0; TOKEN];
        bytes[0] = VERSION;
        bytes[1] = key.id;
        bytes[2..10].copy_from_slice(&self.database.to_be_bytes());
        bytes[10..18].copy_from_slice(&self.position.term.0.to_be_bytes());
        bytes[18..BODY].copy_from_slice(&self.position.lsn.0.to_be_bytes());
        let tag = key.mac(&bytes[..BODY]).finalize().into_bytes();
        bytes[BODY..].copy_from_slice(&tag[..TAG]);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token and verifies that one of `keys` signed it for `database`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the token is invalid. Its caller may still be served
    /// with an unknown floor, which is safe and costs a confirmation round.
    pub fn decode(text: &str, keys: &Keys, database: &name::Database) -> Result<Self, Error> {
        if text.len() > MAX_TEXT {
            return Err(Error::Length(text.len()));
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Encoding)?;
        let version = *bytes.first().ok_or(Error::Length(0))?;
        if version != VERSION {
            return Err(Error::Version(version));
        }
        let bytes: [u8; TOKEN] = bytes
            .try_into()
            .map_err(|b: Vec<u8>| Error::Length(b.len()))?;
        let (body, tag) = bytes.split_at(BODY);
        let key = keys.find(body[1]).ok_or(Error::Key(body[1]))?;
        key.mac(body)
            .verify_truncated_left(tag)
            .map_err(|_| Error::Signature)?;
        let token = Self {
            database: number(&body[2..10]),
            position: Position::new(number(&body[10..18]), number(&body[18..])),
        };
        if token.database != database_hash(database) {
            return Err(Error::Database);
        }
        Ok(token)
    }
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, &b| n << 8 | u64::from(b))
}

/// A secret that signs tokens, and its id in tokens.
#[derive(Clone)]
pub struct Key {
    id: u8,
    mac: Hmac<Sha256>,
}

impl Key {
    /// Creates a key from a secret of at least 32 bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Secret`] if the secret is shorter.
    pub fn new(id: u8, secret: &[u8]) -> Result<Self, Error> {
        if secret.len() < MIN_SECRET {
            return Err(Error::Secret(secret.len()));
        }
        let mac = Hmac::new_from_slice(secret).map_err(|_| Error::Secret(secret.len()))?;
        Ok(Self { id, mac })
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        self.mac.clone().chain_update(CONTEXT).chain_update(body)
    }
}

/// Formats the id only, to keep the secret out of logs.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// The key that signs tokens, and an optional second one that is also accepted.
///
/// Three rollouts rotate a key without refused tokens: all instances accept the new
/// key, then all sign with it, then all drop the old one.
#[derive(Debug, Clone)]
pub struct Keys {
    current: Key,
    other: Option<Key>,
}

impl Keys {
    /// Creates keys that sign with `current` and accept no other key.
    pub fn new(current: Key) -> Self {
        Self {
            current,
            other: None,
        }
    }

    /// Also accepts `other`, which is the previous or the next key.
    pub fn accept(mut self, other: Key) -> Self {
        self.other = Some(other);
        self
    }

    fn find(&self, id: u8) -> Option<&Key> {
        if self.current.id == id {
            return Some(&self.current);
        }
        self.other.as_ref().filter(|key| key.id == id)
    }
}
