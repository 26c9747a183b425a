//! Stream of changes from a watch.

use ntex::{http::Payload, util::BytesMut};

use crate::{Event, Fault, json};

/// Longest line of a watch, in bytes: one change of a whole catalogue.
const MAX_LINE: usize = 16 << 20;

/// Stream of changes. Dropping it ends the watch.
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

    /// Waits for the next changes and returns them with the store's revision. There may be no
    /// changes if the store only reports its progress.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Compacted`] if the watch started at a compacted revision and
    /// [`Fault::Lost`] if the stream broke. The watch has ended then.
    pub async fn next(&mut self) -> Result<(Vec<Event>, u64), Fault> {
        loop {
            if let Some(line) = self.line() {
                let value = serde_json::from_slice(&line).map_err(|_| Fault::Malformed {
                    what: "watch line is not JSON",
                })?;
                return json::events(&value);
            }
            if self.buf.len() > MAX_LINE {
                return Err(Fault::Malformed {
                    what: "watch line too long",
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
