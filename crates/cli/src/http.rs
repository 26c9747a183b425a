//! One bounded HTTP exchange with an instance's operators' port.

use std::{net::SocketAddr, time::Duration};

use ntex::{
    SharedCfg,
    client::{
        Client,
        error::{ClientBuilderError, ClientError},
    },
    http::{StatusCode, error::PayloadError},
    time::timeout,
};

/// The longest that a whole exchange takes.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The most bytes in an answer.
const MAX_ANSWER: usize = 16 << 20;

/// The most bytes of a failure's text that are shown.
const MAX_ERROR_BODY: usize = 200;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No client can be made.
    #[error("no HTTP client can be made: {0}")]
    Client(#[from] ClientBuilderError),
    /// The connection or the protocol failed.
    #[error("{0}")]
    Exchange(#[from] ClientError),
    /// The answer broke off or is too large.
    #[error("its answer can't be read: {0}")]
    Body(#[from] PayloadError),
    /// There was no whole answer in time.
    #[error("no answer within {} s", TIMEOUT.as_secs())]
    TimedOut,
    /// The answer says that the request failed.
    #[error("it answered {status}: {body}")]
    Status {
        /// The status code and text.
        status: StatusCode,
        /// The beginning of the answer.
        body: String,
    },
}

/// Makes a client; nothing is sent yet.
pub(crate) async fn open() -> Result<Client, Error> {
    let builder = Client::builder().disable_timeout();
    Ok(builder.build(SharedCfg::default()).await?)
}

/// Asks for `path` at `address`.
pub(crate) async fn get(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<Vec<u8>, Error> {
    let exchange = exchange(client, address, path);
    timeout(TIMEOUT, exchange)
        .await
        .unwrap_or(Err(Error::TimedOut))
}

async fn exchange(client: &Client, address: SocketAddr, path: &str) -> Result<Vec<u8>, Error> {
    let request = client.get(format!("http://{address}{path}"));
    let answer = request.send().await?;
    let status = answer.status();
    let body = answer.body().limit(MAX_ANSWER).await?;
    if status != StatusCode::OK {
        let shown = &body[..body.len().min(MAX_ERROR_BODY)];
        let body = String::from_utf8_lossy(shown).into_owned();
        return Err(Error::Status { status, body });
    }
    Ok(body.to_vec())
}
