//! REFUSED: a target sends additional bytes after a complete answer, late.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Call, Service, Site};
use crate::record::Record;
use crate::target::Extra;
use crate::{Verdict, start, trouble};

const SITE: Site = Site {
    grace_s: 6.0,
    drain_s: 2.0,
    ack_s: 4.0,
    config_apply_s: 2.0,
    memory_mb: 260,
    link_mbps: 1000.0,
    zones: ["rdam-a", "dordt-b", "delft-c"],
    region: "nl-west",
};
const HISTORIE: Service = Service {
    name: "historie",
    hosts: 2,
    slots: 12,
    sharded: true,
    kind: "safe",
    timeout_s: 2.5,
    aim_s: 0.4,
};
const CERTIFICAAT: Service = Service {
    name: "certificaat",
    hosts: 2,
    slots: 12,
    sharded: false,
    kind: "unsafe",
    timeout_s: 3.0,
    aim_s: 0.5,
};
/// Requests that a requester sends one after the other.
const REQUESTS: usize = 200;
/// The bytes come after one answer in so many, at the most.
const EVERY: u64 = 40;

pub fn run(record: &Arc<Record>) -> Verdict {
    let services = [HISTORIE, CERTIFICAAT];
    let fleet = match start(record, &services, SITE) {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    thread::sleep(Duration::from_secs(4));
    let Some(host) = fleet.hosts.iter().find(|h| h.service.name == CERTIFICAAT.name) else {
        return Verdict::NotRun("no such target".into());
    };
    let target = host.target.clone();
    let mut refused = Vec::new();
    let mut due = target.requests() + EVERY;
    for number in 1..=REQUESTS {
        if trouble() && target.requests() >= due - 1 {
            target.set_extra(Extra::RefusalBefore(target.requests() + 1));
            due = target.requests() + EVERY;
        }
        let call = Call::new(&CERTIFICAAT, &format!("issue-{number}")).work_ms(20);
        let status = fleet.call(host, &call).map_or(0, |r| r.status());
        if status != 200 {
            record.line(&format!("{} answered: {status}", call.id));
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            refused.push((call.id, status));
        }
    }
    thread::sleep(Duration::from_millis(500));
    let runs = fleet.history.runs.lock().unwrap().clone();
    let mut broken = Vec::new();
    for (id, status) in &refused {
        if let Some(run) = runs.iter().find(|r| r.request == *id) {
            broken.push(format!("{id} was answered with {status} and was run by {}", run.target));
        }
    }
    record.line(&format!("extra bytes sent {} times", target.extras_sent()));
    if !broken.is_empty() {
        return Verdict::Broken(broken.join("; "));
    }
    if trouble() && target.extras_sent() == 0 {
        return Verdict::NotRun("no extra bytes were sent".into());
    }
    Verdict::Held(format!("{} of {REQUESTS} requests were refused, and none of them ran", refused.len()))
}
