//! Splits a byte stream into protocol messages: a tag, a length and a body.

use ntex::{
    codec::{Decoder, Encoder},
    util::{BufMut, Bytes, BytesMut},
};

/// Largest message that is accepted from a caller or an upstream, in bytes.
///
/// Without a limit, a single connection could claim memory without bound.
pub const MAX_FRAME: usize = 16 << 20;

/// Largest message that is accepted from a caller during login, in bytes.
pub const MAX_LOGIN: usize = 4 << 10;

/// Size of the tag and the length field, in bytes.
const HEADER: usize = 5;

/// Reasons why bytes are not a valid message of the protocol.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The length field is smaller than the field itself.
    #[error("a message of type {tag:?} says that it has {length} bytes")]
    Short {
        /// Type of the message.
        tag: char,
        /// Value of the length field.
        length: u32,
    },
    /// The message exceeds the size limit.
    #[error("a message of type {tag:?} has {length} bytes, the most is {most}")]
    Oversized {
        /// Type of the message.
        tag: char,
        /// Value of the length field.
        length: u32,
        /// Largest size that is accepted, in bytes.
        most: usize,
    },
    /// The body does not have the layout of the message's type.
    #[error("a message of type {tag:?} is malformed: {what}")]
    Malformed {
        /// Type of the message.
        tag: char,
        /// Description of the fault.
        what: &'static str,
    },
    /// A message of this type must not be sent to this side.
    #[error("a message of type {0:?} is not expected here")]
    Unexpected(char),
    /// The connection failed.
    #[error("the connection broke: {0}")]
    Io(#[from] std::io::Error),
}

/// One message with its tag, length field and body as received.
#[derive(Debug, Clone)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// Type of the message.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// The bytes behind the length field.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER..]
    }

    /// The whole message as sent on the wire.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Splits a stream into [`Frame`]s and writes messages that are already encoded.
#[derive(Debug, Clone, Copy, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Frame>, Error> {
        split(src, MAX_FRAME)
    }
}

/// Splits the messages of a login, which are limited to [`MAX_LOGIN`].
///
/// With the limit of [`Codec`], an unauthenticated caller could make the proxy
/// buffer [`MAX_FRAME`] bytes on each of its connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoginCodec;

impl Decoder for LoginCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Frame>, Error> {
        split(src, MAX_LOGIN)
    }
}

/// Removes a message of at most `most` bytes from `src` if `src` holds all of it.
fn split(src: &mut BytesMut, most: usize) -> Result<Option<Frame>, Error> {
    if src.len() < HEADER {
        return Ok(None);
    }
    let tag = char::from(src[0]);
    let length = u32::from_be_bytes([src[1], src[2], src[3], src[4]]);
    if length < 4 {
        return Err(Error::Short { tag, length });
    }
    let total = length as usize + 1;
    if total > most {
        return Err(Error::Oversized { tag, length, most });
    }
    if src.len() < total {
        return Ok(None);
    }
    Ok(Some(Frame {
        bytes: src.split_to(total),
    }))
}

impl Encoder for Codec {
    type Item = Bytes;
    type Error = Error;

    fn encodev(&self, item: Bytes, dst: &mut ntex::util::BytePages) -> Result<(), Error> {
        dst.put_slice(&item);
        Ok(())
    }
}
