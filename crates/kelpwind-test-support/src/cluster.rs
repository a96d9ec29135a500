//! A deployment of separate processes: a log service, a proxy, nodes and backend servers.
//!
//! Every node has its own loopback address, so that the proxy can identify the sender. Nodes reach
//! one another and the log through links of the proxy named `peer-N` and `log-N`.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use kelpwind_wire::Execution;
use serde_json::{Value, json};

use crate::history::ServerExecution;
use crate::http::{get, post_json};
use crate::process::Process;

/// Maximum time to wait for a condition before the test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of records after which nodes write a snapshot; low, so that short tests reach snapshots.
const SNAPSHOT_RECORDS: &str = "20";

/// Settings of a node and its backend server.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Service whose requests the backend server handles.
    pub service: &'a str,
    /// Failure domain of the node.
    pub domain: &'a str,
    /// Additional command-line flags of the backend server.
    pub flags: &'a [&'a str],
}

impl<'a> Target<'a> {
    /// A target whose backend server has the default settings.
    pub const fn new(service: &'a str, domain: &'a str) -> Target<'a> {
        Target { service, domain, flags: &[] }
    }
}

/// A node and the backend server beside it.
#[derive(Debug)]
pub struct Node {
    /// The node's process.
    pub process: Process,
    /// The backend server's process.
    pub backend: Process,
    /// Address at which callers reach the node.
    pub listen: SocketAddr,
    /// Operators' address of the node.
    pub admin: SocketAddr,
    /// Address at which the backend server handles requests and accepts faults.
    pub server_addr: SocketAddr,
    domain: String,
}

/// A running deployment; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    program: String,
    /// The log service's process.
    pub log: Process,
    /// Address of the log service.
    pub log_addr: SocketAddr,
    /// The proxy's process.
    pub proxy: Process,
    proxy_addr: SocketAddr,
    /// Whether nodes reach one another and the log without the proxy.
    direct: bool,
    /// The nodes; named `n0`, `n1` and so on.
    pub nodes: Vec<Node>,
}

/// Addresses given to a node on its command line.
struct NodeAddrs {
    listen: String,
    admin: String,
    peer: String,
    advertise: String,
    log: String,
}

fn addr(line: &str) -> SocketAddr {
    let text: String = serde_json::from_str(line).expect("an address in JSON");
    text.parse().expect("an address")
}

fn field(value: &Value, name: &str) -> SocketAddr {
    value[name].as_str().and_then(|s| s.parse().ok()).expect("an address in the ready line")
}

