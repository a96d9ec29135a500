//! An HTTP/1.1 client connection that reports exactly what was sent and received.
//!
//! Whether a request may be retried depends on two facts that general-purpose clients hide: whether
//! any byte of it was sent, and which response belongs to it. Here [`ExchangeError::Unsent`] is
//! returned only if nothing was written, and a response to an earlier request is skipped. Heads are
//! parsed by `httparse`.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::yield_now;
use tokio::time::timeout;

use super::memory::{Hold, MemoryAccount, Place};

/// Statuses that HTTP defines. One below 100 is no interim response, so no other one need follow it.
pub(crate) const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// What each response begins with.
const RESPONSE_START: &[u8] = b"HTTP/";
/// Maximum number of headers of a response.
const HEADERS_MAX: usize = 64;
/// Largest head of a response, in bytes, and largest size of the 1xx heads before it together. The
/// node takes heads of this size from callers too.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Largest size of the chunk extensions of a response together, in bytes, as hyper limits them.
const EXTENSION_BYTES_MAX: usize = 16 << 10;
/// Size of a chunk's line without extensions: 16 digits at most, and the end of the line.
const CHUNK_LINE_BYTES: usize = 18;
/// Largest size of the trailers of a response together, in bytes, as hyper limits them.
const TRAILER_BYTES_MAX: usize = 16 << 10;
/// Largest block in which a body of unknown length is kept until it is whole, in bytes, unless more arrives
/// at once. Smaller ones are as large as all before them.
const BLOCK_BYTES_MAX: usize = 4 << 20;
/// Buffer space reserved for each read of a head, in bytes.
const READ_BYTES: usize = 8 << 10;
/// Buffer space reserved for each read of a body, in bytes.
const BODY_READ_BYTES: usize = 64 << 10;
/// Number of bytes of a body after which other tasks run, since the node has one thread. The
/// runtime by itself lets 128 reads pass, which is 8 MB.
const YIELD_BYTES: usize = 256 << 10;
/// Size up to which bodies do not count towards the memory for bodies, in bytes, so that large ones
/// never displace usual ones.
const SMALL_BODY_BYTES: usize = 256 << 10;
/// Most unread bytes that one check of a connection discards: several late responses to grants, and
/// read in well under a millisecond.
const DISCARD_BYTES_MAX: usize = 64 << 10;
/// Number of responses to other requests at which the exchange fails.
const MISMATCHES_MAX: usize = 3;
/// Idle time before the first keepalive probe. With the interval and count below, the connection to
/// a dead peer fails within 3 s, the time after which a host counts as out of contact.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection fails.
const KEEPALIVE_COUNT: u32 = 2;
/// TCP user timeout: how long sent bytes may stay unacknowledged before the connection fails.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest body of a response that is read, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit(pub usize);

impl BodyLimit {
    /// The default: answers may be as large as callers' requests.
    pub const MAX: BodyLimit = BodyLimit(64 << 20);
}

/// Memory for the bodies that several connections read at once; clones share it. The default has
/// room for one body of the largest size.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Semaphore>);

impl Default for BodyMemory {
    fn default() -> BodyMemory {
        BodyMemory(Arc::new(Semaphore::new(BodyLimit::MAX.0)))
    }
}

/// Limits of the responses that a connection reads.
#[derive(Clone, Debug)]
struct Limits {
    stall_timeout: Option<Duration>,
    body: BodyLimit,
    memory: BodyMemory,
    /// Where the bodies that are kept are counted.
    account: Option<MemoryAccount>,
}

/// Status and headers of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<(String, Bytes)>,
}

impl Head {
    /// Returns the value of the first header with this name (case-insensitive), if it is UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, v)| std::str::from_utf8(v).ok())
    }

    /// Returns the values of all headers with this name (case-insensitive).
    fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let found = self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_ref())
    }
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status and headers.
    pub head: Head,
    /// The body, with any chunked encoding removed.
    pub body: Bytes,
}

