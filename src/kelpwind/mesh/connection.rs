//! One HTTP connection: serves its requests, and ends it when the client keeps the node waiting.
//!
//! The limits in force may change while a connection is open, so they are read when they are
//! needed. A wait that has begun keeps the limits of that moment if new ones are lower, because the
//! client could rely on them.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, pending, poll_fn};
use std::io::{self, IoSlice};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::Request;
use http::header::{CONNECTION, HeaderValue};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

use super::http::{Clients, Reply, wait_until_true};
use super::metrics::MemoryRefusal;
use super::node::Node;
use super::report_exchanges::ConnectionId;
use super::request_body::ArrivingBody;
use crate::core::routes::Limits;
use crate::net::memory::{CONNECTION_BYTES, Hold, Place};

/// Size up to which each connection takes a request's head, since the limit may be raised while the
/// connection is open.
const HEAD_BYTES_MAX: usize = 64 << 10;
/// Most headers of a request. The HTTP library prepares room for all of them for each request.
const HEADERS_MAX: usize = 256;
/// Time that a client which has connected or begun to send a request has for the rest of it when the
/// node closes its connections.
const REQUEST_WAIT: Duration = Duration::from_millis(500);
/// Bytes that are discarded at a time of a connection that is closing.
const DISCARD_BYTES: usize = 4 << 10;

/// Registers a connection at once, and returns a future that serves it until the client ends it, keeps the
/// node waiting for longer than the limits allow, others need its memory, or `closed` becomes true.
pub(super) fn serve<H, F>(
    stream: TcpStream,
    activity: Rc<Activity>,
    closed: watch::Receiver<bool>,
    handle: H,
) -> impl Future<Output = ()>
where
    H: Fn(Rc<Node>, Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    let id = activity.node.next_connection();
    let registered = match activity.clients {
        Clients::Callers => Some(activity.node.register(id, &activity)),
        Clients::Others => None,
    };
    async move {
        let _registered = registered;
        serve_requests(stream, id, activity, closed, handle).await;
    }
}

