//! Writes one planned change to the store.

use catalog::{
    apply::{Action, Apply, Conflict, Event, Evidence, Outcome},
    change::Change,
    head::Id,
    layout::Snapshot,
    plan::Plan,
};
use ntex::time::sleep;

use crate::{error::Error, store::Store};

/// Outcome of a change whose effect is known.
#[derive(Debug)]
pub(crate) enum Sent {
    /// The change took effect, with the resulting snapshot and the changed subjects.
    Applied(Box<Snapshot>, Vec<Change>),
    /// Another change was committed first.
    Conflict(Box<Conflict>),
}

/// Executes the actions of [`Apply`] until the change's outcome is decided.
pub(crate) async fn send(store: &mut Store, plan: Plan) -> Result<Sent, Error> {
    let change = plan.head.change;
    let mut fault = None;
    let (mut apply, mut action) = Apply::start(plan);
    let outcome = loop {
        let event = match action {
            Action::Send(wait, txn) => {
                sleep(wait).await;
                let (event, found) = store.run(&txn).await;
                fault = found.or(fault);
                event
            }
            Action::Read(wait, number) => {
                sleep(wait).await;
                read_back(store, number, change).await?
            }
            Action::Done(outcome) => break outcome,
        };
        action = apply.step(event);
    };
    match outcome {
        Outcome::Applied(revision) => Ok(applied(apply.into_plan(), revision)),
        Outcome::Conflict(conflict) => Ok(Sent::Conflict(conflict)),
        Outcome::NotRun => Err(Error::NotRun(fault)),
        Outcome::Unknown => Err(Error::Unknown { change }),
    }
}

fn applied(plan: Plan, revision: u64) -> Sent {
    let now = Snapshot {
        catalog: plan.to,
        head: Some(plan.head),
        revision,
    };
    Sent::Applied(Box::new(now), plan.changes)
}

/// Reads the catalogue in force and then the change's record.
///
/// A failed read is retried. Contents that this version can't decode end the
/// command with an unknown outcome.
async fn read_back(store: &mut Store, number: u64, change: Id) -> Result<Event, Error> {
    match evidence(store, number).await {
        Ok(evidence) => Ok(Event::Read(Box::new(evidence))),
        Err(Error::Store(_)) => Ok(Event::ReadFailed),
        Err(err) => {
            let source = Box::new(err);
            Err(Error::Unreadable { change, source })
        }
    }
}

async fn evidence(store: &mut Store, number: u64) -> Result<Evidence, Error> {
    let now = store.snapshot().await?;
    let record = store.record(number).await?;
    Ok(Evidence { now, record })
}
