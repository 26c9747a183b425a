//! Start of a caller's connection: startup, login and greeting.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use catalog::scram::Verifier;
use model::name;
use ntex::{
    io::{Filter, Io},
    time::Millis,
};
use ntex_tls::rustls::TlsServerFilter;
use pg::{LoginCodec, Startup};
use pgwire::messages::{
    Message,
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, NegotiateProtocolVersion, SecretKey},
};
use rand::Rng;
use tokio::sync::mpsc;

use super::{
    Entry, MAX_PARTS, Shared, Stream,
    auth::{self, Exchange},
    serve::Session,
};
use crate::{
    duty::Phase,
    job::{Command, Scope},
    tls::Tls,
};

/// Time limit of a login.
const LOGIN_TIMEOUT: Millis = Millis(10_000);

/// Protocol version 3.0 as one number, the newest version that servers report.
const PROTOCOL: i32 = 3 << 16;

/// Maximum number of connections that are logging in. Together with
/// [`pg::MAX_STARTUP`] and [`pg::MAX_LOGIN`] it limits the memory that
/// unauthenticated clients can take.
const MAX_LOGINS: usize = 1_024;

/// Refusal of a connection, with its SQLSTATE.
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

/// Counts a connection as logging in until it is dropped.
struct LoginSlot(Rc<Shared>);

impl LoginSlot {
    /// Counts one more login, unless the maximum is reached.
    fn open(shared: &Rc<Shared>) -> Option<Self> {
        let count = shared.logins.get();
        if count >= MAX_LOGINS {
            return None;
        }
        shared.logins.set(count + 1);
        Some(Self(Rc::clone(shared)))
    }
}

impl Drop for LoginSlot {
    fn drop(&mut self) {
        self.0.logins.set(self.0.logins.get() - 1);
    }
}

/// Result of the first messages of a connection.
enum Opening {
    /// A startup message.
    Startup(Stream, Startup),
    /// A message that is refused.
    Refused(Stream, Refusal),
    /// The caller disconnected, or the TLS handshake failed.
    Gone,
}

/// Serves one connection until its end.
pub(super) async fn serve(io: Io, client: SocketAddr, shared: Rc<Shared>) {
    let Some(slot) = LoginSlot::open(&shared) else {
        return reject(&io.seal(), "53300", "too many connections are logging in").await;
    };
    let started = shared.clock.now();
    let opening = ntex::time::timeout(LOGIN_TIMEOUT, read_opening(io, &shared)).await;
    let (io, startup) = match opening {
        Ok(Opening::Startup(io, startup)) => (io, startup),
        Ok(Opening::Refused(io, refusal)) => {
            return reject(&io, refusal.state, &refusal.text).await;
        }
        Ok(Opening::Gone) | Err(()) => return,
    };
    let spent = shared.clock.now().since(started);
    let left = Duration::from(LOGIN_TIMEOUT).saturating_sub(spent);
    let login =
        ntex::time::timeout(Millis::from(left), log_in(&io, client, &shared, startup)).await;
    drop(slot);
    match login {
        Ok(Ok(None)) => {}
        Ok(Ok(Some(session))) => session.run(io).await,
        Ok(Err(refusal)) => reject(&io, refusal.state, &refusal.text).await,
        Err(()) => reject(&io, "57P05", "the login took too long").await,
    }
}

async fn reject(io: &Stream, state: &'static str, text: &str) {
    metrics::counter!("dandelionlink_logins_refused_total", "sqlstate" => state).increment(1);
    let mut buf = BytesMut::new();
    pg::fatal(&mut buf, state, text);
    let _ = io.encode_slice(&buf);
    let _ = io.shutdown().await;
}

async fn log_in(
    io: &Stream,
    client: SocketAddr,
    shared: &Rc<Shared>,
    startup: Startup,
) -> Result<Option<Session>, Refusal> {
    let startup = match startup {
        Startup::Session(startup) => startup,
        Startup::Cancel(request) => {
            cancel(shared, &request).await;
            return Ok(None);
        }
        Startup::Version { major, minor } => {
            let text = format!("protocol {major}.{minor} is not served, 3.0 is");
            return refuse("0A000", text);
        }
        Startup::Tls | Startup::Gss => return Ok(None),
    };
    negotiate(io, &startup)?;
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
    authenticate(io, verifier, user).await?;
    let mut session = Session::open(Rc::clone(shared), Arc::new(scope), user, client);
    let options = options(parameter("options").unwrap_or_default());
    let given = startup.parameters.iter();
    let given = given.map(|(key, value)| (key.as_str(), value.as_str()));
    let optional = options
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()));
    for (key, value) in optional.chain(given) {
        if key == "dandelionlink.session" {
            session
                .apply_token(value)
                .or_else(|error| refuse("22023", error.to_string()))?;
        }
        session.start_setting(key, value);
    }
    register(io, shared, &mut session)?;
    Ok(Some(session))
}

