//! The gate's end of connections from other nodes' entries.
//!
//! A session lasts as long as the entry's link, over any number of connections. Each request is
//! run once by its number; an answer that may not have arrived is kept for a while, for an entry
//! that asks again over a new connection (see [`super::frame`]).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::frame::{self, Down, Up, Work};
use super::node::Node;
use super::send_queue::SendQueue;
use crate::net::http1::set_dead_peer_timeouts;

/// Longest time for the first frame to come.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// For how long answers are kept: longer than an entry waits for a gate out of reach.
const KEPT: Duration = Duration::from_millis(2500);
/// Time without a connection after which idempotent work of a session is ended: its callers have
/// been answered by then, or have left.
const ORPHANED_AFTER: Duration = Duration::from_millis(500);
/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request of a session.
enum Job {
    /// It waits or runs.
    Running { task: AbortHandle, safe: bool, sent: Rc<Cell<bool>> },
    /// It has ended with this reply.
    Ended { reply: Bytes, at: Instant },
}

/// What one link of one entry has asked.
#[derive(Default)]
pub(crate) struct Session {
    jobs: RefCell<HashMap<u64, Job>>,
    outbox: RefCell<Option<Rc<SendQueue>>>,
    pruned: Cell<Option<Instant>>,
}

/// Sessions by the number that the entry drew.
pub(crate) type Sessions = RefCell<HashMap<u64, Rc<Session>>>;

/// Accepts connections of other nodes for as long as the process runs.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(converse(node.clone(), stream));
            }
            Err(e) => {
                spdlog::warn!("failed to accept a connection of another node: {e}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn converse(node: Rc<Node>, stream: TcpStream) {
    if let Err(e) = set_dead_peer_timeouts(&stream) {
        spdlog::warn!("a connection is not guarded against silence: {e}");
    }
    let (mut reader, writer) = stream.into_split();
    let mut buffer = BytesMut::new();
    let hello = timeout(HELLO_TIMEOUT, frame::next(&mut reader, &mut buffer)).await;
    let Ok(Some(Up::Hello { session: id, to })) = hello else { return };
    if to != node.name().as_str() {
        return;
    }
    let session = node.sessions.borrow_mut().entry(id).or_default().clone();
    let outbox = Rc::new(SendQueue::default());
    outbox.push(&frame::encode(&Down::Hello { run: node.run_id }));
    let sender = outbox.clone();
    let writing = tokio::task::spawn_local(async move { sender.write_to(writer).await });
    session.outbox.replace(Some(outbox.clone()));
    if node.is_stopping() {
        outbox.push(&frame::encode(&Down::Leaving));
    }
    while let Some(up) = frame::next(&mut reader, &mut buffer).await {
        match up {
            Up::Request(work) => take(&node, &session, *work),
            Up::Cancel(number) => session.cancel(number),
            Up::Ping => outbox.push(&frame::encode(&Down::Pong)),
            Up::Hello { .. } => break,
        }
    }
    outbox.close();
    writing.abort();
    let is_current = session.outbox.borrow().as_ref().is_some_and(|o| Rc::ptr_eq(o, &outbox));
    if is_current {
        session.outbox.replace(None);
        sleep(ORPHANED_AFTER).await;
        if session.outbox.borrow().is_none() {
            session.cancel_safe();
            sleep(KEPT).await;
            let mut sessions = node.sessions.borrow_mut();
            if session.outbox.borrow().is_none() {
                sessions.remove(&id);
            }
        }
    }
}

impl Node {
    /// Tells all entries that this gate is about to stop. The table tells them too, but not while the
    /// store is down.
    pub fn tell_leaving(&self) {
        let leaving = frame::encode(&Down::Leaving);
        self.sessions.borrow().values().for_each(|s| s.push(&leaving));
    }
}

/// Runs a request, or answers it again if it has run.
fn take(node: &Rc<Node>, session: &Rc<Session>, work: Work) {
    session.prune();
    let number = work.number;
    match session.jobs.borrow().get(&number) {
        Some(Job::Ended { reply, .. }) => {
            session.push(reply);
            return;
        }
        Some(Job::Running { .. }) => return,
        None => {}
    }
    let (safe, sent) = (work.safe, Rc::new(Cell::new(false)));
    let (node, owner, mark) = (node.clone(), session.clone(), sent.clone());
    let task = tokio::task::spawn_local(async move {
        let (outcome, report) = node.run(work, &mark).await;
        let reply = frame::encode(&Down::Reply { number, outcome, report });
        owner.push(&reply);
        let ended = Job::Ended { reply, at: Instant::now() };
        owner.jobs.borrow_mut().insert(number, ended);
    });
    let running = Job::Running { task: task.abort_handle(), safe, sent };
    session.jobs.borrow_mut().insert(number, running);
}

impl Session {
    /// Sends a frame to the entry, if it is connected.
    pub fn push(&self, reply: &[u8]) {
        if let Some(outbox) = self.outbox.borrow().as_ref() {
            outbox.push(reply);
        }
    }

    /// The caller has left. Work that may not be repeated goes on once the server has it: ending it
    /// midway would leave nobody knowing how far it got.
    fn cancel(&self, number: u64) {
        let mut jobs = self.jobs.borrow_mut();
        if let Some(Job::Running { task, safe, sent }) = jobs.get(&number)
            && (*safe || !sent.get())
        {
            task.abort();
            jobs.remove(&number);
        }
    }

    fn cancel_safe(&self) {
        let numbers: Vec<u64> = self.jobs.borrow().keys().copied().collect();
        numbers.into_iter().for_each(|n| self.cancel(n));
    }

    /// Forgets answers that nobody will ask for again.
    fn prune(&self) {
        let now = Instant::now();
        if self.pruned.get().is_some_and(|at| now.duration_since(at) < KEPT / 2) {
            return;
        }
        self.pruned.set(Some(now));
        let fresh = |job: &Job| match job {
            Job::Running { .. } => true,
            Job::Ended { at, .. } => now.duration_since(*at) < KEPT,
        };
        self.jobs.borrow_mut().retain(|_, job| fresh(job));
    }
}
