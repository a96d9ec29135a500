//! Limits on callers' requests and connections, which a new configuration changes while connections
//! are open.

use std::time::{Duration, Instant};

use kelpwind_stand_ins::proxy::Faults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::platform::fleet::{Fleet, Limits};

const SERVICES: &[(&str, u32)] = &[("books", 1), ("maps", 1)];
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Time within which a node answers or closes a connection after it should have.
const SLACK: Duration = Duration::from_secs(2);
/// Ports of the nodes.
const CALLERS: u16 = 8304;
const READINESS: u16 = 8302;
const REPORTS: u16 = 8306;
/// Time after which a confirmation that the configuration is the newest one no longer counts.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);
const LIMITS: Limits = Limits {
    head_bytes: 16 << 10,
    body_bytes: 64 << 20,
    head_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(2),
};

/// Publishes a configuration with `limits` and waits until it is in force on the first host.
async fn set_limits(fleet: &mut Fleet, limits: Limits) {
    static COUNT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let count = COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("marker{count}");
    let route = format!(r#"["{name}","{name}.example","/get/","safe",2.5,1.0,2,2,"maps"]"#);
    fleet.limits = Some(limits);
    fleet.publish(SERVICES, &route);
    let until = Instant::now() + Duration::from_secs(10);
    while fleet.call(0, &name, 1, false).await.status != 200 {
        assert!(Instant::now() < until, "a configuration is not in force within 10 s");
        sleep(Duration::from_millis(20)).await;
    }
}

async fn start(limits: Limits) -> Fleet {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    set_limits(&mut fleet, limits).await;
    fleet
}

/// A connection to the node of the first host.
struct Connection(TcpStream);

impl Connection {
    async fn open(fleet: &Fleet, port: u16) -> Connection {
        let stream = TcpStream::connect((fleet.hosts[0].ip, port)).await;
        Connection(stream.expect("failed to connect to the node"))
    }

    /// Sends bytes; whether they arrive shows in the answer.
    async fn send(&mut self, bytes: &str) {
        let _ = self.0.write_all(bytes.as_bytes()).await;
    }

    /// Reads an answer, its head and its body; `None` if the connection has ended without one.
    async fn answer(&mut self) -> Option<String> {
        let mut read = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&read);
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
                if body.len() >= length.map_or(0, |l| l.parse().expect("a length")) {
                    return Some(text.into_owned());
                }
            }
            let bytes = timeout(SLACK, self.0.read_buf(&mut read)).await;
            if bytes.expect("the node neither answers nor closes the connection").unwrap_or(0) == 0
            {
                return None;
            }
        }
    }

    /// Sends a request whose head has `size` bytes at least, and returns the status of the answer;
    /// `None` if the connection ends without one.
    async fn call(&mut self, size: usize) -> Option<u16> {
        self.send(&head(size)).await;
        let answer = self.answer().await?;
        answer.split(' ').nth(1).and_then(|status| status.parse().ok())
    }

    /// Waits until the node closes the connection, and returns the time taken.
    async fn until_closed(&mut self, within: Duration) -> Duration {
        let began = Instant::now();
        let read = timeout(within, self.0.read_u8()).await;
        assert!(read.is_ok(), "the connection is open after {within:?}");
        assert!(read.unwrap().is_err(), "the node sends bytes that nobody asked for");
        began.elapsed()
    }
}

/// The head of a valid request, `size` bytes long unless that is too short.
fn head(size: usize) -> String {
    let id = fastrand::u64(..);
    let head = format!(
        "GET /get/x HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: {id:016x}\r\n\
         X-Deadline-Ms: 1500\r\nX-Filler: "
    );
    format!("{head}{}\r\n\r\n", "a".repeat(size.saturating_sub(head.len() + 4)))
}

