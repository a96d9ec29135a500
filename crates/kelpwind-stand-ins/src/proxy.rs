//! A proxy between processes that injects faults: cuts, one-way loss, delay, and old connections
//! that go silent while new ones work.
//!
//! A link listens on one address, TCP and UDP, and passes on to another. Faults are set by link and
//! by source address, so that one pair of processes can be cut while others still talk. Datagrams
//! are passed on one way only: the router's processes answer to each other's known addresses.

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

/// Time between two looks at whether a cut has ended.
const CUT_LOOK: Duration = Duration::from_millis(5);
/// Bytes passed on at once.
const CHUNK: usize = 16 << 10;
/// Longest time of a control call.
const POST_TIME: Duration = Duration::from_secs(2);

/// A link to open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Name by which faults are set.
    pub name: String,
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// Address to pass on to.
    pub target: SocketAddr,
}

/// Faults of a link.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing passes towards the target.
    pub cut_forward: bool,
    /// Nothing passes back.
    pub cut_backward: bool,
    /// Source addresses that the cuts apply to; all when empty.
    pub only: Vec<IpAddr>,
    /// Delay of each piece that passes, in milliseconds.
    pub delay_ms: u64,
    /// Set anew to a greater number: connections open by then go silent for good.
    pub silence: u64,
}

/// Faults of a link, set over `/control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkFaults {
    /// Name of the link.
    pub link: String,
    /// Its faults from now on.
    pub faults: Faults,
}

#[derive(Debug, Default)]
struct Shared {
    faults: Mutex<Faults>,
    opened: AtomicU64,
    silent_before: AtomicU64,
}

impl Shared {
    fn set(&self, faults: Faults) {
        let mut known = self.faults.lock();
        if faults.silence > known.silence {
            self.silent_before.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
        }
        *known = faults;
    }

    fn applies(faults: &Faults, source: IpAddr) -> bool {
        faults.only.is_empty() || faults.only.contains(&source)
    }

    fn is_cut(&self, forward: bool, source: IpAddr) -> bool {
        let faults = self.faults.lock();
        let cut = if forward { faults.cut_forward } else { faults.cut_backward };
        cut && Shared::applies(&faults, source)
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
    links: Arc<Mutex<BTreeMap<String, Arc<Shared>>>>,
}

impl Proxy {
    /// Opens a link as tasks; returns the address really listened on.
    pub async fn open(&self, link: Link) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(link.listen).await?;
        let bound = listener.local_addr()?;
        let udp = UdpSocket::bind(bound).await?;
        let shared = Arc::new(Shared::default());
        self.links.lock().insert(link.name, shared.clone());
        tokio::spawn(pass_streams(listener, link.target, shared.clone()));
        tokio::spawn(pass_datagrams(udp, link.target, shared));
        Ok(bound)
    }

    /// Sets the faults of a link; false if there is no such link.
    pub fn set_faults(&self, control: LinkFaults) -> bool {
        let links = self.links.lock();
        let link = links.get(&control.link);
        link.map(|l| l.set(control.faults)).is_some()
    }

    /// Serves `/open` and `/control` on `addr` as a task; returns the address listened on.
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
                |control: LinkFaults, proxy: Proxy| {
                    let status = if proxy.set_faults(control) { 200 } else { 404 };
                    json(status, &())
                },
            );
        serve(addr, open.or(control)).await
    }
}

async fn pass_streams(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            continue;
        };
        let number = shared.opened.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(pass_stream(stream, source.ip(), target, number, shared.clone()));
    }
}

async fn pass_stream(
    stream: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    number: u64,
    shared: Arc<Shared>,
) {
    while shared.is_cut(true, source) {
        tokio::time::sleep(CUT_LOOK).await;
    }
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (from_source, to_source) = stream.into_split();
    let (from_target, to_target) = onward.into_split();
    let forward = Pump { forward: true, source, number, shared: shared.clone() };
    let backward = Pump { forward: false, source, number, shared };
    // The end of one direction is passed on as the end of that direction only.
    tokio::join!(forward.run(from_source, to_target), backward.run(from_target, to_source));
}

/// Passes bytes in one direction of one connection.
struct Pump {
    forward: bool,
    source: IpAddr,
    number: u64,
    shared: Arc<Shared>,
}

impl Pump {
    async fn run<R, W>(self, mut from: R, mut to: W)
    where
        R: tokio::io::AsyncRead + Unpin,
        W: tokio::io::AsyncWrite + Unpin,
    {
        let mut chunk = vec![0; CHUNK];
        while let Ok(size) = from.read(&mut chunk).await {
            while self.stalls() {
                tokio::time::sleep(CUT_LOOK).await;
            }
            tokio::time::sleep(self.shared.delay()).await;
            if size == 0 || to.write_all(&chunk[..size]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    fn stalls(&self) -> bool {
        self.shared.is_silent(self.number) || self.shared.is_cut(self.forward, self.source)
    }
}

async fn pass_datagrams(socket: UdpSocket, target: SocketAddr, shared: Arc<Shared>) {
    let socket = Arc::new(socket);
    let mut buffer = [0; 2048];
    loop {
        let Ok((size, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if shared.is_cut(true, source.ip()) {
            continue;
        }
        let data = buffer[..size].to_vec();
        let (socket, delay) = (socket.clone(), shared.delay());
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

/// Sends a value in JSON to a stand-in or node; the status and body of the answer.
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
        let answer = sender.send_request(request).await.map_err(io::Error::other)?;
        let status = answer.status().as_u16();
        let body = http_body_util::BodyExt::collect(answer.into_body()).await;
        driver.abort();
        Ok((status, body.map_err(io::Error::other)?.to_bytes()))
    };
    match tokio::time::timeout(POST_TIME, exchange).await {
        Ok(done) => done,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
}
