//! Sessions and statements over several instances.

mod rig;

use rig::{Rig, run};

/// The token that a caller's session has now.
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

/// Symptom: a rider books at one instance, is sent to another, and does not
/// see the booking. Events: a write at one instance, a read at the next, both
/// replicas a second behind. Cause, where it fails: the second instance trusts
/// a replica without the session's token.
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

/// Symptom: an upstream refuses connections with "too many clients". Events:
/// many callers at every instance at once. Cause, where it fails: each
/// instance opens connections of its own instead of asking a holder.
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

/// Symptom: a transaction at an instance that holds no connection commits
/// half, or leaves its connection occupied. Events: the instance is killed in
/// the middle of the transaction. Cause, where it fails: the holder does not
/// end what a gone instance left.
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
        daemon.take().expect("it runs").kill();
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
