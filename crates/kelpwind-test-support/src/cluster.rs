//! A deployment of separate processes: a log service, a proxy, nodes and backend servers.
//!
//! Every node has a loopback address of its own, so that the proxy can tell who sends. Nodes reach
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

/// Longest time to wait for something that must come.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Records after which the nodes of tests write a snapshot.
const SNAPSHOT_RECORDS: &str = "20";

/// What a node and its backend server are.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// More flags of the backend server.
    pub flags: &'a [&'a str],
}

impl<'a> Target<'a> {
    /// A target with a backend server as it is by default.
    pub const fn new(service: &'a str, domain: &'a str) -> Target<'a> {
        Target { service, domain, flags: &[] }
    }
}

/// A node with the backend server beside it.
#[derive(Debug)]
pub struct Node {
    /// The node's process.
    pub process: Process,
    /// The backend server's process.
    pub backend: Process,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address of the backend server.
    pub server: SocketAddr,
    domain: String,
}

/// A deployment.
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
    /// Whether nodes reach one another without the proxy.
    direct: bool,
    /// The nodes.
    pub nodes: Vec<Node>,
}

/// Where a node listens and whom it reaches.
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

    /// The same without the proxy between nodes, for measurements.
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
        // The node's port is chosen before it starts, so that its link can be opened first.
        let peer = free_port(i);
        let link = self.open_link(&format!("peer-{i}"), peer).await;
        let log = self.open_link(&format!("log-{i}"), self.log_addr).await;
        let any = format!("{}:0", peer.ip());
        let at = NodeAddrs {
            listen: any.clone(),
            admin: any,
            peer: peer.to_string(),
            advertise: link.to_string(),
            log: log.to_string(),
        };
        let process = self.node_process(i, target.domain, &at, &[]);
        let ready: Value = serde_json::from_str(&process.ready_line).expect("a ready line in JSON");
        let (listen, admin) = (field(&ready, "listen"), field(&ready, "admin"));
        let backend = self.backend_process(target, admin);
        let server = addr(&backend.ready_line);
        let domain = target.domain.to_owned();
        self.nodes.push(Node { process, backend, listen, admin, server, domain });
    }

    fn node_process(&self, i: usize, domain: &str, at: &NodeAddrs, more: &[&str]) -> Process {
        let name = format!("n{i}");
        let flags = [
            ("--name", name.as_str()),
            ("--domain", domain),
            ("--listen", &at.listen),
            ("--peer", &at.peer),
            ("--admin", &at.admin),
            ("--advertise", &at.advertise),
            ("--log", &at.log),
            ("--snapshot-every", SNAPSHOT_RECORDS),
        ];
        let mut args = vec!["node"];
        args.extend(flags.iter().flat_map(|(flag, value)| [*flag, *value]));
        args.extend(more);
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
        let answer = post_json(self.proxy_addr, "/open", &link).await.expect("the proxy answers");
        addr(&String::from_utf8_lossy(&answer.body))
    }

    /// Sets the faults of a link of the proxy.
    pub async fn set_link_faults(&self, link: &str, faults: Value) {
        let control_of = json!({"link": link, "faults": faults});
        let answer = post_json(self.proxy_addr, "/control", &control_of).await;
        assert_eq!(answer.expect("the proxy answers").status, 200, "link {link} exists");
    }

    /// Cuts a node off from all others and from the log, or joins it again.
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

    /// Sets the faults of the log service.
    pub async fn set_log_faults(&self, faults: Value) {
        let answer = post_json(self.log_addr, "/control", &faults).await;
        assert_eq!(answer.expect("the log service answers").status, 200);
    }

    /// Sets the faults of a backend server.
    pub async fn set_backend_faults(&self, i: usize, faults: Value) {
        let answer = post_json(self.nodes[i].server, "/control", &faults).await;
        assert_eq!(answer.expect("the backend server answers").status, 200);
    }

    /// Everything that a backend server ran.
    pub async fn executions(&self, i: usize) -> Vec<Execution> {
        let answer = get(self.nodes[i].server, "/history").await.expect("the backend answers");
        let history = answer.json();
        serde_json::from_value(history["executions"].clone()).expect("executions")
    }

    /// Everything that all backend servers ran.
    pub async fn all_executions(&self) -> Vec<ServerExecution> {
        let mut all = Vec::new();
        for i in 0..self.nodes.len() {
            all.extend(self.executions(i).await.into_iter().map(|e| (i, e)));
        }
        all
    }

    /// The status as node `i` has it.
    pub async fn status(&self, i: usize) -> Value {
        let status = get(self.nodes[i].admin, "/status").await;
        status.map_or(Value::Null, |a| a.json())
    }

    /// The dump of node `i`.
    pub async fn dump(&self, i: usize) -> Value {
        get(self.nodes[i].admin, "/dump").await.map_or(Value::Null, |a| a.json())
    }

    /// Runs an operator's command; its exit code, output and errors.
    pub fn command(&self, i: usize, args: &[&str]) -> (i32, String, String) {
        let node = self.nodes[i].admin.to_string();
        command(&self.program, args, &[("KELPWIND_NODE", &node)])
    }

    /// Publishes a configuration at node `i`, however long the node takes to be ready.
    pub async fn publish(&self, i: usize, path: &Path, base: u64) {
        let path = path.to_str().expect("a path in UTF-8").to_owned();
        let base = base.to_string();
        let args = ["config", "publish", &path, "--base", &base, "--wait", "10"];
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let (code, _, errors) = self.command(i, &args);
            if code == 0 {
                return;
            }
            assert!(Instant::now() < until, "publishing fails: {errors}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until every service has targets, `members` nodes have joined, and no slice is free.
    pub async fn wait_until_ready(&self, i: usize, members: usize) {
        self.wait_until("the deployment settles", async || {
            let status = self.status(i).await;
            let joined = status["members"].as_array().map_or(0, Vec::len) == members;
            let services = status["services"].as_object().cloned().unwrap_or_default();
            let served = |s: &Value| s["free"] == 0 && s["targets"].as_u64() > Some(0);
            joined && !services.is_empty() && services.values().all(served)
        })
        .await;
    }

    /// Waits until a service has so many targets, as node `i` has it.
    pub async fn wait_for_targets(&self, i: usize, service: &str, count: usize) {
        self.wait_until("the targets are ready", async || {
            self.status(i).await["services"][service]["targets"] == count
        })
        .await;
    }

    /// Number of slices that node `owner` owns, as node `i` has it.
    pub async fn owned_slices(&self, i: usize, owner: usize) -> u64 {
        let status = self.status(i).await;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let of_owner = members
            .iter()
            .filter(|m| m["holder"].as_str().is_some_and(|h| h.starts_with(&format!("n{owner}/"))));
        of_owner.filter_map(|m| m["slices"].as_u64()).sum()
    }

    /// Waits until something is so.
    ///
    /// # Panics
    /// When it is not after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, is_so: impl AsyncFn() -> bool) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !is_so().await {
            assert!(Instant::now() < until, "waited in vain: {what}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The node that owns a key, as node `i` has it.
    pub async fn owner(&self, i: usize, service: &str, key: &str) -> Option<usize> {
        let (_, out, _) = self.command(i, &["explain", service, key, "--format", "json"]);
        let found: Value = serde_json::from_str(&out).ok()?;
        let holder = found["place"]["slot"]["holder"].as_str()?;
        holder.split('/').next()?.strip_prefix('n')?.parse().ok()
    }

    /// The address by which other nodes know node `i`.
    pub fn advertised_addr(&self, i: usize) -> String {
        let ready: Value = serde_json::from_str(&self.nodes[i].process.ready_line).expect("JSON");
        field(&ready, "advertise").to_string()
    }

    /// A key of a service that node `owner` owns, as node `i` has it.
    ///
    /// # Panics
    /// When it owns none of the first 200 keys.
    pub async fn key_owned_by(&self, i: usize, service: &str, owner: usize) -> String {
        for key in 0..200 {
            let key = format!("ketel-{key}");
            if self.owner(i, service, &key).await == Some(owner) {
                return key;
            }
        }
        panic!("node {owner} owns no key");
    }

    /// Starts a node anew at its old addresses, after it was killed or has stopped.
    pub async fn restart(&mut self, i: usize) {
        self.restart_with(i, &[]).await;
    }

    /// Starts a node anew with more flags.
    pub async fn restart_with(&mut self, i: usize, more: &[&str]) {
        let old: Value = serde_json::from_str(&self.nodes[i].process.ready_line).expect("JSON");
        let text = |name| field(&old, name).to_string();
        let log = self.open_link(&format!("log-{i}"), self.log_addr).await;
        let at = NodeAddrs {
            listen: text("listen"),
            admin: text("admin"),
            peer: text("peer"),
            advertise: text("advertise"),
            log: log.to_string(),
        };
        let domain = self.nodes[i].domain.clone();
        self.nodes[i].process = self.node_process(i, &domain, &at, more);
    }
}

/// Runs a command to its end; its exit code, output and errors.
pub fn command(program: &str, args: &[&str], env: &[(&str, &str)]) -> (i32, String, String) {
    let done = Command::new(program).args(args).envs(env.iter().copied()).output();
    let done = done.expect("the program can be started");
    let text = |raw: &[u8]| String::from_utf8_lossy(raw).into_owned();
    (done.status.code().unwrap_or(-1), text(&done.stdout), text(&done.stderr))
}

/// The loopback address of node `i`.
pub fn node_ip(i: usize) -> String {
    format!("127.0.1.{}", i + 1)
}

/// An address of node `i` with a port that is free for TCP and UDP.
fn free_port(i: usize) -> SocketAddr {
    let any = format!("{}:0", node_ip(i));
    loop {
        let tcp = std::net::TcpListener::bind(&any).expect("a free port");
        let addr = tcp.local_addr().expect("a bound address");
        if std::net::UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}
