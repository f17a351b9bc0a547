//! HTTP/1.1 over blocking sockets, as far as the stand-ins speak it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A message that was read: a request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.word(1).split_once('?')?.1.split('&');
        pairs.filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return if message.line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(from: &mut impl BufRead, into: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size];
        from.read_exact(&mut chunk)?;
        into.extend(chunk);
        let mut end = String::new();
        from.read_line(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a request; `None` if the connection was closed before one.
pub fn read_request(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|it| it.parse().ok());
    if message.header("transfer-encoding").is_some() {
        read_chunks(from, &mut message.body)?;
    } else {
        message.body = vec![0; length.unwrap_or(0)];
        from.read_exact(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(Some(message))
}

/// Reads an answer. One that breaks off is returned as far as it came.
pub fn read_answer(from: &mut impl BufRead) -> io::Result<Message> {
    let found = read_head(from)?;
    let mut message = found.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    if message.header("transfer-encoding").is_some() {
        message.is_whole = read_chunks(from, &mut message.body).is_ok();
    } else if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
        let read = from.take(length).read_to_end(&mut message.body);
        message.is_whole = read.is_ok() && message.body.len() as u64 == length;
    } else {
        message.is_whole = from.read_to_end(&mut message.body).is_ok();
    }
    Ok(message)
}

/// Formats an answer with its length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

/// Formats a request with its length.
pub fn request(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || line.starts_with("POST") {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

/// Sends a request on a connection of its own, and reads the answer.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}
