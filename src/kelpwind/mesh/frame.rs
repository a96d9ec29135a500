//! Frames between nodes: one connection from each entry to each gate it uses carries all requests.
//!
//! A frame is a length and a `postcard` value. Requests are numbered by the entry. When a connection
//! breaks, the entry sends on a new one every request that has no answer yet, under its old number;
//! the gate runs a number once and answers it as often as it is asked. So a broken connection costs
//! no request, and one that may not be repeated is not.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::platform_api::{Answer, Request};
use crate::core::codes::Code;
use crate::core::ids::{NodeId, Offset, ServiceName};

/// Largest frame, in bytes: the largest body that callers may send, and room for its head.
pub(crate) const FRAME_MAX: usize = 65 << 20;

/// What an entry sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum EntryFrame {
    /// The first frame: whom it means to reach.
    Hello {
        /// The entry's session: requests are numbered within it, over any number of connections.
        session: u64,
        /// Name of the node it means to reach.
        to: String,
    },
    /// A request.
    Request(Box<GateRequest>),
    /// The caller has left: the request needs no answer.
    Cancel(u64),
    /// Answer this.
    Ping,
}

/// What a gate sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum GateFrame {
    /// The answer to a hello: which run of the gate this is.
    Hello {
        /// The gate's run.
        run_id: u64,
    },
    /// What became of a request.
    Reply {
        /// Its number.
        number: u64,
        /// What became of it.
        outcome: Outcome,
        /// The gate's load after it.
        report: LoadReport,
    },
    /// The gate is about to stop: it should get no more requests.
    Leaving,
    /// The answer to a ping.
    Pong,
}

/// A request for a gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct GateRequest {
    /// Number given by the entry.
    pub number: u64,
    /// The request.
    pub request: Request,
    /// The service that is meant. Which life of its backend server runs the request is for the gate to
    /// know: the entry may not have heard yet that there is another.
    pub service: ServiceName,
    /// Sort of the request, by which durations are estimated.
    pub class: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Rank; 0 is the most important.
    pub priority: u8,
    /// Milliseconds left until its latency objective is missed.
    pub objective_ms: u32,
    /// Milliseconds left until an answer is of no use.
    pub remaining_ms: u32,
    /// How far the entry has read the table.
    pub table_offset: Offset,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// The backend server's answer.
    Answer(Answer),
    /// It did not run and never will.
    NotRun {
        /// Why.
        code: Code,
        /// Milliseconds after which there should be room.
        retry_after_ms: u32,
        /// Whether it reached the backend server, which counts as a target used.
        reached_server: bool,
        /// Who owns the key, where the gate knows that it is another one.
        owner: Option<OwnerHint>,
    },
    /// Nobody knows whether it ran.
    Unknown(Code),
}

impl Outcome {
    /// A request that never reached the backend server; there should be room after `room`.
    pub fn not_run(code: Code, retry_after: Duration) -> Outcome {
        let retry_after_ms = retry_after.as_millis() as u32;
        Outcome::NotRun { code, retry_after_ms, reached_server: false, owner: None }
    }

    /// A word and the code or the status, for a log line.
    pub fn summary(&self) -> String {
        match self {
            Outcome::Answer(answer) => format!("answered {}", answer.status),
            Outcome::NotRun { code, .. } => format!("not run {code}"),
            Outcome::Unknown(code) => format!("unknown {code}"),
        }
    }
}

/// The owner of a key, as a gate knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerHint {
    /// Its node.
    pub node: NodeId,
    /// How far the gate has read the table.
    pub table_offset: Offset,
}

/// What a gate says of itself with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Requests running and waiting.
    pub busy: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Milliseconds that the answered sort of request takes there now; 0 when unknown.
    pub service_ms: u32,
}

/// A frame that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum FrameError {
    /// the frame is malformed
    Malformed,
    /// the frame is over the size limit
    TooLarge,
}

/// Writes a frame behind what the buffer has.
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
            spdlog::error!("a frame could not be written and is left out: {e}");
        }
    }
}

/// A frame as bytes of its own.
pub(crate) fn encode<T: Serialize>(frame: &T) -> Bytes {
    let mut buffer = BytesMut::new();
    append(&mut buffer, frame);
    buffer.freeze()
}

/// Takes the next whole frame from the buffer; `None` while it is not whole.
fn decode<T: serde::de::DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>, FrameError> {
    let Some(size) = buffer.first_chunk::<4>() else { return Ok(None) };
    let size = u32::from_be_bytes(*size) as usize;
    if size > FRAME_MAX {
        return Err(FrameError::TooLarge);
    }
    if buffer.len() < 4 + size {
        buffer.reserve(4 + size - buffer.len());
        return Ok(None);
    }
    let frame = buffer.split_to(4 + size);
    postcard::from_bytes(&frame[4..]).map(Some).map_err(|_| FrameError::Malformed)
}

/// Reads the next frame; `None` when the connection ends, or brings what is no frame.
pub(crate) async fn read_next<T: serde::de::DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> Option<T> {
    loop {
        match decode(buffer) {
            Ok(Some(frame)) => return Some(frame),
            Ok(None) => {}
            Err(e) => {
                spdlog::warn!("a node sent a frame that cannot be read: {e}");
                return None;
            }
        }
        match reader.read_buf(buffer).await {
            Ok(0) => return None,
            Ok(_) => {}
            Err(e) => {
                spdlog::debug!("a connection to another node ended while reading: {e}");
                return None;
            }
        }
    }
}
