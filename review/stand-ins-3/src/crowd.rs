//! Many callers send requests whose bodies stop just short of their end, and stay connected.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Host, Plan};
use crate::http::{self, Message};
use crate::record::Record;
use crate::End;

/// Memory of a machine in MiB, its descriptors and its link, as in the site file.
const MEMORY_MB: usize = 260;
const FDS: usize = 4100;
const LINK_MBPS: f64 = 1000.0;
/// Callers of the crowd, all at the first machine, and the threads that they share.
const CALLERS: usize = 2500;
const PARTS: usize = 10;
/// Pause of a thread after each request of 30 KB, so that all of them send 101 MB/s at most. The link of a
/// machine carries 125.
const PACE: Duration = Duration::from_millis(3);
/// Headers of each of their requests.
const HEADERS: usize = 240;
/// Bytes of a body, and how many of them are not sent.
const BODY: usize = 16 << 10;
const MISSING: usize = 100;
/// Ends of its process after which the crowd leaves.
const ENDS: u32 = 3;
const MACHINES: usize = 2;
/// Ordinary callers at each machine, each with a connection that it keeps.
const ORDINARY: usize = 6;
/// Requests that one machine may pass on from a kept connection and lose.
const EXCUSED: usize = 3;
/// Longest time that the crowd stays.
const LIMIT: Duration = Duration::from_secs(60);
/// Pause before a process that was killed is started again.
const RESTART: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],"rows":[["read","books.example","/get/","safe",2.5,0.4,2,null,2,"books"],["put","books.example","/put/","unsafe",3.0,0.6,2,null,1,"books"]]},"services":{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],"rows":[["books","/healthz",420,"h1",false,3.0,16.0,null,null,null]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

fn ordinary(id: &str) -> String {
    format!("GET /get/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n")
}

/// The head of a request of the crowd. It is within the limit on heads.
fn head(id: &str) -> String {
    let mut head = format!("POST /put/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nContent-Length: {BODY}\r\n");
    for i in 0..HEADERS {
        head += &format!("x-context-{i:03}: {:040}\r\n", i);
    }
    head + "\r\n"
}

/// What is shared between the threads.
#[derive(Default)]
struct Shared {
    ended: AtomicBool,
    connected: AtomicUsize,
    ordinary: AtomicU32,
    /// Requests on kept connections that ended without an answer.
    cut: Mutex<Vec<String>>,
}

/// Connects callers again and again while the crowd stays: a caller whose connection has ended comes
/// back.
fn crowd(record: Arc<Record>, shared: Arc<Shared>, addr: SocketAddr, part: usize, callers: usize) {
    let mut open: Vec<Option<TcpStream>> = (0..callers).map(|_| None).collect();
    let mut round = 0;
    while !shared.ended.load(Ordering::Relaxed) {
        round += 1;
        for (i, slot) in open.iter_mut().enumerate() {
            if shared.ended.load(Ordering::Relaxed) {
                break;
            }
            if slot.as_ref().is_some_and(|s| is_open(s)) {
                continue;
            }
            let id = format!("c-{part}-{i}-{round}");
            let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
            let mut bytes = head(&id).into_bytes();
            bytes.resize(bytes.len() + BODY - MISSING, b'x');
            let sent = stream.write_all(&bytes).is_ok();
            record.line(&format!("caller {id} sends all but {MISSING} bytes: {sent}"));
            if sent {
                shared.connected.fetch_add(1, Ordering::Relaxed);
                *slot = Some(stream);
            }
            thread::sleep(PACE);
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Whether the other end has neither answered nor closed.
pub fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sends ordinary requests, one after the other, on a connection that is kept.
fn callers(record: Arc<Record>, shared: Arc<Shared>, name: String, addr: SocketAddr) {
    let (mut number, mut kept, mut used) = (0, None, false);
    while !shared.ended.load(Ordering::Relaxed) {
        if kept.is_none() {
            used = false;
            kept = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok();
        }
        let Some(stream) = &mut kept else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        number += 1;
        let id = format!("o-{name}-{number}");
        record.line(&format!("caller sends {id}, on a kept connection: {used}"));
        shared.ordinary.fetch_add(1, Ordering::Relaxed);
        match exchange(stream, &ordinary(&id)) {
            Ok(answer) => {
                record.line(&format!("caller gets {} for {id}", answer.status()));
                used = true;
                if answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                    kept = None;
                }
            }
            Err(e) => {
                record.line(&format!("caller gets no answer for {id}: {e}"));
                if used && e.kind() != io::ErrorKind::WouldBlock {
                    shared.cut.lock().unwrap().push(id);
                }
                kept = None;
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
}

/// Sends a request and reads its answer.
fn exchange(stream: &mut TcpStream, request: &str) -> io::Result<Message> {
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream.try_clone()?);
    http::read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

pub fn heads(record: &Arc<Record>, trouble: bool) -> End {
    let plan =
        || Plan { service: "books", sharded: false, slots: 12, work: Duration::from_millis(120) };
    let settings = format!(
        "self.limits.memory-mb={MEMORY_MB}\nself.limits.max-fds={FDS}\n\
         self.limits.link-mbps={LINK_MBPS:.1}\n"
    );
    let mut fleet = Fleet::start(&[plan(), plan()], CONFIG, &settings, record.clone());
    for i in 0..MACHINES {
        if !fleet.until_served(i, ordinary, Duration::from_secs(15)) {
            record.note("no ordinary request was served at first");
            return End::Failed;
        }
    }
    record.note(&format!("requests of the crowd have {} headers, {} bytes of head and {BODY} bytes of body, of which all but {MISSING} are sent", HEADERS + 4, head("c-0-0-0").len()));
    let shared = Arc::new(Shared::default());
    let mut threads = Vec::new();
    for (machine, host) in fleet.hosts.iter().enumerate() {
        let addr = host.outbound();
        for i in 0..ORDINARY {
            let (r, s, name) = (record.clone(), shared.clone(), format!("{}-{i}", host.name));
            threads.push(thread::spawn(move || callers(r, s, name, addr)));
        }
        for part in 0..if trouble && machine == 0 { PARTS } else { 0 } {
            let (r, s) = (record.clone(), shared.clone());
            threads.push(thread::spawn(move || crowd(r, s, addr, part, CALLERS / PARTS)));
        }
    }
    let began = Instant::now();
    let (mut ends, mut peak) = ([0; MACHINES], [0; MACHINES]);
    let stay = if trouble { LIMIT } else { Duration::from_secs(10) };
    while began.elapsed() < stay && ends[0] < ENDS {
        for i in 0..MACHINES {
            let rss = fleet.memory_kb(i, "VmRSS");
            peak[i] = peak[i].max(rss);
            // As the platform does with a process that exceeds the memory of its machine.
            if rss > MEMORY_MB << 10 {
                ends[i] += 1;
                record.note(&format!("the process of {} holds {rss} KiB of {}: the platform kills it, for the {}. time", fleet.hosts[i].name, MEMORY_MB << 10, ends[i]));
                fleet.restart_node(i, RESTART);
            } else if !fleet.is_running(i) {
                ends[i] += 1;
                record.note(&format!(
                    "the process of {} has ended, the {}. time",
                    fleet.hosts[i].name, ends[i]
                ));
                thread::sleep(RESTART);
                fleet.start_node(i);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    shared.ended.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    record.note(&format!("resident memory at most {peak:?} KiB; ends by themselves {ends:?}; {} requests of the crowd were sent", shared.connected.load(Ordering::Relaxed)));
    let cut = shared.cut.lock().unwrap().clone();
    let begun = |id: &&String| fleet.hosts.iter().flat_map(|h| &h.server).any(|s| s.has_begun(id));
    let lost: Vec<&String> = cut.iter().filter(begun).collect();
    record.note(&format!(
        "of {} ordinary requests {} were passed on from a kept connection that ended without an \
         answer: {lost:?}",
        shared.ordinary.load(Ordering::Relaxed),
        lost.len()
    ));
    let of = |h: &Host| lost.iter().filter(|id| id.starts_with(&format!("o-{}-", h.name))).count();
    let most = fleet.hosts.iter().map(of).max().unwrap_or(0);
    record.note(&format!("{most} of them at one machine"));
    let served = (0..MACHINES).all(|i| fleet.until_served(i, ordinary, Duration::from_secs(10)));
    record.note(&format!("ordinary requests are served after the crowd has left: {served}"));
    fleet.end();
    if most > EXCUSED {
        End::Broken
    } else {
        End::Held
    }
}
