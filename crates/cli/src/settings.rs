//! Settings from flags and environment variables. A flag takes precedence over
//! its variable.

use std::{env, net::SocketAddr};

/// The store's endpoints.
pub(crate) const STORE: Setting = Setting {
    flag: "--store",
    variable: "DANDELIONLINK_STORE",
    description: "the store's endpoints",
};

/// Operators' ports of the instances.
pub(crate) const INSTANCES: Setting = Setting {
    flag: "--instance",
    variable: "DANDELIONLINK_INSTANCES",
    description: "the operators' ports of the instances",
};

/// Author of a change.
pub(crate) const AUTHOR: Setting = Setting {
    flag: "--author",
    variable: "DANDELIONLINK_AUTHOR",
    description: "the author of the change",
};

/// Maximum bytes of an author's name and of a message.
pub(crate) const MAX_TEXT_LEN: usize = 4_096;

/// A setting with the names of its flag and variable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Setting {
    flag: &'static str,
    variable: &'static str,
    description: &'static str,
}

/// Reason why a setting is invalid.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// Neither the flag nor the variable is set.
    #[error("{} ({}) is missing: {}", .0.flag, .0.variable, .0.description)]
    Missing(Setting),
    /// The listed addresses are invalid.
    #[error("{} ({}) is a list of IP:PORT separated by commas, these are not: {}", .0.flag, .0.variable, .1.join(", "))]
    Addresses(Setting, Vec<String>),
    /// A text is empty or too long.
    #[error("{0} must have from 1 to {MAX_TEXT_LEN} bytes, not {1}")]
    Text(&'static str, usize),
}

/// Addresses listed by `flag` or the setting's variable.
pub(crate) fn addresses(setting: Setting, flag: Option<&str>) -> Result<Vec<SocketAddr>, Error> {
    let text = value(setting, flag).ok_or(Error::Missing(setting))?;
    let mut addresses = Vec::new();
    let mut wrong = Vec::new();
    for word in text.split(',').map(str::trim) {
        match word.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => addresses.push(address),
            _ => wrong.push(format!("`{word}`")),
        }
    }
    if !wrong.is_empty() {
        return Err(Error::Addresses(setting, wrong));
    }
    Ok(addresses)
}

/// Author of the change: the setting, or else the operating system's user.
pub(crate) fn author(flag: Option<&str>) -> Result<String, Error> {
    let author = value(AUTHOR, flag).or_else(|| env::var("USER").ok());
    let author = author.ok_or(Error::Missing(AUTHOR))?;
    text(AUTHOR.flag, &author)?;
    Ok(author)
}

/// Checks the length of a text that is to be stored.
pub(crate) fn text(flag: &'static str, text: &str) -> Result<(), Error> {
    let len = text.trim().len();
    if len == 0 || len > MAX_TEXT_LEN {
        return Err(Error::Text(flag, len));
    }
    Ok(())
}

fn value(setting: Setting, flag: Option<&str>) -> Option<String> {
    let variable = || env::var(setting.variable).ok().filter(|v| !v.is_empty());
    flag.map(str::to_owned).or_else(variable)
}
