//! Starts a node, runs it until it is revoked or told to stop, and performs a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use jsonrpsee::server::HttpBody;
use parking_lot::{Mutex, RwLock};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::catch_up::{self, FurthestPeer};
use super::metrics::Metrics;
use super::peers::RpcService;
use super::settings::Settings;
use super::{Node, NodeAddrs, admin, handover, leases, lifecycle, membership, peers, planning};
use crate::core::call::Answer;
use crate::core::codes::Code;
use crate::core::ids::{Holder, Incarnation, Offset};
use crate::gate::handler::Gate;
use crate::lease::clock;
use crate::lease::message::IncarnationId;
use crate::lease::witness::Witness;
use crate::log::follow::{self, Health, PeerResponse};
use crate::log::replica::Replica;
use crate::net::listen;
use crate::net::pool::Pool;
use crate::route::entry::{Entry, Event};
use crate::route::request::RawRequest;
use crate::util::error::{Error, Result};

/// Maximum number of attempts to find a port that is free for both TCP and UDP when the system
/// assigns the port.
const PORT_ATTEMPTS: u32 = 20;
/// Interval at which a stopping node checks whether its servers have closed.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit for the servers to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the node checks whether it was revoked.
const REVOKED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bound sockets of a node. They are shared by its successive incarnations.
#[derive(Clone)]
pub struct Listeners {
    listen: Arc<TcpListener>,
    peer: Arc<TcpListener>,
    udp: Arc<UdpSocket>,
    admin: Arc<TcpListener>,
}

/// Binds the sockets for callers, other nodes and operators.
///
/// # Errors
/// [`Code::ListenFailed`] with the address.
pub async fn open(settings: &Settings) -> Result<Listeners> {
    let (peer, udp) = open_peer(settings.peer).await?;
    Ok(Listeners {
        listen: Arc::new(listen::listen(settings.listen).await?),
        peer: Arc::new(peer),
        udp: Arc::new(udp),
        admin: Arc::new(listen::listen(settings.admin).await?),
    })
}

/// Binds TCP and UDP to the same address. With port 0 the port assigned for TCP may be taken for
/// UDP, so another one is tried.
async fn open_peer(addr: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let attempts = if addr.port() == 0 { PORT_ATTEMPTS } else { 1 };
    let mut last = None;
    for _ in 0..attempts {
        let tcp = listen::listen(addr).await?;
        let bound = tcp.local_addr().unwrap_or(addr);
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) => last = Some(e),
        }
    }
    let error =
        Error::new(Code::ListenFailed, format!("failed to listen on {addr} for UDP datagrams"));
    Err(match last {
        Some(e) => error.caused_by(e),
        None => error,
    })
}

impl Listeners {
    /// The addresses that the sockets are bound to.
    ///
    /// # Errors
    /// [`Code::Internal`] when the system does not report a socket's address.
    pub fn addrs(&self, settings: &Settings) -> Result<NodeAddrs> {
        let failed =
            |e| Error::new(Code::Internal, "failed to read a socket's address").caused_by(e);
        let peer = self.peer.local_addr().map_err(failed)?;
        Ok(NodeAddrs {
            listen: self.listen.local_addr().map_err(failed)?,
            peer,
            admin: self.admin.local_addr().map_err(failed)?,
            advertise: settings.advertise.unwrap_or(peer),
        })
    }
}

/// Runs a node until `stop` becomes true, then performs a planned stop. `ready` is called with the
/// addresses once the sockets are bound.
///
/// A node that was revoked restarts within this process under a new incarnation, because its
/// witnesses never acknowledge the old incarnation again.
///
/// # Errors
/// [`Code::ListenFailed`] when an address cannot be listened on.
pub async fn run(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    ready: impl FnOnce(NodeAddrs),
) -> Result<()> {
    let listeners = open(&settings).await?;
    let addrs = listeners.addrs(&settings)?;
    ready(addrs);
    while !run_once(&settings, addrs, listeners.clone(), &mut stop).await? {}
    Ok(())
}

/// Runs one incarnation. Returns true after a planned stop, false when it was revoked.
async fn run_once(
    settings: &Settings,
    addrs: NodeAddrs,
    listeners: Listeners,
    stop: &mut watch::Receiver<bool>,
) -> Result<bool> {
    let (health, node) = build(settings.clone(), addrs, listeners.udp)?;
    let mut tasks = JoinSet::new();
    let close =
        spawn_servers(&node, &mut tasks, listeners.listen, listeners.peer, listeners.admin)?;
    spawn_loops(&node, &mut tasks, health);
    tokio::select! {
        () = wait_for_stop(stop) => {}
        () = wait_for_revocation(&node) => {
            tasks.shutdown().await;
            return Ok(false);
        }
    }
    node.leave().await;
    close.send_replace(true);
    let servers = async {
        while close.receiver_count() > 0 {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await
        }
    };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, servers).await;
    tasks.shutdown().await;
    Ok(true)
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // A dropped sender counts as a stop: the process is exiting.
    drop(stop.wait_for(|s| *s).await);
}

async fn wait_for_revocation(node: &Node) {
    while !node.in_state("revoked") {
        tokio::time::sleep(REVOKED_POLL_INTERVAL).await;
    }
}

