//! Tail latency while one target is 20 times as slow for some seconds and its reports do not say so.

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
use super::load::{self, Done, Send, latencies};
use super::plot::{Line, lines};
use super::proc::{metric, quantile, short};
use super::write::Report;

/// 4 targets with 12 slots and requests of 40 ms bear 1,200 a second; this is 70% of it.
const RATE: f64 = 840.0;
const TIME: Duration = Duration::from_secs(12);
const SLOW_FROM: f64 = 4.0;
const SLOW_TO: f64 = 8.0;
const SEED: u64 = 8;
/// Time between two reports of load, as the baseline reads them.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

const BACKEND: &[&str] = &["--work-ms", "40", "--slots", "12"];
const TARGETS: [Target<'static>; 4] = [
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
    Target { service: "certificaat", domain: "dordt-b", flags: BACKEND },
    Target { service: "certificaat", domain: "delft-c", flags: BACKEND },
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Kelpwind,
    Random,
    RoundRobin,
    Reports,
}

pub(crate) async fn measure(report: &mut Report) {
    report.part(
        "Stragglers",
        "Real processes: 4 targets with 12 slots, requests of 40 ms, 840 requests/s (70% of what \
         they bear) for 12 s; one target is 20 times as slow from 4 s to 8 s while it reports its \
         usual load. Kelpwind's requests take two hops; the baselines go straight from the client \
         to a backend server and so have none. `least loaded` reads reports every 500 ms. Seed 8.",
    );
    let ways = [Way::Kelpwind, Way::Random, Way::RoundRobin, Way::Reports];
    let (mut rows, mut plots) = (Vec::new(), Vec::new());
    for way in ways {
        let (all, hedges) = run(way).await;
        rows.push(row(way, &all, hedges));
        plots.push(Line { name: format!("{way:?}"), points: p99_over_time(&all) });
    }
    let head = [
        "way",
        "requests",
        "not done",
        "p50 before",
        "p99 before",
        "p50 while",
        "p99 while",
        "p99 while / before",
        "hedges",
    ];
    report.table(&head, &rows);
    let path = report.plot("stragglers");
    lines(&path, "p99 of each 500 ms, one target slow from 4 s to 8 s", "s", "ms", &plots);
}

async fn run(way: Way) -> (Vec<Done>, f64) {
    let cluster = Cluster::start_direct(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/two-services.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_for_targets(0, "certificaat", TARGETS.len()).await;
    let entries: Vec<SocketAddr> = cluster.nodes.iter().map(|n| n.listen).collect();
    let servers: Vec<SocketAddr> = cluster.nodes.iter().map(|n| n.server).collect();
    let reported: Arc<Mutex<Vec<u64>>> = Arc::new(Mutex::new(vec![0; servers.len()]));
    let reader = tokio::spawn(read_reports(servers.clone(), reported.clone()));
    let turn = AtomicUsize::new(0);
    let what = move |random: &mut fastrand::Rng, _: f64| {
        let to = match way {
            Way::Kelpwind => entries[random.usize(..entries.len())],
            Way::Random => servers[random.usize(..servers.len())],
            Way::RoundRobin => servers[turn.fetch_add(1, Ordering::Relaxed) % servers.len()],
            Way::Reports => least(&servers, &reported, random),
        };
        let path = "/certificaat/lijst".to_owned();
        let deadline = Duration::from_secs(2);
        Send { to, method: Method::GET, path, headers: Vec::new(), class: 0, deadline }
    };
    let requests = load::run(RATE, TIME, SEED, what, |_| {});
    let faults = async {
        tokio::time::sleep(Duration::from_secs_f64(SLOW_FROM)).await;
        cluster.set_backend_faults(1, json!({"straggle": 20, "report": 8})).await;
        tokio::time::sleep(Duration::from_secs_f64(SLOW_TO - SLOW_FROM)).await;
        cluster.set_backend_faults(1, json!({})).await;
    };
    let (all, ()) = tokio::join!(requests, faults);
    reader.abort();
    let mut hedges = 0.0;
    for node in &cluster.nodes {
        hedges += metric(node.admin, "kelpwind_hedges_total", "").await;
    }
    (all, hedges)
}

fn least(
    servers: &[SocketAddr],
    reported: &Mutex<Vec<u64>>,
    random: &mut fastrand::Rng,
) -> SocketAddr {
    let mut reported = reported.lock();
    let lowest = reported.iter().min().copied().unwrap_or(0);
    let open: Vec<usize> = (0..servers.len()).filter(|i| reported[*i] == lowest).collect();
    let chosen = open[random.usize(..open.len())];
    // What it sent itself since the last report is known to the client.
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

fn row(way: Way, all: &[Done], hedges: f64) -> Vec<String> {
    let part = |from: f64, to: f64| -> Vec<f64> {
        let part: Vec<Done> =
            all.iter().filter(|d| d.sent >= from && d.sent < to).cloned().collect();
        latencies(&part)
    };
    let (before, while_slow) = (part(1.0, SLOW_FROM), part(SLOW_FROM, SLOW_TO));
    let ratio = quantile(&while_slow, 0.99) / quantile(&before, 0.99);
    vec![
        format!("{way:?}"),
        all.len().to_string(),
        all.iter().filter(|d| !d.ok).count().to_string(),
        short(quantile(&before, 0.5)),
        short(quantile(&before, 0.99)),
        short(quantile(&while_slow, 0.5)),
        short(quantile(&while_slow, 0.99)),
        short(ratio),
        format!("{hedges:.0}"),
    ]
}

fn p99_over_time(all: &[Done]) -> Vec<(f64, f64)> {
    const STEP: f64 = 0.5;
    let steps = (TIME.as_secs_f64() / STEP) as usize;
    let of_step = |i: usize| {
        let from = i as f64 * STEP;
        let part = all.iter().filter(|d| d.sent >= from && d.sent < from + STEP);
        let times: Vec<f64> = part.map(|d| d.took).collect();
        (from, quantile(&times, 0.99))
    };
    (0..steps).map(of_step).filter(|p| p.1.is_finite()).collect()
}
