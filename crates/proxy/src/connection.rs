//! A connection to an upstream.

pub mod prepared;

use std::{collections::BTreeMap, io, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use clock::{Boot, Instant};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    edge::Protocol,
    member::Member,
    message::{Code, Command, Prepared, Reply, State},
};
use prepared::Names;

/// Time limit for connecting and the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Bytes that are reserved for a read.
const READ_SIZE: usize = 8 * 1024;

/// Reason for which no connection could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refused {
    /// The upstream has reached its limit of connections.
    #[error("the upstream takes no more connections")]
    TooMany,
    /// Another upstream has the address now.
    #[error("another upstream has this address")]
    Misrouted,
    /// The upstream's log is shorter than it was when the upstream led.
    #[error("the upstream has lost a part of its log")]
    LogLost,
    /// The upstream does not answer at its address.
    #[error("the upstream can't be reached")]
    Unreachable,
}

/// The connection broke before the answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the connection broke before the answer was complete")]
pub struct Broken;

impl From<io::Error> for Broken {
    fn from(_: io::Error) -> Self {
        Self
    }
}

/// The values that a session has set, by name.
pub type Values = BTreeMap<Bytes, Bytes>;

/// A connection to an upstream.
///
/// It is opened for one client account, and only sessions of that account use it, one at a time. It
/// tracks the values and prepared statements that the upstream keeps for it, so that a session
/// finds only its own.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    out: BytesMut,
    values: Values,
    prepared: Box<Names>,
    outstanding: usize,
    state: State,
    last_answer: Instant,
    account: Option<Rc<str>>,
    member: Rc<Member>,
    _guard: OpenGuard,
}

/// Counts a connection for as long as it is open.
#[derive(Debug)]
pub struct OpenGuard(Rc<Member>);

impl OpenGuard {
    /// Counts one more connection to `member`.
    pub fn new(member: &Rc<Member>) -> Self {
        member.pool.open.set(member.pool.open.get() + 1);
        Self(Rc::clone(member))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let open = &self.0.pool.open;
        open.set(open.get() - 1);
    }
}

impl Connection {
    /// Opens a connection for `account`, or for this process itself.
    ///
    /// # Errors
    ///
    /// Nothing was run; [`Refused`] gives the reason.
    pub async fn open<P: Protocol>(
        member: &Rc<Member>,
        account: Option<Rc<str>>,
        guard: OpenGuard,
    ) -> Result<Self, Refused> {
        let opened = timeout(OPEN_TIMEOUT, Self::handshake::<P>(member, account, guard)).await;
        opened.unwrap_or(Err(Refused::Unreachable))
    }

    async fn handshake<P: Protocol>(
        member: &Rc<Member>,
        account: Option<Rc<str>>,
        guard: OpenGuard,
    ) -> Result<Self, Refused> {
        let upstream = &member.upstream;
        let stream = TcpStream::connect(upstream.address).await;
        let stream = stream.map_err(|_| Refused::Unreachable)?;
        let _ = set_socket_options(&stream);
        let mut connection = Self {
            stream,
            buf: BytesMut::new(),
            out: BytesMut::new(),
            values: Values::new(),
            prepared: Box::default(),
            outstanding: 0,
            state: State::Idle,
            last_answer: Boot.now(),
            account,
            member: Rc::clone(member),
            _guard: guard,
        };
        let account = connection.account.clone();
        let hello = Command::Start {
            service: &upstream.service,
            account: account.as_deref(),
            id: &upstream.id,
        };
        if let Ok(reply) = connection.request::<P>(&hello).await {
            let has_lost_log = reply
                .position
                .is_some_and(|position| member.check_log_loss(position, Boot.now()));
            return match has_lost_log {
                true => Err(Refused::LogLost),
                false => Ok(connection),
            };
        }
        match P::rejected(&connection.buf) {
            Some(Code::TooMany) => Err(Refused::TooMany),
            Some(Code::Misrouted) => Err(Refused::Misrouted),
            _ => Err(Refused::Unreachable),
        }
    }

    /// Returns the upstream at the other end.
    pub fn member(&self) -> &Rc<Member> {
        &self.member
    }

    /// Returns true if the connection was opened for `account`; only sessions of that account may
    /// use it.
    pub fn belongs_to(&self, account: Option<&Rc<str>>) -> bool {
        self.account.as_ref() == account
    }

    /// Returns the time of the upstream's last answer on this connection.
    pub fn last_answer(&self) -> Instant {
        self.last_answer
    }

    /// Returns true if no transaction is open and no answer outstanding, so that another session
    /// may use the connection.
    pub fn is_clean(&self) -> bool {
        self.outstanding == 0 && self.state == State::Idle && self.buf.is_empty()
    }

