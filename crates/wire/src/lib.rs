//! Frames between instances: messages, authentication and replay protection.
//!
//! An [`Endpoint`] converts a [`Message`] into a datagram and back, a
//! [`Stream`] into a frame on a TCP connection and back. Every frame carries
//! the format's number, a key's id, its sender, the sender's incarnation and a
//! sequence number, and is authenticated with HMAC-SHA-256 truncated to
//! [`TAG_LEN`] bytes. No frame is decoded before its tag was verified.

mod endpoint;
mod error;
mod frame;
mod key;
mod message;
mod previous;
mod replay;
mod stream;

pub use endpoint::{Endpoint, Frame};
pub use error::Error;
pub use frame::{DATAGRAM_MAX, Format, Header, STREAM_MAX, TAG_LEN};
pub use key::{Key, KeyError, Ring};
pub use message::{
    Change, Delta, Evidence, Mark, Message, Node, Part, Record, Revision, State, Update, Verdict,
    View,
};
pub use stream::{Side, Stream};

/// Length in bytes of `message` in the newest format, without its frame.
pub fn len(message: &Message) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(usize::MAX)
}

/// Maximum bytes that a frame adds to its message.
pub const FRAME_LEN: usize = frame::PREFIX_LEN + frame::HEADER_MAX + TAG_LEN;
