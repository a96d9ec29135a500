//! The entry's end of a connection to one gate.
//!
//! All requests for that gate share one connection. It is opened when there is a request, and opened
//! again when it breaks or falls silent; requests without an answer go out again under their old
//! numbers (see [`super::frame`]). A request whose gate stays out of reach ends after a bounded
//! time: as not run if it never left, as unknown otherwise.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::frame::{self, EntryFrame, GateFrame, GateRequest, LoadReport, Outcome};
use super::send_queue::SendQueue;
use crate::core::codes::Code;
use crate::core::ids::NodeId;
use crate::net::http1::guard_against_silence;
use crate::route::standing::Standing;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two attempts to open one.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two attempts.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(500);
/// When a caller may come back whose gate is out of reach: a lost owner is replaced within 2 s.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Silence after which a gate that owes an answer is pinged and counts as suspect.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Silence after which the connection counts as dead. A host with a fifth of a core may stand still
/// for a tenth of a second, and a slowed one for five.
const DEAD_AFTER: Duration = Duration::from_millis(800);
/// Time between two looks at a connection that owes answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(125);
/// Time after which an unreachable gate's idempotent requests end: another gate can run them.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for requests that may not be repeated: their answer may yet be fetched.
const UNREACHABLE_TIMEOUT_ONCE: Duration = Duration::from_millis(1500);

/// A request without an answer.
struct Pending {
    frame: Bytes,
    idempotent: bool,
    sent: bool,
    since: Instant,
    done: oneshot::Sender<Outcome>,
}

/// A connection to one gate.
pub(crate) struct Link {
    /// The gate's node.
    pub node: NodeId,
    /// Its address.
    pub addr: SocketAddr,
    hello: Bytes,
    pending: RefCell<BTreeMap<u64, Pending>>,
    next_number: Cell<u64>,
    queue: RefCell<Option<Rc<SendQueue>>>,
    last_received: Cell<Instant>,
    lost_since: Cell<Option<Instant>>,
    gate_run: Cell<Option<u64>>,
    wake: Notify,
    retired: Cell<bool>,
    leaving: Cell<bool>,
    standing: Cell<Standing>,
    /// What the gate said last, and when.
    pub last_report: Cell<(LoadReport, Option<Instant>)>,
}

/// Takes the request out when nobody waits for its answer any more.
struct CancelOnDrop<'a> {
    link: &'a Link,
    number: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.link.pending.borrow_mut().remove(&self.number).is_some()
            && let Some(queue) = self.link.queue.borrow().as_ref()
        {
            queue.push(&frame::encode(&EntryFrame::Cancel(self.number)));
        }
    }
}

impl Link {
    /// A link that opens its connection with the first request. Its session is its own: a link that
    /// replaces another to the same gate counts its requests anew, and must not be given the answers
    /// that the gate keeps for the other.
    pub fn new(node: NodeId, addr: SocketAddr) -> Rc<Link> {
        let (session, to) = (fastrand::u64(..), node.to_string());
        let link = Rc::new(Link {
            node,
            addr,
            hello: frame::encode(&EntryFrame::Hello { session, to }),
            pending: RefCell::default(),
            next_number: Cell::new(1),
            queue: RefCell::default(),
            last_received: Cell::new(Instant::now()),
            lost_since: Cell::new(None),
            gate_run: Cell::new(None),
            wake: Notify::new(),
            retired: Cell::new(false),
            leaving: Cell::new(false),
            standing: Cell::default(),
            last_report: Cell::default(),
        });
        tokio::task::spawn_local(link.clone().run());
        link
    }

    /// Ends the connection once nothing is owed; the link is not used for new requests.
    pub fn retire(&self) {
        self.retired.set(true);
        self.wake.notify_one();
    }

    /// Whether the gate owes an answer and is silent, cannot be reached, or has no server.
    pub fn is_suspect(&self) -> bool {
        let away = self.standing.get().is_away(Instant::now());
        away || self.lost_since.get().is_some() || self.silence() > PING_AFTER + CHECK_INTERVAL
    }

    /// Whether the gate has said that it is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Requests of this node that the gate has not answered.
    pub fn pending_count(&self) -> u32 {
        self.pending.borrow().len() as u32
    }

    /// Sends a request and waits for what became of it. Dropping the future cancels the request.
    pub async fn send(&self, mut request: GateRequest) -> Outcome {
        if self.lost_since.get().is_some() {
            // Nothing is sent while the gate is out of reach: the caller is told at once.
            return not_sent();
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        request.number = number;
        let idempotent = request.idempotent;
        let frame = frame::encode(&EntryFrame::Request(Box::new(request)));
        let (done, answer) = oneshot::channel();
        let queue = self.queue.borrow().clone();
        let sent = queue.is_some();
        if let Some(queue) = queue {
            queue.push(&frame);
        }
        let pending = Pending { frame, idempotent, sent, since: Instant::now(), done };
        self.pending.borrow_mut().insert(number, pending);
        let _cancel = CancelOnDrop { link: self, number };
        self.wake.notify_one();
        match answer.await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown(Code::Lost),
        }
    }

    /// How long the gate has owed an answer without saying anything.
    fn silence(&self) -> Duration {
        let oldest = self.pending.borrow().values().map(|p| p.since).min();
        let Some(oldest) = oldest else { return Duration::ZERO };
        self.last_received.get().max(oldest).elapsed()
    }

