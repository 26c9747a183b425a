//! Settings of the daemon, from flags and environment variables of the same
//! names.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    time::Duration,
};

use argh::FromArgs;
use model::name;
use session::{Key, Keys};
use sha2::{Digest, Sha256};
use upstream::Login;

use crate::tls::{self, Tls};

/// Prefix of the environment variables.
const PREFIX: &str = "DANDELIONLINK_";

/// A proxy for replicated databases that keeps sessions consistent.
///
/// Each flag may be given as an environment variable instead: --peer-keys as
/// DANDELIONLINK_PEER_KEYS. A flag takes precedence.
#[derive(Debug, Default, FromArgs)]
pub struct Args {
    /// address for callers, as IP:PORT (127.0.0.1:6432)
    #[argh(option)]
    pub listen: Option<String>,
    /// address for operators and the load balancer, as IP:PORT (127.0.0.1:6433)
    #[argh(option)]
    pub ops: Option<String>,
    /// address for other instances, by UDP and TCP, as IP:PORT (127.0.0.1:6434)
    #[argh(option)]
    pub peers: Option<String>,
    /// addresses of some other instances, as IP:PORT separated by commas; they
    /// are asked for the rest
    #[argh(option)]
    pub seeds: Option<String>,
    /// the keys that seal frames between instances, as ID:HEX; during a change
    /// of keys two, separated by a comma, of which the first seals
    #[argh(option)]
    pub peer_keys: Option<String>,
    /// unique name of this instance
    #[argh(option)]
    pub instance: Option<String>,
    /// availability zone of this instance
    #[argh(option)]
    pub zone: Option<String>,
    /// address of the store's gateway, as IP:PORT
    #[argh(option)]
    pub store: Option<String>,
    /// the keys that sign session tokens, as ID:HEX of at least 32 bytes;
    /// during a change of keys two, separated by a comma, of which the first
    /// signs
    #[argh(option)]
    pub session_keys: Option<String>,
    /// the user for logins to upstreams
    #[argh(option)]
    pub upstream_user: Option<String>,
    /// the password of that user, if upstreams require one
    #[argh(option)]
    pub upstream_password: Option<String>,
    /// the PEM file of the certificate chain for callers; TLS is enabled if the
    /// certificate and its key are given
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// the PEM file of the private key of the certificate
    #[argh(option)]
    pub tls_key: Option<String>,
    /// the maximum number of connected callers (10000)
    #[argh(option)]
    pub callers: Option<String>,
    /// the time that a graceful stop waits for running requests, in
    /// milliseconds (30000)
    #[argh(option)]
    pub drain_ms: Option<String>,
    /// the seed of random choices; random by default
    #[argh(option)]
    pub seed: Option<String>,
    /// only check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Fault of one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the setting: its flag without the dashes.
    pub name: &'static str,
    /// Kind of fault.
    pub what: What,
}

