//! The HTTP/1.1 client connection, against a server that sends exactly the bytes of the test.

use std::time::{Duration, Instant};

use kelpwind::net::http1::{Conn, ExchangeError, Head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEAD: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

/// Opens a connection to a server that runs `script` on its end.
async fn connect<F>(script: impl FnOnce(TcpStream) -> F + Send + 'static) -> Conn
where
    F: Future<Output = ()> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move { script(listener.accept().await.unwrap().0).await });
    Conn::open(addr, None).await.unwrap()
}

/// Reads one request and responds with these bytes.
async fn respond(stream: &mut TcpStream, bytes: &str) {
    let mut buffer = [0; 1024];
    let size = stream.read(&mut buffer).await.unwrap();
    assert!(size > 0);
    stream.write_all(bytes.as_bytes()).await.unwrap();
}

/// Keeps the connection open until the other end closes it.
async fn keep_open(mut stream: TcpStream) {
    let mut buffer = [0; 1024];
    while stream.read(&mut buffer).await.is_ok_and(|size| size > 0) {}
}

fn is_mine(head: &Head) -> bool {
    head.header("id") == Some("mine")
}

#[tokio::test]
async fn bodies_of_every_framing_are_read_completely() {
    let mut conn = connect(async |mut stream| {
        respond(&mut stream, "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 3\r\n\r\nabc").await;
        let chunks = "HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: chunked\r\n\r\n\
                      2\r\nab\r\n1;x=y\r\nc\r\n0\r\ntrailer: 1\r\n\r\n";
        respond(&mut stream, chunks).await;
        respond(&mut stream, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: mine\r\n\r\nabc")
            .await;
    })
    .await;
    for reusable in [true, true, false] {
        let response = conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
        assert_eq!((response.head.status, &response.body[..]), (200, &b"abc"[..]));
        assert_eq!(conn.is_reusable(), reusable);
    }
}

/// Guards against a late response being taken for that of the current request.
#[tokio::test]
async fn a_response_to_an_earlier_request_is_skipped_and_the_connection_is_not_reused() {
    let mut conn = connect(async |mut stream| {
        let both = "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 5\r\n\r\nwrong\
                    HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 5\r\n\r\nright";
        respond(&mut stream, both).await;
        keep_open(stream).await;
    })
    .await;
    let response = conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
    assert_eq!(&response.body[..], b"right");
    assert!(!conn.is_reusable());
}

#[tokio::test]
async fn unsolicited_bytes_make_a_connection_unusable() {
    let mut conn = connect(async |mut stream| {
        respond(&mut stream, "HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 0\r\n\r\n").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        keep_open(stream).await;
    })
    .await;
    conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
    assert!(conn.is_ready(Instant::now()));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(!conn.is_ready(Instant::now()));
}

#[tokio::test]
async fn an_announced_idle_timeout_is_respected() {
    let mut conn = connect(async |mut stream| {
        let bytes =
            "HTTP/1.1 200 OK\r\nid: mine\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n";
        respond(&mut stream, bytes).await;
        keep_open(stream).await;
    })
    .await;
    conn.exchange("GET", HEAD, &[], is_mine).await.unwrap();
    let now = Instant::now();
    assert!(conn.is_ready(now + Duration::from_secs(3)));
    assert!(!conn.is_ready(now + Duration::from_secs(5)));
}

#[tokio::test]
async fn incomplete_and_malformed_responses_are_distinguished() {
    let cases = [
        ("", "closed"),
        ("HTTP/1.1 200 OK\r\ncontent-le", "truncated"),
        ("HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 9\r\n\r\nabc", "truncated"),
        ("HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab", "truncated"),
        ("HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: gzip\r\n\r\n", "malformed"),
        ("what is this", "malformed"),
    ];
    for (bytes, expected) in cases {
        let mut conn = connect(async move |mut stream| respond(&mut stream, bytes).await).await;
        let error = conn.exchange("GET", HEAD, &[], is_mine).await.unwrap_err();
        let kind = match error {
            ExchangeError::Closed => "closed",
            ExchangeError::Truncated => "truncated",
            ExchangeError::Malformed => "malformed",
            ExchangeError::TooLarge => "too large",
            ExchangeError::InvalidStatus(_) => "invalid status",
            ExchangeError::Unsent(_) | ExchangeError::Broken(_) => "broken",
        };
        assert_eq!(kind, expected, "{bytes:?}");
        assert!(!conn.is_reusable());
    }
}

#[tokio::test]
async fn a_response_before_the_body_is_read_is_returned_and_the_connection_is_not_reused() {
    let mut conn = connect(async |mut stream| {
        respond(&mut stream, "HTTP/1.1 413 No\r\nid: mine\r\ncontent-length: 0\r\n\r\n").await;
        tokio::time::sleep(Duration::from_secs(5)).await;
    })
    .await;
    let body = vec![7; 32 << 20];
    let began = Instant::now();
    let response = conn.exchange("POST", HEAD, &body, is_mine).await.unwrap();
    assert_eq!(response.head.status, 413);
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "the exchange waited for the server to read the body"
    );
    assert!(!conn.is_reusable());
}
