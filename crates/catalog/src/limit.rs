//! The bounds of each number in a catalogue.

use std::ops::RangeInclusive;

/// Statements that an upstream runs at once.
pub const SLOTS: RangeInclusive<u32> = 1..=1_000;

/// Connections to an upstream, or of an entry.
pub const CONNECTIONS: RangeInclusive<u32> = 1..=10_000;

/// Requests of an entry that wait at one instance.
pub const QUEUE: RangeInclusive<u32> = 0..=100_000;

/// Milliseconds that a request may take: up to an hour.
pub const DEADLINE_MS: RangeInclusive<u32> = 1..=3_600_000;

/// Milliseconds that a read may be old: up to an hour.
///
/// Zero is refused: replication is asynchronous, so no replica could ever
/// serve such a read; `current` says what is meant.
pub const STALENESS_MS: RangeInclusive<u32> = 1..=3_600_000;
