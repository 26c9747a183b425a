//! A running watch: changes as the store streams them.

use ntex::{http::Payload, util::BytesMut};

use crate::{Event, Fault, json};

/// The longest line of a watch, in bytes: one change of a whole catalogue.
const MAX_LINE: usize = 16 << 20;

/// A stream of changes; dropping it ends the watch.
#[derive(Debug)]
pub struct Watch {
    payload: Payload,
    buf: BytesMut,
}

impl Watch {
    pub(crate) fn new(payload: Payload) -> Self {
        Self {
            payload,
            buf: BytesMut::new(),
        }
    }

    /// Waits for the next changes; they come with the store's revision, and
    /// may be none when the store only tells how far it is.
    ///
    /// # Errors
    ///
    /// [`Fault::Compacted`] when the watch began too early, [`Fault::Lost`]
    /// when the stream broke; the watch is over then.
    pub async fn next(&mut self) -> Result<(Vec<Event>, u64), Fault> {
        loop {
            if let Some(line) = self.line() {
                let value = serde_json::from_slice(&line).map_err(|_| Fault::Malformed {
                    what: "a watch's line",
                })?;
                return json::events(&value);
            }
            if self.buf.len() > MAX_LINE {
                return Err(Fault::Malformed {
                    what: "a watch's line without an end",
                });
            }
            match self.payload.recv().await {
                Some(Ok(chunk)) => self.buf.extend_from_slice(&chunk),
                Some(Err(_)) | None => return Err(Fault::Lost),
            }
        }
    }

    fn line(&mut self) -> Option<ntex::util::Bytes> {
        let end = self.buf.iter().position(|&byte| byte == b'\n')?;
        Some(self.buf.split_to(end + 1))
    }
}
