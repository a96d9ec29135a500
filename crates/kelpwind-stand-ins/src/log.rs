//! The append-only log service: offsets, limited retention, a limit of appends a second, outages,
//! slow replies, and replies that are lost after the write took effect.

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

/// Largest record, in bytes.
const RECORD_MAX: u64 = 1 << 20;
/// Most records in one answer.
const BATCH_MAX: usize = 512;
/// Longest time that a read waits.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Time that a lost reply is held before the connection ends without one.
const LOST_HOLD: Duration = Duration::from_secs(5);

/// Faults of the log service, as set over `/control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers nothing but 503.
    pub down: bool,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
    /// Part of the appends that take effect but whose reply is lost.
    pub lose_replies: f64,
    /// Appends a second that it takes.
    pub rate: f64,
    /// Records that it keeps.
    pub keep: usize,
    /// Answers with text that is no answer.
    pub nonsense: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            down: false,
            slow_ms: 0,
            lose_replies: 0.0,
            rate: 500.0,
            keep: 1_000_000,
            nonsense: false,
        }
    }
}

#[derive(Debug)]
struct Inner {
    records: VecDeque<LogRecord>,
    end: u64,
    faults: Faults,
    tokens: f64,
    refilled: Instant,
}

/// The log service.
#[derive(Clone, Debug)]
pub struct LogService {
    inner: Arc<Mutex<Inner>>,
    grown: watch::Sender<u64>,
}

/// Query of a read.
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
        LogService { inner: Arc::new(Mutex::new(inner)), grown: watch::Sender::new(0) }
    }
}

impl Inner {
    fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let burst = (self.faults.rate / 10.0).max(1.0);
        self.tokens = (self.tokens + passed * self.faults.rate).min(burst);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
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
        let records = self.records.iter().skip(skip).take(BATCH_MAX).cloned().collect();
        LogBatch { start, end: self.end, records }
    }
}

impl LogService {
    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.inner.lock();
        inner.faults = faults;
        let keep = inner.faults.keep;
        while inner.records.len() > keep {
            inner.records.pop_front();
        }
    }

    /// Appends a record without any fault.
    pub fn append(&self, data: String) -> u64 {
        let offset = self.inner.lock().push(data);
        self.grown.send_replace(offset + 1);
        offset
    }

    /// All records kept.
    pub fn records(&self) -> Vec<LogRecord> {
        self.inner.lock().records.iter().cloned().collect()
    }

    /// Listens on `addr` and serves as a task; returns the address really listened on.
    pub async fn start(&self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let service = self.clone();
        let with = warp::any().map(move || service.clone());
        let append = warp::post()
            .and(warp::path!("append"))
            .and(warp::body::content_length_limit(RECORD_MAX))
            .and(warp::body::bytes())
            .and(with.clone())
            .then(
                |data: Bytes, service: LogService| async move { service.answer_append(data).await },
            );
        let read = warp::get()
            .and(warp::path!("read"))
            .and(warp::query::<ReadQuery>())
            .and(with.clone())
            .then(|query: ReadQuery, service: LogService| async move {
                service.answer_read(query).await
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

    async fn fault(&self) -> Option<Response> {
        let faults = { self.inner.lock().faults.clone() };
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Some(json(503, &"down"));
        }
        faults.nonsense.then(|| json(200, &"nonsense"))
    }

    async fn answer_append(&self, data: Bytes) -> Response {
        if let Some(fault) = self.fault().await {
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
            tokio::time::sleep(LOST_HOLD).await;
            return json(504, &"lost");
        }
        json(200, &AppendReply { offset })
    }

    async fn answer_read(&self, query: ReadQuery) -> Response {
        if let Some(fault) = self.fault().await {
            return fault;
        }
        let wait = Duration::from_millis(query.wait_ms).min(WAIT_MAX);
        let mut grown = self.grown.subscribe();
        let enough = grown.wait_for(|end| *end > query.from);
        let _ = tokio::time::timeout(wait, enough).await;
        if let Some(fault) = self.fault().await {
            return fault;
        }
        json(200, &self.inner.lock().batch(query.from))
    }
}
