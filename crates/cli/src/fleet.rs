//! Asks instances on their operators' ports, many at a time.

use std::net::SocketAddr;

use futures_util::stream::{self, StreamExt};
use ntex::client::Client;
use serde::{Serialize, de::DeserializeOwned};

use crate::{error, exit::Exit, http};

/// How many instances are asked at once.
const MAX_CONCURRENT: usize = 16;

/// What one instance answered.
#[derive(Debug, Serialize)]
pub(crate) struct Answer<T> {
    /// Where it was asked.
    pub(crate) address: SocketAddr,
    /// Its answer, or why there is none.
    #[serde(flatten)]
    pub(crate) result: Reply<T>,
}

/// An answer, or why there is none.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Reply<T> {
    /// The answer.
    Answer(T),
    /// Why there is none.
    Failed(String),
}

/// Why an instance's answer can't be used.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Http(#[from] http::Error),
    #[error("its answer can't be read: {0}")]
    Json(#[from] serde_json::Error),
}

/// Asks all of `addresses` for `path`; answers come in their order.
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

/// Parts answers from failures; an error if nobody answered.
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

/// Edits the answers that there are.
pub(crate) fn for_each<T>(answers: &mut [Answer<T>], edit: impl Fn(&mut T)) {
    for answer in answers {
        if let Reply::Answer(value) = &mut answer.result {
            edit(value);
        }
    }
}

/// The exit code for answers of which some `failed`.
pub(crate) fn exit(failed: &[String]) -> Exit {
    if failed.is_empty() {
        Exit::Success
    } else {
        Exit::Partial
    }
}
