//! The beginning of a caller's connection: startup, login and greeting.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use bytes::{Bytes, BytesMut};
use catalog::scram::Verifier;
use model::name;
use ntex::{io::Io, time::Millis};
use pg::{Codec, Startup};
use pgwire::messages::{
    Message,
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, SecretKey},
};
use rand::Rng;
use tokio::sync::mpsc;

use super::{Entry, PARTS, Shared, auth::Exchange, serve::Session};
use crate::{
    duty::Phase,
    job::{Ask, Scope},
};

/// How long a caller may take to log in.
const LOGIN_TIMEOUT: Millis = Millis(10_000);

/// The longest message of a login, in bytes.
const MAX_LOGIN: usize = 4_096;

/// A refusal of the connection, told with its SQLSTATE.
pub(super) struct Refusal {
    state: &'static str,
    text: String,
}

fn refuse<T>(state: &'static str, text: impl Into<String>) -> Result<T, Refusal> {
    Err(Refusal {
        state,
        text: text.into(),
    })
}

impl From<std::io::Error> for Refusal {
    fn from(error: std::io::Error) -> Self {
        Self {
            state: "08006",
            text: error.to_string(),
        }
    }
}

impl From<pg::Error> for Refusal {
    fn from(error: pg::Error) -> Self {
        Self {
            state: "08P01",
            text: error.to_string(),
        }
    }
}

/// Serves one connection from its first byte to its last.
pub(super) async fn serve(io: Io, client: SocketAddr, shared: Rc<Shared>) {
    let login = ntex::time::timeout(LOGIN_TIMEOUT, log_in(&io, client, &shared)).await;
    let refusal = match login {
        Ok(Ok(None)) => return,
        Ok(Ok(Some(session))) => return session.run(io).await,
        Ok(Err(refusal)) => refusal,
        Err(()) => Refusal {
            state: "57P05",
            text: "the login took too long".to_owned(),
        },
    };
    metrics::counter!("dandelionlink_logins_refused_total", "sqlstate" => refusal.state)
        .increment(1);
    let mut buf = BytesMut::new();
    pg::error(&mut buf, refusal.state, &refusal.text, None);
    let _ = io.encode_slice(&buf);
    let _ = io.shutdown().await;
}

async fn log_in(
    io: &Io,
    client: SocketAddr,
    shared: &Rc<Shared>,
) -> Result<Option<Session>, Refusal> {
    let startup = match startup(io).await? {
        Some(Startup::Session(startup)) => startup,
        Some(Startup::Cancel(request)) => {
            cancel(shared, &request).await;
            return Ok(None);
        }
        _ => return Ok(None),
    };
    if *shared.watch.borrow() > Phase::Run {
        return refuse("57P01", "this instance is stopping; connect again");
    }
    if shared.callers.borrow().len() >= shared.limit {
        return refuse(
            "53300",
            "this instance has all the callers that it may have",
        );
    }
    let parameter = |key: &str| startup.parameters.get(key).map(String::as_str);
    let user = parameter("user").unwrap_or_default();
    let entry = parameter("database").unwrap_or(user);
    let (scope, verifier) = scope(shared, user, entry)?;
    if let Some(verifier) = verifier {
        authenticate(io, verifier).await?;
    }
    let mut session = Session::open(Rc::clone(shared), Arc::new(scope), user, client);
    if let Some(text) = parameter("dandelionlink.session") {
        session
            .present(text)
            .or_else(|error| refuse("22023", error.to_string()))?;
    }
    for (key, value) in &startup.parameters {
        session.start_setting(key, value);
    }
    greet(io, shared, &mut session)?;
    Ok(Some(session))
}

/// Reads first messages until one begins something; encryption is declined.
async fn startup(io: &Io) -> Result<Option<Startup>, Refusal> {
    let mut buf = BytesMut::new();
    loop {
        io.with_read_buf(|src| buf.extend_from_slice(&src.split_to(src.len())));
        match pg::decode_startup(&mut buf)? {
            Some(Startup::Tls | Startup::Gss) => {
                io.encode_slice(b"N")?;
                io.send_buf()?;
            }
            Some(found) => return Ok(Some(found)),
            None if io.read_ready().await?.is_none() => return Ok(None),
            None => {}
        }
    }
}

/// Asks for what a cancel request names, if its key is right.
async fn cancel(shared: &Shared, request: &CancelRequest) {
    let SecretKey::I32(secret) = request.secret_key else {
        return;
    };
    let seq = {
        let callers = shared.callers.borrow();
        let named = callers.iter().find(|(id, _)| pid(**id) == request.pid);
        named
            .filter(|(_, entry)| entry.secret == secret)
            .map(|(id, entry)| (*id, entry.seq))
    };
    if let Some((caller, seq)) = seq {
        shared.asks.send(Ask::Cancel { caller, seq }).await;
    }
}

