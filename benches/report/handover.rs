//! Latency and failures of requests during planned handovers, under load.

use std::path::Path;
use std::time::Duration;

use http::Method;
use kelpwind_test_support::cluster::{Cluster, Target};

use super::PROGRAM;
use super::load::{self, Completed, RequestSpec, latencies};
use super::plot::{Line, draw_lines};
use super::proc::{format_short, quantile};
use super::write::Report;

const RATE_PER_S: f64 = 400.0;
const LOAD_TIME: Duration = Duration::from_secs(16);
const SEED: u64 = 7;

const TARGETS: [Target<'static>; 4] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
    Target::new("historie", "delft-c"),
];

pub(crate) async fn measure(report: &mut Report) {
    report.section(
        "Handover",
        "Processes: 4 nodes, 400 requests/s with a processing time of 2 ms. A failure domain with \
         half of the nodes is drained at 4 s and undrained at 8 s; one node is stopped with \
         SIGTERM at 12 s. Seed 7.",
    );
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/keteltoezicht.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_until_ready(0, TARGETS.len()).await;
    let entries = [cluster.nodes[0].listen, cluster.nodes[1].listen];
    let next_request = move |random: &mut fastrand::Rng, _: f64| RequestSpec {
        to: entries[random.usize(..2)],
        method: Method::GET,
        path: format!("/historie/ketel-{}", random.u32(..200)),
        headers: Vec::new(),
        class: 0,
        deadline: Duration::from_secs(5),
    };
    let requests = load::run(RATE_PER_S, LOAD_TIME, SEED, next_request, |_| {});
    let operations = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.command(0, &["drain", "delft-c"]);
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.command(0, &["undrain", "delft-c"]);
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.nodes[3].process.signal("TERM");
    };
    let (all, ()) = tokio::join!(requests, operations);
    let phases =
        [("steady", 0.0, 4.0), ("drain", 4.0, 8.0), ("undrain", 8.0, 12.0), ("stop", 12.0, 16.0)];
    let rows: Vec<Vec<String>> = phases.iter().map(|p| row(p, &all)).collect();
    report.table(&["phase", "requests", "failed", "p50 ms", "p99 ms", "max ms"], &rows);
    let path = report.plot("handover");
    let line = Line { name: "latency".to_owned(), points: max_latency_over_time(&all) };
    draw_lines(&path, "Maximum latency per 50 ms", "s", "ms", &[line]);
}

fn row((name, from, to): &(&str, f64, f64), all: &[Completed]) -> Vec<String> {
    let phase: Vec<Completed> =
        all.iter().filter(|d| d.sent_s >= *from && d.sent_s < *to).cloned().collect();
    let latencies_ms = latencies(&phase);
    let failed = phase.len() - latencies_ms.len();
    let mut cells = vec![(*name).to_owned(), phase.len().to_string(), failed.to_string()];
    cells.extend([0.5, 0.99, 1.0].map(|q| format_short(quantile(&latencies_ms, q))));
    cells
}

/// Maximum latency by time of arrival, in steps of 50 ms.
fn max_latency_over_time(all: &[Completed]) -> Vec<(f64, f64)> {
    const STEP_S: f64 = 0.05;
    let mut points: Vec<(f64, f64)> = (0..(LOAD_TIME.as_secs_f64() / STEP_S) as usize)
        .map(|i| (i as f64 * STEP_S, 0.0))
        .collect();
    for request in all {
        if let Some(point) = points.get_mut((request.sent_s / STEP_S) as usize) {
            point.1 = point.1.max(request.latency_ms);
        }
    }
    points
}
