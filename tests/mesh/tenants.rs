//! Tenants of a whole deployment: API keys, and what backend servers get to see.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::platform::fleet::Fleet;
use crate::{SERVICE_TIME, SERVICES};

/// Time within which an acknowledged configuration must be in force everywhere.
const APPLY_TIME: Duration = Duration::from_millis(2500);
/// Row of a route that needs no API key.
const PUBLIC: &str = r#"["open","open.example","/get/","safe",2.5,1.0,2,2,"maps",true]"#;

/// Sends a request with these header lines, and returns the status and the text of the answer.
async fn send(fleet: &Fleet, node: usize, host: &str, lines: &str) -> (u16, String) {
    let mut conn = TcpStream::connect((fleet.hosts[node].ip, 8304)).await.unwrap();
    let id = fastrand::u64(..);
    let head = format!(
        "GET /get/x?show=headers HTTP/1.1\r\nhost: {host}.example\r\nx-request-id: {id:x}\r\n\
         x-shard-key: 1\r\nx-deadline-ms: 2500\r\nconnection: close\r\n{lines}\r\n"
    );
    conn.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    conn.read_to_end(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer).to_lowercase();
    let status = text.get(9..12).and_then(|s| s.parse().ok());
    (status.unwrap_or_else(|| panic!("no status in '{text}'")), text)
}

/// Waits until a request with a key gets this status at every node, and fails if that takes too long.
async fn until_status(fleet: &Fleet, key: &str, status: u16) {
    let until = Instant::now() + APPLY_TIME;
    for node in 0..fleet.hosts.len() {
        loop {
            let (last, text) = send(fleet, node, "maps", &format!("x-credential: {key}\r\n")).await;
            if last == status {
                break;
            }
            assert!(Instant::now() < until, "node {node}, key {key}: {text}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

// Guards against keys that reach backend servers, callers that name a tenant themselves, and keys
// that outlast their removal.
#[tokio::test(flavor = "multi_thread")]
async fn keys_decide_whose_request_it_is_and_reach_no_server() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let (status, text) = send(&fleet, 0, "maps", "x-credential: k-1\r\nx-tenant: me\r\n").await;
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("x-credential: k-1") && text.contains("x-tenant: me"), "{text}");
    fleet.tenants = Some(r#"["blue",["k-1","k-2"],0,0,0,null],["red",["k-3"]]"#.to_owned());
    fleet.publish(SERVICES, PUBLIC);
    until_status(&fleet, "k-9", 401).await;
    for (node, key, tenant) in [(0, "k-1", "blue"), (1, "k-2", "blue"), (2, "k-3", "red")] {
        for host in ["maps", "books", "open"] {
            let lines = format!("X-Credential: {key}\r\nX-Tenant: me\r\nX-Tenant: you\r\n");
            let (status, text) = send(&fleet, node, host, &lines).await;
            assert_eq!(status, 200, "{text}");
            assert!(text.contains(&format!("\nx-tenant: {tenant}")), "{text}");
            assert_eq!(text.matches("x-tenant").count(), 1, "{text}");
            assert!(!text.contains("x-credential") && !text.contains(key), "{text}");
        }
    }
    for lines in ["", "x-credential: \r\n", "x-credential: k-1\r\nx-credential: k-3\r\n"] {
        let (status, text) = send(&fleet, 0, "maps", lines).await;
        assert_eq!(status, 401, "{text}");
        assert!(text.contains("kelpwind-code: 108"), "{text}");
        let lines = format!("{lines}x-tenant: red\r\n");
        let (status, text) = send(&fleet, 0, "open", &lines).await;
        assert_eq!(status, 200, "{text}");
        assert!(!text.contains("x-tenant") && !text.contains("x-credential"), "{text}");
    }
    // A body that is never sent: the refusal must not wait for it.
    let large = "content-length: 1000000\r\nx-credential: k-9\r\n";
    let refused =
        tokio::time::timeout(Duration::from_secs(1), send(&fleet, 0, "maps", large)).await;
    assert_eq!(refused.expect("the refusal waited for the body").0, 401);
    fleet.tenants = Some(r#"["blue",["k-2","k-4"]],["red",["k-3"]]"#.to_owned());
    fleet.publish(SERVICES, PUBLIC);
    until_status(&fleet, "k-4", 200).await;
    until_status(&fleet, "k-1", 401).await;
    for node in 0..fleet.hosts.len() {
        let log = fleet.log(node);
        assert!(!["k-1", "k-2", "k-3", "k-4", "k-9"].iter().any(|key| log.contains(key)));
    }
}

// Guards against a quota that each node grants for itself, and a refusal without 429 and Retry-After.
#[tokio::test(flavor = "multi_thread")]
async fn a_quota_holds_over_all_nodes_and_refusals_say_when_to_retry() {
    const RATE: f64 = 20.0;
    const BURST: f64 = 10.0;
    const TIME: Duration = Duration::from_secs(5);
    let mut fleet = Fleet::start(SERVICES, Duration::ZERO).await;
    fleet.tenants = Some(format!(r#"["blue",["k-1"],null,{RATE},{BURST},null],["red",["k-3"]]"#));
    fleet.publish(SERVICES, PUBLIC);
    until_status(&fleet, "k-9", 401).await;
    // The bucket fills.
    tokio::time::sleep(Duration::from_secs(7)).await;
    let until = Instant::now() + TIME;
    let (mut ran, mut refused) = (0, 0);
    while Instant::now() < until {
        let calls =
            (0..fleet.hosts.len()).map(|n| send(&fleet, n, "maps", "x-credential: k-1\r\n"));
        for (status, text) in futures_util::future::join_all(calls).await {
            match status {
                200 => ran += 1,
                429 => {
                    assert!(text.contains("\nretry-after: "), "{text}");
                    assert!(text.contains("kelpwind-code: 109"), "{text}");
                    refused += 1;
                }
                _ => panic!("{text}"),
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let bound = (RATE * TIME.as_secs_f64() + BURST) * 1.1 + 20.0;
    println!("{ran} ran, {refused} refused, {bound} may run");
    assert!(f64::from(ran) <= bound, "{ran} ran, {bound} may");
    // Half of the quota: the machine may be slow.
    assert!(f64::from(ran) >= RATE * TIME.as_secs_f64() / 2.0, "only {ran} ran");
    assert!(refused > ran, "{refused} refused, {ran} ran");
    for _ in 0..20 {
        let (status, text) = send(&fleet, 0, "maps", "x-credential: k-3\r\n").await;
        assert_eq!(status, 200, "{text}");
        let (status, text) = send(&fleet, 0, "open", "").await;
        assert_eq!(status, 200, "{text}");
    }
}
