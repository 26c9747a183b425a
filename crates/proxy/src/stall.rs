//! Detects stalls of the process.

use std::time::Duration;

use clock::Boot;
use tokio::time::sleep;

/// Interval at which the clock is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum delay that is logged. Shorter delays are normal on a busy machine.
const MIN_LOGGED_STALL: Duration = Duration::from_millis(700);

/// Logs each stall of the process, for example because it was frozen or suspended, or got no
/// processor time. Requests that callers sent during a stall may end without any other log
/// line.
pub(crate) async fn watch() {
    loop {
        let before = Boot.now();
        sleep(CHECK_INTERVAL).await;
        let late = Boot.now().since(before).saturating_sub(CHECK_INTERVAL);
        if late >= MIN_LOGGED_STALL {
            let ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            log::warn!(ms; "stood still");
        }
    }
}
