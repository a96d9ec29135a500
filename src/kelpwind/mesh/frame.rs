//! Frames between nodes. One connection from an entry to a gate carries all requests between them.
//!
//! The entry numbers its requests. When a connection breaks, it sends every unanswered request again
//! over a new one, under the same number. The gate runs the request of each number once, and sends
//! its reply again when the number is repeated. So a broken connection loses no request, and no
//! request runs twice because of it. The entry acknowledges replies, and the gate keeps a reply until
//! then, or for a limited time.
//!
//! A small message is a big-endian `u32` length and a `postcard` value. A message with a body over
//! [`INLINE_BYTES`] is sent in parts, between which others may go (see [`super::send_order`]). The
//! `u32` of a part has the flag [`PART`], for the first [`FIRST`], for the last [`LAST`]. It is
//! followed by the message's number (`u64`), and in the first part by the sizes of the `postcard` value
//! and the body (`u32` each). The length doesn't count these. The value and the body follow each other
//! in the parts. A request ends with the milliseconds until its objective and its deadline (`u32`
//! each), which are computed when its last part leaves.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::platform_api::{Answer, Request};
use super::send_order::is_chunk;
use super::statements::PeerStatement;
use crate::core::codes::Code;
use crate::core::ids::{NodeId, Position, ServiceName};
use crate::lease::clock::{self, BootInstant};
use crate::net::memory::{Hold, MemoryAccount, Place};

/// Largest message: the largest body that callers may send, and room for the rest of the request.
const MESSAGE_BYTES_MAX: usize = 65 << 20;
/// Largest body that is encoded with the rest of its message. Larger ones are not copied.
const INLINE_BYTES: usize = 4 << 10;
/// Flag of a part of a message.
const PART: u32 = 1 << 31;
/// Flag of the first part.
const FIRST: u32 = 1 << 30;
/// Flag of the last part.
const LAST: u32 = 1 << 29;
/// Bytes of the times at the end of a request.
const TIMES_BYTES: usize = 16;
/// Bytes that are read at once if they have arrived. A node may have thousands of connections, and
/// most messages are smaller.
const READ_BYTES: usize = 2 << 10;
/// Read buffer that a connection keeps between messages, in bytes.
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Number of chunks after which they are confirmed. A quarter of the sender's window.
const CONFIRM_CHUNKS: u64 = 2;
/// Largest part, and largest message that is sent whole. Above what nodes send, which is
/// [`super::send_order::CHUNK_BYTES`] and the numbers in control messages.
const PART_BYTES_MAX: usize = 1 << 20;

/// A frame from an entry to a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EntryFrame {
    /// The first frame of a connection.
    Hello {
        /// Random id of the entry's session. Request numbers are unique within a session, which may
        /// span several connections.
        session: u64,
        /// Name of the node that the entry wants to reach; another node closes the connection.
        to: String,
        /// Number of the connection within the session. Only one that is higher than all before becomes
        /// the current connection.
        connection: u32,
        /// Highest number of an unanswered request that was sent whole over an earlier connection of
        /// the session. A gate that has forgotten the session can tell by it which requests it may have
        /// run.
        sent: u64,
        /// The entry never sends a request with a lower number again.
        oldest: u64,
    },
    /// A request to run.
    Request(Box<GateRequest>),
    /// The request with this number needs no answer any more, because its caller has left.
    Cancel(u64),
    /// The replies to these requests, and to all with a number below `oldest`, have arrived or are not
    /// needed. The entry never sends these requests again.
    Acknowledge {
        /// Numbers of requests.
        numbers: Vec<u64>,
        /// Lowest number of an unanswered request.
        oldest: u64,
    },
    /// Number of chunks that have arrived over the connection.
    Received(u64),
    /// Asks for a [`GateFrame::Pong`].
    Ping,
}

/// A frame from a gate to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum GateFrame {
    /// The answer to a hello.
    Hello {
        /// Random id of the gate's process. A new id means that the process has restarted and lost
        /// the requests sent before.
        run_id: u64,
    },
    /// The outcome of a request.
    Reply {
        /// Number of the request.
        number: u64,
        /// Outcome of the request.
        outcome: Outcome,
        /// The gate's load after the request.
        report: LoadReport,
        /// What the backend server has stated of itself, if it ever has.
        stated: Option<PeerStatement>,
    },
    /// The gate is about to stop and should get no more requests.
    Leaving,
    /// Number of chunks that have arrived over the connection.
    Received(u64),
    /// The answer to a ping.
    Pong,
}

