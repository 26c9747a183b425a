//! Settings of a world.

/// Maximum number of zones.
pub(crate) const ZONES: usize = 10;

/// Settings of a world.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Number of instances.
    pub nodes: usize,
    /// Number of zones; [`Setup::sized`] uses at most one per three instances.
    pub zones: usize,
    /// Seed of the random choices.
    pub seed: u64,
    /// Share of datagrams lost.
    pub loss: f64,
}

impl Setup {
    /// Settings of a world of `nodes` instances in up to ten zones.
    pub fn sized(nodes: usize, seed: u64) -> Self {
        Self {
            nodes,
            zones: (nodes / 3).clamp(1, ZONES),
            seed,
            loss: 0.0,
        }
    }
}
