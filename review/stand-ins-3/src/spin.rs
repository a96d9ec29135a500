//! A configuration without the route of downloads comes while large answers are on their way.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, Plan};
use crate::record::Record;
use crate::End;

/// Bytes of a download, and the number of them.
const BYTES: usize = 400_000;
const DOWNLOADS: usize = 4;
/// Time over which the processor time is measured, after a pause.
const PAUSE: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(15);
/// Share of a core above which an idle process counts as not handing back the processor.
const SHARE_MAX: f64 = 0.9;

fn config(version: u32, downloads: bool) -> String {
    let download = r#",["files","files.example","/get/","download",6.0,2.0,3,null,2,"files"]"#;
    let rows = format!(
        r#"["read","files.example","/read/","safe",2.5,0.4,2,null,2,"files"]{}"#,
        if downloads { download } else { "" }
    );
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","host","path-prefix","kind","timeout-s","aim-s","priority","weighted-services","attempts","service"],"rows":[{rows}]}},"services":{{"columns":["name","health-path","max-connections","protocol","tls","cold-start-s","cold-per-s","sharded","warm-s","grants"],"rows":[["files","/healthz",490,"h1",false,3.0,16.0,null,null,null],["portal","/healthz",490,"h1",false,3.0,16.0,null,null,null]]}},"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}}}"#
    )
}

fn ordinary(id: &str) -> String {
    format!("GET /read/{id} HTTP/1.1\r\nHost: files.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\r\n")
}

fn download(id: &str) -> String {
    format!("GET /get/{id} HTTP/1.1\r\nHost: files.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\nX-Body-Bytes: {BYTES}\r\n\r\n")
}

pub fn removed(record: &Arc<Record>, trouble: bool) -> End {
    let plan =
        |service| Plan { service, sharded: false, slots: 12, work: Duration::from_millis(20) };
    let settings = "self.limits.memory-mb=260\nself.limits.max-fds=4100\n";
    let settings = format!("{settings}self.limits.link-mbps=10.0\n");
    let mut fleet =
        Fleet::start(&[plan("files"), plan("portal")], &config(7, true), &settings, record.clone());
    if !fleet.until_served(1, ordinary, Duration::from_secs(15)) {
        record.note("no ordinary request was served at first");
        return End::Failed;
    }
    thread::sleep(Duration::from_secs(1));
    let mut callers = Vec::new();
    for i in 0..DOWNLOADS {
        let (r, name, addr) =
            (record.clone(), fleet.hosts[1].name.clone(), fleet.hosts[1].outbound());
        callers.push(thread::spawn(move || {
            let id = format!("d-{i}");
            fleet::send(&r, &name, addr, &id, &download(&id)).map_or(0, |a| a.body.len())
        }));
    }
    if trouble {
        thread::sleep(Duration::from_millis(200));
    }
    let sizes = |callers: Vec<thread::JoinHandle<usize>>| -> Vec<usize> {
        callers.into_iter().map(|c| c.join().unwrap_or(0)).collect()
    };
    let mut read = Vec::new();
    if !trouble {
        read = sizes(std::mem::take(&mut callers));
        thread::sleep(Duration::from_secs(1));
    }
    record.line("the operator publishes version 8, without the route of downloads");
    fleet.store.put("keyed.op", "config", config(8, false).as_bytes());
    read.extend(sizes(callers));
    record.note(&format!("the downloads were answered with {read:?} bytes"));
    thread::sleep(PAUSE);
    let before = [fleet.cpu_ticks(0), fleet.cpu_ticks(1)];
    let began = Instant::now();
    thread::sleep(MEASURED);
    let took = began.elapsed().as_secs_f64();
    let shares: Vec<f64> =
        (0..2).map(|i| (fleet.cpu_ticks(i) - before[i]) as f64 / 100.0 / took).collect();
    record.note(&format!(
        "share of a core that each node used for {took:.0} s without a request: {shares:.3?}"
    ));
    let served = fleet.until_served(1, ordinary, Duration::from_secs(5));
    record.note(&format!("an ordinary request is served: {served}"));
    fleet.end();
    if shares.iter().any(|s| *s > SHARE_MAX) {
        End::Broken
    } else {
        End::Held
    }
}
