//! The layout of the store's keys that the fleet mirrors.
//!
//! ```text
//! catalog/head                 the catalogue's format, epoch and change id
//! catalog/tenant/<tenant>      one value per tenant
//! catalog/database/<database>  one value per database
//! catalog/entry/<entry>        one value per entry
//! primary/<database>           one record per database
//! ```
//!
//! One key per entry, because a value holds at most 1 MB and 6,600 databases
//! with their entries do not fit in it, and because the store's revision of
//! each key then tells what differs. Every change of the catalogue also writes
//! the head, in the same transaction.

use serde::{Deserialize, Serialize};

/// The key of the catalogue's [`Head`].
pub const HEAD: &str = "catalog/head";
/// The first key that is mirrored.
pub const RANGE_START: &str = "catalog/";
/// The first key past those that are mirrored.
///
/// Other keys of the system, such as leases, must sort outside of this range,
/// or every one of their changes would be told to the whole fleet.
pub const RANGE_END: &str = "primary0";

pub(crate) const CATALOG: &str = "catalog/";
pub(crate) const PRIMARY: &str = "primary/";

/// The value under [`HEAD`], as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The format that the catalogue's values are written in.
    pub format: u16,
    /// Raised by operators after the store was restored from a backup.
    #[serde(default)]
    pub epoch: u32,
    /// Marks the change, so that an operator whose answer was lost recognises
    /// their own.
    #[serde(default)]
    pub change: String,
}

impl Head {
    /// Reads a head; `None` when the value is not one.
    ///
    /// ```
    /// let head = fleet::Head::parse(br#"{"format":1,"change":"a"}"#).unwrap();
    /// assert_eq!(head.epoch, 0);
    /// ```
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
