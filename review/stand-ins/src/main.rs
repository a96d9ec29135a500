//! Stand-ins for the users' platform, targets and requesters, and the tests of the review that use them.
//!
//! `review-stand-ins CASE RECORD`, in the repository's root; `TROUBLE=0` leaves out the disruption. Exits
//! with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod giving_up;
mod http;
mod late_report;
mod machine;
mod moving_readers;
mod record;
mod slow_reader;
mod store;
mod target;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use machine::Machine;
use record::Record;
use store::Store;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// What all cases share.
pub struct Setting {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub base: Ipv4Addr,
    pub store: Arc<Store>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

pub type Result<T> = std::result::Result<T, String>;

impl Setting {
    fn new(record: &Path) -> Result<Setting> {
        let text = |e: std::io::Error| e.to_string();
        let number = std::process::id();
        let folder = std::env::temp_dir().join(format!("kelpwind-review-{number}"));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let base = free_addresses(number)?;
        let store = SocketAddr::new(base.into(), 8309);
        let store = Store::start(store, Arc::default()).map_err(text)?;
        let record = Arc::new(Record::create(record).map_err(text)?);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.say(&format!("trouble: {trouble}"));
        Ok(Setting { record, folder, base, store, trouble })
    }
}

impl Drop for Setting {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A part of the loopback network on which the ports of nodes are free.
fn free_addresses(number: u32) -> Result<Ipv4Addr> {
    for step in 0..200 {
        let third = ((number + step) % 200 + 20) as u8;
        let base = Ipv4Addr::new(127, 60 + (step % 100) as u8, third, 1);
        let [a, b, c, _] = base.octets();
        let nodes = (10..30).map(|d| Ipv4Addr::new(a, b, c, d));
        let ports = [8301, 8302, 8304, 8306, 7620, 9464];
        let mut needed = nodes.flat_map(|ip| ports.map(|port| (ip, port)));
        if needed.all(|addr| TcpListener::bind(addr).is_ok())
            && TcpListener::bind((base, 8309)).is_ok()
        {
            return Ok(base);
        }
    }
    Err("no free addresses".to_owned())
}

/// Starts the nodes and waits until all are ready and for the time after which they are in touch.
pub fn start(machines: &mut [Machine], record: &Record) -> Result<()> {
    for machine in machines.iter_mut() {
        machine.start_node(true).map_err(|e| format!("failed to start a node: {e}"))?;
    }
    for machine in machines.iter() {
        if !machine.wait_until_ready(Duration::from_secs(15)) {
            return Err(format!("the node of {} is not ready within 15 s", machine.name));
        }
    }
    record.say("all nodes are ready");
    Ok(())
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-stand-ins CASE RECORD");
        std::process::exit(2);
    };
    let run = || -> Result<Verdict> {
        let setting = Setting::new(Path::new(path))?;
        let verdict = match case.as_str() {
            "giving-up" => giving_up::run(&setting),
            "late-report" => late_report::run(&setting),
            "moving-readers" => moving_readers::run(&setting),
            "slow-reader" => slow_reader::run(&setting),
            _ => Err(format!("no case '{case}'")),
        };
        match &verdict {
            Ok(Verdict::Held) => setting.record.say("the rule held"),
            Ok(Verdict::Broken(why)) => setting.record.say(&format!("the rule was broken: {why}")),
            Err(why) => setting.record.say(&format!("the case could not run: {why}")),
        }
        verdict
    };
    std::process::exit(match run() {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken(_)) => 1,
        Err(why) => {
            eprintln!("{why}");
            2
        }
    });
}
