//! Time limits of calls over pooled connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use kelpwind::net::pool::{CallError, Limits, Pool, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const STALL_TIMEOUT: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(100);

/// Starts a server that announces 10 bytes and sends `count` of them with pauses between them.
async fn serve(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n").await.unwrap();
        for _ in 0..count {
            sleep(PAUSE).await;
            if stream.write_all(b"x").await.is_err() {
                return;
            }
        }
        sleep(Duration::from_secs(30)).await;
    });
    addr
}

async fn call(addr: SocketAddr, stall_timeout: Option<Duration>) -> Result<Response<Bytes>> {
    let deadline = Instant::now() + STALL_TIMEOUT;
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let limits = Limits { stall_timeout, ..Limits::from(deadline) };
    Pool::new(None).call(addr, request, limits).await
}

#[tokio::test]
async fn a_call_with_a_stall_timeout_ends_after_its_deadline_if_the_answer_keeps_arriving() {
    let addr = serve(10).await;
    assert_eq!(call(addr, Some(STALL_TIMEOUT)).await.unwrap().into_body().len(), 10);
}

#[tokio::test]
async fn a_call_with_a_stall_timeout_fails_when_its_answer_stops_arriving() {
    let addr = serve(6).await;
    let began = Instant::now();
    let result = call(addr, Some(STALL_TIMEOUT)).await;
    let elapsed = began.elapsed();
    assert!(matches!(result, Err(CallError::Expired)), "{result:?}");
    assert!(elapsed >= PAUSE * 6 + STALL_TIMEOUT, "{elapsed:?}");
    assert!(elapsed < PAUSE * 6 + STALL_TIMEOUT * 2, "{elapsed:?}");
}

/// Callers of the router have a deadline, whatever the answer of the server does.
#[tokio::test]
async fn a_call_without_a_stall_timeout_fails_at_its_deadline() {
    let addr = serve(10).await;
    let began = Instant::now();
    let result = call(addr, None).await;
    let elapsed = began.elapsed();
    assert!(matches!(result, Err(CallError::Expired)), "{result:?}");
    assert!(elapsed < STALL_TIMEOUT * 2, "{elapsed:?}");
}
