//! A store decorator that counts calls.

use std::{cell::Cell, time::Duration};

use clock::Instant;

use crate::{
    edge::{Changes, Fault, Item, Items, Store, Swap, Swapped},
    metrics::Metrics,
};

/// A store that counts its calls by kind and answer.
#[derive(Debug)]
pub struct Counted<'a, S> {
    store: &'a S,
    metrics: &'a Metrics,
}

impl<'a, S: Store> Counted<'a, S> {
    /// Counts the calls of `store` in `metrics`.
    pub fn new(store: &'a S, metrics: &'a Metrics) -> Self {
        Self { store, metrics }
    }

    async fn call<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
        let guard = CallGuard::start(self.metrics, kind);
        let result = call.await;
        guard.answer.set(answer(result.as_ref().err()));
        result
    }
}

/// Counts a call when it ends, also if its future is dropped.
struct CallGuard<'a> {
    metrics: &'a Metrics,
    kind: &'static str,
    answer: Cell<&'static str>,
}

impl<'a> CallGuard<'a> {
    fn start(metrics: &'a Metrics, kind: &'static str) -> Self {
        Self {
            metrics,
            kind,
            answer: Cell::new("given_up"),
        }
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.metrics.count_call(self.kind, self.answer.get());
    }
}

/// Returns the metric label of a call's answer.
pub(crate) fn answer(fault: Option<&Fault>) -> &'static str {
    match fault {
        None => "done",
        Some(Fault::Refused) => "refused",
        Some(Fault::Unknown) => "unknown",
        Some(Fault::Compacted) => "compacted",
        Some(Fault::Missing) => "missing",
        Some(Fault::Malformed) => "malformed",
    }
}

impl<S: Store> Store for Counted<'_, S> {
    async fn read(&self, prefix: &str, idle_timeout: Duration) -> Result<Items, Fault> {
        self.call("read", self.store.read(prefix, idle_timeout))
            .await
    }

    async fn read_stale(&self, prefix: &str, idle_timeout: Duration) -> Result<Items, Fault> {
        self.call("glance", self.store.read_stale(prefix, idle_timeout))
            .await
    }

    fn era(&self) -> u64 {
        self.store.era()
    }

    fn received_at(&self) -> Instant {
        self.store.received_at()
    }

    async fn read_newer(
        &self,
        known: &[(&str, u64)],
        idle_timeout: Duration,
    ) -> Result<Vec<Item>, Fault> {
        self.call("newer", self.store.read_newer(known, idle_timeout))
            .await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        idle_timeout: Duration,
    ) -> Result<Changes, Fault> {
        let watching = self.store.watch(prefix, after, wait, idle_timeout);
        self.call("watch", watching).await
    }

    async fn swap(&self, swap: &Swap) -> Result<Swapped, Fault> {
        self.call("swap", self.store.swap(swap)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<u64, Fault> {
        self.call("grant", self.store.grant(ttl)).await
    }

    async fn keep_alive(&self, lease: u64) -> Result<u64, Fault> {
        self.call("keep", self.store.keep_alive(lease)).await
    }

    async fn revoke(&self, lease: u64) -> Result<(), Fault> {
        self.call("end", self.store.revoke(lease)).await
    }
}
