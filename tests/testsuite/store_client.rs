//! The client of the platform's store, against a store that sends exactly the bytes of the test.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use kelpwind::core::ids::Offset;
use kelpwind::mesh::platform_api::{ReadRequest, Store, StoreError, Topic};
use kelpwind::platform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::adapter::SETTINGS;

/// Time after which a read without an answer fails, beyond its wait.
const READ_GRACE: Duration = Duration::from_secs(1);
/// Time after which a call fails whose answer has stopped arriving.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Inaccuracy of the times measured.
const SLACK: Duration = Duration::from_millis(400);
/// Size of each chunk that the store sends.
const CHUNK_BYTES: usize = 16 << 10;

/// Returns a client of a store that runs `script` on its end of each connection.
async fn open_store<F>(script: impl Fn(TcpStream) -> F + Send + 'static) -> Store
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(script(stream));
        }
    });
    open_client(addr)
}

fn open_client(addr: SocketAddr) -> Store {
    let file = std::env::temp_dir().join(format!("kelpwind-store-{}.conf", addr.port()));
    std::fs::write(&file, SETTINGS.replace("10.200.1.7:8309", &addr.to_string())).unwrap();
    let (_, platform) = platform::open(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    platform.store
}

/// Receives one request.
async fn receive(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
}

/// Sends a head that announces `size` bytes, and then `body` at `rate` bytes a second.
async fn send(stream: &mut TcpStream, size: usize, body: &[u8], rate: usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let began = Instant::now();
    let mut sent = 0;
    for chunk in body.chunks(CHUNK_BYTES) {
        sent += chunk.len();
        let due = began + Duration::from_secs_f64(sent as f64 / rate as f64);
        tokio::time::sleep_until(due.into()).await;
        // The client closes the connection when it gives the answer up.
        if stream.write_all(chunk).await.is_err() {
            return;
        }
    }
}

/// The answer to a read of `count` records of `size` bytes.
fn records(count: usize, size: usize) -> Bytes {
    let key = "config";
    let mut body = BytesMut::new();
    body.put_u64(count as u64);
    body.put_u64(0);
    for _ in 0..count {
        body.put_u32((1 + key.len() + size) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_bytes(b'x', size);
    }
    body.freeze()
}

fn read_from_start(wait: Duration) -> ReadRequest {
    ReadRequest::new(Topic::Orders, Offset(0), wait)
}

#[tokio::test]
async fn a_read_ends_although_its_answer_takes_longer_than_the_time_limit() {
    let body = records(8, 250_000);
    let store = open_store(move |mut stream| {
        let body = body.clone();
        async move {
            receive(&mut stream).await;
            send(&mut stream, body.len(), &body, 500_000).await;
        }
    })
    .await;
    let began = Instant::now();
    let batch = (store.read)(read_from_start(Duration::ZERO)).await.unwrap();
    println!("read {} records in {:?}", batch.records.len(), began.elapsed());
    assert_eq!((batch.records.len(), batch.next, batch.end), (8, Offset(8), Offset(8)));
    assert!(batch.records.iter().all(|r| r.value.as_ref().is_some_and(|v| v.len() == 250_000)));
}

#[tokio::test]
async fn a_whole_topic_is_read_although_it_takes_longer_than_the_time_limit() {
    let value = STANDARD.encode(vec![b'x'; 700_000]);
    let page = format!(
        r#"{{"items":[{{"key":"config","value":"{value}","offset":6}}],"has-more":false,"end-offset":9}}"#
    );
    let store = open_store(move |mut stream| {
        let page = page.clone();
        async move {
            receive(&mut stream).await;
            send(&mut stream, page.len(), page.as_bytes(), 300_000).await;
        }
    })
    .await;
    let batch = (store.newest)(Topic::Orders).await.unwrap();
    assert_eq!((batch.records.len(), batch.next, batch.end), (1, Offset(9), Offset(9)));
}

/// A record that is refused stops the topic: each further read begins with it again.
#[tokio::test]
async fn a_record_of_any_size_is_read() {
    const SIZE: usize = 3 << 20;
    let body = records(2, SIZE);
    let store = open_store(move |mut stream| {
        let body = body.clone();
        async move {
            receive(&mut stream).await;
            send(&mut stream, body.len(), &body, 100 << 20).await;
        }
    })
    .await;
    let batch = (store.read)(read_from_start(Duration::ZERO)).await.unwrap();
    let sizes: Vec<_> = batch.records.iter().flat_map(|r| &r.value).map(Bytes::len).collect();
    assert_eq!((sizes, batch.next), (vec![SIZE, SIZE], Offset(2)));
}

/// Guards against waiting for ever on a connection that went silent within an answer.
#[tokio::test]
async fn a_read_fails_when_its_answer_stops_arriving() {
    const ARRIVING: Duration = Duration::from_secs(2);
    let body = records(1, 1_000_000);
    let rate = 100_000;
    let store = open_store(move |mut stream| {
        let body = body.clone();
        async move {
            receive(&mut stream).await;
            let part = &body[..rate * ARRIVING.as_secs() as usize];
            send(&mut stream, body.len(), part, rate).await;
            sleep(Duration::from_secs(30)).await;
        }
    })
    .await;
    let began = Instant::now();
    let result = (store.read)(read_from_start(Duration::ZERO)).await;
    let elapsed = began.elapsed();
    assert!(matches!(result, Err(StoreError::Unknown(_))), "{result:?}");
    assert!(elapsed >= ARRIVING + STALL_TIMEOUT - SLACK, "{elapsed:?}");
    assert!(elapsed < ARRIVING + STALL_TIMEOUT + SLACK, "{elapsed:?}");
}

#[tokio::test]
async fn a_read_with_a_head_and_no_body_fails_within_the_stall_timeout() {
    let store = open_store(async |mut stream| {
        receive(&mut stream).await;
        send(&mut stream, 16, &[], 1).await;
        sleep(Duration::from_secs(30)).await;
    })
    .await;
    let began = Instant::now();
    let result = (store.read)(read_from_start(Duration::from_secs(5))).await;
    let elapsed = began.elapsed();
    assert!(matches!(result, Err(StoreError::Unknown(_))), "{result:?}");
    assert!(elapsed < STALL_TIMEOUT + SLACK, "{elapsed:?}");
}

#[tokio::test]
async fn a_read_without_an_answer_fails_after_its_wait_and_the_grace() {
    const WAIT: Duration = Duration::from_millis(1200);
    let store = open_store(async |mut stream| {
        receive(&mut stream).await;
        sleep(Duration::from_secs(30)).await;
    })
    .await;
    let request = read_from_start(WAIT);
    let answering = request.answering.clone();
    let began = Instant::now();
    let result = (store.read)(request).await;
    let elapsed = began.elapsed();
    assert!(matches!(result, Err(StoreError::Unknown(_))), "{result:?}");
    assert!(elapsed >= WAIT + READ_GRACE, "{elapsed:?}");
    assert!(elapsed < WAIT + READ_GRACE + SLACK, "{elapsed:?}");
    assert!(!answering.get());
}

/// The watcher of a topic relies on it to keep a read whose answer is arriving.
#[tokio::test]
async fn a_read_shows_that_its_answer_has_begun_before_it_has_ended() {
    let body = records(1, 100_000);
    let store = open_store(move |mut stream| {
        let body = body.clone();
        async move {
            receive(&mut stream).await;
            sleep(Duration::from_millis(300)).await;
            send(&mut stream, body.len(), &body, 200_000).await;
        }
    })
    .await;
    let request = read_from_start(Duration::from_secs(1));
    let answering = request.answering.clone();
    let mut read = (store.read)(request);
    assert!(timeout(Duration::from_millis(150), &mut read).await.is_err());
    assert!(!answering.get());
    assert!(timeout(Duration::from_millis(300), &mut read).await.is_err());
    assert!(answering.get());
    assert_eq!(read.await.unwrap().records.len(), 1);
}
