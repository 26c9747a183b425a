//! `dandelionlink upstreams`

use argh::FromArgs;
use model::Role;
use view::{Pool, Upstream, Upstreams};

use crate::{
    error::Error,
    exit::Exit,
    fleet,
    settings::{self, INSTANCES},
    util::{self, Table},
};

/// Show upstreams as seen by the instances, with connection counts.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "upstreams",
    error_code(1, "No instance answered."),
    error_code(2, "The command line or a setting is wrong."),
    error_code(5, "Some of the instances queried did not answer.")
)]
pub(crate) struct Args {
    /// show only this database
    #[argh(option)]
    database: Option<String>,

    /// operators' ports of the instances, IP:PORT separated by commas (DANDELIONLINK_INSTANCES)
    #[argh(option)]
    instance: Option<String>,

    /// print the result as JSON
    #[argh(switch)]
    json: bool,
}

pub(crate) async fn run(args: &Args) -> Result<Exit, Error> {
    let addresses = settings::addresses(INSTANCES, args.instance.as_deref())?;
    let mut answers = fleet::ask::<Upstreams>(&addresses, view::UPSTREAMS).await?;
    if let Some(database) = &args.database {
        fleet::for_each(&mut answers, |view| {
            let wanted = |upstream: &Upstream| upstream.database.as_str() == database;
            view.upstreams.retain(wanted);
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

fn text(views: &[&Upstreams]) -> String {
    let mut table = Table::new(&[
        "INSTANCE", "DATABASE", "UPSTREAM", "ZONE", "LINK", "ROLE", "RECEIVED", "POSITION", "LAG",
        "LEAVING", "OPEN", "BUSY", "LIMIT", "WAITING", "BREAKER",
    ]);
    for view in views {
        for upstream in &view.upstreams {
            table.row(row(view, upstream));
        }
    }
    table.text()
}

fn row(view: &Upstreams, upstream: &Upstream) -> Vec<String> {
    let role = upstream.role.map(|role| match role {
        Role::Primary => "primary",
        Role::Replica => "replica",
    });
    let leaving = if upstream.leaving { "yes" } else { "no" };
    let count = |of: fn(&Pool) -> u32| util::or_dash(upstream.pool.as_ref().map(of));
    vec![
        view.instance.to_string(),
        upstream.database.to_string(),
        upstream.upstream.to_string(),
        upstream.zone.to_string(),
        upstream.link.to_string(),
        util::or_dash(role),
        util::or_dash(upstream.received),
        util::or_dash(upstream.position),
        util::or_dash(upstream.lag_ms.map(util::format_duration)),
        leaving.to_owned(),
        count(|pool| pool.open),
        count(|pool| pool.busy),
        count(|pool| pool.limit),
        count(|pool| pool.waiting),
        util::or_dash(upstream.pool.and_then(|pool| pool.breaker)),
    ]
}
