//! A target of a service that is not divided by key: runs requests, answers health checks, and reports
//! to the node beside it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, answer};
use crate::record::Record;

/// Interval between two liveness reports, as in the settings.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(870);
/// Time that a target waits for the acknowledgement of a report.
const REPORT_LIMIT: Duration = Duration::from_secs(1);

#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    /// Size of each answer's body.
    pub answer_bytes: usize,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Address at which the node beside it takes reports.
    pub control: SocketAddr,
    /// Where it sends its first report, if that goes another way.
    pub first_report: Option<SocketAddr>,
}

pub struct Target {
    pub config: Config,
    born: u128,
    sequence: AtomicU64,
    /// It leaves: no more reports, and health checks fail.
    pub leaving: AtomicBool,
    /// The process has ended.
    pub ended: Arc<AtomicBool>,
    record: Arc<Record>,
    /// Number of requests that it is at work on.
    pub running: AtomicU64,
    /// Ids of the requests that it is at work on.
    pub at_work: Mutex<Vec<String>>,
}

impl Target {
    pub fn start(config: Config, record: Arc<Record>) -> io::Result<Arc<Target>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let target = Arc::new(Target {
            config,
            born,
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            ended: Arc::default(),
            record,
            running: AtomicU64::new(0),
            at_work: Mutex::default(),
        });
        let served = target.clone();
        http::serve(target.config.addr, target.ended.clone(), move |request| {
            served.handle(request)
        })?;
        let reporting = target.clone();
        std::thread::spawn(move || {
            while !reporting.has_ended() {
                if !reporting.leaving.load(Ordering::SeqCst) {
                    let (sequence, report) = reporting.report();
                    let Config { control, first_report, .. } = &reporting.config;
                    let first = first_report.filter(|_| sequence == 1);
                    let _ = http::call(first.unwrap_or(*control), &report, REPORT_LIMIT);
                }
                std::thread::sleep(REPORT_INTERVAL);
            }
        });
        Ok(target)
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// The next liveness report, with its number; it says that the target is ready.
    fn report(&self) -> (u64, Message) {
        let Config { id, service, zone, slots, addr, .. } = &self.config;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"address":"{addr}","born":{},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready","sequence":{sequence},"cold-remaining-s":0}}}}"#,
            self.born
        );
        let json = [("content-type", "application/json"), ("host", "node")];
        (sequence, http::request("PUT", &format!("/-/instances/{id}"), &json, body.as_bytes()))
    }

    /// Tells the node that the target leaves; returns whether it was acknowledged.
    pub fn leave(&self) -> bool {
        self.leaving.store(true, Ordering::SeqCst);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let json = [("content-type", "application/json"), ("host", "node")];
        let target = format!("/-/instances/{}", self.config.id);
        let request = http::request("DELETE", &target, &json, body.as_bytes());
        http::call(self.config.control, &request, REPORT_LIMIT).is_ok_and(|a| a.status() / 100 == 2)
    }

    /// Ends the process: all connections close, and work that runs is lost.
    pub fn end(&self) {
        self.record.write(&format!(
            "{} ends at work on {:?}",
            self.config.id,
            self.at_work.lock().unwrap()
        ));
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Answers a request. A target that leaves says so in all its answers.
    fn handle(&self, request: Message) -> Option<Message> {
        let mut answer = self.answer(request)?;
        if self.leaving.load(Ordering::SeqCst) {
            answer.headers.push(("server-leaving".to_owned(), "1".to_owned()));
        }
        Some(answer)
    }

    fn answer(&self, request: Message) -> Option<Message> {
        let id = self.config.id.as_str();
        if self.has_ended() {
            return None;
        }
        if request.target() == "/healthz" {
            let leaving = self.leaving.load(Ordering::SeqCst);
            let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.config.slots);
            let headers = [("x-instance-id", id), ("x-server-load", &load)];
            return Some(answer(if leaving { 503 } else { 200 }, &headers, ""));
        }
        let request_id = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
            let headers =
                [("x-not-executed", "1"), ("x-request-id", &request_id), ("x-instance-id", id)];
            return Some(answer(421, &headers, ""));
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.at_work.lock().unwrap().push(request_id.clone());
        self.record.run(id, &request_id, request.method());
        std::thread::sleep(self.config.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.has_ended() {
            return None;
        }
        self.at_work.lock().unwrap().retain(|known| *known != request_id);
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.config.slots);
        let signature = format!("sig.{id}.{request_id}");
        let headers = [
            ("x-request-id", request_id.as_str()),
            ("x-server-signature", &signature),
            ("x-server-load", &load),
        ];
        Some(answer(200, &headers, vec![b'a'; self.config.answer_bytes]))
    }
}
