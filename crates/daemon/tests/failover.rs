//! Change of primary under a running daemon, as callers see it.

mod rig;

use std::time::Duration;

use fake::group::Fault;
use model::Role;
use rig::{Rig, run};

/// Guards against an acknowledged write that is lost, or a next write that
/// hangs, after a crash of the primary: a replica must be promoted, and it must
/// hold the write.
#[test]
fn a_write_succeeds_after_a_crash_of_the_primary() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        client
            .execute("INSERT INTO kv (key, value) VALUES ('a', '1')", &[])
            .await
            .unwrap();
        rig.group.set_fault(0, Fault::Crashed);
        let mut attempts = 0;
        while client
            .execute("INSERT INTO kv (key, value) VALUES ('b', '2')", &[])
            .await
            .is_err()
        {
            attempts += 1;
            assert!(attempts < 100, "no write succeeded");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let row = client
            .query_one("SELECT value FROM kv WHERE key = 'a'", &[])
            .await
            .unwrap();
        assert_eq!(row.get::<_, &str>(0), "1");
    });
}

/// Guards against "read-only transaction" (25006) for prepared statements
/// around a change of primary. A statement that is prepared in one batch and
/// executed in a later one must run on the current primary and not where it was
/// prepared.
#[test]
fn prepared_statements_run_on_the_new_primary() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        let insert = "INSERT INTO kv (key, value) VALUES ($1, $2)";
        let write = client.prepare(insert).await.unwrap();
        let select = "SELECT value FROM kv WHERE key = $1";
        let read = client.prepare(select).await.unwrap();
        client.execute(&write, &[&"a", &"1"]).await.unwrap();
        for round in 0..2 {
            // A replaced primary reports itself as primary for a while.
            let is_primary = |index: &usize| rig.group.report(*index).role == Role::Primary;
            let term = |index: &usize| rig.group.report(*index).received.term;
            let primary = (0..3).filter(is_primary).max_by_key(term).unwrap();
            rig.group.set_fault(primary, Fault::Crashed);
            let key = format!("b{round}");
            execute_until_done(&client, &write, &key).await;
            rig.group.set_fault(primary, Fault::None);
            let rows = client.query(&read, &[&key]).await.unwrap();
            assert_eq!(rows[0].get::<_, &str>(0), "2");
        }
        // Statements prepared earlier are known on every connection.
        execute_until_done(&client, &write, "c").await;
        let rows = client.query(&read, &[&"a"]).await.unwrap();
        assert_eq!(rows[0].get::<_, &str>(0), "1");
    });
}

/// Executes a prepared write until it succeeds. Until then it may only end as
/// not run or with an unknown outcome; a write with an unknown outcome may have
/// succeeded.
async fn execute_until_done(
    client: &tokio_postgres::Client,
    write: &tokio_postgres::Statement,
    key: &str,
) {
    for _ in 0..500 {
        let Err(error) = client.execute(write, &[&key, &"2"]).await else {
            return;
        };
        match error.code().map(tokio_postgres::error::SqlState::code) {
            Some("DL001" | "DL002") => {}
            Some("23505") => return,
            other => panic!("{other:?}: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{key} never succeeded");
}
