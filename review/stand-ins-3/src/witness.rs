//! A machine of a service that is not divided by key is replaced, again and again. Then all processes
//! are killed at once.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, Plan};
use crate::record::Record;
use crate::End;

/// Machines of each service.
const KEYED: usize = 2;
const OTHERS: usize = 4;
/// How often a machine of the other service is replaced, and the time between.
const REPLACED: usize = 34;
const GAP: Duration = Duration::from_millis(1300);
/// Time from the loss of a machine until the new one comes.
const NEW_AFTER: Duration = Duration::from_millis(600);
/// Time for which all processes are down at the end, and `recover-s`.
const DOWN: Duration = Duration::from_secs(1);
const RECOVER: Duration = Duration::from_secs(15);
/// Time over which the share of served requests is taken.
const MEASURED: Duration = Duration::from_secs(8);

const CONFIG: &str = r#"{"version":7,"routes":{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],"rows":[["read","books.example","/get/","safe",2.5,0.4,2,null,2,"books"],["maps","maps.example","/get/","safe",2.5,0.4,2,null,2,"maps"]]},"services":{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],"rows":[["books","/healthz",130,"h1",false,3.0,16.0,true,2.0,"call"],["maps","/healthz",130,"h1",false,3.0,16.0,null,null,null]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}"#;

fn request(id: &str, key: u16) -> String {
    format!("GET /get/{id} HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\nX-Shard-Key: {key}\r\n\r\n")
}

/// When each request was sent, and whether it was served.
type Results = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Sends requests for keys all over the range, one after the other.
fn caller(
    record: Arc<Record>,
    name: String,
    addr: SocketAddr,
    ended: Arc<AtomicBool>,
    results: Results,
) {
    let mut number = 0_u16;
    while !ended.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("r-{name}-{number}");
        let sent = Instant::now();
        let answer =
            fleet::send(&record, &name, addr, &id, &request(&id, number.wrapping_mul(40503)));
        results.lock().unwrap().push((sent, answer.is_some_and(|a| a.status() == 200)));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Share of the requests sent from `from` to `to` that were served.
fn served(results: &Results, from: Instant, to: Instant) -> f64 {
    let results = results.lock().unwrap();
    let sent: Vec<bool> =
        results.iter().filter(|(at, _)| (from..to).contains(at)).map(|r| r.1).collect();
    sent.iter().filter(|s| **s).count() as f64 / sent.len().max(1) as f64
}

pub fn replaced(record: &Arc<Record>, trouble: bool) -> End {
    let plan =
        |service, sharded| Plan { service, sharded, slots: 12, work: Duration::from_millis(20) };
    let mut plans: Vec<Plan> = (0..KEYED).map(|_| plan("books", true)).collect();
    plans.extend((0..OTHERS).map(|_| plan("maps", false)));
    let settings = "self.limits.memory-mb=260\nself.limits.max-fds=4100\n";
    let mut fleet = Fleet::start(&plans, CONFIG, settings, record.clone());
    for i in 0..KEYED {
        if !fleet.until_served(i, |id| request(id, 30_000 * i as u16), Duration::from_secs(20)) {
            record.note("keys were not served at first");
            return End::Failed;
        }
    }
    fleet.set_started();
    let ended = Arc::new(AtomicBool::new(false));
    let results = Results::default();
    let mut threads = Vec::new();
    for host in &fleet.hosts[..KEYED] {
        let (r, name, addr) = (record.clone(), host.name.clone(), host.outbound());
        let (e, results) = (ended.clone(), results.clone());
        threads.push(thread::spawn(move || caller(r, name, addr, e, results)));
    }
    // Each time the machine that came last is lost for good, and a new one comes at another address.
    let mut last = KEYED + OTHERS - 1;
    for _ in 0..REPLACED {
        thread::sleep(GAP - NEW_AFTER);
        if !trouble {
            thread::sleep(NEW_AFTER);
            continue;
        }
        fleet.remove_host(last);
        thread::sleep(NEW_AFTER);
        last = fleet.add_host(&plan("maps", false));
        fleet.start_node(last);
    }
    thread::sleep(MEASURED);
    let now = Instant::now();
    let before = served(&results, now - MEASURED, now);
    record.note(&format!(
        "of the requests in the {} s before the final fault {before:.2} were served",
        MEASURED.as_secs()
    ));

    record.line(
        "the final fault: all processes are killed, right after a configuration was acknowledged",
    );
    fleet.store.put(
        "keyed.op",
        "config",
        CONFIG.replace("\"version\":7", "\"version\":8").as_bytes(),
    );
    let live: Vec<usize> =
        (0..fleet.hosts.len()).filter(|i| fleet.hosts[*i].node.is_some()).collect();
    live.iter().for_each(|i| fleet.kill_node(*i));
    thread::sleep(DOWN);
    live.iter().for_each(|i| fleet.start_node(*i));
    record.note(&format!(
        "{} nodes are back; {} machines were replaced before",
        live.len(),
        if trouble { REPLACED } else { 0 }
    ));
    thread::sleep(RECOVER);
    let from = Instant::now();
    thread::sleep(MEASURED);
    let after = served(&results, from, Instant::now());
    ended.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    record.note(&format!(
        "of the requests sent from {} s after that on {after:.2} were served",
        RECOVER.as_secs()
    ));
    fleet.end();
    if before < 0.25 {
        record.note("too few requests were served before the final fault");
        return End::Failed;
    }
    if after < 0.25 {
        End::Broken
    } else {
        End::Held
    }
}
