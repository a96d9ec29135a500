//! The entry's side of the connection to one gate.
//!
//! All requests for a gate share one connection. It is opened with the first request and reopened
//! when it breaks or stays silent. Unanswered requests are sent again under their old numbers (see
//! [`super::frame`]). If the gate stays unreachable, a request ends after a bounded time: as not
//! run if it was never sent, otherwise as unknown.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::frame::{
    self, EntryFrame, Events, GateFrame, GateRequest, LoadReport, Message, Outcome, Receiver,
};
use super::gate::MEMORY_RETRY_AFTER;
use super::send_order::{CHUNK_BYTES, Removed};
use super::send_queue::SendQueue;
use super::statements::PeerStatement;
use crate::core::codes::Code;
use crate::core::ids::NodeId;
use crate::net::http1::set_dead_peer_timeouts;
use crate::net::memory::{MemoryAccount, Place};
use crate::net::pacing::Pacer;
use crate::route::availability::Availability;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest pause between two attempts to connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two attempts to connect.
const CONNECT_PAUSE_MAX: Duration = Duration::from_millis(500);
/// Retry-after while the gate is unreachable: a lost owner is replaced within 2 s.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Silence after which a gate with unanswered requests is pinged. It counts as suspect one
/// [`CHECK_INTERVAL`] later.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Silence after which the connection counts as dead. A process that is limited to a fifth of a
/// core may pause for 100 ms, and one that is slowed down for 500 ms.
const DEAD_AFTER: Duration = Duration::from_millis(800);
/// Interval at which a connection with unanswered requests is checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(125);
/// Time after which idempotent requests to an unreachable gate end: another gate can run them.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which other requests to an unreachable gate end. It is longer because their answers
/// may still be fetched over a new connection.
const UNREACHABLE_TIMEOUT_ONCE: Duration = Duration::from_millis(1500);
/// Number of small replies after which they are acknowledged. Fewer are acknowledged with the next request:
/// an own message for each would double the number of messages, and a timer on each idle connection would wake the node
/// hundreds of times a second. The gate keeps them for 2.5 s at most.
const ACKNOWLEDGE_COUNT: usize = 256;

/// Time for which the numbers of cancelled requests are kept. It is longer than it takes to notice that a
/// connection is broken and to open another one.
const CANCEL_RETENTION: Duration = Duration::from_secs(3);

/// An unanswered request.
struct Pending {
    message: Rc<Message>,
    idempotent: bool,
    since: Instant,
    done: oneshot::Sender<GateReply>,
}

/// The end of a request to a gate.
pub(crate) struct GateReply {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// What the gate says that its backend server has stated of itself.
    pub stated: Option<PeerStatement>,
}

impl From<Outcome> for GateReply {
    fn from(outcome: Outcome) -> GateReply {
        GateReply { outcome, stated: None }
    }
}

/// A connection to one gate.
pub(crate) struct Link {
    /// Name of the gate's node.
    pub node: NodeId,
    /// Address of the gate.
    pub addr: SocketAddr,
    session: u64,
    /// Number of connections so far.
    connections: Cell<u32>,
    pending: RefCell<BTreeMap<u64, Pending>>,
    next_number: Cell<u64>,
    /// Numbers of requests whose replies have arrived and are not acknowledged.
    unacknowledged: RefCell<Vec<u64>>,
    /// The receiving side of the current connection.
    receiver: RefCell<Receiver>,
    account: MemoryAccount,
    pacer: Rc<Pacer>,
    /// Numbers of requests cancelled lately, and when.
    cancelled: RefCell<VecDeque<(Instant, u64)>>,
    queue: RefCell<Option<Rc<SendQueue>>>,
    /// When the last bytes arrived.
    last_received: Cell<Instant>,
    /// Since when the gate is unreachable.
    lost_since: Cell<Option<Instant>>,
    /// Run id of the gate's process, from its last hello.
    gate_run: Cell<Option<u64>>,
    wake: Notify,
    /// Whether the link takes no new requests.
    retired: Cell<bool>,
    /// Whether the gate has announced over the present connection that it stops.
    leaving: Cell<bool>,
    availability: Cell<Availability>,
    /// The last load report of the gate and when it arrived.
    pub last_report: Cell<(LoadReport, Option<Instant>)>,
}

