//! Windows of sequence numbers, so that a replayed datagram is dropped.

use std::{collections::HashMap, net::SocketAddr};

use crate::{Error, Header, Node, frame::Format};

/// How far behind a sender's newest frame one may still arrive.
const WINDOW: u64 = 128;
/// The most senders remembered; four times the target fleet.
const SENDERS_MAX: usize = 16_384;

/// Of this many frames to a peer of the previous format one is in the newest.
const NEWEST_ONE_IN: u32 = 16;

#[derive(Debug, Clone, Copy)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u128,
}

/// The windows of all senders.
#[derive(Debug, Default)]
pub(crate) struct Windows {
    senders: HashMap<Node, Window>,
    /// Addresses last heard in the previous format, with the frames written to
    /// them since.
    previous: HashMap<SocketAddr, u32>,
}

impl Windows {
    /// Notes an authentic frame, unless it was noted before.
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

    /// The format to write to an address: the one last heard from there, but now
    /// and then the newest.
    ///
    /// Two upgraded instances that each answer in the format they heard would
    /// else stay in the previous one for ever, and never tell each other what
    /// only the newest can. A peer that is not upgraded drops the trial.
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

    /// Drops the sender that started longest ago; only holders of a key can
    /// fill this, so the bound guards memory against a key in wrong hands.
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
