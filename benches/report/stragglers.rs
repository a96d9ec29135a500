//! Tail latency while one target is 20 times slower for 4 s and its load reports hide it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::Method;
use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::http::get;
use parking_lot::Mutex;
use serde_json::json;

use super::PROGRAM;
use super::load::{self, Completed, RequestSpec, latencies};
use super::plot::{Line, draw_lines};
use super::proc::{format_short, metric_sum, quantile};
use super::write::Report;

/// 70% of the 1,200 requests per second that 4 targets with 12 slots and requests of 40 ms can run.
const RATE_PER_S: f64 = 840.0;
const LOAD_TIME: Duration = Duration::from_secs(12);
const SLOW_FROM_S: f64 = 4.0;
const SLOW_TO_S: f64 = 8.0;
const SEED: u64 = 8;
/// Interval at which the least-loaded baseline reads the load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

const BACKEND: &[&str] = &["--work-ms", "40", "--slots", "12"];
const TARGETS: [Target<'static>; 4] = [
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
    Target { service: "certificaat", domain: "dordt-b", flags: BACKEND },
    Target { service: "certificaat", domain: "delft-c", flags: BACKEND },
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
];

/// How the client selects a server or entry.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Kelpwind,
    Random,
    RoundRobin,
    LeastLoaded,
}

pub(crate) async fn measure(report: &mut Report) {
    report.section(
        "Stragglers",
        "Processes: 4 targets with 12 slots, requests of 40 ms, 840 requests/s (70% of the \
         capacity) for 12 s. One target is 20 times slower from 4 s to 8 s and reports its usual \
         load meanwhile. Kelpwind's requests pass through two nodes; those of the baselines go \
         directly from the client to a backend server. `LeastLoaded` reads load reports every \
         500 ms. Seed 8.",
    );
    let policies = [Policy::Kelpwind, Policy::Random, Policy::RoundRobin, Policy::LeastLoaded];
    let (mut rows, mut plots) = (Vec::new(), Vec::new());
    for policy in policies {
        let (all, hedges) = run(policy).await;
        rows.push(row(policy, &all, hedges));
        plots.push(Line { name: format!("{policy:?}"), points: p99_over_time(&all) });
    }
    let headings = [
        "policy",
        "requests",
        "failed",
        "p50 before",
        "p99 before",
        "p50 slow",
        "p99 slow",
        "p99 slow / before",
        "hedges",
    ];
    report.table(&headings, &rows);
    let path = report.plot("stragglers");
    draw_lines(&path, "p99 per 500 ms, one target slow from 4 s to 8 s", "s", "ms", &plots);
}

async fn run(policy: Policy) -> (Vec<Completed>, f64) {
    let cluster = Cluster::start_direct(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/two-services.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_for_targets(0, "certificaat", TARGETS.len()).await;
    let entries: Vec<SocketAddr> = cluster.nodes.iter().map(|n| n.listen).collect();
    let servers: Vec<SocketAddr> = cluster.nodes.iter().map(|n| n.server_addr).collect();
    let reported: Arc<Mutex<Vec<u64>>> = Arc::new(Mutex::new(vec![0; servers.len()]));
    let reader = tokio::spawn(read_reports(servers.clone(), reported.clone()));
    let next_server = AtomicUsize::new(0);
    let next_request = move |random: &mut fastrand::Rng, _: f64| {
        let to = match policy {
            Policy::Kelpwind => entries[random.usize(..entries.len())],
            Policy::Random => servers[random.usize(..servers.len())],
            Policy::RoundRobin => {
                servers[next_server.fetch_add(1, Ordering::Relaxed) % servers.len()]
            }
            Policy::LeastLoaded => least_loaded(&servers, &reported, random),
        };
        let path = "/certificaat/lijst".to_owned();
        let deadline = Duration::from_secs(2);
        RequestSpec { to, method: Method::GET, path, headers: Vec::new(), class: 0, deadline }
    };
    let requests = load::run(RATE_PER_S, LOAD_TIME, SEED, next_request, |_| {});
    let faults = async {
        tokio::time::sleep(Duration::from_secs_f64(SLOW_FROM_S)).await;
        cluster.set_backend_faults(1, json!({"straggle": 20, "report": 8})).await;
        tokio::time::sleep(Duration::from_secs_f64(SLOW_TO_S - SLOW_FROM_S)).await;
        cluster.set_backend_faults(1, json!({})).await;
    };
    let (all, ()) = tokio::join!(requests, faults);
    reader.abort();
    let mut hedges = 0.0;
    for node in &cluster.nodes {
        hedges += metric_sum(node.admin, "kelpwind_hedges_total", "").await;
    }
    (all, hedges)
}

/// A random server among those with the lowest reported load.
fn least_loaded(
    servers: &[SocketAddr],
    reported: &Mutex<Vec<u64>>,
    random: &mut fastrand::Rng,
) -> SocketAddr {
    let mut reported = reported.lock();
    let lowest = reported.iter().min().copied().unwrap_or(0);
    let candidates: Vec<usize> = (0..servers.len()).filter(|i| reported[*i] == lowest).collect();
    let chosen = candidates[random.usize(..candidates.len())];
    // The client adds the requests that it has sent since the last report.
    reported[chosen] += 1;
    servers[chosen]
}

async fn read_reports(servers: Vec<SocketAddr>, reported: Arc<Mutex<Vec<u64>>>) {
    loop {
        for (i, server) in servers.iter().enumerate() {
            if let Ok(answer) = get(*server, "/load").await {
                reported.lock()[i] = answer.json()["running"].as_u64().unwrap_or(0);
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

fn row(policy: Policy, all: &[Completed], hedges: f64) -> Vec<String> {
    let latencies_between = |from: f64, to: f64| -> Vec<f64> {
        let part: Vec<Completed> =
            all.iter().filter(|d| d.sent_s >= from && d.sent_s < to).cloned().collect();
        latencies(&part)
    };
    let (before, during) =
        (latencies_between(1.0, SLOW_FROM_S), latencies_between(SLOW_FROM_S, SLOW_TO_S));
    let ratio = quantile(&during, 0.99) / quantile(&before, 0.99);
    vec![
        format!("{policy:?}"),
        all.len().to_string(),
        all.iter().filter(|d| !d.ok).count().to_string(),
        format_short(quantile(&before, 0.5)),
        format_short(quantile(&before, 0.99)),
        format_short(quantile(&during, 0.5)),
        format_short(quantile(&during, 0.99)),
        format_short(ratio),
        format!("{hedges:.0}"),
    ]
}

/// 99th percentile of the latency by time of arrival, in steps of 500 ms.
fn p99_over_time(all: &[Completed]) -> Vec<(f64, f64)> {
    const STEP_S: f64 = 0.5;
    let steps = (LOAD_TIME.as_secs_f64() / STEP_S) as usize;
    let point = |i: usize| {
        let from = i as f64 * STEP_S;
        let part = all.iter().filter(|d| d.sent_s >= from && d.sent_s < from + STEP_S);
        let latencies_ms: Vec<f64> = part.map(|d| d.latency_ms).collect();
        (from, quantile(&latencies_ms, 0.99))
    };
    (0..steps).map(point).filter(|p| p.1.is_finite()).collect()
}
