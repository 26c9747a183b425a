//! Whether this process stood still.

use std::time::Duration;

use clock::Boot;
use tokio::time::sleep;

/// How often it is looked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// From how much delay on it is told: less is a busy machine.
const MIN_LOGGED_STALL: Duration = Duration::from_millis(700);

/// Tells each time when the process stood still: frozen, suspended, or kept from
/// its processor. Nothing else in its log says so, and what its callers sent
/// meanwhile ended without a line.
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