/// A request as an entry sends it to a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GateRequest {
    /// Number within the entry's session.
    pub number: u64,
    /// The request for the backend server.
    pub request: Request,
    /// The requested service. The instance of the backend server is left to the gate, because the
    /// entry may not know yet that there is a new one.
    pub service: ServiceName,
    /// Request class, the unit for which service times are estimated: the name of the route.
    pub class: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether its answer is large.
    pub bulk: bool,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether the gate may return the request unrun because another gate is likely to run it sooner.
    pub may_return: bool,
    /// Milliseconds until the latency objective is missed. Sent at the end of the message.
    #[serde(skip)]
    pub objective_ms: u32,
    /// Milliseconds until the deadline, after which the caller has no use for an answer. Sent at the
    /// end of the message.
    #[serde(skip)]
    pub remaining_ms: u32,
    /// When the entry sent the end of the message, by the clock of its host.
    #[serde(skip)]
    pub sent_at: BootInstant,
    /// How far the entry has read the table.
    pub table_position: Position,
    /// What the entry knows that the backend server has stated of itself. The gate's process may not have
    /// heard it.
    pub stated: Option<PeerStatement>,
}

impl GateRequest {
    /// Takes time off that the request has been on its way for longer than usual.
    pub fn shorten(&mut self, time: Duration) {
        let ms = time.as_millis() as u32;
        self.objective_ms = self.objective_ms.saturating_sub(ms);
        self.remaining_ms = self.remaining_ms.saturating_sub(ms);
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The backend server's answer.
    Answer(Answer),
    /// The request did not run and never will.
    NotRun {
        /// The reason.
        code: Code,
        /// Milliseconds after which a retry should succeed.
        retry_after_ms: u32,
        /// Whether the request reached the backend server, which counts as an attempt of its route.
        reached_server: bool,
        /// The owner of the key, if the gate knows that it is another node.
        owner: Option<OwnerHint>,
    },
    /// The request did not run here and never will under this number: another gate is likely to run it
    /// sooner. Only requests that may be returned get this outcome.
    Returned,
    /// Whether the request ran is unknown.
    Unknown(Code),
}

impl Outcome {
    /// The outcome of a request that never reached the backend server.
    pub fn not_run(code: Code, retry_after: Duration) -> Outcome {
        let retry_after_ms = retry_after.as_millis() as u32;
        Outcome::NotRun { code, retry_after_ms, reached_server: false, owner: None }
    }

    /// The kind of outcome with its code or status, for a log line.
    pub fn summary(&self) -> String {
        match self {
            Outcome::Answer(answer) => format!("answered {}", answer.status),
            Outcome::NotRun { code, .. } => format!("not run {code}"),
            Outcome::Returned => "returned".to_owned(),
            Outcome::Unknown(code) => format!("unknown {code}"),
        }
    }
}

/// The owner of a key according to a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerHint {
    /// The owner's node.
    pub node: NodeId,
    /// How far the gate has read the table.
    pub table_position: Position,
}

/// The load of a gate, sent with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Number of running and waiting requests.
    pub busy: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
    /// Estimated service time of the answered request's class, in milliseconds; 0 when unknown.
    pub service_ms: u32,
    /// Expected milliseconds until a slot is free for one more request, with the current slowdown; 0
    /// unless work is weighed.
    pub work_ms: u32,
    /// Measured speed of the server relative to the mean of its service, in thousandths; 0 when unknown.
    pub speed: u32,
}

/// A message that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum FrameError {
    /// the message is malformed
    Malformed,
    /// the message is over the size limit
    TooLarge,
}

type Result<T> = std::result::Result<T, FrameError>;

/// When a request's latency objective and deadline are missed.
#[derive(Clone, Copy, Debug)]
struct Times {
    objective: Instant,
    deadline: Instant,
}

/// A message to send. A large body is shared with whoever made it.
#[derive(Debug)]
pub(crate) struct Message {
    /// Number of the request; 0 for control messages.
    pub number: u64,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// The encoded value, without a large body.
    head: Vec<u8>,
    /// The body, unless it is part of `head`.
    body: Bytes,
    times: Option<Times>,
    /// Whether the last part was handed to a connection, so that the peer may have the message.
    sent: Cell<bool>,
    _hold: Option<Hold>,
}

