//! Orders to an upstream, as statements that it takes.

use std::net::SocketAddr;

use model::Term;

use crate::PROBE;

/// The SQLSTATE with which an upstream refuses an order of a lower term; the
/// message names the term that stands, as in `the term is 7 already`.
pub const TERM_REFUSED: &str = "DL010";

/// What an upstream is ordered to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Take no part in any term below this one, and say how far you are.
    Fence {
        /// The claimed term.
        term: Term,
    },
    /// Lead in this term.
    Promote {
        /// The claimed term.
        term: Term,
    },
    /// Replicate from the primary of this term.
    Follow {
        /// The term.
        term: Term,
        /// Where the term's primary listens.
        primary: SocketAddr,
    },
}

impl Order {
    /// The statements that carry the order out; the last brings the status.
    ///
    /// Each order begins by raising the upstream's term. The group refuses to
    /// lower it, so an order of a promoter that was overtaken fails at its
    /// first statement and the others are not sent.
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
