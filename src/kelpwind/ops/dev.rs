//! `kelpwind dev`: both example deployments in one process, with stand-ins for the platform.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use jsonrpsee::rpc_params;
use kelpwind_stand_ins::backend::{Backend, Options};
use kelpwind_stand_ins::log::LogService;
use kelpwind_wire::{CODE_HEADER, OUTCOME_HEADER};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

use super::client::call;
use super::node::stop_signal;
use super::publish;
use crate::core::codes::Code;
use crate::core::ids::Revision;
use crate::net::pool::Pool;
use crate::node::settings::{
    DEFAULT_BODY_LIMIT_BYTES, DEFAULT_SNAPSHOT_AGE, DEFAULT_SNAPSHOT_RECORDS, Settings,
};
use crate::node::view::Status;
use crate::node::{NodeAddrs, start};
use crate::util::error::{Error, Result, format_chain};

/// The example configuration, which the command publishes.
pub const EXAMPLE: &str = include_str!("../../../examples/both.toml");
/// Time within which the example must be served.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks during the start.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One service of the example deployments and its targets.
struct ExampleService {
    name: &'static str,
    targets: usize,
    domains: [&'static str; 3],
    /// Requests that a target runs at once.
    slots: u32,
    /// Connections that a target accepts.
    conns: u32,
    /// How long a request takes.
    service_time: Duration,
}

/// Failure domains of the deployment Keteltoezicht, in the region nl-west.
const NL_WEST: [&str; 3] = ["rdam-a", "dordt-b", "delft-c"];
/// Failure domains of the deployment Ponte, in the region brasil-sul.
const BRASIL_SUL: [&str; 3] = ["zona-um", "zona-dois", "zona-tres"];

const fn keteltoezicht(name: &'static str, targets: usize) -> ExampleService {
    let service_time = Duration::from_millis(4);
    ExampleService { name, targets, domains: NL_WEST, slots: 12, conns: 130, service_time }
}

const fn ponte(name: &'static str, targets: usize) -> ExampleService {
    let service_time = Duration::from_millis(3);
    ExampleService { name, targets, domains: BRASIL_SUL, slots: 6, conns: 60, service_time }
}

const EXAMPLE_SERVICES: [ExampleService; 8] = [
    keteltoezicht("historie", 4),
    keteltoezicht("certificaat", 3),
    keteltoezicht("archief", 4),
    keteltoezicht("planning", 3),
    ponte("mural", 4),
    ponte("inscricoes", 3),
    ponte("painel-coord", 3),
    ponte("contratos", 3),
];

fn local(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Runs the example until SIGTERM or SIGINT, or for `run_time` if given. Progress is reported with
/// `print`.
///
/// # Errors
/// [`Code::NoOwner`] if the example is not served in time; the errors of starting and publishing.
pub async fn dev(run_time: Option<Duration>, print: impl Fn(String)) -> Result<()> {
    let log = LogService::default();
    let started = log.start(local(0)).await;
    let log_addr = started.map_err(|e| {
        Error::new(Code::ListenFailed, "failed to start the log service").caused_by(e)
    })?;
    let (stop, stopped) = watch::channel(false);
    let mut tasks = JoinSet::new();
    let mut nodes = Vec::new();
    for service in &EXAMPLE_SERVICES {
        for i in 0..service.targets {
            nodes.push(start_target(service, i, log_addr, &stopped, &mut tasks).await?);
        }
    }
    print(format!("{} nodes with a backend server each, log service at {log_addr}", nodes.len()));
    let admins: Vec<SocketAddr> = nodes.iter().map(|n| n.admin).collect();
    publish_example(&admins, &print).await?;
    wait_until_served(&admins).await?;
    show_requests(nodes[0].listen, &print).await?;
    print(suggested_commands(&nodes[0]));

    let mut signal = stop_signal()?;
    let limit = run_time.unwrap_or(Duration::MAX);
    let _ = tokio::time::timeout(limit, signal.wait_for(|s| *s)).await;
    print("stopping".to_owned());
    stop.send_replace(true);
    while tasks.join_next().await.is_some() {}
    print("stopped: every node handed its slices over and left".to_owned());
    Ok(())
}

/// Starts the `i`-th target of a service, a node with a backend server, and returns the node's
/// addresses.
async fn start_target(
    service: &ExampleService,
    i: usize,
    log: SocketAddr,
    stop: &watch::Receiver<bool>,
    tasks: &mut JoinSet<()>,
) -> Result<NodeAddrs> {
    let invalid = |e| Error::new(Code::Internal, "invalid node or domain name").caused_by(e);
    let settings = Settings {
        name: format!("{}-{}", service.name, i + 1).parse().map_err(invalid)?,
        domain: service.domains[i % service.domains.len()].parse().map_err(invalid)?,
        listen: local(0),
        peer: local(0),
        admin: local(0),
        advertise: None,
        log,
        seeds: Vec::new(),
        body_limit: DEFAULT_BODY_LIMIT_BYTES,
        snapshot_every: DEFAULT_SNAPSHOT_RECORDS,
        snapshot_age: DEFAULT_SNAPSHOT_AGE,
    };
    let (ready, started) = oneshot::channel();
    let stop = stop.clone();
    tasks.spawn(async move {
        let report_ready = |addrs| {
            let _ = ready.send(addrs);
        };
        let result = start::run(settings, stop, report_ready).await;
        if let Err(e) = result {
            spdlog::error!("{}", format_chain(&e));
        }
    });
    let failed = |e| Error::new(Code::Internal, "failed to start a node").caused_by(e);
    let addrs = started.await.map_err(failed)?;
    let options = Options {
        service: service.name.to_owned(),
        slots: service.slots,
        conns: service.conns,
        service_time: service.service_time,
        fenced: i.is_multiple_of(2),
        warmup: Duration::from_secs(1),
        node: Some(addrs.admin),
    };
    let started = Backend::new(options).start(local(0)).await;
    started.map_err(|e| {
        Error::new(Code::ListenFailed, "failed to start a backend server").caused_by(e)
    })?;
    Ok(addrs)
}

async fn publish_example(admins: &[SocketAddr], print: &impl Fn(String)) -> Result<()> {
    let options = publish::Options {
        nodes: admins.to_vec(),
        base: Revision(0),
        author: "dev".to_owned(),
        allow_dangerous: false,
        dry_run: false,
        wait: None,
    };
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        match publish::publish_text(EXAMPLE.to_owned(), &options).await {
            Ok(output) => {
                let count = output.lines().count() - 1;
                print(format!("published the example configuration: {count} objects"));
                return Ok(());
            }
            Err(e) if Instant::now() > deadline => return Err(e),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Waits until every service has a target and an owner for each of its slices.
async fn wait_until_served(admins: &[SocketAddr]) -> Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let status: Status = call(admins, "status", rpc_params![]).await?;
        let served = |s: &crate::node::view::ServiceRow| s.targets > 0 && s.unassigned == 0;
        if status.services.values().all(served) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let context = format!("the example is not served after {START_TIMEOUT:?}");
    Err(Error::new(Code::NoOwner, context))
}

/// Sends a request of each deployment and prints the responses.
async fn show_requests(entry: SocketAddr, print: &impl Fn(String)) -> Result<()> {
    let pool = Pool::new(None);
    for path in ["/historie/ketel-4711/inspecties", "/contratos/acordo-12"] {
        let failed = |e| Error::new(Code::Internal, "failed to build a request").caused_by(e);
        let request = Request::get(path).body(Bytes::new()).map_err(failed)?;
        let response = pool.call(entry, request, Instant::now() + START_TIMEOUT).await;
        let response = response.map_err(|e| {
            Error::new(Code::ConnectionLost, format!("failed to send GET {path} to {entry}"))
                .caused_by(e)
        })?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("-").to_owned()
        };
        let (outcome, code) = (header(OUTCOME_HEADER), header(CODE_HEADER));
        let body = String::from_utf8_lossy(response.body()).into_owned();
        print(format!("GET http://{entry}{path}\n  {outcome} [{code}] {body}"));
    }
    Ok(())
}

fn suggested_commands(node: &NodeAddrs) -> String {
    format!(
        "try:\n  curl -i http://{}/historie/ketel-4711\n  curl -s http://{}/metrics\n  \
         kelpwind status --node {}\n  kelpwind explain historie ketel-4711 --node {}\n\
         Ctrl-C ends it",
        node.listen, node.admin, node.admin, node.admin
    )
}
