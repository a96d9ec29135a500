//! `kelpwind dev`: both of the brief's deployments in one process, with stand-ins for the platform.

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
use crate::node::settings::{BODY_LIMIT, SNAPSHOT_AGE, SNAPSHOT_EVERY, Settings};
use crate::node::view::Status;
use crate::node::{Addrs, start};
use crate::util::error::{Error, Result, chain};

/// The example configuration that is published.
pub const EXAMPLE: &str = include_str!("../../../examples/both.toml");
/// Longest time to wait until the example is served.
const START_TIME: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// One service of the example: its name, targets, failure domains, slots, connections and the time
/// that a request takes.
struct Deployed {
    service: &'static str,
    targets: usize,
    domains: [&'static str; 3],
    slots: u32,
    conns: u32,
    work: Duration,
}

const NL_WEST: [&str; 3] = ["rdam-a", "dordt-b", "delft-c"];
const BRASIL_SUL: [&str; 3] = ["zona-um", "zona-dois", "zona-tres"];

const fn keteltoezicht(service: &'static str, targets: usize) -> Deployed {
    let work = Duration::from_millis(4);
    Deployed { service, targets, domains: NL_WEST, slots: 12, conns: 130, work }
}

const fn ponte(service: &'static str, targets: usize) -> Deployed {
    let work = Duration::from_millis(3);
    Deployed { service, targets, domains: BRASIL_SUL, slots: 6, conns: 60, work }
}

const DEPLOYED: [Deployed; 8] = [
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

/// Runs the example until Ctrl-C, or for the time given; `say` prints.
///
/// # Errors
/// [`Code::NoOwner`] when the example is not served in time.
pub async fn dev(time: Option<Duration>, say: impl Fn(String)) -> Result<()> {
    let log = LogService::default();
    let started = log.start(local(0)).await;
    let log_addr = started.map_err(|e| {
        Error::new(Code::ListenFailed, "failed to start the log service").caused_by(e)
    })?;
    let (stop, stopped) = watch::channel(false);
    let mut tasks = JoinSet::new();
    let mut nodes = Vec::new();
    for deployed in &DEPLOYED {
        for i in 0..deployed.targets {
            nodes.push(start_target(deployed, i, log_addr, &stopped, &mut tasks).await?);
        }
    }
    say(format!("{} nodes with a backend server each, log service at {log_addr}", nodes.len()));
    let admins: Vec<SocketAddr> = nodes.iter().map(|n| n.admin).collect();
    publish_example(&admins, &say).await?;
    wait_until_served(&admins).await?;
    show_requests(nodes[0].listen, &say).await?;
    say(urls(&nodes[0]));

    let mut signal = stop_signal()?;
    let limit = time.unwrap_or(Duration::MAX);
    let _ = tokio::time::timeout(limit, signal.wait_for(|s| *s)).await;
    say("stopping".to_owned());
    stop.send_replace(true);
    while tasks.join_next().await.is_some() {}
    say("stopped: every node handed its slices over and left".to_owned());
    Ok(())
}

async fn start_target(
    deployed: &Deployed,
    i: usize,
    log: SocketAddr,
    stop: &watch::Receiver<bool>,
    tasks: &mut JoinSet<()>,
) -> Result<Addrs> {
    let bad = |e| Error::new(Code::Internal, "failed to name a node").caused_by(e);
    let settings = Settings {
        name: format!("{}-{}", deployed.service, i + 1).parse().map_err(bad)?,
        domain: deployed.domains[i % deployed.domains.len()].parse().map_err(bad)?,
        listen: local(0),
        peer: local(0),
        admin: local(0),
        advertise: None,
        log,
        seeds: Vec::new(),
        body_limit: BODY_LIMIT,
        snapshot_every: SNAPSHOT_EVERY,
        snapshot_age: SNAPSHOT_AGE,
    };
    let (ready, told) = oneshot::channel();
    let stop = stop.clone();
    tasks.spawn(async move {
        let tell = |addrs| {
            let _ = ready.send(addrs);
        };
        let ran = start::run(settings, stop, tell).await;
        if let Err(e) = ran {
            spdlog::error!("{}", chain(&e));
        }
    });
    let lost = |e| Error::new(Code::Internal, "failed to start a node").caused_by(e);
    let addrs = told.await.map_err(lost)?;
    let options = Options {
        service: deployed.service.to_owned(),
        slots: deployed.slots,
        conns: deployed.conns,
        service_time: deployed.work,
        fenced: i.is_multiple_of(2),
        warmup: Duration::from_secs(1),
        node: Some(addrs.admin),
    };
    let started = Backend::new(options).start(local(0)).await;
    started
        .map_err(|e| Error::new(Code::ListenFailed, "failed to start a backend").caused_by(e))?;
    Ok(addrs)
}

async fn publish_example(admins: &[SocketAddr], say: &impl Fn(String)) -> Result<()> {
    let options = publish::Options {
        nodes: admins.to_vec(),
        base: Revision(0),
        author: "dev".to_owned(),
        dangerous: false,
        dry: false,
        wait: None,
    };
    let until = Instant::now() + START_TIME;
    loop {
        match publish::publish_text(EXAMPLE.to_owned(), &options).await {
            Ok(said) => {
                let count = said.lines().count() - 1;
                say(format!("published the example configuration: {count} objects"));
                return Ok(());
            }
            Err(e) if Instant::now() > until => return Err(e),
            Err(_) => tokio::time::sleep(LOOK_INTERVAL).await,
        }
    }
}

async fn wait_until_served(admins: &[SocketAddr]) -> Result<()> {
    let until = Instant::now() + START_TIME;
    while Instant::now() < until {
        let status: Status = call(admins, "status", rpc_params![]).await?;
        let served = |s: &crate::node::view::ServiceRow| s.targets > 0 && s.free == 0;
        if status.services.values().all(served) {
            return Ok(());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Err(Error::new(Code::NoOwner, "failed to start: the example is not served in time"))
}

async fn show_requests(entry: SocketAddr, say: &impl Fn(String)) -> Result<()> {
    let pool = Pool::new(None);
    for path in ["/historie/ketel-4711/inspecties", "/contratos/acordo-12"] {
        let failed = |e| Error::new(Code::Internal, "failed to form a request").caused_by(e);
        let request = Request::get(path).body(Bytes::new()).map_err(failed)?;
        let answer = pool.call(entry, request, Instant::now() + START_TIME).await;
        let lost = |e| Error::new(Code::ConnectionLost, "failed to serve the example").caused_by(e);
        let answer = answer.map_err(lost)?;
        let header = |name: &str| {
            let value = answer.headers().get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("-").to_owned()
        };
        let (outcome, code) = (header(OUTCOME_HEADER), header(CODE_HEADER));
        let body = String::from_utf8_lossy(answer.body()).into_owned();
        say(format!("GET http://{entry}{path}\n  {outcome} [{code}] {body}"));
    }
    Ok(())
}

fn urls(node: &Addrs) -> String {
    format!(
        "try:\n  curl -i http://{}/historie/ketel-4711\n  curl -s http://{}/metrics\n  \
         kelpwind status --node {}\n  kelpwind explain historie ketel-4711 --node {}\n\
         Ctrl-C ends it",
        node.listen, node.admin, node.admin, node.admin
    )
}
