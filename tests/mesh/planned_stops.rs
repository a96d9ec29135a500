//! Requests that a node has taken, or still takes, when it is told to stop.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::platform::fleet::Fleet;

/// The host whose node stops, and the service that runs on the other one.
const ENTRY: usize = 0;
const SERVICES: &[(&str, u32)] = &[("books", 1), ("maps", 1)];
/// Routes whose timeouts are longer than the grace period of 6 s.
const LONG_ROUTES: &str = r#"["long","long.example","/get/","safe",30.0,20.0,2,2,"maps"],
    ["once","long.example","/put/","unsafe",30.0,20.0,2,2,"maps"]"#;

/// A connection of a caller that uses it again.
struct Caller(TcpStream);

impl Caller {
    async fn connect(fleet: &Fleet) -> Caller {
        let addr = SocketAddr::new(fleet.hosts[ENTRY].ip.into(), 8304);
        Caller(TcpStream::connect(addr).await.unwrap())
    }

    /// Sends a request for work of this duration and returns the status of its answer; `None` if there is
    /// none.
    async fn call(&mut self, method: &str, path: &str, id: &str, work_ms: u64) -> Option<u16> {
        let request = format!(
            "{method} {path}?work-ms={work_ms} HTTP/1.1\r\nhost: long.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: 30000\r\n\r\n"
        );
        self.0.write_all(request.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n\r\n") {
            answer.push(self.0.read_u8().await.ok()?);
        }
        let answer = String::from_utf8(answer).unwrap();
        let length = answer.to_lowercase();
        let length = length.split("content-length: ").nth(1).and_then(|l| l.lines().next())?;
        self.0.read_exact(&mut vec![0; length.parse().unwrap()]).await.ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    }
}

fn runs(fleet: &Fleet, id: &str) -> usize {
    fleet.history.with(|records| records.runs.iter().filter(|run| run.id == id).count())
}

async fn start() -> Fleet {
    let mut fleet = Fleet::start(SERVICES, Duration::from_millis(5)).await;
    fleet.publish(SERVICES, LONG_ROUTES);
    sleep(Duration::from_secs(1)).await;
    fleet
}

/// Requests that came late in the grace period of a planned stop were passed on and then cut with no answer,
/// among them those that may run once.
#[rstest]
#[case::safe("GET", "/get/x")]
#[case::once("POST", "/put/x")]
#[tokio::test(flavor = "multi_thread")]
async fn late_requests_of_a_planned_stop_are_cut_with_no_answer(
    #[case] method: &str,
    #[case] path: &str,
) {
    let mut fleet = start().await;
    let mut first = Caller::connect(&fleet).await;
    assert_eq!(first.call(method, path, "before", 4500).await, Some(200));
    let mut late = Caller::connect(&fleet).await;
    fleet.signal_node(ENTRY, "TERM");
    sleep(Duration::from_millis(1800)).await;
    assert_eq!(late.call(method, path, "late", 4500).await, Some(503));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&fleet, "late"), 0, "a request that was refused has run");
}

/// Requests that took longer than the grace period of a planned stop were cut with no answer at its end.
#[tokio::test(flavor = "multi_thread")]
async fn long_requests_of_a_planned_stop_are_cut_with_no_answer() {
    let mut fleet = start().await;
    let mut caller = Caller::connect(&fleet).await;
    let long = tokio::spawn(async move { caller.call("POST", "/put/x", "long", 9000).await });
    sleep(Duration::from_millis(300)).await;
    fleet.signal_node(ENTRY, "TERM");
    assert_eq!(long.await.unwrap(), Some(502));
    assert_eq!(runs(&fleet, "long"), 1);
}
