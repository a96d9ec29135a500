//! Benchmarks, written as one report with tables and plots to `target/report/`.
//!
//! `cargo bench --bench report` runs all parts; `cargo bench --bench report -- failover state` runs
//! only those named. The report states the seeds. No benchmark passes or fails.

mod control;
mod data_path;
mod failover;
mod handover;
mod load;
mod model;
mod overload;
mod placement;
mod plot;
mod policies;
mod proc;
mod state;
mod stragglers;
mod write;

use write::Report;

/// Path of the program under measurement.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_kelpwind");

/// Parts of the report, by the names given on the command line.
const PARTS: [&str; 9] = [
    "state",
    "placement",
    "policies",
    "control",
    "failover",
    "handover",
    "stragglers",
    "overload",
    "data-path",
];

fn main() {
    let named: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    let mut report = Report::open();
    for part in PARTS {
        if !named.is_empty() && !named.iter().any(|n| n == part) {
            continue;
        }
        println!("measuring {part}");
        match part {
            "state" => state::measure(&mut report),
            "placement" => placement::measure(&mut report),
            "policies" => policies::measure(&mut report),
            "control" => runtime.block_on(control::measure(&mut report)),
            "failover" => runtime.block_on(failover::measure(&mut report)),
            "handover" => runtime.block_on(handover::measure(&mut report)),
            "stragglers" => runtime.block_on(stragglers::measure(&mut report)),
            "overload" => runtime.block_on(overload::measure(&mut report)),
            _ => runtime.block_on(data_path::measure(&mut report)),
        }
    }
    report.close();
}
