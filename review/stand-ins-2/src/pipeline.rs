//! LOST: a node is told to stop while requesters that send further requests ahead wait for a download.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Call, SIGTERM, Service, Site};
use crate::http::{Conn, End};
use crate::record::Record;
use crate::target::body_of;
use crate::{Verdict, start, trouble};

const SITE: Site = Site {
    grace_s: 6.0,
    drain_s: 2.5,
    ack_s: 5.0,
    config_apply_s: 2.5,
    memory_mb: 512,
    link_mbps: 200.0,
    zones: ["sjever-1", "sjever-2", "sjever-3"],
    region: "hr-sjever",
};
const PORTAL: Service = Service {
    name: "tlak-portal",
    hosts: 2,
    slots: 12,
    sharded: true,
    kind: "safe",
    timeout_s: 5.0,
    aim_s: 0.8,
};
const DOWNLOADS: Service = Service {
    name: "teren-servis",
    hosts: 3,
    slots: 12,
    sharded: false,
    kind: "download",
    timeout_s: 6.0,
    aim_s: 2.0,
};
/// Size of a download, in bytes: no more than the largest of the site.
const SIZE: usize = 540_000;
/// Requesters that send further requests ahead, and others on the same machine that don't.
const AHEAD: usize = 4;
const ALONE: usize = 2;
const REQUESTERS: usize = AHEAD + ALONE;

/// What a requester saw of its download.
struct Seen {
    id: String,
    answer: Result<(u16, bool, bool), End>,
}

pub fn run(record: &Arc<Record>) -> Verdict {
    let services = [PORTAL, DOWNLOADS];
    let fleet = match start(record, &services, SITE) {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    // Machines are in touch after contact-s without disruption.
    thread::sleep(Duration::from_secs(4));
    let host = &fleet.hosts[0];
    let addr = fleet.callers(host);
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || requester(i, addr, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    if trouble() {
        record.line(&format!("SIGTERM to {}", host.name));
        host.signal(SIGTERM);
    }
    let seen: Vec<Seen> = requesters.into_iter().filter_map(|r| r.join().ok()).collect();
    thread::sleep(Duration::from_millis(200));
    let runs = fleet.history.runs.lock().unwrap().clone();
    let mut lost = Vec::new();
    let mut whole = 0;
    for Seen { id, answer } in &seen {
        let ran = runs.iter().any(|r| r.request == *id && r.ended.is_some());
        match answer {
            Ok((200, true, _)) => whole += 1,
            Ok((status, ..)) => record.line(&format!("{id} was answered with {status}")),
            Err(end) if ran => lost.push(format!("{id}: {end:?}")),
            Err(end) => record.line(&format!("{id} did not run: {end:?}")),
        }
    }
    if !lost.is_empty() {
        return Verdict::Broken(format!(
            "{} of {REQUESTERS} downloads ran, and their connections ended without a whole answer: {}",
            lost.len(),
            lost.join("; ")
        ));
    }
    if whole < REQUESTERS {
        return Verdict::NotRun(format!("{whole} of {REQUESTERS} downloads were answered"));
    }
    Verdict::Held(format!("{whole} of {REQUESTERS} downloads were answered whole"))
}

/// Requests a download, and unless it is alone two further safe requests before it is answered.
fn requester(i: usize, addr: std::net::SocketAddr, record: &Record) -> Seen {
    let kind = if i < AHEAD { "ahead" } else { "alone" };
    let id = format!("download-{i}-{kind}");
    let download = Call::new(&DOWNLOADS, &id).work_ms(600).size(SIZE);
    let second = Call::new(&PORTAL, &format!("second-{i}")).key(1000 * i as u16);
    let third = Call::new(&PORTAL, &format!("third-{i}")).key(1000 * i as u16 + 500);
    let failed = |end| Seen { id: id.clone(), answer: Err(end) };
    let Ok(mut conn) = Conn::open(addr, Duration::from_secs(1)) else { return failed(End::Closed) };
    let calls = if i < AHEAD { vec![&download, &second, &third] } else { vec![&download] };
    for call in calls {
        record.line(&format!("{} sent over the connection of requester {i}", call.id));
        if conn.write(&call.encode()).is_err() {
            return failed(End::Closed);
        }
        thread::sleep(Duration::from_millis(60));
    }
    let until = Instant::now() + Duration::from_secs(7);
    match conn.read(Some(until)) {
        Ok(reply) => {
            let closes = reply.header("connection").is_some_and(|v| v == "close");
            let whole = reply.body == body_of(&id, SIZE);
            record.line(&format!(
                "{id} answered with {}, {} bytes, whole {whole}, the connection closes {closes}",
                reply.status(),
                reply.body.len()
            ));
            Seen { id, answer: Ok((reply.status(), whole, closes)) }
        }
        Err(end) => {
            record.line(&format!("{id}: the connection ended without a whole answer: {end:?}"));
            failed(end)
        }
    }
}
