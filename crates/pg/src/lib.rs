//! Frames of the PostgreSQL protocol, version 3.
//!
//! The proxy relays most messages without looking inside. This crate splits a
//! stream into [`Frame`]s and leaves the contents to the `pgwire` library.

mod codec;
mod front;
mod reply;

pub use codec::{Codec, Error, Frame, MAX_FRAME};
pub use front::{Front, Startup, decode, decode_startup};
pub use reply::{Reply, error, error_state, parameter, ready};