/// Kinds of faults.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum What {
    /// Required, but not given.
    #[error("is missing")]
    Missing,
    /// Not an address.
    #[error("{0:?} is not an IP:PORT such as 10.0.0.1:6432")]
    Address(String),
    /// Not a number within its range.
    #[error("{text:?} is not a number from {least} to {most}")]
    Number {
        /// Given text.
        text: String,
        /// Minimum.
        least: u64,
        /// Maximum.
        most: u64,
    },
    /// Not a valid name.
    #[error("{0}")]
    Name(#[from] name::Error),
    /// Not a list of keys; the text is secret and not repeated.
    #[error("is not a list of at most two keys written ID:HEX")]
    Keys,
    /// Invalid session key.
    #[error("{0}")]
    Key(#[from] session::Error),
    /// Invalid certificate or private key.
    #[error("{0}")]
    Tls(#[from] tls::Error),
    /// Missing, although the setting that requires it is given.
    #[error("is missing; --{0} requires it")]
    Without(&'static str),
    /// Invalid keys for frames between instances.
    #[error("{0}")]
    PeerKeys(#[from] wire::KeyError),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let variable = variable(self.name);
        write!(f, "--{} (or {variable}): {}", self.name, self.what)
    }
}

impl std::error::Error for Fault {}

/// Environment variable of a setting.
fn variable(name: &str) -> String {
    format!("{PREFIX}{}", name.replace('-', "_").to_ascii_uppercase())
}

/// Validated settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub ops: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Addresses of some other instances, which are asked for the rest.
    pub seeds: Vec<SocketAddr>,
    /// Keys that seal frames between instances.
    pub peer_keys: wire::Ring,
    /// Name of this instance.
    pub instance: name::Instance,
    /// Availability zone of this instance.
    pub zone: name::Zone,
    /// Address of the store's gateway.
    pub store: SocketAddr,
    /// Keys that sign session tokens.
    pub session_keys: Keys,
    /// Secret for the verifiers of unknown users. It is derived from the
    /// session keys, so that all instances agree.
    pub mock: [u8; 32],
    /// Credentials for upstreams.
    pub login: Login,
    /// TLS for callers, if configured.
    pub tls: Option<Tls>,
    /// Maximum number of connected callers.
    pub callers: usize,
    /// Time that a graceful stop waits for running requests.
    pub drain: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

/// Reads settings and collects all faults, so that they are reported at once.
struct Reader<'a> {
    env: &'a dyn Fn(&str) -> Option<String>,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn text(&self, name: &'static str, flag: Option<&String>) -> Option<String> {
        flag.cloned().or_else(|| (self.env)(&variable(name)))
    }

    fn fail<T>(&mut self, name: &'static str, what: What) -> Option<T> {
        self.faults.push(Fault { name, what });
        None
    }

    fn required(&mut self, name: &'static str, flag: Option<&String>) -> Option<String> {
        let text = self.text(name, flag);
        if text.is_none() {
            return self.fail(name, What::Missing);
        }
        text
    }

    fn address(&mut self, name: &'static str, text: Option<String>) -> Option<SocketAddr> {
        let text = text?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => self.fail(name, What::Address(text)),
        }
    }

    fn address_or_localhost(
        &mut self,
        name: &'static str,
        flag: Option<&String>,
        port: u16,
    ) -> Option<SocketAddr> {
        match self.text(name, flag) {
            Some(text) => self.address(name, Some(text)),
            None => Some(SocketAddr::from((Ipv4Addr::LOCALHOST, port))),
        }
    }

    fn number(
        &mut self,
        name: &'static str,
        flag: Option<&String>,
        default: u64,
        (least, most): (u64, u64),
    ) -> Option<u64> {
        let Some(text) = self.text(name, flag) else {
            return Some(default);
        };
        match text.parse::<u64>() {
            Ok(number) if (least..=most).contains(&number) => Some(number),
            _ => self.fail(name, What::Number { text, least, most }),
        }
    }

    fn named<T>(
        &mut self,
        name: &'static str,
        flag: Option<&String>,
        new: impl Fn(&str) -> Result<T, name::Error>,
    ) -> Option<T> {
        let text = self.required(name, flag)?;
        match new(&text) {
            Ok(found) => Some(found),
            Err(error) => self.fail(name, error.into()),
        }
    }

    /// Reads the certificate and its key; either both or neither must be given.
    fn tls(&mut self, certificate: Option<&String>, key: Option<&String>) -> Option<Tls> {
        const NAMES: (&str, &str) = ("tls-certificate", "tls-key");
        let certificate = self.text(NAMES.0, certificate);
        let key = self.text(NAMES.1, key);
        match (certificate, key) {
            (None, None) => None,
            (None, Some(_)) => self.fail(NAMES.0, What::Without(NAMES.1)),
            (Some(_), None) => self.fail(NAMES.1, What::Without(NAMES.0)),
            (Some(certificate), Some(key)) => {
                let chain = tls::certificates(Path::new(&certificate));
                let chain = self.checked(NAMES.0, chain);
                let key = self.checked(NAMES.1, tls::key(Path::new(&key)));
                let joined = tls::join(chain?, key?);
                self.checked(NAMES.1, joined)
            }
        }
    }

    fn addresses(&mut self, name: &'static str, flag: Option<&String>) -> Option<Vec<SocketAddr>> {
        let text = self.text(name, flag).unwrap_or_default();
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts
            .map(|part| self.address(name, Some(part.to_owned())))
            .collect()
    }

    fn peer_keys(&mut self, name: &'static str, flag: Option<&String>) -> Option<wire::Ring> {
        let text = self.required(name, flag)?;
        match wire::Ring::parse(&text) {
            Ok(ring) => Some(ring),
            Err(error) => self.fail(name, error.into()),
        }
    }

    fn checked<T>(&mut self, name: &'static str, result: Result<T, tls::Error>) -> Option<T> {
        match result {
            Ok(found) => Some(found),
            Err(error) => self.fail(name, error.into()),
        }
    }

    fn keys(&mut self, name: &'static str, flag: Option<&String>) -> Option<Keys> {
        let text = self.required(name, flag)?;
        match keys(&text) {
            Ok(keys) => Some(keys),
            Err(what) => self.fail(name, what),
        }
    }
}

