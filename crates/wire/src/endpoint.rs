//! Seals and opens datagrams.

use std::net::SocketAddr;

use crate::{
    DATAGRAM_MAX, Error, Header, Message, Node, Ring,
    frame::{self, Format},
    replay::Windows,
};

/// A verified and decoded frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Format of the frame.
    pub format: Format,
    /// Sender and sequence number.
    pub header: Header,
    /// The message.
    pub message: Message,
}

/// Seals and opens the datagrams of one instance.
///
/// ```
/// use wire::{Endpoint, Message, Node, Ring, View};
///
/// let ring = Ring::parse("1:00112233445566778899aabbccddeeff").unwrap();
/// let [a, b] = ["127.0.0.1:1", "127.0.0.1:2"].map(|text| text.parse().unwrap());
/// let mut ours = Endpoint::open(Node([1; 8]), 1, a, ring.clone());
/// let mut theirs = Endpoint::open(Node([2; 8]), 1, b, ring);
///
/// let ping = Message::Ping { probe: 1, view: View::default(), updates: vec![] };
/// let bytes = ours.seal(b, &ping).unwrap();
/// assert_eq!(theirs.receive(a, &bytes).unwrap().message, ping);
/// assert_eq!(theirs.receive(a, &bytes), Err(wire::Error::Replayed));
/// ```
#[derive(Debug)]
pub struct Endpoint {
    node: Node,
    incarnation: u64,
    address: SocketAddr,
    ring: Ring,
    sequence: u64,
    windows: Windows,
}

impl Endpoint {
    /// Creates the endpoint of an instance whose peers send to `address`.
    pub fn open(node: Node, incarnation: u64, address: SocketAddr, ring: Ring) -> Self {
        Self {
            node,
            incarnation,
            address,
            ring,
            sequence: 0,
            windows: Windows::default(),
        }
    }

    /// Replaces the keys. Frames under keys that are no longer in the ring are
    /// dropped.
    pub fn rotate(&mut self, ring: Ring) {
        self.ring = ring;
    }

    /// The valid keys.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Seals `message` for the instance at `to`, in the format last received
    /// from that address. The newest format is used if nothing was received
    /// from there, and for an occasional frame otherwise.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`], or [`Error::NotInFormat`] for a message that the
    /// peer's format lacks.
    pub fn seal(&mut self, to: SocketAddr, message: &Message) -> Result<Vec<u8>, Error> {
        let format = self.windows.format(to);
        self.seal_in(format, to, message)
    }

    /// Seals `message` in the given format.
    ///
    /// # Errors
    ///
    /// The errors of [`Endpoint::seal`].
    pub fn seal_in(
        &mut self,
        format: Format,
        to: SocketAddr,
        message: &Message,
    ) -> Result<Vec<u8>, Error> {
        self.sequence += 1;
        let header = Header {
            sender: self.node,
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        let key = self.ring.sealing();
        frame::seal(&context(to), key, format, &header, message, DATAGRAM_MAX)
    }

    /// Verifies and decodes a datagram received from `from`.
    ///
    /// # Errors
    ///
    /// The [`Error`] is the reason to drop the datagram; callers count it under
    /// [`Error::label`].
    pub fn receive(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<Frame, Error> {
        let context = context(self.address);
        let (format, header, message) = frame::open(&context, &self.ring, bytes, DATAGRAM_MAX)?;
        self.windows.admit(from, format, &header)?;
        Ok(Frame {
            format,
            header,
            message,
        })
    }
}

/// Returns the authenticated context of a datagram: the receiver's address.
/// Replay windows are kept per sender on each receiver, so without the address
/// a datagram captured on its way to one instance could be replayed to another.
fn context(to: SocketAddr) -> Vec<u8> {
    let mut context = b"datagram ".to_vec();
    match to {
        SocketAddr::V4(to) => context.extend_from_slice(&to.ip().octets()),
        SocketAddr::V6(to) => context.extend_from_slice(&to.ip().octets()),
    }
    context.extend_from_slice(&to.port().to_le_bytes());
    context
}
