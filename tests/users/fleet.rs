//! A deployment of the users: a store, machines with a node and a backend server each, and callers.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use kelpwind_stand_ins::proxy::{Faults, Link, LinkFaults, Proxy};
use kelpwind_test_support::process::Process;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use super::server::{History, Manner, Server};
use super::store::Store;

/// Longest time until a deployment serves.
const START_TIME: Duration = Duration::from_secs(20);
/// Limit that callers grant.
const CALL_LIMIT: Duration = Duration::from_millis(2500);

static FLEETS: AtomicU8 = AtomicU8::new(0);

/// What became of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The request.
    pub id: String,
    /// Status; 0 when the connection broke.
    pub status: u16,
    /// Seconds after which to come back.
    pub retry: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether the request may run only once.
    pub once: bool,
}

/// A machine.
pub struct Machine {
    /// Its address; loopback has many.
    pub ip: Ipv4Addr,
    manner: Manner,
    boot: PathBuf,
    log: PathBuf,
    /// Its node; `None` while it is down.
    pub node: Option<Process>,
    /// Its server; `None` while it is down.
    pub server: Option<Arc<Server>>,
}

/// A deployment.
pub struct Fleet {
    /// The store.
    pub store: Arc<Store>,
    /// The machines.
    pub machines: Vec<Machine>,
    /// What the servers wrote down.
    pub history: Arc<History>,
    /// What callers were told.
    pub told: Arc<Mutex<Vec<Told>>>,
    proxy: Proxy,
    folder: PathBuf,
    version: u32,
}

impl Fleet {
    /// Starts machines of these services, the first of which divides its keys, and waits until they
    /// serve. The proxy stands between the machines and the store.
    pub async fn start(services: &[(&str, u32)], work: Duration) -> Fleet {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let block = 1 + (std::process::id() % 250) as u8;
        let ip = |host: u8| Ipv4Addr::new(127, block, number, host);
        let folder = std::env::temp_dir().join(format!("kelpwind-users-{block}-{number}"));
        std::fs::create_dir_all(&folder).expect("a folder for settings can be made");
        let store = Store::start(SocketAddr::new(ip(250).into(), 8309)).await;
        let proxy = Proxy::default();
        let mut fleet = Fleet {
            store,
            machines: Vec::new(),
            history: Arc::default(),
            told: Arc::default(),
            proxy,
            folder,
            version: 1,
        };
        fleet.publish(services, "");
        let all = services.iter().flat_map(|(name, count)| (0..*count).map(move |_| *name));
        for (i, service) in all.enumerate() {
            let manner = Manner {
                service: service.to_owned(),
                zone: format!("zone-{}", i % 3),
                slots: 6,
                work,
                keyed: service == services[0].0,
                unannounced: Duration::ZERO,
            };
            fleet.add(ip(1 + i as u8), ip(250), manner).await;
        }
        fleet.wait_until_served(services).await;
        fleet
    }

    async fn add(&mut self, ip: Ipv4Addr, store: Ipv4Addr, manner: Manner) {
        let link = Link {
            name: ip.to_string(),
            listen: SocketAddr::new(ip.into(), 8400),
            target: SocketAddr::new(store.into(), 8309),
        };
        self.proxy.open(link).await.expect("the proxy can listen");
        let boot = self.folder.join(format!("{ip}.conf"));
        std::fs::write(&boot, settings(ip, &manner)).expect("settings can be written");
        let log = self.folder.join(format!("side-{}.{ip}.log", ip.octets()[3]));
        let machine = Machine { ip, manner, boot, log, node: None, server: None };
        self.machines.push(machine);
        let last = self.machines.len() - 1;
        self.start_node(last);
        self.start_server(last).await;
    }

