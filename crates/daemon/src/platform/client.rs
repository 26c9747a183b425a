//! Whether the platform's store answers, as this instance's own calls tell.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use clock::{Clock, Instant};
use store::{Answer, Call, Edge, Fault, Gateway, Watch};

use crate::introspect::millis;

/// After how long without a call the store counts as not asked.
const IDLE_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Contact {
    answered: Option<Instant>,
    /// The first failure since the last answer.
    failing: Option<Instant>,
}

/// The store's client, which notes how its calls end.
#[derive(Debug, Clone)]
pub(super) struct Client {
    gateway: Gateway,
    clock: Clock,
    contact: Rc<RefCell<Contact>>,
    /// How many watches are open.
    watches: Rc<Cell<usize>>,
}

/// A watch that counts as an open one while it lives.
#[derive(Debug)]
pub(super) struct CountedWatch {
    watch: Watch,
    client: Client,
}

impl Client {
    /// Takes a gateway over.
    pub(super) fn open(gateway: Gateway, clock: Clock) -> Self {
        Self {
            gateway,
            clock,
            contact: Rc::default(),
            watches: Rc::default(),
        }
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// [`Fault`] tells whether the call may have taken effect.
    pub(super) async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        let result = self.gateway.call(call).await;
        self.note_result(result.as_ref().err());
        result
    }

    /// Opens a watch on the keys from `from` up to, and without, `to`.
    ///
    /// # Errors
    ///
    /// [`Fault`] when the store can't be reached or refuses.
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

    /// What operators see.
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
        // An open watch is an open call: silence on it is what it should bring.
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
            // A refusal is an answer as well.
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
    /// [`Fault`] when the watch broke or asks for what is no longer kept.
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
