//! A workload: requests to random keys at random entries at a steady rate, each answer recorded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::task::{JoinHandle, JoinSet};

use crate::http::{Request, send};

/// Most tries of one request by its caller.
const MAX_ATTEMPTS: usize = 3;

/// What to send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries to send to.
    pub entries: Vec<SocketAddr>,
    /// Path before the key, such as `/historie`.
    pub prefix: String,
    /// Number of different keys.
    pub keys: u64,
    /// Time between two requests.
    pub interval: Duration,
    /// Part of the requests that write.
    pub write_ratio: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub id: String,
    /// Key.
    pub key: String,
    /// Whether it wrote.
    pub write: bool,
    /// Outcome as the caller was told; `none` when the entry did not answer.
    pub outcome: String,
    /// Result code.
    pub code: String,
    /// Whether the answer's body was for this request.
    pub body_matches: bool,
    /// When it was sent, since the workload began.
    pub sent: Duration,
    /// How long it took.
    pub latency: Duration,
}

/// A workload that runs.
#[derive(Debug)]
pub struct Workload {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<RequestRecord>>,
}

impl Workload {
    /// Starts a workload.
    pub fn start(plan: Plan) -> Workload {
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(run(plan, stop.clone()));
        Workload { stop, task }
    }

    /// Ends it; all requests with their answers.
    pub async fn stop(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.expect("the workload does not panic")
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
        entries.truncate(MAX_ATTEMPTS);
        let key = format!("ketel-{}", random.u64(..plan.keys));
        let write = random.f64() < plan.write_ratio;
        let id = format!("{}-{number}", plan.seed);
        let path = format!("{}/{key}", plan.prefix);
        sent.spawn(send_with_retries(entries, path, id, key, write, began));
    }
    sent.join_all().await
}

/// Sends a request; one whose outcome is unknown is sent again to another entry, as a caller would.
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
    let mut doubtful = false;
    for (i, entry) in entries.iter().enumerate() {
        let attempt = (i + 1).to_string();
        let headers =
            [("idempotency-key", last.id.as_str()), ("kelpwind-attempt", attempt.as_str())];
        let method = if write { "POST" } else { "GET" };
        let answer =
            send(*entry, &Request { method, path: &path, headers: &headers, body: "x" }).await;
        if let Ok(answer) = answer {
            last.body_matches &=
                answer.outcome != "done" || answer.json()["request"] == last.id.as_str();
            last.outcome = answer.outcome;
            last.code = answer.code;
        }
        if !matches!(last.outcome.as_str(), "none" | "unknown") {
            break;
        }
        doubtful = true;
    }
    // A repeat that did not run says nothing of the first try.
    if doubtful && last.outcome == "not-run" {
        last.outcome = "unknown".to_owned();
    }
    last.latency = began.elapsed() - sent;
    last
}

/// Number of requests by outcome and code, for messages.
pub fn summary(all: &[RequestRecord]) -> std::collections::BTreeMap<(String, String), usize> {
    let mut counts = std::collections::BTreeMap::new();
    for asked in all {
        *counts.entry((asked.outcome.clone(), asked.code.clone())).or_default() += 1;
    }
    counts
}
