//! `dandelionlink status`

use argh::FromArgs;
use serde::Serialize;
use view::Status;

use crate::{
    error::Error,
    exit::Exit,
    fleet::{self, Answer, Reply},
    settings::{self, INSTANCES},
    summary::{Source, Summary},
    util::{self, Table},
};

/// Show the revision in force at each instance, the primaries, and problems.
///
/// Instances that answer also report other instances. An instance's own report
/// takes precedence over reports of others about that instance.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    error_code(1, "No instance answered."),
    error_code(2, "The command line or a setting is wrong."),
    error_code(5, "Some of the instances queried did not answer.")
)]
pub(crate) struct Args {
    /// operators' ports of the instances, IP:PORT separated by commas (DANDELIONLINK_INSTANCES)
    #[argh(option)]
    instance: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct Report<'a> {
    summary: &'a Summary,
    answers: &'a [Answer<Status>],
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let addresses = settings::addresses(INSTANCES, args.instance.as_deref())?;
    let answers = fleet::ask::<Status>(&addresses, view::STATUS).await?;
    let (found, failed) = fleet::partition(&answers)?;
    let summary = Summary::of(&found);
    if args.json {
        let answers = &answers;
        let summary = &summary;
        util::print_json(&Report { summary, answers })?;
    } else {
        util::print(&text(&summary, &answers))?;
    }
    Ok(fleet::exit(&failed))
}

fn text(summary: &Summary, answers: &[Answer<Status>]) -> String {
    let mut parts = vec![
        format!("revision {} is the latest in force\n", summary.revision),
        zones(summary),
        instances(summary, answers),
        primaries(summary),
    ];
    parts.retain(|part| !part.is_empty());
    let mut text = parts.join("\n");
    text += &doubts(answers);
    text
}

fn zones(summary: &Summary) -> String {
    let mut table = Table::new(&["ZONE", "INSTANCES", "REACHABLE", "IN FORCE"]);
    for (name, zone) in &summary.zones {
        table.row(vec![
            name.to_string(),
            zone.instances.to_string(),
            zone.reachable.to_string(),
            zone.in_force.to_string(),
        ]);
    }
    table.text()
}

fn instances(summary: &Summary, answers: &[Answer<Status>]) -> String {
    let mut table = Table::new(&[
        "INSTANCE", "ZONE", "HEALTH", "REVISION", "FOR", "STORE", "VERSION",
    ]);
    for (name, instance) in &summary.instances {
        let own = statuses(answers).find(|status| status.instance == *name);
        let health = match instance.source {
            Source::Itself => instance.health.to_string(),
            Source::Peer => format!("{} (reported)", instance.health),
        };
        table.row(vec![
            name.to_string(),
            instance.zone.to_string(),
            health,
            util::or_dash(instance.revision),
            util::or_dash(own.map(|status| util::format_duration(status.applied_ms_ago))),
            util::or_dash(own.map(|status| status.store)),
            util::or_dash(own.map(|status| status.version.as_str())),
        ]);
    }
    table.text()
}

fn primaries(summary: &Summary) -> String {
    let mut table = Table::new(&["DATABASE", "TERM", "PRIMARY", "CONFIRMED", "SEEN BY"]);
    for (name, primary) in &summary.primaries {
        let confirmed = primary.confirmed_ms_ago.map(util::format_duration);
        table.row(vec![
            name.to_string(),
            primary.term.to_string(),
            util::or_dash(primary.upstream.as_ref()),
            util::or_dash(confirmed.map(|span| format!("{span} ago"))),
            primary.seen_by.to_string(),
        ]);
    }
    table.text()
}

fn doubts(answers: &[Answer<Status>]) -> String {
    let mut lines = Vec::new();
    for answer in answers {
        match &answer.result {
            Reply::Failed(why) => lines.push(format!("{}: no answer: {why}", answer.address)),
            Reply::Answer(status) => {
                let reported = status.doubts.iter();
                lines.extend(reported.map(|doubt| format!("{}: {doubt}", status.instance)));
            }
        }
    }
    if lines.is_empty() {
        return "\nnothing is wrong\n".to_owned();
    }
    let lines: Vec<_> = lines.iter().map(|line| util::sanitize(line)).collect();
    format!("\nwrong:\n  {}\n", lines.join("\n  "))
}

fn statuses(answers: &[Answer<Status>]) -> impl Iterator<Item = &Status> {
    answers.iter().filter_map(|answer| match &answer.result {
        Reply::Answer(status) => Some(status),
        Reply::Failed(_) => None,
    })
}
