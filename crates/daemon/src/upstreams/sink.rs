//! Where an answer goes while it comes in: kept, passed on, or dropped.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use pg::Frame;

use super::{Core, Running};
use crate::{
    forward::{Conn, Out, Response},
    job::{CHUNK, Caller, Part, Reply, WINDOW},
};

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

/// Whom an answer goes to.
#[derive(Debug, Clone, Copy)]
pub(super) enum Recipient {
    /// A caller of this instance.
    Caller(Caller),
    /// Another instance, on the stream that it asked on.
    Peer(Conn),
}

/// An answer on its way to whoever asked.
pub(super) struct Sink<'a> {
    core: &'a Core,
    running: Rc<Running>,
    to: Recipient,
    buf: BytesMut,
    mode: Mode,
    streamed: bool,
}

impl<'a> Sink<'a> {
    /// Opens the way of an answer to a running request.
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

    /// What is done with the answer.
    pub(super) fn mode(&self) -> Mode {
        self.mode
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
        if frame.tag() == b'D' {
            self.flush_if_full().await;
        }
    }

    /// Takes a part of an answer that comes from a holder; it ends in a row.
    pub(super) async fn push_rows(&mut self, bytes: &[u8]) {
        if self.mode != Mode::Discard {
            self.buf.extend_from_slice(bytes);
            self.flush_if_full().await;
        }
    }

    /// Passes on what is there if it is much. What is there ends in a row, so
    /// the message that says that an answer is complete is never passed on
    /// before the end.
    async fn flush_if_full(&mut self) {
        let bound = match self.mode {
            Mode::Stream => CHUNK,
            Mode::Hold | Mode::Discard => MAX_HELD,
        };
        if self.buf.len() >= bound {
            self.flush().await;
        }
    }

    /// Takes a message that the proxy itself gives.
    pub(super) fn push_bytes(&mut self, bytes: &[u8]) {
        if self.mode != Mode::Discard {
            self.buf.extend_from_slice(bytes);
        }
    }

    /// The rest of the answer.
    pub(super) fn finish(self) -> Bytes {
        self.buf.freeze()
    }

    /// Passes on what is there, once the caller has taken enough.
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
