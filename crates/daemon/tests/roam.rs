//! Sessions and statements across several instances.

mod rig;

use rig::{Rig, run};

/// Returns the current token of a caller's session.
async fn token(client: &tokio_postgres::Client) -> String {
    let rows = client
        .simple_query("SHOW dandelionlink.session")
        .await
        .unwrap();
    let row = rows.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.expect("a row").to_owned()
}

/// Guards against a session that misses its own write after a move to another
/// instance. Both replicas lag by a second, so the second instance must apply
/// the session's token.
#[test]
fn a_session_reads_its_write_through_another_instance() {
    let rig = Rig::open(3);
    run(async {
        let first = rig.connect(0, "slots").await;
        let second = rig.connect(1, "slots").await;
        for replica in [1, 2] {
            rig.group
                .set_lag(replica, std::time::Duration::from_secs(1));
        }
        for round in 0..10 {
            let (key, value) = (format!("slot-{round}"), round.to_string());
            let insert = "INSERT INTO kv (key, value) VALUES ($1, $2)";
            first.execute(insert, &[&key, &value]).await.unwrap();
            let present = format!("SET dandelionlink.session = '{}'", token(&first).await);
            second.batch_execute(&present).await.unwrap();
            let select = "SELECT value FROM kv WHERE key = $1";
            let row = second.query_one(select, &[&key]).await.unwrap();
            assert_eq!(row.get::<_, &str>(0), value);
        }
    });
}

/// Guards against "too many clients" at an upstream while many callers use
/// every instance: an instance without connections must ask a holder instead of
/// opening its own.
#[test]
fn upstreams_never_exceed_their_connection_limit() {
    let rig = Rig::open(3);
    run(async {
        let mut tasks = Vec::new();
        for caller in 0..30 {
            let client = rig.connect(caller % 3, "slots").await;
            tasks.push(tokio::spawn(async move {
                for round in 0..20 {
                    let key = format!("{caller}-{round}");
                    let insert = "INSERT INTO kv (key, value) VALUES ($1, 'x')";
                    client.execute(insert, &[&key]).await.unwrap();
                    let select = "SELECT value FROM kv WHERE key = $1";
                    let rows = client.query(select, &[&key]).await.unwrap();
                    assert_eq!(rows.len(), 1, "{key}");
                }
            }));
        }
        for task in tasks {
            task.await.unwrap();
        }
    });
    for upstream in 0..3 {
        assert!(rig.group.peak_connections(upstream) <= 16);
    }
}

/// Guards against a transaction that is partly committed or keeps its
/// connection and locks after its instance was killed: the holder must end the
/// transactions of an instance that is gone.
#[test]
fn transactions_of_a_killed_instance_are_rolled_back() {
    let mut rig = Rig::open(3);
    run(async {
        for instance in 0..3 {
            let client = rig.connect(instance, "slots").await;
            client.batch_execute("BEGIN").await.unwrap();
            let key = format!("half-{instance}");
            let insert = "INSERT INTO kv (key, value) VALUES ($1, 'x')";
            client.execute(insert, &[&key]).await.unwrap();
            std::mem::forget(client);
        }
    });
    for daemon in &mut rig.daemons[1..] {
        daemon.take().expect("a running daemon").kill();
    }
    run(async {
        let client = rig.connect(0, "slots").await;
        for key in ["half-1", "half-2"] {
            let insert = "INSERT INTO kv (key, value) VALUES ($1, 'again')";
            client.execute(insert, &[&key]).await.unwrap();
            let rows = client
                .query("SELECT value FROM kv WHERE key = $1", &[&key])
                .await
                .unwrap();
            assert_eq!(rows[0].get::<_, &str>(0), "again");
        }
    });
}