/// Why an exchange did not return a complete response.
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
    /// the answer is over a size limit
    TooLarge,
    /// HTTP does not define the status {0}
    InvalidStatus(u16),
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

/// A client connection that carries one request at a time.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    idle_until: Option<Instant>,
    limits: Limits,
    peer: Option<String>,
    opened: Instant,
}

/// A response, which may be that of an earlier request.
struct Received {
    response: Response,
    /// Whether it is the response to the current request.
    belongs: bool,
    /// Whether the end of the connection marked the end of its body.
    closed: bool,
}

/// How the end of a response body is determined.
enum Framing {
    None,
    Length(usize),
    Chunked,
    UntilClose,
}

impl Conn {
    /// Opens a connection, bound to the local address `local` if given and of the same IP version.
    pub async fn open(addr: SocketAddr, local: Option<IpAddr>) -> io::Result<Conn> {
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(local) = local.filter(|l| l.is_ipv4() == addr.is_ipv4()) {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        let opened = Instant::now();
        let stream = socket.connect(addr).await?;
        set_dead_peer_timeouts(&stream)?;
        Ok(Conn {
            stream,
            buffer: BytesMut::new(),
            reusable: true,
            idle_until: None,
            limits: Limits {
                stall_timeout: None,
                body: BodyLimit::MAX,
                memory: BodyMemory::default(),
                account: None,
            },
            peer: None,
            opened,
        })
    }

    /// Sets the longest time without a byte while the body of a response arrives; there is no limit
    /// by default. The time until the head has arrived is limited by the caller.
    pub fn set_stall_timeout(&mut self, limit: Duration) {
        self.limits.stall_timeout = Some(limit);
    }

    /// Sets the largest body of later responses, including those to earlier requests.
    pub fn set_body_limit(&mut self, limit: BodyLimit) {
        self.limits.body = limit;
    }

    /// Sets the memory for bodies, which is the connection's own by default. A response that finds no
    /// room in it fails.
    pub fn set_body_memory(&mut self, memory: BodyMemory) {
        self.limits.memory = memory;
    }

    /// Sets the account in which later responses are counted while they arrive. They are read
    /// whatever the room, since their requests have run.
    pub fn set_account(&mut self, account: MemoryAccount) {
        self.limits.account = Some(account);
    }

    /// When the connection began to be opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// The id under which the process at the other end has identified itself; `None` if it has not.
    /// A connection leads to one process for as long as it is open.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Records the id under which the process at the other end has identified itself.
    pub fn set_peer(&mut self, id: &str) {
        if self.peer() != Some(id) {
            self.peer = Some(id.to_owned());
        }
    }

    /// Whether another request may be sent: the connection is open and reusable, within the idle
    /// timeout that the other end announced, and has no unread bytes.
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

    /// Whether the other end is known not to have closed the connection. Unread bytes are discarded,
    /// after which the connection is not reusable. With more than [`DISCARD_BYTES_MAX`] of them the
    /// connection counts as closed, because its end may follow them.
    pub fn is_open(&mut self) -> bool {
        let mut buffer = [0; 4 << 10];
        let mut discarded = 0;
        while discarded <= DISCARD_BYTES_MAX {
            match self.stream.try_read(&mut buffer) {
                Ok(0) => return false,
                Ok(size) => discarded += size,
                Err(e) => return e.kind() == io::ErrorKind::WouldBlock,
            }
            self.reusable = false;
        }
        false
    }

    /// Whether the last exchange left the connection in a state that allows another one.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.buffer.is_empty()
    }

    /// Whether the last response is followed by bytes that begin no other one. They may be the rest of its
    /// body, if its length was wrong.
    pub fn has_stray_bytes(&self) -> bool {
        let size = self.buffer.len().min(RESPONSE_START.len());
        self.buffer[..size] != RESPONSE_START[..size]
    }

