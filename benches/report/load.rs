//! An open-loop load generator: Poisson arrivals at a given rate, whether or not earlier requests
//! are answered. Each section of the report supplies the requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use kelpwind::net::pool::Pool;
use tokio::task::JoinSet;

/// Result of one request.
#[derive(Clone, Debug)]
pub(crate) struct Completed {
    /// Scheduled time of arrival since the start of the load, in seconds.
    pub(crate) sent_s: f64,
    /// Time from the scheduled arrival to the response, in milliseconds.
    pub(crate) latency_ms: f64,
    /// Whether the response has a success status.
    pub(crate) ok: bool,
    /// Class of the request, as given in [`RequestSpec`].
    pub(crate) class: usize,
}

/// A request to send.
pub(crate) struct RequestSpec {
    pub(crate) to: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) class: usize,
    /// Time allowed for the response, from the scheduled arrival.
    pub(crate) deadline: Duration,
}

/// Sends requests at `rate` per second for `time`. `next_request` returns the request for an
/// arrival time in seconds, and `on_response` is called with the address of each request after its
/// response.
pub(crate) async fn run(
    rate: f64,
    time: Duration,
    seed: u64,
    mut next_request: impl FnMut(&mut fastrand::Rng, f64) -> RequestSpec,
    on_response: impl Fn(SocketAddr) + Send + Sync + Clone + 'static,
) -> Vec<Completed> {
    let mut random = fastrand::Rng::with_seed(seed);
    let pool = Arc::new(Pool::new(None));
    let began = Instant::now();
    let mut next = 0.0;
    let mut sent = JoinSet::new();
    while next < time.as_secs_f64() {
        next += -(1.0 - random.f64()).ln() / rate;
        let at = began + Duration::from_secs_f64(next);
        tokio::time::sleep_until(at.into()).await;
        let spec = next_request(&mut random, next);
        let (pool, on_response) = (pool.clone(), on_response.clone());
        sent.spawn(async move {
            let to = spec.to;
            let completed = send(&pool, spec, at, next).await;
            on_response(to);
            completed
        });
    }
    sent.join_all().await
}

async fn send(pool: &Pool, spec: RequestSpec, at: Instant, sent_s: f64) -> Completed {
    let mut request = Request::builder().method(spec.method).uri(spec.path);
    for (name, value) in spec.headers {
        request = request.header(name, value);
    }
    let request = request.body(Bytes::from_static(b"x")).expect("a request");
    let answer = pool.call(spec.to, request, at + spec.deadline).await;
    let ok = answer.is_ok_and(|a| a.status().is_success());
    Completed { sent_s, latency_ms: at.elapsed().as_secs_f64() * 1e3, ok, class: spec.class }
}

/// Latencies in milliseconds of the successful requests.
pub(crate) fn latencies(all: &[Completed]) -> Vec<f64> {
    all.iter().filter(|d| d.ok).map(|d| d.latency_ms).collect()
}
