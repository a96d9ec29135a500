//! Stand-ins and scenarios of the cases of this review. Usage: review-3 SCENARIO RECORD
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crowd;
mod fleet;
mod http;
mod logs;
mod record;
mod server;
mod slots;
mod spin;
mod store;
mod witness;

use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// How a case ended.
pub enum End {
    Broken,
    Held,
    Failed,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (Some(scenario), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: review-3 SCENARIO RECORD");
        std::process::exit(2);
    };
    let record = Arc::new(Record::create(&path));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    fleet::end_after(Duration::from_secs(117));
    let end = match scenario.as_str() {
        "heads" => crowd::heads(&record, trouble),
        "logs" => logs::unread(&record, trouble),
        "slots" => slots::taken(&record, trouble),
        "witness" => witness::replaced(&record, trouble),
        "spin" => spin::removed(&record, trouble),
        _ => End::Failed,
    };
    let (text, code) = match end {
        End::Broken => ("the rule was broken", 1),
        End::Held => ("the rule held", 0),
        End::Failed => ("the case could not run", 2),
    };
    record.note(text);
    std::process::exit(code);
}