/// Parses the settings in the `options` of a startup message, written `-c
/// key=value` or `--key=value`; a backslash escapes the next character.
///
/// Many drivers can pass a setting of the proxy only in this way.
pub(super) fn options(text: &str) -> Vec<(String, String)> {
    let mut words = vec![String::new()];
    let mut chars = text.chars();
    while let Some(char) = chars.next() {
        let literal = if char == '\\' {
            chars.next()
        } else {
            Some(char)
        };
        match literal {
            Some(_) if char.is_whitespace() => words.push(String::new()),
            Some(literal) => words
                .last_mut()
                .expect("the list starts with one word")
                .push(literal),
            None => {}
        }
    }
    let mut found = Vec::new();
    let mut words = words.into_iter().filter(|it| !it.is_empty());
    while let Some(word) = words.next() {
        let setting = match (word.strip_prefix("--"), word.strip_prefix("-c")) {
            (Some(long), _) => long
                .split_once('=')
                .map(|(key, value)| (key.replace('-', "_"), value)),
            (_, Some("")) => {
                let next = words.next().unwrap_or_default();
                found.extend(pair(&next));
                None
            }
            (_, Some(short)) => short
                .split_once('=')
                .map(|(key, value)| (key.to_owned(), value)),
            _ => None,
        };
        found.extend(setting.map(|(key, value)| (key, value.to_owned())));
    }
    found
}

fn pair(text: &str) -> Option<(String, String)> {
    let (key, value) = text.split_once('=')?;
    Some((key.to_owned(), value.to_owned()))
}

/// Reads messages until one of them starts a session or cancels a request. A
/// caller may request each kind of encryption once before; TLS is accepted if
/// configured.
async fn read_opening(io: Io, shared: &Shared) -> Opening {
    let (mut tls, mut gss) = (false, false);
    loop {
        let found = match read_startup(&io).await {
            Ok(Some(found)) => found,
            Ok(None) => return Opening::Gone,
            Err(refusal) => return Opening::Refused(io.seal(), refusal),
        };
        let requested = match found {
            Startup::Tls => &mut tls,
            Startup::Gss => &mut gss,
            found => return Opening::Startup(io.seal(), found),
        };
        if std::mem::replace(requested, true) {
            return Opening::Refused(io.seal(), requested_twice());
        }
        match (&found, &shared.tls) {
            (Startup::Tls, Some(tls)) => return start_tls(io, tls).await,
            _ if decline(&io).is_err() => return Opening::Gone,
            _ => {}
        }
    }
}

fn requested_twice() -> Refusal {
    Refusal {
        state: "08P01",
        text: "encryption was asked for twice".to_owned(),
    }
}

fn decline(io: &Io) -> std::io::Result<()> {
    io.encode_slice(b"N")?;
    io.send_buf()
}

/// Accepts TLS.
///
/// Bytes received before the handshake are plain text. If they were taken for
/// part of the encrypted session, an attacker on the network could insert
/// statements before the caller's own (CVE-2021-23214).
async fn start_tls(io: Io, tls: &Tls) -> Opening {
    if io.with_read_buf(|src| !src.is_empty()) {
        let refusal = Refusal {
            state: "08P01",
            text: "data came ahead of the TLS handshake".to_owned(),
        };
        return Opening::Refused(io.seal(), refusal);
    }
    if io.encode_slice(b"S").and_then(|()| io.send_buf()).is_err() {
        return Opening::Gone;
    }
    // The TLS layer must be added first, because a sealed connection accepts no
    // layer.
    let Ok(io) = TlsServerFilter::create(io, tls.conf(), LOGIN_TIMEOUT).await else {
        return Opening::Gone;
    };
    let io = io.seal();
    match read_startup(&io).await {
        Ok(Some(Startup::Tls | Startup::Gss)) => Opening::Refused(io, requested_twice()),
        Ok(Some(found)) => Opening::Startup(io, found),
        Ok(None) => Opening::Gone,
        Err(refusal) => Opening::Refused(io, refusal),
    }
}

/// Reads a message of the startup phase; `None` if the caller disconnected
/// before its end.
///
/// Received bytes are decoded before the end of the stream is handled, because
/// a cancel request often arrives together with it.
async fn read_startup<F: Filter>(io: &Io<F>) -> Result<Option<Startup>, Refusal> {
    let mut open = true;
    loop {
        let found = io.with_read_buf(|src| -> Result<_, pg::Error> {
            let most = src.len().min(pg::MAX_STARTUP);
            let mut head = BytesMut::from(&src[..most]);
            let found = pg::decode_startup(&mut head)?;
            if found.is_some() {
                drop(src.split_to(most - head.len()));
            }
            Ok(found)
        })?;
        if found.is_some() || !open {
            return Ok(found);
        }
        open = io.read_ready().await?.is_some();
    }
}

