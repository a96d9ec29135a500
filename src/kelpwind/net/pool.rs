//! Pooled HTTP/1.1 connections to other processes.
//!
//! The pool's errors distinguish requests that certainly were not sent ([`CallError::is_unsent`])
//! from those that may have arrived, because the outcome reported to the caller depends on it.
//! Dropping a call closes its connection, so that the other end can cancel the work. A connection is
//! reused only after its whole response was read, so a late response is never taken for that of a
//! later request.

use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{AbortHandle, yield_now};
use tokio::time::{timeout, timeout_at};

use super::http1::VALID_STATUSES;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// TCP user timeout: how long sent bytes may stay unacknowledged before the connection fails.
const USER_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle time after which a connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size of a connection's read buffer, and largest head of a response, in bytes; as in
/// [`super::http1`].
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Number of bytes after which a connection lets other tasks run. The HTTP library skips 1xx heads
/// for as long as they come.
const YIELD_BYTES: usize = 64 << 10;
/// Maximum number of idle connections per address.
const IDLE_PER_ADDR_MAX: usize = 512;
/// Largest response body that is read, in bytes, unless the call sets another limit.
pub const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// Why a call did not return a complete response.
#[derive(Debug, displaydoc::Display)]
pub enum CallError {
    /// failed to connect
    Connect(io::Error),
    /// no connection within the time allowed
    ConnectTimeout,
    /// the connection was closed before the request was sent
    Unsent,
    /// the connection failed after the request was sent
    Broken(hyper::Error),
    /// the answer did not arrive in time
    Expired,
    /// the answer ended before it was whole, or does not say how long it is
    Truncated,
    /// the answer is over the size limit
    TooLarge,
    /// HTTP does not define the status of the answer
    InvalidStatus,
}

impl std::error::Error for CallError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CallError::Connect(e) => Some(e),
            CallError::Broken(e) => Some(e),
            _ => None,
        }
    }
}

impl CallError {
    /// Whether it is certain that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, CallError::Connect(_) | CallError::ConnectTimeout | CallError::Unsent)
    }
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Latest time at which the answer has arrived, or with a stall timeout at which it has begun.
    pub deadline: Instant,
    /// Longest time without a byte of the body, which may then take any time.
    pub stall_timeout: Option<Duration>,
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

impl From<Instant> for Limits {
    fn from(deadline: Instant) -> Limits {
        Limits { deadline, stall_timeout: None, body_bytes: RESPONSE_BYTES_MAX }
    }
}

/// Whether a call may use an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Use an idle connection if there is one.
    Any,
    /// Open a new connection, because an idle one may be dead without having been closed.
    Never,
}

/// Pool of connections to any number of addresses.
#[derive(Debug)]
pub struct Pool {
    local: Option<IpAddr>,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Pool {
    /// Creates a pool whose connections are bound to the local address `local`, if given.
    pub fn new(local: Option<IpAddr>) -> Pool {
        Pool { local, idle: Mutex::default() }
    }

    /// Sends a request and reads the complete response within the limits, over an idle connection
    /// if there is one.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        limits: impl Into<Limits>,
    ) -> Result<Response<Bytes>> {
        self.call_with(addr, request, limits, Reuse::Any).await
    }

