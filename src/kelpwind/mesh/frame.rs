//! Frames between nodes. One connection from an entry to a gate carries all requests between them.
//!
//! A frame is a big-endian `u32` length followed by a `postcard` value. The entry numbers its
//! requests. When a connection breaks, it sends every unanswered request again over a new one,
//! under the same number. The gate runs the request of each number once, and sends its reply again
//! when the number is repeated. So a broken connection loses no request, and no request runs twice
//! because of it.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::platform_api::{Answer, Request};
use super::statements::PeerStatement;
use crate::core::codes::Code;
use crate::core::ids::{NodeId, Position, ServiceName};

/// Largest frame: the largest body that callers may send, and room for the rest of the request.
pub(crate) const FRAME_BYTES_MAX: usize = 65 << 20;

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
        /// Highest number that the entry has sent over earlier connections of the session. A gate that
        /// has forgotten the session can tell by it which requests it may have run.
        sent: u64,
    },
    /// A request to run.
    Request(Box<GateRequest>),
    /// The request with this number needs no answer any more, because its caller has left.
    Cancel(u64),
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
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether the gate may return the request unrun because another gate is likely to run it sooner.
    pub may_return: bool,
    /// Milliseconds until the latency objective is missed.
    pub objective_ms: u32,
    /// Milliseconds until the deadline, after which the caller has no use for an answer.
    pub remaining_ms: u32,
    /// How far the entry has read the table.
    pub table_position: Position,
    /// What the entry knows that the backend server has stated of itself. The gate's process may not have
    /// heard it.
    pub stated: Option<PeerStatement>,
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

/// A frame that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum FrameError {
    /// the frame is malformed
    Malformed,
    /// the frame is over the size limit
    TooLarge,
}

/// Appends an encoded frame to a buffer.
pub(crate) fn append<T: Serialize>(buffer: &mut BytesMut, frame: &T) {
    let start = buffer.len();
    buffer.put_u32(0);
    match postcard::to_io(frame, buffer.writer()) {
        Ok(_) => {
            let size = (buffer.len() - start - 4) as u32;
            buffer[start..start + 4].copy_from_slice(&size.to_be_bytes());
        }
        Err(e) => {
            buffer.truncate(start);
            spdlog::error!("failed to encode a frame, which is not sent: {e}");
        }
    }
}

/// Encodes a single frame.
pub(crate) fn encode<T: Serialize>(frame: &T) -> Bytes {
    let mut buffer = BytesMut::new();
    append(&mut buffer, frame);
    buffer.freeze()
}

/// Removes the next frame from the buffer; `None` while it is incomplete.
fn decode<T: serde::de::DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, FrameError> {
    let Some(size) = buffer.first_chunk::<4>() else { return Ok(None) };
    let size = u32::from_be_bytes(*size) as usize;
    if size > FRAME_BYTES_MAX {
        return Err(FrameError::TooLarge);
    }
    if buffer.len() < 4 + size {
        buffer.reserve(4 + size - buffer.len());
        return Ok(None);
    }
    let frame = buffer.split_to(4 + size);
    postcard::from_bytes(&frame[4..]).map(Some).map_err(|_| FrameError::Malformed)
}

/// Reads the next frame; `None` when the connection ends or a frame cannot be decoded. `on_bytes`
/// is called whenever bytes arrive, which may be long before the frame is complete.
pub(crate) async fn read_next<T: serde::de::DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    on_bytes: impl Fn(),
) -> Option<T> {
    loop {
        match decode(buffer) {
            Ok(Some(frame)) => return Some(frame),
            Ok(None) => {}
            Err(e) => {
                spdlog::warn!(
                    "closing the connection to another node, which sent an invalid frame: {e}"
                );
                return None;
            }
        }
        match reader.read_buf(buffer).await {
            Ok(0) => return None,
            Ok(_) => on_bytes(),
            Err(e) => {
                spdlog::debug!("failed to read from the connection to another node: {e}");
                return None;
            }
        }
    }
}
