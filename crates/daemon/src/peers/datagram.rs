//! Datagrams between instances.

use std::net::SocketAddr;

use fleet::Event;
use wire::Message;

use super::Peers;

impl Peers {
    /// Handles a datagram; one that no peer has sealed is counted and dropped.
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

    /// Sends a datagram, which may be lost in the network or by a full socket
    /// buffer.
    pub(super) fn send(&mut self, to: SocketAddr, message: &Message) {
        match self.endpoint.seal(to, message) {
            Ok(bytes) => {
                let _ = self.socket.try_send_to(&bytes, to);
            }
            Err(error) => dropped(error),
        }
    }
}

/// Counts a dropped frame by its reason.
pub(super) fn dropped(error: wire::Error) {
    metrics::counter!("dandelionlink_frames_dropped_total", "reason" => error.label()).increment(1);
}
