//! Callers whose bodies stop just short of their end take all places for connections.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, Plan};
use crate::http;
use crate::record::Record;
use crate::End;

/// Memory of a machine in MiB, its descriptors and its link, as in the site file.
const MEMORY_MB: usize = 260;
const FDS: usize = 4100;
const LINK_MBPS: f64 = 1000.0;
/// Callers of the crowd, and the threads that they share.
const CALLERS: usize = 3008;
const PARTS: usize = 16;
/// Pause of a thread after each request of 4 KB, so that all of them send 68 MB/s at most. The link of a
/// machine carries 125.
const PACE: Duration = Duration::from_millis(1);
const BODY: usize = 4 << 10;
const MISSING: usize = 100;
/// Ordinary callers, each of which opens a new connection for each request.
const ORDINARY: usize = 10;
/// `contact-s`.
const CONTACT: Duration = Duration::from_secs(3);
const STAY: Duration = Duration::from_secs(40);

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],"rows":[["read","books.example","/get/","safe",2.5,0.4,2,null,2,"books"],["put","books.example","/put/","unsafe",3.0,0.6,2,null,1,"books"]]},"services":{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],"rows":[["books","/healthz",420,"h1",false,3.0,16.0,null,null,null]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

fn ordinary(id: &str) -> String {
    format!("GET /get/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n")
}

fn crowd(
    record: Arc<Record>,
    ended: Arc<AtomicBool>,
    addr: SocketAddr,
    part: usize,
    callers: usize,
) {
    let mut open: Vec<Option<TcpStream>> = (0..callers).map(|_| None).collect();
    let mut round = 0;
    while !ended.load(Ordering::Relaxed) {
        round += 1;
        for (i, slot) in open.iter_mut().enumerate() {
            if slot.as_ref().is_some_and(crate::crowd::is_open) {
                continue;
            }
            *slot = None;
            let id = format!("c-{part}-{i}-{round}");
            let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
                continue;
            };
            let mut bytes = format!("POST /put/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 30000\r\nContent-Length: {BODY}\r\n\r\n").into_bytes();
            bytes.resize(bytes.len() + BODY - MISSING, b'x');
            let sent = stream.write_all(&bytes).is_ok();
            record.line(&format!("caller {id} sends all but {MISSING} bytes: {sent}"));
            *slot = Some(stream);
            thread::sleep(PACE);
        }
        thread::sleep(Duration::from_millis(500));
    }
}

pub fn taken(record: &Arc<Record>, trouble: bool) -> End {
    let plans =
        [Plan { service: "books", sharded: false, slots: 12, work: Duration::from_millis(20) }];
    let settings = format!(
        "self.limits.memory-mb={MEMORY_MB}\nself.limits.max-fds={FDS}\n\
         self.limits.link-mbps={LINK_MBPS:.1}\n"
    );
    let mut fleet = Fleet::start(&plans, CONFIG, &settings, record.clone());
    if !fleet.until_served(0, ordinary, Duration::from_secs(15)) {
        return End::Failed;
    }
    let addr = fleet.hosts[0].outbound();
    let ended = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for part in 0..if trouble { PARTS } else { 0 } {
        let (r, e) = (record.clone(), ended.clone());
        threads.push(thread::spawn(move || crowd(r, e, addr, part, CALLERS / PARTS)));
    }
    let last = Arc::new(Mutex::new((Instant::now(), Duration::ZERO)));
    for i in 0..ORDINARY {
        let (r, e, last) = (record.clone(), ended.clone(), last.clone());
        threads.push(thread::spawn(move || {
            let mut number = 0;
            while !e.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("o-{i}-{number}");
                if fleet::send(&r, "side-0", addr, &id, &ordinary(&id)).is_some() {
                    let mut last = last.lock().unwrap();
                    last.1 = last.1.max(last.0.elapsed());
                    last.0 = Instant::now();
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let began = Instant::now();
    let (mut rss, mut unready) = (0, 0);
    while began.elapsed() < if trouble { STAY } else { Duration::from_secs(10) } {
        rss = rss.max(fleet.memory_kb(0, "VmRSS"));
        let check = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        let answer = http::call(fleet.hosts[0].addr(8302), check, Duration::from_secs(1));
        let status = answer.ok().map(|a| a.status());
        record.line(&format!("the readiness check gets {status:?}"));
        if status != Some(200) {
            unready += 1;
        }
        thread::sleep(Duration::from_millis(500));
    }
    ended.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let longest = {
        let last = last.lock().unwrap();
        last.1.max(last.0.elapsed())
    };
    record.note(&format!(
        "longest time in which no new connection of {ORDINARY} ordinary callers got an answer: {} ms; resident memory at most {rss} KiB; readiness checks without 200: {unready}",
        longest.as_millis()
    ));
    fleet.end();
    if longest > CONTACT && unready == 0 {
        End::Broken
    } else {
        End::Held
    }
}
