//! Floors of sessions, and the tokens that carry a floor between instances.
//!
//! A session may read from any upstream whose log has reached the session's floor.
//! A floor is derived from acknowledged positions and from rounds that a majority
//! of the group confirmed, never from reports of other instances.

mod floor;
mod round;
mod token;

pub use floor::{Confirmed, Event, Floor, Session, join};
pub use round::{Round, Start};
pub use token::{Error, Key, Keys, MAX_TEXT, Token, database_hash};
