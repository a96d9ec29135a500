//! The gate's side of the connections from other nodes' entries.
//!
//! A session belongs to one link of an entry and may span several connections. The gate runs each
//! request number once. It keeps the reply until the entry has acknowledged it, or for a while, for an
//! entry that sends the request again over a new connection (see [`super::frame`]). The number of a
//! request whose reply was dropped earlier is kept until then, so that the request doesn't run again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncRead;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use super::frame::{
    self, EntryFrame, Events, GateFrame, GateRequest, LoadReport, Message, Outcome, Receiver,
};
use super::gate::MEMORY_RETRY_AFTER;
use super::kept_replies::{Decision, KeptReply, SessionRequests, choose_evictions};
use super::node::Node;
use super::send_queue::SendQueue;
use crate::core::codes::Code;
use crate::lease::clock;
use crate::net::http1::set_dead_peer_timeouts;
use crate::net::memory::{Hold, Place};
use crate::net::transit::TransitTime;

/// Longest wait for the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which replies are kept that are not acknowledged. It is longer than an entry waits for an
/// unreachable gate.
const REPLY_RETENTION: Duration = Duration::from_millis(2500);
/// Interval at which older replies are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_millis(500);
/// Memory that kept replies leave to others.
const FREE_BYTES_MIN: usize = 4 << 20;
/// Time without a connection after which a session's requests are cancelled, if they are idempotent
/// or have not reached the server. By then their callers have been answered, or have left.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed accept, which prevents a busy loop while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request that waits or runs. `sent` is true once the backend server may have it.
struct Running {
    task: AbortHandle,
    idempotent: bool,
    sent: Rc<Cell<bool>>,
}

/// One connection of a session.
struct Connection {
    queue: Rc<SendQueue>,
    receiver: RefCell<Receiver>,
    /// How long requests have been on their way.
    transit: RefCell<TransitTime>,
}

/// The requests of one link of an entry.
pub(crate) struct Session {
    requests: RefCell<SessionRequests<Running, Rc<Message>>>,
    /// Number of the last connection.
    connection: Cell<u32>,
    /// The current connection, if there is one.
    current: RefCell<Option<Rc<Connection>>>,
}

/// Sessions by the random id that the entry chose.
pub(crate) type Sessions = RefCell<HashMap<u64, Rc<Session>>>;

