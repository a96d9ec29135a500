//! Cost of the data path: requests through two nodes compared with direct requests to the same
//! backend server.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use kelpwind::net::pool::Pool;
use kelpwind_test_support::cluster::{Cluster, Target};

use super::PROGRAM;
use super::proc::{cpu_seconds, format_short, quantile, resident_bytes};
use super::write::Report;

const CONNECTIONS: [usize; 5] = [1, 4, 16, 64, 256];
const RUN_TIME: Duration = Duration::from_secs(4);

const BACKEND: &[&str] = &["--work-ms", "0", "--slots", "512", "--conns", "512"];
const TARGETS: [Target<'static>; 2] = [
    Target { service: "certificaat", domain: "rdam-a", flags: BACKEND },
    Target { service: "historie", domain: "dordt-b", flags: BACKEND },
];

pub(crate) async fn measure(report: &mut Report) {
    report.section(
        "Data path",
        "Processes on one host, closed loop, 4 s per run. The client sends its requests directly \
         to a backend server that responds at once, or to the entry of another node, which \
         forwards them to the gate beside that server. Processor time is that of all processes, \
         including the client, per request.",
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
        let direct = run(cluster.nodes[0].server_addr, connections, &ids).await;
        let routed = run(cluster.nodes[1].listen, connections, &ids).await;
        rows.push(row(connections, &direct, &routed));
    }
    let headings = [
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
        row.push(format_short(resident_bytes(ids[1]) as f64 / 1e6));
        row.push(format_short(resident_bytes(ids[2]) as f64 / 1e6));
    }
    report.table(&headings, &rows);
}

struct Run {
    latencies_ms: Vec<f64>,
    cpu_s: f64,
}

async fn run(to: SocketAddr, connections: usize, ids: &[u32]) -> Run {
    let total = |ids: &[u32]| ids.iter().map(|id| cpu_seconds(*id)).sum::<f64>();
    let pool = Arc::new(Pool::new(None));
    let deadline = Instant::now() + RUN_TIME;
    let before = total(ids);
    let workers: Vec<_> =
        (0..connections).map(|_| tokio::spawn(send_until(pool.clone(), to, deadline))).collect();
    let mut latencies_ms = Vec::new();
    for worker in workers {
        latencies_ms.extend(worker.await.expect("worker panicked"));
    }
    Run { latencies_ms, cpu_s: total(ids) - before }
}

async fn send_until(pool: Arc<Pool>, to: SocketAddr, deadline: Instant) -> Vec<f64> {
    let mut latencies_ms = Vec::new();
    while Instant::now() < deadline {
        let request = Request::get("/certificaat/lijst").body(Bytes::new()).expect("a request");
        let began = Instant::now();
        let answer = pool.call(to, request, began + Duration::from_secs(5)).await;
        if answer.is_ok_and(|a| a.status().is_success()) {
            latencies_ms.push(began.elapsed().as_secs_f64() * 1e3);
        }
    }
    latencies_ms
}

fn row(connections: usize, direct: &Run, routed: &Run) -> Vec<String> {
    let rate = |r: &Run| format_short(r.latencies_ms.len() as f64 / RUN_TIME.as_secs_f64());
    let p50_p99 = |r: &Run| {
        format!(
            "{} / {}",
            format_short(quantile(&r.latencies_ms, 0.5)),
            format_short(quantile(&r.latencies_ms, 0.99))
        )
    };
    let cpu_us = |r: &Run| r.cpu_s * 1e6 / r.latencies_ms.len().max(1) as f64;
    vec![
        connections.to_string(),
        rate(direct),
        rate(routed),
        p50_p99(direct),
        p50_p99(routed),
        format_short(cpu_us(direct)),
        format_short(cpu_us(routed)),
        format_short(cpu_us(routed) / cpu_us(direct)),
    ]
}
