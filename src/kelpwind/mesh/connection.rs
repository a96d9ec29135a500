//! One HTTP connection: serves its requests, and ends it when the client keeps the node waiting.
//!
//! The limits in force may change while a connection is open, so they are read when they are
//! needed. A wait that has begun keeps the limits of that moment if new ones are lower, because the
//! client could rely on them.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use http::Request;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::http::{Reply, wait_until_true};
use super::node::Node;
use crate::core::routes::Limits;

/// Size up to which each connection takes a request's head, since the limit may be raised while the
/// connection is open.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Most headers of a request. The HTTP library prepares room for all of them for each request.
const HEADERS_MAX: usize = 256;

/// Serves a connection until the client ends it, keeps the node waiting for longer than `limits`
/// allow, or `closed` becomes true.
pub(super) async fn serve<H, F>(
    stream: TcpStream,
    node: Rc<Node>,
    mut closed: watch::Receiver<bool>,
    limits: fn(&Node) -> Limits,
    handle: H,
) where
    H: Fn(Rc<Node>, Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::debug!("failed to set TCP_NODELAY on a connection: {e}");
    }
    let activity = Rc::new(Activity::new(node.clone(), limits));
    let stream = WatchedStream { stream, activity: activity.clone() };
    let head_bytes = activity.limits().head_bytes.max(HEAD_BYTES_MAX);
    let watched = activity.clone();
    let id = node.next_connection();
    let service = service_fn(move |mut request: Request<Incoming>| {
        watched.phase.set(Phase::Handling);
        request.extensions_mut().insert(id);
        let (node, activity) = (node.clone(), watched.clone());
        let reply = handle(node.clone(), request);
        async move {
            let mut reply = reply.await;
            if node.is_stopping() || activity.limits().head_bytes > head_bytes {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            activity.phase.set(Phase::Answering);
            Ok::<_, Infallible>(reply)
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(head_bytes)
        .max_headers(HEADERS_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut expired = pin!(activity.expired());
    let mut closing = false;
    let ended = loop {
        // The connection is polled first, so that a request that has arrived is read before the
        // time ends.
        tokio::select! {
            biased;
            ended = connection.as_mut() => break ended,
            () = expired.as_mut() => break Ok(()),
            () = wait_until_true(&mut closed), if !closing => {
                connection.as_mut().graceful_shutdown();
                closing = true;
            }
        }
    };
    match ended {
        Ok(()) => {}
        // The library has answered with 400, 414 or 431.
        Err(e) if e.is_parse() => activity.node.metrics.failure_log.write(|left_out| {
            spdlog::info!("a request cannot be read", kv: { why = e.to_string(), left_out });
        }),
        Err(e) => spdlog::debug!("failed to serve an HTTP connection: {e}"),
    }
}

/// What a connection is doing.
#[derive(Clone, Copy)]
enum Phase {
    /// No byte of the next request has arrived.
    Idle(Wait),
    /// Part of the next request's head has arrived.
    Head(Wait),
    /// A request is being handled.
    Handling,
    /// An answer is being written.
    Answering,
}

/// A wait for the client.
#[derive(Clone, Copy)]
struct Wait {
    since: Instant,
    /// Limits when the wait began.
    limits: Limits,
}

/// The phase of a connection, which its stream and its service keep up to date.
struct Activity {
    node: Rc<Node>,
    /// Returns the limits in force.
    limits: fn(&Node) -> Limits,
    phase: Cell<Phase>,
}

impl Activity {
    fn new(node: Rc<Node>, limits: fn(&Node) -> Limits) -> Activity {
        let activity = Activity { node, limits, phase: Cell::new(Phase::Handling) };
        activity.phase.set(Phase::Idle(activity.start_wait()));
        activity
    }

    /// The limits in force.
    fn limits(&self) -> Limits {
        (self.limits)(&self.node)
    }

    fn start_wait(&self) -> Wait {
        Wait { since: Instant::now(), limits: self.limits() }
    }

    fn on_read(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Head(self.start_wait()));
        }
    }

    fn on_flushed(&self) {
        if let Phase::Answering = self.phase.get() {
            self.phase.set(Phase::Idle(self.start_wait()));
        }
    }

    /// When the present wait ends the connection; `None` if it does not wait for the client.
    fn deadline(&self) -> Option<Instant> {
        let now = self.limits();
        let (wait, timeout) = match self.phase.get() {
            Phase::Idle(wait) => (wait, wait.limits.idle_timeout.max(now.idle_timeout)),
            Phase::Head(wait) => (wait, wait.limits.head_timeout.max(now.head_timeout)),
            Phase::Handling | Phase::Answering => return None,
        };
        // The client measures its time at the other end of the network, and may know of a raised
        // limit before this node does.
        let grace = wait.limits.head_timeout.max(now.head_timeout);
        wait.since.checked_add(timeout)?.checked_add(grace)
    }

    /// Returns when the client has kept the node waiting for too long.
    async fn expired(&self) {
        let mut timer = pin!(sleep(self.limits().idle_timeout));
        poll_fn(|cx| {
            loop {
                let Some(deadline) = self.deadline() else { return Poll::Pending };
                if deadline <= Instant::now() {
                    return Poll::Ready(());
                }
                // Each request moves the deadline back; the timer follows only when it has fired.
                if timer.is_elapsed() || deadline < timer.deadline() {
                    timer.as_mut().reset(deadline);
                }
                ready!(timer.as_mut().poll(cx));
            }
        })
        .await;
    }
}

/// A stream that reports to an [`Activity`] what is read and written.
struct WatchedStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.activity.on_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
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

    /// The HTTP library flushes once all bytes of an answer are written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.activity.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