    async fn run(self: Rc<Link>) {
        loop {
            while self.pending.borrow().is_empty() && self.lost_since.get().is_none() {
                if self.retired.get() {
                    return;
                }
                self.wake.notified().await;
            }
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await {
                Ok(Ok(stream)) => self.handle_connection(stream).await,
                Ok(Err(e)) => {
                    self.mark_unreachable(e.kind() == std::io::ErrorKind::ConnectionRefused)
                }
                Err(_) => self.mark_unreachable(false),
            }
            if self.lost_since.get().is_some() {
                self.expire_pending();
                if self.retired.get() && self.pending.borrow().is_empty() {
                    return;
                }
                sleep(self.connect_pause()).await;
            }
        }
    }

    /// The pause before the next attempt: longer for a gate that has been lost for long.
    fn connect_pause(&self) -> Duration {
        let lost = self.lost_since.get().map_or(Duration::ZERO, |at| at.elapsed());
        (lost / 4).clamp(CONNECT_PAUSE, CONNECT_PAUSE_MAX)
    }

    fn mark_unreachable(&self, refused: bool) {
        if self.lost_since.get().is_none() {
            self.lost_since.set(Some(Instant::now()));
            spdlog::warn!("lost contact with a node", kv: { node = self.node.as_str(), refused });
        }
        // Nothing listens there: the process that had the requests is gone.
        if refused {
            self.complete(|_| true);
        }
    }

    /// Ends requests that have waited long enough for a gate that cannot be reached.
    fn expire_pending(&self) {
        let Some(lost) = self.lost_since.get() else { return };
        self.complete(|p| {
            let limit = if p.idempotent || !p.sent {
                UNREACHABLE_TIMEOUT
            } else {
                UNREACHABLE_TIMEOUT_ONCE
            };
            lost.max(p.since).elapsed() >= limit
        });
    }

    fn complete(&self, which: impl Fn(&Pending) -> bool) {
        let mut pending = self.pending.borrow_mut();
        let ended: Vec<u64> = pending.iter().filter(|(_, p)| which(p)).map(|(n, _)| *n).collect();
        for number in ended {
            let Some(pending) = pending.remove(&number) else { continue };
            let outcome = match pending.sent {
                true => Outcome::Unknown(Code::Lost),
                false => not_sent(),
            };
            // An error means that nobody waits any more.
            let _ = pending.done.send(outcome);
        }
    }

    /// Uses a connection until it ends.
    async fn handle_connection(&self, stream: TcpStream) {
        if let Err(e) = guard_against_silence(&stream) {
            spdlog::warn!("a connection is not guarded against silence: {e}");
        }
        let (mut reader, writer) = stream.into_split();
        let queue = Rc::new(SendQueue::default());
        queue.push(&self.hello);
        let sender = queue.clone();
        let writing = tokio::task::spawn_local(async move { sender.write_to(writer).await });
        let mut buffer = BytesMut::new();
        match timeout(DEAD_AFTER, frame::read_next(&mut reader, &mut buffer)).await {
            Ok(Some(GateFrame::Hello { run_id })) => {
                self.resume(run_id, &queue);
                tokio::select! {
                    () = self.read_frames(&mut reader, &mut buffer) => {}
                    () = self.watch_silence(&queue) => {}
                }
            }
            _ => self.mark_unreachable(false),
        }
        self.queue.replace(None);
        queue.close();
        writing.abort();
    }

    /// The gate has answered: what is owed goes out, unless another run of it had it.
    fn resume(&self, run_id: u64, queue: &Rc<SendQueue>) {
        if self.gate_run.replace(Some(run_id)).is_some_and(|before| before != run_id) {
            self.complete(|p| p.sent);
            self.leaving.set(false);
        }
        if self.lost_since.take().is_some() {
            spdlog::info!("regained contact with a node", kv: { node = self.node.as_str() });
        }
        self.last_received.set(Instant::now());
        for pending in self.pending.borrow_mut().values_mut() {
            pending.sent = true;
            queue.push(&pending.frame);
        }
        self.queue.replace(Some(queue.clone()));
    }

    async fn read_frames(&self, reader: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) {
        while let Some(down) = frame::read_next(reader, buffer).await {
            self.last_received.set(Instant::now());
            match down {
                GateFrame::Reply { number, outcome, report } => {
                    self.last_report.set((report, Some(Instant::now())));
                    self.note_outcome(&outcome);
                    let pending = self.pending.borrow_mut().remove(&number);
                    if let Some(pending) = pending {
                        // An error means that nobody waits any more.
                        let _ = pending.done.send(outcome);
                    }
                }
                GateFrame::Leaving => self.leaving.set(true),
                GateFrame::Pong | GateFrame::Hello { .. } => {}
            }
        }
    }

    fn note_outcome(&self, outcome: &Outcome) {
        let mut standing = self.standing.get();
        match outcome {
            Outcome::NotRun { code, .. } => standing.refused(*code, Instant::now()),
            Outcome::Answer(_) => standing.ran(),
            Outcome::Unknown(_) => {}
        }
        self.standing.set(standing);
    }

    /// Returns when the gate has been silent for too long.
    async fn watch_silence(&self, queue: &SendQueue) {
        let ping = frame::encode(&EntryFrame::Ping);
        let mut pinged = false;
        loop {
            if self.pending.borrow().is_empty() {
                if self.retired.get() {
                    return;
                }
                self.wake.notified().await;
            }
            sleep(CHECK_INTERVAL).await;
            let silence = self.silence();
            if silence >= DEAD_AFTER {
                spdlog::warn!("a connection to a node has gone silent", kv: { node = self.node.as_str() });
                self.lost_since.set(Some(Instant::now()));
                return;
            }
            if silence >= PING_AFTER && !pinged {
                queue.push(&ping);
            }
            pinged = silence >= PING_AFTER;
        }
    }
}

/// A request that never left.
fn not_sent() -> Outcome {
    Outcome::not_run(Code::Unreachable, UNREACHABLE_RETRY_AFTER)
}
