//! Layout of the store's keys that are mirrored.
//!
//! ```text
//! catalog/head                 the catalogue's format, epoch and change id
//! catalog/tenant/<tenant>      one value per tenant
//! catalog/database/<database>  one value per database
//! catalog/entry/<entry>        one value per entry
//! primary/<database>           one record per database
//! ```
//!
//! Each entry has its own key, because a value holds at most 1 MB, too little
//! for 6,600 databases with their entries, and because the store's revision of
//! each key then identifies what changed. Every change of the catalogue also
//! writes the head, in the same transaction.

use serde::{Deserialize, Serialize};

/// Key of the catalogue's [`Head`].
pub const HEAD: &str = "catalog/head";
/// First mirrored key.
pub const RANGE_START: &str = "catalog/";
/// First key past the mirrored ones.
///
/// Other keys of the system, such as leases, must sort outside of this range;
/// otherwise each of their changes would be sent to all instances.
pub const RANGE_END: &str = "primary0";

pub(crate) const CATALOG: &str = "catalog/";
pub(crate) const PRIMARY: &str = "primary/";

/// Value under [`HEAD`], as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Format of the catalogue's values.
    pub format: u16,
    /// Epoch, raised by operators after the store was restored from a backup.
    #[serde(default)]
    pub epoch: u32,
    /// Identifier of the change, by which an operator whose answer was lost
    /// recognises the change.
    #[serde(default)]
    pub change: String,
}

impl Head {
    /// Parses a head; returns `None` if the value is invalid.
    ///
    /// ```
    /// let head = fleet::Head::parse(br#"{"format":1,"change":"a"}"#).unwrap();
    /// assert_eq!(head.epoch, 0);
    /// ```
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
