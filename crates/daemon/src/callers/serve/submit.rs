//! Sends a session's batches to the upstreams' duty, or refuses them.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use model::{Cause, Outcome};
use request::ledger;

use super::{End, Session, send};
use crate::{
    callers::{
        Stream,
        answer::{self, Recipient},
        batch::{Completed, Draft, Fault},
        local,
    },
    job::{Batch, Closes, Command, Job, Scope, Step, Tagged},
    ring::Full,
};

impl Session {
    pub(super) async fn run_draft(&mut self, io: &Stream, draft: Draft) -> Result<(), End> {
        let flushes = draft.flushes();
        match draft.finish(self) {
            Ok(Completed::Batch(batch)) => match self.request_tag(&batch) {
                Ok(tagged) => self.run_batch(io, batch, tagged, Recipient::Caller).await,
                Err(fault) => {
                    self.refuse(io, &fault).await?;
                    self.end_local(io, flushes).await
                }
            },
            Ok(Completed::Local(steps)) => self.run_local(io, &steps, flushes).await,
            Err(fault) => {
                self.refuse(io, &fault).await?;
                self.end_local(io, flushes).await
            }
        }
    }

    pub(super) async fn run_local(
        &mut self,
        io: &Stream,
        steps: &[Step],
        flushes: bool,
    ) -> Result<(), End> {
        let mut buf = BytesMut::new();
        let result = local::answer_steps(self, steps, &mut buf);
        send(io, &buf).await?;
        if result.is_ok() && flushes {
            return Ok(());
        }
        self.end_local(io, flushes).await
    }

    /// Ends a batch that was answered or refused by the proxy: after a `Flush`
    /// the rest of the batch is skipped, and its `Sync` brings `ReadyForQuery`.
    pub(super) async fn end_local(&mut self, io: &Stream, flushes: bool) -> Result<(), End> {
        if flushes {
            self.skipping = true;
            return Ok(());
        }
        self.ready(io).await
    }

    /// Reports the fault of a batch that is not sent upstream.
    pub(super) async fn refuse(&mut self, io: &Stream, fault: &Fault) -> Result<(), End> {
        if self.status == b'T' || self.is_open() {
            // The server did not see the refused statement, but the caller's
            // transaction is incomplete without it and must fail.
            self.run_batch(io, Batch::abort(), None, Recipient::Proxy)
                .await?;
        }
        let mut buf = BytesMut::new();
        pg::error(&mut buf, fault.sqlstate(), &fault.to_string(), None);
        send(io, &buf).await
    }

    /// Reads the entry's limits from the newest catalogue; `false` if the entry
    /// is gone or has another tenant or database.
    fn refresh(&mut self) -> bool {
        let newest = Arc::clone(&self.shared.catalog.borrow());
        if Arc::ptr_eq(&newest, &self.catalog) {
            return true;
        }
        let found = newest.catalog.entries.get(&self.scope.entry);
        let same =
            found.filter(|it| it.tenant == self.scope.tenant && it.database == self.scope.database);
        let Some(entry) = same else { return false };
        // The tenant and the entry are the same, so the metrics stay.
        self.scope = Arc::new(Scope::new(&self.scope.entry, entry));
        self.catalog = newest;
        true
    }

    /// Refuses a request that was not sent upstream.
    pub(super) async fn not_run(&mut self, io: &Stream, cause: Cause) -> Result<(), End> {
        let outcome = Outcome::NotRun(cause);
        self.meter.note_ended(outcome, Duration::ZERO);
        answer::not_run(self, io, outcome).await
    }

    /// Returns the request id for a batch, if there is one: from a comment in
    /// the statement, or set before it.
    pub(super) fn request_tag(&mut self, batch: &Batch) -> Result<Option<Tagged>, Fault> {
        if !batch.takes_request() {
            return Ok(None);
        }
        let comment = batch.steps.iter().find_map(|step| match step {
            Step::Query(sql) => route::tag::parse(sql).request,
            Step::Bind(statement, _) => route::tag::parse(&statement.sql).request,
            _ => None,
        });
        let Some(text) = comment.or(self.request.take()) else {
            return Ok(None);
        };
        let number = u128::from_str_radix(&text.replace('-', ""), 16);
        let number = number.map_err(|_| Fault::Request(ledger::Error::Version))?;
        let now = self.shared.clock.since_epoch();
        let id = ledger::Id::new(number, now).map_err(Fault::Request)?;
        Ok(Some(Tagged {
            id,
            digest: batch.digest(),
        }))
    }

    /// Runs a batch on an upstream and relays its answer.
    pub(super) async fn run_batch(
        &mut self,
        io: &Stream,
        batch: Batch,
        tagged: Option<Tagged>,
        recipient: Recipient,
    ) -> Result<(), End> {
        let mut batch = batch;
        self.flushing = batch.flushes();
        if self.is_open() && self.status == b'I' && !self.flushing {
            // The end of the batch commits the writes of its parts.
            batch.closes = Closes::Transaction;
        }
        if !self.refresh() {
            return self.not_run(io, Cause::Catalogue).await;
        }
        self.seq += 1;
        if let Some(entry) = self.shared.callers.borrow_mut().get_mut(&self.caller) {
            entry.seq = self.seq;
        }
        let began = self.shared.clock.now();
        self.activity.begin(began, &self.scope);
        let job = Job {
            meter: Arc::clone(&self.meter),
            caller: self.caller,
            seq: self.seq,
            scope: Arc::clone(&self.scope),
            batch,
            settings: Arc::clone(&self.settings),
            floor: self.state.floor(),
            seen: self.state.seen(),
            began,
            deadline: began + self.scope.deadline,
            request: tagged,
        };
        let result = match self.shared.commands.push(Command::Run(Box::new(job))) {
            Ok(()) => answer::relay(self, io, recipient).await,
            Err(Full(_)) => {
                metrics::counter!("dandelionlink_ring_full_total", "ring" => "asks").increment(1);
                self.not_run(io, Cause::RingFull).await
            }
        };
        let now = self.shared.clock.now();
        self.activity.end(now, self.status, self.state.position());
        result
    }
}
