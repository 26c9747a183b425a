//! Windows of sequence numbers, so that a replayed datagram is dropped.

use std::collections::HashMap;

use crate::{Error, Header, Node, frame::Format};

/// How far behind a sender's newest frame one may still arrive.
const WINDOW: u64 = 128;
/// The most senders remembered; four times the target fleet.
const SENDERS_MAX: usize = 16_384;

#[derive(Debug, Clone, Copy)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u128,
    format: Format,
}

/// The windows of all senders.
#[derive(Debug, Default)]
pub(crate) struct Windows {
    senders: HashMap<Node, Window>,
}

impl Windows {
    /// Notes an authentic frame, unless it was noted before.
    pub(crate) fn admit(&mut self, format: Format, header: &Header) -> Result<(), Error> {
        let fresh = Window {
            incarnation: header.incarnation,
            highest: header.sequence,
            seen: 1,
            format,
        };
        let Some(window) = self.senders.get_mut(&header.sender) else {
            self.make_room();
            self.senders.insert(header.sender, fresh);
            return Ok(());
        };
        if header.incarnation < window.incarnation {
            return Err(Error::EarlierIncarnation);
        }
        if header.incarnation > window.incarnation {
            *window = fresh;
            return Ok(());
        }
        window.format = format;
        window.admit(header.sequence)
    }

    /// The format that `sender` last wrote in.
    pub(crate) fn format(&self, sender: Node) -> Option<Format> {
        self.senders.get(&sender).map(|window| window.format)
    }

    /// Drops the sender that started longest ago; only holders of a key can
    /// fill this, so the bound guards memory against a key in wrong hands.
    fn make_room(&mut self) {
        if self.senders.len() < SENDERS_MAX {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, window)| window.incarnation);
        if let Some((&node, _)) = oldest {
            self.senders.remove(&node);
        }
    }
}

impl Window {
    fn admit(&mut self, sequence: u64) -> Result<(), Error> {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < WINDOW {
                self.seen << shift
            } else {
                0
            };
            self.seen |= 1;
            self.highest = sequence;
            return Ok(());
        }
        let back = self.highest - sequence;
        if back >= WINDOW || self.seen & (1 << back) != 0 {
            return Err(Error::Replayed);
        }
        self.seen |= 1 << back;
        Ok(())
    }
}
