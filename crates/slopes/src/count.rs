//! Counts messages and bytes on the wire, in bytes of the IP layer on Ethernet.

use wire::{FRAME_LEN, Message};

/// Length of an IPv4 and a UDP header.
const UDP_HEADERS: usize = 28;
/// Length of an IPv4 and a TCP header without options.
const TCP_HEADERS: usize = 40;
/// Payload of a full TCP segment, in bytes.
const SEGMENT_PAYLOAD: usize = 1_448;
/// Bytes of a connection's handshake and teardown, its nonce, and the
/// acknowledgement of the request.
const CONNECTION_OVERHEAD: usize = 8 * TCP_HEADERS + 16;

/// Messages and bytes, counted at the sender and again at the receiver.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Datagrams and stream frames sent.
    pub messages_sent: u64,
    /// Bytes sent, with headers and signatures.
    pub bytes_sent: u64,
    /// Datagrams and stream frames received.
    pub messages_received: u64,
    /// Bytes received, with headers and signatures.
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

/// Length of a datagram; the frame counts at its maximum length.
pub(crate) fn datagram(message: &Message) -> u64 {
    (wire::len(message) + FRAME_LEN + UDP_HEADERS) as u64
}

/// Bytes of a request on a new connection, with those of the connection.
pub(crate) fn request(message: &Message) -> u64 {
    stream(message) + CONNECTION_OVERHEAD as u64
}

/// Bytes of a frame on a stream, with one acknowledgement per two segments.
pub(crate) fn stream(message: &Message) -> u64 {
    let len = wire::len(message) + FRAME_LEN + wire::Stream::LENGTH_LEN;
    let segments = len.div_ceil(SEGMENT_PAYLOAD);
    (len + segments * TCP_HEADERS + segments.div_ceil(2) * TCP_HEADERS) as u64
}
