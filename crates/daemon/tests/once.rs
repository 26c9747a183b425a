//! Requests with an id take effect once, however often they are sent.

mod rig;

use std::time::{Duration, SystemTime};

use fake::group::Fault;
use rig::{Rig, run};
use tokio_postgres::{Client, Error};

/// Creates a request id with the current time: a UUID of version 7 that ends in
/// `number`.
fn id(number: u64) -> String {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap();
    let made = now.as_millis() << 80;
    format!("{:032x}", made | 7 << 76 | 2 << 62 | u128::from(number))
}

async fn book(client: &Client, id: &str, key: &str) -> Result<u64, Error> {
    client
        .batch_execute(&format!("SET dandelionlink.request = '{id}'"))
        .await?;
    let insert = "INSERT INTO kv (key, value) VALUES ($1, 'mila')";
    client.execute(insert, &[&key]).await
}

fn state(error: &Error) -> String {
    error
        .code()
        .map_or_else(String::new, |state| state.code().to_owned())
}

/// Guards against a booking that is charged twice: its answer is lost, and the
/// application repeats it at another instance. The first execution must be
/// found in the database.
#[test]
fn a_repeat_at_another_instance_finds_the_first_outcome() {
    let rig = Rig::open(2);
    run(async {
        let first = rig.connect(0, "slots").await;
        let second = rig.connect(1, "slots").await;
        assert_eq!(book(&first, &id(1), "arena-9").await.unwrap(), 1);
        // With a new id, the same insert violates the unique key.
        let again = id(1);
        let repeat = book(&first, &again, "arena-9").await.unwrap_err();
        assert_eq!(state(&repeat), "23505");
        let twice = id(2);
        assert_eq!(book(&first, &twice, "arena-10").await.unwrap(), 1);
        assert_eq!(book(&second, &twice, "arena-10").await.unwrap(), 1);
        assert_eq!(book(&first, &twice, "arena-10").await.unwrap(), 1);
        let rows = second.query("SELECT key FROM kv", &[]).await.unwrap();
        assert_eq!(rows.len(), 2);
    });
}

#[test]
fn an_id_that_can_not_guarantee_one_execution_is_refused() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        let used = id(3);
        book(&client, &used, "a").await.unwrap();
        let other = book(&client, &used, "b").await.unwrap_err();
        assert_eq!(state(&other), "DL003");
        let old = format!("{:032x}", 7_u128 << 76);
        assert_eq!(state(&book(&client, &old, "c").await.unwrap_err()), "DL003");
        assert_eq!(
            state(&book(&client, "no-id", "c").await.unwrap_err()),
            "DL003"
        );
        let rows = client.query("SELECT key FROM kv", &[]).await.unwrap();
        assert_eq!(rows.len(), 1);
        book(&client, &id(4), "c").await.unwrap();
    });
}

/// Guards against lost or duplicated bookings at a crash of the primary: each
/// booking is repeated until it is answered. A repeat must not run again if the
/// first commit survived, and no answer may be given for a commit that did not.
#[test]
fn bookings_with_ids_take_effect_once_across_a_change_of_primary() {
    let rig = Rig::open(3);
    let mut tasks = Vec::new();
    run(async {
        for caller in 0..6_u64 {
            let client = rig.connect((caller % 3) as usize, "slots").await;
            tasks.push(tokio::spawn(async move {
                for round in 0..30 {
                    let key = format!("{caller}-{round}");
                    let id = id(1_000 * caller + round);
                    let mut attempts = 0;
                    while let Err(error) = book(&client, &id, &key).await {
                        let code = state(&error);
                        assert!(code.starts_with("DL00"), "{key}: {error:?}");
                        attempts += 1;
                        assert!(attempts < 200, "{key} never succeeded");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            }));
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
        rig.group.set_fault(0, Fault::Crashed);
        for task in tasks {
            task.await.unwrap();
        }
        let client = rig.connect(0, "status").await;
        let rows = client.query("SELECT key FROM kv", &[]).await.unwrap();
        assert_eq!(rows.len(), 6 * 30);
    });
}

/// Guards against a ledger of request ids that grows without bound: ids older
/// than their retention must be deleted.
#[test]
fn expired_ids_are_deleted_and_others_kept() {
    let rig = Rig::open(2);
    run(async {
        let client = rig.connect(0, "slots").await;
        let kept = id(5);
        book(&client, &kept, "a").await.unwrap();
        let old = format!("{:032x}", 7_u128 << 76);
        let insert = "INSERT INTO dandelionlink_request (id, tag) VALUES ($1, 'old')";
        client.execute(insert, &[&old]).await.unwrap();
        let select = "SELECT id FROM dandelionlink_request FOR UPDATE";
        for _ in 0..300 {
            let rows = client.query(select, &[]).await.unwrap();
            let ids: Vec<String> = rows.iter().map(|row| row.get(0)).collect();
            assert!(ids.contains(&kept));
            if !ids.contains(&old) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the expired id was not deleted");
    });
}
