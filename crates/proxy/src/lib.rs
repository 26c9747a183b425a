//! One instance's whole path on one thread.
//!
//! A statement goes one way: [`session`] reads it from its caller, [`place`] and [`run`] decide
//! where it may run and [`line`] carries it there and back. [`control`] keeps what
//! these decide with (catalogue, upstreams, proofs) in [`node::Node`], and
//! [`takeover`] replaces primaries. What is outside of the process is met at the
//! edges in [`edge`]; another protocol, store or platform is put there.

pub mod access;
pub mod account;
pub mod catalog;
pub mod connection;
pub mod control;
pub mod counted;
pub mod edge;
pub mod era;
pub mod freshness;
pub mod group;
mod holding;
pub mod member;
pub mod message;
pub mod metrics;
pub mod mirror;
pub mod news;
pub mod node;
pub mod outcome;
pub mod peers;
pub mod pool;
mod presence;
pub mod probe;
pub mod proofs;
pub mod refusal;
mod relay;
pub mod remote;
pub mod roster;
pub mod routing;
pub mod run;
pub mod serve;
pub mod session;
pub mod session_state;
pub mod settings;
pub mod shares;
mod still;
pub mod takeover;
pub mod transaction;
pub mod work;

pub use edge::Edge;
pub use node::Node;
pub use settings::Settings;
