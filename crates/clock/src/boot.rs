//! A clock that counts the time for which the machine was suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::Instant;

/// The time since the machine was started, suspensions included.
///
/// The monotonic clock stands still while a machine is suspended. A proof with a
/// span, such as a lease, that is measured with it outlives its span by as much:
/// the holder wakes up and believes that it still has the right it lost. The time
/// of day counts a suspension too, but jumps. This clock does neither.
///
/// ```
/// let clock = clock::Boot;
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Boot;

impl Boot {
    /// The moment it is.
    pub fn now(self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Instant::ZERO + Duration::new(seconds, nanos)
    }
}