/// Accepts connections of other nodes for as long as the process runs.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    let mut prune = interval(PRUNE_INTERVAL);
    prune.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = prune.tick() => {
                node.sessions.borrow().values().for_each(|session| session.prune());
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(handle_connection(node.clone(), stream));
            }
            Err(e) => {
                spdlog::warn!("failed to accept a connection of another node: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Exchanges frames over one connection of an entry until it ends.
async fn handle_connection(node: Rc<Node>, stream: TcpStream) {
    if let Err(e) = set_dead_peer_timeouts(&stream) {
        spdlog::warn!("failed to set the socket options of a connection of another node: {e}");
    }
    let (mut reader, writer) = stream.into_split();
    let queue = Rc::new(SendQueue::new(node.pacer.clone()));
    let connection = Rc::new(Connection {
        queue: queue.clone(),
        receiver: RefCell::default(),
        transit: RefCell::default(),
    });
    let Ok(Some(hello)) = timeout(HELLO_TIMEOUT, read_hello(&mut reader, &connection)).await else {
        return;
    };
    let EntryFrame::Hello { session: id, to, connection: number, sent, oldest } = hello else {
        return;
    };
    if to != node.name().as_str() {
        return;
    }
    let session =
        node.sessions.borrow_mut().entry(id).or_insert_with(|| Session::new(sent)).clone();
    // The hello of a connection that the entry has given up may arrive late.
    if number <= session.connection.get() {
        return;
    }
    session.connection.set(number);
    session.forget_below(oldest);
    queue.push_control(&Message::control(&GateFrame::Hello { run_id: node.run_id }));
    let sender = queue.clone();
    let writing = tokio::task::spawn_local(async move { sender.write_to(writer).await });
    if let Some(former) = session.current.replace(Some(connection.clone())) {
        former.queue.discard();
        former.receiver.borrow_mut().forget_all();
    }
    if node.is_stopping() {
        queue.push_control(&Message::control(&GateFrame::Leaving));
    }
    let mut events = Events {
        reserve: |number, size| {
            if session.is_current(&connection) {
                node.reserve(&session, number, size)
            } else {
                None
            }
        },
        on_bytes: || {},
        confirm: |chunks| queue.push_control(&Message::control(&GateFrame::Received(chunks))),
    };
    while let Some(received) =
        frame::read_next(&mut reader, &connection.receiver, &mut events).await
    {
        // What arrives late over a connection that the entry has given up may be acknowledged already.
        if !session.is_current(&connection) {
            break;
        }
        match received.frame {
            EntryFrame::Request(mut request) => {
                let now = clock::now();
                let late = connection.transit.borrow_mut().record(request.sent_at, now);
                request.shorten(late);
                accept_request(&node, &session, *request, received.hold);
            }
            EntryFrame::Cancel(number) => {
                connection.receiver.borrow_mut().forget(number);
                session.cancel(number);
            }
            EntryFrame::Acknowledge { numbers, oldest } => {
                numbers.into_iter().for_each(|number| session.cancel(number));
                session.forget_below(oldest);
            }
            EntryFrame::Received(chunks) => queue.confirm(chunks),
            EntryFrame::Ping => queue.push_control(&Message::control(&GateFrame::Pong)),
            EntryFrame::Hello { .. } => break,
        }
    }
    queue.discard();
    writing.abort();
    connection.receiver.borrow_mut().forget_all();
    if session.is_current(&connection) {
        session.current.replace(None);
        sleep(DISCONNECT_TIMEOUT).await;
        if session.current.borrow().is_none() {
            session.cancel_all();
            sleep(REPLY_RETENTION).await;
            let mut sessions = node.sessions.borrow_mut();
            if session.current.borrow().is_none() {
                sessions.remove(&id);
            }
        }
    }
}

/// Reads the first message of a connection.
async fn read_hello(
    reader: &mut (impl AsyncRead + Unpin),
    connection: &Connection,
) -> Option<EntryFrame> {
    let mut events = Events { reserve: |_, _| None, on_bytes: || {}, confirm: |_| {} };
    let received = frame::read_next(reader, &connection.receiver, &mut events).await;
    received.map(|r| r.frame)
}

impl Node {
    /// Notifies all entries that this gate is about to stop. They also learn it from the table, but
    /// not while the store is down.
    pub fn notify_leaving(&self) {
        let leaving = Message::control(&GateFrame::Leaving);
        for session in self.sessions.borrow().values() {
            if let Some(connection) = session.current.borrow().as_ref() {
                connection.queue.push_control(&leaving);
            }
        }
    }

    /// Bytes of large replies that are yet to be sent to other nodes.
    pub fn queued_bytes(&self) -> usize {
        let queued = |session: &Rc<Session>| {
            session.current.borrow().as_ref().map_or(0, |connection| connection.queue.large_bytes())
        };
        self.sessions.borrow().values().map(queued).sum()
    }

    /// Whether replies are still to be written to connections of entries.
    pub fn has_unsent_replies(&self) -> bool {
        let sessions = self.sessions.borrow();
        sessions.values().any(|s| s.current.borrow().as_ref().is_some_and(|c| !c.queue.is_idle()))
    }

    /// Takes the memory for a request that arrives in parts. `None` if it is not needed, or there is
    /// none: then the request is refused.
    fn reserve(&self, session: &Session, number: u64, size: usize) -> Option<Hold> {
        // Whether the request is idempotent is not known yet, which matters only before it runs.
        match session.requests.borrow().decide(number, true) {
            Decision::Resend(reply) => {
                session.push(&reply);
                return None;
            }
            Decision::Ignore => return None,
            Decision::Run | Decision::Unknown => {}
        }
        if let Some(hold) = self.memory.try_take(Place::Link, size) {
            return Some(hold);
        }
        self.evict_replies(size);
        let hold = self.memory.try_take(Place::Link, size);
        if hold.is_none() {
            self.refuse_unread(session, number, size);
        }
        hold
    }

    /// Refuses a request before it has arrived, unless an earlier run of it is unknown.
    fn refuse_unread(&self, session: &Session, number: u64, size: usize) {
        let decision = session.requests.borrow().decide(number, false);
        let may_have_run = matches!(decision, Decision::Unknown);
        let outcome = match may_have_run {
            true => Outcome::Unknown(Code::ConnectionLost),
            false => Outcome::not_run(Code::MemoryFull, MEMORY_RETRY_AFTER),
        };
        self.metrics.refusal_log.write(|left_out| {
            spdlog::info!("gate: no memory for a request", kv: {
                number, size, free = self.memory.free(), outcome = outcome.summary(), left_out
            });
        });
        let reply = encode_reply(self, number, 0, outcome, self.load_report(""));
        session.push(&reply);
        if !may_have_run {
            session.requests.borrow_mut().keep(number, reply, Instant::now());
        }
    }

    /// Drops kept replies until `needed` bytes are free, if there are enough. Those that are still
    /// being sent would free nothing.
    fn evict_replies(&self, needed: usize) {
        let missing = needed.saturating_sub(self.memory.free());
        if missing == 0 {
            return;
        }
        let sessions = self.sessions.borrow();
        let mut kept = Vec::new();
        for (id, session) in sessions.iter() {
            for (number, reply, at) in session.requests.borrow().replies() {
                if Rc::strong_count(reply) == 1 {
                    kept.push(KeptReply { id: (*id, number), bytes: reply.size(), at });
                }
            }
        }
        let chosen = choose_evictions(kept, missing);
        let count = chosen.len();
        for (id, number) in chosen {
            if let Some(session) = sessions.get(&id) {
                session.requests.borrow_mut().drop_reply(number);
            }
        }
        if count > 0 {
            self.metrics.refusal_log.write(|left_out| {
                spdlog::info!("gate: dropped replies that were not acknowledged", kv: { count, missing, left_out });
            });
        }
    }
}

/// Runs a request, or sends its reply again if it has ended. `hold` is the memory of its body.
fn accept_request(
    node: &Rc<Node>,
    session: &Rc<Session>,
    request: GateRequest,
    hold: Option<Hold>,
) {
    let (number, priority, idempotent) = (request.number, request.priority, request.idempotent);
    let decision = session.requests.borrow().decide(number, idempotent);
    match decision {
        Decision::Run => {}
        Decision::Ignore => return,
        Decision::Resend(reply) => return session.push(&reply),
        Decision::Unknown => {
            spdlog::warn!("gate: a request came again after its reply was dropped", kv: {
                request = request.request.id.as_str(), number
            });
            let outcome = Outcome::Unknown(Code::ConnectionLost);
            let report = node.load_report(&request.class);
            return session.push(&encode_reply(node, number, priority, outcome, report));
        }
    }
    if request.remaining_ms == 0 {
        let outcome = Outcome::not_run(Code::DeadlinePast, Duration::ZERO);
        let reply = encode_reply(node, number, priority, outcome, node.load_report(""));
        session.push(&reply);
        return session.requests.borrow_mut().keep(number, reply, Instant::now());
    }
    let sent = Rc::new(Cell::new(false));
    let (node, task_session, mark) = (node.clone(), session.clone(), sent.clone());
    let task = tokio::task::spawn_local(async move {
        let (outcome, report) = node.run_request(request, &mark).await;
        drop(hold);
        if !task_session.requests.borrow_mut().finish(number) {
            return;
        }
        let reply = encode_reply(&node, number, priority, outcome, report);
        task_session.push(&reply);
        task_session.requests.borrow_mut().keep(number, reply, Instant::now());
        node.evict_replies(FREE_BYTES_MIN);
    });
    let running = Running { task: task.abort_handle(), idempotent, sent };
    session.requests.borrow_mut().start(number, running);
}

fn encode_reply(
    node: &Node,
    number: u64,
    priority: u8,
    outcome: Outcome,
    report: LoadReport,
) -> Rc<Message> {
    let stated = node.server_statement();
    Message::reply(number, priority, outcome, report, stated, &node.memory)
}

impl Running {
    /// Ends the request if it may be cancelled. Returns whether it did. One that is not idempotent
    /// continues once the server has it, because stopping it midway would leave its effect unknown.
    fn stop(&self) -> bool {
        let may = self.idempotent || !self.sent.get();
        if may {
            self.task.abort();
        }
        may
    }
}

impl Session {
    /// Creates a session, in which requests up to the number `forgotten` may have run.
    fn new(forgotten: u64) -> Rc<Session> {
        Rc::new(Session {
            requests: RefCell::new(SessionRequests::new(forgotten)),
            connection: Cell::new(0),
            current: RefCell::default(),
        })
    }

    /// Sends a message to the entry, if it is connected.
    fn push(&self, message: &Rc<Message>) {
        if let Some(connection) = self.current.borrow().as_ref() {
            connection.queue.push(message);
        }
    }

    fn is_current(&self, connection: &Rc<Connection>) -> bool {
        self.current.borrow().as_ref().is_some_and(|c| Rc::ptr_eq(c, connection))
    }

    /// Drops a request that the entry never sends again, because it has the reply or its caller has
    /// left, and what is queued for it.
    fn cancel(&self, number: u64) {
        if let Some(connection) = self.current.borrow().as_ref() {
            connection.queue.remove(number);
        }
        self.requests.borrow_mut().remove(number, Running::stop);
    }

    /// Drops the requests with lower numbers than `oldest`, which the entry never sends again.
    fn forget_below(&self, oldest: u64) {
        let numbers = self.requests.borrow_mut().below(oldest);
        numbers.into_iter().for_each(|number| self.cancel(number));
    }

    /// Cancels all requests that may be cancelled. They run if their entry sends them again.
    fn cancel_all(&self) {
        self.requests.borrow_mut().stop_all(Running::stop);
    }

    /// Drops replies that no entry will ask for again. Their numbers are kept.
    fn prune(&self) {
        self.requests.borrow_mut().prune(Instant::now(), REPLY_RETENTION);
    }
}
