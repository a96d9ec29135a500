//! Random sequences of faults, two at a time, against the safety checks of a workload. Safety must
//! hold whatever the timing; the seed of a case determines its sequence.

use std::time::Duration;

use kelpwind_test_support::cluster::{Cluster, Target, node_ip};
use kelpwind_test_support::history::{contradictions, overlaps, token_regressions};
use kelpwind_test_support::workload::{Plan, Workload, summary};
use rstest::rstest;
use serde_json::json;

use crate::support::{start_cluster, wait_until_served, workload_plan};

const BACKEND: &[&str] = &["--fenced", "--work-ms", "15"];
const SIX: [Target<'static>; 6] = [
    Target { service: "historie", domain: "rdam-a", flags: BACKEND },
    Target { service: "historie", domain: "dordt-b", flags: BACKEND },
    Target { service: "historie", domain: "delft-c", flags: BACKEND },
    Target { service: "historie", domain: "rdam-a", flags: BACKEND },
    Target { service: "historie", domain: "dordt-b", flags: BACKEND },
    Target { service: "historie", domain: "delft-c", flags: BACKEND },
];
/// Number of pairs of faults in one sequence.
const ROUNDS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Freeze(usize),
    Isolate(usize),
    /// Nothing that the node sends arrives; it still receives what others send.
    CutOutgoing(usize),
    LogDown,
    /// The log service applies appends, but loses half of its replies.
    LogLosesReplies,
    /// Replies of the log service do not reach the node.
    LogRepliesCut(usize),
    /// Established connections to the node stop delivering data.
    SilenceConnections(usize),
    Drain,
}

fn random_fault(random: &mut fastrand::Rng) -> Fault {
    let node = random.usize(1..SIX.len());
    match random.u32(..9) {
        0 => Fault::Kill(node),
        1 => Fault::Freeze(node),
        2 => Fault::Isolate(node),
        3 => Fault::CutOutgoing(node),
        4 => Fault::LogDown,
        5 => Fault::LogLosesReplies,
        6 => Fault::LogRepliesCut(node),
        7 => Fault::SilenceConnections(node),
        _ => Fault::Drain,
    }
}

async fn inject(cluster: &mut Cluster, fault: Fault, round: usize) {
    match fault {
        Fault::Kill(i) => cluster.nodes[i].process.kill(),
        Fault::Freeze(i) => cluster.nodes[i].process.signal("STOP"),
        Fault::Isolate(i) => cluster.isolate(i, true).await,
        Fault::CutOutgoing(i) => cut_outgoing(cluster, i, true).await,
        Fault::LogDown => cluster.set_log_faults(json!({"down": true})).await,
        Fault::LogLosesReplies => cluster.set_log_faults(json!({"lose_replies": 0.5})).await,
        Fault::LogRepliesCut(i) => {
            cluster.set_link_faults(&format!("log-{i}"), json!({"cut_backward": true})).await;
        }
        Fault::SilenceConnections(i) => {
            cluster.set_link_faults(&format!("peer-{i}"), json!({"silence": round + 1})).await;
        }
        Fault::Drain => drop(cluster.command(0, &["drain", "delft-c"])),
    }
}

async fn heal(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Kill(i) => cluster.restart(i).await,
        Fault::Freeze(i) => cluster.nodes[i].process.signal("CONT"),
        Fault::Isolate(i) => cluster.isolate(i, false).await,
        Fault::CutOutgoing(i) => cut_outgoing(cluster, i, false).await,
        Fault::LogDown | Fault::LogLosesReplies => cluster.set_log_faults(json!({})).await,
        Fault::LogRepliesCut(i) => cluster.set_link_faults(&format!("log-{i}"), json!({})).await,
        Fault::SilenceConnections(_) => {}
        Fault::Drain => drop(cluster.command(0, &["undrain", "delft-c"])),
    }
}

async fn cut_outgoing(cluster: &Cluster, i: usize, cut: bool) {
    for other in (0..SIX.len()).filter(|o| *o != i) {
        let faults = json!({"cut_forward": cut, "only": [node_ip(i)]});
        cluster.set_link_faults(&format!("peer-{other}"), faults).await;
    }
}

#[rstest]
#[case(101)]
#[case(102)]
#[case(103)]
#[case(104)]
#[tokio::test]
async fn no_fault_sequence_gives_a_key_two_owners(#[case] seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut cluster = start_cluster(&SIX).await;
    let base = workload_plan(&cluster, &[0, 1, 2, 3, 4, 5], seed);
    let load =
        Workload::start(Plan { interval: Duration::from_millis(8), write_ratio: 0.4, ..base });
    for round in 0..ROUNDS {
        let (first, second) = (random_fault(&mut random), random_fault(&mut random));
        println!("seed {seed}, round {round}: {first:?} and {second:?}");
        inject(&mut cluster, first, round).await;
        tokio::time::sleep(Duration::from_millis(random.u64(..800))).await;
        inject(&mut cluster, second, round).await;
        tokio::time::sleep(Duration::from_millis(random.u64(300..2500))).await;
        heal(&mut cluster, first).await;
        heal(&mut cluster, second).await;
        tokio::time::sleep(Duration::from_millis(random.u64(..1000))).await;
    }
    wait_until_served(&cluster, 0).await;
    let requests = load.stop().await;
    let executions = cluster.all_executions().await;
    println!("{:?}, {} executions", summary(&requests), executions.len());
    assert_eq!(overlaps(&executions, 0), [], "a key ran on two servers at once");
    assert_eq!(token_regressions(&executions), [], "a key went back to an earlier grant");
    assert_eq!(contradictions(&requests, &executions), [""; 0]);
}
