//! Why a frame was dropped.

/// Why a frame can't be sealed or was dropped; each kind is counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Error {
    /// The frame is longer than its channel takes.
    #[error("a frame of {len} bytes is over the limit of {max}")]
    Oversized {
        /// Its length in bytes.
        len: usize,
        /// The channel's limit in bytes.
        max: usize,
    },
    /// The frame is shorter than a prefix and a seal.
    #[error("the frame is cut short")]
    Truncated,
    /// The frame's format is neither the newest nor the one before.
    #[error("format {0} is not spoken here")]
    ForeignFormat(u8),
    /// No key with this id is valid here.
    #[error("no valid key has id {0}")]
    UnknownKey(u8),
    /// The seal does not fit the bytes, the receiver or the stream.
    #[error("the seal is not authentic")]
    Unauthenticated,
    /// The sequence number was seen before, or is older than the window.
    #[error("the frame was replayed or is too old")]
    Replayed,
    /// The sender has restarted since it sealed this.
    #[error("the frame is of an earlier incarnation of its sender")]
    EarlierIncarnation,
    /// An authentic frame does not decode, or has bytes left over.
    #[error("the frame does not decode")]
    Malformed,
    /// The message does not exist in the format that the peer speaks.
    #[error("the peer's format has no such message")]
    NotInFormat,
}

impl Error {
    /// A short label for metrics.
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
