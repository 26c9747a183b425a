//! Statements about the proxy itself, which no upstream sees.

use bytes::BytesMut;
use pgwire::messages::{
    Message,
    data::{DataRow, FieldDescription, RowDescription},
    response::CommandComplete,
};
use route::statement::{Kind, classify};

use super::serve::Session;

/// What the proxy's own settings begin with.
const PREFIX: &str = "dandelionlink.";

/// PostgreSQL's number of the type `text`.
const TEXT: u32 = 25;

/// Answers `sql` if it is about the proxy's own settings.
pub(super) fn answer(session: &mut Session, sql: &str, buf: &mut BytesMut) -> bool {
    match classify(sql) {
        Kind::Set { name, value } => match name.strip_prefix(PREFIX) {
            Some(name) => set(session, name, value, buf),
            None => return false,
        },
        Kind::Show { name } => match name.strip_prefix(PREFIX) {
            Some(name) => show(session, name, buf),
            None => return false,
        },
        _ => return false,
    }
    true
}

fn set(session: &mut Session, name: &str, value: &str, buf: &mut BytesMut) {
    match name {
        "session" => {
            if let Err(error) = session.present(value) {
                return pg::error(buf, "22023", &error.to_string(), None);
            }
            session.put_token(buf);
        }
        "request" => session.request = Some(value.to_owned()),
        _ => return unknown(name, buf),
    }
    put(buf, &CommandComplete::new("SET".to_owned()));
}

fn show(session: &Session, name: &str, buf: &mut BytesMut) {
    let value = match name {
        "session" => session.token().unwrap_or_default(),
        "request" => session.request.clone().unwrap_or_default(),
        "entry" => session.scope.entry.to_string(),
        "user" => session.user.clone(),
        _ => return unknown(name, buf),
    };
    let field = FieldDescription::new(format!("{PREFIX}{name}"), 0, 0, TEXT, -1, -1, 0);
    put(buf, &RowDescription::new(vec![field]));
    let mut data = BytesMut::new();
    let length = u32::try_from(value.len()).unwrap_or(0);
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    put(buf, &DataRow::new(data, 1));
    put(buf, &CommandComplete::new("SHOW".to_owned()));
}

fn unknown(name: &str, buf: &mut BytesMut) {
    let text = format!("unrecognized configuration parameter \"{PREFIX}{name}\"");
    pg::error(buf, "42704", &text, None);
}

fn put(buf: &mut BytesMut, message: &impl Message) {
    // These messages are far below the library's size limits.
    let _ = message.encode(buf);
}
