//! Client of the store's JSON gateway.

use std::{net::SocketAddr, time::Duration};

use ntex::{SharedCfg, client::Client, http::StatusCode, time::Millis};
use serde_json::Value;

use crate::{Answer, Call, Edge, Fault, Watch, json};

/// Largest answer accepted, in bytes: enough for more than 6,600 records.
const MAX_ANSWER: usize = 64 << 20;

/// Client of the store's JSON gateway.
#[derive(Debug, Clone)]
pub struct Gateway {
    client: Client,
    endpoint: SocketAddr,
    timeout: Millis,
}

impl Gateway {
    /// Creates a client of the gateway at `endpoint` whose calls time out after `timeout`.
    /// Nothing is sent before the first call.
    pub async fn open(endpoint: SocketAddr, timeout: Duration) -> Result<Self, Fault> {
        let unreachable = || Fault::Unreachable {
            endpoint: endpoint.to_string(),
        };
        let client = Client::builder()
            .disable_timeout()
            .build(SharedCfg::default())
            .await;
        let client = client.map_err(|_| unreachable())?;
        let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        Ok(Self {
            client,
            endpoint,
            timeout: Millis(millis),
        })
    }

    /// Opens a watch on all keys from `from` up to `to`, which is excluded, for changes at
    /// `revision` and later.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the store can't be reached or does not answer in time.
    pub async fn watch(&self, from: &str, to: &str, revision: u64) -> Result<Watch, Fault> {
        let request = self.client.post(self.url("/v3/watch"));
        let body = json::watch((from, to), revision);
        let sending = request.send_json(&body);
        let response = ntex::time::timeout(self.timeout, sending).await;
        let response = response
            .map_err(|()| Fault::Lost)?
            .map_err(|_| self.unreachable())?;
        Ok(Watch::new(response.take_payload()))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.endpoint)
    }

    fn unreachable(&self) -> Fault {
        Fault::Unreachable {
            endpoint: self.endpoint.to_string(),
        }
    }

    async fn post(&self, call: &Call) -> Result<Answer, Fault> {
        let request = self.client.post(self.url(json::path(call)));
        let response = request.send_json(&json::body(call)).await;
        let response = response.map_err(|error| self.fault(&error))?;
        let body = response
            .body()
            .limit(MAX_ANSWER)
            .await
            .map_err(|_| Fault::Lost)?;
        let value: Value =
            serde_json::from_slice(&body).map_err(|_| Fault::Malformed { what: "not JSON" })?;
        if response.status() == StatusCode::OK {
            return json::answer(call, &value);
        }
        Err(json::refusal(&value))
    }

    /// Distinguishes a call that was not sent from one whose answer is missing.
    fn fault(&self, error: &ntex::client::error::ClientError) -> Fault {
        match error {
            ntex::client::error::ClientError::Connect(_) => self.unreachable(),
            _ => Fault::Lost,
        }
    }
}

impl Edge for Gateway {
    async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        match ntex::time::timeout(self.timeout, self.post(call)).await {
            Ok(result) => result,
            Err(()) => Err(Fault::Lost),
        }
    }
}