impl Message {
    /// Encodes a control message. These are small and few, and are not counted.
    pub fn control<T: Serialize>(frame: &T) -> Rc<Message> {
        let body = Bytes::new();
        let (head, sent) = (encode(frame), Cell::new(false));
        Rc::new(Message { number: 0, priority: 0, head, body, times: None, sent, _hold: None })
    }

    /// Encodes a request; `None` if the account has no room for it. A large body is not counted,
    /// because it belongs to the caller's request.
    pub fn request(mut request: GateRequest, account: &MemoryAccount) -> Option<Rc<Message>> {
        let (number, priority) = (request.number, request.priority);
        let now = Instant::now();
        let after = |ms: u32| now + Duration::from_millis(ms.into());
        let times =
            Times { objective: after(request.objective_ms), deadline: after(request.remaining_ms) };
        let body = take_large(&mut request.request.body);
        let head = encode(&EntryFrame::Request(Box::new(request)));
        let hold = account.try_take(Place::Link, head.len())?;
        Some(Rc::new(Message {
            number,
            priority,
            head,
            body,
            times: Some(times),
            sent: Cell::new(false),
            _hold: Some(hold),
        }))
    }

    /// Encodes a reply, and counts it with its body: it must be kept.
    pub fn reply(
        number: u64,
        priority: u8,
        mut outcome: Outcome,
        report: LoadReport,
        stated: Option<PeerStatement>,
        account: &MemoryAccount,
    ) -> Rc<Message> {
        let body = match &mut outcome {
            Outcome::Answer(answer) => take_large(&mut answer.body),
            Outcome::NotRun { .. } | Outcome::Returned | Outcome::Unknown(_) => Bytes::new(),
        };
        let head = encode(&GateFrame::Reply { number, outcome, report, stated });
        let hold = Some(account.take(Place::Reply, head.len() + body.len()));
        let sent = Cell::new(false);
        Rc::new(Message { number, priority, head, body, times: None, sent, _hold: hold })
    }

    /// Size in bytes, without the times at the end.
    pub fn size(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Whether the last part was handed to a connection.
    pub fn was_sent(&self) -> bool {
        self.sent.get()
    }

    /// Appends the part from `start` to `end`, which are ignored for control messages.
    pub fn append_piece(&self, start: usize, end: usize, last: bool, buffer: &mut BytesMut) {
        let whole = self.number == 0 || (self.body.is_empty() && start == 0 && last);
        let (start, end) = if whole { (0, self.head.len()) } else { (start, end) };
        let times = self.times.filter(|_| last);
        let size = (end - start + times.map_or(0, |_| TIMES_BYTES)) as u32;
        if whole {
            buffer.reserve(4 + size as usize);
            buffer.put_u32(size);
        } else {
            let first = if start == 0 { FIRST } else { 0 };
            let last = if last { LAST } else { 0 };
            buffer.put_u32(PART | first | last | size);
            buffer.put_u64(self.number);
            if first != 0 {
                buffer.put_u32(self.head.len() as u32);
                buffer.put_u32(self.body.len() as u32);
            }
        }
        let split = self.head.len();
        buffer.put_slice(&self.head[start.min(split)..end.min(split)]);
        buffer.put_slice(&self.body[start.max(split) - split..end.max(split) - split]);
        if let Some(Times { objective, deadline }) = times {
            let now = Instant::now();
            buffer.put_u32(objective.saturating_duration_since(now).as_millis() as u32);
            buffer.put_u32(deadline.saturating_duration_since(now).as_millis() as u32);
            buffer.put_u64(clock::now().as_micros());
        }
        if last {
            self.sent.set(true);
        }
    }
}

/// Takes a body that is too large to be copied out of its message.
fn take_large(body: &mut Bytes) -> Bytes {
    if body.len() > INLINE_BYTES { std::mem::take(body) } else { Bytes::new() }
}

/// Encodes a value. On an error, which no value that nodes send causes, the peer closes the connection
/// because the message is empty.
fn encode<T: Serialize>(frame: &T) -> Vec<u8> {
    postcard::to_stdvec(frame).unwrap_or_else(|e| {
        spdlog::error!("failed to encode a message to another node: {e}");
        Vec::new()
    })
}

/// A value that is received.
pub(crate) trait Frame: DeserializeOwned {
    /// Puts a body that was sent apart in its place.
    fn set_body(&mut self, body: Bytes);
    /// Sets the times at the end of a request. Returns whether the value has such.
    fn set_times(&mut self, objective_ms: u32, remaining_ms: u32, sent_at: BootInstant) -> bool;
}

impl Frame for EntryFrame {
    fn set_body(&mut self, body: Bytes) {
        if let EntryFrame::Request(request) = self {
            request.request.body = body;
        }
    }

