//! The daemon of dandelionlink: accepts callers and runs their statements on
//! upstreams.
//!
//! Each duty is a thread with a runtime of its own, and bounded rings carry
//! messages between duties. The decisions are made in the crates `route`,
//! `session`, `failover` and `pool`; this crate connects them to sockets and to
//! the clock.

mod callers;
mod control;
pub mod duty;
mod forward;
mod introspect;
mod job;
mod meter;
mod ops;
mod peers;
mod platform;
pub mod ring;
pub mod settings;
pub mod tls;
mod upstreams;

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::Arc,
    time::{Duration, SystemTime},
};

use clock::Clock;
use duty::{Duty, Phase};
use introspect::Introspection;
use ring::ring;
use tokio::sync::watch;

pub use settings::Settings;

/// Messages that a ring between two duties can hold.
const RING_CAPACITY: usize = 4_096;

/// Catalogues that a ring between two duties can hold.
const CATALOG_RING_CAPACITY: usize = 16;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    callers: SocketAddr,
    ops: SocketAddr,
    peers: SocketAddr,
    drain: Duration,
    phase: watch::Sender<Phase>,
    callers_duty: Duty,
    upstreams_duty: Duty,
    other_duties: Vec<Duty>,
}

impl Daemon {
    /// Binds the ports and starts all duties.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound or a thread can't be started.
    pub fn spawn(settings: &Settings) -> io::Result<Self> {
        ops::install();
        let clock = Clock::open();
        let (phase, watch) = watch::channel(Phase::Run);
        let callers = bind(settings.listen)?;
        let ops = bind(settings.ops)?;
        let (caller_address, ops_address) = (callers.local_addr()?, ops.local_addr()?);
        let (peers, socket) = bind_tcp_and_udp(settings.peers)?;
        let peers_address = peers::reachable(settings.peers, peers.local_addr()?);

        let (commands_tx, commands) = ring(RING_CAPACITY);
        let (replies_tx, replies) = ring(RING_CAPACITY);
        let (catalogs_tx, catalogs) = ring(CATALOG_RING_CAPACITY);
        let (orders_tx, orders) = ring(RING_CAPACITY);
        let (answers_tx, answers) = ring(RING_CAPACITY);
        let (store_requests_tx, store_requests) = ring(RING_CAPACITY);
        let (store_responses_tx, store_responses) = ring(RING_CAPACITY);
        let (peer_commands_tx, peer_commands) = ring(RING_CAPACITY);
        let (peer_updates_tx, peer_updates) = ring(RING_CAPACITY);
        let (store_calls_tx, store_calls) = ring(RING_CAPACITY);
        let (outs_tx, outs) = ring(RING_CAPACITY);
        let (ins_tx, ins) = ring(RING_CAPACITY);
        let (store_answers_tx, store_answers) = ring(RING_CAPACITY);

        let meters = meter::Meters::default();
        let (introspection, receivers) = Introspection::open(&settings.instance, &settings.zone);

        let callers_conf = callers::Conf {
            listener: callers,
            clock,
            keys: settings.session_keys.clone(),
            commands: commands_tx,
            replies,
            catalogs,
            meters: meters.clone(),
            serving: Arc::clone(&introspection.serving),
            inquiries: receivers.callers,
            watch: watch.clone(),
            limit: settings.callers,
            mock: settings.mock,
            tls: settings.tls.clone(),
        };
        let upstreams_conf = upstreams::Conf {
            clock,
            zone: settings.zone.clone(),
            instance: settings.instance.clone(),
            login: settings.login.clone(),
            outs: outs_tx,
            ins,
            commands,
            replies: replies_tx,
            orders,
            answers: answers_tx,
            meters,
            inquiries: receivers.groups,
            watch: watch.clone(),
            seed: settings.seed,
        };
        let control_conf = control::Conf {
            clock,
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            orders: orders_tx,
            answers,
            store_requests: store_requests_tx,
            store_responses,
            peer_commands: peer_commands_tx,
            peer_updates,
            inquiries: receivers.primaries,
            watch: watch.clone(),
            seed: settings.seed,
        };
        let store_conf = platform::Conf {
            endpoint: settings.store,
            clock,
            requests: store_requests,
            responses: store_responses_tx,
            calls: store_calls,
            answers: store_answers_tx,
            inquiries: receivers.store,
            watch: watch.clone(),
        };
        let peers_conf = peers::Conf {
            fleet: fleet_conf(settings, peers_address),
            socket,
            listener: peers,
            ring: settings.peer_keys.clone(),
            clock,
            commands: peer_commands,
            updates: peer_updates_tx,
            catalogs: catalogs_tx,
            outs,
            ins: ins_tx,
            store_calls: store_calls_tx,
            store_answers,
            inquiries: receivers.fleet,
            watch: watch.clone(),
        };
        let ops_conf = ops::Conf {
            listener: ops,
            introspection,
            watch,
        };

        let other_duties = vec![
            Duty::spawn("metrics", move || ops::run(ops_conf))?,
            Duty::spawn("control", move || control::run(control_conf))?,
            Duty::spawn("peers", move || peers::run(peers_conf))?,
            Duty::spawn("store", move || platform::run(store_conf))?,
        ];
        let upstreams_duty = Duty::spawn("upstreams", move || upstreams::run(upstreams_conf))?;
        let callers_duty = Duty::spawn("callers", move || callers::run(callers_conf))?;
        let drain = settings.drain;
        Ok(Self {
            callers: caller_address,
            ops: ops_address,
            peers: peers_address,
            drain,
            phase,
            callers_duty,
            upstreams_duty,
            other_duties,
        })
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address for operators.
    pub fn ops(&self) -> SocketAddr {
        self.ops
    }

    /// Address for other instances.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Stops gracefully: accepts no new work, waits for running requests for at
    /// most the drain time, and ends all duties.
    pub fn stop(self) {
        self.phase.send_replace(Phase::Drain);
        let phase = self.phase.clone();
        let drain = self.drain;
        let (done, finished) = std::sync::mpsc::channel();
        let timer = std::thread::spawn(move || {
            // Dropping `done` ends the wait early, once nothing runs any more.
            let _ = finished.recv_timeout(drain);
            phase.send_replace(Phase::Stop);
        });
        self.callers_duty.join();
        self.phase.send_if_modified(|phase| {
            let drains = *phase < Phase::Settle;
            if drains {
                *phase = Phase::Settle;
            }
            drains
        });
        self.upstreams_duty.join();
        drop::<std::sync::mpsc::Sender<()>>(done);
        let _ = timer.join();
        self.other_duties.into_iter().for_each(Duty::join);
    }

    /// Stops without draining, like a killed process.
    pub fn kill(self) {
        self.phase.send_replace(Phase::Stop);
        self.callers_duty.join();
        self.upstreams_duty.join();
        self.other_duties.into_iter().for_each(Duty::join);
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Binds the same port for TCP and UDP.
fn bind_tcp_and_udp(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    /// Attempts to find an ephemeral port that is free for both protocols.
    const MAX_ATTEMPTS: u32 = 16;
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let listener = bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

fn fleet_conf(settings: &Settings, address: SocketAddr) -> fleet::Conf {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let started = since_epoch.map_or(0, |it| it.as_millis());
    fleet::Conf {
        name: settings.instance.clone(),
        zone: settings.zone.clone(),
        address,
        started_ms: u64::try_from(started).unwrap_or(0),
        format: u16::try_from(catalog::layout::FORMAT).unwrap_or(u16::MAX),
        relays: fleet::Conf::RELAYS,
        seeds: settings.seeds.clone(),
        seed: settings.seed,
    }
}
