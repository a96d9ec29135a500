//! The HTTP/1.1 client connection against a server that says exactly what the test wants.

use std::time::{Duration, Instant};

use kelpwind::net::http1::{Conn, ExchangeError, Head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEAD: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

/// A connection to a server that runs `play` on its end.
async fn connect<F>(play: impl FnOnce(TcpStream) -> F + Send + 'static) -> Conn
where
    F: Future<Output = ()> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move { play(listener.accept().await.unwrap().0).await });
    Conn::open(addr, None).await.unwrap()
}

/// Reads one request and answers it with these bytes.
async fn answer(stream: &mut TcpStream, bytes: &str) {
    let mut buffer = [0; 1024];
    let size = stream.read(&mut buffer).await.unwrap();
    assert!(size > 0);
    stream.write_all(bytes.as_bytes()).await.unwrap();
}

/// Keeps the connection open until the other end closes it.
async fn stay(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while stream.read(&mut buffer).await.is_ok_and(|size| size > 0) {}
}

fn is_mine(head: &Head) -> bool {
    head.header("id") == Some("mine")
}

#[tokio::test]
async fn bodies_by_length_in_chunks_and_to_the_end_are_read_whole() {
    let mut conn = connect(async |mut stream| {
        answer(&mut stream, "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 3\r\n\r\nabc").await;
        let chunks = "HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: chunked\r\n\r\n\
                      2\r\nab\r\n1;x=y\r\nc\r\n0\r\ntrailer: 1\r\n\r\n";
        answer(&mut stream, chunks).await;
        answer(&mut stream, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: mine\r\n\r\nabc")
            .await;
    })
    .await;
    for reusable in [true, true, false] {
        let answer = conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
        assert_eq!((answer.head.status, &answer.body[..]), (200, &b"abc"[..]));
        assert_eq!(conn.is_reusable(), reusable);
    }
}

#[tokio::test]
async fn an_answer_to_an_earlier_request_is_skipped_and_the_connection_not_used_again() {
    let mut conn = connect(async |mut stream| {
        let both = "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 5\r\n\r\nwrong\
                    HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 5\r\n\r\nright";
        answer(&mut stream, both).await;
        stay(stream).await;
    })
    .await;
    let answer = conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
    assert_eq!(&answer.body[..], b"right");
    assert!(!conn.is_reusable());
}

#[tokio::test]
async fn bytes_that_nobody_asked_for_make_a_connection_stale() {
    let mut conn = connect(async |mut stream| {
        answer(&mut stream, "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 0\r\n\r\n").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        stay(stream).await;
    })
    .await;
    conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
    assert!(conn.is_ready(Instant::now()));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!conn.is_ready(Instant::now()));
}

#[tokio::test]
async fn an_announced_idle_time_is_kept() {
    let mut conn = connect(async |mut stream| {
        let bytes =
            "HTTP/1.1 200 OK\r\nid: mine\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n";
        answer(&mut stream, bytes).await;
        stay(stream).await;
    })
    .await;
    conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
    let now = Instant::now();
    assert!(conn.is_ready(now + Duration::from_secs(3)));
    assert!(!conn.is_ready(now + Duration::from_secs(5)));
}

#[tokio::test]
async fn broken_answers_are_told_apart() {
    let cases = [
        ("", "closed"),
        ("HTTP/1.1 200 OK\r\ncontent-le", "truncated"),
        ("HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 9\r\n\r\nabc", "truncated"),
        ("HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab", "truncated"),
        ("HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: gzip\r\n\r\n", "malformed"),
        ("what is this", "malformed"),
    ];
    for (bytes, expected) in cases {
        let mut conn = connect(async move |mut stream| answer(&mut stream, bytes).await).await;
        let fault = conn.exchange("GET", HEAD, &[], is_mine).await.unwrap_err();
        let told = match fault {
            ExchangeError::Closed => "closed",
            ExchangeError::Truncated => "truncated",
            ExchangeError::Malformed => "malformed",
            ExchangeError::Unsent(_) | ExchangeError::Broken(_) => "broken",
        };
        assert_eq!(told, expected, "{bytes:?}");
        assert!(!conn.is_reusable());
    }
}

#[tokio::test]
async fn an_answer_before_the_body_was_read_is_taken_and_the_connection_dropped() {
    let mut conn = connect(async |mut stream| {
        answer(&mut stream, "HTTP/1.1 413 No\r\nid: mine\r\ncontent-length: 0\r\n\r\n").await;
        tokio::time::sleep(Duration::from_secs(5)).await;
    })
    .await;
    let body = vec![7; 32 << 20];
    let began = Instant::now();
    let answer = conn.exchange("POST", HEAD, &body, is_mine).await.unwrap();
    assert_eq!(answer.head.status, 413);
    assert!(began.elapsed() < Duration::from_secs(4), "it waited for the body to be read");
    assert!(!conn.is_reusable());
}
