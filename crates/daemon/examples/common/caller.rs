//! A caller: an unmodified PostgreSQL client that keeps its session's token.

use std::{
    cell::RefCell,
    future::poll_fn,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio_postgres::{Client, Connection, NoTls, Socket, tls::NoTlsStream};

/// The user of the examples' one tenant.
pub(crate) const USER: &str = "groom";

/// That user's password.
pub(crate) const PASSWORD: &str = "wachtwoord";

/// How long a caller tries to connect: a daemon that has just started refuses
/// callers until it has the catalogue.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between two tries.
const CONNECT_PAUSE: Duration = Duration::from_millis(10);

/// The setting in which an instance tells the session's token.
const TOKEN: &str = "dandelionlink.session";

type Token = Rc<RefCell<Option<String>>>;

/// A connected caller.
pub(crate) struct Caller {
    /// The client.
    pub(crate) client: Client,
    token: Token,
}

impl Caller {
    /// Connects to the instance at `address` for `entry`. Needs a
    /// `tokio::task::LocalSet`.
    ///
    /// # Errors
    ///
    /// The last refusal, when none of the tries came through.
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

    /// The token that the instance told last, by ParameterStatus.
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

/// Moves the connection's messages and notes the token as it changes.
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
