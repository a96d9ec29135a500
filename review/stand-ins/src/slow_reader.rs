//! A requester reads a large answer over a slow link while its node is stopped.

use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::machine::Machine;
use crate::target::{Config, Target};
use crate::{Result, Setting, Verdict};

const SERVICE: &str = "archief";
/// Bandwidth of the requester's link.
const LINK_MBPS: u32 = 40;
const ANSWER_BYTES: usize = 20_000_000;
const WORK: Duration = Duration::from_millis(300);
/// Time from the sending of the request until the node gets SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(500);
const GRACE: Duration = Duration::from_secs(6);
/// Time limit of the request, and of its route.
const LIMIT: Duration = Duration::from_secs(5);

pub fn run(setting: &Setting) -> Result<Verdict> {
    let Setting { record, store, folder, base, trouble } = setting;
    let zones = ["rdam-a", "dordt-b", "delft-c"];
    let mut machines: Vec<Machine> =
        (0..3).map(|i| Machine::new(i as u8, *base, zones[i], SERVICE, folder)).collect();
    machines.iter_mut().for_each(|machine| machine.link_mbps = LINK_MBPS);
    store.publish("config", &configuration());
    crate::start(&mut machines, record)?;
    for machine in &machines {
        let config = Config {
            id: format!("i-{}", machine.name),
            service: SERVICE.to_owned(),
            zone: machine.zone.clone(),
            slots: 12,
            work: WORK,
            answer_bytes: ANSWER_BYTES,
            addr: machine.app(),
            control: machine.control(),
            first_report: None,
        };
        Target::start(config, record.clone()).map_err(|e| e.to_string())?;
    }
    std::thread::sleep(Duration::from_secs(5));

    let text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect(machines[0].outbound()).map_err(text)?;
    stream.set_read_timeout(Some(LIMIT)).map_err(text)?;
    let limit = LIMIT.as_millis().to_string();
    let headers =
        [("host", "archive.example"), ("x-request-id", "r1"), ("x-deadline-ms", limit.as_str())];
    record.say("sent r1");
    let sent = Instant::now();
    http::write(&mut stream, &http::request("GET", "/archive/1", &headers, b"")).map_err(text)?;
    let reader = std::thread::spawn({
        let record = record.clone();
        move || read_slowly(&mut stream, LINK_MBPS, &record)
    });
    std::thread::sleep(STOP_AFTER.saturating_sub(sent.elapsed()));
    if reader.is_finished() {
        return Err("the answer was read too soon".to_owned());
    }
    let stopped = Instant::now();
    if *trouble {
        machines[0].signal("TERM");
        record.say("the requester's node gets SIGTERM");
        while !machines[0].has_ended() && stopped.elapsed() < GRACE {
            std::thread::sleep(Duration::from_millis(10));
        }
        let ended = stopped.elapsed();
        record.say(&format!("the node has ended {:.2} s after SIGTERM", ended.as_secs_f64()));
        if ended >= GRACE {
            machines[0].kill_node();
        }
    }
    let read = reader.join().map_err(|_| "the reader failed".to_owned())?;
    let took = sent.elapsed();
    let outcome = format!(
        "{} of {} bytes of the body, {:.2} s after the request was sent",
        read.body,
        read.stated,
        took.as_secs_f64()
    );
    record.say(&format!("answered r1 {}: {outcome}", read.status));
    if read.status != 200 || read.stated != ANSWER_BYTES {
        return Err(format!("not the expected answer: {}", read.status));
    }
    if read.body == read.stated {
        return Ok(Verdict::Held);
    }
    let runs = record.runs();
    if took >= LIMIT || runs.is_empty() {
        return Err("the time limit was reached, or the request has not run".to_owned());
    }
    Ok(Verdict::Broken(format!(
        "LOST: the connection ended without the complete answer: {outcome}"
    )))
}

/// How much of an answer has arrived.
pub struct Arrived {
    pub status: u16,
    pub stated: usize,
    pub body: usize,
}

/// Reads an answer with the bandwidth of the link.
pub fn read_slowly(
    stream: &mut TcpStream,
    mbps: u32,
    record: &Arc<crate::record::Record>,
) -> Arrived {
    let rate = f64::from(mbps) * 1e6 / 8.0;
    let mut chunk = vec![0; 16 << 10];
    let (mut head, mut total, mut size) = (Vec::new(), 0_usize, None);
    let mut began = None;
    let mut found = Arrived { status: 0, stated: 0, body: 0 };
    loop {
        let read = match stream.read(&mut chunk) {
            Ok(0) => {
                record.say("the connection was closed");
                break;
            }
            Ok(read) => read,
            Err(e) => {
                record.say(&format!("the connection failed: {e}"));
                break;
            }
        };
        let began = *began.get_or_insert_with(Instant::now);
        total += read;
        if size.is_none() {
            head.extend_from_slice(&chunk[..read]);
            if let Some(at) = head.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&head[..at]).to_ascii_lowercase();
                let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
                found.stated = length.and_then(|v| v.trim().parse().ok()).unwrap_or(0);
                found.status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                size = Some(at + 4);
            }
        }
        found.body = size.map_or(0, |head| total - head);
        if size.is_some() && found.body >= found.stated {
            break;
        }
        let due = Duration::from_secs_f64(total as f64 / rate);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
    }
    found
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":{{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","attempts","service"],"rows":[["archive-read","archive.example","/archive/","safe",5.0,0.8,2,2,"{SERVICE}"]]}},"services":{{"columns":["name","health-path","max-connections","cold-start-s","cold-per-s"],"rows":[["{SERVICE}","/healthz",420,3.0,16.0]]}},"limits":{{"max-header-bytes":8192,"max-body-bytes":33554432,"header-timeout-s":2.0,"idle-timeout-s":10.0}}}}"#
    )
}
