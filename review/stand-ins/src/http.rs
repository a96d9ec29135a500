//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path of a request, with its query.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// A parameter of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target().split_once('?')?.1.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// An answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Message {
    let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    Message { first: format!("HTTP/1.1 {status} -"), headers, body: body.into() }
}

/// Reads one message; `None` if the connection ends before it is whole. `rest` keeps what was read
/// beyond it.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = vec![0; 64 << 10];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            size => rest.extend_from_slice(&chunk[..size]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let size: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while rest.len() < size {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            read => rest.extend_from_slice(&chunk[..read]),
        }
    }
    message.body = rest.drain(..size).collect();
    Ok(Some(message))
}

/// Writes one message with its length.
pub fn write(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    let mut head = format!("{}\r\n", message.first);
    for (name, value) in &message.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", message.body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&message.body);
    stream.write_all(&bytes)
}

/// Sends a request over a new connection and reads the answer.
pub fn call(addr: SocketAddr, request: &Message, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    write(&mut stream, request)?;
    read(&mut stream, &mut Vec::new())?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Message {
    let headers = headers.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
    Message { first: format!("{method} {target} HTTP/1.1"), headers, body: body.to_vec() }
}

/// Serves requests in threads until `ended` is set; then all connections close. `handle` returns
/// `None` to close the connection without an answer.
pub fn serve(
    addr: SocketAddr,
    ended: Arc<AtomicBool>,
    handle: impl Fn(Message) -> Option<Message> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            let Ok((mut stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (handle, ended) = (handle.clone(), ended.clone());
            std::thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                // The end of the process closes its connections, whatever they wait for.
                if let Ok(closer) = stream.try_clone() {
                    std::thread::spawn(move || {
                        while !ended.load(Ordering::SeqCst) {
                            std::thread::sleep(Duration::from_millis(5));
                            if closer.peer_addr().is_err() {
                                return;
                            }
                        }
                        let _ = closer.shutdown(std::net::Shutdown::Both);
                    });
                }
                let mut rest = Vec::new();
                while let Ok(Some(request)) = read(&mut stream, &mut rest) {
                    let Some(answer) = handle(request) else { break };
                    if write(&mut stream, &answer).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    Ok(())
}