/// Reports the supported version and options to a caller that requests more
/// than protocol 3.0.
fn negotiate(io: &Stream, startup: &pgwire::messages::startup::Startup) -> Result<(), Refusal> {
    let options = startup.parameters.keys();
    let options: Vec<String> = options
        .filter(|it| it.starts_with("_pq_."))
        .cloned()
        .collect();
    if startup.protocol_number_minor == 0 && options.is_empty() {
        return Ok(());
    }
    send(io, &NegotiateProtocolVersion::new(PROTOCOL, options))
}

/// Cancels the request that a cancel request names, if its secret key matches.
async fn cancel(shared: &Shared, request: &CancelRequest) {
    let Some(secret) = request.secret_key.as_i32() else {
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
        shared.commands.send(Command::Cancel { caller, seq }).await;
    }
}

/// Process id that identifies a caller in cancel requests.
fn pid(caller: u64) -> i32 {
    i32::try_from(caller % (1 << 31)).unwrap_or(0)
}

fn scope(shared: &Shared, user: &str, entry: &str) -> Result<(Scope, Verifier), Refusal> {
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
    let verifier = tenant.and_then(|it| {
        let known = it.users.get(user);
        let known = known.and_then(|text| Verifier::parse(text).ok());
        // An unknown user gets the same exchange, so that the failure looks
        // like a wrong password.
        let template = it
            .users
            .values()
            .find_map(|text| Verifier::parse(text).ok());
        known.or_else(|| Some(auth::mock(&shared.mock, user, template.as_ref())))
    });
    let verifier = verifier.unwrap_or_else(|| auth::mock(&shared.mock, user, None));
    Ok((Scope::new(name, found), verifier))
}

async fn authenticate(io: &Stream, verifier: Verifier, user: &str) -> Result<(), Refusal> {
    let failed = || Refusal {
        state: "28P01",
        text: format!("password authentication failed for user \"{user}\""),
    };
    send(io, &Authentication::SASL(vec!["SCRAM-SHA-256".to_owned()]))?;
    let message = password_message(io).await?;
    let first = initial_response(&message).ok_or_else(malformed)?;
    let salt: [u8; 18] = rand::rng().random();
    let exchange = Exchange::open(verifier, first, &salt).map_err(|_| malformed())?;
    let challenge = Bytes::copy_from_slice(exchange.challenge().as_bytes());
    send(io, &Authentication::SASLContinue(challenge))?;
    let message = password_message(io).await?;
    let last = exchange.finish(&message).map_err(|error| match error {
        auth::Error::Proof => failed(),
        auth::Error::Form | auth::Error::Nonce => malformed(),
    })?;
    send(io, &Authentication::SASLFinal(Bytes::from(last)))?;
    Ok(())
}

fn malformed() -> Refusal {
    Refusal {
        state: "08P01",
        text: "a message of SCRAM-SHA-256 was expected".to_owned(),
    }
}

fn send(io: &Stream, message: &impl Message) -> Result<(), Refusal> {
    let mut buf = BytesMut::new();
    let _ = message.encode(&mut buf);
    io.encode_slice(&buf)?;
    io.send_buf()?;
    Ok(())
}

async fn password_message(io: &Stream) -> Result<Bytes, Refusal> {
    let frame = match io.recv(&LoginCodec).await {
        Ok(Some(frame)) => frame,
        Ok(None) => return refuse("08006", "the connection was closed"),
        Err(_) => return refuse("08P01", "a password message was expected"),
    };
    if frame.tag() != b'p' {
        return refuse("08P01", "a password message was expected");
    }
    Ok(Bytes::copy_from_slice(frame.body()))
}

/// Extracts the client's first SCRAM message, which follows the mechanism name
/// and a length.
pub(super) fn initial_response(body: &[u8]) -> Option<&[u8]> {
    let end = body.iter().position(|&byte| byte == 0)?;
    let (method, rest) = body.split_at(end);
    let (length, message) = rest[1..].split_first_chunk::<4>()?;
    let whole = u32::from_be_bytes(*length) as usize == message.len();
    (method == b"SCRAM-SHA-256" && whole).then_some(message)
}

/// Adds the session to the duty's table and greets the caller.
fn register(io: &Stream, shared: &Rc<Shared>, session: &mut Session) -> Result<(), Refusal> {
    let caller = {
        let mut last_caller = shared.last_caller.borrow_mut();
        *last_caller += 1;
        *last_caller
    };
    let secret = rand::rng().random();
    let (parts, parts_rx) = mpsc::channel(MAX_PARTS);
    shared.callers.borrow_mut().insert(
        caller,
        Entry {
            secret,
            seq: 0,
            parts,
            activity: Rc::clone(&session.activity),
        },
    );
    session.register(caller, parts_rx);
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
