//! A caller's floor of positions, and the tokens that carry it between instances.
//!
//! A session may read from any upstream whose log has reached its floor. The
//! floor rests on acknowledged positions and on rounds that a majority of the
//! group confirmed, never on what other instances tell.

mod floor;
mod round;
mod token;

pub use floor::{Confirmed, Event, Floor, Session, join};
pub use round::{Round, Start};
pub use token::{Error, Key, Keys, MAX_TEXT, Token, database_hash};
