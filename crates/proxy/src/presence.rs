//! Log lines about instances that are heard or silent, and about lost callers.

use std::cell::Cell;

use crate::peers::Changes;

/// Logs the instances that are newly heard, and those newly silent.
///
/// One line names all of them, since a lost zone is one event.
pub(crate) fn log_changes(mut changes: Changes) {
    for (names, what) in [
        (&mut changes.joined, "peers heard"),
        (&mut changes.silent, "peers silent"),
    ] {
        if names.is_empty() {
            continue;
        }
        names.sort();
        log::info!(names = &*names.join(" "); "{what}");
    }
}

/// Logs how many callers' connections broke since the last call.
pub(crate) fn log_lost_callers(count: &Cell<usize>) {
    let lost = count.take();
    if lost > 0 {
        log::info!(sessions = lost; "callers lost");
    }
}
