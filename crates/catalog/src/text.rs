//! The catalogue's text form: strict, and told with line and column.

mod parser;
mod section;

use std::fmt;

use crate::{
    Catalog,
    fault::{Fault, Problem, Warning},
    rules,
};

use parser::Parser;

/// Why a text is not a catalogue: every fault in it, in the order of lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The faults; there is at least one.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<_> = self.faults.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Error {}

/// A catalogue with what its operator should know of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Checked {
    /// The catalogue, which keeps all rules.
    pub catalog: Catalog,
    /// What is allowed but doubtful, in the order of lines.
    pub warnings: Vec<Warning>,
}

impl Catalog {
    /// Reads a catalogue from its text.
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
    /// [`Error`] tells all that is wrong, with lines and columns.
    pub fn parse(text: &str) -> Result<Self, Error> {
        Self::check(text).map(|checked| checked.catalog)
    }

    /// Reads a catalogue from its text and tells what is doubtful in it.
    ///
    /// # Errors
    ///
    /// [`Error`] tells all that is wrong, with lines and columns.
    pub fn check(text: &str) -> Result<Checked, Error> {
        let (root, errors) = toml::de::DeTable::parse_recoverable(text);
        let mut parser = Parser::new(text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().to_owned();
            parser.fault(offset, Problem::Syntax(message));
        }
        // After an error of syntax the recovered tables lack what stood
        // there, so a further check would tell of faults that are none.
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

    /// The catalogue as text that [`Catalog::parse`] reads back.
    ///
    /// # Errors
    ///
    /// None for a catalogue that keeps the rules; the type is the serializer's.
    pub fn to_text(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }
}
