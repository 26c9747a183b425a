//! Login of a caller that stays idle, on a blocking socket.
//!
//! The caller keeps nothing in memory but its file descriptor, so the growth of
//! the process is that of the daemon.

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

/// Longest message during a login, in bytes.
const MAX_MESSAGE: usize = 4_096;

/// Connects and logs in, and returns the socket once the daemon is ready for
/// queries.
///
/// # Errors
///
/// Fails if the daemon refuses the login or the socket fails.
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
            b'E' => bail!(
                "the daemon refused the login: {}",
                String::from_utf8_lossy(&body)
            ),
            _ => {}
        }
    }
}

fn respond(socket: &mut TcpStream, body: &[u8], scram: &mut ScramSha256) -> anyhow::Result<()> {
    let (method, rest) = body
        .split_first_chunk::<4>()
        .context("an authentication message is too short")?;
    let mut buf = BytesMut::new();
    match i32::from_be_bytes(*method) {
        0 => {}
        10 => frontend::sasl_initial_response(SCRAM_SHA_256, scram.message(), &mut buf)?,
        11 => {
            scram.update(rest)?;
            frontend::sasl_response(scram.message(), &mut buf)?;
        }
        12 => scram.finish(rest)?,
        other => bail!("unsupported authentication method {other}"),
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
        .context("a message has an invalid length")?;
    if length > MAX_MESSAGE {
        bail!("a message of {length} bytes exceeds the limit of {MAX_MESSAGE}");
    }
    let mut body = vec![0; length];
    socket.read_exact(&mut body)?;
    Ok((head[0], body))
}
