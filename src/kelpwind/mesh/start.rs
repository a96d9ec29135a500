//! Starts a node on a platform, keeps it running, and stops it as planned.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use super::metrics::Metrics;
use super::node::Node;
use super::platform_api::{NodeSettings, Platform, Topic};
use super::{
    balance, gate, grants, held_ranges, http, lease, plan, reports, serve, store_watch, takeover,
    udp,
};
use crate::core::codes::Code;
use crate::core::ids::{Holder, Incarnation, Offset};
use crate::gate::queue::RequestQueue;
use crate::lease::clock;
use crate::lease::message::IncarnationId;
use crate::lease::witness::Witness;
use crate::net::listen;
use crate::table::WriteBatch;
use crate::util::error::{Error, Result};

/// Slots that are reckoned with until the backend server has told its own.
const SLOTS_UNTOLD: u32 = 1;
/// Time in which whoever sends callers here learns that the node is no longer ready: it asks once a
/// second and leaves after two misses.
const READY_NOTICE: Duration = Duration::from_millis(2300);
/// Part of the grace period that is kept for ending the process itself.
const STOP_RESERVE: Duration = Duration::from_millis(700);
/// Time between two looks at whether all work has ended.
const STOP_LOOK: Duration = Duration::from_millis(20);
/// Time between two looks at the settings file, which may change without a signal.
const RELOAD_LOOK: Duration = Duration::from_secs(5);

/// Runs a node until SIGTERM, then stops it as planned.
///
/// # Errors
/// [`Code::ListenFailed`] when an address cannot be listened on.
pub async fn run(place: NodeSettings, platform: Platform) -> Result<()> {
    let listen = place.listen.clone();
    let callers = listen::listen(listen.callers).await?;
    let ready = listen::listen(listen.ready).await?;
    let from_server = listen::listen(listen.reports).await?;
    let peers = listen::listen(listen.peers).await?;
    let metrics = listen::listen(listen.metrics).await?;
    let udp = udp(listen.peers).await?;
    let mut terminate = on(SignalKind::terminate())?;
    let reload = on(SignalKind::hangup())?;
    let node = Rc::new(build(place, platform, udp));
    let (name, run) = (node.name().to_string(), node.run_id);
    spdlog::info!("the node starts", kv: { name = name.as_str(), run, version = env!("CARGO_PKG_VERSION") });
    let (closed, closing) = watch::channel(false);
    spawn_loops(&node, reload);
    spawn_listeners(&node, &closing, [callers, ready, from_server, metrics]);
    tokio::task::spawn_local(serve::accept(node.clone(), peers));
    terminate.recv().await;
    stop(&node, &closed).await;
    spdlog::info!("the node has stopped", kv: { name = name.as_str() });
    Ok(())
}

async fn udp(addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr).await.map_err(|e| {
        Error::new(Code::ListenFailed, format!("failed to listen on {addr} for datagrams"))
            .caused_by(e)
    })
}

fn on(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|e| Error::new(Code::Internal, "failed to wait for signals").caused_by(e))
}

fn build(place: NodeSettings, platform: Platform, udp: UdpSocket) -> Node {
    let holder = Holder { node: place.node.clone(), inc: Incarnation(fastrand::u64(..)) };
    let born = clock::now();
    let witness = Witness::new(IncarnationId::from(holder.inc), born);
    let mut held = held_ranges::HeldRanges::default();
    held.assume_former_grants(born);
    Node {
        settings: RefCell::new(place),
        platform,
        run_id: fastrand::u64(..),
        holder: RefCell::new(holder),
        started: Instant::now(),
        routes: RefCell::new(None),
        configured: watch::Sender::new(false),
        drained_domains: RefCell::default(),
        table: RefCell::default(),
        table_offset: watch::Sender::new(None),
        orders_published: watch::Sender::new(Offset::default()),
        table_read_due: Notify::new(),
        table_read_requested: Cell::new(None),
        server: RefCell::new(None),
        announce_wake: Notify::new(),
        grants_wake: Notify::new(),
        held_changed: watch::Sender::new(0),
        queue: RefCell::new(RequestQueue::new(SLOTS_UNTOLD)),
        tickets: RefCell::default(),
        queue_wake: Notify::new(),
        held: RefCell::new(held),
        departed_owners: RefCell::default(),
        demand: RefCell::default(),
        load_query: RefCell::default(),
        reservations: RefCell::default(),
        links: RefCell::new(HashMap::new()),
        sessions: RefCell::default(),
        local_requests: Cell::new(0),
        service_times: RefCell::default(),
        retry_budgets: RefCell::default(),
        route_splits: RefCell::default(),
        caller_timeouts: RefCell::default(),
        lease: RefCell::new(None),
        witness: RefCell::new(witness),
        takeovers: RefCell::default(),
        udp,
        stopping: watch::Sender::new(false),
        stop_began: Cell::new(None),
        inflight: Cell::new(0),
        metrics: Metrics::default(),
    }
}

