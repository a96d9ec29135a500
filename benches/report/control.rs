//! Cost of the control plane: datagrams, bytes, processor time, memory and appends of idle nodes,
//! by the number of nodes. Each node and the log service are separate processes.

use std::net::SocketAddr;
use std::time::Duration;

use kelpwind_test_support::http::get;
use kelpwind_test_support::process::Process;
use serde_json::Value;

use super::PROGRAM;
use super::proc::{cpu_seconds, format_short, metric_sum, quantile, resident_bytes};
use super::write::Report;

const NODE_COUNTS: [usize; 4] = [3, 9, 27, 81];
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// UDP and IPv4 headers of one datagram.
const HEADER_BYTES: f64 = 28.0;

struct Node {
    process: Process,
    admin: SocketAddr,
}

#[derive(Clone, Copy)]
struct Sample {
    cpu_s: f64,
    sent: f64,
    received: f64,
    bytes_out: f64,
    bytes_in: f64,
    appends: f64,
}

pub(crate) async fn measure(report: &mut Report) {
    report.section(
        "Control",
        "Idle nodes as processes in 7 failure domains, without backend servers and requests, over \
         10 s, beginning 5 s after all have joined, when the witness sets are stable. Bytes \
         include UDP and IP headers, but not the reads of the log. Medians and maxima over the \
         nodes.",
    );
    let mut rows = Vec::new();
    for count in NODE_COUNTS {
        rows.push(measure_nodes(count).await);
    }
    let headings = [
        "nodes",
        "datagrams/s out",
        "bytes/s out",
        "bytes/s in",
        "max bytes/s out + in",
        "core %",
        "max core %",
        "memory MB",
        "appends",
    ];
    report.table(&headings, &rows);
}

async fn measure_nodes(count: usize) -> Vec<String> {
    let log = Process::start(PROGRAM, &["stand-in", "log", "--listen", "127.0.0.1:0"], &[]);
    let log_addr: String = serde_json::from_str(&log.ready_line).expect("an address");
    let nodes: Vec<Node> = (0..count).map(|i| start_node(i, &log_addr)).collect();
    let all_joined = async || {
        let status = get(nodes[0].admin, "/status").await;
        status.is_ok_and(|a| a.json()["members"].as_array().is_some_and(|m| m.len() == count))
    };
    while !all_joined().await {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = sample_all(&nodes).await;
    tokio::time::sleep(MEASURE_TIME).await;
    let after = sample_all(&nodes).await;
    let rates = |read: fn(&Sample) -> f64| -> Vec<f64> {
        let pairs = before.iter().zip(&after);
        pairs.map(|(b, a)| (read(a) - read(b)) / MEASURE_TIME.as_secs_f64()).collect()
    };
    let bytes_out = rates(|s| s.bytes_out + HEADER_BYTES * s.sent);
    let bytes_in = rates(|s| s.bytes_in + HEADER_BYTES * s.received);
    let both: Vec<f64> = bytes_out.iter().zip(&bytes_in).map(|(o, i)| o + i).collect();
    let core_percent: Vec<f64> = rates(|s| s.cpu_s).iter().map(|c| c * 100.0).collect();
    let resident: Vec<f64> =
        nodes.iter().map(|n| resident_bytes(n.process.id()) as f64 / 1e6).collect();
    let appends: f64 = rates(|s| s.appends).iter().sum::<f64>() * MEASURE_TIME.as_secs_f64();
    vec![
        count.to_string(),
        format_short(quantile(&rates(|s| s.sent), 0.5)),
        format_short(quantile(&bytes_out, 0.5)),
        format_short(quantile(&bytes_in, 0.5)),
        format_short(quantile(&both, 1.0)),
        format_short(quantile(&core_percent, 0.5)),
        format_short(quantile(&core_percent, 1.0)),
        format_short(quantile(&resident, 0.5)),
        format!("{appends:.0}"),
    ]
}

fn start_node(i: usize, log: &str) -> Node {
    let name = format!("n{i}");
    let domain = format!("domain-{}", i % 7);
    let any = "127.0.0.1:0";
    let args = [
        "node", "--name", &name, "--domain", &domain, "--listen", any, "--peer", any, "--admin",
        any, "--log", log,
    ];
    let process = Process::start(PROGRAM, &args, &[]);
    let ready: Value = serde_json::from_str(&process.ready_line).expect("a ready line");
    let admin = ready["admin"].as_str().and_then(|a| a.parse().ok()).expect("an address");
    Node { process, admin }
}

async fn sample_all(nodes: &[Node]) -> Vec<Sample> {
    let mut all = Vec::new();
    for node in nodes {
        let cpu_s = cpu_seconds(node.process.id());
        let sent = metric_sum(node.admin, "kelpwind_datagrams_total", "\"out\"").await;
        let received = metric_sum(node.admin, "kelpwind_datagrams_total", "\"in\"").await;
        let bytes_out = metric_sum(node.admin, "kelpwind_datagram_bytes_total", "\"out\"").await;
        let bytes_in = metric_sum(node.admin, "kelpwind_datagram_bytes_total", "\"in\"").await;
        let appends = metric_sum(node.admin, "kelpwind_appends_total", "kind").await;
        all.push(Sample { cpu_s, sent, received, bytes_out, bytes_in, appends });
    }
    all
}
