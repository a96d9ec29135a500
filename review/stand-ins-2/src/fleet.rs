//! A small deployment: the store, and hosts with a node (a process of the project's program) and a
//! target each.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, End, Message, request};
use crate::record::Record;
use crate::store::Store;
use crate::target::{History, Target, TargetConfig};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Process ids of all nodes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all nodes, however far the case is.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        // Only processes that this program has started and not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// A service of the deployment.
#[derive(Clone, Copy)]
pub struct Service {
    pub name: &'static str,
    pub hosts: usize,
    pub slots: usize,
    pub sharded: bool,
    /// Kind of its route `/go/`.
    pub kind: &'static str,
    pub timeout_s: f64,
    pub aim_s: f64,
}

/// Bounds and limits of the deployment, as its site states them.
#[derive(Clone, Copy)]
pub struct Site {
    pub grace_s: f64,
    pub drain_s: f64,
    pub ack_s: f64,
    pub config_apply_s: f64,
    pub memory_mb: usize,
    pub link_mbps: f64,
    pub zones: [&'static str; 3],
    pub region: &'static str,
}

pub struct Host {
    pub ip: Ipv4Addr,
    pub service: Service,
    pub name: String,
    pub zone: String,
    pub node: Option<Child>,
    pub target: Arc<Target>,
    settings: PathBuf,
    log: PathBuf,
}

pub struct Fleet {
    pub hosts: Vec<Host>,
    pub history: Arc<History>,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    program: PathBuf,
    folder: PathBuf,
}

/// Port of each host's node for callers.
const CALLERS: u16 = 8304;

impl Fleet {
    /// Starts all processes. `program` is the built program.
    pub fn start(
        program: PathBuf,
        record: Arc<Record>,
        services: &[Service],
        site: Site,
    ) -> io::Result<Fleet> {
        let block = free_block()?;
        let ip = |last: u8| Ipv4Addr::new(127, block.0, block.1, last);
        let folder = std::env::temp_dir().join(format!("review-{}-{}", block.0, block.1));
        fs::create_dir_all(&folder)?;
        let store_addr = SocketAddr::new(ip(250).into(), 8309);
        let store = Store::start(store_addr)?;
        store.publish("config", &config(services));
        let history = Arc::new(History::default());
        let mut fleet =
            Fleet { hosts: Vec::new(), history, record, store, program, folder };
        let all = services.iter().flat_map(|s| (0..s.hosts).map(move |_| *s));
        for (i, service) in all.enumerate() {
            let ip = ip(1 + i as u8);
            let zone = site.zones[i % 3].to_owned();
            let name = format!("sidecar-{zone}-{}", 1 + i);
            let target = Target::start(
                TargetConfig {
                    id: format!("i-{:08x}", 0x7f3a_91c2u32.wrapping_mul(i as u32 + 1)),
                    service: service.name.to_owned(),
                    zone: zone.clone(),
                    addr: SocketAddr::new(ip.into(), 8301),
                    control: SocketAddr::new(ip.into(), 8306),
                    slots: service.slots,
                    sharded: service.sharded,
                },
                fleet.history.clone(),
                fleet.record.clone(),
            )?;
            let settings = fleet.folder.join(format!("{ip}.conf"));
            let log = fleet.folder.join(format!("{ip}.log"));
            fs::write(&settings, settings_text(&site, &name, ip, &zone, service.name, store_addr))?;
            let mut host =
                Host { ip, service, name, zone, node: None, target, settings, log };
            host.start_node(&fleet.program)?;
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    /// Waits until each node serves each service, twenty times in a row.
    pub fn wait_until_served(&self, services: &[Service]) -> bool {
        let until = Instant::now() + Duration::from_secs(40);
        for host in &self.hosts {
            for service in services {
                let mut good = 0;
                while good < 20 {
                    let key = (good * 3277) as u16;
                    let id = format!("warm-{}-{}-{good}", host.ip, service.name);
                    let call = Call::new(service, &id).key(key).limit_ms(2000);
                    match self.call(host, &call) {
                        Ok(reply) if reply.status() == 200 => good += 1,
                        _ => {
                            good = 0;
                            thread::sleep(Duration::from_millis(100));
                        }
                    }
                    if Instant::now() > until {
                        return false;
                    }
                }
            }
        }
        true
    }

    /// Address of a host's node for callers.
    pub fn callers(&self, host: &Host) -> SocketAddr {
        SocketAddr::new(host.ip.into(), CALLERS)
    }

    /// Sends a request over a connection of its own.
    pub fn call(&self, host: &Host, call: &Call) -> Result<Message, End> {
        let Ok(mut conn) = Conn::open(self.callers(host), Duration::from_secs(1)) else {
            return Err(End::Closed);
        };
        if conn.write(&call.encode()).is_err() {
            return Err(End::Closed);
        }
        conn.read(Some(Instant::now() + Duration::from_millis(call.limit_ms + 500)))
    }

    /// The owner of a key of a service, as the targets see it.
    pub fn holder_of(&self, key: u16) -> Option<usize> {
        let now = Instant::now();
        let holds = self.history.holds.lock().unwrap();
        let hold = holds.iter().find(|h| h.keys.0 <= key && key <= h.keys.1 && h.until > now)?;
        self.hosts.iter().position(|host| host.target.config.id == hold.target)
    }

    /// Ends all processes that were started.
    pub fn end(&mut self) {
        for host in &mut self.hosts {
            if let Some(node) = &mut host.node {
                STARTED.lock().unwrap().retain(|pid| *pid != node.id());
                let _ = node.kill();
                let _ = node.wait();
            }
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs are in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

impl Host {
    pub fn start_node(&mut self, program: &PathBuf) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let path = std::env::var_os("PATH").unwrap_or_default();
        let home = std::env::var_os("HOME").unwrap_or_default();
        let child = Command::new(program)
            .arg("node")
            .env_clear()
            .env("PATH", path)
            .env("HOME", home)
            .env("KELPWIND_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        self.node = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(node) = &self.node {
            // Only processes that this program has started.
            unsafe { kill(node.id() as i32, signal) };
        }
    }

    /// A figure of `/proc/PID/status` in kB.
    pub fn status_kb(&self, name: &str) -> Option<usize> {
        let pid = self.node.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = text.lines().find_map(|l| l.strip_prefix(name))?;
        line.trim_start_matches(':').trim().split(' ').next()?.parse().ok()
    }
}

/// A request of a caller.
#[derive(Clone)]
pub struct Call {
    pub id: String,
    pub service: &'static str,
    pub key: Option<u16>,
    pub limit_ms: u64,
    pub work_ms: u64,
    pub size: usize,
    pub method: &'static str,
}

impl Call {
    pub fn new(service: &Service, id: &str) -> Call {
        Call {
            id: id.to_owned(),
            service: service.name,
            key: service.sharded.then_some(0),
            limit_ms: (service.timeout_s * 1000.0) as u64,
            work_ms: 20,
            size: 200,
            method: if service.kind == "unsafe" { "POST" } else { "GET" },
        }
    }

    pub fn key(mut self, key: u16) -> Call {
        self.key = self.key.map(|_| key);
        self
    }

    pub fn limit_ms(mut self, limit_ms: u64) -> Call {
        self.limit_ms = limit_ms;
        self
    }

    pub fn work_ms(mut self, work_ms: u64) -> Call {
        self.work_ms = work_ms;
        self
    }

    pub fn size(mut self, size: usize) -> Call {
        self.size = size;
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let host = format!("{}.example", self.service);
        let target = format!("/go/x?work-ms={}&size={}", self.work_ms, self.size);
        let limit = self.limit_ms.to_string();
        let key = self.key.map(|k| k.to_string());
        let mut headers = vec![
            ("Host", host.as_str()),
            ("X-Request-Id", self.id.as_str()),
            ("X-Deadline-Ms", limit.as_str()),
        ];
        if let Some(key) = &key {
            headers.push(("X-Shard-Key", key));
        }
        request(self.method, &target, &headers, b"")
    }
}

fn config(services: &[Service]) -> String {
    let routes: Vec<String> = services
        .iter()
        .map(|s| {
            let attempts = if s.kind == "unsafe" { 1 } else { 2 };
            format!(
                "[\"go-{0}\",\"{0}.example\",\"/go/\",\"{1}\",{2},{3},2,{attempts},\"{0}\"]",
                s.name, s.kind, s.timeout_s, s.aim_s
            )
        })
        .collect();
    let rows: Vec<String> = services
        .iter()
        .map(|s| format!("[\"{}\",\"/healthz\",420,3.0,50.0,{}]", s.name, s.sharded))
        .collect();
    format!(
        "{{\"version\":3,\"routes\":{{\"columns\":[\"name\",\"host\",\"path-prefix\",\"kind\",\
         \"timeout-s\",\"aim-s\",\"priority\",\"attempts\",\"service\"],\"rows\":[{}]}},\
         \"services\":{{\"columns\":[\"name\",\"health-path\",\"max-connections\",\"cold-start-s\",\
         \"cold-per-s\",\"sharded\"],\"rows\":[{}]}},\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":8388608,\"header-timeout-s\":3.0,\"idle-timeout-s\":15.0}}}}",
        routes.join(","),
        rows.join(",")
    )
}

fn settings_text(
    site: &Site,
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    service: &str,
    store: SocketAddr,
) -> String {
    let zones: String =
        site.zones.iter().map(|z| format!("network.zones.{z}={}\n", site.region)).collect();
    format!(
        "grants=call\n\
         self.node-name={name}\nself.role=node\nself.machine-class=sidecar\nself.serves=sidecar\n\
         self.ip={ip}\nself.zone={zone}\nself.region={}\nself.counts-toward-loss=false\n\
         self.bootstrap=true\nself.limits.cpu-share=0.5\nself.limits.cores=1\n\
         self.limits.memory-mb={}\nself.limits.max-fds=4100\nself.limits.link-mbps={}\n\
         self.limits.disk-mb=0\nself.app-addr={ip}:8301\nself.service={service}\n\
         network.listen.inbound={ip}:8300\nnetwork.listen.outbound={ip}:{CALLERS}\n\
         network.listen.ready-address={ip}:8302\nnetwork.listen.control={ip}:8306\n\
         network.port-range=7620,7635\nnetwork.seeds=\n{zones}\
         platform.discovery=static\nplatform.entry=static\nplatform.heartbeat-s=0.87\n\
         platform.platform.address={store}\nplatform.platform.form=log\n\
         platform.platform.writes-per-s=400\nplatform.platform.reads-per-s=2000\n\
         platform.platform.parts=12\nplatform.platform.append-s=0.002\n\
         platform.platform.partition-mb-s=20.0\nplatform.platform.read-mb-s=80.0\n\
         platform.platform.record-bytes=262144\nplatform.platform.request-bytes=2097152\n\
         platform.platform.keep_s=300\nplatform.platform.partition-mb=200\n\
         platform.platform.min-ttl-s=1\n\
         terms.contracts=base,drain,config,cost,retry,recover,own,places,platform\n\
         terms.fault-tolerance.nodes=1\nterms.fault-tolerance.zones=1\n\
         terms.fault-tolerance.regions=0\n\
         terms.bounds.seed-lag-s=3\nterms.bounds.reuse-after-s=2\nterms.bounds.contact-s=3\n\
         terms.bounds.ack-s={}\nterms.bounds.catch-up-s=6\nterms.bounds.drain-s={}\n\
         terms.bounds.grace-s={}\nterms.bounds.loss-slack-s=0.2\n\
         terms.bounds.config-apply-s={}\nterms.bounds.rollback-slack-s=0.25\n\
         terms.bounds.max-skew-s=5\nterms.bounds.retry-budget-ratio=0.2\n\
         terms.bounds.budget-window-s=10\nterms.bounds.retry-budget-slack=184\n\
         terms.bounds.cold-overage=1.5\nterms.bounds.cold-slack=8\n\
         terms.bounds.evacuate-s=5\nterms.bounds.recover-s=15\nterms.bounds.hold-max-s=10\n\
         terms.bounds.thaw-s=0.3\n",
        site.region,
        site.memory_mb,
        site.link_mbps,
        site.ack_s,
        site.drain_s,
        site.grace_s,
        site.config_apply_s
    )
}

/// Two octets of a loopback block in which the ports are free.
fn free_block() -> io::Result<(u8, u8)> {
    let pid = std::process::id();
    for i in 0..200u32 {
        let mix = pid.wrapping_mul(2_654_435_761).wrapping_add(i.wrapping_mul(40_503));
        let block = (10 + (mix >> 8 & 127) as u8, 1 + (mix >> 20 & 127) as u8);
        let addr = |last, port| SocketAddr::new(Ipv4Addr::new(127, block.0, block.1, last).into(), port);
        let ports = [8301, 8302, 8304, 8306, 7620, 9464];
        let free = TcpListener::bind(addr(250, 8309)).is_ok()
            && (1..=12).all(|last| ports.iter().all(|p| TcpListener::bind(addr(last, *p)).is_ok()));
        if free {
            return Ok(block);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}