impl Cluster {
    /// Starts a log service, a proxy, and a node with a backend server for each target.
    pub async fn start(program: &str, targets: &[Target<'_>]) -> Cluster {
        Cluster::start_with(program, targets, false).await
    }

    /// Like [`Cluster::start`], but without the proxy between nodes, for measurements.
    pub async fn start_direct(program: &str, targets: &[Target<'_>]) -> Cluster {
        Cluster::start_with(program, targets, true).await
    }

    async fn start_with(program: &str, targets: &[Target<'_>], direct: bool) -> Cluster {
        let log = Process::start(program, &["stand-in", "log", "--listen", "127.0.0.1:0"], &[]);
        let proxy = Process::start(program, &["stand-in", "proxy", "--listen", "127.0.0.1:0"], &[]);
        let (log_addr, proxy_addr) = (addr(&log.ready_line), addr(&proxy.ready_line));
        let program = program.to_owned();
        let nodes = Vec::new();
        let mut cluster = Cluster { program, log, log_addr, proxy, proxy_addr, direct, nodes };
        for target in targets {
            cluster.add_target(target).await;
        }
        cluster
    }

    /// Adds a node with its backend server.
    pub async fn add_target(&mut self, target: &Target<'_>) {
        let i = self.nodes.len();
        // The port is chosen before the node starts, because the node advertises the proxy's link
        // to that port.
        let peer = free_addr(i);
        let advertise = self.open_link(&format!("peer-{i}"), peer).await;
        let log = self.open_link(&format!("log-{i}"), self.log_addr).await;
        let any = format!("{}:0", peer.ip());
        let addrs = NodeAddrs {
            listen: any.clone(),
            admin: any,
            peer: peer.to_string(),
            advertise: advertise.to_string(),
            log: log.to_string(),
        };
        let process = self.node_process(i, target.domain, &addrs, &[]);
        let ready: Value = serde_json::from_str(&process.ready_line).expect("a ready line in JSON");
        let (listen, admin) = (field(&ready, "listen"), field(&ready, "admin"));
        let backend = self.backend_process(target, admin);
        let server_addr = addr(&backend.ready_line);
        let domain = target.domain.to_owned();
        self.nodes.push(Node { process, backend, listen, admin, server_addr, domain });
    }

    /// Starts another backend server that announces itself to node `i`, and returns its process
    /// and its address.
    pub fn start_server(&self, i: usize, target: &Target<'_>) -> (Process, SocketAddr) {
        let process = self.backend_process(target, self.nodes[i].admin);
        let server_addr = addr(&process.ready_line);
        (process, server_addr)
    }

    fn node_process(&self, i: usize, domain: &str, addrs: &NodeAddrs, flags: &[&str]) -> Process {
        let name = format!("n{i}");
        let settings = [
            ("--name", name.as_str()),
            ("--domain", domain),
            ("--listen", &addrs.listen),
            ("--peer", &addrs.peer),
            ("--admin", &addrs.admin),
            ("--advertise", &addrs.advertise),
            ("--log", &addrs.log),
            ("--snapshot-every", SNAPSHOT_RECORDS),
        ];
        let mut args = vec!["node"];
        args.extend(settings.iter().flat_map(|(flag, value)| [*flag, *value]));
        args.extend(flags);
        Process::start(&self.program, &args, &[])
    }

    fn backend_process(&self, target: &Target<'_>, node: SocketAddr) -> Process {
        let node = node.to_string();
        let mut args = vec![
            "stand-in",
            "backend",
            "--listen",
            "127.0.0.1:0",
            "--node",
            &node,
            "--service",
            target.service,
        ];
        args.extend(target.flags);
        Process::start(&self.program, &args, &[])
    }

    async fn open_link(&self, name: &str, target: SocketAddr) -> SocketAddr {
        if self.direct {
            return target;
        }
        let link = json!({"name": name, "listen": "127.0.0.1:0", "target": target});
        let response = post_json(self.proxy_addr, "/open", &link).await;
        let response = response.expect("the proxy responds");
        addr(&String::from_utf8_lossy(&response.body))
    }

    /// Replaces the faults of a link of the proxy.
    ///
    /// # Panics
    /// When the proxy has no such link.
    pub async fn set_link_faults(&self, link: &str, faults: Value) {
        let update = json!({"link": link, "faults": faults});
        let response = post_json(self.proxy_addr, "/control", &update).await;
        assert_eq!(response.expect("the proxy responds").status, 200, "no link {link}");
    }

    /// Partitions a node from all others and from the log, or ends the partition.
    pub async fn isolate(&self, i: usize, cut: bool) {
        let both = json!({"cut_forward": cut, "cut_backward": cut});
        self.set_link_faults(&format!("peer-{i}"), both.clone()).await;
        self.set_link_faults(&format!("log-{i}"), both).await;
        let ip = node_ip(i);
        for other in (0..self.nodes.len()).filter(|o| *o != i) {
            let from = json!({"cut_forward": cut, "cut_backward": cut, "only": [ip]});
            self.set_link_faults(&format!("peer-{other}"), from).await;
        }
    }

    /// Replaces the faults of the log service.
    pub async fn set_log_faults(&self, faults: Value) {
        let response = post_json(self.log_addr, "/control", &faults).await;
        assert_eq!(response.expect("the log service responds").status, 200);
    }

    /// Replaces the faults of the backend server beside node `i`.
    pub async fn set_backend_faults(&self, i: usize, faults: Value) {
        let response = post_json(self.nodes[i].server_addr, "/control", &faults).await;
        assert_eq!(response.expect("the backend server responds").status, 200);
    }

    /// All executions on the backend server beside node `i`.
    pub async fn executions(&self, i: usize) -> Vec<Execution> {
        Self::executions_at(self.nodes[i].server_addr).await
    }

    /// All executions on the backend server at `server_addr`.
    pub async fn executions_at(server_addr: SocketAddr) -> Vec<Execution> {
        let response = get(server_addr, "/history").await;
        let history = response.expect("the backend server responds").json();
        serde_json::from_value(history["executions"].clone()).expect("executions")
    }

    /// All executions on all backend servers.
    pub async fn all_executions(&self) -> Vec<ServerExecution> {
        let mut all = Vec::new();
        for i in 0..self.nodes.len() {
            all.extend(self.executions(i).await.into_iter().map(|e| (i, e)));
        }
        all
    }

    /// The status of the deployment as node `i` sees it; null if the node does not respond.
    pub async fn status(&self, i: usize) -> Value {
        let status = get(self.nodes[i].admin, "/status").await;
        status.map_or(Value::Null, |a| a.json())
    }

    /// The dump of node `i`; null if the node does not respond.
    pub async fn dump(&self, i: usize) -> Value {
        get(self.nodes[i].admin, "/dump").await.map_or(Value::Null, |a| a.json())
    }

    /// Runs an operator's command against node `i`; returns its exit code, standard output and
    /// standard error.
    pub fn command(&self, i: usize, args: &[&str]) -> (i32, String, String) {
        let node = self.nodes[i].admin.to_string();
        command(&self.program, args, &[("KELPWIND_NODE", &node)])
    }

    /// Publishes a configuration at node `i`, and retries until the node accepts it.
    ///
    /// # Panics
    /// When the command still fails after [`WAIT_TIMEOUT`].
    pub async fn publish(&self, i: usize, path: &Path, base: u64) {
        let path = path.to_str().expect("a path in UTF-8").to_owned();
        let base = base.to_string();
        let args = ["config", "publish", &path, "--base", &base, "--wait", "10"];
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let (code, _, errors) = self.command(i, &args);
            if code == 0 {
                return;
            }
            assert!(Instant::now() < deadline, "failed to publish the configuration: {errors}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until node `i` sees `members` members, targets of every service, and no slice without
    /// an owner.
    pub async fn wait_until_ready(&self, i: usize, members: usize) {
        self.wait_until("the deployment is ready", async || {
            let status = self.status(i).await;
            let joined = status["members"].as_array().map_or(0, Vec::len) == members;
            let services = status["services"].as_object().cloned().unwrap_or_default();
            let served = |s: &Value| s["free"] == 0 && s["targets"].as_u64() > Some(0);
            joined && !services.is_empty() && services.values().all(served)
        })
        .await;
    }

    /// Waits until node `i` sees exactly `count` targets of a service.
    pub async fn wait_for_targets(&self, i: usize, service: &str, count: usize) {
        self.wait_until("the targets are ready", async || {
            self.status(i).await["services"][service]["targets"] == count
        })
        .await;
    }

    /// Number of slices that node `owner` owns, as node `i` sees it.
    pub async fn owned_slices(&self, i: usize, owner: usize) -> u64 {
        let status = self.status(i).await;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let of_owner = members
            .iter()
            .filter(|m| m["holder"].as_str().is_some_and(|h| h.starts_with(&format!("n{owner}/"))));
        of_owner.filter_map(|m| m["slices"].as_u64()).sum()
    }

    /// Waits until `condition` holds; `what` describes it in the panic message.
    ///
    /// # Panics
    /// When the condition does not hold within [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition().await {
            assert!(Instant::now() < deadline, "not reached within {WAIT_TIMEOUT:?}: {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Index of the node that owns a key, as node `i` sees it.
    pub async fn owner(&self, i: usize, service: &str, key: &str) -> Option<usize> {
        let (_, out, _) = self.command(i, &["explain", service, key, "--format", "json"]);
        let found: Value = serde_json::from_str(&out).ok()?;
        let holder = found["place"]["slot"]["holder"].as_str()?;
        holder.split('/').next()?.strip_prefix('n')?.parse().ok()
    }

    /// Address that node `i` advertises to other nodes.
    pub fn advertised_addr(&self, i: usize) -> String {
        let ready: Value = serde_json::from_str(&self.nodes[i].process.ready_line).expect("JSON");
        field(&ready, "advertise").to_string()
    }

    /// A key of a service that node `owner` owns, as node `i` sees it.
    ///
    /// # Panics
    /// When the node owns none of the keys `ketel-0` to `ketel-199`.
    pub async fn key_owned_by(&self, i: usize, service: &str, owner: usize) -> String {
        for key in 0..200 {
            let key = format!("ketel-{key}");
            if self.owner(i, service, &key).await == Some(owner) {
                return key;
            }
        }
        panic!("node {owner} owns none of the first 200 keys of {service}");
    }

    /// Restarts a node that was killed or has stopped, at its previous addresses.
    pub async fn restart(&mut self, i: usize) {
        self.restart_with(i, &[]).await;
    }

    /// Like [`Cluster::restart`], with additional command-line flags.
    pub async fn restart_with(&mut self, i: usize, flags: &[&str]) {
        self.restart_behind(i, flags, json!({})).await;
    }

    /// Like [`Cluster::restart_with`], with faults of the link to the log from the start.
    pub async fn restart_behind(&mut self, i: usize, flags: &[&str], faults: Value) {
        let old: Value = serde_json::from_str(&self.nodes[i].process.ready_line).expect("JSON");
        let text = |name| field(&old, name).to_string();
        let link = format!("log-{i}");
        let log = self.open_link(&link, self.log_addr).await;
        if !self.direct {
            self.set_link_faults(&link, faults).await;
        }
        let addrs = NodeAddrs {
            listen: text("listen"),
            admin: text("admin"),
            peer: text("peer"),
            advertise: text("advertise"),
            log: log.to_string(),
        };
        let domain = self.nodes[i].domain.clone();
        self.nodes[i].process = self.node_process(i, &domain, &addrs, flags);
    }
}

/// Runs a command to completion; returns its exit code, standard output and standard error.
pub fn command(program: &str, args: &[&str], env: &[(&str, &str)]) -> (i32, String, String) {
    let output = Command::new(program).args(args).envs(env.iter().copied()).output();
    let output = output.expect("the program can be started");
    let text = |raw: &[u8]| String::from_utf8_lossy(raw).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

/// The loopback address of node `i`.
pub fn node_ip(i: usize) -> String {
    format!("127.0.1.{}", i + 1)
}

/// An address of node `i` with a port that is free for both TCP and UDP.
fn free_addr(i: usize) -> SocketAddr {
    let any = format!("{}:0", node_ip(i));
    loop {
        let tcp = std::net::TcpListener::bind(&any).expect("a free port");
        let addr = tcp.local_addr().expect("a bound address");
        if std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
