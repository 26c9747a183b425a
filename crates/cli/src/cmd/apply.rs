//! `dandelionlink apply`

use std::{path::PathBuf, time::SystemTime};

use argh::FromArgs;
use catalog::{
    apply::{Action, Apply, Conflict, Event, Evidence, Outcome},
    change::Change,
    head::{Head, Id},
    layout::Snapshot,
    plan::{self, Plan, Proposal},
};
use ntex::time::sleep;
use serde::Serialize;

use crate::{
    error::Error,
    exit::Exit,
    settings::{self, STORE},
    store::Store,
    util,
};

/// Put a catalogue file in force.
///
/// The change is one transaction on condition that nothing was changed since
/// it was planned: of two operators who apply at once, one wins whole, and the
/// other sees what changed. Where the store's answer is lost, the change is
/// recognised by its mark when read back, and never applied twice.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} -m \"more room for calendars\" stalgenoot.toml",
    error_code(0, "The change is accepted, or there is nothing to change."),
    error_code(1, "It failed; the message tells whether it may have taken effect."),
    error_code(2, "The command line or a setting is wrong."),
    error_code(3, "Another change was faster; nothing was changed.")
)]
pub(crate) struct Args {
    /// why the change is made
    #[argh(option, short = 'm')]
    message: String,

    /// who makes it (DANDELIONLINK_AUTHOR, else USER)
    #[argh(option)]
    author: Option<String>,

    /// apply only if this revision is still in force
    #[argh(option)]
    from: Option<u64>,

    /// give the catalogue a new revision even if there is nothing to change,
    /// as is needed once after the store was restored from a backup
    #[argh(switch)]
    renew: bool,

    /// the store's endpoints, IP:PORT parted by commas (DANDELIONLINK_STORE)
    #[argh(option)]
    store: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,

    /// the catalogue file
    #[argh(positional)]
    file: PathBuf,
}

/// What became of the change.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Report<'a> {
    Applied {
        revision: u64,
        change: Id,
        changes: &'a [Change],
    },
    Same {
        revision: u64,
    },
    Conflict {
        revision: u64,
        head: Option<&'a Head>,
        changes: &'a [Change],
    },
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let endpoints = settings::addresses(STORE, args.store.as_deref())?;
    settings::text("--message", &args.message)?;
    let author = settings::author(args.author.as_deref())?;
    let checked = util::read(&args.file)?;
    util::warn(&args.file, &checked);

    let mut store = Store::open(endpoints).await?;
    let from = store.snapshot().await?;
    if let Some(revision) = args.from
        && revision != from.revision
    {
        let conflict = since(&mut store, from, revision).await?;
        return lost(args, &conflict);
    }
    let proposal = Proposal {
        change: Id(rand::random()),
        author,
        message: args.message.clone(),
        time: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
    };
    let revision = from.revision;
    match plan::plan(&from, &checked.catalog, proposal.clone()) {
        Ok(plan) => send(args, &mut store, plan).await,
        Err(plan::Error::Same) if args.renew => {
            let plan = plan::renew(&from, proposal)?;
            send(args, &mut store, plan).await
        }
        Err(plan::Error::Same) => same(args, revision),
        Err(err) => Err(err.into()),
    }
}

/// What changed since `revision`, which is in force no more.
async fn since(store: &mut Store, now: Snapshot, revision: u64) -> Result<Conflict, Error> {
    let records = store.records().await?;
    let changes = records
        .into_iter()
        .filter(|&(_, made)| made > revision)
        .flat_map(|(record, _)| record.changes)
        .collect();
    Ok(Conflict {
        head: now.head,
        revision: now.revision,
        changes,
    })
}

async fn send(args: &Args, store: &mut Store, plan: Plan) -> Result<Exit, Error> {
    let change = plan.head.change;
    let mut fault = None;
    let (mut apply, mut action) = Apply::open(plan);
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
                read_back(store, number).await?
            }
            Action::Done(outcome) => break outcome,
        };
        action = apply.step(event);
    };
    match outcome {
        Outcome::Applied(revision) => applied(args, revision, apply.plan()),
        Outcome::Conflict(conflict) => lost(args, &conflict),
        Outcome::NotRun => Err(Error::NotRun(fault)),
        Outcome::Unknown => Err(Error::Unknown { change }),
    }
}

/// Reads what is in force, and after it the change's record.
///
/// A store that does not answer is a matter for a further attempt; one that
/// holds what this version can't read is an error at once.
async fn read_back(store: &mut Store, number: u64) -> Result<Event, Error> {
    let now = match store.snapshot().await {
        Ok(now) => now,
        Err(Error::Store(_)) => return Ok(Event::ReadFailed),
        Err(err) => return Err(err),
    };
    let record = match store.record(number).await {
        Ok(record) => record,
        Err(Error::Store(_)) => return Ok(Event::ReadFailed),
        Err(err) => return Err(err),
    };
    Ok(Event::Read(Box::new(Evidence { now, record })))
}

fn applied(args: &Args, revision: u64, plan: &Plan) -> Result<Exit, Error> {
    let changes = &plan.changes;
    if args.json {
        let change = plan.head.change;
        util::print_json(&Report::Applied {
            revision,
            change,
            changes,
        })?;
        return Ok(Exit::Fine);
    }
    let mut text = util::lines(changes);
    text += &format!("accepted as revision {revision}\n");
    util::print(&text)?;
    Ok(Exit::Fine)
}

fn same(args: &Args, revision: u64) -> Result<Exit, Error> {
    if args.json {
        util::print_json(&Report::Same { revision })?;
    } else {
        util::print(&format!("nothing to change from revision {revision}\n"))?;
    }
    Ok(Exit::Fine)
}

fn lost(args: &Args, conflict: &Conflict) -> Result<Exit, Error> {
    let revision = conflict.revision;
    let changes = &conflict.changes;
    if args.json {
        util::print_json(&Report::Conflict {
            revision,
            head: conflict.head.as_ref(),
            changes,
        })?;
        return Ok(Exit::Conflict);
    }
    eprintln!("conflict: nothing was changed; revision {revision} is in force now");
    if let Some(head) = &conflict.head {
        let author = util::clean(&head.author);
        let message = util::clean(&head.message);
        eprintln!("last change: number {} by {author}: {message}", head.number);
    }
    eprintln!("changed meanwhile:");
    eprint!("{}", util::lines(changes));
    eprintln!("merge it into the file, look at `diff` again, and apply again");
    Ok(Exit::Conflict)
}
