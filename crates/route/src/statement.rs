//! What a statement is, as far as routing must know.
//!
//! The classification errs towards the primary. What it takes for a read but
//! proves to write is refused by a replica (SQLSTATE 25006), which proves that
//! it did not run. Whether a transaction is open is never guessed from the
//! text: the daemon reads that from the server's ready message.

use xxhash_rust::xxh3::xxh3_64;

use crate::lex::{Lexer, Piece};

/// What a query text is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind<'a> {
    /// Only reads, as far as the text shows: a replica may run it.
    Read,
    /// Writes, locks, or changes something outside its transaction.
    Write,
    /// Opens a transaction.
    Begin(Access),
    /// Ends the transaction and keeps its effects.
    Commit,
    /// Ends the transaction and takes its effects back.
    Rollback,
    /// Sets a session parameter.
    Set {
        /// The parameter, as written.
        name: &'a str,
        /// The value without its quotes.
        value: &'a str,
    },
    /// Shows a session parameter.
    Show {
        /// The parameter, as written.
        name: &'a str,
    },
    /// Copies in or out, with its own messages.
    Copy,
    /// Nothing but white space and comments.
    Empty,
    /// Anything else, and texts of several statements that are not all reads.
    Other,
}

/// What an opened transaction says it will do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// It may write.
    ReadWrite,
    /// It declares that it only reads.
    ReadOnly,
}

/// Functions that a replica would run, or run differently, though they change
/// state that outlives the statement: locks, sequences, settings, messages.
const WRITING_FUNCTIONS: [&str; 9] = [
    "nextval",
    "setval",
    "currval",
    "lastval",
    "set_config",
    "pg_notify",
    "txid_current",
    "pg_current_xact_id",
    "pg_switch_wal",
];
const WRITING_PREFIXES: [&str; 4] = ["pg_advisory", "pg_try_advisory", "lo_", "dblink"];
const MODIFYING: [&str; 4] = ["insert", "update", "delete", "merge"];
const LOCKING: [&str; 4] = ["update", "share", "no", "key"];

/// Tells what a query text is; of several statements, the most that any does.
///
/// ```
/// use route::statement::{Kind, classify};
/// assert_eq!(classify("/* calendar */ select * from slot"), Kind::Read);
/// assert_eq!(classify("select * from slot for update"), Kind::Write);
/// assert_eq!(classify("select 'for update'; table slot"), Kind::Read);
/// assert_eq!(classify("select 1; delete from slot"), Kind::Write);
/// ```
pub fn classify(sql: &str) -> Kind<'_> {
    let mut found = Kind::Empty;
    for statement in split(sql) {
        let kind = classify_one(statement);
        found = match (found, kind) {
            (Kind::Empty, kind) => kind,
            (found, Kind::Empty) => found,
            (Kind::Write, _) | (_, Kind::Write) => Kind::Write,
            (Kind::Read, Kind::Read) => Kind::Read,
            _ => Kind::Other,
        };
    }
    found
}

/// The statements of a text, without the semicolons between them.
///
/// ```
/// let parts: Vec<_> = route::statement::split("select ';'; commit").collect();
/// assert_eq!(parts, ["select ';'", " commit"]);
/// ```
pub fn split(sql: &str) -> impl Iterator<Item = &str> {
    let mut rest = Some(sql);
    std::iter::from_fn(move || {
        let text = rest?;
        let mut lexer = Lexer::new(text);
        while let Some(piece) = lexer.next() {
            if piece == Piece::Symbol(';') {
                rest = Some(lexer.rest());
                return Some(&text[..text.len() - lexer.rest().len() - 1]);
            }
        }
        rest = None;
        Some(text)
    })
}

/// The key under which [`crate::KnownWrites`] remembers a statement's text.
pub fn fingerprint(sql: &str) -> u64 {
    xxh3_64(sql.as_bytes())
}

fn is_one_of(word: &str, any: &[&str]) -> bool {
    any.iter().any(|other| word.eq_ignore_ascii_case(other))
}

fn classify_one(sql: &str) -> Kind<'_> {
    let pieces = Lexer::new(sql).filter(|piece| !matches!(piece, Piece::Comment(_)));
    let mut pieces = pieces.skip_while(|&piece| piece == Piece::Symbol('('));
    let first = match pieces.next() {
        None => return Kind::Empty,
        Some(Piece::Word(word)) => word,
        Some(_) => return Kind::Other,
    };
    match first.to_ascii_lowercase().as_str() {
        "select" | "table" | "values" => classify_read(pieces, &[]),
        "with" => classify_read(pieces, &MODIFYING),
        "insert" | "update" | "delete" | "merge" | "truncate" | "create" | "alter" | "drop" => {
            Kind::Write
        }
        "begin" | "start" => Kind::Begin(transaction_access(pieces)),
        "commit" | "end" => classify_end(pieces, Kind::Commit),
        "rollback" | "abort" => classify_end(pieces, Kind::Rollback),
        "set" => classify_set(sql, pieces),
        "show" => classify_show(sql, pieces),
        "copy" => Kind::Copy,
        _ => Kind::Other,
    }
}

