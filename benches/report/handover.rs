//! Service of keys while they are handed over as planned, under load.

use std::path::Path;
use std::time::Duration;

use http::Method;
use kelpwind_test_support::cluster::{Cluster, Target};

use super::PROGRAM;
use super::load::{self, Done, Send, latencies};
use super::plot::{Line, lines};
use super::proc::{quantile, short};
use super::write::Report;

const RATE: f64 = 400.0;
const TIME: Duration = Duration::from_secs(16);
const SEED: u64 = 7;

const TARGETS: [Target<'static>; 4] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
    Target::new("historie", "delft-c"),
];

pub(crate) async fn measure(report: &mut Report) {
    report.part(
        "Handover",
        "Real processes: 4 nodes, 400 requests/s that each take 2 ms. A failure domain with half of \
         the nodes is taken out at 4 s and brought back at 8 s; one node is stopped as planned \
         (SIGTERM) at 12 s. Seed 7.",
    );
    let cluster = Cluster::start(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/keteltoezicht.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_until_ready(0, TARGETS.len()).await;
    let entries = [cluster.nodes[0].listen, cluster.nodes[1].listen];
    let what = move |random: &mut fastrand::Rng, _: f64| Send {
        to: entries[random.usize(..2)],
        method: Method::GET,
        path: format!("/historie/ketel-{}", random.u32(..200)),
        headers: Vec::new(),
        class: 0,
        deadline: Duration::from_secs(5),
    };
    let requests = load::run(RATE, TIME, SEED, what, |_| {});
    let orders = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.command(0, &["drain", "delft-c"]);
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.command(0, &["undrain", "delft-c"]);
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.nodes[3].process.signal("TERM");
    };
    let (all, ()) = tokio::join!(requests, orders);
    let parts = [("quiet", 0.0, 4.0), ("out", 4.0, 8.0), ("back", 8.0, 12.0), ("stop", 12.0, 16.0)];
    let rows: Vec<Vec<String>> = parts.iter().map(|p| row(p, &all)).collect();
    report.table(&["part", "requests", "not done", "p50 ms", "p99 ms", "most ms"], &rows);
    let path = report.plot("handover");
    let line = Line { name: "latency".to_owned(), points: slowest(&all) };
    lines(&path, "Slowest request of each 50 ms", "s", "ms", &[line]);
}

fn row((name, from, to): &(&str, f64, f64), all: &[Done]) -> Vec<String> {
    let part: Vec<Done> = all.iter().filter(|d| d.sent >= *from && d.sent < *to).cloned().collect();
    let times = latencies(&part);
    let failed = part.len() - times.len();
    let mut cells = vec![(*name).to_owned(), part.len().to_string(), failed.to_string()];
    cells.extend([0.5, 0.99, 1.0].map(|q| short(quantile(&times, q))));
    cells
}

fn slowest(all: &[Done]) -> Vec<(f64, f64)> {
    const STEP: f64 = 0.05;
    let mut points: Vec<(f64, f64)> =
        (0..(TIME.as_secs_f64() / STEP) as usize).map(|i| (i as f64 * STEP, 0.0)).collect();
    for done in all {
        if let Some(point) = points.get_mut((done.sent / STEP) as usize) {
            point.1 = point.1.max(done.took);
        }
    }
    points
}
