//! Datagrams from and to other instances.

use std::net::SocketAddr;

use fleet::Event;
use wire::Message;

use super::Peers;

impl Peers {
    /// Takes a datagram in; one that is not sealed by a peer is counted and
    /// dropped.
    pub(super) async fn datagram(&mut self, bytes: &[u8], address: SocketAddr) {
        let frame = match self.endpoint.receive(address, bytes) {
            Ok(frame) => frame,
            Err(error) => return dropped(error),
        };
        let from = frame.header.sender;
        if let Message::Evidence(evidence) = &frame.message {
            return self.evidence(from, evidence).await;
        }
        self.step(Event::Message {
            from,
            address,
            message: frame.message,
        })
        .await;
    }

    /// Sends a datagram; the network may lose it, and so may a full socket.
    pub(super) fn send(&mut self, to: SocketAddr, message: &Message) {
        match self.endpoint.seal(to, message) {
            Ok(bytes) => {
                let _ = self.socket.try_send_to(&bytes, to);
            }
            Err(error) => dropped(error),
        }
    }
}

/// Counts a frame that was dropped, by its reason.
pub(super) fn dropped(error: wire::Error) {
    metrics::counter!("dandelionlink_frames_dropped_total", "reason" => error.label()).increment(1);
}