async fn serve_requests<H, F>(
    stream: TcpStream,
    id: ConnectionId,
    activity: Rc<Activity>,
    mut closed: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Rc<Node>, Request<Incoming>) -> F + 'static,
    F: Future<Output = Reply> + 'static,
{
    if let Err(e) = stream.set_nodelay(true) {
        spdlog::debug!("failed to set TCP_NODELAY on a connection: {e}");
    }
    let node = activity.node.clone();
    let stream = WatchedStream { stream, activity: activity.clone() };
    let head_bytes = activity.limits().head_bytes.max(HEAD_BYTES_MAX);
    let watched = activity.clone();
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
            activity.begin_answer(reply.body().size_hint().lower() as usize);
            Ok::<_, Infallible>(reply)
        }
    });
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(head_bytes)
        .max_headers(HEADERS_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let mut expired = pin!(activity.expired());
    let mut closable = pin!(activity.closable(&mut closed));
    let mut closing = false;
    let mut waited = false;
    let ended = loop {
        // The connection is polled first, so that a request that has arrived is read before the
        // time ends.
        tokio::select! {
            biased;
            ended = &mut connection => break ended,
            () = expired.as_mut() => return,
            () = activity.evicted.notified() => return,
            () = closable.as_mut(), if !closing => {
                match activity.phase.get() {
                    // The rest of the head has not arrived in time.
                    Phase::Head(_) => return,
                    Phase::Connected(_) | Phase::Idle(_) => waited = true,
                    Phase::Handling | Phase::Answering | Phase::Closing { .. } => {}
                }
                Pin::new(&mut connection).graceful_shutdown();
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
        Err(e) => return spdlog::debug!("failed to serve an HTTP connection: {e}"),
    }
    activity.phase.set(Phase::Closing { since: Instant::now(), waited });
    let stream = connection.into_parts().io.into_inner().stream;
    let client_closed = async {
        if waited {
            await_close(stream).await;
        } else {
            discard(stream, &activity.node).await;
        }
    };
    tokio::select! {
        () = client_closed => {}
        () = expired => {}
        () = activity.evicted.notified() => {}
    }
}

/// Discards what the client sends until it has closed its side. The kernel resets a connection that is
/// closed with unread bytes, such as requests that were sent ahead, and the client then loses what it has
/// not received of its answer.
async fn discard(mut stream: TcpStream, node: &Node) {
    let mut unread = vec![0; DISCARD_BYTES];
    let mut counted = false;
    loop {
        match stream.read(&mut unread).await {
            Ok(0) => return,
            Ok(size) if !counted => {
                node.metrics.count_unread_close(size);
                counted = true;
            }
            Ok(_) => {}
            Err(e) => return spdlog::debug!("a closing HTTP connection failed: {e}"),
        }
    }
}

/// Waits until the client has closed its side. A request that was on its way when the connection closed
/// stays unread, since it gets no answer.
async fn await_close(stream: TcpStream) {
    match stream.ready(Interest::READABLE).await {
        Ok(ready) if !ready.is_read_closed() => pending().await,
        Ok(_) => {}
        Err(e) => spdlog::debug!("a closing HTTP connection failed: {e}"),
    }
}

/// What a connection is doing.
#[derive(Clone, Copy)]
enum Phase {
    /// No byte of the first request has arrived.
    Connected(Wait),
    /// No byte of the next request has arrived.
    Idle(Wait),
    /// Part of the next request's head has arrived.
    Head(Wait),
    /// A request is being handled.
    Handling,
    /// An answer is being written.
    Answering,
    /// All is written, and the client has not closed its side yet. `waited` says that the connection waited
    /// for a request when it was told to close.
    Closing { since: Instant, waited: bool },
}

/// A wait for the client.
#[derive(Clone, Copy)]
struct Wait {
    since: Instant,
    /// Limits when the wait began.
    limits: Limits,
}

/// An answer that the client has not taken whole.
struct Unread {
    hold: Hold,
    since: Instant,
    /// When the client last took some of it.
    progress: Instant,
    /// Number of bytes that the client has taken.
    taken: usize,
}

/// The phase of a connection and what it holds, which its stream and its service keep up to date.
pub(crate) struct Activity {
    node: Rc<Node>,
    clients: Clients,
    phase: Cell<Phase>,
    /// Memory of the connection and of the head that is arriving; `None` for clients other than callers.
    hold: RefCell<Option<Hold>>,
    /// Bytes of the head that have arrived.
    head_read: Cell<usize>,
    /// The body that is arriving.
    pub(super) body: RefCell<Option<ArrivingBody>>,
    /// Notified when the body has lost its memory.
    pub(super) body_evicted: Notify,
    /// The answer that is being written. The HTTP library begins the next one once this one is
    /// written, so there is one at most.
    answer: RefCell<Option<Unread>>,
    /// Notified when the connection is to be closed because others need its memory.
    evicted: Notify,
    is_evicted: Cell<bool>,
}

impl Activity {
    /// The activity of a new connection. `hold` is the memory of a caller's connection.
    pub(super) fn new(node: Rc<Node>, clients: Clients, hold: Option<Hold>) -> Activity {
        let activity = Activity {
            node,
            clients,
            phase: Cell::new(Phase::Handling),
            hold: RefCell::new(hold),
            head_read: Cell::new(0),
            body: RefCell::default(),
            body_evicted: Notify::new(),
            answer: RefCell::default(),
            evicted: Notify::new(),
            is_evicted: Cell::new(false),
        };
        activity.phase.set(Phase::Connected(activity.start_wait()));
        activity
    }

    /// The limits in force.
    fn limits(&self) -> Limits {
        self.clients.limits(&self.node)
    }

    /// Closes the connection, and gives back its memory.
    pub(super) fn evict(&self) {
        self.is_evicted.set(true);
        self.hold.take();
        self.body.take();
        self.answer.take();
        self.evicted.notify_one();
    }

    /// Whether the connection is to be closed.
    pub(super) fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Gives up the body that is arriving.
    pub(super) fn evict_body(&self) {
        if self.body.take().is_some() {
            self.body_evicted.notify_one();
        }
    }

    /// Memory of a body that has made no progress for the time `stall`.
    pub(super) fn stalled_body(&self, stall: Duration) -> Option<usize> {
        let body = self.body.borrow();
        let body = body.as_ref().filter(|b| b.progress.elapsed() >= stall)?;
        Some(body.held())
    }

    /// Bytes per second at which the client has taken its answer, if that was begun longer than
    /// `grace` ago.
    pub(super) fn reading_rate(&self, grace: Duration) -> Option<f64> {
        let answer = self.answer.borrow();
        let answer = answer.as_ref().filter(|a| a.since.elapsed() >= grace)?;
        (answer.hold.bytes() > 0)
            .then(|| answer.taken as f64 / answer.since.elapsed().as_secs_f64())
    }

    /// Since when the connection has waited for a request; `None` if one is in progress.
    pub(super) fn waiting_since(&self) -> Option<Instant> {
        match self.phase.get() {
            _ if self.is_evicted() || self.answer.borrow().is_some() => None,
            Phase::Connected(wait) | Phase::Idle(wait) | Phase::Head(wait) => Some(wait.since),
            Phase::Closing { since, .. } => Some(since),
            Phase::Handling | Phase::Answering => None,
        }
    }

    /// Whether the connection takes no more requests and its client has all answers.
    pub(super) fn is_finished(&self) -> bool {
        matches!(self.phase.get(), Phase::Closing { waited: true, .. })
    }

    /// Returns after `closed` has become true, but not while the client is about to send a request.
    async fn closable(&self, closed: &mut watch::Receiver<bool>) {
        wait_until_true(closed).await;
        // Lets the connection read what has arrived.
        yield_now().await;
        let mut timer = pin!(sleep(REQUEST_WAIT));
        // Polled whenever the connection makes progress, since one task runs both.
        poll_fn(|cx| {
            let since = match self.phase.get() {
                Phase::Connected(wait) | Phase::Head(wait) => wait.since,
                Phase::Idle(_) | Phase::Handling | Phase::Answering | Phase::Closing { .. } => {
                    return Poll::Ready(());
                }
            };
            timer.as_mut().reset(since + REQUEST_WAIT);
            timer.as_mut().poll(cx)
        })
        .await;
    }

    /// Counts an answer of `size` bytes, which is kept whatever the room: it is the result of a request
    /// that has run. Slow readers make room for it.
    fn begin_answer(&self, size: usize) {
        self.phase.set(Phase::Answering);
        let hold = self.node.memory.take(Place::Answer, size);
        let now = Instant::now();
        self.answer.replace(Some(Unread { hold, since: now, progress: now, taken: 0 }));
        self.node.make_room(|| self.node.memory.free() > 0);
    }

    fn on_written(&self, size: usize) {
        if let Some(answer) = self.answer.borrow_mut().as_mut()
            && size > 0
        {
            answer.progress = Instant::now();
            answer.taken += size;
        }
    }

    fn start_wait(&self) -> Wait {
        Wait { since: Instant::now(), limits: self.limits() }
    }

    /// Records that bytes have arrived.
    ///
    /// # Errors
    /// If they belong to a head for which there is no memory.
    fn on_read(&self, size: usize) -> io::Result<()> {
        match self.phase.get() {
            Phase::Connected(_) | Phase::Idle(_) => self.phase.set(Phase::Head(self.start_wait())),
            Phase::Head(_) => {}
            Phase::Handling | Phase::Answering | Phase::Closing { .. } => return Ok(()),
        }
        let read = self.head_read.get() + size;
        self.head_read.set(read);
        let mut hold = self.hold.borrow_mut();
        let Some(hold) = hold.as_mut() else { return Ok(()) };
        let added = (CONNECTION_BYTES / 2 + read).saturating_sub(hold.bytes());
        if hold.try_grow(added) {
            return Ok(());
        }
        self.node.metrics.count_memory_refusal(MemoryRefusal::ConnectionNoRoom);
        Err(io::Error::other("no memory for the head of a request"))
    }

    fn on_flushed(&self) {
        self.answer.take();
        if let Phase::Answering = self.phase.get() {
            self.head_read.set(0);
            if let Some(hold) = self.hold.borrow_mut().as_mut() {
                hold.shrink_to(CONNECTION_BYTES);
            }
            self.phase.set(Phase::Idle(self.start_wait()));
        }
    }

    /// Time that the client may take without progress.
    fn answer_stall(&self) -> Duration {
        self.node.settings.borrow().limits.answer_stall
    }

    /// When the present wait ends the connection; `None` if it does not wait for the client.
    fn deadline(&self) -> Option<Instant> {
        let answer = self.answer.borrow().as_ref().map(|a| a.progress);
        if let Some(progress) = answer {
            return progress.checked_add(self.answer_stall());
        }
        let now = self.limits();
        let (wait, timeout) = match self.phase.get() {
            Phase::Connected(wait) | Phase::Idle(wait) => {
                (wait, wait.limits.idle_timeout.max(now.idle_timeout))
            }
            Phase::Head(wait) => (wait, wait.limits.head_timeout.max(now.head_timeout)),
            Phase::Closing { since, .. } => return since.checked_add(self.answer_stall()),
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
                    if self.answer.borrow().is_some() {
                        self.node.metrics.count_memory_refusal(MemoryRefusal::AnswerStalled);
                    }
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
            self.activity.on_read(buf.filled().len() - before)?;
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
        let size = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.activity.on_written(size);
        Poll::Ready(Ok(size))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let size = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.activity.on_written(size);
        Poll::Ready(Ok(size))
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
