//! Typed access to the keys of one TOML table.

use std::ops::RangeInclusive;

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::fault::{Item, Kind, Place, Problem};

use super::parser::Parser;

/// A TOML table and the item that it declares.
pub(super) struct Section<'t, 'i> {
    pub(super) item: Item,
    /// Byte offset of the table's name in the text.
    pub(super) offset: usize,
    pub(super) table: &'t DeTable<'i>,
}

impl<'t, 'i> Section<'t, 'i> {
    /// Reports the keys that are not among `known`.
    pub(super) fn check_keys(&self, parser: &mut Parser<'_>, known: &'static [&'static str]) {
        for key in self.table.keys() {
            if known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let problem = Problem::UnknownKey {
                item: self.item.clone(),
                key: key.get_ref().to_string(),
                known,
            };
            parser.fault(key.span().start, problem);
        }
    }

    /// The value under `key`, if any. Records its offset.
    pub(super) fn optional(
        &self,
        parser: &mut Parser<'_>,
        key: &'static str,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        let value = self.table.get(key)?;
        let place = self.place(key);
        parser.record_offset(place, value.span().start);
        Some(value)
    }

    /// The value under `key`. Reports an error if the key is missing.
    pub(super) fn required(
        &self,
        parser: &mut Parser<'_>,
        key: &'static str,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        let value = self.optional(parser, key);
        if value.is_none() {
            let item = self.item.clone();
            parser.fault(self.offset, Problem::Missing { item, key });
        }
        value
    }

    pub(super) fn string(&self, parser: &mut Parser<'_>, key: &'static str) -> Option<&'t str> {
        let value = self.required(parser, key)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.type_fault(parser, key, value, Kind::String);
        }
        text
    }

    pub(super) fn name<N>(
        &self,
        parser: &mut Parser<'_>,
        key: &'static str,
        make: fn(&str) -> Result<N, model::name::Error>,
    ) -> Option<N> {
        let text = self.string(parser, key)?;
        match make(text) {
            Ok(name) => Some(name),
            Err(why) => {
                let problem = Problem::Name {
                    role: key,
                    found: text.to_owned(),
                    why,
                };
                parser.fault(self.offset_of(key), problem);
                None
            }
        }
    }

    /// Index in `allowed` of the word under `key`.
    pub(super) fn word(
        &self,
        parser: &mut Parser<'_>,
        key: &'static str,
        allowed: &'static [&'static str],
    ) -> Option<usize> {
        let text = self.string(parser, key)?;
        let found = allowed.iter().position(|&word| word == text);
        if found.is_none() {
            let problem = Problem::Choice {
                place: self.place(key),
                allowed,
                found: text.to_owned(),
            };
            parser.fault(self.offset_of(key), problem);
        }
        found
    }

    pub(super) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// The boolean under `key`; `false` if the key is missing.
    pub(super) fn flag(&self, parser: &mut Parser<'_>, key: &'static str) -> bool {
        let Some(value) = self.optional(parser, key) else {
            return false;
        };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.type_fault(parser, key, value, Kind::Boolean);
        }
        flag.unwrap_or(false)
    }

    /// The integer under `key`, if it fits `T`; the rules check its range.
    ///
    /// A value that does not fit is reported here and replaced by the least
    /// value allowed, so that the rest of the table is checked as well.
    pub(super) fn number<T: TryFrom<u32>>(
        &self,
        parser: &mut Parser<'_>,
        key: &'static str,
        bounds: RangeInclusive<u32>,
    ) -> Option<T> {
        let value = self.required(parser, key)?;
        let Some(integer) = value.get_ref().as_integer() else {
            self.type_fault(parser, key, value, Kind::Integer);
            return T::try_from(*bounds.start()).ok();
        };
        let parsed = u32::from_str_radix(integer.as_str(), integer.radix()).ok();
        if let Some(number) = parsed.and_then(|number| T::try_from(number).ok()) {
            return Some(number);
        }
        let problem = Problem::Range {
            place: self.place(key),
            min: *bounds.start(),
            max: *bounds.end(),
            found: integer.to_string(),
        };
        parser.fault(value.span().start, problem);
        T::try_from(*bounds.start()).ok()
    }

    /// The tables below `key` with names and offsets; none if the key is missing.
    pub(super) fn tables(
        &self,
        parser: &mut Parser<'_>,
        key: &'static str,
    ) -> Vec<(&'t str, usize, &'t DeTable<'i>)> {
        let Some(value) = self.optional(parser, key) else {
            return Vec::new();
        };
        let Some(table) = value.get_ref().as_table() else {
            self.type_fault(parser, key, value, Kind::Table);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (name, value) in table {
            let offset = name.span().start;
            match value.get_ref().as_table() {
                Some(table) => tables.push((name.get_ref().as_ref(), offset, table)),
                None => self.type_fault(parser, key, value, Kind::Table),
            }
        }
        tables
    }

    pub(super) fn place(&self, key: &'static str) -> Place {
        Place::field(self.item.clone(), key)
    }

    /// Offset of the value under `key`, or of the table's name if the key is
    /// missing.
    pub(super) fn offset_of(&self, key: &str) -> usize {
        let value = self.table.get(key);
        value.map_or(self.offset, |value| value.span().start)
    }

    pub(super) fn type_fault(
        &self,
        parser: &mut Parser<'_>,
        key: &'static str,
        value: &Spanned<DeValue<'_>>,
        expected: Kind,
    ) {
        let problem = Problem::Kind {
            place: self.place(key),
            expected,
            found: value.get_ref().type_str(),
        };
        parser.fault(value.span().start, problem);
    }
}
