//! Seals and opens datagrams.

use std::net::SocketAddr;

use crate::{
    DATAGRAM_MAX, Error, Header, Message, Node, Ring,
    frame::{self, Format},
    replay::Windows,
};

/// An opened frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The format it was written in.
    pub format: Format,
    /// Who sent it.
    pub header: Header,
    /// What it says.
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
    /// Opens the endpoint of an instance that peers reach at `address`.
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

    /// Takes new keys; frames under keys no longer in the ring are dropped.
    pub fn rotate(&mut self, ring: Ring) {
        self.ring = ring;
    }

    /// The keys that are valid now.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Seals `message` for the instance at `to`, in the format that was last
    /// heard from there; the newest is tried now and then, and while nothing was
    /// heard.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`], and [`Error::NotInFormat`] for a message that the
    /// peer's format has not.
    pub fn seal(&mut self, to: SocketAddr, message: &Message) -> Result<Vec<u8>, Error> {
        let format = self.windows.format(to);
        self.seal_in(format, to, message)
    }

    /// Seals `message` in a format of the caller's choice.
    ///
    /// # Errors
    ///
    /// As [`Endpoint::seal`].
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

    /// Opens a datagram that arrived at our address from `from`.
    ///
    /// # Errors
    ///
    /// [`Error`] tells why it must be dropped; the caller counts it by
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

/// A datagram is sealed for one receiver, since windows are kept per sender: a
/// frame caught on its way to one instance could else be replayed at another.
fn context(to: SocketAddr) -> Vec<u8> {
    let mut context = b"datagram ".to_vec();
    match to {
        SocketAddr::V4(to) => context.extend_from_slice(&to.ip().octets()),
        SocketAddr::V6(to) => context.extend_from_slice(&to.ip().octets()),
    }
    context.extend_from_slice(&to.port().to_le_bytes());
    context
}
