//! Whether a caller may ask: its key, how surely that is known, and its account's quota.

use bytes::Bytes;
use clock::Instant;

use crate::{
    account::{Caller, Hello},
    catalog::Access,
    edge::Edge,
    message::Code,
    node::Node,
    outcome::Cause,
};

/// Why a caller is refused.
pub type Refused = (Code, Cause);

/// Who a caller is that begins a session at `at`; `None` where nobody is asked.
///
/// # Errors
///
/// There is no such database, or no account holds the caller's key.
pub async fn enter<E: Edge>(
    node: &Node<E>,
    hello: &Hello,
    _at: Instant,
) -> Result<Option<Caller>, Refused> {
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
    let catalog = node.catalog();
    let Some(account) = catalog.accounts.holder(&key) else {
        return Err((Code::NoAccount, Cause::NoKey));
    };
    let account = account.name.clone();
    Ok(Some(Caller { key, account }))
}

/// Whether `caller` may go on with a session on `database` at `at`.
///
/// # Errors
///
/// Its key was taken away or went to another account.
pub fn admit<E: Edge>(
    node: &Node<E>,
    database: &Bytes,
    caller: Option<&Caller>,
    _at: Instant,
) -> Result<(), Refused> {
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
    let holder = catalog.accounts.holder(&caller.key);
    if holder.is_none_or(|account| account.name != caller.account) {
        return Err((Code::NoAccount, Cause::NoKey));
    }
    Ok(())
}

/// Counts an operation of `account`.
///
/// # Errors
///
/// The account has asked for as much as it may.
pub async fn count<E: Edge>(_node: &Node<E>, _account: &str, _at: Instant) -> Result<(), Cause> {
    Ok(())
}
