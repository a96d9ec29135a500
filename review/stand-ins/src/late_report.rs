//! A target deregisters and is acknowledged. The node beside it is killed and started again, and the
//! target's first report, which it had sent before, arrives late.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::http;
use crate::machine::Machine;
use crate::record::Record;
use crate::target::{Config, Target};
use crate::{Result, Setting, Verdict};

const SERVICE: &str = "planning";
const OTHER: &str = "archief";
/// Time that the report is on its way.
const LATENESS: Duration = Duration::from_secs(7);
/// Time from the start of the target until it leaves.
const LIFE: Duration = Duration::from_millis(3200);
/// `drain-s`, `contact-s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which the target goes on serving after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(4400);
const WORK: Duration = Duration::from_millis(500);
/// Requesters on each machine.
const REQUESTERS: usize = 2;
/// Pause between two requests of one requester.
const PAUSE: Duration = Duration::from_millis(120);

pub fn run(setting: &Setting) -> Result<Verdict> {
    let Setting { record, store, folder, base, trouble } = setting;
    let zones = ["rdam-a", "dordt-b", "delft-c"];
    let machine = |i: usize, service| Machine::new(i as u8, *base, zones[i % 3], service, folder);
    let mut machines: Vec<Machine> =
        (0..6).map(|i| machine(i, if i < 3 { SERVICE } else { OTHER })).collect();
    store.publish("config", &configuration());
    crate::start(&mut machines, record)?;
    let start_target = |machine: &Machine, first_report| {
        let config = Config {
            id: format!("i-{}", machine.name),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            slots: 12,
            work: WORK,
            answer_bytes: 200,
            addr: machine.app(),
            control: machine.control(),
            first_report,
        };
        Target::start(config, record.clone()).map_err(|e| e.to_string())
    };
    for machine in &machines[1..] {
        start_target(machine, None)?;
    }
    std::thread::sleep(Duration::from_secs(3));
    let ended = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let addrs: Vec<SocketAddr> = machines.iter().map(Machine::outbound).collect();
    for (i, addr) in addrs.iter().flat_map(|addr| [addr; REQUESTERS]).enumerate() {
        let (record, ended, lost, addr) = (record.clone(), ended.clone(), lost.clone(), *addr);
        std::thread::spawn(move || request_on(i, addr, &record, &ended, &lost));
    }
    std::thread::sleep(Duration::from_secs(4));

    // A target starts. Its first report is on its way for long.
    let slow = match trouble {
        true => Some(delaying_proxy(*base, machines[0].control(), LATENESS, record.clone())?),
        false => None,
    };
    record.say("the target starts");
    let leaver = start_target(&machines[0], slow)?;
    std::thread::sleep(LIFE);
    if !record.runs().iter().any(|run| run.target == leaver.config.id) {
        return Err("the target that is to leave got no request".to_owned());
    }
    if !leaver.leave() {
        return Err("the target's leaving was not acknowledged".to_owned());
    }
    let acknowledged = record.now();
    record.say("the target has deregistered, and the node has acknowledged it");
    let mut in_touch = acknowledged;
    if *trouble {
        std::thread::sleep(Duration::from_millis(200));
        machines[0].kill_node();
        record.say("the node beside the target is killed");
        std::thread::sleep(Duration::from_millis(300));
        machines[0].start_node(false).map_err(|e| e.to_string())?;
        record.say("the node is started again");
        in_touch = record.now() + CONTACT;
    }
    let ends = acknowledged + SERVES_ON;
    std::thread::sleep(ends.saturating_sub(record.now()));
    let lost_before = lost.load(Ordering::SeqCst);
    leaver.end();
    record.say("the target ends");
    std::thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(500));
    let lost = lost.load(Ordering::SeqCst) - lost_before;
    let from = (acknowledged + DRAIN).max(in_touch);
    let late: Vec<_> = record
        .runs()
        .into_iter()
        .filter(|run| run.target == leaver.config.id && run.at > from && run.at < ends)
        .collect();
    record.say(&format!("counted from {:.3} s on", from.as_secs_f64()));
    if late.is_empty() {
        return Ok(Verdict::Held);
    }
    let since = |at: Duration| (at - acknowledged).as_secs_f64();
    Ok(Verdict::Broken(format!(
        "DRAIN: {} requests reached the target {:.1} to {:.1} s after its leaving was acknowledged, and {lost} requests that had been accepted got no answer of a target when it ended",
        late.len(),
        since(late[0].at),
        since(late[late.len() - 1].at),
    )))
}

/// Sends requests of one requester, one after the other.
fn request_on(
    number: usize,
    addr: SocketAddr,
    record: &Record,
    ended: &AtomicBool,
    lost: &AtomicU64,
) {
    let mut count = 0;
    while !ended.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("r{number}-{count}");
        let headers =
            [("host", "visits.example"), ("x-request-id", &*id), ("x-deadline-ms", "2000")];
        let request = http::request("POST", "/visit/book", &headers, b"visit");
        record.write(&format!("sent {id}"));
        match http::call(addr, &request, Duration::from_millis(2500)) {
            Ok(answer) => {
                record.write(&format!("answered {id} {}", answer.status()));
                if matches!(answer.status(), 502 | 504) {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            }
            Err(e) => {
                record.write(&format!("unanswered {id}: {e}"));
                lost.fetch_add(1, Ordering::SeqCst);
            }
        }
        std::thread::sleep(PAUSE);
    }
}

/// A proxy that takes one connection and passes its bytes on late.
fn delaying_proxy(
    base: std::net::Ipv4Addr,
    to: SocketAddr,
    delay: Duration,
    record: Arc<Record>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind((base, 0)).map_err(|e| e.to_string())?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    std::thread::spawn(move || {
        let Ok((mut from, _)) = listener.accept() else { return };
        let Ok(Some(message)) = http::read(&mut from, &mut Vec::new()) else { return };
        std::thread::sleep(delay);
        if let Ok(mut onward) = TcpStream::connect(to) {
            let _ = http::write(&mut onward, &message);
            let answer = http::read(&mut onward, &mut Vec::new());
            let status = answer.ok().flatten().map_or(0, |a| a.status());
            record.say(&format!("the late report has arrived: answered {status}"));
        }
    });
    Ok(addr)
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":{{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","attempts","service"],"rows":[["visit-book","visits.example","/visit/","unsafe",2.0,0.6,2,2,"{SERVICE}"],["archive-read","archive.example","/archive/","safe",5.0,0.8,2,2,"{OTHER}"]]}},"services":{{"columns":["name","health-path","max-connections","cold-start-s","cold-per-s"],"rows":[["{SERVICE}","/healthz",130,3.0,16.0],["{OTHER}","/healthz",130,3.0,16.0]]}},"limits":{{"max-header-bytes":8192,"max-body-bytes":1048576,"header-timeout-s":2.0,"idle-timeout-s":10.0}}}}"#
    )
}