    /// Sends a request, whose `head` includes the final empty line, and reads the first response
    /// whose head `belongs` accepts. `belongs` is called as soon as a head has arrived, before the
    /// body is read.
    ///
    /// # Errors
    /// [`ExchangeError::Unsent`] only if no byte of the request was written.
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
        let mut mismatches = 0;
        let limits = &self.limits;
        loop {
            let response = if sent {
                read_response(&mut self.stream, &mut self.buffer, limits, method, &belongs).await?
            } else {
                // The other end may respond before it has read the whole request body.
                let (mut reader, mut writer) = self.stream.split();
                let write = async {
                    while request.has_remaining() {
                        writer.write_buf(&mut request).await.map_err(ExchangeError::Broken)?;
                    }
                    Ok::<(), ExchangeError>(())
                };
                let read = read_response(&mut reader, &mut self.buffer, limits, method, &belongs);
                tokio::pin!(read);
                let early = tokio::select! {
                    response = &mut read => Some(response?),
                    written = write => { written?; None }
                };
                match early {
                    Some(response) => response,
                    None => {
                        sent = true;
                        read.await?
                    }
                }
            };
            let Received { response, belongs, closed } = response;
            if !belongs {
                mismatches += 1;
                if mismatches >= MISMATCHES_MAX || closed {
                    return Err(ExchangeError::Malformed);
                }
                continue;
            }
            self.idle_until = idle_until(&response.head, Instant::now());
            self.reusable =
                sent && !closed && mismatches == 0 && !has_connection_close(&response.head);
            return Ok(response);
        }
    }
}

/// Sets the keepalive and user timeouts by which a connection to a dead peer fails in bounded
/// time, and disables Nagle's algorithm.
///
/// # Errors
/// The error of the socket option that could not be set.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_COUNT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Returns the end of the idle timeout that the other end announced, less one second, so that no
/// request is sent while it closes the connection. One that no clock can measure is none.
fn idle_until(head: &Head, now: Instant) -> Option<Instant> {
    let value = head.header("keep-alive")?;
    let secs = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let secs: u64 = secs.trim().parse().ok()?;
    now.checked_add(Duration::from_secs(secs.saturating_sub(1)))
}

fn has_connection_close(head: &Head) -> bool {
    head.header("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
}

/// Reads one response. Its body may arrive at any speed, but with no pause longer than `stall`.
async fn read_response<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    limits: &Limits,
    method: &str,
    belongs: &impl Fn(&Head) -> bool,
) -> Result<Received> {
    let mut interim_bytes = 0;
    let head = loop {
        let (head, size) = read_head(reader, buffer).await?;
        if !VALID_STATUSES.contains(&head.status) {
            return Err(ExchangeError::InvalidStatus(head.status));
        }
        if head.status >= 200 {
            break head;
        }
        interim_bytes += size;
        if interim_bytes > HEAD_BYTES_MAX {
            return Err(ExchangeError::TooLarge);
        }
    };
    let belongs = belongs(&head);
    let framing = framing(&head, method, limits.body)?;
    let closed = matches!(framing, Framing::UntilClose);
    let mut body = Body::new(limits, belongs);
    match framing {
        Framing::None => {}
        Framing::Length(size) => {
            if belongs {
                // The system provides the memory only as it is written.
                body.blocks.push(Vec::with_capacity(size));
            }
            read_exactly(reader, buffer, &mut body, size).await?;
        }
        Framing::Chunked => read_chunks(reader, buffer, &mut body).await?,
        Framing::UntilClose => read_to_end(reader, buffer, &mut body).await?,
    }
    Ok(Received { response: Response { head, body: body.into_bytes() }, belongs, closed })
}

/// A body of which a part has arrived.
struct Body<'a> {
    limits: &'a Limits,
    /// Whether its bytes are kept, or only counted.
    keep: bool,
    /// The bytes. A block that grows is copied, and its former places stay resident for a while, so further
    /// ones are added instead.
    blocks: Vec<Vec<u8>>,
    size: usize,
    /// Bytes read since other tasks last ran.
    unyielded: usize,
    memory: Option<SemaphorePermit<'a>>,
    /// The bytes that are kept, in the account.
    hold: Option<Hold>,
}

