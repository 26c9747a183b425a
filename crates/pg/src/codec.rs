//! Splitting a stream into frames: a tag, a length and a body.

use ntex::{
    codec::{Decoder, Encoder},
    util::{BufMut, Bytes, BytesMut},
};

/// The largest frame taken from a caller or an upstream, in bytes.
///
/// A larger one would let a single connection claim memory without bound.
pub const MAX_FRAME: usize = 16 << 20;

/// The largest message taken from a caller that is logging in, in bytes.
pub const MAX_LOGIN: usize = 4 << 10;

/// The tag and the length field.
const HEADER: usize = 5;

/// Why bytes are not a message of the protocol.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The length field is smaller than the field itself.
    #[error("a message of type {tag:?} says that it has {length} bytes")]
    Short {
        /// The message's type.
        tag: char,
        /// What its length field says.
        length: u32,
    },
    /// The message is larger than it may be.
    #[error("a message of type {tag:?} has {length} bytes, the most is {most}")]
    Oversized {
        /// The message's type.
        tag: char,
        /// What its length field says.
        length: u32,
        /// The most bytes that are taken.
        most: usize,
    },
    /// The contents don't fit the message's type.
    #[error("a message of type {tag:?} is malformed: {what}")]
    Malformed {
        /// The message's type.
        tag: char,
        /// Which part is wrong.
        what: &'static str,
    },
    /// The type is not one that this side may receive.
    #[error("a message of type {0:?} is not expected here")]
    Unexpected(char),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] std::io::Error),
}

/// One message: its tag, length field and body as they came.
#[derive(Debug, Clone)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// The message's type.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// What follows the length field.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER..]
    }

    /// The whole message as it stands on the wire.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// Splits a stream into [`Frame`]s and writes ready-made bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Frame>, Error> {
        split(src, MAX_FRAME)
    }
}

/// Splits the messages of a login, which are short.
///
/// A peer that has not proved who it is could otherwise make the proxy wait
/// for, and hold, [`MAX_FRAME`] bytes on each of its connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoginCodec;

impl Decoder for LoginCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Frame>, Error> {
        split(src, MAX_LOGIN)
    }
}

/// Takes a message of at most `most` bytes off `src`, if it is all there.
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
