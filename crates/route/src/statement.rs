//! Classifies statements for routing.
//!
//! In doubt, a statement goes to the primary. A write that is classified as a read is
//! refused by the replica (SQLSTATE 25006) and has not run. The state of a
//! transaction is never derived from the text: the daemon takes it from the server's
//! `ReadyForQuery` message.

use xxhash_rust::xxh3::xxh3_64;

use crate::lex::{Lexer, Piece};

/// The kind of a query text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind<'a> {
    /// Only reads, as far as the text shows, so that a replica may run the text.
    Read,
    /// Writes, locks, or changes something outside its transaction.
    Write,
    /// Opens a transaction.
    Begin(Access),
    /// Ends the transaction and keeps its effects.
    Commit,
    /// Ends the transaction and discards its effects.
    Rollback,
    /// Sets a session parameter.
    Set {
        /// Name of the parameter, as written.
        name: &'a str,
        /// Value without its quotes.
        value: &'a str,
    },
    /// Shows a session parameter.
    Show {
        /// Name of the parameter, as written.
        name: &'a str,
    },
    /// Runs `COPY`, which has its own messages.
    Copy,
    /// Contains only white space and comments.
    Empty,
    /// Anything else, including several statements that are not all reads.
    Other,
}

/// The access mode of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// The transaction may write.
    ReadWrite,
    /// The transaction is declared read-only.
    ReadOnly,
}

/// Functions that change state beyond the statement: locks, sequences, settings and
/// notifications. A replica could run them, or run them with another result.
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

/// Returns the kind of a query text; a write among several statements makes the
/// whole text a write.
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

/// Returns the statements of a text, without the semicolons between them.
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

/// Returns the key of a statement's text in [`crate::KnownWrites`].
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

/// Classifies a statement that starts like a read: a write if a later word makes it
/// one, else a read.
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

/// Classifies the end of a transaction: `COMMIT PREPARED` writes, while `ROLLBACK TO`
/// and `AND CHAIN` leave a transaction open.
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

/// Returns the value of a setting, without comments before or behind it.
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

/// Returns the offset of `part` in `sql`; `part` must be a slice of `sql`.
fn offset(sql: &str, part: &str) -> usize {
    part.as_ptr() as usize - sql.as_ptr() as usize
}

/// Classifies `SHOW`, whose name may have two parts, as in `dandelionlink.token`.
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
