//! Many callers of two machines ask for long answers and read them slowly.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Plan};
use crate::http;
use crate::record::Record;
use crate::End;

/// Memory of a machine in MiB, and its descriptors and link, as in the site file.
const MEMORY_MB: usize = 260;
const FDS: usize = 4100;
const LINK_MBPS: f64 = 1000.0;
/// Targets of the archive and of the other service, as in the site file.
const ARCHIVES: usize = 4;
const PLANNING: usize = 3;
/// Machines with callers, of seven.
const MACHINES: usize = 2;
/// Work on a long answer. It bounds the rate at which these arrive at a machine: the 48 slots make 240 MB/s
/// at most, and the links of two machines carry 250.
const ARCHIVE_MS: u64 = 800;
/// Callers of long answers at each of these machines, and the size of an answer.
const CALLERS: usize = 300;
const BYTES: usize = 4 << 20;
/// What such a caller reads at a time, and the pause after it.
const PIECE: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(50);
/// Pause of a caller that was refused.
const RETRY: Duration = Duration::from_millis(500);
/// Ends of its process after which a machine counts. Both have to.
const ENDS: u32 = 3;
/// Longest time for which the callers stay.
const LIMIT: Duration = Duration::from_secs(75);
/// Time for which the same callers read without pauses, without the disruption.
const CALM: Duration = Duration::from_secs(20);
/// Pause before a process that was killed is started again.
const RESTART: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],"rows":[["read","books.example","/get/","unsafe",2.0,0.3,1,null,2,"planning"],["archive","books.example","/archive/","safe",5.0,0.8,2,null,2,"archief"]]},"services":{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],"rows":[["planning","/healthz",130,"h1",false,3.0,16.0,null,null,null],["archief","/healthz",130,"h1",false,3.0,16.0,null,null,null]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

fn ordinary(id: &str) -> String {
    format!("GET /get/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\n\r\n")
}

fn long(id: &str) -> String {
    format!("GET /archive/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\nX-Body-Bytes: {BYTES}\r\n\r\n")
}

/// Counts of the long answers.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    begun: AtomicUsize,
    whole: AtomicUsize,
    /// Requests on kept connections that ended before the answer.
    cut: Mutex<Vec<String>>,
}

/// Sends requests one after the other over a connection that is kept: an ordinary one, then others for
/// long answers, which it reads piece by piece.
fn caller(
    record: &Record,
    ended: &AtomicBool,
    counts: &Counts,
    addr: SocketAddr,
    name: &str,
    pause: Duration,
) {
    let mut kept: Option<TcpStream> = None;
    let mut round = 0;
    while !ended.load(Ordering::Relaxed) {
        round += 1;
        let Some(stream) = &mut kept else {
            kept = connect(addr, &format!("o-{name}-{round}"));
            if kept.is_none() {
                thread::sleep(RETRY);
            }
            continue;
        };
        let id = format!("l-{name}-{round}");
        record.line(&format!("caller sends {id} on a kept connection"));
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let end = read_slowly(stream, &id, ended, counts, pause);
        record.line(&format!("caller of {id}: {end:?}"));
        match end {
            Got::Whole => {}
            Got::Refused | Got::Part => {
                kept = None;
                thread::sleep(RETRY);
            }
            Got::Nothing => {
                counts.cut.lock().unwrap().push(id);
                kept = None;
                thread::sleep(RETRY);
            }
        }
    }
}

/// Connects, and returns the connection once an ordinary request was answered over it.
fn connect(addr: SocketAddr, id: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    stream.write_all(ordinary(id).as_bytes()).ok()?;
    let answer = http::read(&mut BufReader::new(stream.try_clone().ok()?)).ok()??;
    (answer.status() == 200 && answer.header("connection").is_none()).then_some(stream)
}

/// What a caller of a long answer got.
#[derive(Debug)]
enum Got {
    Whole,
    Refused,
    /// The connection ended, or the caller left, before the end of the answer.
    Part,
    /// The connection ended before the answer.
    Nothing,
}

