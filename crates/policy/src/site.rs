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
    pub inter_zone_latency: Duration,
    /// One-way latency inside a zone.
    pub intra_zone_latency: Duration,
    /// One-way latency to callers.
    pub caller_latency: Duration,
    /// One-way latency to the platform's store.
    pub store_latency: Duration,
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
    pub connect_time: Duration,
    /// How long a statement takes on average, once it has a slot.
    pub service_time: Duration,
}

/// Booking for livery yards: four zones, few connections.
pub const STALGENOOT: Site = Site {
    name: "stalgenoot",
    zones: 4,
    inter_zone_latency: Duration::from_micros(1_500),
    intra_zone_latency: Duration::from_micros(300),
    caller_latency: Duration::from_millis(3),
    store_latency: Duration::from_millis(1),
    instances: 9,
    databases: 3,
    upstreams: 3,
    slots: 2,
    connections: 16,
    connect_time: Duration::from_millis(10),
    service_time: Duration::from_millis(2),
};

/// Requests to the archive's reading rooms: three zones, nobody watching.
pub const UMURAGE: Site = Site {
    name: "umurage",
    zones: 3,
    inter_zone_latency: Duration::from_micros(500),
    intra_zone_latency: Duration::from_micros(100),
    caller_latency: Duration::from_millis(1),
    store_latency: Duration::from_millis(1),
    instances: 9,
    databases: 3,
    upstreams: 3,
    slots: 2,
    connections: 35,
    connect_time: Duration::from_millis(10),
    service_time: Duration::from_millis(2),
};

/// Both deployments.
pub const SITES: [Site; 2] = [STALGENOOT, UMURAGE];
