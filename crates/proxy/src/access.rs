//! Access control: authentication by account key, and proof that the key is still valid.

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

/// Time for which a caller waits for the first proof of an instance that has just started.
const FIRST_PROOF_TIMEOUT: Duration = Duration::from_millis(500);

/// Code and cause of a refusal.
pub type Refusal = (Code, Cause);

/// Authenticates the caller of a session that begins at `at`. Returns `None` if the route is open
/// to callers without a key.
///
/// # Errors
///
/// There is no such database, no account holds the caller's key, or the key can't be proved to be
/// valid still.
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

/// Waits for the first proof that the keys in force have not been revoked.
///
/// An instance that had a proof and has lost it refuses at once: it keeps asking for a new one, and
/// other instances serve its callers sooner.
async fn wait_for_proof<E: Edge>(node: &Node<E>, at: Instant) -> Result<(), Refusal> {
    let freshness = &node.freshness;
    let waiting = async {
        loop {
            let updated = freshness.updated.notified();
            if node.is_fresh(at) || freshness.age(Boot.now()).is_some() {
                return;
            }
            freshness.requested.notify_one();
            updated.await;
        }
    };
    let _ = timeout(FIRST_PROOF_TIMEOUT, waiting).await;
    match node.is_fresh(at) {
        true => Ok(()),
        false => Err((Code::Busy, Cause::Stale)),
    }
}

/// Checks that `caller` may continue a session on `database` at `at`.
///
/// # Errors
///
/// The caller's key was revoked or moved to another account, or can't be proved to be valid still.
pub fn authorise<E: Edge>(
    node: &Node<E>,
    database: &Bytes,
    caller: Option<&Caller>,
    at: Instant,
) -> Result<(), Refusal> {
    let Some(route) = node.route(database) else {
        // The lookup of the route refuses the statement later.
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
