//! OWNER: a target sends a second copy of its last answer, late, and then works on keys that it was
//! told to release.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Call, Service, Site};
use crate::http::Conn;
use crate::record::Record;
use crate::target::{Extra, Hold};
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
    hosts: 3,
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
/// Work of the requests that the target has begun: no more than the largest of the site.
const WORK_MS: u64 = 700;

pub fn run(record: &Arc<Record>) -> Verdict {
    let services = [HISTORIE, CERTIFICAAT];
    let fleet = match start(record, &services, SITE) {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    thread::sleep(Duration::from_secs(4));
    let Some(owner) = fleet.holder_of(0) else {
        return Verdict::NotRun("nobody holds the keys".into());
    };
    let target = fleet.hosts[owner].target.clone();
    let id = &target.config.id;
    let ranges: Vec<(u16, u16)> = {
        let holds = fleet.history.holds.lock().unwrap();
        let now = Instant::now();
        holds.iter().filter(|h| h.target == *id && h.until > now).map(|h| h.keys).collect()
    };
    // A key near each end of each range: parts of a range may go to different targets.
    let keys: Vec<u16> = ranges.iter().flat_map(|range| [range.0 + 10, range.1 - 10]).collect();
    record.line(&format!("{id} holds keys {ranges:?}"));
    if trouble() {
        target.set_extra(Extra::CopyBeforeRelease);
    }
    // Requests at work on the keys, which the target has begun before it is told to release them.
    let addr = fleet.callers(&fleet.hosts[owner]);
    let long: Vec<_> = keys
        .iter()
        .map(|key| {
            let key = *key;
            let call = Call::new(&HISTORIE, &format!("long-{key}")).key(key).work_ms(WORK_MS);
            let log = record.clone();
            thread::spawn(move || {
                let Ok(mut conn) = Conn::open(addr, Duration::from_secs(1)) else { return };
                let _ = conn.write(&call.encode());
                let reply = conn.read(Some(Instant::now() + Duration::from_secs(3)));
                log.line(&format!("{} answered: {:?}", call.id, reply.map(|r| r.status())));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(60));
    record.line(&format!("{id} begins to leave"));
    target.drain();
    // Requesters ask for the keys again a moment later.
    thread::sleep(Duration::from_millis(300));
    let until = Instant::now() + Duration::from_secs(3);
    let other = &fleet.hosts[(owner + 1) % 3];
    thread::scope(|scope| {
        for key in keys.iter().copied() {
            let fleet = &fleet;
            scope.spawn(move || {
                let mut number = 0;
                while Instant::now() < until {
                    number += 1;
                    let id = format!("short-{key}-{number}");
                    let call = Call::new(&HISTORIE, &id).key(key).work_ms(60);
                    let reply = fleet.call(other, &call);
                    fleet.record.line(&format!("{id} answered: {:?}", reply.map(|r| r.status())));
                    thread::sleep(Duration::from_millis(15));
                }
            });
        }
    });
    long.into_iter().for_each(|call| drop(call.join()));
    let runs = fleet.history.runs.lock().unwrap().clone();
    let holds = fleet.history.holds.lock().unwrap().clone();
    let mut broken = Vec::new();
    for a in runs.iter().filter(|r| r.request.starts_with("long-")) {
        let (Some(key), Some(ended)) = (a.key, a.ended) else { continue };
        let of_key = |h: &&Hold| h.keys.0 <= key && key <= h.keys.1;
        // The end of the target's hold, had it not been released.
        let own = holds.iter().filter(of_key).filter(|h| h.target == a.target);
        let Some(hold_ends) = own.map(|h| h.granted).max() else { continue };
        let given = holds.iter().filter(of_key).find(|h| {
            h.target != a.target && h.from > a.began && h.from < ended && h.from < hold_ends
        });
        let Some(given) = given else { continue };
        let meanwhile = runs.iter().find(|r| {
            r.key == Some(key) && r.target == given.target && r.began > given.from && r.began < ended
        });
        broken.push(format!(
            "{} was given key {key} at {:.3} s while {} was at work on it from {:.3} s to {:.3} s \
             under a hold until {:.3} s, and meanwhile began {}",
            given.target,
            record.secs(given.from),
            a.target,
            record.secs(a.began),
            record.secs(ended),
            record.secs(hold_ends),
            meanwhile.map_or("no request".into(), |r| {
                format!("{} at {:.3} s", r.request, record.secs(r.began))
            })
        ));
    }
    record.line(&format!("extra answers sent: {}", target.extras_sent()));
    if !broken.is_empty() {
        return Verdict::Broken(broken.join("; "));
    }
    if trouble() && target.extras_sent() == 0 {
        return Verdict::NotRun("no extra answer was sent".into());
    }
    Verdict::Held("no target was given the key while another was at work on it".into())
}
