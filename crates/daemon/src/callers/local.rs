//! Statements that the proxy answers itself, without an upstream.

use bytes::BytesMut;
use pgwire::messages::{
    Message,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
    response::CommandComplete,
};
use route::statement::{Kind, classify};

use super::{
    change::{changes, uncommented},
    serve::Session,
};
use crate::job::{Change, Step};

/// Prefix of the proxy's own settings.
const PREFIX: &str = "dandelionlink.";

/// PostgreSQL's OID of the type `text`.
const TEXT: u32 = 25;

/// A statement that the proxy answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LocalStatement {
    /// Set one of the proxy's own settings.
    Set {
        /// Name of the setting, without the prefix.
        name: String,
        /// New value.
        value: String,
    },
    /// Show one of the proxy's own settings.
    Show {
        /// Name of the setting, without the prefix.
        name: String,
    },
    /// Reset session settings to their defaults. An upstream would reset its
    /// connection, but not the settings that the proxy stores.
    Reset {
        /// Settings to reset.
        changes: Vec<Change>,
        /// Command tag of the answer.
        tag: &'static str,
        /// Effect on prepared statements.
        prepared: Prepared,
    },
    /// Remove a prepared statement, which has another name on upstreams.
    Deallocate(String),
}

/// Effect on the session's prepared statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Prepared {
    /// The statements are kept.
    Kept,
    /// The statements are removed.
    Dropped,
}

/// Returns the name of one of the proxy's own settings, without the prefix.
fn own_setting(name: &str) -> Option<String> {
    let name = name.to_ascii_lowercase();
    name.strip_prefix(PREFIX).map(str::to_owned)
}

/// Returns true if a single statement concerns one of the proxy's own settings.
pub(super) fn is_own(sql: &str) -> bool {
    match classify(sql) {
        Kind::Set { name, .. } | Kind::Show { name } => own_setting(name).is_some(),
        _ => false,
    }
}

/// Parses a statement that the proxy answers; `None` for any other one.
pub(super) fn read(sql: &str) -> Option<LocalStatement> {
    match classify(sql) {
        Kind::Set { name, value } => {
            let (name, value) = (own_setting(name)?, value.to_owned());
            return Some(LocalStatement::Set { name, value });
        }
        Kind::Show { name } => return own_setting(name).map(|name| LocalStatement::Show { name }),
        Kind::Other => {}
        _ => return None,
    }
    let text = uncommented(sql);
    if text.contains(';') {
        return None;
    }
    let words: Vec<&str> = text.split_whitespace().collect();
    let lower: Vec<String> = words.iter().map(|it| it.to_ascii_lowercase()).collect();
    let lower: Vec<&str> = lower.iter().map(String::as_str).collect();
    let reset = |tag, prepared| LocalStatement::Reset {
        changes: changes(sql),
        tag,
        prepared,
    };
    match lower.as_slice() {
        ["discard", "all"] => Some(reset("DISCARD ALL", Prepared::Dropped)),
        ["discard", "plans"] => Some(reset("DISCARD PLANS", Prepared::Kept)),
        ["reset", "role" | "session", ..] => None,
        ["reset", ..] => Some(reset("RESET", Prepared::Kept)),
        ["deallocate", "all"] | ["deallocate", "prepare", "all"] => {
            Some(reset("DEALLOCATE ALL", Prepared::Dropped))
        }
        ["deallocate", "prepare", _] | ["deallocate", _] => {
            let name = words[words.len() - 1];
            let bare = name.strip_prefix('"').and_then(|it| it.strip_suffix('"'));
            let folded = || name.to_ascii_lowercase();
            Some(LocalStatement::Deallocate(
                bare.map_or_else(folded, str::to_owned),
            ))
        }
        _ => None,
    }
}

impl LocalStatement {
    /// Returns true if the proxy answers the statement inside a transaction,
    /// too.
    ///
    /// A reset of settings inside a transaction goes upstream: it applies to
    /// the rest of the transaction and is undone by a rollback.
    pub(super) fn is_always_local(&self) -> bool {
        !matches!(self, Self::Reset { .. })
    }

    /// Description of the result column, if there is one.
    fn field(&self) -> Option<FieldDescription> {
        let Self::Show { name } = self else {
            return None;
        };
        let name = format!("{PREFIX}{name}");
        Some(FieldDescription::new(name, 0, 0, TEXT, -1, -1, 0))
    }