impl<'a> Body<'a> {
    fn new(limits: &'a Limits, keep: bool) -> Body<'a> {
        let hold = limits.account.as_ref().map(|a| a.take(Place::Answer, 0));
        Body { limits, keep, blocks: Vec::new(), size: 0, unyielded: 0, memory: None, hold }
    }

    /// Adds bytes that have arrived.
    fn push(&mut self, mut part: &[u8]) -> Result<()> {
        self.size += part.len();
        if self.size > self.limits.body.0 {
            return Err(ExchangeError::TooLarge);
        }
        if !self.keep {
            return Ok(());
        }
        self.reserve()?;
        if let Some(hold) = &mut self.hold {
            hold.grow(part.len());
        }
        while !part.is_empty() {
            let room = self.blocks.last().map_or(0, |b| b.capacity() - b.len());
            if room == 0 {
                let kept = self.size - part.len();
                let size = kept.min(BLOCK_BYTES_MAX).max(part.len());
                self.blocks.push(Vec::with_capacity(size));
                continue;
            }
            let (now, later) = part.split_at(room.min(part.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(now);
            }
            part = later;
        }
        Ok(())
    }

    /// Joins the blocks.
    fn into_bytes(mut self) -> Bytes {
        if self.blocks.len() <= 1 {
            return Bytes::from(self.blocks.pop().unwrap_or_default());
        }
        let mut whole = Vec::with_capacity(self.size);
        for block in self.blocks {
            whole.extend_from_slice(&block);
        }
        Bytes::from(whole)
    }

    /// Reserves memory for the bytes that have arrived.
    fn reserve(&mut self) -> Result<()> {
        let reserved = self.memory.as_ref().map_or(0, SemaphorePermit::num_permits);
        let needed = self.size.saturating_sub(SMALL_BODY_BYTES).saturating_sub(reserved);
        if needed == 0 {
            return Ok(());
        }
        let Ok(more) = self.limits.memory.0.try_acquire_many(needed as u32) else {
            return Err(ExchangeError::TooLarge);
        };
        match &mut self.memory {
            Some(memory) => memory.merge(more),
            None => self.memory = Some(more),
        }
        Ok(())
    }
}

/// Reads one head; also returns its size.
async fn read_head<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
) -> Result<(Head, usize)> {
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
                return Ok((Head { status, headers }, size));
            }
            Ok(httparse::Status::Partial) if buffer.len() < HEAD_BYTES_MAX => {}
            _ => return Err(ExchangeError::Malformed),
        }
        let empty = buffer.is_empty();
        if fill_buffer(reader, buffer, READ_BYTES, None).await? == 0 {
            return Err(if empty { ExchangeError::Closed } else { ExchangeError::Truncated });
        }
    }
}

fn framing(head: &Head, method: &str, limit: BodyLimit) -> Result<Framing> {
    if method == "HEAD" || matches!(head.status, 204 | 304) {
        return Ok(Framing::None);
    }
    let mut codings = head.values("transfer-encoding");
    let mut lengths = head.values("content-length");
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(Framing::UntilClose),
        (None, Some(length)) => {
            if lengths.any(|other| other != length) {
                return Err(ExchangeError::Malformed);
            }
            let size = parse_length(length).ok_or(ExchangeError::Malformed)?;
            if size <= limit.0 { Ok(Framing::Length(size)) } else { Err(ExchangeError::TooLarge) }
        }
        // With both or with several, ends of messages differ by who reads them.
        (Some(coding), None) if codings.next().is_none() => {
            let chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if chunked { Ok(Framing::Chunked) } else { Err(ExchangeError::Malformed) }
        }
        _ => Err(ExchangeError::Malformed),
    }
}

/// Decodes a length, which has digits only.
fn parse_length(raw: &[u8]) -> Option<usize> {
    let digits = std::str::from_utf8(raw.trim_ascii()).ok()?;
    digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse().ok())?
}

