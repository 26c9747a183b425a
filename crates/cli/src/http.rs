//! HTTP requests to an instance's operators' port, limited in time and size.

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

/// Timeout of a request including the answer's body.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum bytes of an answer's body.
const MAX_ANSWER: usize = 16 << 20;

/// Maximum bytes of an error answer's body that are shown.
const MAX_ERROR_BODY: usize = 200;

/// Reason why a request failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The HTTP client could not be created.
    #[error("the HTTP client could not be created: {0}")]
    Client(#[from] ClientBuilderError),
    /// The connection or the protocol failed.
    #[error("{0}")]
    Exchange(#[from] ClientError),
    /// The answer was truncated or is too large.
    #[error("the answer can't be read: {0}")]
    Body(#[from] PayloadError),
    /// The answer was not complete within [`TIMEOUT`].
    #[error("no answer within {} s", TIMEOUT.as_secs())]
    TimedOut,
    /// The answer has an error status.
    #[error("the instance answered {status}: {body}")]
    Status {
        /// Status code and text.
        status: StatusCode,
        /// Beginning of the answer's body.
        body: String,
    },
}

/// Creates a client without connecting.
pub(crate) async fn open() -> Result<Client, Error> {
    let builder = Client::builder().disable_timeout();
    Ok(builder.build(SharedCfg::default()).await?)
}

/// Requests `path` at `address`.
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
