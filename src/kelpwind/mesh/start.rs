//! Starts a node on a platform, reloads its settings, and shuts it down gracefully.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::http::Clients;
use super::metrics::Metrics;
use super::node::Node;
use super::platform_api::{NodeSettings, Platform, Topic};
use super::store_era::StoreEra;
use super::tenants::Quotas;
use super::{
    balance, gate, grants, held_ranges, http, lease, plan, quarantine, reports, serve, store_era,
    store_watch, takeover, tenants, udp,
};
use crate::core::codes::Code;
use crate::core::ids::{Holder, Incarnation};
use crate::gate::grant_time;
use crate::gate::queue::RequestQueue;
use crate::lease::clock;
use crate::lease::message::IncarnationId;
use crate::lease::witness::Witness;
use crate::net::listen;
use crate::net::memory::MemoryAccount;
use crate::table::WriteBatch;
use crate::util::error::{Error, Result};
use crate::util::supervise::supervise;

/// Slots that are assumed until the backend server reports its own.
const DEFAULT_SLOTS: u32 = 1;
/// Time from when the node stops being ready until callers no longer connect to it: readiness is
/// checked once a second, and two failed checks exclude the node.
const UNREADY_PROPAGATION: Duration = Duration::from_millis(2300);
/// Part of the grace period that is reserved for ending the process itself.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
/// Interval at which a stopping node checks whether all work has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Highest first incarnation of a node, which leaves room for later ones.
const FIRST_INCARNATION_MAX: u64 = 1 << 62;
/// Interval at which the settings file is read again, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a node until SIGTERM, then shuts it down gracefully.
///
/// # Errors
/// [`Code::ListenFailed`] when an address cannot be listened on; [`Code::Internal`] when signals
/// cannot be received.
pub async fn run(settings: NodeSettings, platform: Platform) -> Result<()> {
    let listen = settings.listen.clone();
    let callers = listen::listen(listen.callers).await?;
    let ready = listen::listen(listen.ready).await?;
    let from_server = listen::listen(listen.reports).await?;
    let peers = listen::listen(listen.peers).await?;
    let metrics = listen::listen(listen.metrics).await?;
    let udp = bind_udp(listen.peers).await?;
    let mut terminate = listen_for(SignalKind::terminate())?;
    let reload = listen_for(SignalKind::hangup())?;
    let node = Rc::new(build(settings, platform, udp));
    let (name, run) = (node.name().to_string(), node.run_id);
    spdlog::info!("the node starts", kv: { name = name.as_str(), run, version = env!("CARGO_PKG_VERSION") });
    let (closed, closing) = watch::channel(false);
    store_era::check_answers(&node);
    spawn_loops(&node, reload);
    let accepting = spawn_listeners(&node, &closing, [callers, ready, from_server, metrics]);
    tokio::task::spawn_local(serve::accept(node.clone(), peers));
    terminate.recv().await;
    stop(&node, &closed, &accepting).await;
    let unread_closes = node.metrics.unread_closes.get();
    spdlog::info!("the node has stopped", kv: { name = name.as_str(), unread_closes });
    Ok(())
}

async fn bind_udp(addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr).await.map_err(|e| {
        Error::new(Code::ListenFailed, format!("failed to listen on {addr} for datagrams"))
            .caused_by(e)
    })
}

fn listen_for(kind: SignalKind) -> Result<Signal> {
    signal(kind)
        .map_err(|e| Error::new(Code::Internal, "failed to install a signal handler").caused_by(e))
}

