//! Execution of a request with an id: [`request::Once`] decides, and this
//! module carries out its actions.

use std::rc::Rc;

use bytes::Bytes;
use model::{Cause, Outcome};
use request::{
    Once,
    once::{Action, End as Ended, Event, Scope},
};

use super::{
    Core, Pin, Running, plan,
    run::{release_caller, run_batch},
};
use crate::job::{Batch, Closes, End, Job, Leaves, Need, Step, Tagged};

/// Highest number of attempts of a request whose outcome is unknown. Repeating
/// it is safe since the id makes it take effect once.
const MAX_ATTEMPTS: u32 = 5;

/// The SQLSTATE for a request id that can't guarantee a single execution.
const BAD_ID: &str = "DL003";

/// SQLSTATE `unique_violation`.
const UNIQUE: &str = "23505";

/// Runs a write that carries a request id.
pub(super) async fn serve(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    tagged: Tagged,
) -> End {
    let in_transaction = core.pins.borrow().contains_key(&job.caller);
    let scope = if in_transaction {
        Scope::Within
    } else {
        Scope::Alone
    };
    let mut attempts = 1;
    loop {
        let end = attempt(core, job, running, tagged, scope).await;
        let doubtful = match end.outcome {
            Outcome::Done => false,
            Outcome::Unknown(_) => true,
            Outcome::NotRun(cause) => cause == Cause::ConnectionLost,
        };
        let again = doubtful && scope == Scope::Alone && attempts < MAX_ATTEMPTS;
        if !again || core.now() >= job.deadline || running.abandoned.get() {
            return end;
        }
        attempts += 1;
    }
}

/// The answers collected for the caller.
struct Answer {
    /// The answer to the caller's own batch.
    run: Option<End>,
    /// The answer to the last of the proxy's own batches.
    last: Option<End>,
}

async fn attempt(
    core: &Rc<Core>,
    job: &mut Job,
    running: &Rc<Running>,
    tagged: Tagged,
    scope: Scope,
) -> End {
    let mut once = Once::new(scope, tagged.id, tagged.digest);
    let mut answer = Answer {
        run: None,
        last: None,
    };
    let mut event = Event::Start;
    while let Some(action) = once.step(event) {
        event = match action {
            Action::End(ended) => return finish(core, job, scope, ended, answer),
            Action::Run => {
                let end = run_batch(core, job, running).await;
                if end.outcome != Outcome::Done {
                    return give_up(core, job, scope, end);
                }
                let event = run_event(&end.bytes);
                answer.run = Some(end);
                event
            }
            action => {
                let batch = batch(&action);
                let end = run_own(core, job, running, batch).await;
                if end.outcome != Outcome::Done {
                    return give_up(core, job, scope, end);
                }
                let event = answer_event(&action, &end.bytes);
                answer.last = Some(end);
                event
            }
        };
    }
    give_up(
        core,
        job,
        scope,
        empty_end(Outcome::Unknown(Cause::ConnectionLost)),
    )
}

fn empty_end(outcome: Outcome) -> End {
    End {
        outcome,
        bytes: Bytes::new(),
        status: Some(b'I'),
        events: Vec::new(),
        changes: Vec::new(),
        retry_after: None,
    }
}

/// Runs one of the proxy's own batches in place of the caller's.
async fn run_own(core: &Rc<Core>, job: &mut Job, running: &Rc<Running>, batch: Batch) -> End {
    let own = std::mem::replace(&mut job.batch, batch);
    let end = run_batch(core, job, running).await;
    job.batch = own;
    end
}

