//! A client's session.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Client {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// `DONE`, the error's code, or `CLOSED` if the connection ended or stayed silent.
    pub status: String,
    pub text: String,
    pub rows: Vec<String>,
    pub state: String,
}

impl Client {
    pub fn start(address: SocketAddr, database: &str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut client = Self {
            output: stream.try_clone()?,
            input: BufReader::new(stream),
        };
        let hello = format!("START {database} reviewer\r\n");
        client.output.write_all(hello.as_bytes())?;
        let mut line = String::new();
        client.input.read_line(&mut line)?;
        match line.starts_with("READY") {
            true => Ok(client),
            false => Err(io::Error::other(line)),
        }
    }

    pub fn ask(&mut self, id: &str, text: &str) -> Answer {
        self.try_ask(id, text).unwrap_or_else(|_| Answer {
            status: "CLOSED".to_owned(),
            ..Answer::default()
        })
    }

    fn try_ask(&mut self, id: &str, text: &str) -> io::Result<Answer> {
        let line = format!("QUERY {id} {text}\r\n");
        self.output.write_all(line.as_bytes())?;
        let mut answer = Answer::default();
        loop {
            let mut line = String::new();
            if self.input.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "DONE" => answer.status = "DONE".to_owned(),
                "ERR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    answer.status = code.to_owned();
                    answer.text = text.to_owned();
                }
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(answer);
                }
                _ => return Err(io::Error::other("not understood")),
            }
        }
    }
}
