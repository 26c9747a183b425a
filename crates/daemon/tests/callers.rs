//! Client connections, tested with an unmodified driver.

mod rig;

use std::time::Duration;

use rig::{Rig, run};
use tokio_postgres::{Client, SimpleQueryMessage, error::SqlState};

const INSERT: &str = "INSERT INTO kv (key, value) VALUES ($1, $2)";
const SELECT: &str = "SELECT value FROM kv WHERE key = $1";

/// Returns the first column of the first row of a simple query.
async fn first_cell(client: &Client, sql: &str) -> String {
    let answer = client.simple_query(sql).await.unwrap();
    let row = answer.iter().find_map(|it| match it {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.expect("a row").to_owned()
}

fn state<T>(result: Result<T, tokio_postgres::Error>) -> Option<SqlState> {
    result.err().and_then(|it| it.code().cloned())
}

#[test]
fn one_statement_serves_several_callers_and_pipelines() {
    let rig = Rig::open(1);
    run(async {
        let first = rig.connect(0, "slots").await;
        let second = rig.connect(0, "slots").await;
        let (a, b) = (
            first.prepare(INSERT).await.unwrap(),
            second.prepare(INSERT).await.unwrap(),
        );
        let writes = (0..20).map(|n| {
            let (client, statement) = if n % 2 == 0 {
                (&first, &a)
            } else {
                (&second, &b)
            };
            async move {
                let (key, value) = (format!("k{n}"), n.to_string());
                client.execute(statement, &[&key, &value]).await
            }
        });
        let done = futures_util::future::join_all(writes).await;
        assert!(done.into_iter().all(|it| it.unwrap() == 1));
        let rows = first.query("SELECT key FROM kv", &[]).await.unwrap();
        assert_eq!(rows.len(), 20);
    });
}

/// Guards against two callers' transactions on one connection: one caller's
/// uncommitted write would be committed with the other's. The callers write
/// alternately; one commits and one rolls back.
#[test]
fn statements_of_two_transactions_never_mix() {
    let rig = Rig::open(1);
    run(async {
        let mut first = rig.connect(0, "slots").await;
        let mut second = rig.connect(0, "slots").await;
        let kept = first.transaction().await.unwrap();
        let lost = second.transaction().await.unwrap();
        for n in 0..5 {
            kept.execute(INSERT, &[&format!("kept{n}"), &"x"])
                .await
                .unwrap();
            lost.execute(INSERT, &[&format!("lost{n}"), &"x"])
                .await
                .unwrap();
        }
        kept.commit().await.unwrap();
        lost.rollback().await.unwrap();
        let rows = second.query("SELECT key FROM kv", &[]).await.unwrap();
        assert!(
            rows.iter()
                .all(|row| row.get::<_, &str>(0).starts_with("kept"))
        );
        assert_eq!(
            first.query("SELECT key FROM kv", &[]).await.unwrap().len(),
            5
        );
    });
}

#[test]
fn a_failed_transaction_refuses_further_statements_and_commits_nothing() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        client
            .batch_execute("BEGIN; INSERT INTO kv VALUES ('a', '1')")
            .await
            .unwrap();
        let twice = client.execute(INSERT, &[&"a", &"2"]).await;
        assert_eq!(state(twice), Some(SqlState::UNIQUE_VIOLATION));
        let next = client.execute(INSERT, &[&"b", &"2"]).await;
        assert_eq!(state(next), Some(SqlState::IN_FAILED_SQL_TRANSACTION));
        client.batch_execute("COMMIT").await.unwrap();
        assert!(
            client
                .query("SELECT key FROM kv", &[])
                .await
                .unwrap()
                .is_empty()
        );
        let null = client.execute(INSERT, &[&"n", &None::<&str>]).await;
        assert_eq!(state(null), Some(SqlState::NOT_NULL_VIOLATION));
    });
}