    fn set_times(&mut self, objective_ms: u32, remaining_ms: u32, sent_at: BootInstant) -> bool {
        let EntryFrame::Request(request) = self else { return false };
        (request.objective_ms, request.remaining_ms) = (objective_ms, remaining_ms);
        request.sent_at = sent_at;
        true
    }
}

impl Frame for GateFrame {
    fn set_body(&mut self, body: Bytes) {
        if let GateFrame::Reply { outcome: Outcome::Answer(answer), .. } = self {
            answer.body = body;
        }
    }

    fn set_times(&mut self, _: u32, _: u32, _: BootInstant) -> bool {
        false
    }
}

/// Decodes a value and what follows it.
fn decode_value<'a, T: Frame>(head: &'a [u8], mut times: &'a [u8]) -> Result<T> {
    let (mut frame, rest) =
        postcard::take_from_bytes::<T>(head).map_err(|_| FrameError::Malformed)?;
    if !rest.is_empty() {
        times = rest;
    }
    if times.is_empty() {
        return Ok(frame);
    }
    if times.len() != TIMES_BYTES {
        return Err(FrameError::Malformed);
    }
    let (objective_ms, remaining_ms) = (times.get_u32(), times.get_u32());
    let sent_at = BootInstant::from_micros(times.get_u64());
    match frame.set_times(objective_ms, remaining_ms, sent_at) {
        true => Ok(frame),
        false => Err(FrameError::Malformed),
    }
}

/// A message of which parts have arrived.
#[derive(Debug)]
struct Assembly {
    head: BytesMut,
    body: BytesMut,
    times: Vec<u8>,
    head_size: usize,
    body_size: usize,
    hold: Hold,
}

impl Assembly {
    /// Adds the payload of a part.
    fn add(&mut self, mut part: &[u8]) -> Result<()> {
        let size = part.len().min(self.head_size - self.head.len());
        self.head.extend_from_slice(&part[..size]);
        part.advance(size);
        let size = part.len().min(self.body_size - self.body.len());
        self.body.extend_from_slice(&part[..size]);
        part.advance(size);
        self.times.extend_from_slice(part);
        if self.times.len() > TIMES_BYTES { Err(FrameError::TooLarge) } else { Ok(()) }
    }

    fn finish<T: Frame>(self) -> Result<Received<T>> {
        if self.head.len() < self.head_size || self.body.len() < self.body_size {
            return Err(FrameError::Malformed);
        }
        let mut frame: T = decode_value(&self.head, &self.times)?;
        if self.body_size > 0 {
            frame.set_body(self.body.freeze());
        }
        Ok(Received { frame, hold: Some(self.hold) })
    }
}

/// A message that has arrived.
#[derive(Debug)]
pub(crate) struct Received<T> {
    /// The message.
    pub frame: T,
    /// The memory of a message that came in parts.
    pub hold: Option<Hold>,
}

/// What the next bytes of a connection are.
enum Step<T> {
    /// A whole message.
    Message(Received<T>),
    /// Something that needs no handling.
    Skipped,
    /// Incomplete.
    Incomplete,
}

/// The receiving side of one connection.
#[derive(Debug, Default)]
pub(crate) struct Receiver {
    buffer: BytesMut,
    assemblies: HashMap<u64, Assembly>,
    /// Number of chunks received.
    chunks: u64,
    /// How many of these were confirmed to the peer.
    confirmed: u64,
}

impl Receiver {
    /// Drops what has arrived of a message. The rest of it is ignored.
    pub fn forget(&mut self, number: u64) {
        self.assemblies.remove(&number);
    }

    /// Drops all messages of which parts have arrived.
    pub fn forget_all(&mut self) {
        self.assemblies.clear();
    }

    /// The number of chunks received, if it is time to confirm them.
    fn take_confirmation(&mut self) -> Option<u64> {
        if self.chunks < self.confirmed + CONFIRM_CHUNKS {
            return None;
        }
        self.confirmed = self.chunks;
        Some(self.chunks)
    }

