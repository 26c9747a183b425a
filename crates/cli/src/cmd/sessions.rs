//! `dandelionlink sessions`

use argh::FromArgs;
use view::{Session, Sessions};

use crate::{
    error::Error,
    exit::Exit,
    fleet,
    settings::{self, INSTANCES},
    util::{self, Table},
};

/// Show the instances' sessions, those with the longest running work first.
///
/// An instance counts all its sessions but lists a limited number of them.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "sessions",
    error_code(1, "No instance answered."),
    error_code(2, "The command line or a setting is wrong."),
    error_code(5, "Some of the instances asked did not answer.")
)]
pub(crate) struct Args {
    /// show only sessions of this entry
    #[argh(option)]
    entry: Option<String>,

    /// operators' ports of the instances, IP:PORT separated by commas (DANDELIONLINK_INSTANCES)
    #[argh(option)]
    instance: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let addresses = settings::addresses(INSTANCES, args.instance.as_deref())?;
    let mut answers = fleet::ask::<Sessions>(&addresses, view::SESSIONS).await?;
    if let Some(entry) = &args.entry {
        fleet::for_each(&mut answers, |view| {
            let wanted = |session: &Session| session.entry.as_str() == entry;
            view.sessions.retain(wanted);
        });
    }
    let (found, failed) = fleet::partition(&answers)?;
    if args.json {
        util::print_json(&answers)?;
    } else {
        util::print(&text(&found))?;
    }
    Ok(fleet::exit(&failed))
}

fn text(views: &[&Sessions]) -> String {
    let mut table = Table::new(&[
        "INSTANCE",
        "TENANT",
        "ENTRY",
        "USER",
        "CLIENT",
        "LOGIN",
        "PHASE",
        "FOR",
        "TRANSACTION",
        "TOKEN",
    ]);
    let mut text = String::new();
    for view in views {
        let shown = view.sessions.len();
        text += &format!(
            "{}: {shown} shown of {} sessions\n",
            view.instance, view.total
        );
        for session in &view.sessions {
            table.row(row(view, session));
        }
    }
    text + &table.text()
}

fn row(view: &Sessions, session: &Session) -> Vec<String> {
    vec![
        view.instance.to_string(),
        util::or_dash(session.tenant.as_ref()),
        session.entry.to_string(),
        session.user.clone(),
        session.client.to_string(),
        util::or_dash(session.connected_ms.map(util::format_duration)),
        session.phase.to_string(),
        util::format_duration(session.phase_ms),
        util::or_dash(session.transaction_ms.map(util::format_duration)),
        util::or_dash(session.token),
    ]
}