/// Builds the state of a new incarnation, with the sender by which the log follower reports the
/// log service's health.
fn build(
    settings: Settings,
    addrs: NodeAddrs,
    udp: Arc<UdpSocket>,
) -> Result<(watch::Sender<Health>, Arc<Node>)> {
    let holder = Holder { node: settings.name.clone(), inc: Incarnation(fastrand::u64(..)) };
    let started_at = clock::now();
    let replica = Arc::new(Replica::default());
    let lease = Arc::new(Mutex::new(None));
    let metrics = Arc::new(Metrics::default());
    let pool = Arc::new(Pool::new(Some(settings.peer.ip())));
    let gate = Arc::new(Gate::new(holder.clone(), replica.clone(), lease.clone()));
    let counters = metrics.clone();
    let on_event = Box::new(move |event| match event {
        Event::Retry(code) => counters.count(&counters.retries, code),
        Event::Hedge => counters.hedges.inc(),
        Event::HedgeWon => counters.hedges_won.inc(),
    });
    let entry = Arc::new(Entry::new(settings.domain.clone(), gate.clone(), pool.clone(), on_event));
    let (health, log_health) = watch::channel(Health::Starting);
    let chart = lifecycle().map_err(|e| {
        let context = "failed to load the state chart of the node's lifecycle";
        Error::new(Code::Internal, context).caused_by(e)
    })?;
    let node = Node {
        log: Arc::new(crate::log::http::client(pool.clone(), settings.log)),
        witness: Mutex::new(Witness::new(IncarnationId::from(holder.inc), started_at)),
        takeovers: Mutex::default(),
        directory: RwLock::default(),
        furthest_peer: FurthestPeer::default(),
        stopping: watch::Sender::new(false),
        lifecycle: Mutex::new(chart),
        settings,
        addrs,
        holder,
        log_health,
        replica,
        lease,
        gate,
        entry,
        pool,
        udp,
        metrics,
    };
    Ok((health, Arc::new(node)))
}

/// Starts the servers for callers, other nodes and operators. They run until the returned channel
/// carries true; the number of its receivers is the number of servers still open.
fn spawn_servers(
    node: &Arc<Node>,
    tasks: &mut JoinSet<()>,
    listen: Arc<TcpListener>,
    peer: Arc<TcpListener>,
    operators: Arc<TcpListener>,
) -> Result<watch::Sender<bool>> {
    let (close, stop) = watch::channel(false);
    let entry_node = node.clone();
    let handler = move |request| handle_request(entry_node.clone(), request);
    tasks.spawn(listen::serve(listen, handler, stop.clone()));

    let rpc = RpcService::new(node.clone(), peers::register)?;
    let peer_node = node.clone();
    let handler = move |request| peers::serve(peer_node.clone(), rpc.clone(), request);
    tasks.spawn(listen::serve(peer, handler, stop.clone()));

    let rpc = RpcService::new(node.clone(), admin::register)?;
    let admin_node = node.clone();
    let handler = move |request| admin::serve(admin_node.clone(), rpc.clone(), request);
    tasks.spawn(listen::serve(operators, handler, stop));
    Ok(close)
}

fn spawn_loops(node: &Arc<Node>, tasks: &mut JoinSet<()>, health: watch::Sender<Health>) {
    let fetching = node.clone();
    let fetch = move |next| fetch_from_random_peer(fetching.clone(), next);
    tasks.spawn(follow::follow(node.log.clone(), node.replica.clone(), health, fetch));
    tasks.spawn(follow::confirm(node.log.clone(), node.replica.clone()));
    tasks.spawn(catch_up::catch_up(node.clone()));
    tasks.spawn(membership::track_state(node.clone()));
    tasks.spawn(membership::maintain(node.clone()));
    tasks.spawn(leases::receive(node.clone()));
    tasks.spawn(leases::renew(node.clone()));
    tasks.spawn(leases::renew_grant(node.clone()));
    tasks.spawn(leases::watch_holders(node.clone()));
    tasks.spawn(handover::acquire_slices(node.clone()));
    tasks.spawn(planning::plan(node.clone()));
    tasks.spawn(planning::write_snapshots(node.clone()));
}

/// Requests the records from `next` on from one node, drawn at random from members and seeds.
async fn fetch_from_random_peer(node: Arc<Node>, next: Offset) -> PeerResponse {
    let mut candidates: Vec<SocketAddr> = {
        let state = node.replica.state();
        let others = state.members.values().filter(|m| m.member.holder != node.holder);
        others.map(|m| m.member.peer).collect()
    };
    candidates.extend(&node.settings.seeds);
    if candidates.is_empty() {
        return PeerResponse::None;
    }
    let addr = candidates[fastrand::usize(..candidates.len())];
    peers::fetch_records(&node.pool, addr, next).await
}

/// Answers a caller's request and records its metrics.
async fn handle_request(node: Arc<Node>, request: Request<Incoming>) -> Response<HttpBody> {
    let began = Instant::now();
    let (service, answer) = answer(&node, request).await;
    let code = answer.code.number().to_string();
    node.metrics.requests.with_label_values(&[service.as_str(), code.as_str()]).inc();
    node.metrics.latency.observe(began.elapsed().as_secs_f64());
    peers::into_response(answer)
}

async fn answer(node: &Node, request: Request<Incoming>) -> (String, Answer) {
    let read = RawRequest::read(request, node.settings.body_limit).await;
    let resolved = match read {
        Ok(raw) => node.entry.resolve(&raw).await,
        Err(code) => Err(Answer::refusal(code)),
    };
    match resolved {
        // Only configured services become labels, so callers cannot grow the set of metrics.
        Ok(resolved) => (resolved.call.service.to_string(), node.entry.route(resolved).await),
        Err(answer) => (String::new(), answer),
    }
}