fn build(settings: NodeSettings, platform: Platform, udp: UdpSocket) -> Node {
    let inc = Incarnation(fastrand::u64(..FIRST_INCARNATION_MAX));
    let holder = Holder { node: settings.node.clone(), inc };
    let now = clock::now();
    let witness = Witness::new(IncarnationId::from(holder.inc), now);
    let mut held = held_ranges::HeldRanges::default();
    held.assume_former_grants(now, grant_time::EXCESS_MAX);
    let memory = MemoryAccount::new(settings.limits.body_memory);
    (platform.backend.set_account)(memory.clone());
    let run_id = fastrand::u64(..);
    Node {
        quotas: Quotas::new(settings.node.clone(), run_id),
        settings: RefCell::new(settings),
        platform,
        run_id,
        holder: RefCell::new(holder),
        started: Instant::now(),
        started_boot: now,
        replaced_at: Cell::new(None),
        routes: RefCell::new(None),
        configured: watch::Sender::new(false),
        drained_domains: RefCell::default(),
        table: RefCell::default(),
        table_position: watch::Sender::new(None),
        restoration: RefCell::default(),
        restored_at: Cell::new(None),
        era_since: Cell::new(Instant::now()),
        announced_era: Cell::new(None),
        uncertain_writes: Cell::new(0),
        orders: watch::Sender::default(),
        store_era: StoreEra::default(),
        recheck_at: Cell::new(None),
        orders_check: Notify::new(),
        orders_check_requested: Cell::new(None),
        table_read_due: Notify::new(),
        table_read_requested: Cell::new(None),
        server: RefCell::new(None),
        last_instance: RefCell::new(None),
        unreachable_server: RefCell::new(None),
        verified_server: RefCell::new(None),
        verifying: Cell::new(false),
        unhealthy_server: RefCell::new(None),
        checking_listener: Cell::new(false),
        announce_wake: Notify::new(),
        grants_wake: Notify::new(),
        report_exchanges: RefCell::default(),
        keys_checked: Notify::new(),
        held_changed: watch::Sender::new(0),
        statements: RefCell::default(),
        server_runs: RefCell::default(),
        fingerprint_seed: fastrand::u64(..),
        checking_exit: Cell::new(false),
        quarantine: RefCell::default(),
        suspect_changes: RefCell::default(),
        suspects_wake: Notify::new(),
        queue: RefCell::new(RequestQueue::new(DEFAULT_SLOTS)),
        call_trees: RefCell::default(),
        work: RefCell::default(),
        tickets: RefCell::default(),
        queue_wake: Notify::new(),
        held: RefCell::new(held),
        grant_excess: Cell::new(None),
        transit_times: RefCell::default(),
        departed_owners: RefCell::default(),
        demand: RefCell::default(),
        load_query: RefCell::default(),
        shed_failed: Cell::default(),
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
        work_ends: Cell::new(None),
        work_ended: watch::Sender::new(false),
        answer_times: RefCell::default(),
        last_connection: Cell::new(0),
        inflight: Cell::new(0),
        callers: RefCell::default(),
        memory,
        pacer: Rc::default(),
        bulk_answers: RefCell::default(),
        metrics: Metrics::default(),
    }
}

fn spawn_loops(node: &Rc<Node>, hangup: Signal) {
    fn run<F: Future<Output = ()> + 'static>(
        node: &Rc<Node>,
        name: &'static str,
        task: impl Fn(Rc<Node>) -> F + 'static,
    ) {
        let (of_task, of_panics) = (node.clone(), node.clone());
        supervise(
            name,
            move || task(of_task.clone()),
            move || of_panics.metrics.task_restarts.inc(),
        );
    }
    run(node, "orders", |node| store_watch::watch_topic(node, Topic::Orders));
    run(node, "table", |node| store_watch::watch_topic(node, Topic::Table));
    run(node, "announce", reports::announce);
    run(node, "silence", reports::watch_silence);
    run(node, "queue", gate::dispatch_queued);
    run(node, "grants", grants::maintain_grants);
    run(node, "ownership", plan::maintain_ownership);
    run(node, "balance", balance::rebalance);
    run(node, "lease", lease::renew);
    run(node, "datagrams", udp::receive);
    run(node, "takeovers", takeover::watch_holders);
    run(node, "witnesses", lease::maintain_witnesses);
    run(node, "quotas", tenants::maintain_quotas);
    run(node, "suspects", quarantine::maintain_suspects);
    tokio::task::spawn_local(reload(node.clone(), hangup));
}

