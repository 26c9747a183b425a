//! Bounded rings between duties, with a wake-up for the duty that waits.
//!
//! A full ring is never a silent drop: [`Sender::push`] hands the item back,
//! and each duty decides what that means (see `docs/DESIGN.md`).

use std::{cell::RefCell, rc::Rc, sync::Arc, task::Poll, time::Duration};

use atomic_waker::AtomicWaker;
use ntex::time::sleep;

/// How often a sender that waits for room looks again.
const RETRY_INTERVAL: Duration = Duration::from_micros(200);

/// The ring had no room; here is the item back.
#[derive(Debug)]
pub struct Full<T>(pub T);

/// The end that puts items in.
#[derive(Debug)]
pub struct Sender<T> {
    items: rtrb::Producer<T>,
    waker: Arc<AtomicWaker>,
}

/// The end that takes items out.
#[derive(Debug)]
pub struct Receiver<T> {
    items: rtrb::Consumer<T>,
    waker: Arc<AtomicWaker>,
}

/// Makes a ring with room for `capacity` items.
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = rtrb::RingBuffer::new(capacity);
    let waker = Arc::new(AtomicWaker::new());
    let sender = Sender {
        items: producer,
        waker: Arc::clone(&waker),
    };
    (
        sender,
        Receiver {
            items: consumer,
            waker,
        },
    )
}

impl<T> Sender<T> {
    /// Puts an item in if there is room.
    ///
    /// # Errors
    ///
    /// [`Full`] hands the item back.
    pub fn push(&mut self, item: T) -> Result<(), Full<T>> {
        match self.items.push(item) {
            Ok(()) => {
                self.waker.wake();
                Ok(())
            }
            Err(rtrb::PushError::Full(item)) => Err(Full(item)),
        }
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.waker.wake();
    }
}

impl<T> Receiver<T> {
    /// Waits for the next item; `None` once the sender is gone and all is taken.
    pub async fn recv(&mut self) -> Option<T> {
        std::future::poll_fn(|context| {
            if let Ok(item) = self.items.pop() {
                return Poll::Ready(Some(item));
            }
            self.waker.register(context.waker());
            // An item may have come between the look and the registration.
            match self.items.pop() {
                Ok(item) => Poll::Ready(Some(item)),
                Err(_) if self.items.is_abandoned() => Poll::Ready(None),
                Err(_) => Poll::Pending,
            }
        })
        .await
    }
}

/// A sender that the tasks of one duty share.
#[derive(Debug)]
pub struct Shared<T>(Rc<RefCell<Sender<T>>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<T> Shared<T> {
    /// Shares `sender`.
    pub fn new(sender: Sender<T>) -> Self {
        Self(Rc::new(RefCell::new(sender)))
    }

    /// Puts an item in if there is room.
    ///
    /// # Errors
    ///
    /// [`Full`] hands the item back.
    pub fn push(&self, item: T) -> Result<(), Full<T>> {
        self.0.borrow_mut().push(item)
    }

    /// Puts an item in, waiting for room as long as it takes.
    pub async fn send(&self, item: T) {
        let mut item = item;
        while let Err(Full(returned)) = self.push(item) {
            item = returned;
            sleep(RETRY_INTERVAL).await;
        }
    }
}
