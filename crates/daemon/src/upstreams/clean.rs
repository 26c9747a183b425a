//! Cleaning the ledgers of request ids.
//!
//! The ledger would otherwise grow for ever. Each database is cleaned by the
//! instance that holds the first seat of its primary; two that both believe so
//! delete the same old rows, which does no harm.

use std::{rc::Weak, time::Duration};

use ntex::time::sleep;
use request::ledger;

use super::{Core, group::Group};

/// How long after its start an instance cleans for the first time.
const INITIAL_DELAY: Duration = Duration::from_secs(2);

/// Cleans a database's ledger again and again, as long as the group is there.
pub(super) async fn serve(core: Weak<Core>, group: Weak<Group>) {
    let mut pause = INITIAL_DELAY;
    loop {
        sleep(pause).await;
        let (Some(core), Some(group)) = (core.upgrade(), group.upgrade()) else {
            return;
        };
        pause = clean(&core, &group).await;
    }
}

/// Deletes what is old, if that is for this instance to do; returns how long
/// to wait until the next time.
async fn clean(core: &Core, group: &Group) -> Duration {
    let primary = group.router.borrow().primary().cloned();
    let member = primary.and_then(|it| group.member(&it));
    let Some(member) = member.filter(|it| it.has_first_seat()) else {
        return ledger::CLEAN_INTERVAL;
    };
    let statement = ledger::clean(core.clock.since_epoch());
    match member.control.execute(statement).await {
        Ok(deleted) => {
            metrics::counter!("dandelionlink_request_ids_cleaned_total").increment(deleted);
            ledger::next_cleaning(deleted)
        }
        Err(_) => ledger::CLEAN_INTERVAL,
    }
}
