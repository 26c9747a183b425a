//! The sizes and latencies of the two deployments.

use std::time::Duration;

/// One deployment, as its operator states it.
///
/// The latency inside a zone and the service times are not stated; they are
/// assumed here, and every router is measured under the same.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// The operator.
    pub name: &'static str,
    /// Availability zones.
    pub zones: usize,
    /// One-way latency between zones.
    pub between: Duration,
    /// One-way latency inside a zone.
    pub inside: Duration,
    /// One-way latency to callers.
    pub callers: Duration,
    /// One-way latency to the platform's store.
    pub store: Duration,
    /// Entry instances, spread over the zones.
    pub instances: usize,
    /// Database groups.
    pub databases: usize,
    /// Upstreams of each group, each in a zone of its own.
    pub upstreams: usize,
    /// Statements that an upstream runs at once.
    pub slots: u16,
    /// Connections that an upstream accepts.
    pub connections: u16,
    /// How long opening a connection takes.
    pub connect: Duration,
    /// How long a statement takes on average, once it has a slot.
    pub service: Duration,
}

/// Booking for livery yards: four zones, few connections.
pub const STALGENOOT: Site = Site {
    name: "stalgenoot",
    zones: 4,
    between: Duration::from_micros(1_500),
    inside: Duration::from_micros(300),
    callers: Duration::from_millis(3),
    store: Duration::from_millis(1),
    instances: 9,
    databases: 3,
    upstreams: 3,
    slots: 2,
    connections: 16,
    connect: Duration::from_millis(10),
    service: Duration::from_millis(2),
};

/// Requests to the archive's reading rooms: three zones, nobody watching.
pub const UMURAGE: Site = Site {
    name: "umurage",
    zones: 3,
    between: Duration::from_micros(500),
    inside: Duration::from_micros(100),
    callers: Duration::from_millis(1),
    store: Duration::from_millis(1),
    instances: 9,
    databases: 3,
    upstreams: 3,
    slots: 2,
    connections: 35,
    connect: Duration::from_millis(10),
    service: Duration::from_millis(2),
};

/// Both deployments.
pub const SITES: [Site; 2] = [STALGENOOT, UMURAGE];
