//! Decodes the messages from callers that the proxy interprets.

use bytes::{Buf, BytesMut};
use pgwire::messages::{
    DecodeContext, Message, PgWireFrontendMessage,
    cancel::CancelRequest,
    extendedquery::{Bind, Close, Describe, Execute, Parse},
    startup::{self, GssEncRequest, SslRequest},
};

use crate::{Error, Frame};

/// Largest first message of a connection, in bytes; PostgreSQL has the same limit.
pub const MAX_STARTUP: usize = 10_000;

/// The first message of a connection, which has no tag.
#[derive(Debug)]
pub enum Startup {
    /// The caller asks for TLS.
    Tls,
    /// The caller asks for GSSAPI encryption.
    Gss,
    /// The caller asks to cancel another connection's statement.
    Cancel(CancelRequest),
    /// The caller starts a session.
    Session(startup::Startup),
    /// The caller uses another version of the protocol.
    Version {
        /// Major version.
        major: u16,
        /// Minor version.
        minor: u16,
    },
}

/// Removes the first message of a connection from `buf`; returns `None` if `buf`
/// does not hold all of it yet.
///
/// # Errors
///
/// Returns an [`Error`] if the bytes are not a valid first message.
pub fn decode_startup(buf: &mut BytesMut) -> Result<Option<Startup>, Error> {
    if buf.len() < 8 {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]);
    if (length as usize) < 8 {
        return Err(Error::Short { tag: ' ', length });
    }
    if length as usize > MAX_STARTUP {
        return Err(Error::Oversized {
            tag: ' ',
            length,
            most: MAX_STARTUP,
        });
    }
    if buf.len() < length as usize {
        return Ok(None);
    }
    let mut packet = buf.split_to(length as usize);
    let malformed = |what| Error::Malformed { tag: ' ', what };
    if SslRequest::is_ssl_request_packet(&packet) {
        return Ok(Some(Startup::Tls));
    }
    if GssEncRequest::is_gss_enc_request_packet(&packet) {
        return Ok(Some(Startup::Gss));
    }
    let context = DecodeContext::default();
    if CancelRequest::is_cancel_request_packet(&packet) {
        if packet.len() < 16 {
            return Err(malformed("a cancel request without a key"));
        }
        let cancel = CancelRequest::decode(&mut packet, &context).ok().flatten();
        return cancel
            .map(|it| Some(Startup::Cancel(it)))
            .ok_or(malformed("a cancel request"));
    }
    let (major, minor) = (packet.get(4..6), packet.get(6..8));
    let number = |it: Option<&[u8]>| it.map_or(0, |mut it| it.get_u16());
    if number(major) != 3 {
        let (major, minor) = (number(major), number(minor));
        return Ok(Some(Startup::Version { major, minor }));
    }
    if packet.len() == 8 || packet.last() != Some(&0) {
        return Err(malformed("the parameters don't end"));
    }
    let session = startup::Startup::decode(&mut packet, &context)
        .ok()
        .flatten();
    session
        .map(|it| Some(Startup::Session(it)))
        .ok_or(malformed("the parameters"))
}

/// A message from a caller within a session.
#[derive(Debug)]
pub enum Frontend {
    /// Runs a simple query.
    Query(String),
    /// Prepares a statement.
    Parse(Parse),
    /// Binds parameters to a statement, which gives a portal.
    Bind(Bind),
    /// Asks for the parameters and result columns of a statement or portal.
    Describe(Describe),
    /// Runs a portal.
    Execute(Execute),
    /// Closes a statement or a portal.
    Close(Close),
    /// Asks for all pending answers.
    Flush,
    /// Ends a batch of the extended protocol.
    Sync,
    /// Ends the session.
    Terminate,
    /// Carries data of a `COPY`, which is not supported.
    Copy,
}

