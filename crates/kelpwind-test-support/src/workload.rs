//! An open-loop workload: requests for random keys to random entries at a fixed rate, with every
//! response recorded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::task::{JoinHandle, JoinSet};

use crate::http::{Request, send};

/// Maximum attempts per request, each at a different entry.
const ATTEMPTS_MAX: usize = 3;

/// Parameters of a workload.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Path prefix before the key, such as `/historie`.
    pub prefix: String,
    /// Number of distinct keys.
    pub keys: u64,
    /// Interval between requests.
    pub interval: Duration,
    /// Fraction of the requests that are writes.
    pub write_ratio: f64,
    /// Seed of the random number generator; also part of the request identifiers.
    pub seed: u64,
}

/// A request and the last response to it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Identifier of the request, also sent as its idempotency key.
    pub id: String,
    /// Key that the request reads or writes.
    pub key: String,
    /// Whether it is a write.
    pub write: bool,
    /// Outcome of the last response, `none` if no entry responded. It is `unknown` if a retry did
    /// not run after an attempt of unknown outcome.
    pub outcome: String,
    /// Result code; empty if no entry responded.
    pub code: String,
    /// Whether the body of every `done` response names this request.
    pub body_matches: bool,
    /// Time from the start of the workload to the first attempt.
    pub sent: Duration,
    /// Time from the first attempt to the last response.
    pub latency: Duration,
}

/// A running workload.
#[derive(Debug)]
pub struct Workload {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<RequestRecord>>,
}

impl Workload {
    /// Starts sending in a task; must be called within a Tokio runtime.
    pub fn start(plan: Plan) -> Workload {
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(run(plan, stop.clone()));
        Workload { stop, task }
    }

    /// Stops sending, waits for the responses, and returns all requests.
    pub async fn stop(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.expect("workload task panicked")
    }
}

async fn run(plan: Plan, stop: Arc<AtomicBool>) -> Vec<RequestRecord> {
    println!("workload seed {}", plan.seed);
    let mut random = fastrand::Rng::with_seed(plan.seed);
    let began = Instant::now();
    let mut timer = tokio::time::interval(plan.interval);
    let mut sent = JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        timer.tick().await;
        number += 1;
        let mut entries = plan.entries.clone();
        random.shuffle(&mut entries);
        entries.truncate(ATTEMPTS_MAX);
        let key = format!("ketel-{}", random.u64(..plan.keys));
        let write = random.f64() < plan.write_ratio;
        let id = format!("{}-{number}", plan.seed);
        let path = format!("{}/{key}", plan.prefix);
        sent.spawn(send_with_retries(entries, path, id, key, write, began));
    }
    sent.join_all().await
}

/// Sends a request and retries it at the next entry while its outcome is unknown, as a caller does.
async fn send_with_retries(
    entries: Vec<SocketAddr>,
    path: String,
    id: String,
    key: String,
    write: bool,
    began: Instant,
) -> RequestRecord {
    let sent = began.elapsed();
    let mut last = RequestRecord {
        id,
        key,
        write,
        outcome: "none".to_owned(),
        code: String::new(),
        body_matches: true,
        sent,
        latency: Duration::ZERO,
    };
    let mut uncertain = false;
    for (i, entry) in entries.iter().enumerate() {
        let attempt = (i + 1).to_string();
        let headers =
            [("idempotency-key", last.id.as_str()), ("kelpwind-attempt", attempt.as_str())];
        let method = if write { "POST" } else { "GET" };
        let response =
            send(*entry, &Request { method, path: &path, headers: &headers, body: "x" }).await;
        if let Ok(response) = response {
            last.body_matches &=
                response.outcome != "done" || response.json()["request"] == last.id.as_str();
            last.outcome = response.outcome;
            last.code = response.code;
        }
        if !matches!(last.outcome.as_str(), "none" | "unknown") {
            break;
        }
        uncertain = true;
    }
    // A retry that did not run does not tell whether an earlier attempt ran.
    if uncertain && last.outcome == "not-run" {
        last.outcome = "unknown".to_owned();
    }
    last.latency = began.elapsed() - sent;
    last
}

/// Number of requests by outcome and result code.
pub fn summary(all: &[RequestRecord]) -> std::collections::BTreeMap<(String, String), usize> {
    let mut counts = std::collections::BTreeMap::new();
    for request in all {
        *counts.entry((request.outcome.clone(), request.code.clone())).or_default() += 1;
    }
    counts
}
