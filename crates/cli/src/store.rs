//! The platform's store, as far as the tool needs it.
//!
//! Any endpoint will do: a read goes on to the next one on failure. A
//! transaction goes to one endpoint only, since one that may have taken effect
//! must not be sent elsewhere before its outcome was read back.

mod gateway;

use std::net::SocketAddr;

use catalog::{
    history::Record,
    layout::{self, HISTORY, Key, PREFIX, Pair, Snapshot},
    plan::Txn,
};

use crate::{error, http};

const RANGE: &str = "/v3/kv/range";
const TXN: &str = "/v3/kv/txn";

/// Why the store can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No endpoint answered a read.
    #[error("the store does not answer; tried {}", tried(.0))]
    Down(Vec<(SocketAddr, Refusal)>),
}

/// Why one endpoint's answer can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Refusal {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The answer is not the gateway's.
    #[error(transparent)]
    Gateway(#[from] gateway::Error),
}

fn tried(endpoints: &[(SocketAddr, Refusal)]) -> String {
    let lines: Vec<_> = endpoints
        .iter()
        .map(|(address, why)| format!("{address}: {why}"))
        .collect();
    lines.join("; ")
}

/// How a transaction ended, as far as its sender knows.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// It took effect, at this revision.
    Committed(u64),
    /// A condition did not hold.
    Refused,
    /// There was no answer that tells.
    Lost,
}

/// The store at its endpoints.
#[derive(Debug)]
pub(crate) struct Store {
    endpoints: Vec<SocketAddr>,
    /// The endpoint that answered last.
    at: usize,
}

impl Store {
    /// Takes the endpoints; nothing is sent yet.
    pub(crate) fn open(endpoints: Vec<SocketAddr>) -> Self {
        Self { endpoints, at: 0 }
    }

    /// The catalogue in force.
    pub(crate) fn snapshot(&mut self) -> Result<Snapshot, error::Error> {
        let pairs = self.range(&gateway::Range::prefix(PREFIX))?;
        Ok(layout::decode(&pairs)?)
    }

    /// The record of change `number`, with the revision that it made.
    pub(crate) fn record(&mut self, number: u64) -> Result<Option<(Record, u64)>, error::Error> {
        let key = Key::History(number).to_string();
        let records = self.records_in(&gateway::Range::key(&key))?;
        Ok(records.into_iter().next())
    }

    /// The records from change `number` on, oldest first, with the revisions
    /// that they made.
    pub(crate) fn records(&mut self, number: u64) -> Result<Vec<(Record, u64)>, error::Error> {
        let start = Key::History(number).to_string();
        self.records_in(&gateway::Range::tail(&start, HISTORY))
    }

    fn records_in(&mut self, range: &gateway::Range) -> Result<Vec<(Record, u64)>, error::Error> {
        let mut records = Vec::new();
        for pair in self.range(range)? {
            records.push((Record::decode(&pair)?, pair.revision));
        }
        Ok(records)
    }

    fn range(&mut self, range: &gateway::Range) -> Result<Vec<Pair>, Error> {
        let body = range.body();
        let mut refusals = Vec::new();
        for _ in 0..self.endpoints.len() {
            let address = self.endpoints[self.at];
            match range_at(address, &body) {
                Ok(pairs) => return Ok(pairs),
                Err(refusal) => refusals.push((address, refusal)),
            }
            self.at = (self.at + 1) % self.endpoints.len();
        }
        Err(Error::Down(refusals))
    }

    /// Sends `txn` once. Every failure counts as a lost answer: even a refused
    /// connection may have been that of a middle-man which had sent it on.
    pub(crate) fn run(&mut self, txn: &Txn) -> Answer {
        let address = self.endpoints[self.at];
        let body = gateway::txn(txn);
        let Ok(answer) = http::post(address, TXN, &body) else {
            return Answer::Lost;
        };
        match gateway::outcome(&answer) {
            Ok(Some(revision)) => Answer::Committed(revision),
            Ok(None) => Answer::Refused,
            Err(_) => Answer::Lost,
        }
    }
}

fn range_at(address: SocketAddr, body: &[u8]) -> Result<Vec<Pair>, Refusal> {
    let answer = http::post(address, RANGE, body)?;
    Ok(gateway::pairs(&answer)?)
}
