//! The steps of the example, each printed as it runs.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use fake::group::Fault;
use model::Role;
use tokio_postgres::error::SqlState;

use super::common::{caller::Caller, cluster::Cluster};

/// The catalogue entry that the session connects to.
const ENTRY: &str = "slots";

/// Index of the initial primary.
const FIRST_PRIMARY: usize = 0;

/// The SQLSTATE of a request that did not run.
const NOT_RUN: &str = "DL001";

/// The SQLSTATE of a request whose outcome is unknown.
const UNKNOWN: &str = "DL002";

/// Replication lag, which makes a replica stale for the session's own write.
const LAG: Duration = Duration::from_millis(40);

/// Longest time until a booking is acknowledged.
const BOOKING_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time until the old primary follows the new one.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause between two checks or attempts.
const PAUSE: Duration = Duration::from_millis(5);

/// Inserts a booking; a repeat has no effect.
const BOOK: &str = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO NOTHING";

/// Reads a booking.
const READ: &str = "SELECT value FROM kv WHERE key = $1";

/// Runs all steps.
///
/// # Errors
///
/// Fails if a step does not give the expected result.
pub(crate) async fn run(cluster: &Cluster) -> anyhow::Result<()> {
    print_start(cluster);
    let first = Caller::open(cluster.daemons[0].callers(), ENTRY).await?;
    let second = Caller::open(cluster.daemons[1].callers(), ENTRY).await?;
    println!("2. A client is connected to each instance as user groom, entry {ENTRY}.");
    move_session(cluster, &first, &second).await?;
    crash(cluster, &second).await?;
    rejoin(cluster).await
}

fn print_start(cluster: &Cluster) {
    println!(
        "1. Started on loopback: a store, three upstreams of one database, and two\n   \
         instances. The catalogue is applied at revision {} of the store.",
        cluster.revision
    );
}

/// A session writes through one instance and reads through the other.
async fn move_session(cluster: &Cluster, first: &Caller, second: &Caller) -> anyhow::Result<()> {
    (0..cluster.daemons.len() + 1).for_each(|index| cluster.group.set_lag(index, LAG));
    let began = Instant::now();
    let attempts = book(first, "arena-9", "mila", began).await?;
    println!(
        "3. Instance 1 acknowledged the booking of arena-9 for mila after {}, in\n   \
         {attempts}:\n   \
         the primary executed it and a majority of the upstreams holds it.",
        millis(began.elapsed())
    );
    let token = first
        .token()
        .context("the write returned no session token")?;
    println!("4. The answer came with the session token: {token}");
    let set = format!("SET dandelionlink.session = '{token}'");
    second.client.batch_execute(&set).await?;
    let began = Instant::now();
    let value = read(second, "arena-9").await?;
    ensure!(
        value == "mila",
        "instance 2 read {value:?}, not the session's own write"
    );
    println!(
        "5. The session moved to instance 2, presented its token, and read its own\n   \
         write after {}, although the replicas lag by {}.",
        millis(began.elapsed()),
        millis(LAG)
    );
    Ok(())
}

/// The primary crashes, and the next write succeeds on its replacement.
async fn crash(cluster: &Cluster, caller: &Caller) -> anyhow::Result<()> {
    cluster.group.set_fault(FIRST_PRIMARY, Fault::Crashed);
    let crashed = Instant::now();
    println!("6. The primary has crashed. The session books arena-10 immediately.");
    let attempts = book(caller, "arena-10", "mila", crashed).await?;
    println!(
        "7. The booking was acknowledged {} after the crash, in\n   {attempts}.\n   \
         This is the failover gap: detection, fencing by a majority, promotion, and\n   propagation.",
        millis(crashed.elapsed())
    );
    let primary = (0..cluster.group.addresses().len())
        .filter(|&index| index != FIRST_PRIMARY)
        .find(|&index| cluster.group.report(index).role == Role::Primary)
        .context("no upstream is primary")?;
    println!(
        "   Upstream {} is the primary now, in term {}.",
        primary + 1,
        cluster.group.report(primary).received.term
    );
    for key in ["arena-9", "arena-10"] {
        let value = read(caller, key).await?;
        ensure!(
            value == "mila",
            "{key} has the value {value:?} after the change of primary"
        );
    }
    println!("8. Both bookings are readable: no acknowledged write is lost.");
    Ok(())
}

/// Sends a booking until it is acknowledged, and describes the attempts.
async fn book(caller: &Caller, key: &str, value: &str, began: Instant) -> anyhow::Result<String> {
    let mut not_run = 0;
    let mut unknown = 0;
    loop {
        let error = match caller.client.execute(BOOK, &[&key, &value]).await {
            Ok(_) => return Ok(attempts(not_run, unknown)),
            Err(error) => error,
        };
        match error.code().map(SqlState::code) {
            Some(NOT_RUN) => not_run += 1,
            // Repeating is safe only because the statement inserts a key once.
            Some(UNKNOWN) => unknown += 1,
            _ => return Err(error).context("the booking was refused"),
        }
        ensure!(
            began.elapsed() < BOOKING_TIMEOUT,
            "the booking was not acknowledged in time: {error}"
        );
        tokio::time::sleep(PAUSE).await;
    }
}

fn attempts(not_run: u32, unknown: u32) -> String {
    if not_run + unknown == 0 {
        return "one attempt (the instance held it until it could run)".to_owned();
    }
    format!(
        "{} attempts (before the last one: {not_run} not run, {unknown} unknown)",
        not_run + unknown + 1
    )
}

/// The old primary returns and has to follow the new one.
async fn rejoin(cluster: &Cluster) -> anyhow::Result<()> {
    cluster.group.set_fault(FIRST_PRIMARY, Fault::None);
    let began = Instant::now();
    while cluster.group.report(FIRST_PRIMARY).role == Role::Primary
        || cluster.group.value(FIRST_PRIMARY, "arena-10").is_none()
    {
        ensure!(
            began.elapsed() < REJOIN_TIMEOUT,
            "the old primary does not follow the new one"
        );
        tokio::time::sleep(PAUSE).await;
    }
    println!(
        "9. The old primary returned, was fenced, and follows as a replica; it held\n   \
         the booking of arena-10 after {}.",
        millis(began.elapsed())
    );
    Ok(())
}

async fn read(caller: &Caller, key: &str) -> anyhow::Result<String> {
    let row = caller.client.query_one(READ, &[&key]).await;
    Ok(row
        .with_context(|| format!("{key} could not be read"))?
        .get(0))
}

fn millis(it: Duration) -> String {
    format!("{:.1} ms", it.as_secs_f64() * 1e3)
}
