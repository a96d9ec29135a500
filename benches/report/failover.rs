//! Time from the failure of an owner until one of its keys is served again.

use std::path::Path;
use std::time::{Duration, Instant};

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::http::get;

use super::PROGRAM;
use super::plot::{distribution, draw_lines};
use super::proc::{format_short, quantile};
use super::write::Report;

/// Deployments that run concurrently.
const DEPLOYMENTS: usize = 3;
/// Owners killed in each deployment, one after the other.
const KILLS: usize = 34;
/// Interval at which the key is requested until it is served.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

const TARGETS: [Target<'static>; 6] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
];

pub(crate) async fn measure(report: &mut Report) {
    report.section(
        "Failover",
        "Processes: 6 nodes in 3 failure domains, log service available. The owner of a key is \
         killed, and the key is requested at another node every 5 ms until a request succeeds. \
         102 kills.",
    );
    let threads: Vec<_> = (0..DEPLOYMENTS).map(|_| std::thread::spawn(run_deployment)).collect();
    let joined = threads.into_iter().map(|t| t.join().expect("measurement thread panicked"));
    let times_ms: Vec<f64> = joined.flatten().collect();
    let row = [0.5, 0.9, 0.99, 1.0].map(|q| format_short(quantile(&times_ms, q)));
    let within = times_ms.iter().filter(|t| **t <= 2000.0).count();
    let mut cells = vec![times_ms.len().to_string()];
    cells.extend(row);
    cells.push(format!("{within} of {}", times_ms.len()));
    report.table(&["kills", "p50 ms", "p90 ms", "p99 ms", "max ms", "within 2 s"], &[cells]);
    let path = report.plot("failover");
    let line = distribution("time without service", &times_ms);
    draw_lines(
        &path,
        "Time from the kill of an owner to the next success",
        "ms",
        "% of kills",
        &[line],
    );
}

fn run_deployment() -> Vec<f64> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    runtime.block_on(kill_owners())
}

async fn kill_owners() -> Vec<f64> {
    let mut cluster = Cluster::start(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/keteltoezicht.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_until_ready(0, TARGETS.len()).await;
    let mut times_ms = Vec::new();
    for kill in 0..KILLS {
        let victim = 1 + kill % 5;
        let key = cluster.key_owned_by(0, "historie", victim).await;
        let path = format!("/historie/{key}");
        cluster.nodes[victim].process.kill();
        let began = Instant::now();
        while !get(cluster.nodes[0].listen, &path).await.is_ok_and(|a| a.outcome == "done") {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        times_ms.push(began.elapsed().as_secs_f64() * 1e3);
        cluster.restart(victim).await;
        cluster.wait_until_ready(0, TARGETS.len()).await;
        let owns = async || cluster.owned_slices(0, victim).await > 0;
        cluster.wait_until("the restarted node gets keys", owns).await;
    }
    times_ms
}
