//! Errors of frames that can't be sealed or opened.

/// Reason why a frame can't be sealed, or was dropped on receipt. Each kind has
/// a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Error {
    /// The frame exceeds the size limit of its transport.
    #[error("frame of {len} bytes exceeds the limit of {max} bytes")]
    Oversized {
        /// Length of the frame in bytes.
        len: usize,
        /// Limit of the transport in bytes.
        max: usize,
    },
    /// The frame is shorter than its prefix and tag.
    #[error("frame is truncated")]
    Truncated,
    /// The frame's format is neither the newest nor the previous one.
    #[error("frame format {0} is not supported")]
    ForeignFormat(u8),
    /// No valid key has the frame's key id.
    #[error("no valid key has id {0}")]
    UnknownKey(u8),
    /// The tag does not match the bytes, the receiver or the stream.
    #[error("authentication tag of the frame is invalid")]
    Unauthenticated,
    /// The sequence number was received before, or is older than the window.
    #[error("frame was replayed or is older than the replay window")]
    Replayed,
    /// The sender has restarted since it sealed the frame.
    #[error("frame is from an earlier incarnation of its sender")]
    EarlierIncarnation,
    /// An authentic frame can't be decoded, or has trailing bytes.
    #[error("frame can't be decoded")]
    Malformed,
    /// The message does not exist in the peer's format.
    #[error("message does not exist in the peer's frame format")]
    NotInFormat,
}

impl Error {
    /// Label of the error in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Oversized { .. } => "oversized",
            Self::Truncated => "truncated",
            Self::ForeignFormat(_) => "foreign_format",
            Self::UnknownKey(_) => "unknown_key",
            Self::Unauthenticated => "unauthenticated",
            Self::Replayed => "replayed",
            Self::EarlierIncarnation => "earlier_incarnation",
            Self::Malformed => "malformed",
            Self::NotInFormat => "not_in_format",
        }
    }
}
