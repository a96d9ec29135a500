//! A small deployment: a store, and nodes as processes of their own beside servers.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;
use crate::server::{Server, Setup};
use crate::store::Store;

const APP: u16 = 8301;
const READY: u16 = 8302;
const OUTBOUND: u16 = 8304;
const CONTROL: u16 = 8306;
const STORE: u16 = 8309;
/// Most hosts of a deployment.
const HOSTS_MAX: u8 = 40;

/// Nodes that were started, for [`end_after`].
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this process and the nodes after a time, should the case take longer.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for pid in STARTED.lock().unwrap().iter() {
            let program = fs::read_link(format!("/proc/{pid}/exe")).unwrap_or_default();
            if program.ends_with("target/release/kelpwind") {
                let _ = Command::new("sh").args(["-c", &format!("kill -9 {pid}")]).status();
            }
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// A node and what it stands beside.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub service: String,
    pub zone: String,
    pub server: Option<Arc<Server>>,
    pub node: Option<Child>,
}

impl Host {
    pub fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.addr(OUTBOUND)
    }

    pub fn pid(&self) -> u32 {
        self.node.as_ref().map_or(0, Child::id)
    }
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
    /// Second and third byte of the addresses.
    net: (u8, u8),
    store_addr: SocketAddr,
    /// More lines for the settings of each node.
    settings: String,
    bootstrap: bool,
    /// Whether the nodes' output goes to pipes, which the scenario reads, instead of files.
    piped_logs: bool,
}

/// What runs on a host.
pub struct Plan {
    pub service: &'static str,
    pub sharded: bool,
    pub slots: u32,
    pub work: Duration,
}

impl Fleet {
    /// Starts a store, servers and nodes. `config` is the operator's configuration.
    pub fn start(plans: &[Plan], config: &str, settings: &str, record: Arc<Record>) -> Fleet {
        Fleet::start_with(plans, config, settings, record, false)
    }

    /// The same. With `piped_logs` the nodes' output goes to pipes, which the scenario reads.
    pub fn start_with(
        plans: &[Plan],
        config: &str,
        settings: &str,
        record: Arc<Record>,
        piped_logs: bool,
    ) -> Fleet {
        let net = free_net();
        let store_addr = SocketAddr::new(Ipv4Addr::new(127, net.0, net.1, 250).into(), STORE);
        let store = Store::start(store_addr);
        store.put("keyed.op", "config", config.as_bytes());
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        let _ = fs::create_dir_all(&folder);
        let mut fleet = Fleet {
            record,
            store,
            hosts: Vec::new(),
            folder,
            net,
            store_addr,
            settings: settings.to_owned(),
            bootstrap: true,
            piped_logs,
        };
        for plan in plans {
            fleet.add_host(plan);
        }
        for i in 0..fleet.hosts.len() {
            fleet.start_node(i);
        }
        fleet
    }

    /// Adds a host at a new address, with its server but without its node. Returns its number.
    pub fn add_host(&mut self, plan: &Plan) -> usize {
        let i = self.hosts.len();
        let mut host = Host {
            name: format!("side-{i}"),
            ip: Ipv4Addr::new(127, self.net.0, self.net.1, i as u8 + 1),
            service: plan.service.to_owned(),
            zone: ["z1", "z2", "z3"][i % 3].to_owned(),
            server: None,
            node: None,
        };
        let setup = Setup {
            id: format!("i-{i}"),
            service: host.service.clone(),
            zone: host.zone.clone(),
            addr: host.addr(APP),
            control: host.addr(CONTROL),
            slots: plan.slots,
            sharded: plan.sharded,
            work: plan.work,
        };
        host.server = Some(Server::start(setup, self.record.clone()));
        self.hosts.push(host);
        i
    }

    /// Removes a machine for good, with its server and its node, without notice.
    pub fn remove_host(&mut self, i: usize) {
        self.record.line(&format!("machine {} is gone for good", self.hosts[i].name));
        self.kill_node(i);
        if let Some(server) = &self.hosts[i].server {
            server.end();
        }
    }

