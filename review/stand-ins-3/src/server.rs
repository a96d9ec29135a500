//! A backend server, as PROTOCOL.md describes it.

use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reply};
use crate::record::Record;

/// Interval between two liveness reports.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// Keys that the server was granted.
#[derive(Clone, Debug)]
struct Hold {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

#[derive(Default)]
struct State {
    holds: Vec<Hold>,
    /// Keys of running requests.
    running: Vec<u16>,
    busy: u32,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub control: SocketAddr,
    pub slots: u32,
    pub sharded: bool,
    pub born: u64,
    pub work: Duration,
    pub record: Arc<Record>,
    pub reporting: AtomicBool,
    /// Whether the process has ended.
    gone: AtomicBool,
    sequence: AtomicU64,
    /// Ids of the requests that it has begun to run.
    begun: Mutex<HashSet<String>>,
    state: Mutex<State>,
    ended: Condvar,
}

pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub control: SocketAddr,
    pub slots: u32,
    pub sharded: bool,
    pub work: Duration,
}

impl Server {
    pub fn start(setup: Setup, record: Arc<Record>) -> Arc<Server> {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |t| t.as_millis() as u64);
        let server = Arc::new(Server {
            id: setup.id,
            service: setup.service,
            zone: setup.zone,
            addr: setup.addr,
            control: setup.control,
            slots: setup.slots,
            sharded: setup.sharded,
            born,
            work: setup.work,
            record,
            reporting: AtomicBool::new(true),
            gone: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            begun: Mutex::default(),
            state: Mutex::default(),
            ended: Condvar::new(),
        });
        let served = server.clone();
        http::serve(server.addr, move |request, out| served.handle(request, out));
        let reporter = server.clone();
        thread::spawn(move || loop {
            if reporter.reporting.load(Ordering::Relaxed) {
                reporter.report("ready");
            }
            thread::sleep(HEARTBEAT);
        });
        server
    }

    pub fn report(&self, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"{state}","sequence":{sequence},"cold-remaining-s":0}}}}"#,
            self.addr, self.born, self.service, self.zone, self.slots
        );
        let request = format!(
            "PUT /-/instances/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.control,
            body.len()
        );
        let answer = http::call(self.control, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|a| a.status() / 100 == 2)
    }

    /// Ends the process: it neither reports nor answers any more.
    pub fn end(&self) {
        self.reporting.store(false, Ordering::Relaxed);
        self.gone.store(true, Ordering::Relaxed);
    }

    fn handle(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        if self.gone.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        match request.path() {
            "/healthz" => {
                let busy = self.state.lock().unwrap().busy;
                let load = format!("{busy},0,{},100", self.slots);
                let reply = Reply::new(200).with("X-Instance-Id", &self.id);
                out.write_all(&reply.with("X-Server-Load", load).encode())
            }
            "/-/grant" => out.write_all(&self.grant(request).encode()),
            "/-/release" => self.release(request, out),
            _ => {
                let reply = self.run(request);
                out.write_all(&reply.encode())
            }
        }
    }

    fn grant(&self, request: &Message) -> Reply {
        let field = |name: &str| number(&request.body, name);
        let (from, to) = (field("from") as u16, field("target") as u16);
        let (fence, time) = (field("fence") as u64, Duration::from_secs_f64(field("hold-s")));
        let mut state = self.state.lock().unwrap();
        let overlaps = |h: &Hold| h.from <= to && from <= h.to;
        if state.holds.iter().any(|h| overlaps(h) && h.fence > fence) {
            return Reply::new(409);
        }
        let until = Instant::now() + time;
        let fresh = !state
            .holds
            .iter()
            .any(|h| h.from <= from && to <= h.to && h.fence == fence && h.until > Instant::now());
        state.holds.retain(|h| {
            !(overlaps(h) && (h.until <= Instant::now() || (from <= h.from && h.to <= to)))
        });
        state.holds.push(Hold { from, to, fence, until });
        drop(state);
        if fresh {
            self.record.line(&format!(
                "server {} holds {from}-{to} fence {fence} for {:.3}",
                self.id,
                time.as_secs_f64()
            ));
        }
        Reply::new(200)
    }

    fn release(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let field = |name: &str| number(&request.body, name);
        let (from, to) = (field("from") as u16, field("target") as u16);
        let fence = field("fence") as u64;
        let mut state = self.state.lock().unwrap();
        let holds = std::mem::take(&mut state.holds);
        for hold in holds {
            if hold.from > to || from > hold.to || hold.fence > fence {
                state.holds.push(hold);
                continue;
            }
            if hold.from < from {
                state.holds.push(Hold { to: from - 1, ..hold.clone() });
            }
            if hold.to > to {
                state.holds.push(Hold { from: to + 1, ..hold });
            }
        }
        self.record
            .line(&format!("server {} is asked to release {from}-{to} fence {fence}", self.id));
        while state.running.iter().any(|k| (from..=to).contains(k)) {
            state = self.ended.wait(state).unwrap();
        }
        drop(state);
        self.record.line(&format!("server {} has released {from}-{to} fence {fence}", self.id));
        out.write_all(&Reply::new(200).with("X-Handover", format!("{}-{from}", self.id)).encode())
    }

    fn run(&self, request: &Message) -> Reply {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let refused =
            |status: u16| Reply::new(status).with("X-Not-Executed", "1").with("X-Request-Id", &id);
        if id.is_empty() {
            return refused(400);
        }
        if request.header("x-expected-instance").is_some_and(|i| i != self.id) {
            return Reply::new(421).with("X-Request-Id", &id).with("X-Instance-Id", &self.id);
        }
        let key: Option<u16> = request.header("x-shard-key").and_then(|k| k.parse().ok());
        {
            let mut state = self.state.lock().unwrap();
            if self.sharded {
                let Some(key) = key else { return refused(421) };
                let held = |h: &Hold| h.from <= key && key <= h.to && h.until > Instant::now();
                if !state.holds.iter().any(held) {
                    return refused(421);
                }
                state.running.push(key);
            }
            if state.busy >= self.slots {
                if let Some(i) = key.and_then(|k| state.running.iter().position(|r| *r == k)) {
                    state.running.remove(i);
                }
                return refused(503);
            }
            state.busy += 1;
        }
        self.begun.lock().unwrap().insert(id.clone());
        self.record.line(&format!("server {} runs {id} {} key {key:?}", self.id, request.start));
        let work = request.header("x-work-ms").and_then(|w| w.parse().ok());
        thread::sleep(work.map_or(self.work, Duration::from_millis));
        {
            let mut state = self.state.lock().unwrap();
            state.busy -= 1;
            if self.sharded {
                if let Some(i) = key.and_then(|k| state.running.iter().position(|r| *r == k)) {
                    state.running.remove(i);
                }
            }
        }
        self.ended.notify_all();
        self.record.line(&format!("server {} has run {id}", self.id));
        let busy = self.state.lock().unwrap().busy;
        let mut reply = Reply::new(200)
            .with("X-Request-Id", &id)
            .with("X-Server-Signature", format!("{}.{id}", self.id))
            .with("X-Server-Load", format!("{busy},0,{},100", self.slots));
        reply.body = format!("{} {id}\n", self.id).into_bytes();
        let size = request.header("x-body-bytes").and_then(|b| b.parse().ok()).unwrap_or(0);
        reply.body.resize(reply.body.len().max(size), b'x');
        reply
    }
}

/// The number of a field of a flat JSON object.
fn number(body: &[u8], name: &str) -> f64 {
    let text = String::from_utf8_lossy(body);
    let key = format!("\"{name}\":");
    let Some(at) = text.find(&key) else { return 0.0 };
    let rest = &text[at + key.len()..];
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().parse().unwrap_or(0.0)
}

impl Server {
    /// Whether the server has begun to run a request.
    pub fn has_begun(&self, id: &str) -> bool {
        self.begun.lock().unwrap().contains(id)
    }
}
