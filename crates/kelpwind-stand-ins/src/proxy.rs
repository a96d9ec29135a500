//! A proxy that injects network faults between processes: partitions, one-way loss, delay, and
//! established connections that carry no more data while new ones work.
//!
//! A link listens on one address, TCP and UDP, and forwards to another. Faults are set per link and
//! source address, so that one pair of processes can be partitioned while others communicate.
//! Datagrams are forwarded in one direction only, because the router's processes reply to each
//! other's advertised addresses.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use warp::Filter;

use crate::server::{json, serve};

/// Interval at which blocked connections check whether the fault has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the relay buffer of each direction of a connection.
const CHUNK_BYTES: usize = 16 << 10;
const POST_TIMEOUT: Duration = Duration::from_secs(2);

/// A link to open, as posted to `/open`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Name under which its faults are set.
    pub name: String,
    /// Address to listen on; port 0 for any free port.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
}

/// Faults of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Blocks the direction towards the target.
    pub cut_forward: bool,
    /// Blocks the direction from the target back to the source.
    pub cut_backward: bool,
    /// Source addresses to which `cut_forward` and `cut_backward` apply; all if empty.
    pub only: Vec<IpAddr>,
    /// Delay of each forwarded chunk or datagram, in milliseconds.
    pub delay_ms: u64,
    /// Generation of silenced connections: raising it blocks the connections that are open at that
    /// time for good, without closing them.
    pub silence: u64,
}

/// Faults of a named link, as posted to `/control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkFaults {
    /// Name of the link, as given when it was opened.
    pub link: String,
    /// Faults that replace the link's current ones.
    pub faults: Faults,
}

/// State of a link, shared by its connections.
#[derive(Debug, Default)]
struct LinkState {
    faults: Mutex<Faults>,
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// Connections with a lower number are silenced.
    silent_before: AtomicU64,
}

impl LinkState {
    fn set_faults(&self, faults: Faults) {
        let mut current = self.faults.lock();
        if faults.silence > current.silence {
            self.silent_before.store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
        }
        *current = faults;
    }

    fn applies_to(faults: &Faults, source: IpAddr) -> bool {
        faults.only.is_empty() || faults.only.contains(&source)
    }

    fn is_cut(&self, forward: bool, source: IpAddr) -> bool {
        let faults = self.faults.lock();
        let cut = if forward { faults.cut_forward } else { faults.cut_backward };
        cut && LinkState::applies_to(&faults, source)
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.lock().delay_ms)
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_before.load(Ordering::SeqCst)
    }
}

/// A proxy with any number of links.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    links: Arc<Mutex<BTreeMap<String, Arc<LinkState>>>>,
}

impl Proxy {
    /// Opens a link, relays its traffic in tasks, and returns the bound address.
    pub async fn open(&self, link: Link) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(link.listen).await?;
        let bound = listener.local_addr()?;
        let udp = UdpSocket::bind(bound).await?;
        let state = Arc::new(LinkState::default());
        self.links.lock().insert(link.name, state.clone());
        tokio::spawn(relay_connections(listener, link.target, state.clone()));
        tokio::spawn(relay_datagrams(udp, link.target, state));
        Ok(bound)
    }

    /// Sets the faults of a link; false if there is no such link.
    pub fn set_faults(&self, update: LinkFaults) -> bool {
        let links = self.links.lock();
        let link = links.get(&update.link);
        link.map(|l| l.set_faults(update.faults)).is_some()
    }

    /// Serves `/open` and `/control` on `addr` in a task, and returns the bound address.
    pub async fn start(&self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let proxy = self.clone();
        let with = warp::any().map(move || proxy.clone());
        let open =
            warp::post().and(warp::path!("open")).and(warp::body::json()).and(with.clone()).then(
                |link: Link, proxy: Proxy| async move {
                    match proxy.open(link).await {
                        Ok(bound) => json(200, &bound),
                        Err(e) => json(500, &e.to_string()),
                    }
                },
            );
        let control =
            warp::post().and(warp::path!("control")).and(warp::body::json()).and(with).map(
                |update: LinkFaults, proxy: Proxy| {
                    let status = if proxy.set_faults(update) { 200 } else { 404 };
                    json(status, &())
                },
            );
        serve(addr, open.or(control)).await
    }
}

async fn relay_connections(listener: TcpListener, target: SocketAddr, state: Arc<LinkState>) {
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            continue;
        };
        let number = state.accepted.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(relay_connection(stream, source.ip(), target, number, state.clone()));
    }
}

async fn relay_connection(
    stream: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    number: u64,
    state: Arc<LinkState>,
) {
    while state.is_cut(true, source) {
        tokio::time::sleep(CUT_POLL_INTERVAL).await;
    }
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (from_source, to_source) = stream.into_split();
    let (from_target, to_target) = onward.into_split();
    let forward = Relay { forward: true, source, number, state: state.clone() };
    let backward = Relay { forward: false, source, number, state };
    // A half-close by one side is forwarded as a half-close, not as the end of the connection.
    tokio::join!(forward.run(from_source, to_target), backward.run(from_target, to_source));
}

/// Relays bytes in one direction of one connection.
struct Relay {
    forward: bool,
    source: IpAddr,
    number: u64,
    state: Arc<LinkState>,
}

impl Relay {
    async fn run<R, W>(self, mut from: R, mut to: W)
    where
        R: tokio::io::AsyncRead + Unpin,
        W: tokio::io::AsyncWrite + Unpin,
    {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(size) = from.read(&mut chunk).await {
            while self.is_blocked() {
                tokio::time::sleep(CUT_POLL_INTERVAL).await;
            }
            tokio::time::sleep(self.state.delay()).await;
            if size == 0 || to.write_all(&chunk[..size]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    fn is_blocked(&self) -> bool {
        self.state.is_silent(self.number) || self.state.is_cut(self.forward, self.source)
    }
}

async fn relay_datagrams(socket: UdpSocket, target: SocketAddr, state: Arc<LinkState>) {
    let socket = Arc::new(socket);
    let mut buffer = [0; 2048];
    loop {
        let Ok((size, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if state.is_cut(true, source.ip()) {
            continue;
        }
        let data = buffer[..size].to_vec();
        let (socket, delay) = (socket.clone(), state.delay());
        if delay.is_zero() {
            let _ = socket.send_to(&data, target).await;
            continue;
        }
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&data, target).await;
        });
    }
}

/// Posts a value as JSON to a stand-in or node; returns the status and body of the response.
///
/// # Errors
/// When the request fails or takes longer than 2 s.
pub async fn post<T: Serialize>(
    addr: SocketAddr,
    path: &str,
    value: &T,
) -> io::Result<(u16, Bytes)> {
    let body = serde_json::to_vec(value)?;
    let exchange = async {
        let stream = TcpStream::connect(addr).await?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(connection);
        let request = http::Request::post(path)
            .header("host", addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(io::Error::other)?;
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        let status = response.status().as_u16();
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        driver.abort();
        Ok((status, body.map_err(io::Error::other)?.to_bytes()))
    };
    match tokio::time::timeout(POST_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
}