/// The statements of an action as one simple query.
fn batch(action: &Action) -> Batch {
    let (sql, need, closes) = match action {
        Action::Begin(sql) => (format!("BEGIN; {sql}"), Need::Begin, Closes::Nothing),
        Action::Insert(sql) | Action::Record(sql) => (sql.clone(), Need::Write, Closes::Nothing),
        Action::Commit(sql) => (format!("{sql}; COMMIT"), Need::Write, Closes::Transaction),
        Action::Rollback => ("ROLLBACK".to_owned(), Need::Write, Closes::Transaction),
        // Run as a write, so that the row that is found is acknowledged by a
        // majority.
        Action::Find(sql) => (sql.clone(), Need::Write, Closes::Nothing),
        Action::Run | Action::End(_) => (String::new(), Need::Read, Closes::Nothing),
    };
    Batch {
        steps: vec![Step::Query(sql)],
        need,
        closes,
        fingerprint: 0,
        changes: Vec::new(),
        leaves: Leaves::Nothing,
    }
}

/// Converts the answer to one of the proxy's own batches to an event.
fn answer_event(action: &Action, bytes: &[u8]) -> Event {
    if let Some(state) = plan::refusal(bytes) {
        return match action {
            Action::Begin(_) if state == *UNIQUE.as_bytes() => Event::Repeated,
            _ => Event::Rejected(state),
        };
    }
    match action {
        Action::Begin(_) | Action::Insert(_) => {
            let tag = plan::command_tag(bytes).unwrap_or_default();
            let count = tag.rsplit(' ').next().and_then(|it| it.parse().ok());
            Event::Inserted(count.unwrap_or(0))
        }
        Action::Commit(_) | Action::Record(_) => Event::Recorded,
        Action::Rollback => Event::RolledBack,
        Action::Find(_) => Event::Found(plan::first_cell(bytes)),
        Action::Run | Action::End(_) => Event::Rejected(*b"XX000"),
    }
}

fn run_event(bytes: &[u8]) -> Event {
    match plan::refusal(bytes) {
        Some(state) => Event::Rejected(state),
        None => Event::Ran(plan::command_tag(bytes).unwrap_or_default()),
    }
}

/// Ends a request whose transaction failed.
fn give_up(core: &Rc<Core>, job: &Job, scope: Scope, end: End) -> End {
    if scope == Scope::Within {
        return end;
    }
    // The proxy began the transaction, so the caller must not continue it.
    let pin = core.pins.borrow_mut().remove(&job.caller);
    if let Some(pin) = pin
        && !matches!(pin, Pin::Failed)
    {
        core.pins.borrow_mut().insert(job.caller, pin);
        release_caller(core, job.caller);
    }
    End {
        status: Some(b'I'),
        ..empty_end(end.outcome)
    }
}

fn finish(core: &Rc<Core>, job: &Job, scope: Scope, ended: Ended, answer: Answer) -> End {
    let status = match scope {
        Scope::Alone => Some(b'I'),
        Scope::Within => answer.last.as_ref().and_then(|it| it.status),
    };
    let events = answer.last.map(|it| it.events).unwrap_or_default();
    let done = |bytes| End {
        bytes,
        status,
        events,
        ..empty_end(Outcome::Done)
    };
    match (ended, answer.run) {
        (Ended::Ran(_) | Ended::Rejected(_), Some(run)) => {
            let status = if scope == Scope::Alone {
                status
            } else {
                run.status
            };
            End {
                status,
                ..done(run.bytes)
            }
        }
        (Ended::Repeat(tag), _) => done(plan::repeated(&job.batch, &tag)),
        (Ended::Refused(error), _) => done(refusal(BAD_ID, &error.to_string())),
        (Ended::Rejected(state), None) => {
            let state = String::from_utf8_lossy(&state).into_owned();
            done(refusal(
                &state,
                "the ledger of request ids refused the request",
            ))
        }
        (Ended::Ran(_), None) => give_up(
            core,
            job,
            scope,
            empty_end(Outcome::Unknown(Cause::ConnectionLost)),
        ),
    }
}

fn refusal(state: &str, text: &str) -> Bytes {
    let mut buf = bytes::BytesMut::new();
    pg::error(&mut buf, state, text, None);
    buf.freeze()
}
