//! A replacement is called off, and the replicas that it has paused don't hear that they may receive
//! again.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{task::spawn_local, time::sleep};

use crate::{
    Verdict,
    nodes::{self, Client, Ports, Record},
    standin::{Group, Store, http},
};

/// `recoveryS` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which the replicas refuse the instances' own statements.
const FULL: Duration = Duration::from_millis(1_500);

/// Requests that were sent, and served.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    sent: usize,
    served: usize,
}

/// Sends writes for `time` by both instances in turn.
async fn write(
    record: &Record,
    fronts: &[SocketAddr],
    time: Duration,
    number: &mut usize,
) -> Count {
    let since = Instant::now();
    let mut clients: Vec<Option<Client>> = fronts.iter().map(|_| None).collect();
    let mut count = Count::default();
    while since.elapsed() < time {
        *number += 1;
        let at = *number % fronts.len();
        count.sent += 1;
        if clients[at].is_none() {
            clients[at] = Client::start(&format!("c{at}-{number}-"), fronts[at], "now")
                .await
                .ok();
        }
        if let Some(client) = &mut clients[at] {
            let text = format!("WRITE item{number} data{number}");
            let answer = client.execute(record, &text).await;
            count.served += usize::from(answer.is_done());
            if answer.status == "NONE" {
                clients[at] = None;
            }
        }
        sleep(Duration::from_millis(100)).await;
    }
    count
}

fn describe(record: &Record, group: &Rc<RefCell<Group>>) {
    for member in &group.borrow().members {
        record.line(&format!(
            "{}: primary {}, term {}, commits in its log {}, holds for term {}, PAUSE carried out {}, \
             RESUME carried out {}, refused with BUSY {:?}",
            member.id,
            member.is_primary,
            member.term,
            member.log.len(),
            member.paused_for,
            member.pauses,
            member.resumes,
            member.refused_orders
        ));
    }
}

/// Time for which the store carries out writes late, and how late.
const LATE: (Duration, Duration) = (Duration::from_millis(4_500), Duration::from_secs(2));

/// The primary is dark until the replicas are paused. Then they are full for a while or, with
/// `TROUBLE=late`, the store answers no writes and carries them out late.
async fn disrupt(
    record: &Record,
    group: &Rc<RefCell<Group>>,
    gate: &http::Gate,
) -> Result<(), String> {
    let is_late = std::env::var("TROUBLE").as_deref() == Ok("late");
    group.borrow_mut().members[0].is_unreachable = true;
    record.line("primary i-0 goes dark");
    let since = Instant::now();
    while group.borrow().members[1..]
        .iter()
        .any(|member| member.pauses == 0)
    {
        if since.elapsed() > Duration::from_secs(6) {
            return Err("the replicas were not paused".to_owned());
        }
        sleep(Duration::from_millis(2)).await;
    }
    sleep(Duration::from_millis(100)).await;
    let mut borrowed = group.borrow_mut();
    borrowed.members[0].is_unreachable = false;
    let dark = since.elapsed().as_millis();
    if is_late {
        drop(borrowed);
        gate.set(http::Mode::LateWrites(LATE.1));
        record.line(&format!(
            "primary i-0 is back after {dark} ms; the store carries out writes late"
        ));
        let gate = gate.clone();
        spawn_local(async move {
            sleep(LATE.0).await;
            gate.set(http::Mode::Normal);
        });
        return Ok(());
    }
    for member in &mut borrowed.members[1..] {
        member.full_after = Some(Duration::ZERO);
    }
    drop(borrowed);
    record.line(&format!(
        "primary i-0 is back after {dark} ms; the slots of the replicas are full"
    ));
    let group = Rc::clone(group);
    spawn_local(async move {
        sleep(FULL).await;
        for member in &mut group.borrow_mut().members {
            member.full_after = None;
        }
    });
    Ok(())
}

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let store = Store::default();
    let group = Group::new("db", 3, 34, &store).await;
    group.borrow_mut().is_sync = true;
    let mut catalog = nodes::config(1, 34, &["now", "old", "own"]);
    catalog["services"][0]["syncReplicas"] = 1.into();
    store.put("op/config", catalog.to_string().into_bytes(), 0);
    let gate = http::Gate::default();
    let platform = http::serve(&store, &group, &gate).await;
    let ticking = Rc::clone(&group);
    spawn_local(async move {
        loop {
            ticking.borrow_mut().tick();
            sleep(Duration::from_millis(8)).await;
        }
    });
    let ports = Ports::find(2)?;
    let one = nodes::start(record, 0, &ports, platform).await?;
    let two = nodes::start(record, 1, &ports, platform).await?;
    let fronts = [one.front, two.front];
    let mut number = 0;
    let quiet = write(record, &fronts, Duration::from_secs(8), &mut number).await;
    let load = async { write(record, &fronts, Duration::from_secs(6), &mut number).await };
    let trouble = async {
        match trouble {
            true => disrupt(record, &group, &gate).await,
            false => Ok(()),
        }
    };
    let (troubled, disrupted) = tokio::join!(load, trouble);
    disrupted?;
    describe(record, &group);
    record.line("final fault: all processes are killed");
    drop((one, two));
    sleep(Duration::from_millis(1_300)).await;
    let one = nodes::start(record, 0, &ports, platform).await?;
    let two = nodes::start(record, 1, &ports, platform).await?;
    record.line("all processes are back");
    let recovering = write(record, &fronts, RECOVERY, &mut number).await;
    let recovered = write(record, &fronts, Duration::from_secs(8), &mut number).await;
    describe(record, &group);
    nodes::record_runs(record, &group);
    drop((one, two));
    let before = Count {
        sent: quiet.sent + troubled.sent,
        served: quiet.served + troubled.served,
    };
    record.line(&format!(
        "promotions ordered: {:?}; writes before the final fault {before:?} (first 8 s {quiet:?}), in the \
         {RECOVERY:?} after it {recovering:?}, later {recovered:?}",
        group.borrow().promotions
    ));
    if before.served * 4 < before.sent {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    Ok(recovered.served * 4 >= recovered.sent)
}
