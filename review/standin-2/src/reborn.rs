//! A primary starts again under its id and holds nothing of before.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    Verdict,
    nodes::{self, Client, Ports, Record},
};

/// Number of commits before the restart.
const COMMITS: usize = 20;

/// Time after the restart in which reads are sent.
const READING: Duration = Duration::from_secs(10);

/// Time after the upstream's new entry from which a stale read is told apart in the record: two
/// check-ins.
const LISTED: Duration = Duration::from_millis(2_400);

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let (platform, group) = nodes::platform().await;
    let ports = Ports::find(2)?;
    let one = nodes::start(record, 0, &ports, platform).await?;
    let two = nodes::start(record, 1, &ports, platform).await?;
    let mut writer = Client::start("w", one.front, "now").await?;
    for number in 0..COMMITS {
        let text = format!("WRITE item{number} kept{number}");
        writer.execute_until_done(record, &text).await?;
    }
    record.line(&format!(
        "{COMMITS} commits are acknowledged; the writer leaves"
    ));
    drop(writer);
    // The voters are named, and a quiet time begins.
    sleep(Duration::from_secs(7)).await;
    if trouble {
        group.borrow_mut().restart(0, true);
        record.line("primary i-0 has started again under its id, without its log; its new entry is in the store");
    }
    let since = Instant::now();
    let mut reader = Client::start("r", two.front, "now").await?;
    let (mut right, mut wrong, mut wrong_later, mut number) = (0, 0, 0, 0);
    while since.elapsed() < READING {
        let sent = since.elapsed();
        let item = number % COMMITS;
        number += 1;
        let answer = reader.execute(record, &format!("READ item{item}")).await;
        if answer.is_done() {
            if answer.rows == [format!("kept{item}")] {
                right += 1;
            } else {
                wrong += 1;
                wrong_later += usize::from(sent > LISTED);
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    nodes::record_runs(record, &group);
    for member in &group.borrow().members {
        let (id, leads, length) = (&member.id, member.is_primary, member.log.len());
        record.line(&format!(
            "{id}: primary {leads}, term {}, commits in its log {length}, statements run {}",
            member.term,
            member.runs.len()
        ));
    }
    record.line(&format!(
        "reads on the primary route: {right} right, {wrong} without the acknowledged commit, \
         {wrong_later} of these sent over {LISTED:?} after the new entry"
    ));
    if right + wrong == 0 {
        return Err("no read was answered".to_owned());
    }
    Ok(wrong == 0)
}
