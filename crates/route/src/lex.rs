//! Splits SQL into words, symbols, literals and comments, as PostgreSQL does.
//!
//! The lexer only has to tell a keyword from a word inside a quote or comment. Plain
//! quotes are read as with `standard_conforming_strings` on, the server's default.
//! With the parameter off, a text may be split wrongly, but a write that is then
//! classified as a read is still refused by the replica.

/// One lexical element of SQL.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Piece<'a> {
    /// A keyword or unquoted name, as written.
    Word(&'a str),
    /// A quoted name, number, string or parameter, as written.
    Literal(&'a str),
    /// A block comment without its delimiters.
    Comment(&'a str),
    /// Any other character.
    Symbol(char),
    /// A quote or comment that is not terminated.
    Unterminated,
}

/// Iterates over the pieces of a text, without white space and line comments.
#[derive(Debug, Clone)]
pub(crate) struct Lexer<'a> {
    rest: &'a str,
}

impl<'a> Lexer<'a> {
    pub(crate) fn new(sql: &'a str) -> Self {
        Self { rest: sql }
    }

    /// Returns the text that was not read yet.
    pub(crate) fn rest(&self) -> &'a str {
        self.rest
    }

    fn take(&mut self, len: usize) -> &'a str {
        let (head, tail) = self.rest.split_at(len);
        self.rest = tail;
        head
    }

    fn unterminated(&mut self) -> Piece<'a> {
        self.rest = "";
        Piece::Unterminated
    }

    fn literal(&mut self, end: Option<usize>) -> Piece<'a> {
        match end {
            Some(end) => Piece::Literal(self.take(end)),
            None => self.unterminated(),
        }
    }

    fn comment(&mut self) -> Piece<'a> {
        match block_end(self.rest) {
            Some(end) => {
                let text = self.take(end);
                Piece::Comment(&text[2..end - 2])
            }
            None => self.unterminated(),
        }
    }

    fn word(&mut self) -> Piece<'a> {
        let end = self.rest.find(|c| !is_word(c)).unwrap_or(self.rest.len());
        let escapes = matches!(&self.rest[..end], "e" | "E");
        if escapes && self.rest[end..].starts_with('\'') {
            let close = quote_end(&self.rest[end..], '\'', Backslash::Escapes);
            return self.literal(close.map(|close| end + close));
        }
        Piece::Word(self.take(end))
    }

    fn dollar(&mut self) -> Piece<'a> {
        let Some(tag) = dollar_tag(self.rest) else {
            self.take(1);
            return Piece::Symbol('$');
        };
        let body = &self.rest[tag.len()..];
        let end = body.find(tag).map(|at| at + 2 * tag.len());
        self.literal(end)
    }
}

impl<'a> Iterator for Lexer<'a> {
    type Item = Piece<'a>;

    fn next(&mut self) -> Option<Piece<'a>> {
        loop {
            self.rest = self.rest.trim_start();
            if !self.rest.starts_with("--") {
                break;
            }
            let end = self.rest.find(['\n', '\r']).unwrap_or(self.rest.len());
            self.take(end);
        }
        let c = self.rest.chars().next()?;
        Some(match c {
            '/' if self.rest.starts_with("/*") => self.comment(),
            '\'' | '"' => {
                let end = quote_end(self.rest, c, Backslash::Plain);
                self.literal(end)
            }
            '$' => self.dollar(),
            '0'..='9' => {
                let end = self.rest.find(|c: char| !c.is_ascii_digit() && c != '.');
                self.literal(Some(end.unwrap_or(self.rest.len())))
            }
            _ if is_word(c) => self.word(),
            _ => {
                self.take(c.len_utf8());
                Piece::Symbol(c)
            }
        })
    }
}

fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '$' || !c.is_ascii()
}

enum Backslash {
    Plain,
    Escapes,
}

/// Returns the end of the quote that `text` starts with; a doubled mark does not
/// end it.
fn quote_end(text: &str, mark: char, backslash: Backslash) -> Option<usize> {
    let mut chars = text.char_indices().skip(1).peekable();
    while let Some((at, c)) = chars.next() {
        if c == '\\' && matches!(backslash, Backslash::Escapes) {
            chars.next();
            continue;
        }
        if c != mark {
            continue;
        }
        if chars.next_if(|&(_, next)| next == mark).is_none() {
            return Some(at + c.len_utf8());
        }
    }
    None
}

/// Returns the end of the block comment that `text` starts with; comments nest.
fn block_end(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0_usize;
    let mut at = 0;
    while at + 1 < bytes.len() {
        match &bytes[at..at + 2] {
            b"/*" => depth += 1,
            b"*/" => depth -= 1,
            _ => {
                at += 1;
                continue;
            }
        }
        at += 2;
        if depth == 0 {
            return Some(at);
        }
    }
    None
}

/// Returns the opening tag of a dollar quote, such as `$$` or `$body$`.
fn dollar_tag(text: &str) -> Option<&str> {
    let end = text[1..].find('$')? + 1;
    let tag = &text[1..end];
    let named = tag.chars().all(|c| is_word(c) && c != '$');
    let numbered = tag.starts_with(|c: char| c.is_ascii_digit());
    (named && !numbered).then(|| &text[..=end])
}
