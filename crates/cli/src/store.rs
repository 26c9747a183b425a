//! Access to the platform's store.
//!
//! All endpoints are equivalent: a failed read is retried at the next one. A
//! transaction is sent to one endpoint only, because a transaction that may have
//! taken effect must not be sent again before the store has been read back.

use std::{net::SocketAddr, time::Duration};

use catalog::{
    apply::Event,
    history::Record,
    layout::{self, HISTORY, Key, PREFIX, Pair, Snapshot},
    plan::Txn,
};
use store::{Answer, Call, Compare, Edge, Fault, Gateway, Put};

use crate::error;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reason why the store can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No endpoint answered a read.
    #[error("the store can't be read; tried {}", describe(.0))]
    Down(Vec<(SocketAddr, Fault)>),
}

fn describe(endpoints: &[(SocketAddr, Fault)]) -> String {
    let lines: Vec<_> = endpoints
        .iter()
        .map(|(address, fault)| format!("{address}: {fault}"))
        .collect();
    lines.join("; ")
}

/// Client of the store.
#[derive(Debug)]
pub(crate) struct Store {
    gateways: Vec<(SocketAddr, Gateway)>,
    /// Index of the endpoint that answered last.
    current: usize,
}

impl Store {
    /// Creates clients for all endpoints; nothing is sent yet.
    pub(crate) async fn open(endpoints: Vec<SocketAddr>) -> Result<Self, Error> {
        let mut gateways = Vec::new();
        for address in endpoints {
            let gateway = Gateway::open(address, TIMEOUT).await;
            let gateway = gateway.map_err(|fault| Error::Down(vec![(address, fault)]))?;
            gateways.push((address, gateway));
        }
        Ok(Self {
            gateways,
            current: 0,
        })
    }

    /// Reads the catalogue in force.
    pub(crate) async fn snapshot(&mut self) -> Result<Snapshot, error::Error> {
        let pairs = self.range(PREFIX).await?;
        Ok(layout::decode(&pairs)?)
    }

    /// Reads the record of change `number` with the change's revision.
    pub(crate) async fn record(
        &mut self,
        number: u64,
    ) -> Result<Option<(Record, u64)>, error::Error> {
        let key = Key::History(number).to_string();
        let records = self.records_in(&key).await?;
        Ok(records.into_iter().next())
    }

    /// Reads all records with their changes' revisions, oldest first.
    pub(crate) async fn records(&mut self) -> Result<Vec<(Record, u64)>, error::Error> {
        self.records_in(HISTORY).await
    }

    async fn records_in(&mut self, prefix: &str) -> Result<Vec<(Record, u64)>, error::Error> {
        let mut records = Vec::new();
        for pair in self.range(prefix).await? {
            records.push((Record::decode(&pair)?, pair.revision));
        }
        Ok(records)
    }

    async fn range(&mut self, prefix: &str) -> Result<Vec<Pair>, Error> {
        let prefix = prefix.to_owned();
        let call = Call::Range { prefix };
        let mut faults = Vec::new();
        for _ in 0..self.gateways.len() {
            let (address, gateway) = &self.gateways[self.current];
            match gateway.call(&call).await {
                Ok(Answer::Pairs { pairs, .. }) => {
                    return Ok(pairs.into_iter().map(pair).collect());
                }
                Ok(_) => faults.push((*address, Fault::Malformed { what: "no pairs" })),
                Err(fault) => faults.push((*address, fault)),
            }
            self.current = (self.current + 1) % self.gateways.len();
        }
        Err(Error::Down(faults))
    }

    /// Sends `txn` once and returns the outcome and the fault, if any.
    pub(crate) async fn run(&mut self, txn: &Txn) -> (Event, Option<Fault>) {
        let (_, gateway) = &self.gateways[self.current];
        match gateway.call(&txn_call(txn)).await {
            Ok(Answer::Swapped { revision }) => (Event::Committed(revision), None),
            Ok(Answer::Conflict { .. }) => (Event::Refused, None),
            Ok(_) => (Event::Unknown, None),
            Err(fault) => (event_of_fault(&fault), Some(fault)),
        }
    }
}

/// Outcome of a transaction that failed with `fault`.
fn event_of_fault(fault: &Fault) -> Event {
    match fault {
        Fault::Unreachable { .. } => Event::NotSent,
        fault if fault.may_have_run() => Event::Unknown,
        _ => Event::Rejected,
    }
}

fn pair(pair: store::Pair) -> Pair {
    Pair {
        key: pair.key,
        value: pair.value,
        revision: pair.revision,
    }
}

fn txn_call(txn: &Txn) -> Call {
    let compare = |compare: &catalog::plan::Compare| Compare {
        key: compare.key.clone(),
        revision: compare.revision,
    };
    let put = |put: &catalog::plan::Put| Put {
        key: put.key.clone(),
        value: put.value.clone(),
        lease: None,
    };
    Call::Txn {
        compares: txn.compares.iter().map(compare).collect(),
        puts: txn.puts.iter().map(put).collect(),
        deletes: txn.deletes.clone(),
    }
}
