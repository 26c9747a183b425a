//! Grants operations from the quota shares that this instance owns.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use admit::{
    bucket::{Bucket, Limit},
    limiter::{Limiter, Shortage},
    service::Priority,
    shares::TOTAL_PARTS,
};
use clock::Boot;

use super::Answer;
use crate::{account::Quota, edge::Edge, node::Node, peers::heartbeat::Message};

/// Fraction of the tolerated excess by which all limiters together may exceed the quota at
/// once. Without that allowance, operations would be refused below the quota, because one
/// limiter has run out while another one still has some.
const BURST_FRACTION: f64 = 0.3;

/// Fraction of the tolerated excess that limiters have when they start: they don't know what
/// they granted before, and may start twice within a window.
const INITIAL_FRACTION: f64 = 0.3;

/// Interval at which refusals are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Grants and refusals of an account's operations of one priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    /// Operations granted.
    pub(crate) granted: u64,
    /// Requests of which no operation was granted.
    pub(crate) refused: u64,
    /// The two counts when they were last logged.
    logged: (u64, u64),
}

/// A request for operations of an account.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ask<'a> {
    /// Name of the account.
    pub(crate) account: &'a str,
    /// Priority of the operations; zero is the most urgent.
    pub(crate) priority: Priority,
    /// Number of operations.
    pub(crate) count: u32,
}

/// The limit of a share of `parts` thousandths, if `allowance` operations per window are
/// tolerated beyond the quota.
fn limit(quota: Quota, allowance: f64, parts: u16) -> Limit {
    let part = f64::from(parts) / f64::from(TOTAL_PARTS);
    Limit {
        rate: quota.rate * part,
        burst: ((quota.burst + allowance * BURST_FRACTION) * part).max(1.0),
        reserve: allowance * BURST_FRACTION * part,
    }
}

/// Answers an instance that requests operations of an account.
pub(crate) fn answer_request<E: Edge>(node: &Node<E>, id: u64, to: SocketAddr, ask: Ask<'_>) {
    // An immediate refusal lets the requester ask the next limiter.
    let no_share = Shortage::new(Duration::MAX, Duration::MAX);
    let answer = grant(node, ask).unwrap_or(Err(no_share));
    let shortage = answer.err();
    let reply = Message::QuotaGrant {
        id,
        count: answer.unwrap_or(0),
        wait: shortage.map_or(Duration::ZERO, |shortage| shortage.wait),
        retry: shortage.map_or(Duration::ZERO, |shortage| shortage.retry),
    };
    node.proofs.send(&reply, to);
}

/// Grants operations of an account, or returns `None` if this instance can't prove that it owns
/// a share of the account's quota.
pub(super) fn grant<E: Edge>(node: &Node<E>, ask: Ask<'_>) -> Option<Answer> {
    let account = ask.account;
    let quota = node.quota(account)?;
    let now = Boot.now();
    let shares = &node.shares;
    let parts = shares.parts(account, &node.settings.name, now);
    if parts == 0 || !node.freshness.covers(now, node.settings.agreement_ttl()) {
        return None;
    }
    let allowance = node
        .settings
        .slack
        .map_or(0.0, |slack| slack.allowance(quota));
    let limit = limit(quota, allowance, parts);
    let since = shares
        .owned_since
        .borrow()
        .get(account)
        .copied()
        .unwrap_or(now);
    let level = allowance * INITIAL_FRACTION * f64::from(parts) / f64::from(TOTAL_PARTS);
    let level = level.min(limit.burst);
    let mut limiters = shares.limiters.borrow_mut();
    let limiter = limiters.entry(account.to_owned());
    let limiter = limiter.or_insert_with(|| Limiter::new(Bucket::new(level, since)));
    limiter.resume(level, since);
    let priority = match node.features.get().account_shares {
        true => ask.priority,
        false => 0,
    };
    let granted = limiter.grant(limit, priority, ask.count, now);
    let mut tallies = shares.tallies.borrow_mut();
    let tallies = tallies.entry(account.to_owned()).or_default();
    let tally = tallies.entry(priority).or_default();
    match granted {
        Ok(count) => tally.granted += u64::from(count),
        Err(_) => tally.refused += 1,
    }
    Some(granted)
}

/// Logs the accounts for which operations were refused, at most once per [`LOG_INTERVAL`].
pub(super) fn log_refusals<E: Edge>(node: &Node<E>) {
    let shares = &node.shares;
    let now = Boot.now();
    if shares.logged_at.get() + LOG_INTERVAL > now {
        return;
    }
    shares.logged_at.set(now);
    drop_accounts(node);
    let mut all = shares.tallies.borrow_mut();
    for (account, tallies) in all.iter_mut() {
        let (mut given, mut refused) = (0, 0);
        let mut by_priority = String::new();
        for (priority, tally) in tallies.iter_mut() {
            let (granted_before, refused_before) = tally.logged;
            let new = (
                tally.granted - granted_before,
                tally.refused - refused_before,
            );
            tally.logged = (tally.granted, tally.refused);
            given += new.0;
            refused += new.1;
            let space = if by_priority.is_empty() { "" } else { " " };
            let _ = write!(by_priority, "{space}{priority}:{}/{}", new.0, new.1);
        }
        if refused > 0 {
            let parts = shares.table.borrow().parts(account, &node.settings.name);
            log::info!(account, parts, given, refused, by_priority; "quota used up");
        }
    }
}

/// Drops limiters and tallies of accounts that have no quota any more. A lost share's limiter stays
/// because it doesn't start anew if the share is regained.
fn drop_accounts<E: Edge>(node: &Node<E>) {
    let shares = &node.shares;
    let owned = shares.owned_since.borrow();
    let is_used = |account: &String| node.quota(account).is_some() || owned.contains_key(account);
    let mut limiters = shares.limiters.borrow_mut();
    limiters.retain(|account, _| is_used(account));
    let mut tallies = shares.tallies.borrow_mut();
    tallies.retain(|account, _| is_used(account));
}
