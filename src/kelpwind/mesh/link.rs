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

use super::frame::{self, Down, LoadReport, Outcome, Up, Work};
use super::send_queue::SendQueue;
use crate::core::codes::Code;
use crate::core::ids::NodeId;
use crate::net::http1::set_dead_peer_timeouts;
use crate::route::availability::Availability;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two attempts to open one.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two attempts.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(500);
/// When a caller may come back whose gate is out of reach: a lost owner is replaced within 2 s.
const UNREACHABLE_RETURN: Duration = Duration::from_millis(500);
/// Silence after which a gate that owes an answer is pinged and counts as suspect.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Silence after which the connection counts as dead. A host with a fifth of a core may stand still
/// for a tenth of a second, and a slowed one for five.
const DEAD_AFTER: Duration = Duration::from_millis(800);
/// Time between two looks at a connection that owes answers.
const LOOK: Duration = Duration::from_millis(125);
/// Time after which an unreachable gate's idempotent requests end: another gate can run them.
const PATIENCE: Duration = Duration::from_millis(300);
/// The same for requests that may not be repeated: their answer may yet be fetched.
const PATIENCE_ONCE: Duration = Duration::from_millis(1500);

/// A request without an answer.
struct Pending {
    frame: Bytes,
    safe: bool,
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
    next: Cell<u64>,
    outbox: RefCell<Option<Rc<SendQueue>>>,
    heard: Cell<Instant>,
    lost: Cell<Option<Instant>>,
    gate: Cell<Option<u64>>,
    wake: Notify,
    retired: Cell<bool>,
    leaving: Cell<bool>,
    standing: Cell<Availability>,
    /// What the gate said last, and when.
    pub last_report: Cell<(LoadReport, Option<Instant>)>,
}

