//! Clock that includes the time for which the machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::Instant;

/// Time since the machine was booted, suspensions included (`CLOCK_BOOTTIME`).
///
/// The monotonic clock stops while a machine is suspended. A lease or another proof measured
/// with it would outlive its span by that time, and its holder would wake up with a right that
/// it has lost. The time of day includes suspensions too, but can jump. This clock does
/// neither.
///
/// ```
/// let clock = clock::Boot;
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Boot;

impl Boot {
    /// The current moment.
    pub fn now(self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Instant::ZERO + Duration::new(seconds, nanos)
    }
}
