//! A suite of all checkers.

use clock::Instant;

use crate::{
    AtMostOnce, Delivery, Durability, Event, Fencing, Leaving, Limit, NotRun, Pinning,
    ReadYourWrites, Revision, Shutdown, Staleness, Violation,
};

/// All checkers, applied to one history.
///
/// ```
/// use check::{Event, Suite, Violation};
/// use clock::Instant;
/// use model::name::Instance;
///
/// let mut suite = Suite::default();
/// let instance = Instance::new("a1").unwrap();
/// for revision in [1, 2] {
///     suite.observe(Instant::ZERO, &Event::Accepted { revision });
/// }
/// for revision in [2, 1] {
///     let instance = instance.clone();
///     suite.observe(Instant::ZERO, &Event::Applied { instance, revision });
/// }
/// assert!(matches!(suite.violations(), [Violation::Reverted { from: 2, to: 1, .. }]));
/// ```
#[derive(Debug, Default)]
pub struct Suite {
    read_your_writes: ReadYourWrites,
    staleness: Staleness,
    fencing: Fencing,
    pinning: Pinning,
    delivery: Delivery,
    not_run: NotRun,
    at_most_once: AtMostOnce,
    leaving: Leaving,
    shutdown: Shutdown,
    revision: Revision,
    durability: Durability,
    limit: Limit,
    violations: Vec<Violation>,
    events: u64,
}

impl Suite {
    /// Passes one event to every checker.
    pub fn observe(&mut self, at: Instant, event: &Event) {
        self.events += 1;
        let found = &mut self.violations;
        found.extend(self.read_your_writes.observe(event));
        found.extend(self.staleness.observe(event));
        found.extend(self.fencing.observe(event));
        found.extend(self.pinning.observe(event));
        found.extend(self.delivery.observe(event));
        found.extend(self.not_run.observe(event));
        found.extend(self.at_most_once.observe(event));
        found.extend(self.leaving.observe(at, event));
        found.extend(self.shutdown.observe(event));
        found.extend(self.revision.observe(event));
        found.extend(self.durability.observe(event));
        found.extend(self.limit.observe(event));
    }

    /// Violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of acknowledged writes that were lost.
    pub fn lost(&self) -> usize {
        let lost = |v: &&Violation| matches!(v, Violation::Lost { .. });
        self.violations.iter().filter(lost).count()
    }

    /// Number of events processed.
    pub fn events(&self) -> u64 {
        self.events
    }
}
