//! A session that another instance serves.
//!
//! Where a few instances hold the connections to a group ([`admit::holders`]), the other instances
//! forward their callers' sessions to them, over one hop and never two. The holder keeps everything
//! that belongs to the session (values, prepared statements, position, transaction, proofs). This
//! instance forwards statements and answers, and tracks the session's state, so that a statement
//! gets a correct answer even if the holder is lost.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    catalog::Route,
    connection::Broken,
    edge::{Edge, Protocol},
    message::{Access, Code, Command, Prepared, Query, Reply, State, Statement},
    node::Node,
    outcome::{Cause, Outcome},
    peers::{self, LOST_HEARTBEATS},
    session_state::SessionState,
};
/// Time limit for a holder to accept a session: a round trip and a turn on a busy processor. After
/// it the next holder is asked; nothing was run.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time that an answer may take beyond the statement's time limit: the holder gives up and reports
/// that, unless it is lost.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Interval between checks that a holder without an answer is still heard.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes that are reserved for a read.
const READ_SIZE: usize = 4 * 1024;

/// A session that another instance serves.
#[derive(Debug)]
pub struct Remote {
    address: SocketAddr,
    stream: TcpStream,
    buf: BytesMut,
    out: BytesMut,
    state: State,
    is_lost: bool,
}

impl Remote {
    /// Forwards a session to one of the holders of its route's service; `None` if this instance has
    /// to serve it.
    pub async fn open<E: Edge>(
        node: &Rc<Node<E>>,
        route: &Route,
        session: &SessionState,
    ) -> Option<Self> {
        let holders = match &session.account {
            Some(account) => node.account_holders(&route.service, account),
            None => node.holders(&route.service),
        };
        if holders.is_empty() {
            return None;
        }
        for address in &holders {
            let opened = timeout(HANDSHAKE_TIMEOUT, peers::forward(*address, session)).await;
            let Ok(Ok(stream)) = opened else {
                node.peers.mark_unreachable(*address);
                continue;
            };
            let mut remote = Self {
                address: *address,
                stream,
                buf: BytesMut::new(),
                out: BytesMut::new(),
                state: State::Idle,
                is_lost: false,
            };
            if let Ok(Ok(_)) = timeout(HANDSHAKE_TIMEOUT, remote.read_reply::<E::Protocol>()).await
            {
                return Some(remote);
            }
        }
        log::info!(service = &*route.service, asked = holders.len(); "no holder accepted the session");
        None
    }

    /// Returns the session's transaction state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns true if the holder is lost and no transaction is open. The caller's session ends
    /// then, since its values and prepared statements are lost with the holder.
    pub fn is_over(&self) -> bool {
        self.is_lost && self.state == State::Idle
    }

    /// Runs a statement at the holder. `prepared` is the prepared statement that it executes.
    pub async fn answer<E: Edge>(
        &mut self,
        node: &Node<E>,
        query: &Query,
        prepared: Option<&Prepared>,
        within: Duration,
    ) -> Outcome {
        if !self.is_lost {
            let silent = wait_until_silent(node, self.address, within + ANSWER_MARGIN);
            let reply = tokio::select! {
                reply = self.request::<E::Protocol>(query) => reply.ok(),
                () = silent => None,
            };
            if let Some(reply) = reply {
                self.state = reply.state;
                return Outcome::from_reply(reply);
            }
            self.is_lost = true;
        }
        let outcome = lost_outcome::<E>(self.state, &query.statement, prepared);
        self.state = outcome.state;
        outcome
    }

    /// Waits until the holder closes the session.
    pub async fn closed(&self) {
        if self.is_lost {
            return std::future::pending().await;
        }
        let _ = self.stream.readable().await;
    }

    /// Records that the holder closed the session between statements.
    pub fn mark_lost(&mut self) {
        self.is_lost = true;
    }

    async fn request<P: Protocol>(&mut self, query: &Query) -> Result<Reply, Broken> {
        let command = Command::Forward {
            id: &query.id,
            after: None,
            text: &query.text,
        };
        P::command(&command, &mut self.out);
        let out = self.out.split();
        self.stream.write_all(&out).await?;
        self.read_reply::<P>().await
    }

    async fn read_reply<P: Protocol>(&mut self) -> Result<Reply, Broken> {
        loop {
            match P::reply(&mut self.buf) {
                Ok(Some(reply)) => return Ok(reply),
                Ok(None) => {}
                Err(_) => return Err(Broken),
            }
            self.buf.reserve(READ_SIZE);
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                return Err(Broken);
            }
        }
    }
}

/// Waits until the instance at `address` is no longer heard, or `within` is over.
///
/// Otherwise callers of a holder behind a network partition would wait for the whole time limit of
/// their statements.
async fn wait_until_silent<E: Edge>(node: &Node<E>, address: SocketAddr, within: Duration) {
    let until = Instant::now() + within;
    while Instant::now() < until && node.peers.was_heard(address, LOST_HEARTBEATS) {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the answer to a caller whose session's holder was lost in `state`, with `statement`
/// unanswered.
///
/// Without a `COMMIT` nothing of a transaction is kept, wherever its connection is. A single write
/// or a `COMMIT` may have been executed, and is never sent again.
fn lost_outcome<E: Edge>(
    state: State,
    statement: &Statement,
    prepared: Option<&Prepared>,
) -> Outcome {
    let reads = prepared.is_some_and(|prepared| prepared.access == Access::Read);
    let refuse = |code, state| Outcome::refusal::<E::Protocol>(code, Cause::Holder, state);
    match (state, statement) {
        (State::Open, Statement::Commit) => refuse(Code::InDoubt, State::Idle),
        (State::Failed, Statement::Commit) => refuse(Code::Aborted, State::Idle),
        (State::Open | State::Failed, Statement::Rollback) => {
            Outcome::done::<E::Protocol>(State::Idle)
        }
        (State::Open, _) => refuse(Code::Aborted, State::Failed),
        (State::Failed, _) => refuse(Code::Malformed, State::Failed),
        (State::Idle, Statement::Write) => refuse(Code::InDoubt, State::Idle),
        (State::Idle, Statement::Execute(..)) if !reads => refuse(Code::InDoubt, State::Idle),
        (State::Idle, _) => refuse(Code::Busy, State::Idle),
    }
}
