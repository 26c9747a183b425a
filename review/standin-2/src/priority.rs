//! The operator sends a configuration in which one route has a priority above 255.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    Verdict,
    nodes::{self, Client, Ports, Record},
    standin::{Group, Store, http},
};

/// `configApplyMs` of the settings.
const APPLY: Duration = Duration::from_millis(3_000);

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::default();
    let group = Group::new("db", 3, 34, &store).await;
    let first = nodes::config(1, 34, &["now", "old", "own"]);
    store.put("op/config", first.to_string().into_bytes(), 0);
    let platform = http::serve(&store, &group, &http::Gate::default()).await;
    let ports = Ports::find(2)?;
    let one = nodes::start(record, 0, &ports, platform).await?;
    let two = nodes::start(record, 1, &ports, platform).await?;
    let mut client = Client::start("c", one.front, "now").await?;
    client
        .execute_until_done(record, "WRITE item1 data")
        .await?;
    let mut dropped = Client::start("d", two.front, "old").await?;
    dropped.execute_until_done(record, "READ item1").await?;
    sleep(Duration::from_secs(4)).await;
    // `old` is dropped, `own-more` is new, and `now` has another priority.
    let mut second = nodes::config(7, 34, &["now", "own", "own-more"]);
    second["routes"][0]["priority"] = match trouble {
        true => 1_000.into(),
        false => 2.into(),
    };
    store.put("op/config", second.to_string().into_bytes(), 0);
    record.line(&format!("the store has acknowledged version 7: {second}"));
    let acknowledged = Instant::now();
    sleep(APPLY + Duration::from_secs(1)).await;
    let (mut sent, mut old) = (0, 0);
    while acknowledged.elapsed() < Duration::from_secs(20) {
        for node in [&one, &two] {
            let after = acknowledged.elapsed().as_millis();
            let added = Client::start("n", node.front, "own-more").await;
            record.line(&format!(
                "{after} ms after the ack: START own-more at {}: {:?}",
                node.name,
                added.as_ref().err()
            ));
            sent += 1;
            old += usize::from(added.is_err_and(|error| error.contains("NODB")));
        }
        let answer = dropped.execute(record, "READ item1").await;
        sent += 1;
        old += usize::from(answer.is_done());
        if !answer.is_done() {
            // The session's database is gone, or its instance has closed it.
            dropped = match Client::start("d", two.front, "old").await {
                Ok(client) => client,
                Err(error) => {
                    record.line(&format!("START old at {}: {error}", two.name));
                    break;
                }
            };
        }
        sleep(Duration::from_secs(1)).await;
    }
    record.line(&format!(
        "{sent} requests later than {APPLY:?} after the ack, {old} handled as only version 1 allows"
    ));
    nodes::record_runs(record, &group);
    drop((one, two));
    Ok(old == 0)
}
