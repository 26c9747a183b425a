//! Windows of sequence numbers, by which replayed datagrams are dropped.

use std::{collections::HashMap, net::SocketAddr};

use crate::{Error, Header, Node, frame::Format};

/// Number of sequence numbers up to a sender's newest frame that are still
/// accepted.
const WINDOW: u64 = 128;
/// Maximum number of tracked senders: four times the target number of
/// instances.
const SENDERS_MAX: usize = 16_384;

/// One in this many frames to a peer that writes the previous format is in the
/// newest format.
const NEWEST_ONE_IN: u32 = 16;

#[derive(Debug, Clone, Copy)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u128,
}

/// Replay windows of all senders.
#[derive(Debug, Default)]
pub(crate) struct Windows {
    senders: HashMap<Node, Window>,
    /// Addresses whose last frame was in the previous format, with the number
    /// of frames written to each address since then.
    previous: HashMap<SocketAddr, u32>,
}

impl Windows {
    /// Records an authentic frame; fails if the frame was received before.
    pub(crate) fn admit(
        &mut self,
        from: SocketAddr,
        format: Format,
        header: &Header,
    ) -> Result<(), Error> {
        self.admit_sequence(header)?;
        match format {
            Format::Newest => {
                self.previous.remove(&from);
            }
            Format::Previous if self.previous.len() >= SENDERS_MAX => {}
            Format::Previous => {
                self.previous.entry(from).or_default();
            }
        }
        Ok(())
    }

    /// Format of the next frame to an address: the format last received from
    /// there, and occasionally the newest.
    ///
    /// Two upgraded instances that each answer in the format they receive would
    /// otherwise stay in the previous format for ever, and never exchange
    /// messages that only the newest format has. A peer that is not upgraded
    /// drops the occasional frame in the newest format.
    pub(crate) fn format(&mut self, to: SocketAddr) -> Format {
        let Some(written) = self.previous.get_mut(&to) else {
            return Format::Newest;
        };
        *written = written.wrapping_add(1);
        if written.is_multiple_of(NEWEST_ONE_IN) {
            Format::Newest
        } else {
            Format::Previous
        }
    }

    fn admit_sequence(&mut self, header: &Header) -> Result<(), Error> {
        let fresh = Window {
            incarnation: header.incarnation,
            highest: header.sequence,
            seen: 1,
        };
        let Some(window) = self.senders.get_mut(&header.sender) else {
            self.evict_oldest();
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
        window.admit(header.sequence)
    }

    /// Drops the sender with the earliest start if the map is full. Only
    /// holders of a key can add senders, so the limit bounds memory if a key
    /// leaks.
    fn evict_oldest(&mut self) {
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
