//! An open load: requests at random moments at a given rate, whether or not earlier ones are
//! answered. Each part says where a request goes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use kelpwind::net::pool::Pool;
use tokio::task::JoinSet;

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Done {
    /// When it was sent, since the load began, in seconds.
    pub(crate) sent: f64,
    /// Its latency in milliseconds.
    pub(crate) took: f64,
    /// Whether it was done.
    pub(crate) ok: bool,
    /// The number that `what` gave it.
    pub(crate) class: usize,
}

/// One request to send.
pub(crate) struct Send {
    pub(crate) to: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) class: usize,
    pub(crate) deadline: Duration,
}

/// Sends requests at `rate` a second for `time`; `what` says which, `after` is told each answer.
pub(crate) async fn run(
    rate: f64,
    time: Duration,
    seed: u64,
    mut what: impl FnMut(&mut fastrand::Rng, f64) -> Send,
    after: impl Fn(SocketAddr) + std::marker::Send + Sync + Clone + 'static,
) -> Vec<Done> {
    let mut random = fastrand::Rng::with_seed(seed);
    let pool = Arc::new(Pool::new(None));
    let began = Instant::now();
    let mut next = 0.0;
    let mut sent = JoinSet::new();
    while next < time.as_secs_f64() {
        next += -(1.0 - random.f64()).ln() / rate;
        let at = began + Duration::from_secs_f64(next);
        tokio::time::sleep_until(at.into()).await;
        let send = what(&mut random, next);
        let (pool, after) = (pool.clone(), after.clone());
        sent.spawn(async move {
            let to = send.to;
            let done = one(&pool, send, at, next).await;
            after(to);
            done
        });
    }
    sent.join_all().await
}

async fn one(pool: &Pool, send: Send, at: Instant, sent: f64) -> Done {
    let mut request = Request::builder().method(send.method).uri(send.path);
    for (name, value) in send.headers {
        request = request.header(name, value);
    }
    let request = request.body(Bytes::from_static(b"x")).expect("a request");
    let answer = pool.call(send.to, request, at + send.deadline).await;
    let ok = answer.is_ok_and(|a| a.status().is_success());
    Done { sent, took: at.elapsed().as_secs_f64() * 1e3, ok, class: send.class }
}

/// Latencies of those that were done.
pub(crate) fn latencies(all: &[Done]) -> Vec<f64> {
    all.iter().filter(|d| d.ok).map(|d| d.took).collect()
}
