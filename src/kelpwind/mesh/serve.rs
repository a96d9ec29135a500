//! The gate's side of the connections from other nodes' entries.
//!
//! A session belongs to one link of an entry and may span several connections. The gate runs each
//! request number once. It keeps the reply for a while, for an entry that sends the request again
//! over a new connection (see [`super::frame`]). Numbers arrive in ascending order when they arrive
//! for the first time, so one that is neither kept nor higher than all before has been accepted
//! earlier. Whether it ran is not known any more.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::frame::{self, EntryFrame, GateFrame, GateRequest, LoadReport, Outcome};
use super::node::Node;
use super::send_queue::SendQueue;
use crate::core::codes::Code;
use crate::net::http1::set_dead_peer_timeouts;

/// Longest wait for the first frame of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which replies are kept. It is longer than an entry waits for an unreachable gate.
const REPLY_RETENTION: Duration = Duration::from_millis(2500);
/// Time without a connection after which a session's requests are cancelled, if they are idempotent
/// or have not reached the server. By then their callers have been answered, or have left.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed accept, which prevents a busy loop while file descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request of a session.
enum Job {
    /// The request waits or runs. `sent` is true once the backend server may have it.
    Running { task: AbortHandle, idempotent: bool, sent: Rc<Cell<bool>> },
    /// The request has ended with this reply.
    Ended { reply: Bytes, at: Instant },
    /// The request was cancelled while that was allowed, and runs if the entry sends it again.
    Stopped { at: Instant },
}

/// The requests of one link of an entry.
#[derive(Default)]
pub(crate) struct Session {
    jobs: RefCell<HashMap<u64, Job>>,
    /// The highest number accepted so far, or that may have been before the session was forgotten.
    highest: Cell<u64>,
    /// Number of the last connection.
    connection: Cell<u32>,
    /// The current connection, if there is one.
    queue: RefCell<Option<Rc<SendQueue>>>,
    /// When old replies were last dropped.
    pruned: Cell<Option<Instant>>,
}

/// Sessions by the random id that the entry chose.
pub(crate) type Sessions = RefCell<HashMap<u64, Rc<Session>>>;

/// Accepts connections of other nodes for as long as the process runs.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
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
    let mut buffer = BytesMut::new();
    let hello = timeout(HELLO_TIMEOUT, frame::read_next(&mut reader, &mut buffer, || {})).await;
    let Ok(Some(EntryFrame::Hello { session: id, to, connection, sent })) = hello else { return };
    if to != node.name().as_str() {
        return;
    }
    let forgotten = || Rc::new(Session { highest: Cell::new(sent), ..Session::default() });
    let session = node.sessions.borrow_mut().entry(id).or_insert_with(forgotten).clone();
    // The hello of a connection that the entry has given up may arrive late.
    if connection <= session.connection.get() {
        return;
    }
    session.connection.set(connection);
    let queue = Rc::new(SendQueue::default());
    queue.push(&frame::encode(&GateFrame::Hello { run_id: node.run_id }));
    let sender = queue.clone();
    let writing = tokio::task::spawn_local(async move { sender.write_to(writer).await });
    session.queue.replace(Some(queue.clone()));
    if node.is_stopping() {
        queue.push(&frame::encode(&GateFrame::Leaving));
    }
    while let Some(frame) = frame::read_next(&mut reader, &mut buffer, || {}).await {
        match frame {
            EntryFrame::Request(request) => accept_request(&node, &session, *request),
            EntryFrame::Cancel(number) => session.cancel(number),
            EntryFrame::Ping => queue.push(&frame::encode(&GateFrame::Pong)),
            EntryFrame::Hello { .. } => break,
        }
    }
    queue.close();
    writing.abort();
    let is_current = session.queue.borrow().as_ref().is_some_and(|q| Rc::ptr_eq(q, &queue));
    if is_current {
        session.queue.replace(None);
        sleep(DISCONNECT_TIMEOUT).await;
        if session.queue.borrow().is_none() {
            session.cancel_all();
            sleep(REPLY_RETENTION).await;
            let mut sessions = node.sessions.borrow_mut();
            if session.queue.borrow().is_none() {
                sessions.remove(&id);
            }
        }
    }
}

