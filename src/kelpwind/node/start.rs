//! Starts a node, keeps it running, and stops it as planned.

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

use super::catch_up::{self, Ahead};
use super::metrics::Metrics;
use super::peers::Rpc;
use super::settings::Settings;
use super::{Addrs, Node, admin, handover, leases, life, membership, peers, planning};
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

/// Tries to find a port that is free for both TCP and UDP.
const PORT_TRIES: u32 = 20;
/// Time between two looks at whether the listeners have closed.
const SERVER_LOOK: Duration = Duration::from_millis(10);
/// Longest time for the listeners to close.
const SERVER_STOP: Duration = Duration::from_secs(5);
/// Time between two looks at whether this node was revoked.
const REVOKED_LOOK: Duration = Duration::from_millis(50);

/// The listeners of a node, open. They outlast its incarnations.
#[derive(Clone)]
pub struct Listeners {
    listen: Arc<TcpListener>,
    peer: Arc<TcpListener>,
    udp: Arc<UdpSocket>,
    admin: Arc<TcpListener>,
}

/// Opens the listeners.
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

async fn open_peer(addr: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let tries = if addr.port() == 0 { PORT_TRIES } else { 1 };
    let mut last = None;
    for _ in 0..tries {
        let tcp = listen::listen(addr).await?;
        let bound = tcp.local_addr().unwrap_or(addr);
        match UdpSocket::bind(bound).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) => last = Some(e),
        }
    }
    let error = Error::new(Code::ListenFailed, format!("failed to listen on {addr} for datagrams"));
    Err(match last {
        Some(e) => error.caused_by(e),
        None => error,
    })
}

impl Listeners {
    /// The addresses that are really listened on.
    pub fn addrs(&self, settings: &Settings) -> Result<Addrs> {
        let lost = |e| Error::new(Code::Internal, "failed to read an address").caused_by(e);
        let peer = self.peer.local_addr().map_err(lost)?;
        Ok(Addrs {
            listen: self.listen.local_addr().map_err(lost)?,
            peer,
            admin: self.admin.local_addr().map_err(lost)?,
            advertise: settings.advertise.unwrap_or(peer),
        })
    }
}

/// Runs a node until `stop` turns true, then stops it as planned. `ready` is told the addresses once
/// the listeners are open.
///
/// A node whose lease others took over starts anew in this process, under a new incarnation: what
/// it was is over for good.
///
/// # Errors
/// [`Code::ListenFailed`] when an address cannot be listened on.
pub async fn run(
    settings: Settings,
    mut stop: watch::Receiver<bool>,
    ready: impl FnOnce(Addrs),
) -> Result<()> {
    let listeners = open(&settings).await?;
    let addrs = listeners.addrs(&settings)?;
    ready(addrs);
    while !run_once(&settings, addrs, listeners.clone(), &mut stop).await? {}
    Ok(())
}

/// Runs one incarnation; true when it was stopped as planned, false when it was revoked.
async fn run_once(
    settings: &Settings,
    addrs: Addrs,
    listeners: Listeners,
    stop: &mut watch::Receiver<bool>,
) -> Result<bool> {
    let (health, node) = build(settings.clone(), addrs, listeners.udp)?;
    let mut tasks = JoinSet::new();
    let closed =
        spawn_servers(&node, &mut tasks, listeners.listen, listeners.peer, listeners.admin)?;
    spawn_loops(&node, &mut tasks, health);
    tokio::select! {
        () = told_to_stop(stop) => {}
        () = revoked(&node) => {
            tasks.shutdown().await;
            return Ok(false);
        }
    }
    node.leave().await;
    closed.send_replace(true);
    let servers = async {
        while closed.receiver_count() > 0 {
            tokio::time::sleep(SERVER_LOOK).await
        }
    };
    let _ = tokio::time::timeout(SERVER_STOP, servers).await;
    tasks.shutdown().await;
    Ok(true)
}

async fn told_to_stop(stop: &mut watch::Receiver<bool>) {
    // A sender that is gone means that the process ends.
    drop(stop.wait_for(|s| *s).await);
}

async fn revoked(node: &Node) {
    while !node.is("revoked") {
        tokio::time::sleep(REVOKED_LOOK).await;
    }
}

