//! Client of the platform's store that tracks whether the store answers.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, Instant};
use store::{Answer, Call, Edge, Fault, Gateway, Watch};

use crate::introspect::millis;

/// Time without a call after which the store counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Contact {
    answered: Option<Instant>,
    /// First failure since the last answer.
    failing: Option<Instant>,
}

/// Client that records the results of its calls.
#[derive(Debug, Clone)]
pub(super) struct Client {
    gateway: Gateway,
    clock: Clock,
    contact: Rc<RefCell<Contact>>,
    /// Number of open watches.
    watches: Rc<Cell<usize>>,
}

/// A watch that is counted as open until it is dropped.
#[derive(Debug)]
pub(super) struct CountedWatch {
    watch: Watch,
    client: Client,
}

impl Client {
    /// Creates a client of `gateway`.
    pub(super) fn open(gateway: Gateway, clock: Clock) -> Self {
        Self {
            gateway,
            clock,
            contact: Rc::default(),
            watches: Rc::default(),
        }
    }

    /// Calls the store.
    ///
    /// # Errors
    ///
    /// [`Fault`] shows whether the call may have taken effect.
    pub(super) async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        let result = self.gateway.call(call).await;
        self.note_result(result.as_ref().err());
        result
    }

    /// Opens a watch on the keys from `from` up to, but not including, `to`.
    ///
    /// # Errors
    ///
    /// [`Fault`] if the store is unreachable or refuses the call.
    pub(super) async fn watch(
        &self,
        from: &str,
        to: &str,
        revision: u64,
    ) -> Result<CountedWatch, Fault> {
        let result = self.gateway.watch(from, to, revision).await;
        self.note_result(result.as_ref().err());
        let watch = result?;
        self.watches.set(self.watches.get() + 1);
        Ok(CountedWatch {
            watch,
            client: self.clone(),
        })
    }

    /// State of the store for operators.
    pub(super) fn view(&self) -> view::Store {
        let now = self.clock.now();
        let contact = self.contact.borrow();
        if let Some(failing) = contact.failing {
            let since = contact.answered.unwrap_or(failing);
            return view::Store::Silent {
                since_ms: millis(now.since(since)),
            };
        }
        let Some(answered) = contact.answered else {
            return view::Store::Idle;
        };
        let age = now.since(answered);
        // An open watch is a pending call on which silence is normal.
        if self.watches.get() == 0 && age > IDLE_AFTER {
            return view::Store::Idle;
        }
        view::Store::Answering {
            answered_ms_ago: millis(age),
        }
    }

    fn note_result(&self, fault: Option<&Fault>) {
        let now = self.clock.now();
        let mut contact = self.contact.borrow_mut();
        match fault {
            // A refusal is also an answer.
            None | Some(Fault::Refused { .. } | Fault::Compacted { .. }) => {
                contact.answered = Some(now);
                contact.failing = None;
            }
            Some(Fault::Unreachable { .. } | Fault::Lost | Fault::Malformed { .. }) => {
                contact.failing.get_or_insert(now);
            }
        }
    }
}

impl CountedWatch {
    /// Waits for changes.
    ///
    /// # Errors
    ///
    /// [`Fault`] if the watch failed or its revision was compacted.
    pub(super) async fn next(&mut self) -> Result<(Vec<store::Event>, u64), Fault> {
        let result = self.watch.next().await;
        self.client.note_result(result.as_ref().err());
        result
    }
}

impl Drop for CountedWatch {
    fn drop(&mut self) {
        self.client.watches.set(self.client.watches.get() - 1);
    }
}
