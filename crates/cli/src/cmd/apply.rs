//! `dandelionlink apply`

use std::{path::PathBuf, time::SystemTime};

use argh::FromArgs;
use catalog::{
    Catalog,
    apply::Conflict,
    change::Change,
    head::{Head, Id},
    layout::Snapshot,
    parts,
    plan::{self, Proposal},
};
use serde::Serialize;
use view::Revision;

use crate::{
    error::Error,
    exit::Exit,
    sender::{self, Sent},
    settings::{self, STORE},
    store::Store,
    util,
};

/// Put a catalogue file in force.
///
/// The change is one transaction on condition that the catalogue is unchanged
/// since the change was planned: of two concurrent changes, one is applied
/// completely, and the other is rejected with a list of the differences. If the
/// store's answer is lost, the change is recognised by its id when the store is
/// read back, and is never applied twice.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} -m \"more room for calendars\" stalgenoot.toml",
    error_code(0, "The change is accepted, or there is nothing to change."),
    error_code(
        1,
        "The command failed; the message says whether the change may have taken effect."
    ),
    error_code(2, "The command line or a setting is wrong."),
    error_code(3, "Another change was committed first; nothing was changed.")
)]
pub(crate) struct Args {
    /// reason for the change
    #[argh(option, short = 'm')]
    message: String,

    /// author of the change (DANDELIONLINK_AUTHOR, else USER)
    #[argh(option)]
    author: Option<String>,

    /// apply only if this revision is still in force
    #[argh(option)]
    from: Option<u64>,

    /// apply a change that is too large for one transaction in parts, each of
    /// which results in a valid catalogue
    #[argh(switch)]
    in_parts: bool,

    /// raise the epoch, even if there is nothing to change, so that instances
    /// follow a store that was restored from a backup
    #[argh(switch)]
    renew: bool,

    /// the store's endpoints, IP:PORT separated by commas (DANDELIONLINK_STORE)
    #[argh(option)]
    store: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,

    /// the catalogue file
    #[argh(positional)]
    file: PathBuf,
}

/// Result of the command.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Report<'a> {
    Applied {
        revision: Revision,
        change: Option<Id>,
        changes: &'a [Change],
    },
    Same {
        revision: u64,
    },
    Conflict {
        revision: u64,
        /// Number of parts accepted before the conflict.
        accepted: usize,
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
        let conflict = changes_since(&mut store, from, revision).await?;
        return report_conflict(args, &conflict, 0);
    }
    let steps = steps(args, &from, checked.catalog)?;
    apply_steps(args, &mut store, from, &steps, &author).await
}

/// Catalogues to put in force one after the other.
fn steps(args: &Args, from: &Snapshot, to: Catalog) -> Result<Vec<Catalog>, Error> {
    if from.catalog == to && !args.renew {
        return Ok(Vec::new());
    }
    if args.in_parts && from.catalog != to {
        return Ok(parts::split(&from.catalog, &to)?);
    }
    Ok(vec![to])
}

/// Puts `steps` in force, each on condition that the previous one is still in
/// force.
async fn apply_steps(
    args: &Args,
    store: &mut Store,
    mut from: Snapshot,
    steps: &[Catalog],
    author: &str,
) -> Result<Exit, Error> {
    let mut changes = Vec::new();
    for (at, step) in steps.iter().enumerate() {
        let proposal = proposal(args, author, at + 1, steps.len());
        let plan = if args.renew && at == 0 {
            plan::renew(&from, step, proposal)?
        } else {
            plan::plan(&from, step, proposal)?
        };
        match sender::send(store, plan).await? {
            Sent::Applied(now, made) => {
                changes.extend(made);
                from = *now;
            }
            Sent::Conflict(conflict) => return report_conflict(args, &conflict, at),
        }
    }
    if steps.is_empty() {
        return report_unchanged(args, from.revision);
    }
    report_applied(args, &from, &changes)
}

fn proposal(args: &Args, author: &str, part: usize, of: usize) -> Proposal {
    let mut message = args.message.clone();
    if of > 1 {
        message += &format!(" (part {part} of {of})");
    }
    Proposal {
        change: Id(rand::random()),
        author: author.to_owned(),
        message,
        time: humantime::format_rfc3339_seconds(SystemTime::now()).to_string(),
    }
}

/// Changes since `revision`, which is no longer in force.
async fn changes_since(store: &mut Store, now: Snapshot, revision: u64) -> Result<Conflict, Error> {
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

fn report_applied(args: &Args, now: &Snapshot, changes: &[Change]) -> Result<Exit, Error> {
    let head = now.head.as_ref();
    let revision = Revision {
        epoch: head.map_or(0, |head| head.epoch),
        number: now.revision,
    };
    if args.json {
        let change = now.head.as_ref().map(|head| head.change);
        util::print_json(&Report::Applied {
            revision,
            change,
            changes,
        })?;
        return Ok(Exit::Success);
    }
    let mut text = util::format_changes(changes);
    text += &format!("accepted as revision {revision}\n");
    util::print(&text)?;
    Ok(Exit::Success)
}

fn report_unchanged(args: &Args, revision: u64) -> Result<Exit, Error> {
    if args.json {
        util::print_json(&Report::Same { revision })?;
    } else {
        util::print(&format!("nothing to change from revision {revision}\n"))?;
    }
    Ok(Exit::Success)
}

/// Prints a conflict that occurred after `accepted` parts.
fn report_conflict(args: &Args, conflict: &Conflict, accepted: usize) -> Result<Exit, Error> {
    let revision = conflict.revision;
    let changes = &conflict.changes;
    if args.json {
        util::print_json(&Report::Conflict {
            revision,
            accepted,
            head: conflict.head.as_ref(),
            changes,
        })?;
        return Ok(Exit::Conflict);
    }
    if accepted > 0 {
        eprintln!("conflict after {accepted} accepted parts; the remaining parts are not in force");
    } else {
        eprintln!("conflict: nothing was changed");
    }
    eprintln!("in force now: revision {revision}");
    if let Some(head) = &conflict.head {
        let author = util::sanitize(&head.author);
        let message = util::sanitize(&head.message);
        eprintln!("last change: number {} by {author}: {message}", head.number);
    }
    eprintln!("changes since then:");
    eprint!("{}", util::format_changes(changes));
    eprintln!("merge these changes into the file, check `diff`, and apply again");
    Ok(Exit::Conflict)
}
