//! Messages of the PostgreSQL protocol, version 3.
//!
//! The proxy relays most messages without decoding them. This crate splits a
//! stream into [`Frame`]s and decodes or encodes bodies with the `pgwire` library.

mod codec;
mod front;
mod reply;

pub use codec::{Codec, Error, Frame, LoginCodec, MAX_FRAME, MAX_LOGIN};
pub use front::{Frontend, MAX_STARTUP, Startup, decode, decode_startup};
pub use reply::{Reply, error, error_state, fatal, parameter, ready};