/// Guards against a transaction that stays usable after a refused COPY, and
/// against a wrong SQLSTATE. The proxy refuses COPY itself and has to fail the
/// server's transaction as well, with a statement whose own error must not
/// reach the caller.
#[test]
fn copy_is_refused_and_fails_its_transaction() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        let copy = client.batch_execute("COPY kv TO STDOUT").await;
        assert_eq!(state(copy), Some(SqlState::FEATURE_NOT_SUPPORTED));
        assert_eq!(first_cell(&client, "SELECT 1").await, "1");
        client
            .batch_execute("BEGIN; INSERT INTO kv VALUES ('a', '1')")
            .await
            .unwrap();
        let copy = client.batch_execute("COPY kv TO STDOUT").await;
        assert_eq!(state(copy), Some(SqlState::FEATURE_NOT_SUPPORTED));
        let next = client.batch_execute("SELECT 1").await;
        assert_eq!(state(next), Some(SqlState::IN_FAILED_SQL_TRANSACTION));
        client.batch_execute("COMMIT").await.unwrap();
        assert!(
            client
                .query("SELECT key FROM kv", &[])
                .await
                .unwrap()
                .is_empty()
        );
        let chain = client.batch_execute("COMMIT AND CHAIN").await;
        assert_eq!(state(chain), Some(SqlState::FEATURE_NOT_SUPPORTED));
    });
}

/// Guards against losing a confirmed commit at a change of primary. COMMIT and
/// the next BEGIN arrive as one text while no replica is reachable; the answer
/// must wait for a majority although a transaction is open after the text.
#[test]
fn a_commit_followed_by_a_begin_waits_for_a_majority() {
    let mut rig = Rig::open(1);
    let text = rig::catalog_text(&rig.group.addresses());
    run(async {
        let client = rig.connect(0, "slots").await;
        client
            .batch_execute("BEGIN; INSERT INTO kv VALUES ('a', '1')")
            .await
            .unwrap();
        client.batch_execute("COMMIT; BEGIN").await.unwrap();
        client.batch_execute("ROLLBACK").await.unwrap();
        rig.apply(&text.replace("deadline_ms = 5000", "deadline_ms = 500"));
        client
            .batch_execute("BEGIN; INSERT INTO kv VALUES ('b', '1')")
            .await
            .unwrap();
        rig.group.set_fault(1, fake::group::Fault::CutOff);
        rig.group.set_fault(2, fake::group::Fault::CutOff);
        let commit = client.batch_execute("COMMIT; BEGIN").await;
        assert_eq!(state(commit).as_ref().map(SqlState::code), Some("DL002"));
    });
}

#[test]
fn portals_return_rows_in_parts() {
    let rig = Rig::open(1);
    run(async {
        let mut client = rig.connect(0, "slots").await;
        client
            .batch_execute("INSERT INTO kv VALUES ('a', '1'), ('b', '2'), ('c', '3')")
            .await
            .unwrap();
        let transaction = client.transaction().await.unwrap();
        let portal = transaction.bind("SELECT key FROM kv", &[]).await.unwrap();
        let first = transaction.query_portal(&portal, 2).await.unwrap();
        let rest = transaction.query_portal(&portal, 2).await.unwrap();
        assert_eq!((first.len(), rest.len()), (2, 1));
        assert_eq!(rest[0].get::<_, &str>(0), "c");
    });
}

/// The answer is a hundred times the flow-control window, and the reader is
/// slow.
#[test]
fn a_slow_reader_receives_a_large_answer_completely() {
    use futures_util::TryStreamExt;
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        let value = "x".repeat(100_000);
        for n in 0..130 {
            client
                .execute(INSERT, &[&format!("{n:03}"), &value])
                .await
                .unwrap();
        }
        let none: [&str; 0] = [];
        let rows = client
            .query_raw("SELECT key, value FROM kv", none)
            .await
            .unwrap();
        let mut rows = std::pin::pin!(rows);
        let mut keys = Vec::new();
        while let Some(row) = rows.try_next().await.unwrap() {
            tokio::task::yield_now().await;
            assert_eq!(row.get::<_, &str>(1).len(), value.len());
            keys.push(row.get::<_, String>(0));
        }
        assert!(
            keys.iter()
                .enumerate()
                .all(|(n, key)| *key == format!("{n:03}"))
        );
        assert_eq!(keys.len(), 130);
    });
}

#[test]
fn an_error_in_a_pipeline_does_not_affect_other_statements() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        let select = client.prepare(SELECT).await.unwrap();
        let insert = client.prepare(INSERT).await.unwrap();
        client.execute(&insert, &[&"a", &"1"]).await.unwrap();
        let (one, twice, two, none) = tokio::join!(
            client.query(&select, &[&"a"]),
            client.execute(&insert, &[&"a", &"9"]),
            client.query(&select, &[&"a"]),
            client.query("SELECT nothing FROM kv", &[]),
        );
        assert_eq!(one.unwrap()[0].get::<_, &str>(0), "1");
        assert_eq!(state(twice), Some(SqlState::UNIQUE_VIOLATION));
        assert_eq!(two.unwrap()[0].get::<_, &str>(0), "1");
        assert_eq!(state(none), Some(SqlState::UNDEFINED_COLUMN));
    });
}