    /// As [`call`](Self::call), with a choice of whether an idle connection may be used.
    pub async fn call_with(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        limits: impl Into<Limits>,
        reuse: Reuse,
    ) -> Result<Response<Bytes>> {
        let limits = limits.into();
        let mut request = request.map(Full::new);
        let host = addr.to_string().parse();
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        loop {
            let (mut connection, reused) = self.checkout(addr, limits.deadline, reuse).await?;
            let sent = connection.sender.try_send_request(request);
            let response = match timeout_at(limits.deadline.into(), sent).await {
                Err(_) => return Err(CallError::Expired),
                Ok(Ok(response)) => response,
                Ok(Err(mut failed)) => match failed.take_message() {
                    // The other end closed the idle connection before anything was sent.
                    Some(unsent) if reused => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(CallError::Unsent),
                    None => return Err(CallError::Broken(failed.into_error())),
                },
            };
            if !VALID_STATUSES.contains(&response.status().as_u16()) {
                return Err(CallError::InvalidStatus);
            }
            let (response, reusable) = read_response(response, limits).await?;
            if reusable {
                self.put_idle(addr, connection);
            }
            return Ok(response);
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.lock().remove(&addr);
    }

    /// Returns a connection and whether it was idle before.
    async fn checkout(
        &self,
        addr: SocketAddr,
        deadline: Instant,
        reuse: Reuse,
    ) -> Result<(Connection, bool)> {
        let now = Instant::now();
        while reuse == Reuse::Any
            && let Some(idle) = self.take_idle(addr)
        {
            let recent = now.duration_since(idle.last_used) < IDLE_TIMEOUT;
            if recent && idle.sender.is_ready() {
                return Ok((idle, true));
            }
        }
        let limit = deadline.saturating_duration_since(now).min(CONNECT_TIMEOUT);
        let Ok(opened) = timeout(limit, self.open(addr)).await else {
            return Err(CallError::ConnectTimeout);
        };
        Ok((opened.map_err(CallError::Connect)?, false))
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        self.idle.lock().get_mut(&addr)?.pop()
    }

    fn put_idle(&self, addr: SocketAddr, mut connection: Connection) {
        connection.last_used = Instant::now();
        let mut idle = self.idle.lock();
        let connections = idle.entry(addr).or_default();
        if connections.len() < IDLE_PER_ADDR_MAX {
            connections.push(connection);
        }
    }

    async fn open(&self, addr: SocketAddr) -> io::Result<Connection> {
        let stream = connect(self.local, addr).await?;
        let stream = YieldingStream { stream, unyielded: 0 };
        let mut client = http1::Builder::new();
        client.max_buf_size(BUFFER_BYTES_MAX);
        let handshake = client.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, driver, last_used: Instant::now() })
    }
}

/// A stream whose reader lets other tasks run after [`YIELD_BYTES`].
struct YieldingStream {
    stream: TcpStream,
    /// Bytes read since other tasks last ran.
    unyielded: usize,
}

impl AsyncRead for YieldingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            // Unlike a plain wake, this lets timers fire before the next read.
            return pin!(yield_now()).poll(cx).map(Ok);
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.unyielded += buf.filled().len() - before;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for YieldingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

async fn connect(local: Option<IpAddr>, addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(local) = local.filter(|l| l.is_ipv4() == addr.is_ipv4()) {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(addr).await?;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

/// Reads the response body. Also returns whether the connection can be reused.
async fn read_response(
    response: Response<Incoming>,
    limits: Limits,
) -> Result<(Response<Bytes>, bool)> {
    let (parts, body) = response.into_parts();
    let sized = body.size_hint().exact().is_some();
    // The library reads an answer with another coding, or with several, up to the end of the connection.
    let mut codings = parts.headers.get_all(header::TRANSFER_ENCODING).iter();
    let framed = match (codings.next(), codings.next()) {
        (None, _) => sized,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    };
    if !framed {
        return Err(CallError::Truncated);
    }
    let closes = parts.headers.get(header::CONNECTION).is_some_and(|v| v == "close");
    let mut body = Limited::new(body, limits.body_bytes);
    let mut read = BytesMut::new();
    loop {
        let until = limits.stall_timeout.map_or(limits.deadline, |stall| Instant::now() + stall);
        let Ok(frame) = timeout_at(until.into(), body.frame()).await else {
            return Err(CallError::Expired);
        };
        match frame {
            Some(Ok(frame)) => read.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
            Some(Err(e)) if e.is::<LengthLimitError>() => return Err(CallError::TooLarge),
            Some(Err(_)) => return Err(CallError::Truncated),
            None => return Ok((Response::from_parts(parts, read.freeze()), !closes)),
        }
    }
}
