//! Stand-in for a target: runs requests in slots, holds keys that it is granted, and reports.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message, answer, request};
use crate::record::Record;

/// Interval between two liveness reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(870);

#[derive(Clone)]
pub struct TargetConfig {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub control: SocketAddr,
    pub slots: usize,
    pub sharded: bool,
}

/// Bytes that a faulty target sends after a complete answer, late: when the next call has arrived on
/// that connection. Each is sent once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extra {
    None,
    /// A second copy of its last answer to a control call, before the answer to a release.
    CopyBeforeRelease,
    /// An answer that names no request, as to one that came without an id, before the answer to the
    /// request with this number.
    RefusalBefore(u64),
}

/// A time for which a target held keys.
#[derive(Clone, Debug)]
pub struct Hold {
    pub target: String,
    pub keys: (u16, u16),
    pub fence: u64,
    pub from: Instant,
    pub until: Instant,
    /// When it would have run out if it had not been released.
    pub granted: Instant,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub request: String,
    pub key: Option<u16>,
    pub began: Instant,
    pub ended: Option<Instant>,
}

/// What all targets saw.
#[derive(Default)]
pub struct History {
    pub holds: Mutex<Vec<Hold>>,
    pub runs: Mutex<Vec<Run>>,
}

pub struct Target {
    pub config: TargetConfig,
    born: u64,
    history: Arc<History>,
    record: Arc<Record>,
    /// Indices of the holds in force, and the highest fences seen.
    held: Mutex<Vec<usize>>,
    fences: Mutex<Vec<(u16, u16, u64)>>,
    running: Mutex<(usize, usize)>,
    freed: Condvar,
    draining: AtomicBool,
    acknowledged: Mutex<Option<Instant>>,
    reports_stopped: AtomicBool,
    extra: Mutex<Extra>,
    extras_sent: AtomicU64,
    requests: AtomicU64,
    /// Number of answers to all calls.
    answers: AtomicU64,
}

