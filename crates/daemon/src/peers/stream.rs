//! Streams between instances, for requests whose answers exceed a datagram.

use std::{
    cell::RefCell,
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fleet::Call;
use ntex::time::{Millis, timeout};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
};
use wire::{Message, Node, Ring, Side, Stream};

use super::{datagram::dropped, forward::Forwards};

/// Timeout of a request on a stream, including the answer.
const TIMEOUT: Millis = Millis(5_000);

/// Maximum number of requests of peers that are served at once.
const MAX_SERVED: usize = 64;

/// Maximum number of received messages that wait for the duty.
const MAX_RECEIVED: usize = 256;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Input from a stream.
#[derive(Debug)]
pub(super) enum Received {
    /// Part of the answer to a request.
    Answer {
        /// Id of the request.
        call: Call,
        /// Message of the peer.
        message: Message,
    },
    /// A request failed.
    Failed {
        /// Id of the request.
        call: Call,
    },
    /// A request of a peer.
    Request {
        /// Stream to answer on.
        stream: u64,
        /// Message of the peer.
        message: Message,
    },
}

/// Error of a stream.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A frame is not sealed by a peer.
    #[error(transparent)]
    Wire(#[from] wire::Error),
}

type Answers = Rc<RefCell<HashMap<u64, oneshot::Sender<Vec<Message>>>>>;

/// Streams of one instance.
pub(super) struct Streams {
    node: Node,
    incarnation: u64,
    ring: Ring,
    received: mpsc::Sender<Received>,
    answers: Answers,
    forwards: Forwards,
}

impl Streams {
    /// Starts to accept streams on `listener`.
    pub(super) fn open(
        listener: TcpListener,
        node: Node,
        incarnation: u64,
        ring: Ring,
        forwards: Forwards,
    ) -> (Self, mpsc::Receiver<Received>) {
        let (received, inputs) = mpsc::channel(MAX_RECEIVED);
        let answers = Answers::default();
        let streams = Self {
            node,
            incarnation,
            ring,
            received,
            answers,
            forwards,
        };
        ntex::rt::spawn(accept(listener, streams.handle()));
        (streams, inputs)
    }

    pub(super) fn handle(&self) -> Self {
        Self {
            node: self.node,
            incarnation: self.incarnation,
            ring: self.ring.clone(),
            received: self.received.clone(),
            answers: Rc::clone(&self.answers),
            forwards: self.forwards.clone(),
        }
    }

    /// Sends a request to the instance at `to`; the answer arrives as
    /// [`Received`].
    pub(super) fn request(&self, call: Call, to: SocketAddr, message: Message) {
        let streams = self.handle();
        ntex::rt::spawn(async move {
            let requesting = request(&streams, call, to, &message);
            if !matches!(timeout(TIMEOUT, requesting).await, Ok(Ok(()))) {
                let _ = streams.received.send(Received::Failed { call }).await;
            }
        });
    }

    /// Answers the request of a peer.
    pub(super) fn reply(&self, stream: u64, messages: Vec<Message>) {
        let answer = self.answers.borrow_mut().remove(&stream);
        if let Some(answer) = answer {
            let _ = answer.send(messages);
        }
    }

    /// This instance's end of a stream with the given nonce.
    pub(super) fn end(&self, nonce: [u8; 16], side: Side) -> Stream {
        Stream::open(self.node, self.incarnation, self.ring.clone(), nonce, side)
    }
}

/// Reads the next frame; `None` at the end of the stream.
async fn read(tcp: &mut TcpStream, end: &mut Stream) -> Result<Option<Message>, Error> {
    match read_frame(tcp).await? {
        Some(bytes) => Ok(Some(end.receive(&bytes)?.message)),
        None => Ok(None),
    }
}

/// Reads the next frame without opening its seal; `None` at the end of the
/// stream.
pub(super) async fn read_frame(
    tcp: &mut (impl AsyncRead + Unpin),
) -> Result<Option<Vec<u8>>, Error> {
    let mut prefix = [0; Stream::LENGTH_LEN];
    match tcp.read_exact(&mut prefix).await {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
        Err(error) => return Err(error.into()),
    }
    let mut bytes = vec![0; Stream::length(prefix)?];
    tcp.read_exact(&mut bytes).await?;
    Ok(Some(bytes))
}

async fn request(
    streams: &Streams,
    call: Call,
    to: SocketAddr,
    message: &Message,
) -> Result<(), Error> {
    let mut tcp = TcpStream::connect(to).await?;
    tcp.set_nodelay(true)?;
    let mut nonce = [0; 16];
    tcp.read_exact(&mut nonce).await?;
    let mut end = streams.end(nonce, Side::Connector);
    tcp.write_all(&end.seal(message)?).await?;
    let mut answered = false;
    while let Some(message) = read(&mut tcp, &mut end).await? {
        answered = true;
        let _ = streams
            .received
            .send(Received::Answer { call, message })
            .await;
    }
    if answered {
        Ok(())
    } else {
        Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
    }
}

async fn accept(listener: TcpListener, streams: Streams) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let permits = Arc::new(Semaphore::new(MAX_SERVED));
    let mut accepted = 0;
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            ntex::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        accepted += 1;
        let (streams, stream) = (streams.handle(), accepted);
        // Connections beyond the maximum are closed, and their peers ask
        // another instance.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        ntex::rt::spawn(async move {
            let ended = serve(&streams, stream, tcp, permit).await;
            if let Err(Error::Wire(error)) = ended {
                dropped(error);
            }
            streams.answers.borrow_mut().remove(&stream);
        });
    }
}

async fn serve(
    streams: &Streams,
    stream: u64,
    mut tcp: TcpStream,
    permit: OwnedSemaphorePermit,
) -> Result<(), Error> {
    let first = timeout(TIMEOUT, read_first(streams, &mut tcp)).await;
    let Some((end, message)) = first.unwrap_or(Ok(None))? else {
        return Ok(());
    };
    if let Message::Forward { .. } = message {
        // A command stream is long-lived and must not occupy a permit for
        // requests.
        drop(permit);
        streams
            .forwards
            .serve_incoming(stream, tcp, end, message)
            .await;
        return Ok(());
    }
    let answering = answer(streams, stream, tcp, end, message);
    timeout(TIMEOUT, answering).await.unwrap_or(Ok(()))
}

/// Reads the first message of a stream.
async fn read_first(
    streams: &Streams,
    tcp: &mut TcpStream,
) -> Result<Option<(Stream, Message)>, Error> {
    tcp.set_nodelay(true)?;
    let nonce: [u8; 16] = rand::random();
    tcp.write_all(&nonce).await?;
    let mut end = streams.end(nonce, Side::Acceptor);
    let message = read(tcp, &mut end).await?;
    Ok(message.map(|message| (end, message)))
}

async fn answer(
    streams: &Streams,
    stream: u64,
    mut tcp: TcpStream,
    mut end: Stream,
    message: Message,
) -> Result<(), Error> {
    let (answer, answered) = oneshot::channel();
    streams.answers.borrow_mut().insert(stream, answer);
    let _ = streams
        .received
        .send(Received::Request { stream, message })
        .await;
    for message in answered.await.unwrap_or_default() {
        tcp.write_all(&end.seal(&message)?).await?;
    }
    tcp.shutdown().await?;
    Ok(())
}