    /// Removes the next message or part from the buffer. `reserve` takes the memory for the message
    /// with this number and size; `None` ignores the message.
    fn step<T: Frame>(
        &mut self,
        reserve: &mut impl FnMut(u64, usize) -> Option<Hold>,
    ) -> Result<Step<T>> {
        let Some(prefix) = self.buffer.first_chunk::<4>() else { return Ok(Step::Incomplete) };
        let prefix = u32::from_be_bytes(*prefix);
        let size = (prefix & !(PART | FIRST | LAST)) as usize;
        let prefix_size = match (prefix & PART != 0, prefix & FIRST != 0) {
            (false, _) => 4,
            (true, false) => 12,
            (true, true) => 20,
        };
        if size > PART_BYTES_MAX {
            return Err(FrameError::TooLarge);
        }
        let total = prefix_size + size;
        if self.buffer.len() < total {
            self.buffer.reserve(total - self.buffer.len());
            return Ok(Step::Incomplete);
        }
        let bytes = self.buffer.split_to(total);
        if prefix & PART == 0 {
            let frame = decode_value(&bytes[4..], &[])?;
            return Ok(Step::Message(Received { frame, hold: None }));
        }
        let (mut fields, part) = bytes[4..].split_at(prefix_size - 4);
        let (number, first, last) = (fields.get_u64(), prefix & FIRST != 0, prefix & LAST != 0);
        if is_chunk(usize::from(!first), last) {
            self.chunks += 1;
        }
        if first {
            let (head_size, body_size) = (fields.get_u32() as usize, fields.get_u32() as usize);
            if head_size + body_size > MESSAGE_BYTES_MAX {
                return Err(FrameError::TooLarge);
            }
            let Some(hold) = reserve(number, head_size + body_size) else {
                return Ok(Step::Skipped);
            };
            let (head, body) =
                (BytesMut::with_capacity(head_size), BytesMut::with_capacity(body_size));
            let times = Vec::new();
            let fresh = Assembly { head, body, times, head_size, body_size, hold };
            self.assemblies.insert(number, fresh);
        }
        let Some(assembly) = self.assemblies.get_mut(&number) else { return Ok(Step::Skipped) };
        assembly.add(part)?;
        if !last {
            return Ok(Step::Skipped);
        }
        let Some(assembly) = self.assemblies.remove(&number) else { return Ok(Step::Skipped) };
        assembly.finish().map(Step::Message)
    }
}

/// The reading side of a connection and what it tells its owner.
pub(crate) struct Events<R, B, C> {
    /// Takes memory for the message with this number and size that comes in parts. `None` ignores it.
    pub reserve: R,
    /// Called whenever bytes arrive, which may be long before a message is complete.
    pub on_bytes: B,
    /// Confirms to the peer how many chunks have arrived.
    pub confirm: C,
}

/// Reads the next message; `None` when the connection ends or a message cannot be decoded.
pub(crate) async fn read_next<T: Frame>(
    reader: &mut (impl AsyncRead + Unpin),
    receiver: &std::cell::RefCell<Receiver>,
    events: &mut Events<impl FnMut(u64, usize) -> Option<Hold>, impl Fn(), impl Fn(u64)>,
) -> Option<Received<T>> {
    loop {
        let step = receiver.borrow_mut().step(&mut events.reserve);
        if let Some(total) = receiver.borrow_mut().take_confirmation() {
            (events.confirm)(total);
        }
        match step {
            Ok(Step::Message(message)) => return Some(message),
            Ok(Step::Skipped) => continue,
            Ok(Step::Incomplete) => {}
            Err(e) => {
                spdlog::warn!(
                    "closing the connection to another node, which sent an invalid message: {e}"
                );
                return None;
            }
        }
        // The receiver may be told to forget a message while this waits for bytes.
        let mut buffer = std::mem::take(&mut receiver.borrow_mut().buffer);
        if buffer.is_empty() && buffer.capacity() > BUFFER_BYTES_MAX {
            buffer = BytesMut::new();
        }
        if buffer.capacity() - buffer.len() < READ_BYTES {
            buffer.reserve(READ_BYTES);
        }
        let result = reader.read_buf(&mut buffer).await;
        receiver.borrow_mut().buffer = buffer;
        match result {
            Ok(0) => return None,
            Ok(_) => (events.on_bytes)(),
            Err(e) => {
                spdlog::debug!("failed to read from the connection to another node: {e}");
                return None;
            }
        }
    }
}
