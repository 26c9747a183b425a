//! Seals and opens the frames of one TCP connection.

use crate::{Error, Frame, Header, Message, Node, Ring, STREAM_MAX, frame, frame::Format};

/// End of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The instance that opened the connection.
    Connector,
    /// The instance that accepted the connection and chose the nonce.
    Acceptor,
}

/// One end of a TCP connection between two instances.
///
/// The acceptor first writes the nonce, 16 random bytes, in clear text. Every
/// tag covers the nonce, the direction and a sequence number that counts from
/// zero without gaps. A recorded connection that is replayed, to run a
/// forwarded write twice, gets another nonce and fails at its first frame.
///
/// Each frame is preceded by its length in four bytes, little-endian.
#[derive(Debug)]
pub struct Stream {
    node: Node,
    incarnation: u64,
    ring: Ring,
    nonce: [u8; 16],
    side: Side,
    format: Format,
    sent: u64,
    received: u64,
}

impl Stream {
    /// Bytes of the length in front of each frame.
    pub const LENGTH_LEN: usize = 4;

    /// Creates one end of the connection with the given nonce.
    pub fn open(node: Node, incarnation: u64, ring: Ring, nonce: [u8; 16], side: Side) -> Self {
        Self {
            node,
            incarnation,
            ring,
            nonce,
            side,
            format: Format::Newest,
            sent: 0,
            received: 0,
        }
    }

    /// Sets the format of later frames; [`Stream::receive`] sets the format to
    /// that of the received frame.
    pub fn set_format(&mut self, format: Format) {
        self.format = format;
    }

    /// Decodes the length in front of a frame.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`], before memory is allocated for the frame.
    pub fn length(prefix: [u8; Self::LENGTH_LEN]) -> Result<usize, Error> {
        let len = u32::from_le_bytes(prefix) as usize;
        if len > STREAM_MAX {
            return Err(Error::Oversized {
                len,
                max: STREAM_MAX,
            });
        }
        Ok(len)
    }

    /// Seals `message` as the next frame, with its length in front.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`], or [`Error::NotInFormat`] for a message that the
    /// current format lacks. The connection stays usable after either error.
    pub fn seal(&mut self, message: &Message) -> Result<Vec<u8>, Error> {
        let header = Header {
            sender: self.node,
            incarnation: self.incarnation,
            sequence: self.sent,
        };
        let context = self.context(self.side);
        let key = self.ring.sealing();
        let frame = frame::seal(&context, key, self.format, &header, message, STREAM_MAX)?;
        self.sent += 1;
        let mut buf = Vec::with_capacity(Self::LENGTH_LEN + frame.len());
        // The length is at most `STREAM_MAX`, which fits in 32 bits.
        buf.extend_from_slice(&(frame.len() as u32).to_le_bytes());
        buf.extend_from_slice(&frame);
        Ok(buf)
    }

    /// Verifies and decodes the next frame, given without its length.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the connection must then be closed.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Frame, Error> {
        let other = match self.side {
            Side::Connector => Side::Acceptor,
            Side::Acceptor => Side::Connector,
        };
        let context = self.context(other);
        let (format, header, message) = frame::open(&context, &self.ring, bytes, STREAM_MAX)?;
        if header.sequence != self.received {
            return Err(Error::Replayed);
        }
        self.received += 1;
        self.format = format;
        Ok(Frame {
            format,
            header,
            message,
        })
    }

    fn context(&self, side: Side) -> [u8; 17] {
        let mut context = [0; 17];
        context[..16].copy_from_slice(&self.nonce);
        context[16] = match side {
            Side::Connector => 1,
            Side::Acceptor => 2,
        };
        context
    }
}