fn read_slowly(
    stream: &mut TcpStream,
    id: &str,
    ended: &AtomicBool,
    counts: &Counts,
    pause: Duration,
) -> Got {
    if stream.write_all(long(id).as_bytes()).is_err() {
        return Got::Part;
    }
    let mut piece = vec![0; PIECE];
    // What is left to read; unknown until the head has been read.
    let (mut head, mut left) = (Vec::new(), None);
    while left != Some(0) {
        let size = match stream.read(&mut piece) {
            Ok(size) if size > 0 => size,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Got::Part,
            _ if head.is_empty() => return Got::Nothing,
            _ => return Got::Part,
        };
        if let Some(left) = &mut left {
            *left -= size;
        } else {
            head.extend_from_slice(&piece[..size]);
            if !b"HTTP/1.1 200".starts_with(&head[..head.len().min(12)]) {
                return Got::Refused;
            }
            let end = head.windows(4).position(|w| w == b"\r\n\r\n");
            left = end.map(|end| BYTES + end + 4 - head.len());
            if left.is_some() {
                counts.begun.fetch_add(1, Ordering::Relaxed);
            }
        }
        if ended.load(Ordering::Relaxed) {
            return Got::Part;
        }
        thread::sleep(pause);
    }
    counts.whole.fetch_add(1, Ordering::Relaxed);
    Got::Whole
}

pub fn long_answers(record: &Arc<Record>, trouble: bool) -> End {
    let plan = |service, work| Plan {
        service,
        sharded: false,
        slots: 12,
        work: Duration::from_millis(work),
    };
    let mut plans: Vec<Plan> = (0..PLANNING).map(|_| plan("planning", 96)).collect();
    plans.extend((0..ARCHIVES).map(|_| plan("archief", ARCHIVE_MS)));
    let settings = format!(
        "self.limits.memory-mb={MEMORY_MB}\nself.limits.max-fds={FDS}\n\
         self.limits.link-mbps={LINK_MBPS:.1}\n"
    );
    let mut fleet = Fleet::start(&plans, CONFIG, &settings, record.clone());
    let small = |id: &str| long(id).replace(&BYTES.to_string(), "100");
    let limit = Duration::from_secs(15);
    let served = |fleet: &Fleet| {
        (0..MACHINES)
            .all(|i| fleet.until_served(i, ordinary, limit) && fleet.until_served(i, small, limit))
    };
    if !served(&fleet) {
        record.note("not every request was served at first");
        return End::Failed;
    }
    let ended = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut threads = Vec::new();
    let pause = if trouble { PAUSE } else { Duration::ZERO };
    for (i, host) in fleet.hosts.iter().take(MACHINES).enumerate() {
        let addr = host.outbound();
        for number in 0..CALLERS {
            let (r, e, c) = (record.clone(), ended.clone(), counts.clone());
            let spawned = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                caller(&r, &e, &c, addr, &format!("{i}-{number}"), pause);
            });
            threads.extend(spawned);
        }
    }
    let began = Instant::now();
    let (mut ends, mut peak) = ([0; MACHINES], [0; MACHINES]);
    let stay = if trouble { LIMIT } else { CALM };
    while began.elapsed() < stay && ends.iter().any(|e| *e < ENDS) {
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
        thread::sleep(Duration::from_millis(5));
    }
    let took = began.elapsed().as_secs_f64();
    ended.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let of = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    record.note(&format!("in {took:.1} s: resident memory at most {peak:?} KiB; ends by themselves {ends:?}; {} requests for long answers were sent, {} were read whole, {} began to be", of(&counts.sent), of(&counts.whole), of(&counts.begun)));
    let cut = counts.cut.lock().unwrap().clone();
    let begun = |id: &&String| fleet.hosts.iter().flat_map(|h| &h.server).any(|s| s.has_begun(id));
    let lost: Vec<&String> = cut.iter().filter(begun).collect();
    let at = |i| lost.iter().filter(|id| id.starts_with(&format!("l-{i}-"))).count();
    let at: Vec<usize> = (0..MACHINES).map(at).collect();
    record.note(&format!("requests that a machine passed on from a kept connection, which ended without a byte of an answer: {at:?}"));
    record.note(&format!("requests are served after the callers have left: {}", served(&fleet)));
    fleet.end();
    if ends.iter().all(|e| *e >= ENDS) {
        End::Broken
    } else {
        End::Held
    }
}
