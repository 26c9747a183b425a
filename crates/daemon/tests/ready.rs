//! What the platform's balancer is told.

mod rig;

use daemon::settings::Args;
use rig::{Rig, run};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

async fn readyz(ops: std::net::SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(ops).await.ok()?;
    let request = "GET /readyz HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Symptom: after each restart some logins were refused, though other
/// instances could have served them. Events: an instance starts while the
/// store is down; the balancer finds it ready and sends it callers. Cause: it
/// was ready without a catalogue, with which it refuses every login.
#[test]
fn an_instance_without_a_catalogue_is_not_ready() {
    let mut rig = Rig::open(0);
    rig.store.set_fault(fake::store::Fault::Down);
    let daemon = daemon::Daemon::spawn(&rig.settings(0, &Args::default())).unwrap();
    let ops = daemon.ops();
    rig.daemons.push(Some(daemon));
    run(async {
        assert_eq!(readyz(ops).await, Some(503));
        rig.store.set_fault(fake::store::Fault::None);
        drop(rig.connect(0, "slots").await);
        assert_eq!(readyz(ops).await, Some(200));
    });
}

/// A stop lets an open transaction finish, and takes no new caller meanwhile.
#[test]
fn an_instance_that_drains_is_not_ready() {
    let mut rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        client.batch_execute("BEGIN").await.unwrap();
        let daemon = rig.daemons[0].take().unwrap();
        let ops = daemon.ops();
        assert_eq!(readyz(ops).await, Some(200));
        let stopped = tokio::task::spawn_blocking(move || daemon.stop());
        while readyz(ops).await == Some(200) {
            tokio::task::yield_now().await;
        }
        assert_eq!(readyz(ops).await, Some(503));
        client.batch_execute("COMMIT").await.unwrap();
        stopped.await.unwrap();
    });
}
