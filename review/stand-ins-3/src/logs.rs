//! Nobody reads a node's standard output and standard error for a while.

use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Plan};
use crate::http;
use crate::record::Record;
use crate::End;

/// Callers and the time between two requests of one: together half as much again as the server takes, which
/// is 12 slots by 120 ms.
const CALLERS: usize = 120;
const INTERVAL: Duration = Duration::from_millis(800);
/// Longest time until the process no longer answers.
const LIMIT: Duration = Duration::from_secs(100);
/// Time limit of the route, and what an answer may take beyond it.
const TIMEOUT: Duration = Duration::from_millis(2500);
const SLACK: Duration = Duration::from_millis(500);
/// Requests sent at the end, each over a connection over which an earlier one was answered.
const PROBES: usize = 10;

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],"rows":[["read","books.example","/get/","safe",2.5,0.4,2,null,2,"books"]]},"services":{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],"rows":[["books","/healthz",130,"h1",false,3.0,16.0,null,null,null]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

fn request(id: &str) -> String {
    format!("GET /get/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\n\r\n")
}

/// A connection of a caller that is used again.
struct Caller {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Caller {
    fn connect(addr: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        let writer = stream.try_clone().ok()?;
        Some(Caller { reader: BufReader::new(stream), writer })
    }

    /// Sends a request, and returns the status of its answer if that comes within `limit`.
    fn call(&mut self, record: &Record, id: &str, limit: Duration) -> Option<u16> {
        let sent = Instant::now();
        self.writer.set_read_timeout(Some(limit)).ok()?;
        self.writer.write_all(request(id).as_bytes()).ok()?;
        let status = http::read(&mut self.reader).ok().flatten().map(|a| a.status());
        let answer = status.map_or_else(|| "no answer".to_owned(), |s| s.to_string());
        record.line(&format!(
            "client gets {answer} for {id} after {} ms",
            sent.elapsed().as_millis()
        ));
        status
    }
}

/// Reads a stream to its end.
fn drain(mut stream: impl Read + Send + 'static) {
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer).is_ok_and(|size| size > 0) {}
    });
}

pub fn unread(record: &Arc<Record>, trouble: bool) -> End {
    let plans =
        [Plan { service: "books", sharded: false, slots: 12, work: Duration::from_millis(120) }];
    let settings = "self.limits.memory-mb=260\nself.limits.max-fds=4100\n";
    let mut fleet = Fleet::start_with(&plans, CONFIG, settings, record.clone(), true);
    let node = fleet.hosts[0].node.as_mut();
    let output = node.and_then(|n| Some((n.stdout.take()?, n.stderr.take()?)));
    let Some((stdout, stderr)) = output else { return End::Failed };
    let mut kept = None;
    match trouble {
        true => kept = Some((stdout, stderr)),
        false => {
            drain(stdout);
            drain(stderr);
        }
    }
    if !fleet.until_served(0, request, Duration::from_secs(15)) {
        record.note("no request was served at first");
        return End::Failed;
    }
    let (addr, pid) = (fleet.hosts[0].outbound(), fleet.hosts[0].pid());
    let mut probes = Vec::new();
    for i in 0..PROBES {
        let Some(mut probe) = Caller::connect(addr) else { return End::Failed };
        if probe.call(record, &format!("first-{i}"), Duration::from_secs(3)).is_none() {
            record.note("a first request was not answered");
            return End::Failed;
        }
        probes.push(probe);
    }
    // Callers that send more than the server takes. Refused requests are logged, as many as the node's limit allows.
    let ended = Arc::new(AtomicBool::new(false));
    let silent = Arc::new(AtomicU32::new(0));
    let mut threads = Vec::new();
    for part in 0..CALLERS {
        let (record, ended, silent) = (record.clone(), ended.clone(), silent.clone());
        threads.push(thread::spawn(move || {
            let mut number = 0;
            let mut next = Instant::now() + INTERVAL.mul_f64(part as f64 / CALLERS as f64);
            thread::sleep(next.saturating_duration_since(Instant::now()));
            while !ended.load(Ordering::Relaxed) {
                let Some(mut caller) = Caller::connect(addr) else { continue };
                while !ended.load(Ordering::Relaxed) {
                    number += 1;
                    if caller
                        .call(&record, &format!("c-{part}-{number}"), TIMEOUT + SLACK)
                        .is_none()
                    {
                        silent.fetch_add(1, Ordering::Relaxed);
                        break;
                    }
                    next += INTERVAL;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            }
        }));
    }
    let began = Instant::now();
    // The connections for the last requests are kept in use.
    let mut round = 0;
    while began.elapsed() < LIMIT && silent.load(Ordering::Relaxed) < CALLERS as u32 / 2 {
        thread::sleep(Duration::from_millis(500));
        round += 1;
        if round % 4 != 0 {
            continue;
        }
        for (i, probe) in probes.iter_mut().enumerate() {
            if silent.load(Ordering::Relaxed) > 0 {
                break;
            }
            if probe.call(record, &format!("kept-{i}-{round}"), TIMEOUT + SLACK).is_none() {
                silent.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    ended.store(true, Ordering::Relaxed);
    record.note(&format!(
        "{} requests of the callers got no answer after {:.0} s",
        silent.load(Ordering::Relaxed),
        began.elapsed().as_secs_f64()
    ));
    for thread in threads {
        let _ = thread.join();
    }
    let record_probe = record.clone();
    let last: Vec<_> = probes
        .into_iter()
        .enumerate()
        .map(|(i, mut probe)| {
            let record = record_probe.clone();
            thread::spawn(move || probe.call(&record, &format!("last-{i}"), TIMEOUT + SLACK))
        })
        .collect();
    let answered = last.into_iter().filter_map(|p| p.join().ok().flatten()).count();
    let wait = fs::read_to_string(format!("/proc/{pid}/wchan")).unwrap_or_default();
    record.note(&format!("of {PROBES} requests over open connections {answered} were answered within {} ms; the process waits in '{wait}'", (TIMEOUT + SLACK).as_millis()));
    let ready = http::call(
        fleet.hosts[0].addr(8302),
        b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
        Duration::from_secs(1),
    );
    record.note(&format!("the readiness check is answered: {:?}", ready.ok().map(|a| a.status())));
    drop(kept);
    fleet.end();
    if answered * 2 < PROBES {
        End::Broken
    } else {
        End::Held
    }
}
