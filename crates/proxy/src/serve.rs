//! Start and stop of an instance.

use std::{io, rc::Rc, time::Duration};

use clock::Boot;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::spawn_local,
    time::sleep,
};

use crate::{
    assignment, control,
    edge::Edge,
    node::{Node, Stage},
    peers, session,
    settings::Settings,
    stall, work,
};

/// Interval at which a stopping instance checks for open sessions.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time for which a stopping instance accepts callers: the balancer needs two failed
/// health checks, a second apart, to send them elsewhere.
const MIN_STOP_TIME: Duration = Duration::from_millis(2_600);

/// The sockets that an instance listens on.
#[derive(Debug)]
pub struct Sockets {
    callers: TcpListener,
    /// Listener for the peers' connections.
    pub peers: TcpListener,
    heartbeats: UdpSocket,
}

/// Number of attempts to find a port that is free for both TCP and UDP.
const MAX_TRIES: usize = 20;

/// Binds the sockets of an instance. A port of zero in `settings` is replaced by the bound one.
///
/// # Errors
///
/// A port can't be bound.
pub async fn bind(settings: &mut Settings) -> io::Result<Sockets> {
    let callers = TcpListener::bind(settings.callers).await?;
    settings.callers = callers.local_addr()?;
    let mut tries = 0;
    loop {
        let peers = TcpListener::bind(settings.peers).await?;
        let address = peers.local_addr()?;
        tries += 1;
        match UdpSocket::bind(address).await {
            Ok(heartbeats) => {
                settings.peers = address;
                return Ok(Sockets {
                    callers,
                    peers,
                    heartbeats,
                });
            }
            Err(error) if settings.peers.port() != 0 || tries == MAX_TRIES => return Err(error),
            Err(_) => {}
        }
    }
}

/// Starts all tasks of an instance.
pub fn spawn<E: Edge>(node: &Rc<Node<E>>, sockets: Sockets) {
    let settings = &node.settings;
    log::info!(
        zone = &*settings.zone,
        callers:% = settings.callers, peers:% = settings.peers,
        version = env!("CARGO_PKG_VERSION"); "started"
    );
    control::spawn(node);
    spawn_local(stall::watch());
    spawn_local(work::log_periodically(Rc::clone(node)));
    spawn_local(assignment::watch(Rc::clone(node)));
    spawn_local(peers::run_heartbeats(Rc::clone(node), sockets.heartbeats));
    spawn_local(peers::serve(Rc::clone(node), sockets.peers));
    spawn_local(session::listen(Rc::clone(node), sockets.callers));
}

/// Stops an instance: accepts callers until the balancer has noticed, lets running work end, and
/// returns when no session is left or the time is over.
pub async fn stop<E: Edge>(node: &Rc<Node<E>>) {
    let since = Boot.now();
    node.stage.set(Stage::Stopping(since));
    node.stage_changed.notify_waiters();
    node.peers.announce_to_all();
    log::info!(sessions = node.sessions.get(); "stopping");
    let grace = node.settings.grace;
    let min_time = MIN_STOP_TIME.min(grace / 2);
    let max_time = grace * 9 / 10;
    loop {
        let elapsed = Boot.now().since(since);
        let empty = node.sessions.get() == 0 && elapsed >= min_time;
        if empty || elapsed >= max_time {
            break;
        }
        sleep(CHECK_INTERVAL).await;
    }
    let ms = u64::try_from(Boot.now().since(since).as_millis()).unwrap_or(u64::MAX);
    log::info!(cut = node.sessions.get(), ms; "stopped");
}
