//! Client accounts, their keys and quotas.
//!
//! A key is kept only as its digest, from the moment it is read. Logs, metrics, upstreams and other
//! instances get the account's name.

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
/// Digests are compared in constant time: an early exit would tell an attacker how many bytes of a
/// guess are right.
#[derive(Debug, Clone, Copy)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `key`.
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
    /// The account's name.
    pub name: Rc<str>,
    /// Limit on the account's operations.
    pub quota: Option<Quota>,
}

/// Limit on an account's operations, over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may come at once beyond the rate.
    pub burst: f64,
}

/// The accounts of a catalogue, indexed by the digests of their keys.
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

    /// Returns the account that holds the key with this digest.
    pub fn by_key(&self, key: &Digest) -> Option<&Rc<Account>> {
        self.keys.get(key)
    }

    /// Returns true if no account has a key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the names of the accounts that have a quota.
    pub fn with_quota(&self) -> impl Iterator<Item = &str> {
        self.quotas.keys().map(|name| &**name)
    }

    /// Returns the quota of the account with this name, if it has one.
    pub fn quota(&self, account: &str) -> Option<Quota> {
        self.quotas.get(account).copied()
    }
}

/// The authenticated caller of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Digest of the key that the caller presented.
    pub key: Digest,
    /// Name of the account that held the key when the session started.
    pub account: Rc<str>,
}

/// The request that starts a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Name of the requested database.
    pub database: Bytes,
    /// Digest of the caller's key.
    pub key: Option<Digest>,
}
