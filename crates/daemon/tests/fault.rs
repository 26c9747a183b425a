//! A duty that ends by a fault of the program's own.

use std::sync::Mutex;

use daemon::duty::{Duty, on_panic};

/// The duties that were told to have ended.
static REPORTED: Mutex<Vec<&str>> = Mutex::new(Vec::new());

/// Symptom: an instance that others find dead goes on for hours, and its callers
/// wait to their deadlines. Events: one of its threads ends by a fault; the
/// others run on. Cause: nobody was told, and the process stayed.
#[test]
fn a_panicked_duty_is_reported_and_a_finished_one_is_not() {
    on_panic(|name| REPORTED.lock().unwrap().push(name));
    let done = Duty::spawn("done", || async {}).unwrap();
    let fault = Duty::spawn("fault", || async { panic!("on purpose") }).unwrap();
    done.join();
    fault.join();
    assert_eq!(*REPORTED.lock().unwrap(), ["fault"]);
}
