//! Where an answer goes while it comes in: kept, passed on, or dropped.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use pg::Frame;

use super::{Core, Running};
use crate::job::{CHUNK, Caller, Part, Reply, WINDOW};

/// How much of an answer is kept back at most, in bytes.
const MAX_HELD: usize = 256 << 10;

/// What is done with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    /// Passed on part by part.
    Stream,
    /// Kept back until it is known whether it holds. Beyond the bound its
    /// rows are passed on, but never the message that says it is complete.
    Hold,
    /// Dropped: it did not pass.
    Discard,
}

/// An answer on its way to a caller.
pub(super) struct Sink<'a> {
    core: &'a Core,
    running: Rc<Running>,
    caller: Caller,
    buf: BytesMut,
    mode: Mode,
    streamed: bool,
}

impl<'a> Sink<'a> {
    /// Opens the way of an answer to a caller's running request.
    pub(super) fn open(core: &'a Core, running: &Rc<Running>, caller: Caller, mode: Mode) -> Self {
        let buf = BytesMut::new();
        Self {
            core,
            running: Rc::clone(running),
            caller,
            buf,
            mode,
            streamed: false,
        }
    }

    /// Changes what is done with the rest.
    pub(super) fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
        if mode == Mode::Discard {
            self.buf.clear();
        }
    }

    /// Whether part of the answer has been passed on, so that it can't be
    /// taken back.
    pub(super) fn has_streamed(&self) -> bool {
        self.streamed
    }

    /// Takes one message of the answer.
    pub(super) async fn push(&mut self, frame: &Frame) {
        if self.mode == Mode::Discard {
            return;
        }
        self.buf.extend_from_slice(frame.bytes());
        let row = frame.tag() == b'D';
        let full = match self.mode {
            Mode::Stream => self.buf.len() >= CHUNK,
            Mode::Hold => row && self.buf.len() >= MAX_HELD,
            Mode::Discard => false,
        };
        if full {
            self.pass().await;
        }
    }

    /// Takes a message that the proxy itself gives.
    pub(super) fn give(&mut self, bytes: &[u8]) {
        if self.mode != Mode::Discard {
            self.buf.extend_from_slice(bytes);
        }
    }

    /// The rest of the answer.
    pub(super) fn finish(self) -> Bytes {
        self.buf.freeze()
    }

    /// Passes on what is there, once the caller has taken enough.
    async fn pass(&mut self) {
        while self.running.untaken.get() >= WINDOW {
            if self.running.cancelled.get() {
                self.buf.clear();
                return;
            }
            self.running.taken.notified().await;
        }
        self.running.untaken.set(self.running.untaken.get() + 1);
        self.streamed = true;
        let bytes = self.buf.split().freeze();
        let part = Part::Chunk(bytes);
        let reply = Reply {
            caller: self.caller,
            seq: self.running.seq,
            part,
        };
        self.core.replies.send(reply).await;
    }
}