    /// Publishes the routes; `extra` is one more row, or empty.
    pub fn publish(&mut self, services: &[(&str, u32)], extra: &str) {
        let routes = services.iter().map(|(name, _)| {
            format!(
                r#"["get-{name}","{name}.example","/get/","safe",2.5,1.0,2,2,"{name}"],
                ["put-{name}","{name}.example","/put/","unsafe",2.5,1.0,1,2,"{name}"]"#
            )
        });
        let routes: Vec<String> = routes.chain((!extra.is_empty()).then(|| extra.into())).collect();
        let first = services[0].0;
        let rows = services
            .iter()
            .map(|(name, _)| format!(r#"["{name}","/healthz",130,3.0,50.0,{}]"#, *name == first));
        let rows: Vec<String> = rows.collect();
        let config = format!(
            r#"{{"version":{},"routes":{{"columns":["name","host","path-prefix","kind","timeout-s",
            "aim-s","priority","attempts","service"],"rows":[{}]}},"services":{{"columns":["name",
            "health-path","max-connections","cold-start-s","cold-per-s","sharded"],"rows":[{}]}}}}"#,
            self.version,
            routes.join(","),
            rows.join(",")
        );
        self.version += 3;
        self.store.publish("config", &config);
    }

    /// Starts the node of a machine.
    pub fn start_node(&mut self, machine: usize) {
        let machine = &mut self.machines[machine];
        let log = std::fs::File::options().create(true).append(true).open(&machine.log);
        let log = Stdio::from(log.expect("a log can be opened"));
        machine.node = Some(spawn(machine, log));
    }

    /// Starts the node of a machine anew, with a standard output that nobody reads.
    pub fn start_node_unread(&mut self, machine: usize) {
        let machine = &mut self.machines[machine];
        machine.node = None;
        machine.node = Some(spawn(machine, Stdio::piped()));
    }

    /// What `kelpwind explain-request` tells of a request from the logs of all nodes; `None` when none
    /// names it.
    pub fn explain(&self, request: &str) -> Option<String> {
        let logs = self.machines.iter().map(|m| m.log.as_os_str());
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_kelpwind"));
        let output = command.arg("explain-request").arg(request).args(logs).output();
        let output = output.expect("the program can be started");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success() || error.contains("[404]"), "{error}");
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Starts the server of a machine.
    pub async fn start_server(&mut self, machine: usize) {
        self.start_server_unannounced(machine, Duration::ZERO).await;
    }

    /// Starts the server of a machine, which makes its first report after some time.
    pub async fn start_server_unannounced(&mut self, machine: usize, unannounced: Duration) {
        let machine = &mut self.machines[machine];
        let addr = |port| SocketAddr::new(machine.ip.into(), port);
        let history = self.history.clone();
        let manner = Manner { unannounced, ..machine.manner.clone() };
        let server = Server::start(addr(8301), addr(8306), manner, history).await;
        machine.server = Some(server);
    }

    /// Sets the faults between a machine and the store.
    pub fn set_faults(&self, machine: usize, faults: Faults) {
        let link = self.machines[machine].ip.to_string();
        assert!(self.proxy.set_faults(LinkFaults { link, faults }), "the link is open");
    }

    async fn wait_until_served(&self, services: &[(&str, u32)]) {
        let until = Instant::now() + START_TIME;
        for (service, _) in services {
            for machine in 0..self.machines.len() {
                for key in [0, 20_000, 40_000, 65_535] {
                    while self.call(machine, service, key, false).await.status != 200 {
                        assert!(Instant::now() < until, "{service} is not served in time");
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
            }
        }
        self.told.lock().clear();
        self.history.runs.lock().clear();
    }

    /// Makes one request from a machine.
    pub async fn call(&self, machine: usize, service: &str, key: u16, once: bool) -> Told {
        let told = call(self.machines[machine].ip, service, key, once).await;
        self.told.lock().push(told.clone());
        told
    }

    /// Makes one request from a machine as a task of its own.
    pub fn detached_call(
        &self,
        machine: usize,
        service: &str,
        key: u16,
        once: bool,
    ) -> tokio::task::JoinHandle<Told> {
        let (ip, service) = (self.machines[machine].ip, service.to_owned());
        tokio::spawn(async move { call(ip, &service, key, once).await })
    }

    /// Starts callers on all machines that go on until the returned guard is dropped; each waits
    /// `gap` after an answer.
    pub fn callers(&self, services: &[&str], gap: Duration) -> Vec<tokio::task::JoinHandle<()>> {
        let mut tasks = Vec::new();
        for machine in &self.machines {
            for service in services {
                let (ip, service, told) = (machine.ip, (*service).to_owned(), self.told.clone());
                tasks.push(tokio::spawn(async move {
                    loop {
                        let once = fastrand::bool();
                        let answer = call(ip, &service, fastrand::u16(..), once).await;
                        told.lock().push(answer);
                        tokio::time::sleep(gap).await;
                    }
                }));
            }
        }
        tasks
    }

    /// All broken promises that the servers' and the callers' notes show.
    pub fn check(&self) -> Vec<String> {
        let mut broken = self.check_owners();
        let runs = self.history.runs.lock();
        let mut counts: HashMap<&str, u32> = HashMap::new();
        for run in runs.iter() {
            *counts.entry(run.id.as_str()).or_default() += 1;
        }
        for told in self.told.lock().iter() {
            let count = counts.get(told.id.as_str()).copied().unwrap_or(0);
            if told.once && count > 1 {
                broken.push(format!("{} ran {count} times", told.id));
            }
            if told.once && told.status == 503 && count > 0 {
                broken.push(format!("{} was said not to have run, and ran", told.id));
            }
            if told.status == 200 && told.body != format!("done {}", told.id) {
                broken.push(format!("{} got an answer that is not its own", told.id));
            }
        }
        broken
    }

    fn check_owners(&self) -> Vec<String> {
        let held = self.history.held.lock();
        let mut broken = Vec::new();
        for (i, a) in held.iter().enumerate() {
            for b in held.iter().skip(i + 1).filter(|b| b.server != a.server) {
                if a.keys.0 > b.keys.1 || b.keys.0 > a.keys.1 {
                    continue;
                }
                if a.from < b.to && b.from < a.to {
                    broken.push(format!("two servers held keys at once: {a:?} and {b:?}"));
                }
                let (first, second) = if a.from < b.from { (a, b) } else { (b, a) };
                if second.token <= first.token {
                    broken.push(format!("a token did not rise: {first:?} and {second:?}"));
                }
            }
        }
        broken
    }

    /// How many requests got which status.
    pub fn statuses(&self) -> BTreeMap<u16, u32> {
        let mut counts = BTreeMap::new();
        for told in self.told.lock().iter() {
            *counts.entry(told.status).or_default() += 1;
        }
        counts
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.node = None;
            if let Some(server) = machine.server.take() {
                server.crash();
            }
        }
        if std::env::var_os("KELPWIND_KEEP_LOGS").is_some() {
            eprintln!("logs: {}", self.folder.display());
            return;
        }
        // What is left of the folder does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn spawn(machine: &Machine, output: Stdio) -> Process {
    let boot = machine.boot.to_str().expect("a text path");
    let env = [("KELPWIND_BOOT", boot), ("KELPWIND_LOG_LEVEL", "debug")];
    Process::spawn(env!("CARGO_BIN_EXE_kelpwind"), &["node"], &env, output)
}

fn settings(ip: Ipv4Addr, manner: &Manner) -> String {
    let Manner { service, zone, .. } = manner;
    format!(
        "self.node-name=side-{}\nself.ip={ip}\nself.zone={zone}\nself.service={service}\n\
         self.app-addr={ip}:8301\nself.bootstrap=true\nnetwork.listen.outbound={ip}:8304\n\
         network.listen.ready-address={ip}:8302\nnetwork.listen.control={ip}:8306\n\
         network.port-range=7620,7635\nnetwork.zones.{zone}=west\n\
         platform.platform.address={ip}:8400\nterms.bounds.grace-s=6\n\
         terms.bounds.hold-max-s=10\nterms.bounds.budget-window-s=10\n\
         terms.bounds.retry-budget-ratio=0.2\nterms.bounds.retry-budget-slack=64\n",
        ip.octets()[3]
    )
}

async fn call(ip: Ipv4Addr, service: &str, key: u16, once: bool) -> Told {
    let id = format!("{:016x}", fastrand::u64(..));
    let mut told = Told { id, status: 0, retry: None, body: Bytes::new(), once };
    let exchange = tokio::time::timeout(CALL_LIMIT, exchange(ip, service, key, &told));
    if let Ok(Some((status, retry, body))) = exchange.await {
        (told.status, told.retry, told.body) = (status, retry, body);
    }
    told
}

async fn exchange(
    ip: Ipv4Addr,
    service: &str,
    key: u16,
    told: &Told,
) -> Option<(u16, Option<String>, Bytes)> {
    let stream = TcpStream::connect((ip, 8304)).await.ok()?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(connection);
    let (method, path) = if told.once { ("POST", "/put/x") } else { ("GET", "/get/x") };
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", format!("{service}.example"))
        .header("x-request-id", &told.id)
        .header("x-shard-key", key)
        .header("x-deadline-ms", CALL_LIMIT.as_millis() as u64)
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let retry = answer.headers().get("retry-after").and_then(|v| v.to_str().ok());
    let retry = retry.map(str::to_owned);
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    Some((status, retry, body))
}
