//! Deployments in which a backend server sends bytes without end instead of its answers.

use std::time::{Duration, Instant};

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::platform::Endless;
use super::platform::fleet::Fleet;
use super::{assert_no_violations, until_all_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 3), ("maps", 2)];
/// Time for which a server sends bytes without end.
const FAULT_TIME: Duration = Duration::from_secs(4);
/// Memory that the platform gives a node, in kB.
const MEMORY_MAX_KB: u64 = 260 << 10;
/// Longest time for a request that does not concern the server in trouble.
const LATENCY_MAX: Duration = Duration::from_millis(700);

/// Largest resident memory of a host's node so far, in kB.
fn peak_memory_kb(fleet: &Fleet, host: usize) -> u64 {
    let id = fleet.hosts[host].node.as_ref().expect("the node runs").id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a status file");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a line VmHWM");
    line.trim().trim_end_matches(" kB").parse().expect("a number of kB")
}

/// Longest time for which a report keeps its connection, in which heads may take 3 + 3 s.
const REPORT_MAX: Duration = Duration::from_secs(8);
const REPORT_HEAD: &str =
    "PUT /-/instances/i-1 HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n";
const REPORT_HEAD_1: &str =
    "PUT /-/instances/i-1 HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n1;";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";

/// The keys of one of the servers are asked for by callers on all hosts, and the other service's
/// requests pass through the same nodes.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::header("HTTP/1.1 200 OK\r\na: ", "x")]
#[case::interim_responses(INTERIM, INTERIM)]
#[case::body("HTTP/1.1 500 No\r\n\r\n", "x")]
#[case::chunk_extension(CHUNKED, "x")]
#[case::after_the_answer("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", "x")]
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_of_one_server_harm_other_requests(
    #[case] start: &'static str,
    #[case] unit: &'static str,
) {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    let server = fleet.hosts[0].server.as_ref().unwrap();
    server.set_endless(Some(Endless { start, unit }));
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut failed = Vec::new();
    while began.elapsed() < FAULT_TIME {
        for host in 0..5 {
            let called = Instant::now();
            let result = fleet.call(host, "maps", 1, false).await;
            slowest = slowest.max(called.elapsed());
            failed.extend((result.status != 200).then_some(result));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let during = fleet.statuses();
    server.set_endless(None);
    let healed = Instant::now();
    until_all_served(&fleet, 1).await;
    let healing = healed.elapsed();
    callers.iter().for_each(|c| c.abort());
    let peak = peak_memory_kb(&fleet, 0);
    println!("{during:?}, others within {slowest:?}, healed in {healing:?}, {peak} kB");
    assert_no_violations(&fleet);
    assert!(failed.is_empty(), "{} other requests failed: {:?}", failed.len(), failed[0]);
    assert!(slowest < LATENCY_MAX, "another request took {slowest:?}");
    assert!(peak < MEMORY_MAX_KB, "the node used {peak} kB");
    assert!(healing < Duration::from_secs(4), "keys had no owner for {healing:?}");
}

/// Guards against a node that keeps what servers send without end until it runs out of memory, with which the
/// requests of all callers on its host end: the smallest host, and answers without end to as many requests as
/// the server runs at once.
#[rstest]
#[case::status_line("x", "x")]
#[case::header("HTTP/1.1 200 OK\r\na: ", "x")]
#[case::body("HTTP/1.1 500 No\r\n\r\n", "x")]
#[case::chunks(
    "HTTP/1.1 500 No\r\ntransfer-encoding: chunked\r\n\r\n",
    "10\r\n0123456789abcdef\r\n"
)]
#[case::body_of_known_length("HTTP/1.1 500 No\r\ncontent-length: 67108864\r\n\r\n", "x")]
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_fill_the_memory_of_the_smallest_host(
    #[case] start: &'static str,
    #[case] unit: &'static str,
) {
    const MEMORY_KB: u64 = 160 << 10;
    let settings = "self.limits.memory-mb=160\nself.limits.max-fds=4100\n";
    let fleet = Fleet::start_with_settings(SERVICES, SERVICE_TIME, settings).await;
    let former = fleet.hosts[0].node.as_ref().unwrap().id();
    fleet.hosts[0].server.as_ref().unwrap().set_endless(Some(Endless { start, unit }));
    let callers: Vec<_> =
        (0..6).flat_map(|_| fleet.spawn_callers(&["books"], Duration::from_millis(10))).collect();
    let began = Instant::now();
    let mut failed = Vec::new();
    while began.elapsed() < FAULT_TIME {
        let result = fleet.call(0, "maps", 1, false).await;
        failed.extend((result.status != 200).then_some(result));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    callers.iter().for_each(|c| c.abort());
    let peak = peak_memory_kb(&fleet, 0);
    println!("{failed:?}, {peak} kB");
    assert_eq!(fleet.hosts[0].node.as_ref().unwrap().id(), former);
    assert!(failed.is_empty(), "{} other requests failed: {:?}", failed.len(), failed[0]);
    assert!(peak < MEMORY_KB, "the node used {peak} kB");
}

/// Sends `start`, and then `unit` every `pause` until the other end closes; returns the time taken.
async fn send_without_end(
    fleet: &Fleet,
    port: u16,
    start: &str,
    unit: &str,
    pause: Duration,
) -> Duration {
    let stream = TcpStream::connect((fleet.hosts[0].ip, port)).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let began = Instant::now();
    let write = async {
        let _ = writer.write_all(start.as_bytes()).await;
        while writer.write_all(unit.as_bytes()).await.is_ok() {
            tokio::time::sleep(pause).await;
        }
    };
    let mut answer = Vec::new();
    let closed = async {
        tokio::select! {
            () = write => {}
            // The node may answer before it closes.
            _ = reader.read_to_end(&mut answer) => {}
        }
    };
    let _ = tokio::time::timeout(REPORT_MAX * 2, closed).await;
    began.elapsed()
}

/// Reports go to the port to which no caller has access.
#[rstest]
#[case::head("PUT /-/instances/i-1", "x")]
#[case::header("PUT /-/instances/i-1 HTTP/1.1\r\nhost: n\r\na: ", "x")]
#[case::body(REPORT_HEAD, "1\r\n{\r\n")]
#[case::chunk_extension(REPORT_HEAD_1, "x")]
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_report_holds_its_connection(#[case] start: &str, #[case] unit: &str) {
    let fleet = Fleet::start(&[("books", 1)], SERVICE_TIME).await;
    let unit_at_once = unit.repeat(10_000);
    let block = [(unit_at_once.as_str(), Duration::ZERO), (unit, Duration::from_millis(50))];
    for (unit, pause) in block {
        let took = send_without_end(&fleet, 8306, start, unit, pause).await;
        assert!(took < REPORT_MAX, "not closed for {took:?} at a pause of {pause:?}");
    }
    assert_eq!(fleet.call(0, "books", 1, false).await.status, 200);
    let peak = peak_memory_kb(&fleet, 0);
    assert!(peak < MEMORY_MAX_KB, "the node used {peak} kB");
}