/// A statement that starts as a read does, unless a later word says otherwise.
fn classify_read<'a>(pieces: impl Iterator<Item = Piece<'a>>, modifying: &[&str]) -> Kind<'a> {
    let mut last = "";
    for piece in pieces {
        let word = match piece {
            Piece::Word(word) => word,
            Piece::Unterminated => return Kind::Other,
            _ => {
                last = "";
                continue;
            }
        };
        let locks = is_one_of(last, &["for"]) && is_one_of(word, &LOCKING);
        if locks
            || is_one_of(word, &["into"])
            || is_one_of(word, modifying)
            || is_writing_function(word)
        {
            return Kind::Write;
        }
        last = word;
    }
    Kind::Read
}

fn is_writing_function(word: &str) -> bool {
    let starts = |prefix: &&str| {
        let head = word.as_bytes().get(..prefix.len());
        head.is_some_and(|head| head.eq_ignore_ascii_case(prefix.as_bytes()))
    };
    is_one_of(word, &WRITING_FUNCTIONS) || WRITING_PREFIXES.iter().any(starts)
}

fn transaction_access<'a>(pieces: impl Iterator<Item = Piece<'a>>) -> Access {
    let mut last = "";
    let mut found = Access::ReadWrite;
    for piece in pieces {
        let Piece::Word(word) = piece else {
            continue;
        };
        if is_one_of(last, &["read"]) && is_one_of(word, &["only"]) {
            found = Access::ReadOnly;
        }
        if is_one_of(last, &["read"]) && is_one_of(word, &["write"]) {
            found = Access::ReadWrite;
        }
        last = word;
    }
    found
}

/// `COMMIT PREPARED` writes, and `ROLLBACK TO` leaves the transaction open.
fn classify_end<'a>(mut pieces: impl Iterator<Item = Piece<'a>>, kind: Kind<'a>) -> Kind<'a> {
    let special = pieces.find_map(|piece| match piece {
        Piece::Word(word) if is_one_of(word, &["prepared"]) => Some(Kind::Write),
        Piece::Word(word) if is_one_of(word, &["to", "chain"]) => Some(Kind::Other),
        _ => None,
    });
    special.unwrap_or(kind)
}

fn classify_set<'a>(sql: &'a str, mut pieces: impl Iterator<Item = Piece<'a>>) -> Kind<'a> {
    let mut name = pieces.next();
    if matches!(name, Some(Piece::Word(word)) if is_one_of(word, &["session"])) {
        name = pieces.next();
    }
    let start = match name {
        Some(Piece::Word(word))
            if !is_one_of(word, &["local", "transaction", "constraints", "role"]) =>
        {
            offset(sql, word)
        }
        Some(Piece::Literal(name)) if name.starts_with('"') => offset(sql, name),
        _ => return Kind::Other,
    };
    let assign = pieces.find_map(|piece| match piece {
        Piece::Word(word) if is_one_of(word, &["to"]) => Some((offset(sql, word), 2)),
        Piece::Symbol('=') => Some((sql[start..].find('=')? + start, 1)),
        _ => None,
    });
    let Some((at, len)) = assign else {
        return Kind::Other;
    };
    Kind::Set {
        name: sql[start..at].trim().trim_matches('"'),
        value: unquoted(value(&sql[at + len..])),
    }
}

/// The value of a setting, without comments before or behind it.
fn value(text: &str) -> &str {
    let mut lexer = Lexer::new(text);
    let mut span: Option<(usize, usize)> = None;
    loop {
        let before = text.len() - lexer.rest().len();
        let Some(piece) = lexer.next() else {
            break;
        };
        if matches!(piece, Piece::Comment(_)) {
            continue;
        }
        let after = text.len() - lexer.rest().len();
        span = Some((span.map_or(before, |(start, _)| start), after));
    }
    let (start, end) = span.unwrap_or((0, 0));
    text[start..end].trim()
}

fn unquoted(text: &str) -> &str {
    let inner = text.strip_prefix('\'').and_then(|t| t.strip_suffix('\''));
    inner.unwrap_or(text)
}

/// Where `part`, which was cut from `sql`, starts in it.
fn offset(sql: &str, part: &str) -> usize {
    part.as_ptr() as usize - sql.as_ptr() as usize
}

/// A name may have two parts, such as `dandelionlink.token`.
fn classify_show<'a>(sql: &'a str, pieces: impl Iterator<Item = Piece<'a>>) -> Kind<'a> {
    let mut span: Option<(usize, usize)> = None;
    for piece in pieces {
        let (at, len) = match piece {
            Piece::Word(part) | Piece::Literal(part) => (offset(sql, part), part.len()),
            Piece::Symbol('.') => continue,
            _ => return Kind::Other,
        };
        span = Some((span.map_or(at, |(start, _)| start), at + len));
    }
    match span {
        Some((start, end)) => Kind::Show {
            name: sql[start..end].trim_matches('"'),
        },
        None => Kind::Other,
    }
}
