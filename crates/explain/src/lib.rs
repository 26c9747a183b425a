//! Finds out from the instances' logs what became of a request.
//!
//! The lines are those of `docs/LOGS.md`. They may come from several instances,
//! in any order, cut short, and behind whatever a collector puts before them.

mod cause;
mod diagnosis;
mod line;
mod outage;

pub use diagnosis::{Diagnosis, diagnose};
pub use line::{Line, Log, parse};
