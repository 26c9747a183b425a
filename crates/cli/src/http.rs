//! One bounded HTTP exchange with an address.

use std::{io::Read, net::SocketAddr};

/// Seconds for a whole exchange.
const TIMEOUT_S: u64 = 3;

/// The most bytes in an answer: a catalogue of 6,600 databases has a tenth.
const MAX_ANSWER: u64 = 64 * 1024 * 1024;

/// The most bytes in an answer's headers.
const MAX_HEADERS: usize = 16 * 1024;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The connection or the protocol failed.
    #[error("{0}")]
    Exchange(#[from] minreq::Error),
    /// The answer broke off.
    #[error("{0}")]
    Body(#[from] std::io::Error),
    /// The answer is larger than the tool takes.
    #[error("its answer has more than {MAX_ANSWER} bytes")]
    TooLarge,
    /// The answer says that the request failed.
    #[error("it answered {status} {reason}: {body}")]
    Status {
        /// The status code.
        status: u16,
        /// The status text.
        reason: String,
        /// The beginning of the answer.
        body: String,
    },
}

/// Asks for `path`.
pub(crate) fn get(address: SocketAddr, path: &str) -> Result<Vec<u8>, Error> {
    exchange(minreq::get(url(address, path)))
}

/// Sends `body` to `path`.
pub(crate) fn post(address: SocketAddr, path: &str, body: &[u8]) -> Result<Vec<u8>, Error> {
    let request = minreq::post(url(address, path))
        .with_header("Content-Type", "application/json")
        .with_body(body);
    exchange(request)
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

fn exchange(request: minreq::Request) -> Result<Vec<u8>, Error> {
    let answer = request
        .with_timeout(TIMEOUT_S)
        .with_follow_redirects(false)
        .with_max_headers_size(MAX_HEADERS)
        .send_lazy()?;
    let status = answer.status_code;
    let reason = answer.reason_phrase.clone();
    let mut body = Vec::new();
    answer.take(MAX_ANSWER + 1).read_to_end(&mut body)?;
    if body.len() as u64 > MAX_ANSWER {
        return Err(Error::TooLarge);
    }
    if status != 200 {
        let body = String::from_utf8_lossy(&body).chars().take(200).collect();
        return Err(Error::Status {
            status,
            reason,
            body,
        });
    }
    Ok(body)
}
