//! A change of primary, seen by callers of a running daemon.

mod rig;

use std::time::Duration;

use fake::group::Fault;
use model::Role;
use rig::{Rig, run};

/// Symptom: a groom's booking was lost, or hung, when the database's machine
/// died. Events: one write is acknowledged, the primary crashes, the next
/// write comes. Cause, where it fails: nobody orders a promotion, or the new
/// primary does not hold the acknowledged write.
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
        let mut tries = 0;
        while client
            .execute("INSERT INTO kv (key, value) VALUES ('b', '2')", &[])
            .await
            .is_err()
        {
            tries += 1;
            assert!(tries < 100, "no write landed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let row = client
            .query_one("SELECT value FROM kv WHERE key = 'a'", &[])
            .await
            .unwrap();
        assert_eq!(row.get::<_, &str>(0), "1");
    });
}

/// Symptom: a driver that prepares and describes a statement, and executes it in
/// a later batch, gets "read-only transaction" (25006) around a change of primary.
/// Events: it prepares a write and a read; the primary crashes and comes back as
/// a replica; it executes both, again and again. Cause, where it fails: what was
/// prepared is run where it was prepared.
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
            // One that was replaced goes on to call itself primary for a while.
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
        // What was prepared before is known on whatever connection is used now.
        execute_until_done(&client, &write, "c").await;
        let rows = client.query(&read, &[&"a"]).await.unwrap();
        assert_eq!(rows[0].get::<_, &str>(0), "1");
    });
}

/// Executes a prepared write until it is done. Until then it may only end as not
/// run or as unknown; one that was unknown may turn out to have been done.
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
    panic!("{key} never lands");
}