/// Guards against a session's settings that are visible to another session,
/// which happens if a connection returns to the pool without a record of the
/// change.
#[test]
fn settings_are_not_visible_to_other_sessions() {
    let rig = Rig::open(2);
    run(async {
        let first = rig.connect(0, "status").await;
        let others = [
            rig.connect(0, "status").await,
            rig.connect(1, "status").await,
        ];
        first
            .batch_execute("SET TimeZone = 'Africa/Kigali'; SET app.desk TO 'it''s 4'")
            .await
            .unwrap();
        first
            .execute("SET search_path TO 'a', 'b'", &[])
            .await
            .unwrap();
        assert_eq!(first_cell(&first, "SHOW search_path").await, "\"a\", \"b\"");
        assert_eq!(first_cell(&first, "SHOW app.desk").await, "it's 4");
        for _ in 0..24 {
            // The session has no other settings, so that nothing else makes the
            // other sessions reset the connection.
            first.batch_execute("DISCARD ALL").await.unwrap();
            first
                .batch_execute("SET app.desk TO 'it''s 4'")
                .await
                .unwrap();
            for other in others.iter().cycle().take(8) {
                assert_eq!(first_cell(other, "SHOW app.desk").await, "");
            }
            first
                .batch_execute("SET TimeZone = 'Africa/Kigali'")
                .await
                .unwrap();
            for other in &others {
                assert_eq!(first_cell(other, "SHOW timezone").await, "UTC");
            }
            assert_eq!(first_cell(&first, "SHOW timezone").await, "Africa/Kigali");
            assert_eq!(first_cell(&first, "SHOW app.desk").await, "it's 4");
        }
        first.batch_execute("RESET app.desk").await.unwrap();
        assert_eq!(first_cell(&first, "SHOW app.desk").await, "");
        assert_eq!(first_cell(&first, "SHOW timezone").await, "Africa/Kigali");
        first.batch_execute("DISCARD ALL").await.unwrap();
        assert_eq!(first_cell(&first, "SHOW timezone").await, "UTC");
    });
}

/// Guards against settings made in a transaction that are lost after its
/// commit, survive its rollback, or reach another caller.
#[test]
fn settings_follow_the_end_of_their_transaction() {
    let rig = Rig::open(1);
    run(async {
        let first = rig.connect(0, "slots").await;
        let other = rig.connect(0, "slots").await;
        first.batch_execute("BEGIN").await.unwrap();
        first.batch_execute("SET app.desk = 'kept'").await.unwrap();
        first.batch_execute("COMMIT").await.unwrap();
        assert_eq!(first_cell(&other, "SHOW app.desk").await, "");
        assert_eq!(first_cell(&first, "SHOW app.desk").await, "kept");
        first.batch_execute("BEGIN").await.unwrap();
        first.batch_execute("SET app.desk = 'lost'").await.unwrap();
        first.batch_execute("ROLLBACK").await.unwrap();
        for _ in 0..6 {
            assert_eq!(first_cell(&first, "SHOW app.desk").await, "kept");
            assert_eq!(first_cell(&other, "SHOW app.desk").await, "");
        }
        first
            .batch_execute(
                "SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL repeatable read",
            )
            .await
            .unwrap();
        assert_eq!(
            first_cell(&first, "SHOW default_transaction_isolation").await,
            "repeatable read"
        );
    });
}

