//! A backend server of the users: holds keys that it was granted, runs requests, reports itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::{Reply, Whole, reply, serve};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// A span of keys that a server held, for the check of the history.
#[derive(Clone, Debug)]
pub struct Held {
    /// The server.
    pub server: String,
    /// The first and the last key.
    pub keys: (u16, u16),
    /// Fencing token.
    pub token: u64,
    /// When the grant came.
    pub from: Instant,
    /// When it ran out, or the keys were released.
    pub to: Instant,
}

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request.
    pub id: String,
    /// The server.
    pub server: String,
}

/// What all servers write down.
#[derive(Default)]
pub struct History {
    /// Keys held.
    pub held: Mutex<Vec<Held>>,
    /// Requests run.
    pub runs: Mutex<Vec<Run>>,
}

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct Manner {
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub zone: String,
    /// Requests it runs at once.
    pub slots: u32,
    /// How long a request takes.
    pub work: Duration,
    /// Whether it runs requests only for keys that it holds.
    pub keyed: bool,
    /// Time before its first report.
    pub unannounced: Duration,
}

/// A running server.
pub struct Server {
    /// Its name.
    pub id: String,
    manner: Manner,
    /// Index of the last record of each grant in force.
    grants: Mutex<Vec<usize>>,
    history: Arc<History>,
    seen: Mutex<BTreeMap<u16, u64>>,
    running: Mutex<u32>,
    draining: Mutex<bool>,
    mute: Mutex<bool>,
    tasks: Mutex<Vec<AbortHandle>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct GrantWire {
    from: u16,
    target: u16,
    fence: u64,
    hold_s: Option<f64>,
}

impl Server {
    /// Starts a server at `addr` that reports itself to `node`.
    pub async fn start(
        addr: SocketAddr,
        node: SocketAddr,
        manner: Manner,
        history: Arc<History>,
    ) -> Arc<Server> {
        let id = format!("i-{:08x}", fastrand::u32(..));
        let server = Arc::new(Server {
            id,
            manner,
            grants: Mutex::default(),
            history,
            seen: Mutex::default(),
            running: Mutex::new(0),
            draining: Mutex::new(false),
            mute: Mutex::new(false),
            tasks: Mutex::default(),
        });
        let served = server.clone();
        let serving = serve(addr, move |request| {
            let server = served.clone();
            async move { server.answer(request).await }
        })
        .await;
        let reporter = server.clone();
        let reporting = tokio::spawn(async move { reporter.report(node).await }).abort_handle();
        server.tasks.lock().extend([serving, reporting]);
        server
    }

    /// Ends it at once, as a crash does.
    pub fn crash(&self) {
        self.tasks.lock().iter().for_each(AbortHandle::abort);
        let now = Instant::now();
        let mut held = self.history.held.lock();
        for i in self.grants.lock().drain(..) {
            held[i].to = held[i].to.min(now);
        }
    }

    /// It will leave: its next report says so.
    pub fn drain(&self) {
        *self.draining.lock() = true;
    }

    /// It reports no more.
    pub fn fall_silent(&self) {
        *self.mute.lock() = true;
    }

