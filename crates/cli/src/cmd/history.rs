//! `dandelionlink history`

use argh::FromArgs;
use catalog::history::Record;
use serde::Serialize;

use crate::{
    error::Error,
    exit::Exit,
    settings::{self, STORE},
    store::Store,
    util::{self, Table},
};

/// Default number of changes to list.
const LAST: u64 = 20;

/// List past changes of the catalogue, the latest last.
///
/// The store keeps the last 1,000 changes; catalogue files themselves belong in
/// version control.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "history",
    error_code(1, "The store does not answer, or has no such change."),
    error_code(2, "The command line or a setting is wrong.")
)]
pub(crate) struct Args {
    /// number of changes to list, 20 by default
    #[argh(option, default = "LAST")]
    last: u64,

    /// show the change with this number in detail
    #[argh(option)]
    number: Option<u64>,

    /// the store's endpoints, IP:PORT separated by commas (DANDELIONLINK_STORE)
    #[argh(option)]
    store: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct Entry {
    revision: u64,
    #[serde(flatten)]
    record: Record,
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let endpoints = settings::addresses(STORE, args.store.as_deref())?;
    let mut store = Store::open(endpoints).await?;
    match args.number {
        Some(number) => show(args, &mut store, number).await,
        None => list(args, &mut store).await,
    }
}

async fn show(args: &Args, store: &mut Store, number: u64) -> Result<Exit, Error> {
    let found = store.record(number).await?;
    let (record, revision) = found.ok_or(Error::NoRecord(number))?;
    if args.json {
        util::print_json(&Entry { revision, record })?;
        return Ok(Exit::Success);
    }
    let head = &record.head;
    let mut text = format!(
        "change {} made revision {revision} from {}\nid      {}\nauthor  {}\ntime    {}\nmessage {}\n",
        head.number,
        record.from,
        head.change,
        util::sanitize(&head.author),
        util::sanitize(&head.time),
        util::sanitize(&head.message),
    );
    text += &util::format_changes(&record.changes);
    if record.omitted > 0 {
        text += &format!("and {} more changes, not recorded\n", record.omitted);
    }
    util::print(&text)?;
    Ok(Exit::Success)
}

async fn list(args: &Args, store: &mut Store) -> Result<Exit, Error> {
    let snapshot = store.snapshot().await?;
    let latest = snapshot.head.map_or(0, |head| head.number);
    let first = (latest + 1).saturating_sub(args.last);
    let mut records = store.records().await?;
    records.retain(|(record, _)| record.head.number >= first);
    if args.json {
        let entry = |(record, revision)| Entry { revision, record };
        let entries: Vec<_> = records.into_iter().map(entry).collect();
        util::print_json(&entries)?;
        return Ok(Exit::Success);
    }
    let mut table = Table::new(&["NUMBER", "REVISION", "TIME", "AUTHOR", "CHANGES", "MESSAGE"]);
    for (record, revision) in &records {
        table.row(vec![
            record.head.number.to_string(),
            revision.to_string(),
            record.head.time.clone(),
            record.head.author.clone(),
            (record.changes.len() + record.omitted).to_string(),
            record.head.message.clone(),
        ]);
    }
    if records.is_empty() {
        util::print("no change was ever applied\n")?;
    }
    util::print(&table.text())?;
    Ok(Exit::Success)
}
