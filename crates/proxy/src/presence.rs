//! Who is heard, told in the log when it changes.

use std::cell::Cell;

use crate::peers::Changes;

/// Tells who is heard now and was not before, and the other way round.
///
/// One line for all of them: a zone that is lost is one piece of news.
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

/// Tells how many callers' connections broke since the last time.
pub(crate) fn log_lost_callers(count: &Cell<usize>) {
    let lost = count.take();
    if lost > 0 {
        log::info!(sessions = lost; "callers lost");
    }
}
