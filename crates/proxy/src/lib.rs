//! One proxy instance, which runs on one thread.
//!
//! A statement takes one path: [`session`] reads it from its caller, [`routing`] and [`run`] choose
//! the upstream that runs it, and [`connection`] carries it there and its answer back. [`control`]
//! keeps the data for these decisions (catalogue, upstreams, proofs) in [`node::Node`], and
//! [`takeover`] replaces primaries. The traits in [`edge`] are the interface to everything outside
//! the process; another protocol, store or platform is an implementation of them.

pub mod access;
pub mod account;
mod assignment;
pub mod catalog;
pub mod catalog_lag;
pub mod catalog_sends;
pub mod connection;
pub mod control;
pub mod counted;
pub mod delta;
pub mod edge;
pub mod features;
pub mod freshness;
pub mod group;
mod leaves;
pub mod load;
pub mod member;
pub mod message;
pub mod metrics;
pub mod mirror;
pub mod node;
pub mod outcome;
pub mod peers;
pub mod pool;
mod presence;
pub mod probe;
pub mod proof_lease;
pub mod proofs;
pub mod reach;
pub mod refusal;
pub mod registry;
mod relay;
pub mod remote;
pub mod routing;
pub mod run;
pub mod serve;
pub mod session;
pub mod session_state;
pub mod settings;
pub mod shares;
mod stall;
pub mod takeover;
pub mod transaction;
pub mod work;

pub use edge::Edge;
pub use node::Node;
pub use settings::Settings;