fn spawn_loops(node: &Rc<Node>, hangup: Signal) {
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    spawn(Box::pin(store_watch::watch_topic(node.clone(), Topic::Orders)));
    spawn(Box::pin(store_watch::watch_topic(node.clone(), Topic::Table)));
    spawn(Box::pin(reports::announce(node.clone())));
    spawn(Box::pin(reports::watch_silence(node.clone())));
    spawn(Box::pin(gate::pump(node.clone())));
    spawn(Box::pin(grants::maintain_grants(node.clone())));
    spawn(Box::pin(plan::plan(node.clone())));
    spawn(Box::pin(balance::rebalance(node.clone())));
    spawn(Box::pin(lease::renew(node.clone())));
    spawn(Box::pin(udp::receive(node.clone())));
    spawn(Box::pin(takeover::watch_holders(node.clone())));
    spawn(Box::pin(lease::maintain_witnesses(node.clone())));
    spawn(Box::pin(reload(node.clone(), hangup)));
}

fn spawn_listeners(node: &Rc<Node>, closing: &watch::Receiver<bool>, listeners: [TcpListener; 4]) {
    let [callers, ready, from_server, metrics] = listeners;
    let never = watch::Sender::new(false).subscribe();
    let serve =
        |listener, closing: &watch::Receiver<bool>| (listener, node.clone(), closing.clone());
    let (l, n, c) = serve(callers, closing);
    tokio::task::spawn_local(http::serve(l, n, c, http::call));
    let (l, n, c) = serve(ready, &never);
    tokio::task::spawn_local(http::serve(l, n, c, http::ready));
    let (l, n, c) = serve(from_server, &never);
    tokio::task::spawn_local(http::serve(l, n, c, http::report));
    let (l, n, c) = serve(metrics, &never);
    tokio::task::spawn_local(http::serve(l, n, c, http::metrics));
}

/// Takes changed settings on SIGHUP and when the file has changed. Only bounds can change while a
/// node runs; a file that cannot be read changes nothing.
async fn reload(node: Rc<Node>, mut hangup: Signal) {
    loop {
        tokio::select! {
            _ = hangup.recv() => spdlog::info!("the settings are read anew"),
            () = sleep(RELOAD_LOOK) => {}
        }
        match (node.platform.reload)() {
            Ok(place) if place.bounds != node.settings.borrow().bounds => {
                spdlog::info!("the bounds have changed");
                node.settings.borrow_mut().bounds = place.bounds;
            }
            Ok(_) => {}
            Err(e) => spdlog::error!("{}", crate::util::error::format_chain(&e)),
        }
    }
}

/// Stops as planned: no longer ready, keys handed over, work ended, then gone.
async fn stop(node: &Rc<Node>, closed: &watch::Sender<bool>) {
    let began = Instant::now();
    let grace = node.settings.borrow().bounds.grace.saturating_sub(STOP_RESERVE);
    node.stop_began.set(Some(began));
    node.stopping.send_replace(true);
    node.tell_leaving();
    spdlog::info!("the node stops", kv: { inflight = node.inflight.get() });
    node.announce_wake.notify_one();
    node.grants_wake.notify_one();
    let left = |time: Duration| time.saturating_sub(began.elapsed());
    while !left(grace).is_zero() {
        let noticed = left(READY_NOTICE).is_zero();
        if noticed {
            closed.send_replace(true);
        }
        if noticed && node.is_idle() {
            break;
        }
        sleep(STOP_LOOK).await;
    }
    let gone = node.commit("the record of a node that stops", |node, table| {
        table.member(&node.holder()).map(|m| WriteBatch::delete_member(&m.holder.node))
    });
    if timeout(STOP_RESERVE / 2, gone).await.is_err() {
        spdlog::warn!("the node's record stays");
    }
}

impl Node {
    /// Whether nothing is under way and no keys are left.
    fn is_idle(&self) -> bool {
        let line = self.queue.borrow();
        let me = self.name();
        let table = self.table.borrow();
        let owns = table.keys.values().flat_map(|k| k.owners()).any(|h| h.node == me);
        self.inflight.get() == 0 && line.running() == 0 && line.waiting() == 0 && !owns
    }
}
