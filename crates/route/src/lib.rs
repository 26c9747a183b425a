//! Which upstream a read goes to, and the proof that its answer is fresh enough.
//!
//! [`Router`] is told what this instance observes and chooses; what it chooses
//! by may be old or wrong, so every answer is judged again by a position asked
//! for on the same connection ([`Router::verify`]). [`statement`] tells reads
//! from writes, and [`KnownWrites`] remembers where that was wrong.

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