/// Derives the secret for verifiers of unknown users from the text of the
/// session keys.
fn mock_secret(keys: &str) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(b"dandelionlink verifiers of unknown users");
    digest.update(keys);
    digest.finalize().into()
}

/// Parses one key, or two of which the first is the current one.
fn keys(text: &str) -> Result<Keys, What> {
    let mut found = text.split(',').map(key);
    let current = found.next().ok_or(What::Keys)??;
    let mut keys = Keys::new(current);
    if let Some(previous) = found.next() {
        keys = keys.accept(previous?);
    }
    if found.next().is_some() {
        return Err(What::Keys);
    }
    Ok(keys)
}

fn key(text: &str) -> Result<Key, What> {
    let (id, hex) = text.trim().split_once(':').ok_or(What::Keys)?;
    let id = id.parse().map_err(|_| What::Keys)?;
    Ok(Key::new(id, &bytes(hex).ok_or(What::Keys)?)?)
}

/// Decodes hexadecimal.
fn bytes(hex: &str) -> Option<Vec<u8>> {
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    let pairs = (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).ok());
    pairs.collect()
}

impl Settings {
    /// Validates the flags and the variables that `env` returns.
    ///
    /// ```
    /// use daemon::settings::{Args, Settings, What};
    ///
    /// let faults = Settings::read(&Args::default(), &|_| None).unwrap_err();
    /// let names: Vec<_> = faults.iter().map(|fault| fault.name).collect();
    /// assert_eq!(names, ["peer-keys", "instance", "zone", "store", "session-keys", "upstream-user"]);
    /// assert!(faults.iter().all(|fault| fault.what == What::Missing));
    /// ```
    ///
    /// # Errors
    ///
    /// All faults of the settings.
    pub fn read(args: &Args, env: &dyn Fn(&str) -> Option<String>) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader {
            env,
            faults: Vec::new(),
        };
        let listen = reader.address_or_localhost("listen", args.listen.as_ref(), 6432);
        let ops = reader.address_or_localhost("ops", args.ops.as_ref(), 6433);
        let peers = reader.address_or_localhost("peers", args.peers.as_ref(), 6434);
        let seeds = reader.addresses("seeds", args.seeds.as_ref());
        let peer_keys = reader.peer_keys("peer-keys", args.peer_keys.as_ref());
        let instance = reader.named("instance", args.instance.as_ref(), name::Instance::new);
        let zone = reader.named("zone", args.zone.as_ref(), name::Zone::new);
        let store = reader.required("store", args.store.as_ref());
        let store = reader.address("store", store);
        let session_keys = reader.keys("session-keys", args.session_keys.as_ref());
        let mock = reader.text("session-keys", args.session_keys.as_ref());
        let mock = mock_secret(&mock.unwrap_or_default());
        let user = reader.required("upstream-user", args.upstream_user.as_ref());
        let password = reader.text("upstream-password", args.upstream_password.as_ref());
        let tls = reader.tls(args.tls_certificate.as_ref(), args.tls_key.as_ref());
        let callers = reader.number("callers", args.callers.as_ref(), 10_000, (1, 1_000_000));
        let drain = reader.number("drain-ms", args.drain_ms.as_ref(), 30_000, (0, 3_600_000));
        let seed = reader.number("seed", args.seed.as_ref(), rand::random(), (0, u64::MAX));
        let settings = (|| {
            Some(Self {
                listen: listen?,
                ops: ops?,
                peers: peers?,
                seeds: seeds?,
                peer_keys: peer_keys?,
                instance: instance?,
                zone: zone?,
                store: store?,
                session_keys: session_keys?,
                mock,
                login: Login {
                    user: user?,
                    password,
                },
                tls,
                callers: usize::try_from(callers?).ok()?,
                drain: Duration::from_millis(drain?),
                seed: seed?,
            })
        })();
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(reader.faults),
        }
    }
}
