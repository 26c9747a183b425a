//! One connection to an upstream, from login to close.

use std::net::SocketAddr;

use bytes::BytesMut;
use ntex::{SharedCfg, io::Io};
use pg::{Codec, Frame};
use postgres_protocol::{
    authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256},
    message::frontend,
};

use crate::Error;

/// Largest SCRAM iteration count that is accepted from an upstream.
///
/// The iterations run on the thread that serves all upstreams, which a faulty
/// upstream could otherwise block for minutes.
const MAX_ITERATIONS: u32 = 1_000_000;

/// Credentials with which the proxy logs in to an upstream.
#[derive(Debug, Clone)]
pub struct Login {
    /// Name of the user.
    pub user: String,
    /// Password of the user, if the upstream needs one.
    pub password: Option<String>,
}

/// Identifies a connection in a cancel request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Id of the server process.
    pub pid: i32,
    /// Secret that the server issued for the process.
    pub secret: i32,
}

/// A connection that has logged in.
#[derive(Debug)]
pub struct Conn {
    io: Io,
    key: Key,
}

impl Conn {
    /// Connects to `address` and logs in to the database `dbname`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if no connection was made, so that nothing was
    /// sent, and another [`Error`] if the login failed.
    pub async fn open(address: SocketAddr, login: &Login, dbname: &str) -> Result<Self, Error> {
        let io = ntex::rt::tcp_connect(address, SharedCfg::default());
        let io = io.await.map_err(Error::Connect)?;
        let mut conn = Self {
            io,
            key: Key { pid: 0, secret: 0 },
        };
        let mut buf = BytesMut::new();
        let parameters = [
            ("user", login.user.as_str()),
            ("database", dbname),
            ("application_name", "dandelionlink"),
            ("client_encoding", "UTF8"),
        ];
        frontend::startup_message(parameters, &mut buf).map_err(pg::Error::Io)?;
        conn.send(&buf)?;
        conn.log_in(login).await?;
        Ok(conn)
    }

