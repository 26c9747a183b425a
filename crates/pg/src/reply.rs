//! Encodes messages to callers with the `pgwire` library.

use bytes::BytesMut;
use pgwire::messages::{
    Message,
    response::{ErrorResponse, ReadyForQuery, TransactionStatus},
    startup::ParameterStatus,
};

/// A buffer of encoded messages to a caller.
pub type Reply = BytesMut;

fn put(buf: &mut Reply, message: &impl Message) {
    // Encoding fails only above the size limits of `pgwire`, which these short
    // messages don't reach.
    let _ = message.encode(buf);
}

/// Appends an error with an SQLSTATE, a text and an optional hint.
///
/// Its severity is `FATAL` for an SQLSTATE that ends the connection.
pub fn error(buf: &mut Reply, state: &str, text: &str, hint: Option<&str>) {
    let ends = state == "57P01" || state.starts_with("08");
    put_error(buf, if ends { "FATAL" } else { "ERROR" }, state, text, hint);
}

/// Appends an error of severity `FATAL`, which ends the connection.
pub fn fatal(buf: &mut Reply, state: &str, text: &str) {
    put_error(buf, "FATAL", state, text, None);
}

fn put_error(buf: &mut Reply, severity: &str, state: &str, text: &str, hint: Option<&str>) {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', state.to_owned()),
        (b'M', text.to_owned()),
    ];
    fields.extend(hint.map(|hint| (b'H', hint.to_owned())));
    put(buf, &ErrorResponse::new(fields));
}

/// Appends a parameter status: the session parameter `name` has the value `value`.
pub fn parameter(buf: &mut Reply, name: &str, value: &str) {
    put(
        buf,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Appends `ReadyForQuery` with the state of the transaction: `I`, `T` or `E`.
pub fn ready(buf: &mut Reply, state: u8) {
    let status = match state {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    put(buf, &ReadyForQuery::new(status));
}

/// Returns the SQLSTATE in the body of an error message, if present.
pub fn error_state(body: &[u8]) -> Option<&str> {
    body.split(|&byte| byte == 0)
        .find_map(|field| match field.split_first() {
            Some((b'C', state)) => std::str::from_utf8(state).ok(),
            _ => None,
        })
}