/// Short headers, and the name of a further one.
fn headers(count: u32) -> String {
    (0..count).map(|i| format!("X-{i}: {i}\r\n")).chain(["X-Filler".to_owned()]).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_raised_idle_limit_applies_to_open_connections() {
    let mut fleet = start(LIMITS).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    assert_eq!(connection.call(0).await, Some(200));
    let idle_since = Instant::now();
    let raised = Duration::from_secs(6);
    set_limits(&mut fleet, Limits { idle_timeout: raised, ..LIMITS }).await;
    sleep((raised * 4 / 5).saturating_sub(idle_since.elapsed())).await;
    assert_eq!(connection.call(0).await, Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lowered_idle_limit_applies_from_the_next_request_on() {
    let raised = Duration::from_secs(6);
    let mut fleet = start(Limits { idle_timeout: raised, ..LIMITS }).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    assert_eq!(connection.call(0).await, Some(200));
    let idle_since = Instant::now();
    set_limits(&mut fleet, Limits { idle_timeout: Duration::from_millis(500), ..LIMITS }).await;
    sleep((raised * 4 / 5).saturating_sub(idle_since.elapsed())).await;
    assert_eq!(connection.call(0).await, Some(200));
    connection.until_closed(Duration::from_secs(1) + SLACK).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_ends_after_the_limit() {
    let fleet = start(LIMITS).await;
    let (mut used, mut unused) =
        (Connection::open(&fleet, CALLERS).await, Connection::open(&fleet, CALLERS).await);
    assert_eq!(used.call(0).await, Some(200));
    let longest = LIMITS.idle_timeout + LIMITS.head_timeout + SLACK;
    let ended = tokio::join!(used.until_closed(longest), unused.until_closed(longest));
    let shortest = LIMITS.idle_timeout - SERVICE_TIME * 20;
    assert!(ended.0 >= shortest && ended.1 >= shortest, "{ended:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_arrives_slowly_ends_its_connection() {
    let fleet = start(Limits { idle_timeout: Duration::from_secs(20), ..LIMITS }).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    assert_eq!(connection.call(0).await, Some(200));
    let began = Instant::now();
    connection.send(head(0).trim_end()).await;
    while timeout(Duration::from_millis(100), connection.0.read_u8()).await.is_err() {
        let longest = 2 * LIMITS.head_timeout + SLACK;
        assert!(began.elapsed() < longest, "the head goes on after {:?}", began.elapsed());
        connection.send("a").await;
    }
    assert!(began.elapsed() >= LIMITS.head_timeout, "ended after {:?}", began.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_in_parts_is_read_within_the_limit() {
    let fleet = start(LIMITS).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    for pause in [LIMITS.idle_timeout * 4 / 5, Duration::ZERO] {
        sleep(pause).await;
        let head = head(1000);
        let (first, second) = head.split_at(40);
        connection.send(first).await;
        sleep(LIMITS.head_timeout * 4 / 5).await;
        connection.send(second).await;
        let answer = connection.answer().await;
        assert!(answer.as_ref().is_some_and(|a| a.starts_with("HTTP/1.1 200")), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_head_limit_applies_to_open_connections() {
    let usual = Limits { idle_timeout: Duration::from_secs(20), ..LIMITS };
    let raised = Limits { head_bytes: 48 << 10, ..usual };
    let mut fleet = start(usual).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    assert_eq!(connection.call(usual.head_bytes).await, Some(200));
    set_limits(&mut fleet, raised).await;
    assert_eq!(connection.call(raised.head_bytes).await, Some(200));
    set_limits(&mut fleet, usual).await;
    assert_eq!(connection.call(usual.head_bytes).await, Some(200));
    connection.send(&head(usual.head_bytes + 1)).await;
    let answer = connection.answer().await.expect("an answer");
    assert!(
        answer.starts_with("HTTP/1.1 431") && answer.contains("kelpwind-code: 107"),
        "{answer}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_limit_above_the_buffer_of_an_open_connection_ends_it_after_an_answer() {
    let usual = Limits { idle_timeout: Duration::from_secs(20), ..LIMITS };
    let mut fleet = start(usual).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    assert_eq!(connection.call(0).await, Some(200));
    set_limits(&mut fleet, Limits { head_bytes: 100 << 10, ..usual }).await;
    connection.send(&head(0)).await;
    let answer = connection.answer().await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
    assert_eq!(Connection::open(&fleet, CALLERS).await.call(100 << 10).await, Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_a_newer_configuration_may_allow_is_not_refused_for_good() {
    let fleet = start(LIMITS).await;
    fleet.set_faults(0, Faults { cut_forward: true, cut_backward: true, ..Faults::default() });
    sleep(CONFIRMATION_TIME).await;
    let size = LIMITS.head_bytes + 1;
    assert_eq!(Connection::open(&fleet, CALLERS).await.call(size).await, Some(503));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_a_newer_configuration_may_allow_is_not_refused_for_good() {
    let fleet = start(Limits { body_bytes: 100, ..LIMITS }).await;
    let body = "a".repeat(101);
    let request = head(0).replace("X-Filler: ", "Content-Length: 101\r\nX-Filler: ") + &body;
    for (cut, status) in [(false, "413"), (true, "503")] {
        let faults = Faults { cut_forward: cut, cut_backward: cut, ..Faults::default() };
        fleet.set_faults(0, faults);
        sleep(CONFIRMATION_TIME).await;
        let mut connection = Connection::open(&fleet, CALLERS).await;
        connection.send(&request).await;
        let answer = connection.answer().await.expect("an answer");
        assert_eq!(answer.split(' ').nth(1), Some(status), "{answer}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_a_configuration_refuses_no_head_for_good() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    fleet.store.set_down(true);
    fleet.hosts[0].node = None;
    fleet.start_node(0);
    while TcpStream::connect((fleet.hosts[0].ip, CALLERS)).await.is_err() {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(Connection::open(&fleet, CALLERS).await.call(40 << 10).await, Some(503));
}

#[tokio::test(flavor = "multi_thread")]
async fn many_short_headers_are_within_the_limits() {
    let fleet = start(LIMITS).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    connection.send(&head(0).replace("X-Filler", &headers(240))).await;
    let answer = connection.answer().await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_connection_that_a_newer_configuration_may_allow_stays_open() {
    let fleet = start(LIMITS).await;
    let mut connection = Connection::open(&fleet, CALLERS).await;
    fleet.store.set_down(true);
    for _ in 0..2 {
        assert_eq!(connection.call(0).await, Some(200));
        sleep(2 * LIMITS.idle_timeout).await;
    }
    fleet.store.set_down(false);
    sleep(SLACK).await;
    assert_eq!(connection.call(0).await, Some(200));
    connection.until_closed(LIMITS.idle_timeout + LIMITS.head_timeout + SLACK).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_be_read_is_logged() {
    let fleet = start(LIMITS).await;
    for (request, status, reason) in [
        ("GET\r\n\r\n".to_owned(), 400, "invalid HTTP method parsed"),
        (head(0).replace("X-Filler", &headers(300)), 431, "message head is too large"),
    ] {
        let mut connection = Connection::open(&fleet, CALLERS).await;
        connection.send(&request).await;
        let answer = connection.answer().await.expect("an answer");
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        sleep(Duration::from_millis(100)).await;
        let log = fleet.log(0);
        let line =
            log.lines().find(|l| l.contains("a request cannot be read") && l.contains(reason));
        assert!(line.is_some(), "no log line about '{reason}'");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_limits_end_no_connection_of_the_platform_or_the_backend_server() {
    let (idle_timeout, head_timeout) = (Duration::from_millis(200), Duration::from_millis(100));
    let fleet = start(Limits { idle_timeout, head_timeout, ..LIMITS }).await;
    for (port, request) in
        [(READINESS, "GET /-/readyz HTTP/1.1"), (REPORTS, "DELETE /-/instances/i-0 HTTP/1.1")]
    {
        let mut connection = Connection::open(&fleet, port).await;
        for _ in 0..2 {
            connection.send(&format!("{request}\r\nHost: node\r\n\r\n")).await;
            let answer = connection.answer().await;
            assert!(answer.as_ref().is_some_and(|a| a.starts_with("HTTP/1.1 200")), "{answer:?}");
            sleep(Duration::from_secs(1)).await;
        }
    }
}
