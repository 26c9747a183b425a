//! The failover state machine against a simulated group in virtual time.

mod broken_variants;
mod chart;
mod full_upstream;
mod gap;
mod random_faults;
mod scenarios;
mod world;