/// The process number that stands for a caller in cancel requests.
fn pid(caller: u64) -> i32 {
    i32::try_from(caller % (1 << 31)).unwrap_or(0)
}

fn scope(shared: &Shared, user: &str, entry: &str) -> Result<(Scope, Option<Verifier>), Refusal> {
    let snapshot = Arc::clone(&shared.catalog.borrow());
    if snapshot.head.is_none() {
        return refuse("57P03", "this instance has no catalogue yet; connect again");
    }
    let found = name::Entry::new(entry).ok();
    let found = found.and_then(|it| snapshot.catalog.entries.get_key_value(&it));
    let Some((name, found)) = found else {
        return refuse("3D000", format!("the catalogue has no entry \"{entry}\""));
    };
    let tenant = snapshot.catalog.tenants.get(&found.tenant);
    // A wrong user and a wrong password are told alike, later: an unknown user
    // could otherwise be told from a known one.
    let Some(verifier) = tenant.and_then(|it| it.users.get(user)) else {
        return refuse(
            "28P01",
            format!("password authentication failed for user \"{user}\""),
        );
    };
    let verifier = Verifier::parse(verifier).or_else(|error| refuse("28P01", error.to_string()))?;
    let scope = Scope::new(name, found);
    Ok((scope, Some(verifier)))
}

async fn authenticate(io: &Io, verifier: Verifier) -> Result<(), Refusal> {
    let failed = || Refusal {
        state: "28P01",
        text: "password authentication failed".to_owned(),
    };
    send(io, &Authentication::SASL(vec!["SCRAM-SHA-256".to_owned()]))?;
    let message = password_message(io).await?;
    let first = initial_response(&message).ok_or_else(failed)?;
    let salt: [u8; 18] = rand::rng().random();
    let exchange = Exchange::open(verifier, first, &salt).map_err(|_| failed())?;
    let challenge = Bytes::copy_from_slice(exchange.challenge().as_bytes());
    send(io, &Authentication::SASLContinue(challenge))?;
    let message = password_message(io).await?;
    let last = exchange.finish(&message).map_err(|_| failed())?;
    send(io, &Authentication::SASLFinal(Bytes::from(last)))?;
    Ok(())
}

fn send(io: &Io, message: &impl Message) -> Result<(), Refusal> {
    let mut buf = BytesMut::new();
    let _ = message.encode(&mut buf);
    io.encode_slice(&buf)?;
    io.send_buf()?;
    Ok(())
}

async fn password_message(io: &Io) -> Result<Bytes, Refusal> {
    let frame = match io.recv(&Codec).await {
        Ok(Some(frame)) => frame,
        Ok(None) => return refuse("08006", "the connection was closed"),
        Err(_) => return refuse("08P01", "a password message was expected"),
    };
    if frame.tag() != b'p' || frame.body().len() > MAX_LOGIN {
        return refuse("08P01", "a password message was expected");
    }
    Ok(Bytes::copy_from_slice(frame.body()))
}

/// The first message of the exchange, behind the method's name and a length.
fn initial_response(body: &[u8]) -> Option<&[u8]> {
    let end = body.iter().position(|&byte| byte == 0)?;
    let (method, rest) = body.split_at(end);
    let (length, message) = rest[1..].split_first_chunk::<4>()?;
    let whole = u32::from_be_bytes(*length) as usize == message.len();
    (method == b"SCRAM-SHA-256" && whole).then_some(message)
}

/// Enters the session into the duty's table and greets the caller.
fn greet(io: &Io, shared: &Rc<Shared>, session: &mut Session) -> Result<(), Refusal> {
    let caller = {
        let mut made = shared.made.borrow_mut();
        *made += 1;
        *made
    };
    let secret = rand::rng().random();
    let (parts, taken) = mpsc::channel(PARTS);
    shared.callers.borrow_mut().insert(
        caller,
        Entry {
            secret,
            seq: 0,
            parts,
            face: Rc::clone(&session.face),
        },
    );
    session.enter(caller, taken);
    let mut buf = BytesMut::new();
    let _ = Authentication::Ok.encode(&mut buf);
    for (name, value) in [
        ("server_version", "15.0 (dandelionlink)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
        ("integer_datetimes", "on"),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
    ] {
        pg::parameter(&mut buf, name, value);
    }
    session.put_token(&mut buf);
    let _ = BackendKeyData::new(pid(caller), SecretKey::I32(secret)).encode(&mut buf);
    pg::ready(&mut buf, b'I');
    io.encode_slice(&buf)?;
    io.send_buf()?;
    Ok(())
}
