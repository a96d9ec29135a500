//! A server sends an answer a second time, where the next response is expected.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, Plan};
use crate::record::Record;
use crate::server::Server;
use crate::End;

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],"rows":[["read","books.example","/get/","safe",2.5,0.4,2,null,2,"books"]]},"services":{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],"rows":[["books","/healthz",130,"h1",false,3.0,16.0,true,2.0,"call"]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

/// Duration of the work that runs while its key is moved. Requests of this kind take 120 ms on
/// average and 720 ms at most.
const LONG_MS: u64 = 600;
/// Largest share of answers that a server sends twice, by the site file.
const SHARE_MAX: f64 = 0.03;

fn request(id: &str, key: u16, work_ms: u64) -> String {
    format!("GET /get/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\nX-Shard-Key: {key}\r\nX-Work-Ms: {work_ms}\r\n\r\n")
}

/// Waits until the servers hold all keys.
fn await_all_keys(servers: &[&Arc<Server>], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let held = servers.iter().flat_map(|s| s.held());
        if held.map(|(from, to)| u32::from(to) - u32::from(from) + 1).sum::<u32>() == 65536 {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

pub fn repeated(record: &Arc<Record>, trouble: bool) -> End {
    let plan =
        || Plan { service: "books", sharded: true, slots: 12, work: Duration::from_millis(20) };
    let settings = "self.limits.memory-mb=260\nself.limits.max-fds=4100\n";
    let mut fleet = Fleet::start(&[plan(), plan()], CONFIG, settings, record.clone());
    let server = |i: usize| fleet.hosts[i].server.clone().expect("each host has a server");
    let (old, new) = (server(0), server(1));
    if !await_all_keys(&[&old, &new], Duration::from_secs(20)) {
        record.note("the servers were not granted all keys at first");
        return End::Failed;
    }
    thread::sleep(Duration::from_secs(20));
    let Some((key, _)) = old.held().first().copied() else { return End::Failed };
    record.note(&format!(
        "servers {} and {} hold {:?} and {:?}",
        old.id,
        new.id,
        old.held(),
        new.held()
    ));

    // The answer to the next renewal of the grant is sent twice. Right after it a request begins, and the
    // server says that it leaves.
    old.repeats.store(trouble, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_millis(600);
    while old.repeats.load(Ordering::Relaxed) && Instant::now() < until {
        thread::sleep(Duration::from_millis(1));
    }
    let (name, addr) = (fleet.hosts[0].name.clone(), fleet.hosts[0].outbound());
    let sender = record.clone();
    let long = thread::spawn(move || {
        fleet::send(&sender, &name, addr, "long", &request("long", key, LONG_MS))
    });
    thread::sleep(Duration::from_millis(30));
    old.reporting.store(false, Ordering::Relaxed);
    record.line(&format!("server {} says that it leaves", old.id));
    if !old.report("draining") {
        record.note("the node did not acknowledge that the server leaves");
        return End::Failed;
    }
    let began = Instant::now();
    let (mut given, mut ran) = (None, false);
    while began.elapsed() < Duration::from_secs(4) && !(given.is_some() && !old.works_on(key)) {
        let holds = new.held().iter().any(|(from, to)| (*from..=*to).contains(&key));
        if given.is_none() && holds && old.works_on(key) {
            let left = old.hold_left(key);
            record.note(&format!(
                "server {} is given key {key} while server {} is at work on it; its hold would have run out {} ms later",
                new.id, old.id, left.as_millis()
            ));
            given = Some(left);
            let (sender, name, addr) =
                (record.clone(), fleet.hosts[1].name.clone(), fleet.hosts[1].outbound());
            thread::spawn(move || {
                fleet::send(&sender, &name, addr, "second", &request("second", key, 20))
            });
        }
        ran |= new.works_on(key) && old.works_on(key);
        if given.is_none() && holds && !old.works_on(key) {
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    let answered = long.join().ok().flatten().map(|a| a.status());
    record.note(&format!("the long request was answered with {answered:?}; both servers were at work on key {key} at one time: {ran}"));
    record.note(&format!(
        "all keys are with server {} at last: {}",
        new.id,
        await_all_keys(&[&new], Duration::from_secs(8))
    ));
    let (all, twice) =
        (old.answers.0.load(Ordering::Relaxed), old.answers.1.load(Ordering::Relaxed));
    record.note(&format!("server {} has sent {twice} of {all} answers twice", old.id));
    fleet.end();
    if trouble && (twice == 0 || twice as f64 > all as f64 * SHARE_MAX) {
        record.note("the disruption was not as intended");
        return End::Failed;
    }
    if given.is_some_and(|left| !left.is_zero()) {
        End::Broken
    } else {
        End::Held
    }
}
