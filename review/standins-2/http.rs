//! HTTP/1.1 messages as bytes, for stand-ins that must control what is on the wire.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the announced length.
    pub complete: bool,
}

impl Message {
    /// The value of the first header called `name`; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }

    /// The `index`-th word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends before a complete head. `rest` holds bytes of the next one.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if fill(stream, rest)? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message { first: lines.next().unwrap_or("").to_owned(), ..Message::default() };
    for line in lines {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    while rest.len() < length && fill(stream, rest)? > 0 {}
    message.complete = rest.len() >= length;
    message.body = rest.drain(..length.min(rest.len())).collect();
    Ok(Some(message))
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16384];
    let count = stream.read(&mut chunk)?;
    rest.extend_from_slice(&chunk[..count]);
    Ok(count)
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
