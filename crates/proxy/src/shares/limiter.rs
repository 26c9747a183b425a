//! Grants operations from the quota shares that this instance owns.

use std::{net::SocketAddr, time::Duration};

use admit::{
    bucket::{Bucket, Limit},
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

/// Grants and refusals of one account.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tally {
    given: u32,
    refused: u32,
}

/// The limit of a share of `parts` thousandths, if `allowance` operations per window are
/// tolerated beyond the quota.
fn limit(quota: Quota, allowance: f64, parts: u16) -> Limit {
    let part = f64::from(parts) / f64::from(TOTAL_PARTS);
    Limit {
        rate: quota.rate * part,
        burst: ((quota.burst + allowance * BURST_FRACTION) * part).max(1.0),
    }
}

/// Answers an instance that requests operations of an account.
pub(crate) fn answer_request<E: Edge>(
    node: &Node<E>,
    id: u64,
    to: SocketAddr,
    account: &str,
    count: u32,
) {
    // An immediate refusal lets the requester ask the next limiter.
    let refusal = Answer {
        count: 0,
        wait: Duration::MAX,
    };
    let answer = grant(node, account, count).unwrap_or(refusal);
    let reply = Message::QuotaGrant {
        id,
        count: answer.count,
        wait: answer.wait,
    };
    node.proofs.send(&reply, to);
}

/// Grants up to `count` operations of an account, or returns `None` if this instance can't
/// prove that it owns a share of the account's quota.
pub(super) fn grant<E: Edge>(node: &Node<E>, account: &str, count: u32) -> Option<Answer> {
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
    let mut buckets = shares.buckets.borrow_mut();
    let bucket = buckets.entry(account.to_owned()).or_insert_with(|| {
        let level = allowance * INITIAL_FRACTION * f64::from(parts) / f64::from(TOTAL_PARTS);
        Bucket::new(level.min(limit.burst), since)
    });
    let mut answer = Answer {
        count: 0,
        wait: Duration::ZERO,
    };
    while answer.count < count {
        match bucket.take(limit, now, Duration::ZERO) {
            Ok(_) => answer.count += 1,
            Err(wait) => {
                answer.wait = wait;
                break;
            }
        }
    }
    let mut tallies = shares.tallies.borrow_mut();
    let tally = tallies.entry(account.to_owned()).or_default();
    tally.given += answer.count;
    tally.refused += u32::from(answer.count == 0);
    Some(answer)
}

/// Logs the accounts for which operations were refused, at most once per [`LOG_INTERVAL`].
pub(super) fn log_refusals<E: Edge>(node: &Node<E>) {
    let shares = &node.shares;
    let now = Boot.now();
    if shares.logged_at.get() + LOG_INTERVAL > now {
        return;
    }
    shares.logged_at.set(now);
    for (account, tally) in shares.tallies.take() {
        if tally.refused > 0 {
            let parts = shares.table.borrow().parts(&account, &node.settings.name);
            let (given, refused) = (tally.given, tally.refused);
            log::info!(account, parts, given, refused; "quota used up");
        }
    }
}
