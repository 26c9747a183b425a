//! Sizes and latencies of the two deployments.

use std::time::Duration;

/// Deployment as specified by its operator.
///
/// The operators don't specify the latency inside a zone and the service times.
/// These are assumptions, and the same for every router.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Name of the operator.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way latency between zones.
    pub inter_zone_latency: Duration,
    /// One-way latency inside a zone.
    pub intra_zone_latency: Duration,
    /// One-way latency to callers.
    pub caller_latency: Duration,
    /// One-way latency to the platform's store.
    pub store_latency: Duration,
    /// Number of instances, spread over the zones.
    pub instances: usize,
    /// Number of database groups.
    pub databases: usize,
    /// Upstreams per group, each in a zone of its own.
    pub upstreams: usize,
    /// Statements that an upstream runs concurrently.
    pub slots: u16,
    /// Connections that an upstream accepts.
    pub connections: u16,
    /// Time to open a connection.
    pub connect_time: Duration,
    /// Mean time that a statement takes once it has a slot.
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

/// Requests to the archive's reading rooms: three zones, run unattended.
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