    fn describe(&self, buf: &mut BytesMut) {
        match self.field() {
            Some(field) => put(buf, &RowDescription::new(vec![field])),
            None => put(buf, &NoData::new()),
        }
    }

    /// Executes the statement and appends the answer.
    fn run(&self, session: &mut Session, buf: &mut BytesMut) -> Result<(), Refused> {
        match self {
            Self::Set { name, value } => set(session, name, value, buf)?,
            Self::Show { name } => show(session, name, buf)?,
            Self::Reset {
                changes,
                tag,
                prepared,
            } => {
                session.change(changes.clone());
                if *prepared == Prepared::Dropped {
                    session.forget_prepared();
                }
                put(buf, &CommandComplete::new((*tag).to_owned()));
            }
            Self::Deallocate(name) => {
                if !session.deallocate(name) {
                    let text = format!("prepared statement \"{name}\" does not exist");
                    return refuse(buf, "26000", &text);
                }
                put(buf, &CommandComplete::new("DEALLOCATE".to_owned()));
            }
        }
        Ok(())
    }
}

/// The statement was refused, as the answer reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refused;

fn refuse(buf: &mut BytesMut, state: &str, text: &str) -> Result<(), Refused> {
    pg::error(buf, state, text, None);
    Err(Refused)
}

/// Answers a simple query, without `ReadyForQuery`.
pub(super) fn answer(session: &mut Session, local: &LocalStatement, buf: &mut BytesMut) {
    let mut rows = BytesMut::new();
    let result = local.run(session, &mut rows);
    if result.is_ok() && local.field().is_some() {
        local.describe(buf);
    }
    buf.extend_from_slice(&rows);
}

/// Answers a batch of the extended protocol in which all statements are for the
/// proxy, without `ReadyForQuery`.
pub(super) fn answer_steps(
    session: &mut Session,
    steps: &[Step],
    buf: &mut BytesMut,
) -> Result<(), Refused> {
    let mut bound = None;
    for step in steps {
        match step {
            Step::Parse(_) => put(buf, &ParseComplete::new()),
            Step::Bind(statement, _) => {
                bound = read(&statement.sql);
                put(buf, &BindComplete::new());
            }
            Step::DescribeStatement(statement) => {
                put(buf, &ParameterDescription::new(Vec::new()));
                if let Some(local) = read(&statement.sql) {
                    local.describe(buf);
                }
            }
            Step::CloseStatement | Step::ClosePortal(_) => put(buf, &CloseComplete::new()),
            Step::DescribePortal(_) | Step::Execute { .. } => {
                let Some(local) = &bound else {
                    return refuse(buf, "34000", "the portal does not exist");
                };
                if matches!(step, Step::Execute { .. }) {
                    local.run(session, buf)?;
                } else {
                    local.describe(buf);
                }
            }
            Step::Query(_) | Step::Flush | Step::Sync => {}
        }
    }
    Ok(())
}

fn set(session: &mut Session, name: &str, value: &str, buf: &mut BytesMut) -> Result<(), Refused> {
    match name {
        "session" => {
            if let Err(error) = session.apply_token(value) {
                return refuse(buf, "22023", &error.to_string());
            }
            session.put_token(buf);
        }
        "request" => session.request = Some(value.to_owned()),
        _ => return unknown(name, buf),
    }
    put(buf, &CommandComplete::new("SET".to_owned()));
    Ok(())
}

fn show(session: &Session, name: &str, buf: &mut BytesMut) -> Result<(), Refused> {
    let value = match name {
        "session" => session.token().unwrap_or_default(),
        "request" => session.request.clone().unwrap_or_default(),
        "entry" => session.scope.entry.to_string(),
        "user" => session.user.clone(),
        _ => return unknown(name, buf),
    };
    let mut data = BytesMut::new();
    let length = u32::try_from(value.len()).unwrap_or(0);
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    put(buf, &DataRow::new(data, 1));
    put(buf, &CommandComplete::new("SHOW".to_owned()));
    Ok(())
}

fn unknown(name: &str, buf: &mut BytesMut) -> Result<(), Refused> {
    let text = format!("unrecognized configuration parameter \"{PREFIX}{name}\"");
    refuse(buf, "42704", &text)
}

fn put(buf: &mut BytesMut, message: &impl Message) {
    // These messages are far below the size limits of the library.
    let _ = message.encode(buf);
}
