//! Time from the kill of an owner until one of its keys is served again.

use std::path::Path;
use std::time::{Duration, Instant};

use kelpwind_test_support::cluster::{Cluster, Target};
use kelpwind_test_support::http::get;

use super::PROGRAM;
use super::plot::{distribution, lines};
use super::proc::{quantile, short};
use super::write::Report;

/// Deployments measured at once.
const DEPLOYMENTS: usize = 3;
/// Kills in each.
const KILLS: usize = 34;
/// Time between two looks at whether the key is served.
const LOOK: Duration = Duration::from_millis(5);

const TARGETS: [Target<'static>; 6] = [
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
    Target::new("historie", "rdam-a"),
    Target::new("historie", "dordt-b"),
    Target::new("historie", "delft-c"),
];

pub(crate) async fn measure(report: &mut Report) {
    report.part(
        "Failover",
        "Real processes: 6 nodes in 3 failure domains, log up. The owner of a key is killed; the key \
         is asked for at another node every 5 ms until it is done. 102 kills.",
    );
    let threads: Vec<_> = (0..DEPLOYMENTS).map(|_| std::thread::spawn(deployment)).collect();
    let joined = threads.into_iter().map(|t| t.join().expect("the measurement does not panic"));
    let times: Vec<f64> = joined.flatten().collect();
    let row = [0.5, 0.9, 0.99, 1.0].map(|q| short(quantile(&times, q)));
    let within = times.iter().filter(|t| **t <= 2000.0).count();
    let mut cells = vec![times.len().to_string()];
    cells.extend(row);
    cells.push(format!("{within} of {}", times.len()));
    report.table(&["kills", "p50 ms", "p90 ms", "p99 ms", "most ms", "within 2 s"], &[cells]);
    let path = report.plot("failover");
    let line = distribution("time without service", &times);
    lines(&path, "Time from a kill to service", "ms", "% of kills", &[line]);
}

fn deployment() -> Vec<f64> {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    runtime.block_on(kill_again_and_again())
}

async fn kill_again_and_again() -> Vec<f64> {
    let mut cluster = Cluster::start(PROGRAM, &TARGETS).await;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/keteltoezicht.toml");
    cluster.publish(0, &config, 0).await;
    cluster.wait_until_ready(0, TARGETS.len()).await;
    let mut times = Vec::new();
    for kill in 0..KILLS {
        let victim = 1 + kill % 5;
        let key = cluster.key_owned_by(0, "historie", victim).await;
        let path = format!("/historie/{key}");
        cluster.nodes[victim].process.kill();
        let began = Instant::now();
        while !get(cluster.nodes[0].listen, &path).await.is_ok_and(|a| a.outcome == "done") {
            tokio::time::sleep(LOOK).await;
        }
        times.push(began.elapsed().as_secs_f64() * 1e3);
        cluster.restart(victim).await;
        cluster.wait_until_ready(0, TARGETS.len()).await;
        let owns = async || cluster.owned_slices(0, victim).await > 0;
        cluster.wait_until("the restarted node gets keys", owns).await;
    }
    times
}
