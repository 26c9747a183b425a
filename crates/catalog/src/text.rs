//! The catalogue's text form.

use crate::Catalog;

/// Why a text is not a catalogue.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not TOML, or has keys that a catalogue does not have.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
}

impl Catalog {
    /// Reads a catalogue from its text.
    ///
    /// # Errors
    ///
    /// [`Error`] tells where the text is wrong.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Ok(toml::from_str(text)?)
    }
}