/// Guards against stale reads by drivers that always prepare. SET and SHOW of
/// `dandelionlink.session` must be intercepted in the extended protocol as
/// well; the upstream would accept the name as a custom setting.
#[test]
fn the_session_token_is_accepted_in_all_forms() {
    let rig = Rig::open(2);
    run(async {
        let first = rig.connect(0, "slots").await;
        first.execute(INSERT, &[&"a", &"1"]).await.unwrap();
        let token = first_cell(&first, "SHOW dandelionlink.session").await;
        let row = first
            .query_one("SHOW dandelionlink.session", &[])
            .await
            .unwrap();
        assert_eq!(row.get::<_, &str>(0), token);
        assert!(!token.is_empty());

        let second = rig.connect(1, "slots").await;
        assert_eq!(first_cell(&second, "SHOW dandelionlink.session").await, "");
        let set = format!("SET dandelionlink.session = '{token}'");
        second.execute(&set, &[]).await.unwrap();
        assert_eq!(
            first_cell(&second, "SHOW dandelionlink.session").await,
            token
        );
        let forged = second.execute("SET dandelionlink.session = 'x'", &[]).await;
        assert_eq!(state(forged), Some(SqlState::INVALID_PARAMETER_VALUE));
        let mixed = second.batch_execute(&format!("{set}; SELECT 1")).await;
        assert_eq!(state(mixed), Some(SqlState::FEATURE_NOT_SUPPORTED));

        let options = format!("-c dandelionlink.session={token} -c app.desk=4\\ b --app-x=1");
        let third = rig
            .connect_with(1, "slots", |conf| {
                conf.options(&options);
            })
            .await;
        let third = third.unwrap();
        assert_eq!(
            first_cell(&third, "SHOW dandelionlink.session").await,
            token
        );
        assert_eq!(first_cell(&third, "SHOW app.desk").await, "4 b");
    });
}

#[test]
fn refused_logins_return_their_sqlstate() {
    let rig = Rig::open(1);
    run(async {
        rig.connect(0, "slots").await;
        let unknown = rig.connect_with(0, "nowhere", |_| ()).await;
        assert_eq!(state(unknown), Some(SqlState::UNDEFINED_DATABASE));
        let wrong = rig
            .connect_with(0, "slots", |conf| {
                conf.password("x");
            })
            .await;
        assert_eq!(state(wrong), Some(SqlState::INVALID_PASSWORD));
        let nobody = rig
            .connect_with(0, "slots", |conf| {
                conf.user("nobody");
            })
            .await;
        assert_eq!(state(nobody), Some(SqlState::INVALID_PASSWORD));
    });
}

/// Guards against a cancel request without effect, which happens if its key is
/// decoded in the format of a newer protocol version. A cancel with nothing
/// running must not affect later statements.
#[test]
fn a_cancel_request_cancels_only_its_statement() {
    let rig = Rig::open(2);
    // One of the two instances holds the primary's connections.
    cancel(&rig, 0);
    cancel(&rig, 1);
}

fn cancel(rig: &Rig, index: usize) {
    run(async {
        let mut holder = rig.connect(0, "slots").await;
        let waiter = rig.connect(index, "slots").await;
        waiter.batch_execute("DELETE FROM kv").await.unwrap();
        let held = holder.transaction().await.unwrap();
        held.execute(INSERT, &[&"a", &"1"]).await.unwrap();
        let token = waiter.cancel_token();
        let waiting = waiter.execute(INSERT, &[&"a", &"2"]);
        let cancel = async {
            for _ in 0..200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
                token.cancel_query(tokio_postgres::NoTls).await.unwrap();
            }
        };
        let result = tokio::select! {
            result = waiting => result,
            () = cancel => panic!("the statement was not cancelled"),
        };
        assert_eq!(state(result), Some(SqlState::QUERY_CANCELED));
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
        held.execute(INSERT, &[&"b", &"1"]).await.unwrap();
        held.commit().await.unwrap();
        waiter.execute(INSERT, &[&"c", &"1"]).await.unwrap();
    });
}

#[test]
fn initial_queries_of_drivers_are_answered() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        assert!(
            first_cell(&client, "SELECT version()")
                .await
                .starts_with("PostgreSQL")
        );
        assert_eq!(
            first_cell(&client, "SELECT current_schema()").await,
            "public"
        );
        assert_eq!(
            first_cell(&client, "SHOW transaction isolation level").await,
            "read committed"
        );
        assert_eq!(
            first_cell(&client, "SHOW standard_conforming_strings").await,
            "on"
        );
        let statement = client.prepare("SELECT 1").await.unwrap();
        assert_eq!(
            client
                .query_one(&statement, &[])
                .await
                .unwrap()
                .get::<_, i32>(0),
            1
        );
        client.batch_execute("DISCARD ALL").await.unwrap();
        let gone = client.query_one(&statement, &[]).await;
        assert_eq!(state(gone), Some(SqlState::INVALID_SQL_STATEMENT_NAME));
        client.batch_execute("").await.unwrap();
        client.batch_execute("DEALLOCATE ALL").await.unwrap();
        let big = "y".repeat(3_000_000);
        client.execute(INSERT, &[&"big", &big]).await.unwrap();
        let row = client.query_one(SELECT, &[&"big"]).await.unwrap();
        assert_eq!(row.get::<_, &str>(0), big);
    });
}