/// Takes the request out when nobody waits for its answer any more.
struct Waiter<'a> {
    link: &'a Link,
    number: u64,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.link.pending.borrow_mut().remove(&self.number).is_some()
            && let Some(outbox) = self.link.outbox.borrow().as_ref()
        {
            outbox.push(&frame::encode(&Up::Cancel(self.number)));
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
            hello: frame::encode(&Up::Hello { session, to }),
            pending: RefCell::default(),
            next: Cell::new(1),
            outbox: RefCell::default(),
            heard: Cell::new(Instant::now()),
            lost: Cell::new(None),
            gate: Cell::new(None),
            wake: Notify::new(),
            retired: Cell::new(false),
            leaving: Cell::new(false),
            standing: Cell::default(),
            last_report: Cell::default(),
        });
        tokio::task::spawn_local(link.clone().keep());
        link
    }

    /// Ends the connection once nothing is owed; the link is not used for new requests.
    pub fn retire(&self) {
        self.retired.set(true);
        self.wake.notify_one();
    }

    /// Whether the gate owes an answer and is silent, cannot be reached, or has no server.
    pub fn is_suspect(&self) -> bool {
        let away = self.standing.get().is_unavailable(Instant::now());
        away || self.lost.get().is_some() || self.silence() > PING_AFTER + LOOK
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
    pub async fn send(&self, mut work: Work) -> Outcome {
        if self.lost.get().is_some() {
            // Nothing is sent while the gate is out of reach: the caller is told at once.
            return unsent();
        }
        let number = self.next.get();
        self.next.set(number + 1);
        work.number = number;
        let safe = work.safe;
        let frame = frame::encode(&Up::Request(Box::new(work)));
        let (done, answer) = oneshot::channel();
        let outbox = self.outbox.borrow().clone();
        let sent = outbox.is_some();
        if let Some(outbox) = outbox {
            outbox.push(&frame);
        }
        let pending = Pending { frame, safe, sent, since: Instant::now(), done };
        self.pending.borrow_mut().insert(number, pending);
        let _waiter = Waiter { link: self, number };
        self.wake.notify_one();
        match answer.await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown(Code::ConnectionLost),
        }
    }

    /// How long the gate has owed an answer without saying anything.
    fn silence(&self) -> Duration {
        let oldest = self.pending.borrow().values().map(|p| p.since).min();
        let Some(oldest) = oldest else { return Duration::ZERO };
        self.heard.get().max(oldest).elapsed()
    }

    async fn keep(self: Rc<Link>) {
        loop {
            while self.pending.borrow().is_empty() && self.lost.get().is_none() {
                if self.retired.get() {
                    return;
                }
                self.wake.notified().await;
            }
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await {
                Ok(Ok(stream)) => self.converse(stream).await,
                Ok(Err(e)) => self.unreachable(e.kind() == std::io::ErrorKind::ConnectionRefused),
                Err(_) => self.unreachable(false),
            }
            if self.lost.get().is_some() {
                self.end_overdue();
                if self.retired.get() && self.pending.borrow().is_empty() {
                    return;
                }
                sleep(self.connect_pause()).await;
            }
        }
    }

    /// The pause before the next attempt: longer for a gate that has been lost for long.
    fn connect_pause(&self) -> Duration {
        let lost = self.lost.get().map_or(Duration::ZERO, |at| at.elapsed());
        (lost / 4).clamp(CONNECT_PAUSE, CONNECT_PAUSE_MAX)
    }

    fn unreachable(&self, refused: bool) {
        if self.lost.get().is_none() {
            self.lost.set(Some(Instant::now()));
            spdlog::warn!("lost contact with a node", kv: { node = self.node.as_str(), refused });
        }
        // Nothing listens there: the process that had the requests is gone.
        if refused {
            self.end(|_| true);
        }
    }

    /// Ends requests that have waited long enough for a gate that cannot be reached.
    fn end_overdue(&self) {
        let Some(lost) = self.lost.get() else { return };
        self.end(|p| {
            let patience = if p.safe || !p.sent { PATIENCE } else { PATIENCE_ONCE };
            lost.max(p.since).elapsed() >= patience
        });
    }

    fn end(&self, which: impl Fn(&Pending) -> bool) {
        let mut pending = self.pending.borrow_mut();
        let ended: Vec<u64> = pending.iter().filter(|(_, p)| which(p)).map(|(n, _)| *n).collect();
        for number in ended {
            let Some(pending) = pending.remove(&number) else { continue };
            let outcome = match pending.sent {
                true => Outcome::Unknown(Code::ConnectionLost),
                false => unsent(),
            };
            // An error means that nobody waits any more.
            let _ = pending.done.send(outcome);
        }
    }

    /// Uses a connection until it ends.
    async fn converse(&self, stream: TcpStream) {
        if let Err(e) = set_dead_peer_timeouts(&stream) {
            spdlog::warn!("a connection is not guarded against silence: {e}");
        }
        let (mut reader, writer) = stream.into_split();
        let outbox = Rc::new(SendQueue::default());
        outbox.push(&self.hello);
        let sender = outbox.clone();
        let writing = tokio::task::spawn_local(async move { sender.write_to(writer).await });
        let mut buffer = BytesMut::new();
        match timeout(DEAD_AFTER, frame::next(&mut reader, &mut buffer)).await {
            Ok(Some(Down::Hello { run })) => {
                self.welcome(run, &outbox);
                tokio::select! {
                    () = self.take_frames(&mut reader, &mut buffer) => {}
                    () = self.watch(&outbox) => {}
                }
            }
            _ => self.unreachable(false),
        }
        self.outbox.replace(None);
        outbox.close();
        writing.abort();
    }

    /// The gate has answered: what is owed goes out, unless another run of it had it.
    fn welcome(&self, run: u64, outbox: &Rc<SendQueue>) {
        if self.gate.replace(Some(run)).is_some_and(|before| before != run) {
            self.end(|p| p.sent);
            self.leaving.set(false);
        }
        if self.lost.take().is_some() {
            spdlog::info!("regained contact with a node", kv: { node = self.node.as_str() });
        }
        self.heard.set(Instant::now());
        for pending in self.pending.borrow_mut().values_mut() {
            pending.sent = true;
            outbox.push(&pending.frame);
        }
        self.outbox.replace(Some(outbox.clone()));
    }

    async fn take_frames(&self, reader: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) {
        while let Some(down) = frame::next(reader, buffer).await {
            self.heard.set(Instant::now());
            match down {
                Down::Reply { number, outcome, report } => {
                    self.last_report.set((report, Some(Instant::now())));
                    self.note_standing(&outcome);
                    let pending = self.pending.borrow_mut().remove(&number);
                    if let Some(pending) = pending {
                        // An error means that nobody waits any more.
                        let _ = pending.done.send(outcome);
                    }
                }
                Down::Leaving => self.leaving.set(true),
                Down::Pong | Down::Hello { .. } => {}
            }
        }
    }

    fn note_standing(&self, outcome: &Outcome) {
        let mut standing = self.standing.get();
        match outcome {
            Outcome::NotRun { code, .. } => standing.on_refused(*code, Instant::now()),
            Outcome::Answer(_) => standing.on_accepted(),
            Outcome::Unknown(_) => {}
        }
        self.standing.set(standing);
    }

    /// Returns when the gate has been silent for too long.
    async fn watch(&self, outbox: &SendQueue) {
        let ping = frame::encode(&Up::Ping);
        let mut pinged = false;
        loop {
            if self.pending.borrow().is_empty() {
                if self.retired.get() {
                    return;
                }
                self.wake.notified().await;
            }
            sleep(LOOK).await;
            let silence = self.silence();
            if silence >= DEAD_AFTER {
                spdlog::warn!("a connection to a node has gone silent", kv: { node = self.node.as_str() });
                self.lost.set(Some(Instant::now()));
                return;
            }
            if silence >= PING_AFTER && !pinged {
                outbox.push(&ping);
            }
            pinged = silence >= PING_AFTER;
        }
    }
}

/// A request that never left.
fn unsent() -> Outcome {
    Outcome::not_run(Code::Unreachable, UNREACHABLE_RETURN)
}
