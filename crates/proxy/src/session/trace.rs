//! Log lines of a session's statements.

use std::{io, time::Duration};

use clock::Boot;

use super::statement::Session;
use crate::{
    catalog::Route, edge::Edge, group::ProofSource, message::Query, node::Node, outcome::Outcome,
    reach::plain,
};

/// Interval between two log lines of reads that succeeded in time.
const UNUSUAL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns true if a read ran on a primary that only its group proves, or on a log whose last commit
/// is of another term than the known primary's: what tells how an outdated copy came about. At most
/// one such read is logged in each [`UNUSUAL_INTERVAL`].
pub(super) fn is_unusual<E: Edge>(node: &Node<E>, route: &Route, outcome: &Outcome) -> bool {
    let (Some(origin), Some(position)) = (&outcome.origin, outcome.position) else {
        return false;
    };
    let group = node.group_of(&route.service);
    let is_by_members = origin.floor.is_none()
        && matches!(
            group.proved_by(),
            Some((ProofSource::Majority | ProofSource::Unanimity, _))
        );
    let is_of_term = group
        .primary()
        .is_some_and(|(_, term)| term == position.term);
    if is_of_term && !is_by_members {
        return false;
    }
    let now = Boot.now();
    let is_due = node.unusual_read_at.get() + UNUSUAL_INTERVAL <= now;
    if is_due {
        node.unusual_read_at.set(now);
    }
    is_due
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Session {
    /// Logs a refused, failed or slow statement with the state that decided its outcome.
    pub(super) fn log_statement<E: Edge>(
        &self,
        node: &Node<E>,
        query: &Query,
        route: Option<&Route>,
        outcome: &Outcome,
        duration: Duration,
    ) {
        let now = Boot.now();
        let group = route.map(|route| node.group_of(&route.service));
        let known = group.as_ref().and_then(|group| group.stored_record());
        let proof = group.as_ref().and_then(|group| group.proved_by());
        let origin = outcome.origin.as_ref();
        let floor = origin.and_then(|origin| origin.floor);
        let sampled_at = group.as_ref().zip(floor);
        let sampled_at = sampled_at.and_then(|(group, floor)| group.sampled_at(floor));
        let left = group.map_or(Duration::ZERO, |group| group.proof().until().since(now));
        let (code, cause) = match outcome.failure {
            Some((code, cause)) => (Some(code), Some(cause)),
            None => (None, None),
        };
        log::info!(
            request = &*String::from_utf8_lossy(&query.id),
            transaction = &*self.transaction_ids(),
            database = &*String::from_utf8_lossy(&self.database),
            account = self.account.as_deref().unwrap_or(""),
            route = route.map_or("", |route| &*route.name),
            service = route.map_or("", |route| &*route.service),
            freshness:? = route.map(|route| route.freshness),
            statement = query.statement.kind(),
            state:? = outcome.state,
            code:?, cause:?,
            ms = millis(duration),
            refused = outcome.attempts.refused,
            unconnected = outcome.attempts.unconnected,
            lost = outcome.attempts.lost,
            catalogue = node.catalog().version,
            term = known.as_ref().map_or(0, |known| known.record.term.0),
            upstream = known.as_ref().map_or("", |known| &*known.record.upstream),
            phase:? = known.as_ref().map(|known| known.record.phase),
            proof_left_ms = millis(left),
            proof:? = proof.map(|(source, _)| source),
            proof_age_ms = proof.map(|(_, since)| millis(now.since(since))),
            ran_at = origin.map_or("", |origin| &*origin.upstream),
            position:? = outcome.position.map(plain),
            floor:? = floor.map(plain),
            floor_age_ms = sampled_at.map(|at| millis(now.since(at))),
            store_silent_ms = millis(now.since(node.store_contact_at.get()));
            "statement"
        );
    }

    /// Logs a statement whose answer could not be sent to its caller.
    pub(super) fn log_lost_answer(&self, query: &Query, error: &io::Error) {
        log::info!(
            request = &*String::from_utf8_lossy(&query.id),
            transaction = &*self.transaction_ids(),
            database = &*String::from_utf8_lossy(&self.database),
            error:%;
            "answer lost"
        );
    }

    /// Returns the ids of the transaction's statements, so that an answered statement can be traced
    /// to the failed commit.
    fn transaction_ids(&self) -> String {
        let ids: Vec<_> = self
            .ids
            .iter()
            .map(|id| String::from_utf8_lossy(id))
            .collect();
        ids.join(" ")
    }
}