impl Target {
    pub fn start(
        config: TargetConfig,
        history: Arc<History>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Target>> {
        let listener = TcpListener::bind(config.addr)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let target = Arc::new(Target {
            config,
            born: born as u64,
            history,
            record,
            held: Mutex::default(),
            fences: Mutex::default(),
            running: Mutex::default(),
            freed: Condvar::new(),
            draining: AtomicBool::new(false),
            acknowledged: Mutex::default(),
            reports_stopped: AtomicBool::new(false),
            extra: Mutex::new(Extra::None),
            extras_sent: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        });
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = served.clone();
                thread::spawn(move || target.serve(Conn::new(stream)));
            }
        });
        let reporting = target.clone();
        thread::spawn(move || reporting.report());
        Ok(target)
    }

    /// Announces that it will leave.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// When the announcement was acknowledged.
    pub fn acknowledged(&self) -> Option<Instant> {
        *self.acknowledged.lock().unwrap()
    }

    pub fn set_extra(&self, extra: Extra) {
        *self.extra.lock().unwrap() = extra;
    }

    pub fn extras_sent(&self) -> u64 {
        self.extras_sent.load(Ordering::Relaxed)
    }

    /// Number of requests that have arrived.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    fn report(&self) {
        let mut conn: Option<Conn> = None;
        let mut sequence = 0;
        while !self.reports_stopped.load(Ordering::Relaxed) {
            sequence += 1;
            let draining = self.draining.load(Ordering::Relaxed);
            let state = if draining { "draining" } else { "ready" };
            let c = &self.config;
            let body = format!(
                "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                 \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
                 \"sequence\":{sequence},\"cold-remaining-s\":0}}}}",
                c.addr, self.born, c.service, c.zone, c.slots
            );
            let path = format!("/-/instances/{}", c.id);
            let host = c.control.to_string();
            let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
            let bytes = request("PUT", &path, &headers, body.as_bytes());
            if conn.is_none() {
                conn = Conn::open(c.control, Duration::from_millis(500)).ok();
            }
            let until = Instant::now() + Duration::from_secs(1);
            let answered = conn.as_mut().and_then(|conn| {
                conn.write(&bytes).ok()?;
                conn.read(Some(until)).ok()
            });
            match answered {
                Some(reply) if reply.status() / 100 == 2 => {
                    let mut acknowledged = self.acknowledged.lock().unwrap();
                    if draining && acknowledged.is_none() {
                        *acknowledged = Some(Instant::now());
                        self.record.line(&format!("{} leaves, acknowledged", c.id));
                    }
                }
                Some(_) => {}
                None => conn = None,
            }
            let step = Duration::from_millis(10);
            let until = Instant::now() + REPORT_INTERVAL;
            while Instant::now() < until && draining == self.draining.load(Ordering::Relaxed) {
                thread::sleep(step);
            }
        }
    }

    fn serve(&self, mut conn: Conn) {
        // The last answer to a control call, if that was the last call on this connection.
        let mut last_control: Option<Vec<u8>> = None;
        while let Ok(call) = conn.read(None) {
            let control = call.path().starts_with("/-/");
            let number = match control || call.path() == "/healthz" {
                true => 0,
                false => 1 + self.requests.fetch_add(1, Ordering::Relaxed),
            };
            if let Some(bytes) = self.extra_bytes(&call, number, last_control.as_deref())
                && conn.write(&bytes).is_err()
            {
                return;
            }
            let reply = match call.path() {
                "/-/grant" => self.grant(&call),
                "/-/release" => self.release(&call),
                "/healthz" => {
                    let leaving = self.draining.load(Ordering::Relaxed);
                    let status = if leaving { 503 } else { 200 };
                    answer(status, &[("X-Instance-Id", &self.config.id)], b"")
                }
                _ => self.run(&call),
            };
            last_control = control.then(|| reply.clone());
            self.answers.fetch_add(1, Ordering::Relaxed);
            if conn.write(&reply).is_err() {
                return;
            }
        }
    }

    fn extra_bytes(&self, call: &Message, number: u64, last: Option<&[u8]>) -> Option<Vec<u8>> {
        let mut extra = self.extra.lock().unwrap();
        let bytes = match *extra {
            Extra::CopyBeforeRelease if call.path() == "/-/release" => last?.to_vec(),
            Extra::RefusalBefore(due) if number == due => {
                answer(400, &[("X-Not-Executed", "1")], b"")
            }
            _ => return None,
        };
        *extra = Extra::None;
        self.extras_sent.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!(
            "{} sends {} extra bytes before its answer to {}; it has given {} answers so far",
            self.config.id,
            bytes.len(),
            call.header("x-request-id").unwrap_or(call.path()),
            self.answers.load(Ordering::Relaxed)
        ));
        Some(bytes)
    }

    fn grant(&self, call: &Message) -> Vec<u8> {
        let now = Instant::now();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let number = |name| field(&body, name);
        let (Some(from), Some(to), Some(fence), Some(hold)) =
            (number("from"), number("target"), number("fence"), number("hold-s"))
        else {
            return answer(400, &[], b"");
        };
        let (keys, fence) = ((from as u16, to as u16), fence as u64);
        let mut fences = self.fences.lock().unwrap();
        if fences.iter().any(|f| f.0 <= keys.1 && keys.0 <= f.1 && f.2 > fence) {
            return answer(409, &[], b"");
        }
        fences.retain(|f| (f.0, f.1) != keys);
        fences.push((keys.0, keys.1, fence));
        let until = now + Duration::from_secs_f64(hold);
        let mut held = self.held.lock().unwrap();
        let mut holds = self.history.holds.lock().unwrap();
        held.retain(|i| holds[*i].until > now);
        let same = held.iter().copied().find(|i| holds[*i].keys == keys && holds[*i].fence == fence);
        match same {
            Some(i) => (holds[i].until, holds[i].granted) = (until, until),
            None => {
                let target = self.config.id.clone();
                holds.push(Hold { target, keys, fence, from: now, until, granted: until });
                held.push(holds.len() - 1);
                self.record.line(&format!("{} holds {keys:?} fence {fence}", self.config.id));
            }
        }
        answer(200, &[], b"")
    }

    fn release(&self, call: &Message) -> Vec<u8> {
        let now = Instant::now();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let (Some(from), Some(to)) = (field(&body, "from"), field(&body, "target")) else {
            return answer(400, &[], b"");
        };
        let (from, to) = (from as u16, to as u16);
        self.record.line(&format!("{} is to release {:?}", self.config.id, (from, to)));
        {
            let mut held = self.held.lock().unwrap();
            let mut holds = self.history.holds.lock().unwrap();
            let mut kept = Vec::new();
            for i in held.drain(..) {
                let hold = holds[i].clone();
                if hold.until <= now || hold.keys.1 < from || hold.keys.0 > to {
                    kept.push(i);
                    continue;
                }
                holds[i].until = now;
                let mut part = |keys: (u16, u16)| {
                    holds.push(Hold { keys, from: now, until: hold.until, ..hold.clone() });
                    kept.push(holds.len() - 1);
                };
                if hold.keys.0 < from {
                    part((hold.keys.0, from - 1));
                }
                if hold.keys.1 > to {
                    part((to + 1, hold.keys.1));
                }
            }
            *held = kept;
        }
        let mut running = self.running.lock().unwrap();
        while self.works_on(from, to) {
            running = self.freed.wait_timeout(running, Duration::from_millis(20)).unwrap().0;
        }
        drop(running);
        answer(200, &[("X-Handover", "left")], b"")
    }

    fn works_on(&self, from: u16, to: u16) -> bool {
        let runs = self.history.runs.lock().unwrap();
        runs.iter().any(|r| {
            r.ended.is_none()
                && r.target == self.config.id
                && r.key.is_some_and(|k| from <= k && k <= to)
        })
    }

    fn holds(&self, key: u16, at: Instant) -> bool {
        let held = self.held.lock().unwrap();
        let holds = self.history.holds.lock().unwrap();
        held.iter().any(|i| {
            let hold = &holds[*i];
            hold.keys.0 <= key && key <= hold.keys.1 && at < hold.until
        })
    }

    fn run(&self, call: &Message) -> Vec<u8> {
        let id = call.header("x-request-id").unwrap_or_default().to_owned();
        let refuse = |status| {
            answer(status, &[("X-Request-Id", &id), ("X-Not-Executed", "1")], b"")
        };
        if call.header("x-expected-instance").is_some_and(|e| e != self.config.id) {
            return refuse(421);
        }
        let key = call.header("x-shard-key").and_then(|k| k.parse::<u16>().ok());
        let key = key.filter(|_| self.config.sharded);
        let mut running = self.running.lock().unwrap();
        if running.1 >= 48 {
            return refuse(503);
        }
        running.1 += 1;
        while running.0 >= self.config.slots {
            running = self.freed.wait(running).unwrap();
        }
        running.1 -= 1;
        if key.is_some_and(|key| !self.holds(key, Instant::now())) {
            return refuse(421);
        }
        running.0 += 1;
        let index = {
            let mut runs = self.history.runs.lock().unwrap();
            let (target, request) = (self.config.id.clone(), id.clone());
            runs.push(Run { target, request, key, began: Instant::now(), ended: None });
            runs.len() - 1
        };
        drop(running);
        self.record.line(&format!("{} runs {id}", self.config.id));
        let number = |name| call.query(name).and_then(|v| v.parse::<usize>().ok());
        thread::sleep(Duration::from_millis(number("work-ms").unwrap_or(20) as u64));
        let lost = key.is_some_and(|key| {
            let now = Instant::now();
            let holds = self.history.holds.lock().unwrap();
            let own = |h: &&Hold| h.target == self.config.id && h.keys.0 <= key && key <= h.keys.1;
            // Work goes on after a release, but not after the end of the last hold.
            let last = holds.iter().filter(own).map(|h| h.until.max(h.from)).max();
            let released = holds.iter().filter(own).all(|h| h.until <= now);
            last.is_none() || released && !self.draining.load(Ordering::Relaxed)
        });
        self.history.runs.lock().unwrap()[index].ended = Some(Instant::now());
        let mut running = self.running.lock().unwrap();
        running.0 -= 1;
        drop(running);
        self.freed.notify_all();
        self.record.line(&format!("{} has run {id}", self.config.id));
        let signature = format!("sig.{id}");
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Signature", signature.as_str())];
        if lost {
            return answer(500, &headers, b"");
        }
        let body = body_of(&id, number("size").unwrap_or(200));
        answer(200, &headers, &body)
    }
}

/// The body of the answer to a request.
pub fn body_of(id: &str, size: usize) -> Vec<u8> {
    id.bytes().cycle().take(size).collect()
}

/// A number of a flat JSON object.
fn field(json: &str, name: &str) -> Option<f64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().parse().ok()
}
