//! Cost of control: datagrams, bytes, processor time, memory and appends of idle nodes, by their
//! number. Every node is a process of its own; the log is one more.

use std::net::SocketAddr;
use std::time::Duration;

use kelpwind_test_support::http::get;
use kelpwind_test_support::process::Process;
use serde_json::Value;

use super::PROGRAM;
use super::proc::{cpu, memory, metric, quantile, short};
use super::write::Report;

const COUNTS: [usize; 4] = [3, 9, 27, 81];
const TIME: Duration = Duration::from_secs(10);
/// Bytes of UDP and IP headers of one datagram.
const HEADERS: f64 = 28.0;

struct Node {
    process: Process,
    admin: SocketAddr,
}

#[derive(Clone, Copy)]
struct Sample {
    cpu: f64,
    sent: f64,
    received: f64,
    bytes_out: f64,
    bytes_in: f64,
    appends: f64,
}

pub(crate) async fn measure(report: &mut Report) {
    report.part(
        "Control",
        "Idle nodes as processes, 7 failure domains, no backend servers, no requests, over 10 s \
         after all have joined and their witness sets have settled. Bytes include UDP and IP \
         headers; reads of the log are not among them. Medians over the nodes, and the most.",
    );
    let mut rows = Vec::new();
    for count in COUNTS {
        rows.push(one(count).await);
    }
    let head = [
        "nodes",
        "datagrams/s out",
        "bytes/s out",
        "bytes/s in",
        "most bytes/s out + in",
        "core %",
        "most core %",
        "memory MB",
        "appends",
    ];
    report.table(&head, &rows);
}

async fn one(count: usize) -> Vec<String> {
    let log = Process::start(PROGRAM, &["stand-in", "log", "--listen", "127.0.0.1:0"], &[]);
    let log_addr: String = serde_json::from_str(&log.ready_line).expect("an address");
    let nodes: Vec<Node> = (0..count).map(|i| start(i, &log_addr)).collect();
    let all_joined = async || {
        let status = get(nodes[0].admin, "/status").await;
        status.is_ok_and(|a| a.json()["members"].as_array().is_some_and(|m| m.len() == count))
    };
    while !all_joined().await {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = sample_all(&nodes).await;
    tokio::time::sleep(TIME).await;
    let after = sample_all(&nodes).await;
    let rates = |read: fn(&Sample) -> f64| -> Vec<f64> {
        let pairs = before.iter().zip(&after);
        pairs.map(|(b, a)| (read(a) - read(b)) / TIME.as_secs_f64()).collect()
    };
    let out = rates(|s| s.bytes_out + HEADERS * s.sent);
    let inward = rates(|s| s.bytes_in + HEADERS * s.received);
    let both: Vec<f64> = out.iter().zip(&inward).map(|(o, i)| o + i).collect();
    let core: Vec<f64> = rates(|s| s.cpu).iter().map(|c| c * 100.0).collect();
    let resident: Vec<f64> = nodes.iter().map(|n| memory(n.process.id()) as f64 / 1e6).collect();
    let appends: f64 = rates(|s| s.appends).iter().sum::<f64>() * TIME.as_secs_f64();
    vec![
        count.to_string(),
        short(quantile(&rates(|s| s.sent), 0.5)),
        short(quantile(&out, 0.5)),
        short(quantile(&inward, 0.5)),
        short(quantile(&both, 1.0)),
        short(quantile(&core, 0.5)),
        short(quantile(&core, 1.0)),
        short(quantile(&resident, 0.5)),
        format!("{appends:.0}"),
    ]
}

fn start(i: usize, log: &str) -> Node {
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
        let cpu = cpu(node.process.id());
        let sent = metric(node.admin, "kelpwind_datagrams_total", "\"out\"").await;
        let received = metric(node.admin, "kelpwind_datagrams_total", "\"in\"").await;
        let bytes_out = metric(node.admin, "kelpwind_datagram_bytes_total", "\"out\"").await;
        let bytes_in = metric(node.admin, "kelpwind_datagram_bytes_total", "\"in\"").await;
        let appends = metric(node.admin, "kelpwind_appends_total", "kind").await;
        all.push(Sample { cpu, sent, received, bytes_out, bytes_in, appends });
    }
    all
}
