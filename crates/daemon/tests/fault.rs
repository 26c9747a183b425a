//! A duty that ends with a panic.

use std::sync::Mutex;

use daemon::duty::{Duty, on_panic};

/// Names of the duties reported as failed.
static REPORTED: Mutex<Vec<&str>> = Mutex::new(Vec::new());

/// Guards against an instance that stays up without one of its duties: its
/// callers would wait until their deadlines. A duty's thread panics while the
/// others go on, so the panic must be reported.
#[test]
fn a_panicked_duty_is_reported_and_a_finished_one_is_not() {
    on_panic(|name| REPORTED.lock().unwrap().push(name));
    let done = Duty::spawn("done", || async {}).unwrap();
    let fault = Duty::spawn("fault", || async { panic!("on purpose") }).unwrap();
    done.join();
    fault.join();
    assert_eq!(*REPORTED.lock().unwrap(), ["fault"]);
}
