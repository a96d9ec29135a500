//! Goodput at twice the load that the targets bear, by weight of the requests.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::Method;
use kelpwind_test_support::cluster::{Cluster, Target};
use serde_json::json;

use super::PROGRAM;
use super::load::{self, Done, Send};
use super::proc::{metric, quantile, short};
use super::write::Report;

/// 3 targets with 12 slots and requests of 40 ms bear 900 requests a second.
const BEARS: f64 = 900.0;
const TIME: Duration = Duration::from_secs(8);
const SEED: u64 = 9;
const DEADLINE: Duration = Duration::from_millis(1000);
/// Part of the requests that weigh 8; the others weigh 1.
const HEAVY: f64 = 0.2;
const WEIGHTS: [f64; 2] = [1.0, 8.0];

const BACKEND: &[&str] = &["--work-ms", "40", "--slots", "12"];
const TARGETS: [Target<'static>; 3] = [
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
    Target { service: "certificaat", domain: "dordt-b", flags: BACKEND },
    Target { service: "certificaat", domain: "delft-c", flags: BACKEND },
];

pub(crate) async fn measure(report: &mut Report) {
    report.part(
        "Overload",
        "Real processes: 3 targets with 12 slots, requests of 40 ms, deadline 1 s, 1,800 requests/s \
         (twice what they bear) for 8 s, a fifth of them of weight 8 and the others of weight 1. The \
         servers do not shed: each request over their slots slows all. The baseline sends to a \
         random server without a limit. Goodput is in parts of what the targets bear; `weighted` is \
         the weight done of the weight asked. Seed 9.",
    );
    let rows = vec![run(true).await, run(false).await];
    let head = [
        "way",
        "goodput",
        "weight 8 done",
        "weight 1 done",
        "weighted",
        "p99 of done ms",
        "p50 of refused ms",
        "sent to backends / asked",
    ];
    report.table(&head, &rows);
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
        |n: &kelpwind_test_support::cluster::Node| if kelpwind { n.listen } else { n.server };
    let to: Vec<SocketAddr> = cluster.nodes.iter().map(pick).collect();
    let what = move |random: &mut fastrand::Rng, _: f64| {
        let heavy = random.f64() < HEAVY;
        Send {
            to: to[random.usize(..to.len())],
            method: if heavy { Method::POST } else { Method::GET },
            path: "/certificaat/lijst".to_owned(),
            headers: vec![("kelpwind-deadline-ms", DEADLINE.as_millis().to_string())],
            class: usize::from(heavy),
            deadline: DEADLINE,
        }
    };
    let all = load::run(2.0 * BEARS, TIME, SEED, what, |_| {}).await;
    let mut ran = 0;
    for i in 0..TARGETS.len() {
        ran += cluster.executions(i).await.len();
    }
    let mut retries = 0.0;
    for node in &cluster.nodes {
        retries += metric(node.admin, "kelpwind_retries_total", "").await;
    }
    println!("  executions {ran}, retries {retries}");
    row(if kelpwind { "kelpwind" } else { "random, no limit" }, &all, ran)
}

fn row(way: &str, all: &[Done], ran: usize) -> Vec<String> {
    let done = |class: usize| all.iter().filter(|d| d.ok && d.class == class).count() as f64;
    let asked = |class: usize| all.iter().filter(|d| d.class == class).count() as f64;
    let goodput = (done(0) + done(1)) / (BEARS * TIME.as_secs_f64());
    let weighted = (0..2).map(|c| WEIGHTS[c] * done(c)).sum::<f64>()
        / (0..2).map(|c| WEIGHTS[c] * asked(c)).sum::<f64>();
    let times = load::latencies(all);
    let refused: Vec<f64> = all.iter().filter(|d| !d.ok).map(|d| d.took).collect();
    vec![
        way.to_owned(),
        short(goodput),
        short(done(1) / asked(1)),
        short(done(0) / asked(0)),
        short(weighted),
        short(quantile(&times, 0.99)),
        short(quantile(&refused, 0.5)),
        short(ran as f64 / all.len() as f64),
    ]
}
