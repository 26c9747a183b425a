//! Tags in a comment of a statement, in the sqlcommenter format.
//!
//! In `/*class='calendar',request='r%2D17'*/`, keys and values are URL-encoded,
//! values are in single quotes, and a quote inside is escaped by a backslash.

use crate::lex::{Lexer, Piece};

/// The tags of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tags {
    /// Class that the request asks for.
    pub class: Option<String>,
    /// Request id, by which a repeat gets the outcome of the first run.
    pub request: Option<String>,
}

/// Reads the tags from all block comments of a text; the last tag of a name counts.
///
/// ```
/// let tags = route::tag::parse("select 1 /*class='calendar',request='r%2D17'*/");
/// assert_eq!(tags.class.as_deref(), Some("calendar"));
/// assert_eq!(tags.request.as_deref(), Some("r-17"));
/// ```
pub fn parse(sql: &str) -> Tags {
    let mut tags = Tags::default();
    if !sql.contains("/*") {
        return tags;
    }
    for piece in Lexer::new(sql) {
        if let Piece::Comment(text) = piece {
            read_tags(text, &mut tags);
        }
    }
    tags
}

fn read_tags(comment: &str, tags: &mut Tags) {
    let mut rest = comment;
    while let Some((key, tail)) = rest.split_once("='") {
        let Some(end) = quote_end(tail) else {
            return;
        };
        let value = decode(&tail[..end]);
        match decode(key.trim_matches([' ', ','])).as_deref() {
            Some("class") => tags.class = value,
            Some("request") => tags.request = value,
            _ => {}
        }
        rest = &tail[end + 1..];
    }
}

/// Returns the position of the quote that ends a value.
fn quote_end(text: &str) -> Option<usize> {
    let mut escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '\'' => return Some(at),
            _ => {}
        }
    }
    None
}

/// Decodes URL encoding and escaped quotes; returns `None` if the result is not
/// UTF-8 text or an escape is incomplete.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        bytes.push(match b {
            b'%' => hex_digit(rest.next()?)? << 4 | hex_digit(rest.next()?)?,
            b'\\' => rest.next()?,
            _ => b,
        });
    }
    String::from_utf8(bytes).ok()
}

fn hex_digit(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
