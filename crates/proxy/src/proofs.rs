//! Requests for proofs between instances.
//!
//! Renewing the proof lease costs a call to the store. Instances that aren't relays let a relay
//! renew it, and one renewal answers all requests that arrived before it. A proof counts from
//! the time at which its request was sent, by the requester's clock, so a relay that is frozen,
//! slow or replaced makes the proof shorter but never longer.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use admit::limiter::Shortage;
use clock::{Boot, Instant};
use tokio::{net::UdpSocket, sync::oneshot, task::spawn_local, time::timeout};

use crate::{
    control::record_key,
    edge::{Edge, Fault, Items, Store},
    freshness,
    node::Node,
    peers::heartbeat::{self, Message},
    proof_lease,
    shares::{self, Ask},
    work::Kind,
};

/// Time that a relay may take to answer: the pause between its renewals plus a call to the
/// store, but short enough to leave time for a call to the store before a proof expires.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after a peer's request during which a proof is kept ready for the next request.
const RELIED_ON_FOR: Duration = Duration::from_secs(2);

/// Timeout of reading the records from the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(350);

/// A peer's request: its id and the address for the answer.
pub(crate) type PendingRequest = (u64, SocketAddr);

/// A request that waits for the records.
type Waiter = oneshot::Sender<Result<Items, Fault>>;

/// Proof requests of this instance and of its peers.
#[derive(Debug, Default)]
pub struct Proofs {
    pub(crate) socket: RefCell<Option<Rc<UdpSocket>>>,
    last_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<(u64, Duration)>>>,
    pending: RefCell<Vec<PendingRequest>>,
    /// When the last request of a peer arrived.
    relied_on_at: Cell<Instant>,
    record_waiters: RefCell<Vec<Waiter>>,
}

impl Proofs {
    /// Returns true if requests of peers are waiting for an answer.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Returns true if peers have asked recently, and are therefore likely to ask again.
    pub(crate) fn is_relied_on(&self, now: Instant) -> bool {
        self.relied_on_at.get() + RELIED_ON_FOR > now
    }

    /// Takes the requests that have arrived so far. The caller renews the lease and answers
    /// them.
    pub(crate) fn take_pending(&self) -> Vec<PendingRequest> {
        self.pending.take()
    }

    /// Answers `requests` with a proof that is `age` old.
    ///
    /// Each requester subtracts `age` from the time at which it sent its request, so that the
    /// time in transit makes the proof older.
    pub(crate) fn answer_with_age(
        &self,
        requests: &[PendingRequest],
        proof_lease: u64,
        age: Duration,
    ) {
        for (id, reply_to) in requests {
            let id = *id;
            self.send(
                &Message::LeaseAge {
                    id,
                    proof_lease,
                    age,
                },
                *reply_to,
            );
        }
    }

    /// Answers `requests` with a renewal that was sent after they had arrived.
    pub(crate) fn answer_renewed(&self, requests: &[PendingRequest], proof_lease: u64) {
        for (id, reply_to) in requests {
            let reply = Message::LeaseRenewed {
                id: *id,
                proof_lease,
            };
            self.send(&reply, *reply_to);
        }
    }

    /// Adds a request that waits for the next read of the records. Returns the number of
    /// waiting requests.
    fn add_waiter(&self, waiter: Waiter) -> usize {
        let mut waiters = self.record_waiters.borrow_mut();
        waiters.push(waiter);
        waiters.len()
    }

    pub(crate) fn send(&self, message: &Message, to: SocketAddr) {
        let socket = self.socket.borrow();
        if let (Some(socket), Some(bytes)) = (&*socket, heartbeat::encode_message(message)) {
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}

/// Handles a request or an answer.
pub(crate) fn handle_message<E: Edge>(node: &Node<E>, message: Message) {
    match message {
        Message::LeaseRequest { id, reply_to } => {
            node.work.add(Kind::ProofQuestion, 1);
            node.proofs.pending.borrow_mut().push((id, reply_to));
            node.proofs.relied_on_at.set(Boot.now());
            if !proof_lease::answer_pending(node) {
                node.proof_wanted.notify_one();
            }
        }
        Message::LeaseRenewed { id, proof_lease } => {
            let sender = node.proofs.waiting.borrow_mut().remove(&id);
            if let Some(sender) = sender {
                let _ = sender.send((proof_lease, Duration::ZERO));
            }
        }
        Message::LeaseAge {
            id,
            proof_lease,
            age,
        } => {
            let sender = node.proofs.waiting.borrow_mut().remove(&id);
            if let Some(sender) = sender {
                let _ = sender.send((proof_lease, age));
            }
        }
        Message::FreshnessRequest { id, reply_to } => freshness::answer_request(node, id, reply_to),
        Message::FreshnessAge { id, newest, age } => node.freshness.resolve(id, newest, age),
        Message::QuotaRequest {
            id,
            reply_to,
            account,
            count,
            priority,
        } => {
            let ask = Ask {
                account: &account,
                priority,
                count,
            };
            shares::answer_request(node, id, reply_to, ask);
        }
        Message::QuotaGrant {
            id,
            count,
            wait,
            retry,
        } => {
            let answer = match count {
                0 => Err(Shortage::new(wait, retry)),
                count => Ok(count),
            };
            node.shares.resolve(id, answer);
        }
    }
}

/// Asks the peer at `address` for a proof of the lease. Returns the lease's tag and the age of
/// the proof when the answer was sent.
pub(crate) async fn query_lease<E: Edge>(
    node: &Node<E>,
    address: SocketAddr,
) -> Option<(u64, Duration)> {
    let proofs = &node.proofs;
    let id = proofs.last_id.get() + 1;
    proofs.last_id.set(id);
    // The offset by the incarnation keeps an answer to an earlier run of this process from
    // matching a request of this one.
    let id = node.incarnation.wrapping_add(id);
    let (sender, answer) = oneshot::channel();
    proofs.waiting.borrow_mut().insert(id, sender);
    let request = Message::LeaseRequest {
        id,
        reply_to: node.settings.peers,
    };
    proofs.send(&request, address);
    let answer = timeout(ANSWER_TIMEOUT, answer).await;
    proofs.waiting.borrow_mut().remove(&id);
    answer.ok()?.ok()
}

/// Reads the records for a peer, once for all requests that arrive in the meantime.
///
/// # Errors
///
/// The store didn't answer.
pub(crate) async fn read_records<E: Edge>(node: &Rc<Node<E>>) -> Result<Items, Fault> {
    let (sender, receiver) = oneshot::channel();
    if node.proofs.add_waiter(sender) == 1 {
        let node = Rc::clone(node);
        spawn_local(async move { read_for_all(&node).await });
    }
    receiver.await.unwrap_or(Err(Fault::Unknown))
}

async fn read_for_all<E: Edge>(node: &Node<E>) {
    // A request that arrives from now on isn't answered by this read: its answer must have been
    // read after the request arrived.
    tokio::task::yield_now().await;
    let waiters = node.proofs.record_waiters.take();
    let items = node.store().read(&record_key::<E>(""), STORE_TIMEOUT).await;
    for waiter in waiters {
        let _ = waiter.send(items.clone());
    }
}