impl Node {
    /// Notifies all entries that this gate is about to stop. They also learn it from the table, but
    /// not while the store is down.
    pub fn notify_leaving(&self) {
        let leaving = frame::encode(&GateFrame::Leaving);
        self.sessions.borrow().values().for_each(|s| s.push(&leaving));
    }
}

/// Runs a request, or sends its reply again if it has ended.
fn accept_request(node: &Rc<Node>, session: &Rc<Session>, request: GateRequest) {
    session.prune();
    let number = request.number;
    match session.jobs.borrow().get(&number) {
        Some(Job::Ended { reply, .. }) => {
            session.push(reply);
            return;
        }
        Some(Job::Running { .. }) => return,
        None if !request.idempotent && number <= session.highest.get() => {
            spdlog::warn!("gate: a request came again after its reply was dropped", kv: {
                request = request.request.id.as_str(), number
            });
            let outcome = Outcome::Unknown(Code::ConnectionLost);
            let report = node.load_report(&request.class);
            session.push(&encode_reply(node, number, outcome, report));
            return;
        }
        Some(Job::Stopped { .. }) | None => {}
    }
    session.highest.set(session.highest.get().max(number));
    let (idempotent, sent) = (request.idempotent, Rc::new(Cell::new(false)));
    let (node, task_session, mark) = (node.clone(), session.clone(), sent.clone());
    let task = tokio::task::spawn_local(async move {
        let (outcome, report) = node.run_request(request, &mark).await;
        let reply = encode_reply(&node, number, outcome, report);
        task_session.push(&reply);
        let ended = Job::Ended { reply, at: Instant::now() };
        task_session.jobs.borrow_mut().insert(number, ended);
    });
    let running = Job::Running { task: task.abort_handle(), idempotent, sent };
    session.jobs.borrow_mut().insert(number, running);
}

fn encode_reply(node: &Node, number: u64, outcome: Outcome, report: LoadReport) -> Bytes {
    let stated = node.server_statement();
    frame::encode(&GateFrame::Reply { number, outcome, report, stated })
}

impl Job {
    /// Ends the task of a running request if it may be cancelled. Returns whether it did.
    fn stop(&self) -> bool {
        let Job::Running { task, idempotent, sent } = self else { return false };
        let may = *idempotent || !sent.get();
        if may {
            task.abort();
        }
        may
    }
}

impl Session {
    /// Sends a frame to the entry, if it is connected.
    pub fn push(&self, frame: &[u8]) {
        if let Some(queue) = self.queue.borrow().as_ref() {
            queue.push(frame);
        }
    }

    /// Cancels a request whose caller has left. One that is not idempotent continues once the
    /// server has it, because stopping it midway would leave its effect unknown.
    fn cancel(&self, number: u64) {
        if let Entry::Occupied(job) = self.jobs.borrow_mut().entry(number)
            && job.get().stop()
        {
            job.remove();
        }
    }

    /// Cancels all requests that may be cancelled. Their entry may yet send them again.
    fn cancel_all(&self) {
        let at = Instant::now();
        for job in self.jobs.borrow_mut().values_mut().filter(|job| job.stop()) {
            *job = Job::Stopped { at };
        }
    }

    /// Drops replies that no entry will ask for again.
    fn prune(&self) {
        let now = Instant::now();
        if self.pruned.get().is_some_and(|at| now.duration_since(at) < REPLY_RETENTION / 2) {
            return;
        }
        self.pruned.set(Some(now));
        let keep = |job: &Job| match job {
            Job::Running { .. } => true,
            Job::Ended { at, .. } | Job::Stopped { at } => {
                now.duration_since(*at) < REPLY_RETENTION
            }
        };
        self.jobs.borrow_mut().retain(|_, job| keep(job));
    }
}
