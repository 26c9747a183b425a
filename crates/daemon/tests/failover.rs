//! A change of primary, seen by callers of a running daemon.

mod rig;

use std::time::Duration;

use fake::group::Fault;
use rig::{Rig, run};

/// Symptom: a groom's booking was lost, or hung, when the database's machine
/// died. Events: one write is acknowledged, the primary crashes, the next
/// write comes. Cause, where it fails: nobody orders a promotion, or the new
/// primary does not hold the acknowledged write.
#[test]
fn a_write_lands_after_the_primary_crashed() {
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
