//! Queries instances concurrently on their operators' ports.

use std::net::SocketAddr;

use futures_util::stream::{self, StreamExt};
use ntex::client::Client;
use serde::{Serialize, de::DeserializeOwned};

use crate::{error, exit::Exit, http};

/// Maximum number of concurrent queries.
const MAX_CONCURRENT: usize = 16;

/// Result of querying one instance.
#[derive(Debug, Serialize)]
pub(crate) struct Answer<T> {
    /// Operators' port of the instance.
    pub(crate) address: SocketAddr,
    /// Answer or error.
    #[serde(flatten)]
    pub(crate) result: Reply<T>,
}

/// An answer or an error message.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Reply<T> {
    /// The answer.
    Answer(T),
    /// The error message.
    Failed(String),
}

/// Reason why a query failed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("the answer can't be read: {0}")]
    Json(#[from] serde_json::Error),
}

/// Queries `path` at all of `addresses` and returns the answers in the same order.
pub(crate) async fn ask<T: DeserializeOwned>(
    addresses: &[SocketAddr],
    path: &str,
) -> Result<Vec<Answer<T>>, http::Error> {
    let client = http::open().await?;
    let asked = stream::iter(addresses)
        .map(|&address| ask_one(&client, address, path))
        .buffered(MAX_CONCURRENT);
    Ok(asked.collect().await)
}

async fn ask_one<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Answer<T> {
    let result = match answer(client, address, path).await {
        Ok(answer) => Reply::Answer(answer),
        Err(err) => Reply::Failed(err.to_string()),
    };
    Answer { address, result }
}

async fn answer<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<T, Error> {
    let body = http::get(client, address, path).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Separates answers from failures; an error if no instance answered.
pub(crate) fn partition<T>(answers: &[Answer<T>]) -> Result<(Vec<&T>, Vec<String>), error::Error> {
    let mut found = Vec::new();
    let mut failed = Vec::new();
    for answer in answers {
        match &answer.result {
            Reply::Answer(value) => found.push(value),
            Reply::Failed(why) => failed.push(format!("{}: {why}", answer.address)),
        }
    }
    if found.is_empty() {
        return Err(error::Error::NoAnswer(failed.join("; ")));
    }
    Ok((found, failed))
}

/// Applies `edit` to all successful answers.
pub(crate) fn for_each<T>(answers: &mut [Answer<T>], edit: impl Fn(&mut T)) {
    for answer in answers {
        if let Reply::Answer(value) = &mut answer.result {
            edit(value);
        }
    }
}

/// Exit code depending on whether queries have `failed`.
pub(crate) fn exit(failed: &[String]) -> Exit {
    if failed.is_empty() {
        Exit::Success
    } else {
        Exit::Partial
    }
}
