//! Cost of the data path: two nodes against a direct call to the same backend server.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use kelpwind::net::pool::Pool;
use kelpwind_test_support::cluster::{Cluster, Target};

use super::PROGRAM;
use super::proc::{cpu, memory, quantile, short};
use super::write::Report;

const CONNECTIONS: [usize; 5] = [1, 4, 16, 64, 256];
const TIME: Duration = Duration::from_secs(4);

const BACKEND: &[&str] = &["--work-ms", "0", "--slots", "512", "--conns", "512"];
const TARGETS: [Target<'static>; 2] = [
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
    Target { service: "historie", domain: "dordt-b", flags: BACKEND },
];

pub(crate) async fn measure(report: &mut Report) {
    report.part(
        "Data path",
        "Real processes on one machine, closed loop, 4 s each: a client's requests go straight to a \
         backend server that answers at once, or to another node's entry and from there through the \
         gate. Processor time is of all processes, the client included, for each request.",
    );
    let cluster = Cluster::start_direct(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/two-services.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_for_targets(0, "certificaat", 1).await;
    let ids = [
        std::process::id(),
        cluster.nodes[0].process.id(),
        cluster.nodes[1].process.id(),
        cluster.nodes[0].backend.id(),
    ];
    let mut rows = Vec::new();
    for connections in CONNECTIONS {
        let direct = run(cluster.nodes[0].server, connections, &ids).await;
        let routed = run(cluster.nodes[1].listen, connections, &ids).await;
        rows.push(row(connections, &direct, &routed));
    }
    let head = [
        "connections",
        "direct req/s",
        "routed req/s",
        "direct p50/p99 ms",
        "routed p50/p99 ms",
        "direct CPU µs",
        "routed CPU µs",
        "CPU ratio",
        "gate memory MB",
        "entry memory MB",
    ];
    for row in &mut rows {
        row.push(short(memory(ids[1]) as f64 / 1e6));
        row.push(short(memory(ids[2]) as f64 / 1e6));
    }
    report.table(&head, &rows);
}

struct Run {
    times: Vec<f64>,
    cpu: f64,
}

async fn run(to: SocketAddr, connections: usize, ids: &[u32]) -> Run {
    let total = |ids: &[u32]| ids.iter().map(|id| cpu(*id)).sum::<f64>();
    let pool = Arc::new(Pool::new(None));
    let until = Instant::now() + TIME;
    let before = total(ids);
    let workers: Vec<_> =
        (0..connections).map(|_| tokio::spawn(work(pool.clone(), to, until))).collect();
    let mut times = Vec::new();
    for worker in workers {
        times.extend(worker.await.expect("the worker does not panic"));
    }
    Run { times, cpu: total(ids) - before }
}

async fn work(pool: Arc<Pool>, to: SocketAddr, until: Instant) -> Vec<f64> {
    let mut times = Vec::new();
    while Instant::now() < until {
        let request = Request::get("/certificaat/lijst").body(Bytes::new()).expect("a request");
        let began = Instant::now();
        let answer = pool.call(to, request, began + Duration::from_secs(5)).await;
        if answer.is_ok_and(|a| a.status().is_success()) {
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
    }
    times
}

fn row(connections: usize, direct: &Run, routed: &Run) -> Vec<String> {
    let rate = |r: &Run| short(r.times.len() as f64 / TIME.as_secs_f64());
    let pair = |r: &Run| {
        format!("{} / {}", short(quantile(&r.times, 0.5)), short(quantile(&r.times, 0.99)))
    };
    let each = |r: &Run| r.cpu * 1e6 / r.times.len().max(1) as f64;
    vec![
        connections.to_string(),
        rate(direct),
        rate(routed),
        pair(direct),
        pair(routed),
        short(each(direct)),
        short(each(routed)),
        short(each(routed) / each(direct)),
    ]
}