/// Cancels a request whose sender no longer waits for the answer.
struct CancelOnDrop<'a> {
    link: &'a Link,
    number: u64,
    /// Set to whether the gate may have the cancelled request.
    sent: &'a Cell<bool>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let Some(pending) = self.link.pending.borrow_mut().remove(&self.number) else { return };
        self.link.receiver.borrow_mut().forget(self.number);
        self.sent.set(pending.message.was_sent());
        let queue = self.link.queue.borrow().clone();
        let removed = queue.as_ref().map(|queue| queue.remove(self.number));
        if matches!(removed, None | Some(Removed::Unsent)) && !pending.message.was_sent() {
            return;
        }
        self.link.note_cancelled(self.number);
        let Some(queue) = queue else { return };
        queue.push_control(&Message::control(&EntryFrame::Cancel(self.number)));
    }
}

impl Link {
    /// Creates a link that connects with the first request. Each link has a session of its own: its
    /// request numbers start at 1, so it must not get the answers that the gate keeps for a
    /// previous link.
    pub fn new(
        node: NodeId,
        addr: SocketAddr,
        account: MemoryAccount,
        pacer: Rc<Pacer>,
    ) -> Rc<Link> {
        let link = Rc::new(Link {
            node,
            addr,
            session: fastrand::u64(..),
            connections: Cell::new(0),
            pending: RefCell::default(),
            next_number: Cell::new(1),
            unacknowledged: RefCell::default(),
            receiver: RefCell::default(),
            account,
            pacer,
            cancelled: RefCell::default(),
            queue: RefCell::default(),
            last_received: Cell::new(Instant::now()),
            lost_since: Cell::new(None),
            gate_run: Cell::new(None),
            wake: Notify::new(),
            retired: Cell::new(false),
            leaving: Cell::new(false),
            availability: Cell::default(),
            last_report: Cell::default(),
        });
        tokio::task::spawn_local(link.clone().run());
        link
    }

    /// Closes the connection once all requests are answered. The link must get no new ones.
    pub fn retire(&self) {
        self.retired.set(true);
        self.wake.notify_one();
    }

    /// Whether the gate leaves requests unanswered in silence, is unreachable, or has no server.
    pub fn is_suspect(&self) -> bool {
        let unavailable = self.availability.get().is_unavailable(Instant::now());
        unavailable
            || self.lost_since.get().is_some()
            || self.silence() > PING_AFTER + CHECK_INTERVAL
    }

    /// Whether the gate has announced over the present connection that it stops.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Keeps the number of a cancelled request for the next connection: the present one may be broken.
    fn note_cancelled(&self, number: u64) {
        let now = Instant::now();
        let mut cancelled = self.cancelled.borrow_mut();
        let is_old = |at: Instant| now.duration_since(at) >= CANCEL_RETENTION;
        while cancelled.front().is_some_and(|(at, _)| is_old(*at)) {
            cancelled.pop_front();
        }
        cancelled.push_back((now, number));
    }

    /// Number of unanswered requests.
    pub fn pending_count(&self) -> u32 {
        self.pending.borrow().len() as u32
    }

