//! Orders to an upstream, written as SQL statements.

use std::net::SocketAddr;

use model::Term;

use crate::PROBE;

/// SQLSTATE with which an upstream refuses an order of a lower term; the message
/// names its current term, as in `the term is 7 already`.
pub const TERM_REFUSED: &str = "DL010";

/// An order to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Refuse every term below this one, and report the position of the log.
    Fence {
        /// Term that was claimed.
        term: Term,
    },
    /// Become the primary of this term.
    Promote {
        /// Term that was claimed.
        term: Term,
    },
    /// Replicate from the primary of this term.
    Follow {
        /// Term to follow.
        term: Term,
        /// Address of the term's primary.
        primary: SocketAddr,
    },
}

impl Order {
    /// Returns the statements that carry out the order; the last one is [`PROBE`].
    ///
    /// The first statement sets the upstream's term, which the upstream refuses to
    /// lower. An order of a takeover that was overtaken by a later one therefore
    /// fails at its first statement, and the others are not sent.
    pub fn statements(&self) -> Vec<String> {
        let set = |name: &str, value: &str| format!("ALTER SYSTEM SET {name} = '{value}'");
        let term = |term: &Term| set("dandelionlink.term", &term.to_string());
        let reload = "SELECT pg_reload_conf()".to_owned();
        let mut statements = match self {
            Self::Fence { term: it } => vec![
                term(it),
                set("default_transaction_read_only", "on"),
                set("primary_conninfo", ""),
                reload,
            ],
            Self::Promote { term: it } => vec![
                term(it),
                set("dandelionlink.log_term", &it.to_string()),
                set("default_transaction_read_only", "off"),
                reload,
                "SELECT pg_promote()".to_owned(),
            ],
            Self::Follow { term: it, primary } => {
                let conninfo = format!("host={} port={}", primary.ip(), primary.port());
                vec![term(it), set("primary_conninfo", &conninfo), reload]
            }
        };
        statements.push(PROBE.to_owned());
        statements
    }
}
