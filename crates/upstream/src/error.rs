//! Errors of connections between the proxy and an upstream.

/// Reasons why a connection to an upstream, or an operation on one, failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made, so nothing was sent.
    #[error("the upstream can't be reached: {0}")]
    Connect(std::io::Error),
    /// The connection failed, or the upstream sent an invalid message.
    #[error(transparent)]
    Protocol(#[from] pg::Error),
    /// The upstream closed the connection.
    #[error("the upstream closed the connection")]
    Closed,
    /// The upstream asks for a login method that the proxy does not support, or its
    /// messages of the method are invalid.
    #[error("login method {0} of the upstream is not supported or failed")]
    Login(i32),
    /// The upstream answered with an error.
    #[error("the upstream answered with error {state}: {message}")]
    Refused {
        /// SQLSTATE of the error.
        state: String,
        /// Message of the error.
        message: String,
    },
    /// The answer to a status query, or the cancel key in a login, is malformed.
    #[error("malformed answer of the upstream: {0}")]
    Status(&'static str),
    /// No answer arrived before the time-out.
    #[error("the upstream did not answer in time")]
    Timeout,
}

impl Error {
    /// Decodes the body of an error message.
    pub(crate) fn refused(body: &[u8]) -> Self {
        let field = |wanted: u8| {
            body.split(|&byte| byte == 0)
                .find(|field| field.first() == Some(&wanted))
                .map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
        };
        let state = field(b'C').unwrap_or_default();
        Self::Refused {
            state,
            message: field(b'M').unwrap_or_default(),
        }
    }
}
