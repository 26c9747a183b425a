//! Ranges of the numbers in a catalogue.

use std::ops::RangeInclusive;

/// Statements that an upstream runs concurrently.
pub const SLOTS: RangeInclusive<u32> = 1..=1_000;

/// Connections to an upstream or of an entry.
pub const CONNECTIONS: RangeInclusive<u32> = 1..=10_000;

/// Requests of an entry that wait at one instance.
pub const QUEUE: RangeInclusive<u32> = 0..=100_000;

/// Deadline of a request in milliseconds, up to one hour.
pub const DEADLINE_MS: RangeInclusive<u32> = 1..=3_600_000;

/// Maximum age of a read in milliseconds, up to one hour.
///
/// Zero is rejected: replication is asynchronous, so no replica could ever
/// serve such a read, and `current` expresses the intent.
pub const STALENESS_MS: RangeInclusive<u32> = 1..=3_600_000;
