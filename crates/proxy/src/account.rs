//! Client accounts: who may ask, by which key, and how often.
//!
//! A key is kept as its digest only, from the moment it is read. Logs, metrics, upstreams
//! and other instances are told the account's name.

use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
    rc::Rc,
};

use bytes::Bytes;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// The digest of a key.
///
/// Two are compared in constant time: an early end would tell whoever guesses keys how
/// much of a digest is right.
#[derive(Debug, Clone, Copy)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of `key`.
    ///
    /// ```
    /// use proxy::account::Digest;
    /// assert_eq!(Digest::of(b"a"), Digest::of(b"a"));
    /// assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
    /// ```
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl PartialEq for Digest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Digest {}

impl Hash for Digest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: Rc<str>,
    /// How many operations it may ask for, all instances together.
    pub quota: Option<Quota>,
}

/// How many operations an account may ask for, all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// In a second.
    pub rate: f64,
    /// At once, beyond the rate.
    pub burst: f64,
}

/// The accounts of a catalogue, by the digests of their keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Accounts {
    keys: HashMap<Digest, Rc<Account>>,
    quotas: HashMap<Rc<str>, Quota>,
}

impl Accounts {
    /// Adds an account with its keys.
    pub fn add(&mut self, account: Account, keys: impl IntoIterator<Item = Digest>) {
        if let Some(quota) = account.quota {
            self.quotas.insert(Rc::clone(&account.name), quota);
        }
        let account = Rc::new(account);
        for key in keys {
            self.keys.insert(key, Rc::clone(&account));
        }
    }

    /// The account that holds the key with this digest.
    pub fn by_key(&self, key: &Digest) -> Option<&Rc<Account>> {
        self.keys.get(key)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The names of the accounts that have a quota.
    pub fn with_quota(&self) -> impl Iterator<Item = &str> {
        self.quotas.keys().map(|name| &**name)
    }

    /// The quota of the account with this name, if it has one.
    pub fn quota(&self, account: &str) -> Option<Quota> {
        self.quotas.get(account).copied()
    }
}

/// Who a session belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The key that it came with.
    pub key: Digest,
    /// The name of the account that held the key then.
    pub account: Rc<str>,
}

/// How a session begins: which database is wanted, and by whom.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// The name of the database.
    pub database: Bytes,
    /// The digest of the key that the caller gave.
    pub key: Option<Digest>,
}
