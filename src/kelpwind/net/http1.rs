//! One HTTP/1.1 client connection that knows exactly what was sent and what came back.
//!
//! General clients hide the two facts that decide whether a request may be sent again: whether any
//! byte of it left, and which answer belongs to it. Here both are explicit: [`Fault::Unsent`] is
//! returned only when nothing was written, and an answer that belongs to an earlier request is
//! skipped. Heads are parsed by `httparse`.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Most headers of one answer.
const HEADERS_MAX: usize = 64;
/// Largest head of an answer, in bytes.
const HEAD_MAX: usize = 64 << 10;
/// Largest body of an answer, in bytes.
const BODY_MAX: usize = 64 << 20;
/// Space read into at once, in bytes.
const READ_SIZE: usize = 8 << 10;
/// Answers to other requests that are skipped before the connection is given up.
const STRAY_MAX: usize = 3;
/// Time without traffic after which a connection is probed. With the interval and count below, a
/// connection that has gone silent breaks in 3 s, the time in which a host counts as out of contact.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection breaks.
const KEEPALIVE_COUNT: u32 = 2;
/// Time for which sent bytes may stay unconfirmed before the connection breaks.
const UNCONFIRMED_MAX: Duration = Duration::from_millis(1500);

/// Status and headers of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<(String, Bytes)>,
}

impl Head {
    /// The value of a header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, v)| std::str::from_utf8(v).ok())
    }
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status and headers.
    pub head: Head,
    /// The body, decoded from chunks.
    pub body: Bytes,
}

/// Why a request brought no whole answer.
#[derive(Debug, displaydoc::Display)]
pub enum ExchangeError {
    /// nothing was sent
    Unsent(io::Error),
    /// the connection ended before the answer began
    Closed,
    /// the connection failed after the request was sent
    Broken(io::Error),
    /// the answer ended before it was whole
    Truncated,
    /// the answer is not HTTP/1.1
    Malformed,
}

impl std::error::Error for ExchangeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ExchangeError::Unsent(e) | ExchangeError::Broken(e) => Some(e),
            _ => None,
        }
    }
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// A connection that serves one request at a time.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    idle_until: Option<Instant>,
}

/// How the length of a body is told.
enum Framing {
    None,
    Length(usize),
    Chunked,
    UntilClose,
}

impl Conn {
    /// Opens a connection, from `local` if given.
    pub async fn open(addr: SocketAddr, local: Option<IpAddr>) -> io::Result<Conn> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(local) = local.filter(|l| l.is_ipv4() == addr.is_ipv4()) {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        let stream = socket.connect(addr).await?;
        set_dead_peer_timeouts(&stream)?;
        Ok(Conn { stream, buffer: BytesMut::new(), reusable: true, idle_until: None })
    }

