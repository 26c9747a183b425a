//! Features of load control, and which of them are in force.

use std::str::FromStr;

use thiserror::Error;

/// When a feature is in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Switch {
    /// Where the deployment calls for it.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

/// The text names no switch.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is none of `auto`, `on` and `off`")]
pub struct UnknownSwitch(String);

impl FromStr for Switch {
    type Err = UnknownSwitch;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "auto" => Ok(Self::Auto),
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            _ => Err(UnknownSwitch(text.to_owned())),
        }
    }
}

impl Switch {
    fn resolve(self, auto: bool) -> bool {
        match self {
            Self::Auto => auto,
            Self::On => true,
            Self::Off => false,
        }
    }
}

/// The switches of the features.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Switches {
    /// Requests that can't be answered in time are refused when that is known.
    pub admission: Switch,
    /// Client accounts share an upstream's slots and connections.
    pub account_shares: Switch,
    /// Reads run on each replica whose log is known to suffice.
    pub replica_reads: Switch,
    /// Instances that hold connections to an upstream report their load there to each other.
    pub load_reports: Switch,
}

/// Properties of a deployment that call for load control.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traits {
    /// The catalogue has client accounts, which compete for the same upstreams.
    pub has_accounts: bool,
    /// Instances differ in capacity, so that equal shares of the load fit none of them.
    pub is_uneven: bool,
}

/// Which features are in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Features {
    /// See [`Switches::admission`].
    pub admission: bool,
    /// See [`Switches::account_shares`].
    pub account_shares: bool,
    /// See [`Switches::replica_reads`].
    pub replica_reads: bool,
    /// See [`Switches::load_reports`].
    pub load_reports: bool,
}

impl Switches {
    /// Returns the features that are in force in a deployment.
    ///
    /// ```
    /// use proxy::features::{Switch, Switches, Traits};
    ///
    /// let even = Traits::default();
    /// assert!(!Switches::default().resolve(even).admission);
    /// let accounts = Traits { has_accounts: true, ..even };
    /// assert!(Switches::default().resolve(accounts).admission);
    /// let off = Switches { admission: Switch::Off, ..Switches::default() };
    /// assert!(!off.resolve(accounts).admission);
    /// ```
    pub fn resolve(&self, traits: Traits) -> Features {
        let is_contended = traits.has_accounts || traits.is_uneven;
        Features {
            admission: self.admission.resolve(is_contended),
            account_shares: self.account_shares.resolve(traits.has_accounts),
            replica_reads: self.replica_reads.resolve(is_contended),
            load_reports: self.load_reports.resolve(is_contended),
        }
    }
}