    /// Kills the node of a host.
    pub fn kill_node(&mut self, i: usize) {
        self.record.line(&format!("SIGKILL to node {}", self.hosts[i].name));
        if let Some(mut child) = self.hosts[i].node.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Nodes that start from now on are not started for the first time.
    pub fn set_started(&mut self) {
        self.bootstrap = false;
    }

    /// Starts the node of a host with the command of the deploy file.
    pub fn start_node(&mut self, i: usize) {
        let path = self.folder.join(format!("{}.conf", self.hosts[i].name));
        if let Err(e) = fs::write(&path, self.settings_of(i)) {
            eprintln!("cannot write the settings: {e}");
            std::process::exit(2);
        }
        let mut command = Command::new("target/release/kelpwind");
        command.arg("node").env("KELPWIND_BOOT", &path).stdin(Stdio::null());
        if self.piped_logs {
            command.stdout(Stdio::piped()).stderr(Stdio::piped());
        } else {
            let log = fs::File::create(self.folder.join(format!("{}.log", self.hosts[i].name)));
            let file = || log.as_ref().ok().and_then(|l| l.try_clone().ok());
            command.stdout(file().map_or_else(Stdio::null, Stdio::from));
            command.stderr(file().map_or_else(Stdio::null, Stdio::from));
        }
        match command.spawn() {
            Ok(child) => {
                self.record.line(&format!("node {} starts", self.hosts[i].name));
                STARTED.lock().unwrap().push(child.id());
                self.hosts[i].node = Some(child);
            }
            Err(e) => {
                eprintln!("cannot start target/release/kelpwind: {e}");
                self.end();
                std::process::exit(2);
            }
        }
    }

    fn settings_of(&self, i: usize) -> String {
        let host = &self.hosts[i];
        let (ip, name) = (host.ip, &host.name);
        format!(
            "grants=call\nself.node-name={name}\nself.role=node\nself.machine-class=sidecar\n\
             self.serves=sidecar\nself.ip={ip}\nself.zone={}\nself.region=r1\n\
             self.counts-toward-loss=false\nself.bootstrap={}\nself.limits.cpu-share=0.2\n\
             self.limits.cores=1\n\
             self.limits.disk-mb=0\nself.app-addr={ip}:{APP}\nself.service={}\n\
             network.listen.inbound={ip}:8300\nnetwork.listen.outbound={ip}:{OUTBOUND}\n\
             network.listen.ready-address={ip}:{READY}\nnetwork.listen.control={ip}:{CONTROL}\n\
             network.port-range=7620,7635\nnetwork.seeds=\nnetwork.zones.z1=r1\n\
             network.zones.z2=r1\nnetwork.zones.z3=r1\nplatform.discovery=static\n\
             platform.entry=static\nplatform.heartbeat-s=0.87\n\
             platform.platform.address={}\nplatform.platform.form=log\n\
             platform.platform.writes-per-s=400\nplatform.platform.reads-per-s=2000\n\
             platform.platform.parts=12\nplatform.platform.append-s=0.002\n\
             platform.platform.keep_s=300\nplatform.platform.record-bytes=262144\n\
             platform.platform.request-bytes=2097152\nplatform.platform.min-ttl-s=1\n\
             terms.contracts=base,drain,config,cost,retry,recover,own,places,platform\n\
             terms.fault-tolerance.nodes=1\nterms.fault-tolerance.zones=1\n\
             terms.fault-tolerance.regions=0\nterms.bounds.contact-s=3\nterms.bounds.ack-s=4\n\
             terms.bounds.drain-s=2\nterms.bounds.grace-s=6\nterms.bounds.config-apply-s=2\n\
             terms.bounds.retry-budget-ratio=0.2\nterms.bounds.budget-window-s=10\n\
             terms.bounds.retry-budget-slack=64\nterms.bounds.evacuate-s=5\n\
             terms.bounds.hold-max-s=10\nterms.bounds.thaw-s=0.3\n{}",
            host.zone, self.bootstrap, host.service, self.store_addr, self.settings
        )
    }

    /// Kills the node of a host, and starts it again after a pause.
    pub fn restart_node(&mut self, i: usize, pause: Duration) {
        self.bootstrap = false;
        self.kill_node(i);
        std::thread::sleep(pause);
        self.start_node(i);
    }

    /// Whether the node of a host runs.
    pub fn is_running(&mut self, i: usize) -> bool {
        self.hosts[i].node.as_mut().is_some_and(|n| matches!(n.try_wait(), Ok(None)))
    }

    /// Memory of a node in KiB: a line of its status, such as VmRSS or VmHWM.
    pub fn memory_kb(&self, i: usize, name: &str) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.hosts[i].pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        let value = line.and_then(|l| l.trim_start_matches(':').split_whitespace().next());
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Processor time that a node has used, in ticks of 10 ms.
    pub fn cpu_ticks(&self, i: usize) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.hosts[i].pid()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        fields.skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum()
    }

    /// Sends a request to the node of a host until it is answered with 200. Returns whether it was.
    pub fn until_served(
        &self,
        i: usize,
        request: impl Fn(&str) -> String,
        limit: Duration,
    ) -> bool {
        let until = Instant::now() + limit;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let id = format!("probe-{i}-{number}-{}", std::process::id());
            let answer = self.send(i, &id, &request(&id));
            if answer.as_ref().is_some_and(|a| a.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a request to the node of a host over a new connection.
    pub fn send(&self, i: usize, id: &str, request: &str) -> Option<Message> {
        send(&self.record, &self.hosts[i].name, self.hosts[i].outbound(), id, request)
    }

    /// Ends all nodes.
    pub fn end(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut child) = host.node.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// Sends a request over a new connection.
pub fn send(
    record: &Record,
    name: &str,
    addr: SocketAddr,
    id: &str,
    request: &str,
) -> Option<Message> {
    record.line(&format!("client sends {id} to {name}"));
    let answer = http::call(addr, request.as_bytes(), Duration::from_secs(10));
    match answer {
        Ok(answer) => {
            record.line(&format!("client gets {} for {id}", answer.status()));
            Some(answer)
        }
        Err(e) => {
            record.line(&format!("client gets no answer for {id}: {e}"));
            None
        }
    }
}

/// The second and third byte of loopback addresses on which all ports are free.
fn free_net() -> (u8, u8) {
    let mut seed = std::process::id();
    for _ in 0..200 {
        seed = seed.wrapping_mul(1_103_515_245).wrapping_add(12_345);
        let net = (1 + (seed >> 16) as u8 % 250, (seed >> 24) as u8);
        let ports = [APP, READY, OUTBOUND, CONTROL, 8300, 7620, 9464];
        let free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, last), port)).is_ok()
        };
        let all = (1..=HOSTS_MAX).all(|last| ports.iter().all(|port| free(last, *port)));
        if all && free(250, STORE) {
            return net;
        }
    }
    eprintln!("no free addresses");
    std::process::exit(2);
}
