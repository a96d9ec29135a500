//! Clients that are not trusted: many at once send large bodies, never finish them, or do not read
//! answers, each within the limits on a single request.
//!
//! Without an account of what a process holds, such clients exhaust the memory or the file descriptors
//! of its host. Each test checks that the node lives, that its resident memory and its open file
//! descriptors stay within what its settings say that the host has, and that one ordinary request is
//! answered afterwards. The tests run one at a time, because each measures a whole process.

#[path = "../platform/mod.rs"]
mod platform;

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use platform::fleet::{Fleet, Limits};

const SERVICES: &[(&str, u32)] = &[("books", 1)];
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Memory of the host in the node's settings, in MiB; the bound on its resident memory.
const MEMORY_MB: usize = 128;
/// File descriptors of the host in the node's settings; the bound on those that are open.
const FDS_MAX: usize = 400;
/// Largest body in the node's configuration.
const BODY_BYTES: usize = 8 << 20;
/// Clients that send large bodies: all together exceed the memory three times over.
const SENDERS: usize = 48;
/// One in so many of the clients that stop short sends its body whole.
const WHOLE_EVERY: usize = 10;
/// Number of bytes that are missing from a body that stops short.
const MISSING: usize = 100;
/// Time after which a client that the node neither answers nor reads from gives up.
const CLIENT_TIME: Duration = Duration::from_secs(8);
/// Time within which the ordinary request is answered, beyond the longest time-out of a body.
const AFTERWARDS: Duration = Duration::from_secs(30);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A deployment whose first node the clients address.
struct Target {
    fleet: Fleet,
    addr: SocketAddr,
    /// Memory of the host, in MiB.
    memory_mb: usize,
    /// Highest number of open file descriptors so far.
    fds: usize,
    _alone: MutexGuard<'static, ()>,
}

impl Target {
    async fn start() -> Target {
        Target::start_with(MEMORY_MB, BODY_BYTES, SERVICE_TIME).await
    }

