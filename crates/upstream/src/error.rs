//! What goes wrong between the proxy and an upstream.

/// Why a connection to an upstream failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing listens there, or the network is cut: nothing was sent.
    #[error("the upstream can't be reached: {0}")]
    Connect(std::io::Error),
    /// The connection broke, or sent what is not the protocol.
    #[error(transparent)]
    Protocol(#[from] pg::Error),
    /// The upstream closed the connection.
    #[error("the upstream closed the connection")]
    Closed,
    /// The upstream asks for a way to log in that the proxy does not have.
    #[error("the upstream asks for login method {0}, which is not served")]
    Login(i32),
    /// The upstream refused with an SQLSTATE.
    #[error("the upstream refused with {state}: {message}")]
    Refused {
        /// The SQLSTATE.
        state: String,
        /// The upstream's own words.
        message: String,
    },
    /// The answer to a status probe is not one.
    #[error("the upstream's status is malformed: {0}")]
    Status(&'static str),
    /// No answer came in time.
    #[error("the upstream did not answer in time")]
    Timeout,
}

impl Error {
    /// Reads an error message's body.
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