/// Returns the task that accepts callers' connections, which ends after `closing` has become true.
fn spawn_listeners(
    node: &Rc<Node>,
    closing: &watch::Receiver<bool>,
    listeners: [TcpListener; 4],
) -> JoinHandle<()> {
    let [callers, ready, from_server, metrics] = listeners;
    let never = watch::Sender::new(false).subscribe();
    let serve =
        |listener, closing: &watch::Receiver<bool>| (listener, node.clone(), closing.clone());
    let (l, n, c) = serve(callers, closing);
    let accepting =
        tokio::task::spawn_local(http::serve(l, n, c, Clients::Callers, http::handle_call));
    let (l, n, c) = serve(ready, &never);
    tokio::task::spawn_local(http::serve(l, n, c, Clients::Others, http::check_ready));
    let (l, n, c) = serve(from_server, &never);
    tokio::task::spawn_local(http::serve(l, n, c, Clients::Others, http::receive_report));
    let (l, n, c) = serve(metrics, &never);
    tokio::task::spawn_local(http::serve(l, n, c, Clients::Others, http::serve_metrics));
    accepting
}

/// Reads the settings again on SIGHUP and at intervals. Only bounds can change while a node runs. A
/// file that cannot be read changes nothing.
async fn reload(node: Rc<Node>, mut hangup: Signal) {
    loop {
        tokio::select! {
            _ = hangup.recv() => spdlog::info!("the settings are read anew"),
            () = sleep(RELOAD_INTERVAL) => {}
        }
        match (node.platform.reload)() {
            Ok(settings) if settings.bounds != node.settings.borrow().bounds => {
                spdlog::info!("the settings have changed: new bounds are in force");
                node.settings.borrow_mut().bounds = settings.bounds;
            }
            Ok(_) => {}
            Err(e) => spdlog::error!(
                "failed to reload the settings, so the old ones stay in force: {}",
                crate::util::error::format_chain(&e)
            ),
        }
    }
}

/// Shuts down gracefully: the node is no longer ready, hands over its keys, waits for its work to
/// end, and removes its record from the table.
async fn stop(node: &Rc<Node>, closed: &watch::Sender<bool>, accepting: &JoinHandle<()>) {
    let began = Instant::now();
    let grace = node.settings.borrow().bounds.grace.saturating_sub(EXIT_RESERVE);
    node.stop_began.set(Some(began));
    node.work_ends.set(Some(began + grace));
    node.stopping.send_replace(true);
    node.notify_leaving();
    spdlog::info!("the node stops", kv: { inflight = node.inflight.get() });
    node.announce_wake.notify_one();
    node.grants_wake.notify_one();
    let left = |time: Duration| time.saturating_sub(began.elapsed());
    let has_answered = || accepting.is_finished() && node.has_answered_callers();
    while !left(grace).is_zero() {
        let unready_known = left(UNREADY_PROPAGATION).is_zero();
        if unready_known {
            closed.send_replace(true);
        }
        if unready_known && has_answered() && node.is_idle() {
            break;
        }
        sleep(STOP_CHECK_INTERVAL).await;
    }
    closed.send_replace(true);
    node.work_ended.send_replace(true);
    let answered = async {
        while !has_answered() {
            sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    let gone = node.commit("the record of a node that stops", |node, table| {
        table.member(&node.holder()).map(|m| WriteBatch::delete_member(&m.holder.node))
    });
    let (gone, _) =
        tokio::join!(timeout(EXIT_RESERVE / 2, gone), timeout(EXIT_RESERVE / 2, answered));
    if gone.is_err() {
        spdlog::warn!("failed to remove the node's record from the table in time");
    }
    if !node.has_answered_callers() {
        let stopped_ms = began.elapsed().as_millis();
        spdlog::warn!("callers have not taken all answers", kv: { inflight = node.inflight.get(), stopped_ms });
    }
}

impl Node {
    /// Whether the gate has no request in progress and this node owns no keys.
    fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        let me = self.holder();
        let table = self.table.borrow();
        let owns = table.keys.values().flat_map(|k| k.owners()).any(|h| me.continues(h));
        let handled = queue.running() == 0 && queue.waiting() == 0;
        handled && !owns && !self.has_unsent_replies()
    }

    /// Whether callers have the answers to all requests that were taken, and no connection takes more.
    fn has_answered_callers(&self) -> bool {
        let finished = self.callers.borrow().values().all(|caller| caller.is_finished());
        self.inflight.get() == 0 && finished
    }
}