/// Decodes a message of a session.
///
/// # Errors
///
/// Returns an [`Error`] if the type is unknown or the body is malformed.
pub fn decode(frame: &Frame) -> Result<Frontend, Error> {
    let tag = char::from(frame.tag());
    match tag {
        'Q' => return query(frame),
        'H' => return Ok(Frontend::Flush),
        'S' => return Ok(Frontend::Sync),
        'X' => return Ok(Frontend::Terminate),
        'd' | 'c' | 'f' => return Ok(Frontend::Copy),
        'P' => check_parse(frame.body())?,
        'B' => check_bind(frame.body())?,
        'D' | 'C' => check_target(tag, frame.body())?,
        'E' => check_execute(frame.body())?,
        _ => return Err(Error::Unexpected(tag)),
    }
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let mut buf = BytesMut::from(frame.bytes());
    let malformed = Error::Malformed {
        tag,
        what: "its contents",
    };
    match PgWireFrontendMessage::decode(&mut buf, &context) {
        Ok(Some(PgWireFrontendMessage::Parse(it))) => Ok(Frontend::Parse(it)),
        Ok(Some(PgWireFrontendMessage::Bind(it))) => Ok(Frontend::Bind(it)),
        Ok(Some(PgWireFrontendMessage::Describe(it))) => Ok(Frontend::Describe(it)),
        Ok(Some(PgWireFrontendMessage::Execute(it))) => Ok(Frontend::Execute(it)),
        Ok(Some(PgWireFrontendMessage::Close(it))) => Ok(Frontend::Close(it)),
        _ => Err(malformed),
    }
}

fn query(frame: &Frame) -> Result<Frontend, Error> {
    let body = frame.body();
    let text = body.strip_suffix(&[0]).ok_or(Error::Malformed {
        tag: 'Q',
        what: "no end",
    })?;
    let text = std::str::from_utf8(text);
    let text = text.map_err(|_| Error::Malformed {
        tag: 'Q',
        what: "not UTF-8",
    })?;
    Ok(Frontend::Query(text.to_owned()))
}

/// Reads a body and checks each length and count in it against the bytes left.
///
/// The decoder of `pgwire` trusts the counts in a message and panics if the
/// body is shorter, which would end the thread that serves all callers. Each
/// body is therefore checked here first.
struct Cursor<'a> {
    tag: char,
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    fn fail<T>(&self, what: &'static str) -> Result<T, Error> {
        Err(Error::Malformed {
            tag: self.tag,
            what,
        })
    }

    fn text(&mut self) -> Result<&'a str, Error> {
        let Some(end) = self.rest.iter().position(|&byte| byte == 0) else {
            return self.fail("a text without an end");
        };
        let (text, rest) = self.rest.split_at(end);
        self.rest = &rest[1..];
        std::str::from_utf8(text).map_err(|_| Error::Malformed {
            tag: self.tag,
            what: "a text that is not UTF-8",
        })
    }

    fn skip(&mut self, count: usize) -> Result<(), Error> {
        if self.rest.len() < count {
            return self.fail("shorter than its counts say");
        }
        self.rest = &self.rest[count..];
        Ok(())
    }

    fn count(&mut self) -> Result<usize, Error> {
        if self.rest.len() < 2 {
            return self.fail("a count is missing");
        }
        let count = self.rest.get_i16();
        usize::try_from(count).or_else(|_| self.fail("a negative count"))
    }

    fn end(&self) -> Result<(), Error> {
        if self.rest.is_empty() {
            Ok(())
        } else {
            self.fail("bytes after its end")
        }
    }
}

fn check_parse(body: &[u8]) -> Result<(), Error> {
    let mut cursor = Cursor {
        tag: 'P',
        rest: body,
    };
    cursor.text()?;
    cursor.text()?;
    let types = cursor.count()?;
    cursor.skip(types * 4)?;
    cursor.end()
}

fn check_bind(body: &[u8]) -> Result<(), Error> {
    let mut cursor = Cursor {
        tag: 'B',
        rest: body,
    };
    cursor.text()?;
    cursor.text()?;
    let formats = cursor.count()?;
    cursor.skip(formats * 2)?;
    for _ in 0..cursor.count()? {
        if cursor.rest.len() < 4 {
            return cursor.fail("a parameter's length is missing");
        }
        let length = cursor.rest.get_i32();
        if length >= 0 {
            cursor.skip(length as usize)?;
        }
    }
    let results = cursor.count()?;
    cursor.skip(results * 2)?;
    cursor.end()
}

fn check_target(tag: char, body: &[u8]) -> Result<(), Error> {
    let mut cursor = Cursor { tag, rest: body };
    if !matches!(body.first(), Some(b'S' | b'P')) {
        return cursor.fail("neither a statement nor a portal");
    }
    cursor.skip(1)?;
    cursor.text()?;
    cursor.end()
}

fn check_execute(body: &[u8]) -> Result<(), Error> {
    let mut cursor = Cursor {
        tag: 'E',
        rest: body,
    };
    cursor.text()?;
    cursor.skip(4)?;
    cursor.end()
}
