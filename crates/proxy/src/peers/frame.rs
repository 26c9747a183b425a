//! What instances ask each other over TCP, and how it is told.
//!
//! A frame is its length and its body. An instance of the version before knows the first
//! three questions only, and closes the connection at any other; whoever asks looks at
//! [`super::heartbeat::FORMAT`] first.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    time::Duration,
};

use bytes::{BufMut, Bytes, BytesMut};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::{
    connection,
    edge::{Change, Item, Items},
    session_state::SessionState,
};

/// The longest frame.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// How much is read and written at once. Between two such parts a peer may be silent for
/// as long as it takes a full link to carry one.
const CHUNK_BYTES: usize = 16 << 10;

/// How long a peer may be silent while something is passed on.
pub(crate) const IO_TIMEOUT: Duration = Duration::from_millis(500);

/// What an instance asks another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Read the store for me, now.
    Read(String),
    /// The catalogue you have. Asked by the version before.
    Catalog,
    /// Serve this session: its statements follow.
    Session(SessionState),
    /// The catalogue you have, packed.
    CompressedCatalog,
    /// What you learnt of the store; asked again on the same connection.
    Follow(Cursor),
    /// The records and the era, read for me from now on.
    Records,
    /// Serve this session of the account with this name: its statements follow.
    AccountSession(String, SessionState),
    /// The accounts' shares you have.
    Shares,
}

/// How far an instance follows another one.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Cursor {
    /// The life of the one that is followed, zero if it was not asked before.
    pub(crate) incarnation: u64,
    /// The last number that it told; if it was not asked before, the store's revision up to
    /// which everything is known.
    pub(crate) seq: u64,
    /// The version of the catalogue that is had.
    pub(crate) version: u64,
}

/// What it is told.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Response {
    Items(Items),
    Catalog(Option<Item>),
    Nothing,
    CompressedCatalog(Option<Compressed>),
    ChangeBatch(ChangeBatch),
    Shares(Option<Item>),
}

/// A catalogue as it is passed on.
///
/// 1,524 routes are 300 KB as operators write them and 25 KB packed; a link of 2 Mbit/s
/// takes 1.3 s for the one and 0.1 s for the other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Compressed {
    /// The item without its value.
    pub(crate) item: Item,
    /// Its value, deflated.
    pub(crate) value: Bytes,
}

/// What an instance learnt of the store behind a number.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ChangeBatch {
    /// Its life.
    pub(crate) incarnation: u64,
    /// The number to go on from.
    pub(crate) seq: u64,
    /// Which of the store's revisions it knows everything up to.
    pub(crate) known: u64,
    /// Whether all that it knows follows; keys that are missing were deleted.
    pub(crate) is_snapshot: bool,
    /// What it learnt, all but the catalogue.
    pub(crate) changes: Vec<Change>,
    /// Its catalogue, if it is newer than the one that the asker has.
    pub(crate) catalog: Option<Compressed>,
}

/// Asks the instance at `address` one thing.
pub(crate) async fn call(address: SocketAddr, request: &Request) -> io::Result<Response> {
    let mut stream = connect(address).await?;
    send(&mut stream, request).await?;
    receive(&mut stream, IO_TIMEOUT).await
}

/// Connects to the instance at `address`.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(IO_TIMEOUT, TcpStream::connect(address)).await??;
    let _ = connection::set_socket_options(&stream);
    Ok(stream)
}

/// A frame as it is sent.
pub(crate) fn encode<T: Serialize>(frame: &T) -> io::Result<Bytes> {
    let body = postcard::to_stdvec(frame).map_err(io::Error::other)?;
    let size = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut out = BytesMut::with_capacity(body.len() + 4);
    out.put_u32(size);
    out.extend_from_slice(&body);
    Ok(out.freeze())
}

/// Sends a frame for as long as the peer takes parts of it.
pub(crate) async fn send_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    for chunk in frame.chunks(CHUNK_BYTES) {
        timeout(IO_TIMEOUT, stream.write_all(chunk)).await??;
    }
    Ok(())
}

/// Packs a frame and sends it.
pub(crate) async fn send<T: Serialize>(stream: &mut TcpStream, frame: &T) -> io::Result<()> {
    send_frame(stream, &encode(frame)?).await
}

/// Receives a frame that begins within `first`, for as long as parts of it come.
pub(crate) async fn receive<T: DeserializeOwned>(
    stream: &mut TcpStream,
    first: Duration,
) -> io::Result<T> {
    let size = timeout(first, stream.read_u32()).await?? as usize;
    if size > MAX_FRAME_BYTES {
        return Err(io::Error::other("the frame is too long"));
    }
    let mut body = BytesMut::with_capacity(size.min(CHUNK_BYTES));
    while body.len() < size {
        body.reserve(CHUNK_BYTES.min(size - body.len()));
        let mut rest = (&mut *stream).take((size - body.len()) as u64);
        if timeout(IO_TIMEOUT, rest.read_buf(&mut body)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    postcard::from_bytes(&body).map_err(io::Error::other)
}

impl Compressed {
    /// Packs an item.
    pub(crate) fn compress(item: &Item) -> io::Result<Self> {
        let mut out = DeflateEncoder::new(Vec::new(), Compression::fast());
        out.write_all(&item.value)?;
        let value = out.finish()?.into();
        let item = Item {
            value: Bytes::new(),
            ..item.clone()
        };
        Ok(Self { item, value })
    }

    /// The item, unless it is longer than any frame.
    pub(crate) fn decompress(self) -> io::Result<Item> {
        let mut value = Vec::new();
        let deflated = DeflateDecoder::new(&self.value[..]);
        deflated
            .take(MAX_FRAME_BYTES as u64 + 1)
            .read_to_end(&mut value)?;
        if value.len() > MAX_FRAME_BYTES {
            return Err(io::Error::other("the catalogue is too long"));
        }
        Ok(Item {
            value: value.into(),
            ..self.item
        })
    }
}
