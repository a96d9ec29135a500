//! Deployments whose configuration has a bulk route, so that targets are chosen and keys are placed by
//! the work of requests.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::platform::fleet::Fleet;
use super::{assert_no_violations, until_all_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 3), ("maps", 3)];
const BULK_ROUTE: &str = r#"["files","files.example","/get/","download",2.5,1.0,2,2,"maps"]"#;
/// Cold start of the servers, during which no keys move.
const COLD_START: Duration = Duration::from_secs(4);
/// Longest time until the hot keys begin to move. Much longer than the half second that is aimed at, since
/// the whole deployment shares one machine with other tests.
const SHED_MAX: Duration = Duration::from_secs(8);

/// Port on which nodes serve their metrics.
const METRICS_PORT: u16 = 9464;

/// Number of requests that all gates together have returned unrun.
async fn returned(fleet: &Fleet) -> u64 {
    let mut sum = 0;
    for host in &fleet.hosts {
        let mut stream = TcpStream::connect((host.ip, METRICS_PORT)).await.unwrap();
        let head = b"GET /metrics HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        let line = answer.lines().find_map(|l| l.strip_prefix("kelpwind_gate_returned_total "));
        sum += line.expect("the metric").parse::<u64>().unwrap();
    }
    sum
}

async fn start_with_bulk() -> Fleet {
    let mut fleet =
        Fleet::start_with_settings(SERVICES, SERVICE_TIME, "placing.shed-hot-keys=true\n").await;
    fleet.publish(SERVICES, BULK_ROUTE);
    until_all_served(&fleet, 1).await;
    fleet.pause(COLD_START).await;
    fleet
}

/// Guards against requests that are lost or run twice when full gates return them: callers on all hosts
/// send half as many requests again as all servers together have slots.
#[tokio::test(flavor = "multi_thread")]
async fn returned_requests_run_once_and_are_answered() {
    let fleet = start_with_bulk().await;
    for _ in 0..10 {
        let calls: Vec<_> = (0..27)
            .map(|i| fleet.spawn_call(i % fleet.hosts.len(), "maps", i as u16, i % 2 == 0))
            .collect();
        for call in calls {
            let result = call.await.expect("the call ends");
            assert_eq!(result.status, 200, "{result:?}");
        }
    }
    let callers = fleet.spawn_callers(&["maps", "books"], Duration::from_millis(5));
    tokio::time::sleep(Duration::from_secs(2)).await;
    callers.iter().for_each(|c| c.abort());
    let returned = returned(&fleet).await;
    println!("{returned} requests were returned");
    assert!(returned > 0, "no gate has returned a request");
    assert_no_violations(&fleet);
}

/// Guards against hot keys that stay with one owner, and against two owners of a key while they move.
#[tokio::test(flavor = "multi_thread")]
async fn adjacent_hot_keys_are_shed_to_other_owners() {
    let fleet = start_with_bulk().await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(50));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let began = Instant::now();
    let mut calls = Vec::new();
    let is_shed = || (0..fleet.hosts.len()).any(|h| fleet.log(h).contains("hot keys are shed"));
    while !is_shed() {
        assert!(began.elapsed() < SHED_MAX, "no keys were shed");
        for i in 0..10 {
            let key = 10_000 + fastrand::u16(..200);
            calls.push(fleet.spawn_call(i % fleet.hosts.len(), "books", key, i % 2 == 0));
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    println!("shed after {:?}", began.elapsed());
    for call in calls {
        let status = call.await.expect("the call ends").status;
        assert!(status == 200 || status == 503, "{status}");
    }
    callers.iter().for_each(|c| c.abort());
    until_all_served(&fleet, 1).await;
    assert_no_violations(&fleet);
}
