//! Admission under a configuration with bulk routes.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::platform::fleet::{CallResult, Fleet};
use crate::{assert_no_violations, until_served};

const SERVICES: &[(&str, u32)] = &[("books", 1)];
/// Port of the nodes for callers.
const CALLERS: u16 = 8304;

/// Publishes a configuration with a bulk route and waits until it is in force on the first host.
async fn add_bulk_route(fleet: &mut Fleet) {
    let route = r#"["files","files.example","/get/","download",2.5,1.0,2,2,"books"]"#;
    fleet.publish(SERVICES, route);
    let until = Instant::now() + Duration::from_secs(10);
    while fleet.call(0, "files", 1, false).await.status != 200 {
        assert!(Instant::now() < until, "the configuration is not in force within 10 s");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends requests at once and returns the number answered by the server.
async fn overload(fleet: &Fleet) -> usize {
    let calls = (0..120).map(|i| fleet.call(0, "books", i, false));
    let results: Vec<CallResult> = futures_util::future::join_all(calls).await;
    let odd: Vec<_> = results.iter().filter(|r| !matches!(r.status, 200 | 503)).collect();
    assert!(odd.is_empty(), "{} neither answered nor refused, the first: {:?}", odd.len(), odd[0]);
    assert!(results.iter().filter(|r| r.status == 503).all(|r| r.retry_after.is_some()));
    results.iter().filter(|r| r.status == 200).count()
}

/// Guards against 504 for requests that only waited, which `overload` checks, and against a bulk route that
/// makes a server answer much less under the same load.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_only_waited_are_refused_with_a_bulk_route() {
    let mut fleet = Fleet::start(SERVICES, Duration::from_millis(300)).await;
    until_served(&fleet, 0, 1).await;
    let before = overload(&fleet).await;
    add_bulk_route(&mut fleet).await;
    let after = overload(&fleet).await;
    println!("answered before {before}, after {after}");
    assert!(2 * after > before, "{after} answered, {before} without the route");
    assert_no_violations(&fleet);
}

/// Guards against a status that leaves open whether a request ran of which the node never had the whole
/// body.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_arrive_in_time_is_refused_as_not_run() {
    let mut fleet = Fleet::start(SERVICES, Duration::from_millis(5)).await;
    add_bulk_route(&mut fleet).await;
    let stream = TcpStream::connect((fleet.hosts[0].ip, CALLERS)).await;
    let mut stream = stream.expect("failed to connect to the node");
    let request = "POST /get/x HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: part\r\n\
                   X-Shard-Key: 1\r\nX-Deadline-Ms: 300\r\nContent-Length: 10\r\n\r\nhalf";
    stream.write_all(request.as_bytes()).await.expect("failed to send");
    let mut answer = vec![0; 12];
    let read = timeout(Duration::from_secs(3), stream.read_exact(&mut answer)).await;
    read.expect("no answer").expect("the connection ended");
    assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 503");
}
