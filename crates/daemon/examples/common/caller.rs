//! A caller: an unmodified PostgreSQL client that keeps its session token.

use std::{
    cell::RefCell,
    future::poll_fn,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio_postgres::{Client, Connection, NoTls, Socket, tls::NoTlsStream};

/// The user of the examples' tenant.
pub(crate) const USER: &str = "groom";

/// The password of [`USER`].
pub(crate) const PASSWORD: &str = "wachtwoord";

/// Longest time for connecting. A daemon refuses callers until it has the
/// catalogue.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two attempts to connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);

/// The parameter in which an instance reports the session token.
const TOKEN: &str = "dandelionlink.session";

type Token = Rc<RefCell<Option<String>>>;

/// A connected caller.
pub(crate) struct Caller {
    /// The driver's client.
    pub(crate) client: Client,
    token: Token,
}

impl Caller {
    /// Connects to the instance at `address` for `entry`. Must run in a
    /// `tokio::task::LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns the last error if no attempt succeeded in time.
    pub(crate) async fn open(address: SocketAddr, entry: &str) -> anyhow::Result<Self> {
        let began = Instant::now();
        loop {
            match connect(address, entry).await {
                Ok(caller) => return Ok(caller),
                Err(error) if began.elapsed() >= CONNECT_TIMEOUT => {
                    return Err(error).with_context(|| format!("no connection to {address}"));
                }
                Err(_) => tokio::time::sleep(CONNECT_PAUSE).await,
            }
        }
    }

    /// The last session token reported by the instance as a parameter status.
    pub(crate) fn token(&self) -> Option<String> {
        self.token.borrow().clone()
    }
}

async fn connect(address: SocketAddr, entry: &str) -> Result<Caller, tokio_postgres::Error> {
    let (client, connection) = tokio_postgres::Config::new()
        .host(address.ip().to_string())
        .port(address.port())
        .user(USER)
        .password(PASSWORD)
        .dbname(entry)
        .connect(NoTls)
        .await?;
    let token = Token::default();
    tokio::task::spawn_local(drive(connection, Rc::clone(&token)));
    Ok(Caller { client, token })
}

/// Drives the connection and records changes of the token.
async fn drive(mut connection: Connection<Socket, NoTlsStream>, token: Token) {
    loop {
        let message = poll_fn(|context| {
            let polled = connection.poll_message(context);
            *token.borrow_mut() = connection.parameter(TOKEN).map(str::to_owned);
            polled
        });
        if !matches!(message.await, Some(Ok(_))) {
            return;
        }
    }
}
