//! Whether a caller may ask: its key, how surely that is known, and its account's quota.

use std::time::Duration;

use bytes::Bytes;
use clock::{Boot, Instant};
use tokio::time::timeout;

use crate::{
    account::{Caller, Hello},
    catalog::Access,
    edge::Edge,
    message::Code,
    node::Node,
    outcome::Cause,
};

/// How long a caller waits for the first proof of an instance that has just started.
const FIRST_PROOF_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a caller is refused.
pub type Refusal = (Code, Cause);

/// Who a caller is that begins a session at `at`; `None` where nobody is asked.
///
/// # Errors
///
/// There is no such database, no account holds the caller's key, or it can't be proved that
/// one still does.
pub async fn authenticate<E: Edge>(
    node: &Node<E>,
    hello: &Hello,
    at: Instant,
) -> Result<Option<Caller>, Refusal> {
    let route = node.route(&hello.database);
    let Some(route) = route else {
        return Err((Code::NoDatabase, Cause::NoRoute));
    };
    if route.access == Access::Anyone {
        return Ok(None);
    }
    let Some(key) = hello.key else {
        return Err((Code::NoAccount, Cause::NoKey));
    };
    wait_for_proof(node, at).await?;
    let catalog = node.catalog();
    let Some(account) = catalog.accounts.by_key(&key) else {
        return Err((Code::NoAccount, Cause::NoKey));
    };
    let account = account.name.clone();
    Ok(Some(Caller { key, account }))
}

/// Waits until it is proved for the first time that the keys in force were not taken away.
///
/// An instance that has lost its proof refuses at once: it asks again and again, and its
/// callers are served sooner elsewhere.
async fn wait_for_proof<E: Edge>(node: &Node<E>, at: Instant) -> Result<(), Refusal> {
    let freshness = &node.freshness;
    let waiting = async {
        loop {
            let learnt = freshness.updated.notified();
            if node.is_fresh(at) || freshness.age(Boot.now()).is_some() {
                return;
            }
            freshness.requested.notify_one();
            learnt.await;
        }
    };
    let _ = timeout(FIRST_PROOF_TIMEOUT, waiting).await;
    match node.is_fresh(at) {
        true => Ok(()),
        false => Err((Code::Busy, Cause::Stale)),
    }
}

/// Whether `caller` may go on with a session on `database` at `at`.
///
/// # Errors
///
/// Its key was taken away or went to another account, or it can't be proved that it was not.
pub fn authorise<E: Edge>(
    node: &Node<E>,
    database: &Bytes,
    caller: Option<&Caller>,
    at: Instant,
) -> Result<(), Refusal> {
    let Some(route) = node.route(database) else {
        // It is refused where its route is looked for.
        return Ok(());
    };
    if route.access == Access::Anyone {
        return Ok(());
    }
    let Some(caller) = caller else {
        return Err((Code::NoAccount, Cause::NoKey));
    };
    let catalog = node.catalog();
    let holder = catalog.accounts.by_key(&caller.key);
    if holder.is_none_or(|account| account.name != caller.account) {
        return Err((Code::NoAccount, Cause::NoKey));
    }
    if !node.is_fresh(at) {
        node.freshness.requested.notify_one();
        return Err((Code::Busy, Cause::Stale));
    }
    Ok(())
}
