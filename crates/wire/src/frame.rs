//! Layout and authentication of a frame.
//!
//! ```text
//! format u8 | key id u8 | header and message (postcard) | tag 16 bytes
//! ```

use serde::{Deserialize, Serialize};

use crate::{Error, Key, Message, Node, Ring, previous};

/// Maximum bytes of a UDP datagram, small enough to avoid IP fragmentation
/// between zones.
pub const DATAGRAM_MAX: usize = 1_200;
/// Maximum bytes of a frame on a TCP stream: a value of the store and a header.
pub const STREAM_MAX: usize = 1024 * 1024 + 1024;
/// Bytes of an authentication tag.
pub const TAG_LEN: usize = 16;

pub(crate) const PREFIX_LEN: usize = 2;
/// Maximum bytes of an encoded [`Header`].
pub(crate) const HEADER_MAX: usize = 8 + 10 + 10;

/// Format in which a frame is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Format 1: revisions without an epoch, and no evidence.
    Previous,
    /// Format 2: revisions with an epoch, and evidence.
    Newest,
}

impl Format {
    /// Number of the format in frames.
    pub fn number(self) -> u8 {
        match self {
            Self::Previous => 1,
            Self::Newest => 2,
        }
    }

    fn from_number(number: u8) -> Result<Self, Error> {
        match number {
            1 => Ok(Self::Previous),
            2 => Ok(Self::Newest),
            other => Err(Error::ForeignFormat(other)),
        }
    }
}

/// Sender and sequence number of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender.
    pub sender: Node,
    /// Incarnation of the sender's process; see [`crate::Record::incarnation`].
    pub incarnation: u64,
    /// Number of the frame among the sender's frames on this channel.
    pub sequence: u64,
}

pub(crate) fn seal(
    context: &[u8],
    key: &Key,
    format: Format,
    header: &Header,
    message: &Message,
    max: usize,
) -> Result<Vec<u8>, Error> {
    let buf = vec![format.number(), key.id()];
    let buf = postcard::to_extend(header, buf).map_err(|_| Error::Malformed)?;
    let mut buf = match format {
        Format::Newest => postcard::to_extend(message, buf).map_err(|_| Error::Malformed)?,
        Format::Previous => previous::encode(message, buf)?,
    };
    let len = buf.len() + TAG_LEN;
    if len > max {
        return Err(Error::Oversized { len, max });
    }
    let tag = key.tag(context, &buf);
    buf.extend_from_slice(&tag);
    Ok(buf)
}

pub(crate) fn open(
    context: &[u8],
    ring: &Ring,
    bytes: &[u8],
    max: usize,
) -> Result<(Format, Header, Message), Error> {
    let len = bytes.len();
    if len > max {
        return Err(Error::Oversized { len, max });
    }
    if len < PREFIX_LEN + TAG_LEN {
        return Err(Error::Truncated);
    }
    let format = Format::from_number(bytes[0])?;
    let key = ring.find(bytes[1]).ok_or(Error::UnknownKey(bytes[1]))?;
    let (sealed, tag) = bytes.split_at(len - TAG_LEN);
    if !key.verifies(context, sealed, tag) {
        return Err(Error::Unauthenticated);
    }
    let (header, message) = decode(format, &sealed[PREFIX_LEN..])?;
    Ok((format, header, message))
}

fn decode(format: Format, bytes: &[u8]) -> Result<(Header, Message), Error> {
    let (header, rest) = postcard::take_from_bytes(bytes).map_err(|_| Error::Malformed)?;
    let message = match format {
        Format::Newest => decode_all(rest)?,
        Format::Previous => previous::decode(rest)?,
    };
    Ok((header, message))
}

/// Decodes all of `bytes`. Trailing bytes mean that sender and receiver
/// disagree about the layout, so the whole frame is rejected.
pub(crate) fn decode_all<'de, T: Deserialize<'de>>(bytes: &'de [u8]) -> Result<T, Error> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(Error::Malformed),
    }
}
