//! Minimal HTTP/1.1 for the stand-ins: blocking reads of requests and answers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|p| p.1)
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// How reading a message ended without one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The peer closed before the first byte.
    Closed,
    /// The message ended early: bytes of the body that arrived, and bytes stated.
    Early(usize, usize, String),
    /// No message in time.
    Timeout,
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn open(addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&addr, limit)?))
    }

    /// Reads one message with a body of stated length.
    pub fn read(&mut self, until: Option<Instant>) -> Result<Message, End> {
        let mut chunk = vec![0; 64 << 10];
        let mut any = !self.buffer.is_empty();
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            match self.fill(&mut chunk, until) {
                Ok(0) if !any => return Err(End::Closed),
                Ok(0) => return Err(End::Early(0, 0, "end of stream".into())),
                Ok(_) => any = true,
                Err(e) if is_timeout(&e) => return Err(End::Timeout),
                Err(e) if !any => {
                    let _ = e;
                    return Err(End::Closed);
                }
                Err(e) => return Err(End::Early(0, 0, e.to_string())),
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let size = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
        while self.buffer.len() < size {
            match self.fill(&mut chunk, until) {
                Ok(0) => return Err(End::Early(self.buffer.len(), size, "end of stream".into())),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {
                    return Err(End::Early(self.buffer.len(), size, "no bytes in time".into()));
                }
                Err(e) => return Err(End::Early(self.buffer.len(), size, e.to_string())),
            }
        }
        message.body = self.buffer.drain(..size).collect();
        Ok(message)
    }

    fn fill(&mut self, chunk: &mut [u8], until: Option<Instant>) -> io::Result<usize> {
        let limit = match until {
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
            None => None,
        };
        self.stream.set_read_timeout(limit)?;
        let size = self.stream.read(chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}

/// Encodes an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} x\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Encodes a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
