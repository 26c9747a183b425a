//! Proofs that one instance asks of another.
//!
//! Renewing the era costs a call. Those who are no relays have a relay renew it for them,
//! and one renewal answers all questions that came before it. A proof counts from the
//! moment of the question, by the asker's own clock: a relay that is frozen, late or
//! replaced makes it shorter, never longer.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Boot, Instant};
use tokio::{net::UdpSocket, sync::oneshot, task::spawn_local, time::timeout};

use crate::{
    control::record_key,
    edge::{Edge, Fault, Items, Store},
    freshness,
    node::Node,
    peers::heartbeat::{self, Message},
    proof_lease, shares,
    work::Kind,
};

/// How long a relay may take to answer: the pause between its renewals and a call of the
/// store, and short enough that the store itself is asked before a proof has lapsed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long behind a question of another instance the proof is kept young for the next one.
const RELIED_ON_FOR: Duration = Duration::from_secs(2);

/// How long the store may be silent while the records are read.
const STORE_TIMEOUT: Duration = Duration::from_millis(350);

/// A question of another instance: what its answer is to name, and where it is to go.
pub(crate) type PendingRequest = (u64, SocketAddr);

/// Somebody who waits for the records.
type Waiter = oneshot::Sender<Result<Items, Fault>>;

/// Questions for proofs, own and others'.
#[derive(Debug, Default)]
pub struct Proofs {
    pub(crate) socket: RefCell<Option<Rc<UdpSocket>>>,
    last_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<(u64, Duration)>>>,
    pending: RefCell<Vec<PendingRequest>>,
    /// When the last question of another instance came.
    relied_on_at: Cell<Instant>,
    record_waiters: RefCell<Vec<Waiter>>,
}

impl Proofs {
    /// Whether others wait for an answer.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.borrow().is_empty()
    }

    /// Whether others asked lately, so that they will again.
    pub(crate) fn is_relied_on(&self, now: Instant) -> bool {
        self.relied_on_at.get() + RELIED_ON_FOR > now
    }

    /// The questions that came so far; whoever takes them asks the store and answers.
    pub(crate) fn take_pending(&self) -> Vec<PendingRequest> {
        self.pending.take()
    }

    /// Tells those who asked that the era was renewed `age` ago.
    ///
    /// Each of them counts back from its own question, so that all of the time until the
    /// answer is there makes the proof older.
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

    /// Tells those who asked that the era was renewed since.
    pub(crate) fn answer_renewed(&self, requests: &[PendingRequest], proof_lease: u64) {
        for (id, reply_to) in requests {
            let reply = Message::LeaseRenewed {
                id: *id,
                proof_lease,
            };
            self.send(&reply, *reply_to);
        }
    }

    /// Counts those who wait for the next reading, with one more among them.
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

/// Takes in a question or an answer.
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
        } => shares::answer_request(node, id, reply_to, &account, count),
        Message::QuotaGrant { id, count, wait } => node.shares.resolve(id, count, wait),
    }
}

/// Asks the instance at `address` whether the era lasts; which one does, and how long before
/// the answer that was so.
pub(crate) async fn query_lease<E: Edge>(
    node: &Node<E>,
    address: SocketAddr,
) -> Option<(u64, Duration)> {
    let proofs = &node.proofs;
    let id = proofs.last_id.get() + 1;
    proofs.last_id.set(id);
    // A number of this life: an answer to a question of the life before is none to this.
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

/// Reads the records for another instance, once for all who ask meanwhile.
///
/// # Errors
///
/// The store did not answer.
pub(crate) async fn read_records<E: Edge>(node: &Rc<Node<E>>) -> Result<Items, Fault> {
    let (sender, receiver) = oneshot::channel();
    if node.proofs.add_waiter(sender) == 1 {
        let node = Rc::clone(node);
        spawn_local(async move { read_for_all(&node).await });
    }
    receiver.await.unwrap_or(Err(Fault::Unknown))
}

async fn read_for_all<E: Edge>(node: &Node<E>) {
    // Whoever asks from now on is not answered by this reading: what it is told must
    // have been read behind its question.
    tokio::task::yield_now().await;
    let waiters = node.proofs.record_waiters.take();
    let items = node.store().read(&record_key::<E>(""), STORE_TIMEOUT).await;
    for waiter in waiters {
        let _ = waiter.send(items.clone());
    }
}
