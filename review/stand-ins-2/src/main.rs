//! Cases of the review, each a small deployment of processes with stand-ins for the platform, the
//! targets and the requesters: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod fleet;
mod http;
mod pipeline;
mod record;
mod refusal;
mod release;
mod store;
mod target;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fleet::{Fleet, Service, Site};
use record::Record;

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(100);

/// What became of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Starts a deployment and waits until it serves.
pub fn start(record: &Arc<Record>, services: &[Service], site: Site) -> Result<Fleet, Verdict> {
    let program = PathBuf::from("target/release/kelpwind");
    let fleet = Fleet::start(program, record.clone(), services, site)
        .map_err(|e| Verdict::NotRun(format!("failed to start: {e}")))?;
    if !fleet.wait_until_served(services) {
        return Err(Verdict::NotRun("the deployment does not serve".into()));
    }
    record.line("the deployment serves");
    Ok(fleet)
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: cases NAME RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("failed to create {path}: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {name}, disruption {}", if trouble() { "on" } else { "off" }));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        fleet::end_all();
        std::process::exit(2);
    });
    let verdict = match name.as_str() {
        "pipeline" => pipeline::run(&record),
        "refusal" => refusal::run(&record),
        "release" => release::run(&record),
        _ => Verdict::NotRun(format!("no case '{name}'")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was BROKEN: {text}")),
        Verdict::NotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