    /// Returns true if the connection has not been closed while it was idle.
    ///
    /// A statement that is sent on a connection which the upstream has closed is lost, and a write
    /// would end as unknown without need.
    pub fn is_open(&self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Returns true if the connection has exactly these values at the upstream.
    pub fn has_values(&self, values: &Values) -> bool {
        self.values == *values
    }

    /// Returns true if nothing has to be sent before a statement of a session with these values.
    pub fn is_set_to(&self, values: &Values) -> bool {
        self.has_values(values) && !self.is_full()
    }

    /// Returns true if the statements that are prepared on the connection are to be dropped, which is
    /// not possible within a transaction.
    fn is_full(&self) -> bool {
        self.state == State::Idle && self.prepared.is_full()
    }

    /// Sets the connection to a session's values, and waits until the upstream has them: a statement
    /// that is sent together with a command would run even if the command is refused.
    ///
    /// # Errors
    ///
    /// As for [`Connection::request`], or the upstream refused a command.
    pub async fn apply_values<P: Protocol>(&mut self, values: &Values) -> Result<(), Broken> {
        let is_stale = self.values.keys().any(|name| !values.contains_key(name));
        if is_stale || self.is_full() {
            return self.reset_to::<P>(values).await;
        }
        self.queue_values::<P>(values);
        self.finish::<P>().await
    }

    /// Clears the upstream's values and prepared statements, and sets a session's values. The answer
    /// also shows that the upstream is alive.
    ///
    /// # Errors
    ///
    /// As for [`Connection::apply_values`].
    pub async fn reset_to<P: Protocol>(&mut self, values: &Values) -> Result<(), Broken> {
        self.queue::<P>(&Command::Reset);
        self.values.clear();
        self.prepared.clear();
        self.queue_values::<P>(values);
        self.finish::<P>().await
    }

    fn queue_values<P: Protocol>(&mut self, values: &Values) {
        for (name, value) in values {
            if self.values.get(name) == Some(value) {
                continue;
            }
            self.queue::<P>(&Command::Set(name, value));
            self.values.insert(name.clone(), value.clone());
        }
    }

    /// Sends the queued commands, and checks that the upstream has carried out each of them.
    async fn finish<P: Protocol>(&mut self) -> Result<(), Broken> {
        if self.outstanding == 0 {
            return Ok(());
        }
        let reply = self.flush::<P>().await?;
        reply.verdict.map_err(|_| Broken)
    }

    /// Queues the command that prepares `statement` unless it is prepared already, and returns its
    /// name on this connection.
    pub fn prepare<P: Protocol>(&mut self, statement: &Prepared) -> String {
        if let Some(name) = self.prepared.find(statement) {
            return name;
        }
        let name = self.prepared.add(statement);
        self.queue::<P>(&Command::Prepare(&name, statement));
        name
    }

    /// Clears the record of prepared statements after the upstream has reported one as unknown.
    pub fn clear_prepared(&mut self) {
        self.prepared.clear();
    }

    fn queue<P: Protocol>(&mut self, command: &Command<'_>) {
        P::command(command, &mut self.out);
        self.outstanding += 1;
    }

    /// Sends the queued commands and `command`, and returns the answer to `command`.
    ///
    /// # Errors
    ///
    /// The connection broke, or the upstream refused a queued command. `command` may have run, and
    /// the connection can't be used any more. The same holds if the future is dropped before it is
    /// done.
    pub async fn request<P: Protocol>(&mut self, command: &Command<'_>) -> Result<Reply, Broken> {
        self.queue::<P>(command);
        self.flush::<P>().await
    }

    /// Sends the queued commands, and returns the answer to the last one.
    async fn flush<P: Protocol>(&mut self) -> Result<Reply, Broken> {
        let out = self.out.split();
        let asked = Boot.now();
        self.member.log.ask(asked);
        self.stream.write_all(&out).await?;
        loop {
            let reply = self.read_reply::<P>().await?;
            self.outstanding -= 1;
            self.state = reply.state;
            if self.outstanding == 0 {
                self.last_answer = Boot.now();
                self.member.note_answer(self.last_answer);
                if let Some(position) = reply.position {
                    self.member.log.record((asked, self.last_answer), position);
                }
                return Ok(reply);
            }
            if reply.verdict.is_err() {
                return Err(Broken);
            }
        }
    }

    /// Makes dropping the connection reset it, so that bytes that were not delivered yet never are.
    pub(crate) fn reset_on_drop(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Makes dropping the connection close it.
    pub(crate) fn close_on_drop(&self) {
        let _ = SockRef::from(&self.stream).set_linger(None);
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

/// Sets the options of a socket so that a dead peer is detected.
///
/// # Errors
///
/// The kernel refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
