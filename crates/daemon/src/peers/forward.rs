//! Streams that carry commands to the holders of upstream connections.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use bytes::Bytes;
use model::name;
use ntex::time::{Millis, timeout};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::OwnedReadHalf},
    sync::mpsc,
};
use wire::{Message, Side, Stream};

use super::{
    datagram::dropped,
    stream::{Error, Streams, read_frame},
};
use crate::{
    forward::{Command, Conn, In, NO_SEQ, Response, Seq},
    ring,
};

/// Timeout of connecting to another instance.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Maximum number of commands or answers that wait for one stream.
const QUEUE_CAPACITY: usize = 1_024;

type Frames = mpsc::Sender<Message>;
type Commands = mpsc::Sender<(Seq, Command)>;

/// Command streams to and from other instances.
#[derive(Clone)]
pub(super) struct Forwards {
    /// Messages to the upstreams' duty.
    pub(super) ins: ring::Shared<In>,
    outgoing: Rc<RefCell<HashMap<name::Instance, Commands>>>,
    incoming: Rc<RefCell<HashMap<Conn, Frames>>>,
    /// Last notice of this instance's stop that was sent to connected
    /// instances.
    last_notice: Rc<Cell<Option<StopNotice>>>,
}

impl Forwards {
    /// Creates the set of streams, which is empty at first.
    pub(super) fn open(ins: ring::Shared<In>) -> Self {
        Self {
            ins,
            outgoing: Rc::default(),
            incoming: Rc::default(),
            last_notice: Rc::default(),
        }
    }

    /// Sends a command to the instance `to` at `address`.
    pub(super) async fn send_command(
        &self,
        streams: &Streams,
        to: &name::Instance,
        address: Option<SocketAddr>,
        seq: Seq,
        command: Command,
    ) {
        let Some(address) = address else {
            return self.ins.send(In::Unsent { seq }).await;
        };
        let known = self.outgoing.borrow().get(to).cloned();
        let sender = known.unwrap_or_else(|| self.connect(streams, to, address));
        // A blocked stream must not delay the others.
        if sender.try_send((seq, command)).is_err() {
            self.ins.send(In::Unsent { seq }).await;
        }
    }

    /// Sends an answer on the stream `conn`.
    pub(super) async fn send_answer(&self, conn: Conn, seq: Seq, response: &Response) {
        let frames = self.incoming.borrow().get(&conn).cloned();
        let Some(frames) = frames else { return };
        let Ok(body) = postcard::to_allocvec(response) else {
            return;
        };
        let message = Message::Answer {
            generation: 0,
            sequence: seq,
            body: Bytes::from(body),
        };
        let _ = frames.send(message).await;
    }

    /// Notifies all connected instances that this one is stopping.
    pub(super) async fn notify_stop(&self, notice: StopNotice) {
        self.last_notice.set(Some(notice));
        let all: Vec<_> = self.incoming.borrow().values().cloned().collect();
        for frames in all {
            let _ = frames.send(notice.message()).await;
        }
    }

    fn connect(&self, streams: &Streams, to: &name::Instance, address: SocketAddr) -> Commands {
        let (sender, commands) = mpsc::channel(QUEUE_CAPACITY);
        self.outgoing
            .borrow_mut()
            .insert(to.clone(), sender.clone());
        let (forwards, streams, to) = (self.clone(), streams.handle(), to.clone());
        ntex::rt::spawn(async move {
            forwards
                .serve_outgoing(&streams, to, address, commands)
                .await
        });
        sender
    }

    /// Sends commands until the stream ends, and reports the fate of the rest.
    async fn serve_outgoing(
        &self,
        streams: &Streams,
        to: name::Instance,
        address: SocketAddr,
        mut commands: mpsc::Receiver<(Seq, Command)>,
    ) {
        let mut upto = NO_SEQ;
        let opened = timeout(CONNECT_TIMEOUT, open(streams, address)).await;
        let ended = match opened {
            Ok(Ok((tcp, end))) => {
                self.run_commands(&to, tcp, end, &mut commands, &mut upto)
                    .await
            }
            Ok(Err(_)) | Err(()) => Ended::Broken,
        };
        self.outgoing.borrow_mut().remove(&to);
        commands.close();
        // Commands that are still queued were not sent.
        while let Some((seq, _)) = commands.recv().await {
            self.ins.send(In::Unsent { seq }).await;
        }
        let input = match ended {
            Ended::Left => In::Left { to, upto },
            Ended::Broken => In::Down { to, upto },
        };
        self.ins.send(input).await;
    }