/// Reads once into the buffer, which gets room for `size` bytes; returns the number of bytes read, 0
/// at the end of the stream. Fails if nothing arrives for the time `stall`.
async fn fill_buffer<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    size: usize,
    stall: Option<Duration>,
) -> Result<usize> {
    buffer.reserve(size);
    let read = reader.read_buf(buffer);
    let size = match stall {
        None => read.await,
        Some(limit) => timeout(limit, read).await.unwrap_or_else(|_| {
            let text = format!("no byte of the answer arrived for {} ms", limit.as_millis());
            Err(io::Error::new(io::ErrorKind::TimedOut, text))
        }),
    };
    size.map_err(ExchangeError::Broken)
}

/// Reads once into the buffer while a body arrives.
async fn fill_from_body<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    body: &mut Body<'_>,
) -> Result<usize> {
    if body.unyielded >= YIELD_BYTES {
        body.unyielded = 0;
        yield_now().await;
    }
    let size = fill_buffer(reader, buffer, BODY_READ_BYTES, body.limits.stall_timeout).await?;
    body.unyielded += size;
    Ok(size)
}

async fn read_exactly<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    body: &mut Body<'_>,
    size: usize,
) -> Result<()> {
    let mut left = size;
    while left > 0 {
        if buffer.is_empty() && fill_from_body(reader, buffer, body).await? == 0 {
            return Err(ExchangeError::Truncated);
        }
        let part = buffer.split_to(left.min(buffer.len()));
        left -= part.len();
        body.push(&part)?;
    }
    Ok(())
}

async fn read_to_end<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    body: &mut Body<'_>,
) -> Result<()> {
    loop {
        body.push(&buffer.split())?;
        if fill_from_body(reader, buffer, body).await? == 0 {
            return Ok(());
        }
    }
}

async fn read_chunks<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    body: &mut Body<'_>,
) -> Result<()> {
    let mut extension_bytes = 0;
    loop {
        // The parser takes an empty size for 0, which would end the body.
        if buffer.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(ExchangeError::Malformed);
        }
        let (start, size) = match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((start, size))) => (start, size as usize),
            Ok(httparse::Status::Partial) => {
                if buffer.len() > EXTENSION_BYTES_MAX {
                    return Err(ExchangeError::TooLarge);
                }
                if fill_from_body(reader, buffer, body).await? == 0 {
                    return Err(ExchangeError::Truncated);
                }
                continue;
            }
            Err(_) => return Err(ExchangeError::Malformed),
        };
        buffer.advance(start);
        extension_bytes += start.saturating_sub(CHUNK_LINE_BYTES);
        if extension_bytes > EXTENSION_BYTES_MAX {
            return Err(ExchangeError::TooLarge);
        }
        if size == 0 {
            return read_trailers(reader, buffer, body).await;
        }
        if size > body.limits.body.0 - body.size {
            return Err(ExchangeError::TooLarge);
        }
        read_exactly(reader, buffer, body, size).await?;
        while buffer.len() < 2 {
            if fill_from_body(reader, buffer, body).await? == 0 {
                return Err(ExchangeError::Truncated);
            }
        }
        if !buffer.starts_with(b"\r\n") {
            return Err(ExchangeError::Malformed);
        }
        buffer.advance(2);
    }
}

async fn read_trailers<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    buffer: &mut BytesMut,
    body: &mut Body<'_>,
) -> Result<()> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        match httparse::parse_headers(buffer, &mut headers) {
            Ok(httparse::Status::Complete((size, _))) => {
                buffer.advance(size);
                return Ok(());
            }
            Ok(httparse::Status::Partial) if buffer.len() <= TRAILER_BYTES_MAX => {}
            Ok(httparse::Status::Partial) => return Err(ExchangeError::TooLarge),
            Err(_) => return Err(ExchangeError::Malformed),
        }
        if fill_from_body(reader, buffer, body).await? == 0 {
            return Err(ExchangeError::Truncated);
        }
    }
}
