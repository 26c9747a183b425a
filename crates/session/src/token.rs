//! Tokens: a session's floor as opaque, versioned and authenticated text.
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

/// The most bytes that a token's text has.
pub const MAX_TEXT: usize = 64;

const VERSION: u8 = 1;
const BODY: usize = 26;
const TAG: usize = 16;
const TOKEN: usize = BODY + TAG;
const MIN_SECRET: usize = 32;

/// Keeps a tag made for another purpose under the same secret from passing here.
const CONTEXT: &[u8] = b"dandelionlink session token";

/// Why a text is not a token, or a secret not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not base64url without padding.
    #[error("the session token is not base64url")]
    Encoding,
    /// The text is truncated or too long.
    #[error("the session token has a wrong length of {0} bytes")]
    Length(usize),
    /// A format that this build does not read.
    #[error("the session token has version {0}, which is not known here")]
    Version(u8),
    /// It was signed with a key that is not, or no longer, held here.
    #[error("the session token was signed with key {0}, which is not held here")]
    Key(u8),
    /// The signature does not fit: the token is corrupt or forged.
    #[error("the session token's signature does not fit")]
    Signature,
    /// The token belongs to another database.
    #[error("the session token belongs to another database")]
    Database,
    /// The secret is too short to sign with.
    #[error("a session key has at least {MIN_SECRET} bytes, this one has {0}")]
    Secret(usize),
}

/// The hash under which a token names its database.
pub fn database_hash(database: &name::Database) -> u64 {
    xxh3_64(database.as_str().as_bytes())
}

/// A session's floor in one database, as a caller carries it along.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The database, as [`database_hash`] names it.
    pub database: u64,
    /// Everything acknowledged up to here is visible to the session's reads.
    pub position: Position,
}

impl Token {
    /// Makes the token of `database` at `position`.
    pub fn new(database: &name::Database, position: Position) -> Self {
        Self {
            database: database_hash(database),
            position,
        }
    }

    /// Signs the token with the current key and writes it as text.
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

    /// Reads a token's text and proves that one of `keys` signed it for `database`.
    ///
    /// # Errors
    ///
    /// [`Error`] tells what is wrong. A caller whose token failed may still be
    /// served with an unknown floor, which is safe and only costs a round.
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

/// A secret that signs tokens, and the id that tokens name it by.
#[derive(Clone)]
pub struct Key {
    id: u8,
    mac: Hmac<Sha256>,
}

impl Key {
    /// Makes a key of a secret of at least 32 bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Secret`] when the secret is shorter.
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

/// Shows the id only, so that no log ever holds the secret.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// The key that signs, and a second one that is accepted beside it.
///
/// A key is changed without a stop in three rollouts: the new key is accepted
/// everywhere, then signs everywhere, then the old one is dropped.
#[derive(Debug, Clone)]
pub struct Keys {
    current: Key,
    other: Option<Key>,
}

impl Keys {
    /// Signs with `current` and accepts no other.
    pub fn new(current: Key) -> Self {
        Self {
            current,
            other: None,
        }
    }

    /// Accepts `other` as well: the previous key, or the next one.
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
