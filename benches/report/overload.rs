//! Goodput at twice the capacity of the targets, by weight of the requests.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::Method;
use kelpwind_test_support::cluster::{Cluster, Target};
use serde_json::json;

use super::PROGRAM;
use super::load::{self, Completed, RequestSpec};
use super::proc::{format_short, metric_sum, quantile};
use super::write::Report;

/// Capacity of 3 targets with 12 slots and requests of 40 ms.
const CAPACITY_PER_S: f64 = 900.0;
const LOAD_TIME: Duration = Duration::from_secs(8);
const SEED: u64 = 9;
const DEADLINE: Duration = Duration::from_millis(1000);
/// Fraction of the requests with weight 8; the others have weight 1.
const HEAVY_FRACTION: f64 = 0.2;
/// Weights by request class.
const WEIGHTS: [f64; 2] = [1.0, 8.0];

const BACKEND: &[&str] = &["--work-ms", "40", "--slots", "12"];
const TARGETS: [Target<'static>; 3] = [
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
    Target { service: "certificaat", domain: "dordt-b", flags: BACKEND },
    Target { service: "certificaat", domain: "delft-c", flags: BACKEND },
];

pub(crate) async fn measure(report: &mut Report) {
    report.section(
        "Overload",
        "Processes: 3 targets with 12 slots, requests of 40 ms, deadline 1 s, 1,800 requests/s \
         (twice the capacity) for 8 s, a fifth of them with weight 8 and the others with weight 1. \
         The servers do not shed load: requests beyond their slots take longer. The baseline sends \
         each request to a random server without a limit. Goodput is a fraction of the capacity; \
         `weighted` is the weight of the successful requests divided by that of all. Seed 9.",
    );
    let rows = vec![run(true).await, run(false).await];
    let headings = [
        "policy",
        "goodput",
        "weight 8 done",
        "weight 1 done",
        "weighted",
        "p99 of done ms",
        "p50 of refused ms",
        "executions / requests",
    ];
    report.table(&headings, &rows);
}

async fn run(kelpwind: bool) -> Vec<String> {
    let cluster = Cluster::start_direct(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/weights.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_for_targets(0, "certificaat", TARGETS.len()).await;
    for i in 0..TARGETS.len() {
        cluster.set_backend_faults(i, json!({"sheds": false})).await;
    }
    let pick =
        |n: &kelpwind_test_support::cluster::Node| if kelpwind { n.listen } else { n.server_addr };
    let to: Vec<SocketAddr> = cluster.nodes.iter().map(pick).collect();
    let next_request = move |random: &mut fastrand::Rng, _: f64| {
        let heavy = random.f64() < HEAVY_FRACTION;
        RequestSpec {
            to: to[random.usize(..to.len())],
            method: if heavy { Method::POST } else { Method::GET },
            path: "/certificaat/lijst".to_owned(),
            headers: vec![("kelpwind-deadline-ms", DEADLINE.as_millis().to_string())],
            class: usize::from(heavy),
            deadline: DEADLINE,
        }
    };
    let all = load::run(2.0 * CAPACITY_PER_S, LOAD_TIME, SEED, next_request, |_| {}).await;
    let mut executions = 0;
    for i in 0..TARGETS.len() {
        executions += cluster.executions(i).await.len();
    }
    let mut retries = 0.0;
    for node in &cluster.nodes {
        retries += metric_sum(node.admin, "kelpwind_retries_total", "").await;
    }
    println!("  executions {executions}, retries {retries}");
    row(if kelpwind { "kelpwind" } else { "random, no limit" }, &all, executions)
}

fn row(policy: &str, all: &[Completed], executions: usize) -> Vec<String> {
    let done = |class: usize| all.iter().filter(|d| d.ok && d.class == class).count() as f64;
    let total = |class: usize| all.iter().filter(|d| d.class == class).count() as f64;
    let goodput = (done(0) + done(1)) / (CAPACITY_PER_S * LOAD_TIME.as_secs_f64());
    let weighted = (0..2).map(|c| WEIGHTS[c] * done(c)).sum::<f64>()
        / (0..2).map(|c| WEIGHTS[c] * total(c)).sum::<f64>();
    let latencies_ms = load::latencies(all);
    let refused_ms: Vec<f64> = all.iter().filter(|d| !d.ok).map(|d| d.latency_ms).collect();
    vec![
        policy.to_owned(),
        format_short(goodput),
        format_short(done(1) / total(1)),
        format_short(done(0) / total(0)),
        format_short(weighted),
        format_short(quantile(&latencies_ms, 0.99)),
        format_short(quantile(&refused_ms, 0.5)),
        format_short(executions as f64 / all.len() as f64),
    ]
}
