//! Bounded rings between duties; a push wakes the receiving duty.
//!
//! A full ring never drops an item silently: [`Sender::push`] returns the item,
//! and each duty decides how to handle that (see `docs/DESIGN.md`).

use std::{cell::RefCell, rc::Rc, sync::Arc, task::Poll, time::Duration};

use atomic_waker::AtomicWaker;
use ntex::time::sleep;

/// Interval between attempts to push into a full ring.
const RETRY_INTERVAL: Duration = Duration::from_micros(200);

/// Error of a full ring, with the item that was not pushed.
#[derive(Debug)]
pub struct Full<T>(pub T);

/// Sending end of a ring.
#[derive(Debug)]
pub struct Sender<T> {
    items: rtrb::Producer<T>,
    waker: Arc<AtomicWaker>,
}

/// Receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    items: rtrb::Consumer<T>,
    waker: Arc<AtomicWaker>,
}

/// Creates a ring with room for `capacity` items.
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
    /// Pushes an item if there is room.
    ///
    /// # Errors
    ///
    /// [`Full`] returns the item.
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
    /// Waits for the next item; `None` once the sender is dropped and the ring
    /// is empty.
    pub async fn recv(&mut self) -> Option<T> {
        std::future::poll_fn(|context| {
            if let Ok(item) = self.items.pop() {
                return Poll::Ready(Some(item));
            }
            self.waker.register(context.waker());
            // An item may have been pushed between the check and the
            // registration.
            match self.items.pop() {
                Ok(item) => Poll::Ready(Some(item)),
                Err(_) if self.items.is_abandoned() => Poll::Ready(None),
                Err(_) => Poll::Pending,
            }
        })
        .await
    }
}

/// Sender that is shared by the tasks of one duty.
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

    /// Pushes an item if there is room.
    ///
    /// # Errors
    ///
    /// [`Full`] returns the item.
    pub fn push(&self, item: T) -> Result<(), Full<T>> {
        self.0.borrow_mut().push(item)
    }

    /// Pushes an item and waits for room without a time limit.
    pub async fn send(&self, item: T) {
        let mut item = item;
        while let Err(Full(returned)) = self.push(item) {
            item = returned;
            sleep(RETRY_INTERVAL).await;
        }
    }
}