    /// Whether another request may be sent: the connection is open, within the idle time that the
    /// other end announced, and no byte has arrived that nobody asked for.
    pub fn is_ready(&mut self, now: Instant) -> bool {
        if !self.reusable || !self.buffer.is_empty() {
            return false;
        }
        if self.idle_until.is_some_and(|until| now >= until) {
            return false;
        }
        let mut byte = [0; 1];
        matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the other end has the connection open, whatever state it is in. Bytes that nobody will
    /// read are dropped.
    pub fn is_open(&mut self) -> bool {
        let mut dropped = [0; 256];
        loop {
            match self.stream.try_read(&mut dropped) {
                Ok(0) => return false,
                Ok(_) => self.reusable = false,
                Err(e) => return e.kind() == io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Whether the last exchange left the connection in a state in which it can be used again.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// Sends a request, `head` with its final empty line, and reads the first answer that `belongs`
    /// accepts.
    pub async fn exchange(
        &mut self,
        method: &str,
        head: &[u8],
        body: &[u8],
        belongs: impl Fn(&Head) -> bool,
    ) -> Result<Response> {
        self.reusable = false;
        let mut request = Bytes::copy_from_slice(head).chain(body);
        match self.stream.write_buf(&mut request).await {
            Ok(0) => return Err(ExchangeError::Unsent(io::ErrorKind::WriteZero.into())),
            Ok(_) => {}
            Err(e) => return Err(ExchangeError::Unsent(e)),
        }
        let mut sent = !request.has_remaining();
        let mut strays = 0;
        loop {
            let answer = if sent {
                read_answer(&mut self.stream, &mut self.buffer, method).await?
            } else {
                // The other end may answer before it has read the whole body.
                let (mut reader, mut writer) = self.stream.split();
                let write = async {
                    while request.has_remaining() {
                        writer.write_buf(&mut request).await.map_err(ExchangeError::Broken)?;
                    }
                    Ok::<(), ExchangeError>(())
                };
                let read = read_answer(&mut reader, &mut self.buffer, method);
                tokio::pin!(read);
                let early = tokio::select! {
                    answer = &mut read => Some(answer?),
                    written = write => { written?; None }
                };
                match early {
                    Some(answer) => answer,
                    None => {
                        sent = true;
                        read.await?
                    }
                }
            };
            let (answer, ends) = answer;
            if !belongs(&answer.head) {
                strays += 1;
                if strays >= STRAY_MAX || ends {
                    return Err(ExchangeError::Malformed);
                }
                continue;
            }
            self.idle_until = idle_until(&answer.head, Instant::now());
            self.reusable = sent && !ends && strays == 0 && !says_close(&answer.head);
            return Ok(answer);
        }
    }
}

/// Makes a connection break in bounded time when the other end has fallen silent.
///
/// # Errors
/// The socket refused an option.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNCONFIRMED_MAX))
}

/// When the announced idle time of a connection ends. A whole second is kept off it, so that no
/// request crosses the other end's close.
fn idle_until(head: &Head, now: Instant) -> Option<Instant> {
    let value = head.header("keep-alive")?;
    let secs = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let secs: u64 = secs.trim().parse().ok()?;
    Some(now + Duration::from_secs(secs).saturating_sub(Duration::from_secs(1)))
}

fn says_close(head: &Head) -> bool {
    head.header("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
}

/// Reads one answer; also says whether the connection ended with it.
async fn read_answer<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    method: &str,
) -> Result<(Response, bool)> {
    let head = loop {
        let head = read_head(reader, buffer).await?;
        // 1xx heads only announce the answer.
        if head.status >= 200 {
            break head;
        }
    };
    let (body, ends) = match framing(&head, method)? {
        Framing::None => (Bytes::new(), false),
        Framing::Length(size) => (read_exactly(reader, buffer, size).await?, false),
        Framing::Chunked => (read_chunks(reader, buffer).await?, false),
        Framing::UntilClose => (read_to_end(reader, buffer).await?, true),
    };
    Ok((Response { head, body }, ends))
}

async fn read_head<R: AsyncReadExt + Unpin>(reader: &mut R, buffer: &mut BytesMut) -> Result<Head> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(size)) => {
                let status = parsed.code.ok_or(ExchangeError::Malformed)?;
                let copy =
                    |h: &httparse::Header<'_>| (h.name.to_owned(), Bytes::copy_from_slice(h.value));
                let headers = parsed.headers.iter().map(copy).collect();
                buffer.advance(size);
                return Ok(Head { status, headers });
            }
            Ok(httparse::Status::Partial) if buffer.len() < HEAD_MAX => {}
            _ => return Err(ExchangeError::Malformed),
        }
        let empty = buffer.is_empty();
        if more(reader, buffer).await? == 0 {
            return Err(if empty { ExchangeError::Closed } else { ExchangeError::Truncated });
        }
    }
}

fn framing(head: &Head, method: &str) -> Result<Framing> {
    if method == "HEAD" || matches!(head.status, 204 | 304) {
        return Ok(Framing::None);
    }
    if let Some(coding) = head.header("transfer-encoding") {
        let chunked = coding.trim().eq_ignore_ascii_case("chunked");
        return if chunked { Ok(Framing::Chunked) } else { Err(ExchangeError::Malformed) };
    }
    match head.header("content-length") {
        None => Ok(Framing::UntilClose),
        Some(size) => match size.trim().parse() {
            Ok(size) if size <= BODY_MAX => Ok(Framing::Length(size)),
            _ => Err(ExchangeError::Malformed),
        },
    }
}

async fn more<R: AsyncReadExt + Unpin>(reader: &mut R, buffer: &mut BytesMut) -> Result<usize> {
    buffer.reserve(READ_SIZE);
    reader.read_buf(buffer).await.map_err(ExchangeError::Broken)
}

async fn read_exactly<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    size: usize,
) -> Result<Bytes> {
    while buffer.len() < size {
        if more(reader, buffer).await? == 0 {
            return Err(ExchangeError::Truncated);
        }
    }
    Ok(buffer.split_to(size).freeze())
}

async fn read_to_end<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
) -> Result<Bytes> {
    while more(reader, buffer).await? > 0 {
        if buffer.len() > BODY_MAX {
            return Err(ExchangeError::Malformed);
        }
    }
    Ok(buffer.split().freeze())
}

async fn read_chunks<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
) -> Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
            Ok(httparse::Status::Partial) => {
                if more(reader, buffer).await? == 0 {
                    return Err(ExchangeError::Truncated);
                }
                continue;
            }
            Err(_) => return Err(ExchangeError::Malformed),
        };
        buffer.advance(start);
        if size == 0 {
            read_trailers(reader, buffer).await?;
            return Ok(body.freeze());
        }
        if body.len() + size > BODY_MAX {
            return Err(ExchangeError::Malformed);
        }
        let chunk = read_exactly(reader, buffer, size + 2).await?;
        if !chunk.ends_with(b"\r\n") {
            return Err(ExchangeError::Malformed);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

async fn read_trailers<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
) -> Result<()> {
    loop {
        if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
            buffer.advance(end + 2);
            if end == 0 {
                return Ok(());
            }
            continue;
        }
        if more(reader, buffer).await? == 0 {
            return Err(ExchangeError::Truncated);
        }
    }
}
