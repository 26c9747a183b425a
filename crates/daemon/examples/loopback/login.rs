//! The login of a caller that then stays idle, on a plain blocking socket.
//!
//! Nothing of the caller's side stays in memory but its file descriptor, so
//! that what the process grows by is the daemon's.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use anyhow::{Context, bail};
use bytes::BytesMut;
use postgres_protocol::{
    authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256},
    message::frontend,
};

use crate::common::caller::{PASSWORD, USER};

/// The longest message of a login, in bytes.
const MAX_MESSAGE: usize = 4_096;

/// Connects, logs in, and returns the socket once the greeting is read.
///
/// # Errors
///
/// What the daemon refused, or why the socket failed.
pub(crate) fn log_in(address: SocketAddr, entry: &str) -> anyhow::Result<TcpStream> {
    let mut socket = TcpStream::connect(address)?;
    let mut buf = BytesMut::new();
    frontend::startup_message([("user", USER), ("database", entry)], &mut buf)?;
    socket.write_all(&buf)?;
    let mut scram = ScramSha256::new(PASSWORD.as_bytes(), ChannelBinding::unsupported());
    loop {
        let (tag, body) = read_message(&mut socket)?;
        match tag {
            b'R' => respond(&mut socket, &body, &mut scram)?,
            b'Z' => return Ok(socket),
            b'E' => bail!("refused: {}", String::from_utf8_lossy(&body)),
            _ => {}
        }
    }
}

fn respond(socket: &mut TcpStream, body: &[u8], scram: &mut ScramSha256) -> anyhow::Result<()> {
    let (method, rest) = body.split_first_chunk::<4>().context("a short message")?;
    let mut buf = BytesMut::new();
    match i32::from_be_bytes(*method) {
        0 => {}
        10 => frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut buf)?,
        11 => {
            scram.update(rest)?;
            frontend::sasl_response(scram.message(), &mut buf)?;
        }
        12 => scram.finish(rest)?,
        other => bail!("the login method {other} is not known"),
    }
    socket.write_all(&buf)?;
    Ok(())
}

fn read_message(socket: &mut TcpStream) -> anyhow::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    socket.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let length = length
        .checked_sub(4)
        .context("a message without a length")?;
    if length > MAX_MESSAGE {
        bail!("a message of {length} bytes during the login");
    }
    let mut body = vec![0; length];
    socket.read_exact(&mut body)?;
    Ok((head[0], body))
}
