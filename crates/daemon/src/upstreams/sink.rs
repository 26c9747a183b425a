//! Buffering and delivery of an answer while it is received.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use pg::Frame;

use super::{Core, Running};
use crate::{
    forward::{Conn, Out, Response},
    job::{CHUNK, Caller, Part, Reply, WINDOW},
};

/// Size of the buffer, in bytes, above which rows of a held answer are passed
/// on.
const MAX_HELD: usize = 256 << 10;

/// Handling of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mode {
    /// The answer is passed on in parts.
    Stream,
    /// The answer is held back until its validity is known. Above [`MAX_HELD`]
    /// its rows are passed on, but never the message that completes it.
    Hold,
    /// The answer is dropped as invalid.
    Discard,
}

/// The recipient of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) enum Recipient {
    /// A caller of this instance.
    Caller(Caller),
    /// Another instance, on the stream of its command.
    Peer(Conn),
}

/// An answer on its way to the requester.
pub(super) struct Sink<'a> {
    core: &'a Core,
    running: Rc<Running>,
    to: Recipient,
    buf: BytesMut,
    mode: Mode,
    streamed: bool,
}

impl<'a> Sink<'a> {
    /// Opens a sink for the answer to a running request.
    pub(super) fn open(core: &'a Core, running: &Rc<Running>, to: Recipient, mode: Mode) -> Self {
        let buf = BytesMut::new();
        Self {
            core,
            running: Rc::clone(running),
            to,
            buf,
            mode,
            streamed: false,
        }
    }

    /// Returns the current handling of the answer.
    pub(super) fn mode(&self) -> Mode {
        self.mode
    }

    /// Changes the handling of the rest of the answer.
    pub(super) fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
        if mode == Mode::Discard {
            self.buf.clear();
        }
    }

    /// Returns true if part of the answer has been passed on and can't be
    /// withdrawn.
    pub(super) fn has_streamed(&self) -> bool {
        self.streamed
    }

    /// Adds one message of the answer.
    pub(super) async fn push(&mut self, frame: &Frame) {
        if self.mode == Mode::Discard {
            return;
        }
        self.buf.extend_from_slice(frame.bytes());
        if frame.tag() == b'D' {
            self.flush_if_full().await;
        }
    }

    /// Adds a part of an answer received from a holder, which ends with a row.
    pub(super) async fn push_rows(&mut self, bytes: &[u8]) {
        if self.mode != Mode::Discard {
            self.buf.extend_from_slice(bytes);
            self.flush_if_full().await;
        }
    }

    /// Passes on the buffer if it is large. The buffer ends with a row at this
    /// point, so the message that completes the answer is never passed on
    /// early.
    async fn flush_if_full(&mut self) {
        let bound = match self.mode {
            Mode::Stream => CHUNK,
            Mode::Hold | Mode::Discard => MAX_HELD,
        };
        if self.buf.len() >= bound {
            self.flush().await;
        }
    }

    /// Adds a message given by the proxy, or the final part of an answer.
    pub(super) fn push_bytes(&mut self, bytes: &[u8]) {
        if self.mode != Mode::Discard {
            self.buf.extend_from_slice(bytes);
        }
    }

    /// Returns the rest of the answer.
    pub(super) fn finish(self) -> Bytes {
        self.buf.freeze()
    }

    /// Passes on the buffer once the window has room.
    async fn flush(&mut self) {
        while self.running.outstanding.get() >= WINDOW {
            if self.running.abandoned.get() {
                self.buf.clear();
                return;
            }
            self.running.progress.notified().await;
        }
        self.running
            .outstanding
            .set(self.running.outstanding.get() + 1);
        self.streamed = true;
        let bytes = self.buf.split().freeze();
        let seq = self.running.seq;
        match self.to {
            Recipient::Caller(caller) => {
                let reply = Reply {
                    caller,
                    seq,
                    part: Part::Chunk(bytes),
                };
                self.core.replies.send(reply).await;
            }
            Recipient::Peer(conn) => {
                let response = Response::Chunk(bytes);
                self.core
                    .outs
                    .send(Out::Answer {
                        conn,
                        seq,
                        response,
                    })
                    .await;
            }
        }
    }
}
