//! The append-only log service, with limited retention and a limit on appends per second. Faults:
//! outages, slow replies, malformed replies, and replies that are lost after the append took
//! effect.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kelpwind_wire::{AppendReply, LogBatch, LogRecord};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::Filter;
use warp::reply::Response;

use crate::server::{json, serve};

const RECORD_BYTES_MAX: u64 = 1 << 20;
/// Maximum number of records in one response to a read.
const BATCH_RECORDS_MAX: usize = 512;
/// Size of the records after which a response to a read holds no more, in bytes.
const BATCH_BYTES_MAX: usize = 2 << 20;
/// Maximum time that a read waits for a new record.
const READ_WAIT_MAX: Duration = Duration::from_secs(30);
/// Delay of the 504 response that takes the place of a lost reply. It exceeds the router's time-out
/// of an append, so the router learns nothing of the append's outcome.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(5);

/// Faults and limits of the log service, set over `/control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every request with 503.
    pub down: bool,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Fraction of the appends that take effect but whose reply is lost.
    pub lose_replies: f64,
    /// Maximum appends per second.
    pub rate: f64,
    /// Number of records retained.
    pub keep: usize,
    /// Answers every request with 200 and a malformed body.
    #[serde(rename = "nonsense")]
    pub malformed: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            down: false,
            slow_ms: 0,
            lose_replies: 0.0,
            rate: 500.0,
            keep: 1_000_000,
            malformed: false,
        }
    }
}

#[derive(Debug)]
struct Inner {
    records: VecDeque<LogRecord>,
    end: u64,
    faults: Faults,
    /// Appends allowed at time `refilled` (token bucket).
    tokens: f64,
    refilled: Instant,
}

/// The log service; clones share one log.
#[derive(Clone, Debug)]
pub struct LogService {
    inner: Arc<Mutex<Inner>>,
    /// Offset of the next record; wakes waiting reads.
    end: watch::Sender<u64>,
}

/// Query parameters of a read.
#[derive(Clone, Copy, Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Default for LogService {
    fn default() -> LogService {
        let inner = Inner {
            records: VecDeque::new(),
            end: 0,
            faults: Faults::default(),
            tokens: 1.0,
            refilled: Instant::now(),
        };
        LogService { inner: Arc::new(Mutex::new(inner)), end: watch::Sender::new(0) }
    }
}

impl Inner {
    fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let burst = (self.faults.rate / 10.0).max(1.0);
        self.tokens = (self.tokens + elapsed * self.faults.rate).min(burst);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    fn push(&mut self, data: String) -> u64 {
        let offset = self.end;
        self.end += 1;
        self.records.push_back(LogRecord { offset, data });
        while self.records.len() > self.faults.keep {
            self.records.pop_front();
        }
        offset
    }

    fn batch(&self, from: u64) -> LogBatch {
        let start = self.records.front().map_or(self.end, |r| r.offset);
        let skip = from.saturating_sub(start) as usize;
        let mut bytes = 0;
        let fits = |record: &&LogRecord| {
            let first = bytes == 0;
            bytes += record.data.len();
            first || bytes <= BATCH_BYTES_MAX
        };
        let batch = self.records.iter().skip(skip).take(BATCH_RECORDS_MAX).take_while(fits);
        let records = batch.cloned().collect();
        LogBatch { start, end: self.end, records }
    }
}

impl LogService {
    /// Sets the faults and drops the records beyond the new retention limit.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        inner.faults = faults;
        let keep = inner.faults.keep;
        while inner.records.len() > keep {
            inner.records.pop_front();
        }
    }

    /// Appends a record without applying faults or the rate limit, and returns its offset.
    pub fn append(&self, data: String) -> u64 {
        let offset = self.inner.lock().push(data);
        self.end.send_replace(offset + 1);
        offset
    }

    /// All records retained, oldest first.
    pub fn records(&self) -> Vec<LogRecord> {
        self.inner.lock().records.iter().cloned().collect()
    }

    /// Listens on `addr`, serves in a task, and returns the bound address.
    pub async fn start(&self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let service = self.clone();
        let with = warp::any().map(move || service.clone());
        let append = warp::post()
            .and(warp::path!("append"))
            .and(warp::body::content_length_limit(RECORD_BYTES_MAX))
            .and(warp::body::bytes())
            .and(with.clone())
            .then(
                |data: Bytes, service: LogService| async move { service.handle_append(data).await },
            );
        let read = warp::get()
            .and(warp::path!("read"))
            .and(warp::query::<ReadQuery>())
            .and(with.clone())
            .then(|query: ReadQuery, service: LogService| async move {
                service.handle_read(query).await
            });
        let control =
            warp::post().and(warp::path!("control")).and(warp::body::json()).and(with).and_then(
                |faults: Faults, service: LogService| async move {
                    service.set_faults(faults);
                    Ok::<_, Infallible>(json(200, &()))
                },
            );
        serve(addr, append.or(read).unify().or(control)).await
    }

    /// Applies the delay, and returns the response that the faults force, if any.
    async fn inject_fault(&self) -> Option<Response> {
        let faults = { self.inner.lock().faults.clone() };
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Some(json(503, &"down"));
        }
        faults.malformed.then(|| json(200, &"nonsense"))
    }

    async fn handle_append(&self, data: Bytes) -> Response {
        if let Some(fault) = self.inject_fault().await {
            return fault;
        }
        let Ok(data) = String::from_utf8(data.to_vec()) else {
            return json(400, &"not text");
        };
        let lost = {
            let mut inner = self.inner.lock();
            if !inner.take_token() {
                return json(429, &"too many appends");
            }
            fastrand::f64() < inner.faults.lose_replies
        };
        let offset = self.append(data);
        if lost {
            tokio::time::sleep(LOST_REPLY_DELAY).await;
            return json(504, &"lost");
        }
        json(200, &AppendReply { offset })
    }

    async fn handle_read(&self, query: ReadQuery) -> Response {
        if let Some(fault) = self.inject_fault().await {
            return fault;
        }
        let wait = Duration::from_millis(query.wait_ms).min(READ_WAIT_MAX);
        let mut end = self.end.subscribe();
        let appended = end.wait_for(|end| *end > query.from);
        let _ = tokio::time::timeout(wait, appended).await;
        if let Some(fault) = self.inject_fault().await {
            return fault;
        }
        json(200, &self.inner.lock().batch(query.from))
    }
}