    async fn start_with(memory_mb: usize, body_bytes: usize, service_time: Duration) -> Target {
        let alone = ONE_AT_A_TIME.lock().await;
        let settings =
            format!("self.limits.memory-mb={memory_mb}\nself.limits.max-fds={FDS_MAX}\n");
        let mut fleet = Fleet::start_with_settings(SERVICES, service_time, &settings).await;
        fleet.limits = Some(Limits {
            head_bytes: 16 << 10,
            body_bytes,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        });
        fleet.publish(SERVICES, r#"["new","new.example","/get/","safe",2.5,1.0,2,2,"books"]"#);
        let addr = SocketAddr::new(fleet.hosts[0].ip.into(), 8304);
        let mut target = Target { fleet, addr, memory_mb, fds: 0, _alone: alone };
        target.until_served("new").await;
        target
    }

    /// Sends ordinary requests until one is answered by the server.
    async fn until_served(&mut self, service: &str) {
        let until = Instant::now() + AFTERWARDS;
        loop {
            let result = self.fleet.call(0, service, 7, false).await;
            if result.status == 200 {
                return;
            }
            self.check_alive();
            assert!(Instant::now() < until, "no ordinary request is answered: {result:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn check_alive(&mut self) {
        let node = self.fleet.hosts[0].node.as_mut().expect("the node was started");
        assert!(node.is_running(), "the node has ended");
        let folder = format!("/proc/{}/fd", node.id());
        let open = fs::read_dir(folder).map_or(0, |entries| entries.count());
        self.fds = self.fds.max(open);
    }

    /// A line of the node's `/proc/PID/status`, in KiB.
    fn status_kb(&self, name: &str) -> usize {
        let id = self.fleet.hosts[0].node.as_ref().map_or(0, |node| node.id());
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        let value = line.and_then(|l| l.trim_start_matches(':').split_whitespace().next());
        value.and_then(|v| v.parse().ok()).expect("a line of the process's status")
    }

    /// Waits for the clients, checks that an ordinary request is answered while those that keep their
    /// connections are still there, and then that the bounds were kept.
    async fn check(mut self, name: &str, clients: Vec<JoinHandle<Option<TcpStream>>>) {
        let before_kb = self.status_kb("VmRSS");
        let mut open = Vec::new();
        for mut client in clients {
            loop {
                let joined = timeout(Duration::from_millis(50), &mut client).await;
                self.check_alive();
                if let Ok(joined) = joined {
                    open.push(joined.expect("a client panicked"));
                    break;
                }
            }
        }
        self.until_served("books").await;
        self.check_alive();
        let (peak_kb, rss_kb) = (self.status_kb("VmHWM"), self.status_kb("VmRSS"));
        eprintln!(
            "{name}: before {before_kb} KiB, peak {peak_kb} KiB, afterwards {rss_kb} KiB, {} descriptors",
            self.fds
        );
        drop(open);
        assert!(
            peak_kb <= self.memory_mb << 10,
            "the resident memory reached {peak_kb} KiB of {}",
            self.memory_mb << 10
        );
        assert!(self.fds <= FDS_MAX, "{} of {FDS_MAX} file descriptors were open", self.fds);
    }
}

/// Starts `count` clients, each with its number. A client returns the connection that it keeps open;
/// one that the node refuses ends early.
fn spawn_clients<F>(count: usize, client: impl Fn(usize) -> F) -> Vec<JoinHandle<Option<TcpStream>>>
where
    F: Future<Output = Option<TcpStream>> + Send + 'static,
{
    (0..count).map(|i| tokio::spawn(client(i))).collect()
}

/// Head of a request with a body, which `framing` describes.
fn body_head(framing: &str) -> String {
    let id = fastrand::u64(..);
    format!(
        "POST /put/x HTTP/1.1\r\nHost: books.example\r\nX-Request-Id: {id:016x}\r\n\
         X-Shard-Key: 7\r\n{framing}\r\n\r\n"
    )
}

/// Head of a request for an answer of `size` bytes.
fn answer_head(size: usize) -> String {
    let id = fastrand::u64(..);
    format!(
        "GET /get/x?answer-bytes={size} HTTP/1.1\r\nHost: books.example\r\n\
         X-Request-Id: {id:016x}\r\nX-Shard-Key: 7\r\n\r\n"
    )
}

/// Writes `text` in parts of `part_bytes` with a pause after each, until the node closes the connection
/// or stops reading.
async fn send_parts(
    stream: &mut TcpStream,
    text: &[u8],
    part_bytes: usize,
    pause: Duration,
) -> bool {
    let sending = async {
        for part in text.chunks(part_bytes) {
            if stream.write_all(part).await.is_err() {
                return false;
            }
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
        true
    };
    timeout(CLIENT_TIME, sending).await.unwrap_or(false)
}

/// Reads whatever the node answers within a client's time.
async fn read_answer(stream: &mut TcpStream) {
    let mut buffer = vec![0; 64 << 10];
    // The node may refuse the request or close the connection; both are allowed.
    let _ = timeout(CLIENT_TIME, stream.read(&mut buffer)).await;
}

/// Number of bytes that the client with this number sends of a body of `size` bytes.
fn sent_size(client: usize, size: usize) -> usize {
    if client.is_multiple_of(WHOLE_EVERY) { size } else { size - MISSING }
}

/// Sends a body with a stated length, in parts of `part_bytes`.
async fn send_body(
    addr: SocketAddr,
    sent: usize,
    part_bytes: usize,
    pause: Duration,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let head = body_head(&format!("Content-Length: {BODY_BYTES}"));
    let mut text = head.into_bytes();
    text.resize(text.len() + sent, b'a');
    if send_parts(&mut stream, &text, part_bytes, pause).await && sent == BODY_BYTES {
        read_answer(&mut stream).await;
    }
    Some(stream)
}

/// Sends a chunked body in chunks of `chunk_bytes`, and its last chunk if it is whole.
async fn send_chunked(
    addr: SocketAddr,
    size: usize,
    whole: bool,
    chunk_bytes: usize,
) -> Option<TcpStream> {
    /// Size of each write.
    const WRITE_BYTES: usize = 64 << 10;
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let mut text = body_head("Transfer-Encoding: chunked").into_bytes();
    for _ in 0..size / chunk_bytes {
        text.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
        text.resize(text.len() + chunk_bytes, b'a');
        text.extend_from_slice(b"\r\n");
    }
    if whole {
        text.extend_from_slice(b"0\r\n\r\n");
    }
    if send_parts(&mut stream, &text, WRITE_BYTES, Duration::ZERO).await && whole {
        read_answer(&mut stream).await;
    }
    Some(stream)
}

/// Opens a connection whose kernel buffer for received bytes is small, so that unread answers stay with
/// the node.
async fn connect_small(addr: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(8 << 10).ok()?;
    socket.connect(addr).await.ok()
}

/// Guards against holding every body that clients send at once.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_sent_whole() {
    let target = Target::start().await;
    let addr = target.addr;
    let clients =
        spawn_clients(SENDERS, |_| send_body(addr, BODY_BYTES, BODY_BYTES, Duration::ZERO));
    target.check("whole", clients).await;
}

/// Guards against counting a body only once it is whole.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_sent_piece_by_piece() {
    let target = Target::start().await;
    let addr = target.addr;
    let pause = Duration::from_millis(4);
    let clients = spawn_clients(SENDERS, |_| send_body(addr, BODY_BYTES, 64 << 10, pause));
    target.check("pieces", clients).await;
}

/// Guards against holding bodies whose end never comes.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_that_stop_short_of_their_end() {
    let target = Target::start().await;
    let addr = target.addr;
    let clients = spawn_clients(SENDERS, |i| {
        send_body(addr, sent_size(i, BODY_BYTES), BODY_BYTES, Duration::ZERO)
    });
    target.check("short", clients).await;
}

/// Guards against holding chunked bodies, whose size nobody states, without an end.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_in_large_chunks() {
    let target = Target::start().await;
    let addr = target.addr;
    let clients = spawn_clients(SENDERS, |i| {
        send_chunked(addr, BODY_BYTES, i.is_multiple_of(WHOLE_EVERY), 256 << 10)
    });
    target.check("large chunks", clients).await;
}