fn build(
    settings: Settings,
    addrs: Addrs,
    udp: Arc<UdpSocket>,
) -> Result<(watch::Sender<Health>, Arc<Node>)> {
    let me = Holder { node: settings.name.clone(), inc: Incarnation(fastrand::u64(..)) };
    let born = clock::now();
    let replica = Arc::new(Replica::default());
    let lease = Arc::new(Mutex::new(None));
    let metrics = Arc::new(Metrics::default());
    let pool = Arc::new(Pool::new(Some(settings.peer.ip())));
    let gate = Arc::new(Gate::new(me.clone(), replica.clone(), lease.clone()));
    let counters = metrics.clone();
    let told = Box::new(move |event| match event {
        Event::Retry(code) => counters.count(&counters.retries, code),
        Event::Hedge => counters.hedges.inc(),
        Event::HedgeWon => counters.hedges_won.inc(),
    });
    let entry = Arc::new(Entry::new(settings.domain.clone(), gate.clone(), pool.clone(), told));
    let (sender, health) = watch::channel(Health::Starting);
    let chart = life().map_err(|e| Error::new(Code::Internal, "failed to start").caused_by(e))?;
    let node = Node {
        log: Arc::new(crate::log::http::client(pool.clone(), settings.log)),
        witness: Mutex::new(Witness::new(IncarnationId::from(me.inc), born)),
        takeovers: Mutex::default(),
        directory: RwLock::default(),
        ahead: Ahead::default(),
        stop: watch::Sender::new(false),
        life: Mutex::new(chart),
        settings,
        addrs,
        me,
        health,
        replica,
        lease,
        gate,
        entry,
        pool,
        udp,
        metrics,
    };
    Ok((sender, Arc::new(node)))
}

fn spawn_servers(
    node: &Arc<Node>,
    tasks: &mut JoinSet<()>,
    listen: Arc<TcpListener>,
    peer: Arc<TcpListener>,
    operators: Arc<TcpListener>,
) -> Result<watch::Sender<bool>> {
    let (closed, stop) = watch::channel(false);
    let caller = node.clone();
    let take = move |request| take_request(caller.clone(), request);
    tasks.spawn(listen::serve(listen, take, stop.clone()));

    let rpc = Rpc::new(node.clone(), peers::register)?;
    let other = node.clone();
    let take = move |request| peers::serve(other.clone(), rpc.clone(), request);
    tasks.spawn(listen::serve(peer, take, stop.clone()));

    let rpc = Rpc::new(node.clone(), admin::register)?;
    let operator = node.clone();
    let take = move |request| admin::serve(operator.clone(), rpc.clone(), request);
    tasks.spawn(listen::serve(operators, take, stop));
    Ok(closed)
}

fn spawn_loops(node: &Arc<Node>, tasks: &mut JoinSet<()>, health: watch::Sender<Health>) {
    let helper = node.clone();
    let help = move |next| ask_someone(helper.clone(), next);
    tasks.spawn(follow::follow(node.log.clone(), node.replica.clone(), health, help));
    tasks.spawn(catch_up::catch_up(node.clone()));
    tasks.spawn(membership::track(node.clone()));
    tasks.spawn(membership::care(node.clone()));
    tasks.spawn(leases::receive(node.clone()));
    tasks.spawn(leases::renew(node.clone()));
    tasks.spawn(leases::renew_grant(node.clone()));
    tasks.spawn(leases::watch(node.clone()));
    tasks.spawn(handover::take_over(node.clone()));
    tasks.spawn(planning::plan(node.clone()));
    tasks.spawn(planning::keep_snapshots(node.clone()));
}

/// Asks one other node, drawn at random from the members and the seeds, for records.
async fn ask_someone(node: Arc<Node>, next: Offset) -> PeerResponse {
    let mut known: Vec<SocketAddr> = {
        let state = node.replica.state();
        let others = state.members.values().filter(|m| m.member.holder != node.me);
        others.map(|m| m.member.peer).collect()
    };
    known.extend(&node.settings.seeds);
    if known.is_empty() {
        return PeerResponse::None;
    }
    let addr = known[fastrand::usize(..known.len())];
    peers::ask_for_records(addr, next).await
}

/// Answers a caller.
async fn take_request(node: Arc<Node>, request: Request<Incoming>) -> Response<HttpBody> {
    let began = Instant::now();
    let (service, answer) = answer(&node, request).await;
    let code = answer.code.number().to_string();
    node.metrics.requests.with_label_values(&[service.as_str(), code.as_str()]).inc();
    node.metrics.latency.observe(began.elapsed().as_secs_f64());
    peers::reply(answer)
}

async fn answer(node: &Node, request: Request<Incoming>) -> (String, Answer) {
    let read = RawRequest::read(request, node.settings.body_limit).await;
    let asked = read.and_then(|raw| raw.resolve(&node.replica.state()));
    match asked {
        // Only configured services become labels: a caller cannot make the metrics grow.
        Ok(asked) => (asked.call.service.to_string(), node.entry.route(asked).await),
        Err(code) => (String::new(), Answer::refusal(code)),
    }
}
