//! Requesters send large bodies and leave before their time limit. The platform ends processes that exceed
//! their memory.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::machine::Machine;
use crate::moving_readers::{ALLOWED, BOOKERS, PERIOD, WORK, book};
use crate::record::Record;
use crate::target::{Config, Target};
use crate::{Result, Setting, Verdict};

const SERVICE: &str = "certificaat";
const OTHER: &str = "planning";
/// `memory-mb` of the machines.
const MEMORY_MB: u64 = 260;
/// Size of a large body, and the limit that the operator sets.
const BODY_BYTES: usize = 2_200_000;
const BODY_LIMIT: usize = 4 << 20;
/// Requesters that send large bodies, one at a time each.
const UPLOADERS: usize = 2;
/// How often these leave early, for how long, and the pause after it.
const EPISODES: usize = 5;
const EPISODE: Duration = Duration::from_millis(5000);
const CALM: Duration = Duration::from_millis(4000);
/// Time limit of their requests, and half of the latency objective, after which they leave.
const LIMIT: Duration = Duration::from_secs(3);
const LEAVES: Duration = Duration::from_millis(250);
/// Work of the target for each of them.
const UPLOAD_WORK: Duration = Duration::from_millis(500);

pub fn run(setting: &Setting) -> Result<Verdict> {
    let Setting { record, store, folder, base, trouble } = setting;
    let zones = ["rdam-a", "dordt-b", "delft-c"];
    let mut machines: Vec<Machine> = (0..4)
        .map(|i| {
            let service = if i == 0 { SERVICE } else { OTHER };
            Machine::new(i as u8, *base, zones[i % 3], service, folder)
        })
        .collect();
    machines.iter_mut().for_each(|machine| machine.memory_mb = MEMORY_MB);
    store.publish("config", &configuration());
    crate::start(&mut machines, record)?;
    for machine in &machines {
        let config = Config {
            id: format!("i-{}", machine.name),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            slots: 12,
            work: if machine.service == SERVICE { UPLOAD_WORK } else { WORK },
            answer_bytes: 200,
            addr: machine.app(),
            control: machine.control(),
            first_report: None,
        };
        Target::start(config, record.clone()).map_err(|e| e.to_string())?;
    }
    std::thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let addr = machines[0].outbound();
    for i in 0..BOOKERS {
        let (record, ended, unanswered) = (record.clone(), ended.clone(), unanswered.clone());
        std::thread::spawn(move || {
            // The requesters are not in step.
            std::thread::sleep(PERIOD / BOOKERS as u32 * i as u32);
            book(i, addr, &record, &ended, &unanswered);
        });
    }
    let uploaders: Vec<_> = (0..UPLOADERS)
        .map(|i| {
            let (record, trouble) = (record.clone(), *trouble);
            std::thread::spawn(move || upload_all(i, addr, trouble, &record))
        })
        .collect();
    let (mut most, mut ends, mut reported) = (0, 0, Instant::now());
    while uploaders.iter().any(|u| !u.is_finished()) && ends == 0 {
        let used = machines[0].used_memory_mb();
        most = most.max(used);
        if reported.elapsed() > Duration::from_secs(3) {
            record.say(&format!("the node beside the target uses {used} MB"));
            reported = Instant::now();
        }
        if used > MEMORY_MB {
            record.say(&format!("it uses {used} MB, more than {MEMORY_MB}: the platform ends it"));
            machines[0].kill_node();
            ends += 1;
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

/// Sends large bodies, one after the other, in several episodes.
fn upload_all(uploader: usize, addr: SocketAddr, leave: bool, record: &Record) {
    let mut count = 0;
    for episode in 0..EPISODES {
        if leave && uploader == 0 {
            record.say(&format!("episode {episode}: two of ten requesters leave early"));
        }
        let began = Instant::now();
        while began.elapsed() < EPISODE {
            count += 1;
            upload(&format!("large-{uploader}-{count}"), addr, leave, record);
        }
        std::thread::sleep(CALM);
    }
}

/// Sends one large body. With `leave` the requester closes its connection before the answer.
fn upload(id: &str, addr: SocketAddr, leave: bool, record: &Record) {
    let limit = LIMIT.as_millis().to_string();
    let headers = [("host", "cert.example"), ("x-request-id", id), ("x-deadline-ms", &limit)];
    record.write(&format!("sent {id}"));
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return std::thread::sleep(LEAVES);
    };
    let patience = if leave { LEAVES } else { LIMIT };
    let _ = stream.set_read_timeout(Some(patience));
    let request = http::request("POST", "/cert/issue", &headers, &vec![b'u'; BODY_BYTES]);
    if http::write(&mut stream, &request).is_err() {
        return record.write(&format!("failed {id}"));
    }
    match http::read(&mut stream, &mut Vec::new()) {
        Ok(Some(answer)) => record.write(&format!("answered {id} {}", answer.status())),
        Ok(None) => record.write(&format!("closed without an answer {id}")),
        Err(_) => record.write(&format!("the requester of {id} leaves")),
    }
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":{{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","attempts","service"],"rows":[["visit-book","visits.example","/visit/","unsafe",2.0,0.6,2,2,"{OTHER}"],["cert-issue","cert.example","/cert/","unsafe",3.0,0.5,2,2,"{SERVICE}"]]}},"services":{{"columns":["name","health-path","max-connections","cold-start-s","cold-per-s"],"rows":[["{SERVICE}","/healthz",130,3.0,16.0],["{OTHER}","/healthz",130,3.0,16.0]]}},"limits":{{"max-header-bytes":8192,"max-body-bytes":{BODY_LIMIT},"header-timeout-s":2.0,"idle-timeout-s":10.0}}}}"#
    )
}