/// Guards against a cost per chunk that exceeds the chunk by far.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_in_one_byte_chunks() {
    const SIZE: usize = 400 << 10;
    /// The clients cannot send as much as with large chunks in the same time.
    const SMALL_MEMORY_MB: usize = 64;
    let target = Target::start_with(SMALL_MEMORY_MB, BODY_BYTES, SERVICE_TIME).await;
    let addr = target.addr;
    let clients =
        spawn_clients(SENDERS, |i| send_chunked(addr, SIZE, i.is_multiple_of(WHOLE_EVERY), 1));
    target.check("one-byte chunks", clients).await;
}

/// Guards against holding answers for callers that take them in slowly.
#[tokio::test(flavor = "multi_thread")]
async fn long_answers_that_are_read_slowly() {
    const ANSWER_BYTES: usize = 4 << 20;
    const READERS: usize = 80;
    const TRIES: usize = 20;
    let target = Target::start().await;
    let addr = target.addr;
    let clients = spawn_clients(READERS, |_| async move {
        let mut buffer = vec![0; 1 << 10];
        for _ in 0..TRIES {
            let Some(mut stream) = connect_small(addr).await else { continue };
            if stream.write_all(answer_head(ANSWER_BYTES).as_bytes()).await.is_err() {
                continue;
            }
            let first = timeout(CLIENT_TIME, stream.read(&mut buffer)).await;
            if !first.is_ok_and(|n| n.is_ok()) || !buffer.starts_with(b"HTTP/1.1 200") {
                sleep(Duration::from_millis(200)).await;
                continue;
            }
            let until = Instant::now() + CLIENT_TIME / 2;
            while Instant::now() < until {
                sleep(Duration::from_millis(50)).await;
                if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                    break;
                }
            }
            return Some(stream);
        }
        None
    });
    target.check("slow readers", clients).await;
}

/// Guards against running out of file descriptors and memory for requests that never begin.
#[tokio::test(flavor = "multi_thread")]
async fn heads_sent_one_byte_at_a_time() {
    const CLIENTS: usize = 600;
    let target = Target::start().await;
    let addr = target.addr;
    let clients = spawn_clients(CLIENTS, |_| async move {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let head = answer_head(0);
        send_parts(&mut stream, head.as_bytes(), 1, Duration::from_millis(60)).await;
        Some(stream)
    });
    target.check("heads", clients).await;
}

/// Guards against preparing answers without a bound for a connection that does not read them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_whose_answers_are_not_read() {
    const CLIENTS: usize = 40;
    const REQUESTS: usize = 16;
    const ANSWER_BYTES: usize = 4 << 20;
    let target = Target::start().await;
    let addr = target.addr;
    let clients = spawn_clients(CLIENTS, |_| async move {
        let mut stream = connect_small(addr).await?;
        let heads: String = (0..REQUESTS).map(|_| answer_head(ANSWER_BYTES)).collect();
        send_parts(&mut stream, heads.as_bytes(), heads.len(), Duration::ZERO).await;
        sleep(CLIENT_TIME / 2).await;
        Some(stream)
    });
    target.check("sent ahead", clients).await;
}

/// Guards against keeping the bodies of requests whose callers have left while the server was at work.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_of_callers_that_leave() {
    const ROUNDS: usize = 12;
    /// Long enough for callers to leave before the answer.
    const LONG_SERVICE_TIME: Duration = Duration::from_millis(600);
    let target = Target::start_with(MEMORY_MB, BODY_BYTES, LONG_SERVICE_TIME).await;
    let addr = target.addr;
    let clients = spawn_clients(4, |_| async move {
        let mut text = body_head(&format!("Content-Length: {BODY_BYTES}")).into_bytes();
        text.resize(text.len() + BODY_BYTES, b'a');
        for _ in 0..ROUNDS {
            let mut stream = TcpStream::connect(addr).await.ok()?;
            send_parts(&mut stream, &text, text.len(), Duration::ZERO).await;
            sleep(Duration::from_millis(300)).await;
        }
        None
    });
    target.check("left", clients).await;
}

/// Guards against a share of the memory, or copies, that leave no room for the largest permitted body on
/// the smallest host.
#[tokio::test(flavor = "multi_thread")]
async fn one_body_of_the_largest_size_on_the_smallest_host() {
    const SMALLEST_MB: usize = 160;
    const LARGEST: usize = 64 << 20;
    let target = Target::start_with(SMALLEST_MB, LARGEST, SERVICE_TIME).await;
    let addr = target.addr;
    let clients = spawn_clients(1, |_| async move {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let mut text = body_head(&format!("Content-Length: {LARGEST}")).into_bytes();
        text.resize(text.len() + LARGEST, b'a');
        send_parts(&mut stream, &text, text.len(), Duration::ZERO).await;
        let mut answer = vec![0; 1 << 10];
        let size = timeout(CLIENT_TIME, stream.read(&mut answer)).await.ok()?.ok()?;
        let answer = String::from_utf8_lossy(&answer[..size]);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        Some(stream)
    });
    target.check("largest", clients).await;
}