    async fn report(&self, node: SocketAddr) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born = since.as_millis() as u64;
        tokio::time::sleep(self.manner.unannounced).await;
        for sequence in 1.. {
            if *self.mute.lock() {
                return;
            }
            let Manner { service, zone, slots, .. } = &self.manner;
            let state = if *self.draining.lock() { "draining" } else { "ready" };
            let body = serde_json::json!({
                "address": "", "born": born,
                "info": {"service": service, "version": "v1", "zone": zone, "slots": slots},
                "status": {"state": state, "sequence": sequence, "cold-remaining-s": 0},
            });
            let path = format!("/-/instances/{}", self.id);
            let call = call(node, "PUT", &path, body.to_string());
            // The node may be down; the next report makes up for it.
            let _ = tokio::time::timeout(Duration::from_secs(1), call).await;
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    async fn answer(&self, request: Whole) -> Reply {
        match request.uri().path() {
            "/-/grant" => self.grant(&request),
            "/-/release" => self.release(&request).await,
            "/healthz" => {
                let mut healthy = reply(200);
                let id = self.id.parse().expect("a header value");
                healthy.headers_mut().insert("x-instance-id", id);
                healthy
            }
            _ => self.run(request).await,
        }
    }

    fn grant(&self, request: &Whole) -> Reply {
        let Ok(grant) = serde_json::from_slice::<GrantWire>(request.body()) else {
            return reply(400);
        };
        let mut seen = self.seen.lock();
        let keys = grant.from..=grant.target;
        if seen.range(keys.clone()).any(|(_, token)| *token > grant.fence) {
            return reply(409);
        }
        // Ends and a sample in between stand for all keys of a range.
        for key in keys.step_by(64).chain([grant.target]) {
            seen.insert(key, grant.fence);
        }
        let now = Instant::now();
        let to = now + Duration::from_secs_f64(grant.hold_s.unwrap_or(0.0));
        let held = Held {
            server: self.id.clone(),
            keys: (grant.from, grant.target),
            token: grant.fence,
            from: now,
            to,
        };
        let mut all = self.history.held.lock();
        let mut grants = self.grants.lock();
        grants.retain(|i| all[*i].to > now);
        let same =
            grants.iter().find(|i| all[**i].keys == held.keys && all[**i].token == held.token);
        match same {
            Some(i) => all[*i].to = to,
            None => {
                grants.push(all.len());
                all.push(held);
            }
        }
        reply(200)
    }

    async fn release(&self, request: &Whole) -> Reply {
        let Ok(wire) = serde_json::from_slice::<GrantWire>(request.body()) else {
            return reply(400);
        };
        let now = Instant::now();
        {
            let mut all = self.history.held.lock();
            let mut grants = self.grants.lock();
            let mut kept = Vec::new();
            for i in grants.drain(..) {
                let (first, last) = all[i].keys;
                if last < wire.from || first > wire.target || all[i].to <= now {
                    kept.push(i);
                    continue;
                }
                let rest = [
                    (first < wire.from).then(|| (first, wire.from.saturating_sub(1))),
                    (last > wire.target).then(|| (wire.target.saturating_add(1), last)),
                ];
                let old = all[i].clone();
                all[i].to = now;
                for keys in rest.into_iter().flatten() {
                    kept.push(all.len());
                    all.push(Held { keys, from: now, ..old.clone() });
                }
            }
            *grants = kept;
        }
        while *self.running.lock() > 0 && now.elapsed() < self.manner.work * 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let mut reply = reply(200);
        reply.headers_mut().insert("x-handover", http::HeaderValue::from_static("left"));
        reply
    }

    fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        let all = self.history.held.lock();
        self.grants.lock().iter().any(|i| {
            let Held { keys: (first, last), to, .. } = &all[*i];
            (*first..=*last).contains(&key) && *to > now
        })
    }

    async fn run(&self, request: Whole) -> Reply {
        let header = |name: &str| {
            request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let id = header("x-request-id").unwrap_or_default();
        let refuse = |status| {
            let mut refused = reply(status);
            refused.headers_mut().insert("x-not-executed", http::HeaderValue::from_static("1"));
            refused
        };
        if header("x-expected-instance").is_some_and(|meant| meant != self.id) {
            return reply(421);
        }
        let key = header("x-shard-key").and_then(|k| k.parse().ok());
        if self.manner.keyed && !key.is_some_and(|key| self.holds(key)) {
            return refuse(421);
        }
        if *self.running.lock() >= self.manner.slots {
            return refuse(503);
        }
        let _running = Running::of(&self.running);
        self.history.runs.lock().push(Run { id: id.clone(), server: self.id.clone() });
        tokio::time::sleep(self.manner.work).await;
        let mut answer = Reply::new(Full::new(Bytes::from(format!("done {id}"))));
        let headers = answer.headers_mut();
        for (name, value) in [("x-request-id", &id), ("x-server-signature", &self.id)] {
            headers.insert(name, value.parse().expect("a header value"));
        }
        answer
    }
}

/// Counts a request while it runs.
struct Running<'a>(&'a Mutex<u32>);

impl<'a> Running<'a> {
    fn of(count: &'a Mutex<u32>) -> Running<'a> {
        *count.lock() += 1;
        Running(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
    }
}

/// Makes one call over a connection of its own.
pub async fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: String,
) -> Option<(u16, Bytes)> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let request = http::Request::builder().method(method).uri(path).header("host", "node");
    let answer = if body.is_empty() {
        let request = request.body(http_body_util::Either::Left(Empty::<Bytes>::new())).ok()?;
        sender.send_request(request).await.ok()?
    } else {
        let body = http_body_util::Either::Right(Full::new(Bytes::from(body)));
        sender.send_request(request.body(body).ok()?).await.ok()?
    };
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    Some((status, body))
}