    /// Returns the key that identifies this connection in a cancel request.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns true if the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.io.is_closed()
    }

    /// Sends encoded messages.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection is closed; some bytes may have
    /// been sent.
    pub fn send(&self, bytes: &[u8]) -> Result<(), Error> {
        self.io.encode_slice(bytes).map_err(|_| Error::Closed)?;
        self.io.send_buf().map_err(|_| Error::Closed)
    }

    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the connection is closed or sends an invalid message.
    pub async fn recv(&self) -> Result<Frame, Error> {
        match self.io.recv(&Codec).await {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => Err(Error::Closed),
            Err(ntex::util::Either::Left(error)) => Err(Error::Protocol(error)),
            Err(ntex::util::Either::Right(_)) => Err(Error::Closed),
        }
    }

    /// Runs statements one by one with simple queries and stops at the first one
    /// that is refused.
    ///
    /// Returns the rows of the last statement that had any.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the upstream refuses one of the statements.
    pub async fn run(&self, statements: &[String]) -> Result<Vec<Frame>, Error> {
        let mut rows = Vec::new();
        for statement in statements {
            let (found, _) = self.query(statement).await?;
            if !found.is_empty() {
                rows = found;
            }
        }
        Ok(rows)
    }

    /// Runs a statement with a simple query and returns its number of affected rows.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Conn::run`].
    pub async fn execute(&self, statement: &str) -> Result<u64, Error> {
        let (_, tag) = self.query(statement).await?;
        let count = tag.rsplit(' ').next().and_then(|it| it.parse().ok());
        Ok(count.unwrap_or(0))
    }

    /// Runs a statement and returns its rows and its command tag.
    async fn query(&self, statement: &str) -> Result<(Vec<Frame>, String), Error> {
        let mut buf = BytesMut::new();
        frontend::query(statement, &mut buf).map_err(pg::Error::Io)?;
        self.send(&buf)?;
        let mut rows = Vec::new();
        let mut refused = None;
        let mut tag = String::new();
        loop {
            let frame = self.recv().await?;
            match frame.tag() {
                b'D' => rows.push(frame),
                b'C' => tag = command_tag(frame.body()),
                b'E' => refused = Some(Error::refused(frame.body())),
                b'Z' => break,
                _ => {}
            }
        }
        refused.map_or(Ok((rows, tag)), Err)
    }

    async fn log_in(&mut self, login: &Login) -> Result<(), Error> {
        let password = login.password.as_deref().unwrap_or_default();
        let mut scram = None;
        loop {
            let frame = self.recv().await?;
            match frame.tag() {
                b'R' => self.authenticate(&frame, password, &mut scram)?,
                b'K' => self.key = key(frame.body()).ok_or(Error::Status("a cancel key"))?,
                b'E' => return Err(Error::refused(frame.body())),
                b'Z' => return Ok(()),
                _ => {}
            }
        }
    }

    fn authenticate(
        &self,
        frame: &Frame,
        password: &str,
        scram: &mut Option<ScramSha256>,
    ) -> Result<(), Error> {
        let (method, rest) = frame
            .body()
            .split_first_chunk::<4>()
            .ok_or(Error::Login(-1))?;
        let method = i32::from_be_bytes(*method);
        let malformed = |_| Error::Login(method);
        let mut buf = BytesMut::new();
        match (method, scram.as_mut()) {
            (0, _) => return Ok(()),
            (3, _) => {
                frontend::password_message(password.as_bytes(), &mut buf).map_err(malformed)?
            }
            (10, _) => {
                let binding = ChannelBinding::unsupported();
                let exchange = scram.insert(ScramSha256::new(password.as_bytes(), binding));
                frontend::sasl_initial_response(SCRAM_SHA_256, exchange.message(), &mut buf)
                    .map_err(malformed)?;
            }
            (11, Some(exchange)) => {
                if iterations(rest).is_none_or(|it| it > MAX_ITERATIONS) {
                    return Err(Error::Login(method));
                }
                exchange.update(rest).map_err(malformed)?;
                frontend::sasl_response(exchange.message(), &mut buf).map_err(malformed)?;
            }
            (12, Some(exchange)) => return exchange.finish(rest).map_err(malformed),
            _ => return Err(Error::Login(method)),
        }
        self.send(&buf)
    }
}

/// Returns the iteration count in a SCRAM challenge.
fn iterations(challenge: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(challenge).ok()?;
    let count = text.split(',').find_map(|it| it.strip_prefix("i="))?;
    count.parse().ok()
}

fn command_tag(body: &[u8]) -> String {
    let text = body.strip_suffix(&[0]).unwrap_or(body);
    String::from_utf8_lossy(text).into_owned()
}

fn key(body: &[u8]) -> Option<Key> {
    let (pid, rest) = body.split_first_chunk::<4>()?;
    let (secret, _) = rest.split_first_chunk::<4>()?;
    Some(Key {
        pid: i32::from_be_bytes(*pid),
        secret: i32::from_be_bytes(*secret),
    })
}

/// Asks the upstream at `address` to cancel the statement that runs on the
/// connection with `key`.
///
/// # Errors
///
/// Returns [`Error::Connect`] if the upstream can't be reached.
pub async fn cancel(address: SocketAddr, key: &Key) -> Result<(), Error> {
    let io = ntex::rt::tcp_connect(address, SharedCfg::default());
    let io = io.await.map_err(Error::Connect)?;
    let mut buf = BytesMut::new();
    frontend::cancel_request(key.pid, key.secret, &mut buf);
    io.encode_slice(&buf).map_err(|_| Error::Closed)?;
    io.flush(true).await.map_err(|_| Error::Closed)?;
    // The server closes this connection after it has acted on the request.
    let _ = io.recv(&Codec).await;
    Ok(())
}
