//! Deletion of expired rows from the ledgers of request ids.
//!
//! Without deletion a ledger grows without bound. The instance that holds the
//! first seat of a database's primary cleans its ledger. If two instances both
//! believe that they hold it, they delete the same expired rows, which does no
//! harm.

use std::{rc::Weak, time::Duration};

use ntex::time::sleep;
use request::ledger;

use super::{Core, group::Group};

/// Time from an instance's start to its first cleaning.
const INITIAL_DELAY: Duration = Duration::from_secs(2);

/// Cleans a database's ledger periodically until the group is dropped.
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

/// Deletes expired rows if this instance is responsible, and returns the time
/// to wait until the next cleaning.
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
