//! What crossed the wire, counted in bytes as an Ethernet's IP layer sees them.

use wire::{FRAME_LEN, Message};

/// An IPv4 and a UDP header.
const UDP_HEADERS: usize = 28;
/// An IPv4 and a TCP header without options.
const TCP_HEADERS: usize = 40;
/// The payload of a full TCP segment.
const SEGMENT_PAYLOAD: usize = 1_448;
/// Handshake and teardown, the nonce, and the acknowledgement of the request.
const CONNECTION_OVERHEAD: usize = 8 * TCP_HEADERS + 16;

/// Messages and bytes, each counted once where sent and once where received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Datagrams and stream frames sent.
    pub messages_sent: u64,
    /// Bytes sent, headers and seals included.
    pub bytes_sent: u64,
    /// Datagrams and stream frames received.
    pub messages_received: u64,
    /// Bytes received, headers and seals included.
    pub bytes_received: u64,
}

impl Count {
    /// Bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.bytes_sent + self.bytes_received
    }

    /// Messages sent and received.
    pub fn messages(&self) -> u64 {
        self.messages_sent + self.messages_received
    }

    pub(crate) fn add_sent(&mut self, bytes: u64) {
        self.messages_sent += 1;
        self.bytes_sent += bytes;
    }

    pub(crate) fn add_received(&mut self, bytes: u64) {
        self.messages_received += 1;
        self.bytes_received += bytes;
    }
}

/// The bytes of a datagram. The frame is reckoned at its longest.
pub(crate) fn datagram(message: &Message) -> u64 {
    (wire::len(message) + FRAME_LEN + UDP_HEADERS) as u64
}

/// The bytes of a request on a new connection, with the connection's own.
pub(crate) fn request(message: &Message) -> u64 {
    stream(message) + CONNECTION_OVERHEAD as u64
}

/// The bytes of a frame on a stream, with one acknowledgement for two segments.
pub(crate) fn stream(message: &Message) -> u64 {
    let len = wire::len(message) + FRAME_LEN + wire::Stream::LENGTH_LEN;
    let segments = len.div_ceil(SEGMENT_PAYLOAD);
    (len + segments * TCP_HEADERS + segments.div_ceil(2) * TCP_HEADERS) as u64
}
