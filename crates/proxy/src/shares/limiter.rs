//! What this instance gives of the quotas that it keeps.

use std::{net::SocketAddr, time::Duration};

use admit::{
    bucket::{Bucket, Limit},
    shares::TOTAL_PARTS,
};
use clock::Boot;

use super::Answer;
use crate::{account::Quota, edge::Edge, node::Node, peers::heartbeat::Message};

/// The part of what a quota may be exceeded by that all keepers together have at once beside
/// it: what one refuses that another could give is refused below the limit.
const BURST_FRACTION: f64 = 0.3;

/// The part of it that they have when they start: they don't know what they gave before, and
/// may start twice within a window.
const INITIAL_FRACTION: f64 = 0.3;

/// How often it is told what was refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a keeper gave of an account's quota, and what it refused.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Tally {
    given: u32,
    refused: u32,
}

/// What a keeper may give of a quota, if its share is `parts` and `spare` operations of a
/// window may be beyond the quota.
fn limit(quota: Quota, spare: f64, parts: u16) -> Limit {
    let part = f64::from(parts) / f64::from(TOTAL_PARTS);
    Limit {
        rate: quota.rate * part,
        burst: ((quota.burst + spare * BURST_FRACTION) * part).max(1.0),
    }
}

/// Answers an instance that asks for operations of an account.
pub(crate) fn answer_request<E: Edge>(
    node: &Node<E>,
    id: u64,
    to: SocketAddr,
    account: &str,
    count: u32,
) {
    // Whoever hears at once that this instance keeps it no more asks the next one.
    let unable = Answer {
        count: 0,
        wait: Duration::MAX,
    };
    let answer = grant(node, account, count).unwrap_or(unable);
    let reply = Message::QuotaGrant {
        id,
        count: answer.count,
        wait: answer.wait,
    };
    node.proofs.send(&reply, to);
}

/// Gives up to `count` operations of an account that this instance keeps; `None` if it can't
/// prove that it does.
pub(super) fn grant<E: Edge>(node: &Node<E>, account: &str, count: u32) -> Option<Answer> {
    let quota = node.quota(account)?;
    let now = Boot.now();
    let shares = &node.shares;
    let parts = shares.parts(account, &node.settings.name, now);
    if parts == 0 || !node.freshness.covers(now, node.settings.agreement_ttl()) {
        return None;
    }
    let spare = node.settings.slack.map_or(0.0, |slack| slack.spare(quota));
    let limit = limit(quota, spare, parts);
    let since = shares
        .owned_since
        .borrow()
        .get(account)
        .copied()
        .unwrap_or(now);
    let mut buckets = shares.buckets.borrow_mut();
    let bucket = buckets.entry(account.to_owned()).or_insert_with(|| {
        let level = spare * INITIAL_FRACTION * f64::from(parts) / f64::from(TOTAL_PARTS);
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

/// Tells once in a while of which accounts this instance had to refuse something.
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
