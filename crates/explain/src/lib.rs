//! Diagnosis of a request's outcome from the logs of the instances.
//!
//! `docs/LOGS.md` describes the lines. The lines may come from several instances, in any
//! order, truncated, and behind prefixes that a log collector adds.

mod cause;
mod diagnosis;
mod line;
mod outage;

pub use diagnosis::{Diagnosis, diagnose};
pub use line::{Line, Log, parse};