    /// Sends a request and waits for its outcome. Dropping the future cancels the request, and sets `sent`
    /// to whether the gate may have it.
    pub async fn send(&self, mut request: GateRequest, sent: &Cell<bool>) -> GateReply {
        if self.lost_since.get().is_some() {
            // The gate is unreachable, so the caller gets its answer at once.
            return not_sent().into();
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        request.number = number;
        let idempotent = request.idempotent;
        let Some(message) = Message::request(request, &self.account) else {
            return Outcome::not_run(Code::MemoryFull, MEMORY_RETRY_AFTER).into();
        };
        let (done, answer) = oneshot::channel();
        let pending = Pending { message: message.clone(), idempotent, since: Instant::now(), done };
        self.pending.borrow_mut().insert(number, pending);
        if let Some(queue) = self.queue.borrow().as_ref() {
            self.acknowledge(queue);
            queue.push(&message);
        }
        let _cancel = CancelOnDrop { link: self, number, sent };
        self.wake.notify_one();
        match answer.await {
            Ok(reply) => reply,
            Err(_) => Outcome::Unknown(Code::ConnectionLost).into(),
        }
    }

    /// Time since the last frame of a gate with unanswered requests, counted from the oldest of
    /// these at the earliest.
    fn silence(&self) -> Duration {
        let oldest = self.pending.borrow().values().map(|p| p.since).min();
        let Some(oldest) = oldest else { return Duration::ZERO };
        self.last_received.get().max(oldest).elapsed()
    }

    /// Connects while there are unanswered requests, until the link is retired.
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

    /// The pause before the next attempt to connect. It grows with the time for which the gate has
    /// been unreachable.
    fn connect_pause(&self) -> Duration {
        let lost = self.lost_since.get().map_or(Duration::ZERO, |at| at.elapsed());
        (lost / 4).clamp(CONNECT_PAUSE, CONNECT_PAUSE_MAX)
    }

    fn mark_unreachable(&self, refused: bool) {
        if self.lost_since.get().is_none() {
            self.lost_since.set(Some(Instant::now()));
            spdlog::warn!("lost contact with a node", kv: { node = self.node.as_str(), refused });
        }
        // Nothing listens at the address, so the process that had the requests has ended.
        if refused {
            self.complete(|_| true);
        }
    }

    /// Completes requests that have waited too long for an unreachable gate.
    fn expire_pending(&self) {
        let Some(lost) = self.lost_since.get() else { return };
        self.complete(|p| {
            let limit = if p.idempotent || !p.message.was_sent() {
                UNREACHABLE_TIMEOUT
            } else {
                UNREACHABLE_TIMEOUT_ONCE
            };
            lost.max(p.since).elapsed() >= limit
        });
    }

    /// Completes the selected requests without an answer.
    fn complete(&self, which: impl Fn(&Pending) -> bool) {
        let mut pending = self.pending.borrow_mut();
        let numbers: Vec<u64> = pending.iter().filter(|(_, p)| which(p)).map(|(n, _)| *n).collect();
        for number in numbers {
            let Some(pending) = pending.remove(&number) else { continue };
            let outcome = match pending.message.was_sent() {
                true => Outcome::Unknown(Code::ConnectionLost),
                false => not_sent(),
            };
            // An error means that the sender no longer waits.
            let _ = pending.done.send(outcome.into());
        }
    }

    /// Lowest number of an unanswered request, or the next number.
    fn oldest(&self) -> u64 {
        self.pending.borrow().keys().next().copied().unwrap_or(self.next_number.get())
    }

    /// The first message of the next connection.
    fn hello(&self) -> Rc<Message> {
        let connection = self.connections.get() + 1;
        self.connections.set(connection);
        let pending = self.pending.borrow();
        let sent = pending.iter().rev().find(|(_, p)| p.message.was_sent()).map_or(0, |(n, _)| *n);
        let (session, to, oldest) = (self.session, self.node.to_string(), self.oldest());
        Message::control(&EntryFrame::Hello { session, to, connection, sent, oldest })
    }

    /// Tells the gate which replies have arrived since it was last told.
    fn acknowledge(&self, queue: &SendQueue) {
        let numbers = self.unacknowledged.take();
        if numbers.is_empty() {
            return;
        }
        let frame = EntryFrame::Acknowledge { numbers, oldest: self.oldest() };
        queue.push_control(&Message::control(&frame));
    }

    /// Notes that a reply has arrived. Large ones are acknowledged at once.
    fn note_arrived(&self, number: u64, large: bool, queue: &SendQueue) {
        self.unacknowledged.borrow_mut().push(number);
        if large || self.unacknowledged.borrow().len() >= ACKNOWLEDGE_COUNT {
            self.acknowledge(queue);
        }
    }

    /// Exchanges frames over a connection until it ends.
    async fn handle_connection(&self, stream: TcpStream) {
        if let Err(e) = set_dead_peer_timeouts(&stream) {
            spdlog::warn!(
                "failed to set the socket options of the connection to {}: {e}",
                self.node
            );
        }
        let (mut reader, writer) = stream.into_split();
        let queue = Rc::new(SendQueue::new(self.pacer.clone()));
        queue.push_control(&self.hello());
        let sender = queue.clone();
        let writing = tokio::task::spawn_local(async move { sender.write_to(writer).await });
        self.receiver.replace(Receiver::default());
        match timeout(DEAD_AFTER, self.read_hello(&mut reader)).await {
            Ok(Some(run_id)) => {
                self.resume(run_id, &queue);
                tokio::select! {
                    () = self.read_frames(&mut reader, &queue) => {}
                    () = self.watch_silence(&queue) => {}
                }
            }
            _ => self.mark_unreachable(false),
        }
        self.queue.replace(None);
        self.receiver.replace(Receiver::default());
        queue.close();
        writing.abort();
        // Only a request opens the next connection. A gate that still stops says so again there.
        self.leaving.set(false);
    }

    /// Handles the gate's hello: unanswered requests are sent again, except those that a previous
    /// process of the gate had, whose outcome is unknown.
    fn resume(&self, run_id: u64, queue: &Rc<SendQueue>) {
        if self.gate_run.replace(Some(run_id)).is_some_and(|before| before != run_id) {
            self.complete(|p| p.message.was_sent());
        }
        if self.lost_since.take().is_some() {
            spdlog::info!("regained contact with a node", kv: { node = self.node.as_str() });
        }
        self.last_received.set(Instant::now());
        for (at, number) in &*self.cancelled.borrow() {
            if at.elapsed() < CANCEL_RETENTION {
                queue.push_control(&Message::control(&EntryFrame::Cancel(*number)));
            }
        }
        self.pending.borrow().values().for_each(|pending| queue.push(&pending.message));
        self.queue.replace(Some(queue.clone()));
    }

    /// Reads the first message of a connection, which has the run id of the gate's process.
    async fn read_hello(&self, reader: &mut (impl AsyncRead + Unpin)) -> Option<u64> {
        let mut events = Events { reserve: |_, _| None, on_bytes: || {}, confirm: |_| {} };
        match frame::read_next(reader, &self.receiver, &mut events).await?.frame {
            GateFrame::Hello { run_id } => Some(run_id),
            _ => None,
        }
    }

    async fn read_frames(&self, reader: &mut (impl AsyncRead + Unpin), queue: &SendQueue) {
        // The rest of a reply to a request that was cancelled is ignored. Other replies must be kept,
        // whether there is room for them or not: their requests have run.
        let reserve = |number, size| {
            let wanted = self.pending.borrow().contains_key(&number);
            wanted.then(|| self.account.take(Place::Link, size))
        };
        // A large reply takes long over a slow link, so any bytes show that the gate is alive.
        let on_bytes = || self.last_received.set(Instant::now());
        let confirm = |chunks| {
            queue.push_control(&Message::control(&EntryFrame::Received(chunks)));
        };
        let mut events = Events { reserve, on_bytes, confirm };
        while let Some(received) = frame::read_next(reader, &self.receiver, &mut events).await {
            match received.frame {
                GateFrame::Reply { number, outcome, report, stated } => {
                    self.last_report.set((report, Some(Instant::now())));
                    self.update_availability(&outcome);
                    let Some(pending) = self.pending.borrow_mut().remove(&number) else { continue };
                    // The gate may refuse a request before all of it is sent.
                    queue.remove(number);
                    let large = received.hold.is_some_and(|h| h.bytes() > CHUNK_BYTES);
                    self.note_arrived(number, large, queue);
                    // An error means that the sender no longer waits.
                    let _ = pending.done.send(GateReply { outcome, stated });
                }
                GateFrame::Received(chunks) => queue.confirm(chunks),
                GateFrame::Leaving => self.leaving.set(true),
                GateFrame::Pong | GateFrame::Hello { .. } => {}
            }
        }
    }

    /// Updates from an outcome whether the gate has a server that takes work.
    fn update_availability(&self, outcome: &Outcome) {
        let mut availability = self.availability.get();
        match outcome {
            Outcome::NotRun { code, .. } => availability.on_refused(*code, Instant::now()),
            Outcome::Answer(_) => availability.on_accepted(),
            Outcome::Returned | Outcome::Unknown(_) => {}
        }
        self.availability.set(availability);
    }

    /// Pings a silent gate, and returns when the connection counts as dead or the link is retired.
    async fn watch_silence(&self, queue: &SendQueue) {
        let ping = Message::control(&EntryFrame::Ping);
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
                spdlog::warn!("a connection to a node is silent and is closed", kv: { node = self.node.as_str() });
                self.lost_since.set(Some(Instant::now()));
                return;
            }
            if silence >= PING_AFTER && !pinged {
                queue.push_control(&ping);
            }
            pinged = silence >= PING_AFTER;
        }
    }
}

/// The outcome of a request that was never sent.
fn not_sent() -> Outcome {
    Outcome::not_run(Code::Unreachable, UNREACHABLE_RETRY_AFTER)
}
