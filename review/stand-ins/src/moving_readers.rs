//! Requesters read large answers of one target, each on another machine than the one before. The
//! platform ends processes that exceed their memory.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::machine::Machine;
use crate::record::Record;
use crate::slow_reader::read_slowly;
use crate::target::{Config, Target};
use crate::{Result, Setting, Verdict};

const SERVICE: &str = "archief";
const OTHER: &str = "planning";
/// Machines whose requesters read.
const READERS: usize = 11;
/// `memory-mb` and `link-mbps` of the machines.
const MEMORY_MB: u64 = 160;
const LINK_MBPS: u32 = 20;
const ANSWER_BYTES: usize = 16_000_000;
/// Time limit of the requests for large answers.
const LIMIT: Duration = Duration::from_secs(12);
/// Requesters on the machine of the target, each with a kept connection.
pub const BOOKERS: usize = 8;
/// Work of each of their requests, the pause after it, and both together.
pub const WORK: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(50);
pub const PERIOD: Duration = Duration::from_millis(650);
/// Time until the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// More requests than this without an answer break the rule.
pub const ALLOWED: usize = 3;

pub fn run(setting: &Setting) -> Result<Verdict> {
    let Setting { record, store, folder, base, trouble } = setting;
    let zones = ["rdam-a", "dordt-b", "delft-c"];
    let mut machines: Vec<Machine> = (0..=READERS)
        .map(|i| {
            let service = if i == 0 { SERVICE } else { OTHER };
            Machine::new(i as u8, *base, zones[i % 3], service, folder)
        })
        .collect();
    for machine in &mut machines {
        (machine.memory_mb, machine.link_mbps) = (MEMORY_MB, LINK_MBPS);
    }
    store.publish("config", &configuration());
    crate::start(&mut machines, record)?;
    for machine in &machines {
        let large = machine.service == SERVICE;
        let config = Config {
            id: format!("i-{}", machine.name),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            slots: 9,
            work: if large { Duration::from_millis(300) } else { WORK },
            answer_bytes: if large { ANSWER_BYTES } else { 200 },
            addr: machine.app(),
            control: machine.control(),
            first_report: None,
        };
        Target::start(config, record.clone()).map_err(|e| e.to_string())?;
    }
    std::thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let addrs: Vec<SocketAddr> = machines.iter().map(Machine::outbound).collect();
    for i in 0..BOOKERS {
        let (record, ended, unanswered) = (record.clone(), ended.clone(), unanswered.clone());
        let addr = addrs[0];
        std::thread::spawn(move || {
            // The requesters are not in step.
            std::thread::sleep(PERIOD / BOOKERS as u32 * i as u32);
            book(i, addr, &record, &ended, &unanswered);
        });
    }
    let reading = std::thread::spawn({
        let (record, trouble) = (record.clone(), *trouble);
        move || {
            for i in 1..=READERS {
                let addr = if trouble { addrs[i] } else { addrs[1] };
                read(i, addr, &record);
            }
        }
    });
    let mut most = 0;
    let mut ends = 0;
    let mut reported = Instant::now();
    while !reading.is_finished() && ends == 0 {
        let used = machines[0].used_memory_mb();
        most = most.max(used);
        if reported.elapsed() > Duration::from_secs(5) {
            record.say(&format!("the node beside the target uses {used} MB"));
            reported = Instant::now();
        }
        if used > MEMORY_MB {
            record.say(&format!("it uses {used} MB, more than {MEMORY_MB}: the platform ends it"));
            machines[0].kill_node();
            ends += 1;
            std::thread::sleep(RESTART);
            machines[0].start_node(false).map_err(|e| e.to_string())?;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(1500));
    let runs = record.runs();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter().filter(|id| runs.iter().any(|run| run.request == **id)).count();
    record.say(&format!("most memory: {most} MB; ends for memory: {ends}; closed without an answer after they had been passed on: {lost}"));
    if ends > 0 && lost > ALLOWED {
        return Ok(Verdict::Broken(format!(
            "LOST: {lost} requests from kept connections were passed on to sound targets, and their connections ended without an answer, because the process used more than {MEMORY_MB} MB"
        )));
    }
    Ok(Verdict::Held)
}

/// Reads one large answer with the bandwidth of the machine.
fn read(number: usize, addr: SocketAddr, record: &Arc<Record>) {
    let id = format!("large-{number}");
    let limit = LIMIT.as_millis().to_string();
    let headers =
        [("host", "archive.example"), ("x-request-id", &*id), ("x-deadline-ms", limit.as_str())];
    record.say(&format!("sent {id} to {}", addr.ip()));
    let Ok(mut stream) = TcpStream::connect(addr) else { return };
    let _ = stream.set_read_timeout(Some(LIMIT));
    let request = http::request("GET", "/archive/1", &headers, b"");
    if http::write(&mut stream, &request).is_ok() {
        let read = read_slowly(&mut stream, LINK_MBPS, record);
        record
            .say(&format!("answered {id} {}: {} of {} bytes", read.status, read.body, read.stated));
    }
}

/// Sends requests over a kept connection, one after the other.
pub fn book(
    number: usize,
    addr: SocketAddr,
    record: &Record,
    ended: &AtomicBool,
    unanswered: &Mutex<Vec<String>>,
) {
    let mut kept: Option<TcpStream> = None;
    let mut count = 0;
    while !ended.load(Ordering::SeqCst) {
        let reused = kept.is_some();
        let opened = kept.take().or_else(|| TcpStream::connect(addr).ok());
        let Some(mut stream) = opened else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(2500)));
        count += 1;
        let id = format!("b{number}-{count}");
        let headers =
            [("host", "visits.example"), ("x-request-id", &*id), ("x-deadline-ms", "2000")];
        let request = http::request("POST", "/visit/book", &headers, b"visit");
        record.write(&format!("sent {id}"));
        let exchanged = http::write(&mut stream, &request);
        match exchanged.and_then(|()| http::read(&mut stream, &mut Vec::new())) {
            Ok(Some(answer)) => {
                record.write(&format!("answered {id} {}", answer.status()));
                if answer.header("connection") != Some("close") {
                    kept = Some(stream);
                }
            }
            Ok(None) | Err(_) => {
                record.write(&format!("closed without an answer {id}, kept: {reused}"));
                if reused {
                    unanswered.lock().unwrap().push(id);
                }
            }
        }
        std::thread::sleep(PAUSE);
    }
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":{{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","attempts","service"],"rows":[["visit-book","visits.example","/visit/","unsafe",2.0,0.6,2,2,"{OTHER}"],["archive-read","archive.example","/archive/","safe",12.0,2.0,2,2,"{SERVICE}"]]}},"services":{{"columns":["name","health-path","max-connections","cold-start-s","cold-per-s"],"rows":[["{SERVICE}","/healthz",1200,3.0,16.0],["{OTHER}","/healthz",1200,3.0,16.0]]}},"limits":{{"max-header-bytes":8192,"max-body-bytes":33554432,"header-timeout-s":2.0,"idle-timeout-s":10.0}}}}"#
    )
}
