//! What a world is opened with.

/// The most zones.
pub(crate) const ZONES: usize = 10;

/// What a world is opened with.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// How many instances.
    pub nodes: usize,
    /// Over how many zones; at most one per three instances is used by
    /// [`Setup::sized`].
    pub zones: usize,
    /// Where its random choices start.
    pub seed: u64,
    /// The share of datagrams that is lost.
    pub loss: f64,
}

impl Setup {
    /// A world of `nodes` instances over up to ten zones.
    pub fn sized(nodes: usize, seed: u64) -> Self {
        Self {
            nodes,
            zones: (nodes / 3).clamp(1, ZONES),
            seed,
            loss: 0.0,
        }
    }
}
