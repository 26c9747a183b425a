//! Strict parser of the catalogue's text, with line and column in all errors.

mod parser;
mod section;

use std::fmt;

use crate::{
    Catalog,
    fault::{Fault, Problem, Warning},
    rules,
};

use parser::Parser;

/// All errors in a catalogue's text, in order of their lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The errors; at least one.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.faults.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Error {}

/// A valid catalogue with warnings.
#[derive(Debug, Clone, PartialEq)]
pub struct Checked {
    /// The catalogue, which satisfies all rules.
    pub catalog: Catalog,
    /// Warnings in order of their lines.
    pub warnings: Vec<Warning>,
}

impl Catalog {
    /// Parses a catalogue from its text.
    ///
    /// ```
    /// let catalog = catalog::Catalog::parse("[tenant.yard]\nusers = {}").unwrap();
    /// assert_eq!(catalog.tenants.len(), 1);
    ///
    /// let err = catalog::Catalog::parse("[tenant.yard]\nuser = {}").unwrap_err();
    /// assert_eq!(err.faults.len(), 2);
    /// ```
    ///
    /// # Errors
    ///
    /// [`Error`] lists all errors with their lines and columns.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::check(text).map(|checked| checked.catalog)
    }

    /// Parses a catalogue from its text and collects warnings.
    ///
    /// # Errors
    ///
    /// [`Error`] lists all errors with their lines and columns.
    pub fn check(text: &str) -> Result<Checked, Error> {
        let (root, errors) = toml::de::DeTable::parse_recoverable(text);
        let mut parser = Parser::new(text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().to_owned();
            parser.fault(offset, Problem::Syntax(message));
        }
        // The tables recovered after a syntax error may be incomplete, so
        // further checks would report spurious errors.
        if parser.is_faulty() {
            return Err(parser.into_error());
        }

        let catalog = parser.catalog(root.get_ref());
        for (place, problem) in rules::faults(&catalog) {
            parser.add_violation(&place, problem);
        }
        if parser.is_faulty() {
            return Err(parser.into_error());
        }

        let lints = rules::lints(&catalog);
        let warnings = parser.locate(lints);
        Ok(Checked { catalog, warnings })
    }

    /// Serializes the catalogue as text that [`Catalog::parse`] accepts.
    ///
    /// # Errors
    ///
    /// The serializer's error type, which doesn't occur for a valid catalogue.
    pub fn to_text(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}
