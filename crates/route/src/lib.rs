//! Chooses upstreams for reads and verifies that the answers are fresh enough.
//!
//! [`Router`] chooses by what this instance has observed, which may be out of date.
//! Every answer is therefore verified by a position queried on the same connection
//! ([`Router::verify`]). [`statement`] classifies statements as reads or writes, and
//! [`KnownWrites`] holds those that were taken for reads and proved to write.

mod choose;
mod confirm;
mod history;
mod known_writes;
mod lex;
mod node;
mod policy;
mod read;
mod router;
pub mod statement;
pub mod tag;
mod trend;
mod verify;

pub use confirm::{Answer, newest_round, position};
pub use history::History;
pub use known_writes::{KnownWrites, READ_ONLY};
pub use node::{Breaker, Load, Member, State};
pub use policy::{Exact, Policy};
pub use read::{Choice, Read, Trust};
pub use router::{Conf, Event, Router};
pub use verify::{Target, Verdict, verify};
