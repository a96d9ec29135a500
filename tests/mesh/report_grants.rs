//! Servers that are granted keys in the answers to their reports: lost, late and malformed exchanges,
//! and nodes and servers that stop, restart or pause.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;

use super::platform::fleet::Fleet;
use super::platform::server::{NodeConn, ReportFaults};
use super::{assert_no_violations, assert_serving, until_all_served, until_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 4), ("maps", 1)];
/// Longer than any grant.
const GRANT_END: Duration = Duration::from_secs(2);

/// Starts a deployment, calls `disturb` while callers go on, and checks what the servers recorded
/// until all keys are served again.
async fn check_ownership(disturb: impl AsyncFnOnce(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::start_reporting(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    disturb(&mut fleet).await;
    fleet.until_replaced().await;
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    println!("{:?}", fleet.statuses());
    assert_no_violations(&fleet);
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_served_for_as_long_as_reports_are_answered() {
    let fleet = Fleet::start_reporting(SERVICES, SERVICE_TIME).await;
    until_all_served(&fleet, 0).await;
    assert_serving(&fleet, 4, Duration::from_secs(5)).await;
    let log = fleet.log(0);
    assert!(log.contains(r#""way":"report""#), "no grant was logged as one in an answer");
    assert_no_violations(&fleet);
}

/// Moved keys are refused for less than the interval between two reports.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_draining_server_move_without_a_refusal() {
    let fleet = check_ownership(async |fleet| {
        fleet.hosts[0].server.as_ref().unwrap().drain();
        fleet.pause(Duration::from_secs(4)).await;
    })
    .await;
    assert!(fleet.log(0).contains("keys were moved"), "the keys have not moved");
    let refused = fleet.statuses().into_iter().filter(|(status, _)| *status != 200);
    assert_eq!(refused.collect::<Vec<_>>(), Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_renew_nothing_and_end_nothing() {
    check_ownership(async |fleet| {
        let server = fleet.hosts[0].server.clone().unwrap();
        server.set_report_faults(ReportFaults { lose_answers: true, ..ReportFaults::default() });
        fleet.pause(GRANT_END * 2).await;
        server.set_report_faults(ReportFaults::default());
        until_served(fleet, 1, 0).await;
        server.set_report_faults(ReportFaults { lose_answers: true, ..ReportFaults::default() });
        fleet.pause(Duration::from_millis(500)).await;
        server.drain();
        fleet.pause(GRANT_END).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answers_and_late_reports_extend_no_grant() {
    let late = Duration::from_millis(700);
    let faults = [
        ReportFaults { answer_delay: late, ..ReportFaults::default() },
        ReportFaults { report_delay: late, ..ReportFaults::default() },
        ReportFaults { new_connections: true, ..ReportFaults::default() },
    ];
    check_ownership(async |fleet| {
        for (host, faults) in faults.into_iter().enumerate() {
            fleet.hosts[host].server.as_ref().unwrap().set_report_faults(faults);
        }
        fleet.pause(Duration::from_secs(4)).await;
        for host in 0..faults.len() {
            fleet.hosts[host].server.as_ref().unwrap().drain();
            fleet.pause(GRANT_END).await;
            fleet.hosts[host].server.take().unwrap().crash();
            fleet.start_server(host).await;
        }
    })
    .await;
}

/// Together with the time on their way, answers that are held back would come too late. Requests that
/// come before a late answer must not keep the keys from being served once it has arrived.
#[rstest]
#[case(700, 0)]
#[case(0, 700)]
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_server_with_late_exchanges_are_served(
    #[case] report_ms: u64,
    #[case] answer_ms: u64,
) {
    let fleet = Fleet::start_reporting(SERVICES, SERVICE_TIME).await;
    let faults = ReportFaults {
        report_delay: Duration::from_millis(report_ms),
        answer_delay: Duration::from_millis(answer_ms),
        ..ReportFaults::default()
    };
    for host in 0..4 {
        fleet.hosts[host].server.as_ref().unwrap().set_report_faults(faults);
    }
    tokio::time::sleep(GRANT_END * 2).await;
    let began = Instant::now();
    until_all_served(&fleet, 0).await;
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_continues_the_keys_of_its_server() {
    let fleet = check_ownership(async |fleet| {
        fleet.hosts[0].node = None;
        fleet.start_node(0);
        fleet.pause(Duration::from_secs(3)).await;
    })
    .await;
    assert_eq!(fleet.log(1).matches("were taken over").count(), 0);
}

/// With rare reports grants outlast the lease by far. The server of a lost node lives on and holds its
/// keys until their time is over.
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_of_a_lost_node_are_taken_over_after_its_grants() {
    const INTERVAL: Duration = Duration::from_millis(1500);
    let mut fleet = Fleet::start_reporting_every(INTERVAL, SERVICES, SERVICE_TIME).await;
    for host in 0..3 {
        // Until a report was answered just before.
        let server = fleet.hosts[host].server.clone().unwrap();
        while server.remaining_hold() < INTERVAL {
            fleet.pause(Duration::from_millis(2)).await;
        }
        fleet.hosts[host].node = None;
        let took = until_served(&fleet, 3, host as u16 * 16_384).await;
        println!("served after {took:?}");
        fleet.pause(Duration::from_secs(1)).await;
        fleet.start_node(host);
        fleet.pause(Duration::from_secs(4)).await;
    }
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_does_not_renew_keys_that_were_taken_over() {
    check_ownership(async |fleet| {
        for pause in [600, 1200, 2500, 4000] {
            fleet.signal_node(0, "STOP");
            fleet.pause(Duration::from_millis(pause)).await;
            fleet.signal_node(0, "CONT");
            fleet.pause(Duration::from_secs(1)).await;
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_restarted_under_its_id_gets_higher_tokens() {
    check_ownership(async |fleet| {
        let id = fleet.hosts[0].server.as_ref().unwrap().id.clone();
        for delay in [0, 300, 900] {
            fleet.hosts[0].server.take().unwrap().crash();
            fleet.start_server_under(0, &id, Duration::from_millis(delay)).await;
            fleet.pause(Duration::from_millis(1500)).await;
        }
    })
    .await;
}

/// Reports tell processes apart by when they started.
#[tokio::test(flavor = "multi_thread")]
async fn two_processes_under_one_id_are_told_apart() {
    check_ownership(async |fleet| {
        let former = fleet.hosts[0].server.take().unwrap();
        former.close_listener();
        let id = former.id.clone();
        fleet.start_server_under(0, &id, Duration::ZERO).await;
        fleet.pause(Duration::from_secs(4)).await;
        former.crash();
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn owners_keep_their_keys_while_the_store_is_down() {
    let fleet = Fleet::start_reporting(SERVICES, SERVICE_TIME).await;
    until_all_served(&fleet, 0).await;
    fleet.store.set_down(true);
    assert_serving(&fleet, 4, Duration::from_secs(6)).await;
    fleet.store.set_down(false);
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_are_lost_at_once() {
    check_ownership(async |fleet| {
        for host in 0..fleet.hosts.len() {
            fleet.hosts[host].node = None;
        }
        for host in 0..fleet.hosts.len() {
            fleet.start_node(host);
        }
        let took = until_served(fleet, 1, 0).await;
        println!("served after {took:?}");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_stop_in_turn_hand_their_keys_over() {
    let fleet = check_ownership(async |fleet| {
        for host in 0..3 {
            fleet.replace_node(host);
            fleet.until_replaced().await;
            fleet.pause(Duration::from_secs(1)).await;
        }
    })
    .await;
    let statuses = fleet.statuses();
    let broken = statuses.iter().filter(|(status, _)| matches!(status, 502 | 504));
    assert_eq!(broken.collect::<Vec<_>>(), Vec::new());
}

/// Calls can tell a server at any time what to release.
#[tokio::test(flavor = "multi_thread")]
async fn a_move_that_waits_for_a_report_begins_when_the_server_is_granted_keys_by_calls() {
    const MOVE_TIME: Duration = Duration::from_secs(4);
    let fleet = check_ownership(async |fleet| {
        let idle = fleet.hosts[3].server.take().unwrap();
        idle.drain();
        fleet.pause(GRANT_END * 2).await;
        idle.crash();
        fleet.pause(GRANT_END).await;
        let server = fleet.hosts[0].server.clone().unwrap();
        // None arrives before the configuration changes.
        let late = Duration::from_secs(60);
        server.set_report_faults(ReportFaults { report_delay: late, ..ReportFaults::default() });
        fleet.pause(Duration::from_secs(1)).await;
        let before = fleet.log(0).matches("keys begin to move").count();
        fleet.start_server(3).await;
        fleet.pause(Duration::from_secs(1)).await;
        assert_eq!(fleet.log(0).matches("keys begin to move").count(), before);
        fleet.set_grants_in_reports(false);
        fleet.publish(SERVICES, "");
        server.set_report_faults(ReportFaults::default());
        fleet.pause(MOVE_TIME).await;
        assert_eq!(fleet.log(0).matches("keys begin to move").count(), before + 1);
        server.drain();
        fleet.pause(MOVE_TIME).await;
        assert_eq!(server.remaining_hold(), Duration::ZERO, "the keys have not moved");
    })
    .await;
    assert!(!fleet.log(0).contains(r#""change":"silent""#), "the server was detached meanwhile");
}

/// Reports that cannot be read are refused, change nothing and delay no request.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_reports_change_nothing() {
    let fleet = Fleet::start_reporting(SERVICES, SERVICE_TIME).await;
    until_all_served(&fleet, 0).await;
    let node = SocketAddr::new(fleet.hosts[0].ip.into(), 8306);
    let id = fleet.hosts[0].server.as_ref().unwrap().id.clone();
    let report = |holds: &str, freed: &str| {
        format!(
            r#"{{"address":"","born":99999999999999,"holds":{holds},"freed":{freed},
            "info":{{"service":"books","version":"v1","zone":"zone-0","slots":6}},
            "status":{{"state":"ready","sequence":100000,"cold-remaining-s":0}}}}"#
        )
    };
    let many = (0..30_000).map(|i| format!("[{i},{i},1]")).collect::<Vec<_>>().join(",");
    let broken = [
        report("[[9,3,1]]", "[]"),
        report("[[0,10,1],[10,20,1]]", "[]"),
        report("[[0,70000,1]]", "[]"),
        report("[[0,10,-1]]", "[]"),
        report("[[0,10]]", "[]"),
        report("{}", "[]"),
        report("[]", "[[5,4,\"x\"]]"),
        report("[]", "[[0,1,7]]"),
        report(&format!("[{many}]"), "[]"),
    ];
    for body in broken {
        let mut conn = NodeConn::open(node).await.expect("the node accepts a connection");
        let path = format!("/-/instances/{id}");
        let answer = conn.call("PUT", &path, body.clone()).await;
        let status = answer.map(|(status, _)| status);
        assert_eq!(status, Some(400), "{}", &body[..body.len().min(200)]);
        let began = Instant::now();
        let result = fleet.call(0, "books", 0, false).await;
        assert_eq!(result.status, 200, "{result:?}");
        assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    }
    assert_no_violations(&fleet);
}