    /// Writes commands and reads answers until the stream ends; `upto` is set
    /// to the last command that may have been sent.
    async fn run_commands(
        &self,
        to: &name::Instance,
        tcp: TcpStream,
        mut end: Stream,
        commands: &mut mpsc::Receiver<(Seq, Command)>,
        upto: &mut Seq,
    ) -> Ended {
        let (read, mut write) = tcp.into_split();
        let (frames_tx, mut frames) = mpsc::channel(QUEUE_CAPACITY);
        ntex::rt::spawn(read_all(read, frames_tx));
        loop {
            tokio::select! {
                Some((seq, command)) = commands.recv() => {
                    // Only a command that exceeds the frame size is refused.
                    let Ok(bytes) = end.seal(&forward(seq, &command)) else {
                        self.ins.send(In::Unsent { seq }).await;
                        continue;
                    };
                    *upto = seq;
                    if write.write_all(&bytes).await.is_err() {
                        return Ended::Broken;
                    }
                }
                bytes = frames.recv() => {
                    let Some(bytes) = bytes else { return Ended::Broken };
                    match end.receive(&bytes) {
                        Ok(frame) if is_bye(&frame.message) => return Ended::Left,
                        Ok(frame) => self.receive_answer(to, frame.message).await,
                        Err(error) => {
                            dropped(error);
                            return Ended::Broken;
                        }
                    }
                }
            }
        }
    }

    async fn receive_answer(&self, to: &name::Instance, message: Message) {
        if let Message::Answer { sequence, body, .. } = message
            && let Ok(response) = postcard::from_bytes(&body)
        {
            let input = match response {
                Response::Leaving => In::Leaving { to: to.clone() },
                response => In::Answered {
                    seq: sequence,
                    response,
                },
            };
            self.ins.send(input).await;
        }
    }

    /// Serves the commands of an instance on `tcp`, whose first command has
    /// been read.
    pub(super) async fn serve_incoming(
        &self,
        conn: Conn,
        tcp: TcpStream,
        mut end: Stream,
        first: Message,
    ) {
        let (answers_tx, mut answers) = mpsc::channel(QUEUE_CAPACITY);
        if let Some(notice) = self.last_notice.get() {
            let _ = answers_tx.try_send(notice.message());
        }
        self.incoming.borrow_mut().insert(conn, answers_tx);
        let (read, mut write) = tcp.into_split();
        let (frames_tx, mut frames) = mpsc::channel(QUEUE_CAPACITY);
        ntex::rt::spawn(read_all(read, frames_tx));
        self.receive_command(conn, first).await;
        loop {
            tokio::select! {
                Some(message) = answers.recv() => {
                    let Ok(bytes) = end.seal(&message) else { break };
                    if write.write_all(&bytes).await.is_err() {
                        break;
                    }
                    if is_bye(&message) {
                        let _ = write.shutdown().await;
                        break;
                    }
                }
                bytes = frames.recv() => {
                    let Some(bytes) = bytes else { break };
                    match end.receive(&bytes) {
                        Ok(frame) => self.receive_command(conn, frame.message).await,
                        Err(error) => {
                            dropped(error);
                            break;
                        }
                    }
                }
            }
        }
        self.incoming.borrow_mut().remove(&conn);
        self.ins.send(In::Gone { conn }).await;
    }

    async fn receive_command(&self, conn: Conn, message: Message) {
        if let Message::Forward { sequence, body, .. } = message
            && let Ok(command) = postcard::from_bytes(&body)
        {
            self.ins
                .send(In::Asked {
                    conn,
                    seq: sequence,
                    command,
                })
                .await;
        }
    }
}

/// End of a command stream.
#[derive(Debug)]
enum Ended {
    /// The holder sent [`Response::Bye`].
    Left,
    /// Any other end.
    Broken,
}

/// Message of a command.
fn forward(seq: Seq, command: &Command) -> Message {
    let body = postcard::to_allocvec(command).unwrap_or_default();
    Message::Forward {
        generation: 0,
        sequence: seq,
        body: Bytes::from(body),
    }
}

/// Notice of a stopping instance to connected instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopNotice {
    /// [`Response::Leaving`].
    Leaving,
    /// [`Response::Bye`].
    Bye,
}

impl StopNotice {
    fn message(self) -> Message {
        let response = match self {
            Self::Leaving => Response::Leaving,
            Self::Bye => Response::Bye,
        };
        let body = postcard::to_allocvec(&response).unwrap_or_default();
        Message::Answer {
            generation: 0,
            sequence: NO_SEQ,
            body: Bytes::from(body),
        }
    }
}

/// Returns true if a message is the last of a stopping instance.
fn is_bye(message: &Message) -> bool {
    *message == StopNotice::Bye.message()
}

/// Opens a stream to another instance.
async fn open(streams: &Streams, address: SocketAddr) -> Result<(TcpStream, Stream), Error> {
    let mut tcp = TcpStream::connect(address).await?;
    tcp.set_nodelay(true)?;
    let mut nonce = [0; 16];
    tcp.read_exact(&mut nonce).await?;
    let end = streams.end(nonce, Side::Connector);
    Ok((tcp, end))
}

/// Reads sealed frames until the stream ends.
///
/// Runs as a separate task, because a cancelled read would lose the bytes that
/// it has already taken.
async fn read_all(mut read: OwnedReadHalf, frames: mpsc::Sender<Vec<u8>>) {
    while let Ok(Some(bytes)) = read_frame(&mut read).await {
        if frames.send(bytes).await.is_err() {
            return;
        }
    }
}
