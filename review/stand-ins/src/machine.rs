//! A machine of a small deployment: its addresses, the settings of its node, and the node's process.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub service: String,
    pub store: SocketAddr,
    pub link_mbps: u32,
    pub memory_mb: u64,
    pub folder: PathBuf,
    node: Option<Child>,
}

impl Machine {
    pub fn new(number: u8, base: Ipv4Addr, zone: &str, service: &str, folder: &Path) -> Machine {
        let [a, b, c, _] = base.octets();
        Machine {
            name: format!("sidecar-{zone}-{number}"),
            ip: Ipv4Addr::new(a, b, c, 10 + number),
            zone: zone.to_owned(),
            service: service.to_owned(),
            store: SocketAddr::new(base.into(), 8309),
            link_mbps: 1000,
            memory_mb: 260,
            folder: folder.to_owned(),
            node: None,
        }
    }

    pub fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }

    pub fn app(&self) -> SocketAddr {
        self.addr(8301)
    }

    pub fn ready(&self) -> SocketAddr {
        self.addr(8302)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.addr(8304)
    }

    pub fn control(&self) -> SocketAddr {
        self.addr(8306)
    }

    /// Starts the node as `deploy/system.toml` says. `first` is true when the whole system starts for
    /// the first time.
    pub fn start_node(&mut self, first: bool) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.conf", self.name));
        std::fs::write(&settings, self.settings(first))?;
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/kelpwind");
        command.arg("node").env_clear().env("KELPWIND_BOOT", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        self.node = Some(command.spawn()?);
        Ok(())
    }

    /// Sends a signal to the node's process.
    pub fn signal(&self, name: &str) {
        if let Some(node) = &self.node {
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(node.id().to_string()).status();
        }
    }

    /// Memory that the node's process has in use, in MB; 0 if it does not run.
    pub fn used_memory_mb(&self) -> u64 {
        let Some(node) = &self.node else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", node.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    /// Kills the node's process and waits for its end.
    pub fn kill_node(&mut self) {
        if let Some(mut node) = self.node.take() {
            let _ = node.kill();
            let _ = node.wait();
        }
    }

    /// Whether the node's process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.node.as_mut().is_none_or(|node| !matches!(node.try_wait(), Ok(None)))
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = http::request("GET", "/-/readyz", &[("host", "node")], b"");
        let answered = http::call(self.ready(), &request, Duration::from_millis(500));
        answered.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The settings file, with the fields and bounds of a small deployment.
    fn settings(&self, first: bool) -> String {
        let Machine { name, ip, zone, service, store, link_mbps, memory_mb, .. } = self;
        format!(
            "grants=call\nself.node-name={name}\nself.role=node\nself.machine-class=sidecar\n\
             self.serves=sidecar\nself.ip={ip}\nself.zone={zone}\nself.region=nl-west\n\
             self.counts-toward-loss=false\nself.bootstrap={first}\nself.limits.cpu-share=0.2\n\
             self.limits.cores=1\nself.limits.memory-mb={memory_mb}\nself.limits.max-fds=4100\n\
             self.limits.link-mbps={link_mbps}\nself.limits.disk-mb=0\nself.app-addr={ip}:8301\n\
             self.service={service}\nnetwork.listen.inbound={ip}:8300\n\
             network.listen.outbound={ip}:8304\nnetwork.listen.ready-address={ip}:8302\n\
             network.listen.control={ip}:8306\nnetwork.port-range=7620,7635\nnetwork.seeds=\n\
             network.zones.rdam-a=nl-west\nnetwork.zones.dordt-b=nl-west\n\
             network.zones.delft-c=nl-west\nplatform.discovery=static\nplatform.entry=static\n\
             platform.heartbeat-s=0.87\nplatform.platform.address={store}\n\
             platform.platform.form=log\nplatform.platform.writes-per-s=400\n\
             platform.platform.reads-per-s=2000\nplatform.platform.parts=12\n\
             platform.platform.append-s=0.002\nplatform.platform.partition-mb-s=20.0\n\
             platform.platform.read-mb-s=80.0\nplatform.platform.record-bytes=262144\n\
             platform.platform.request-bytes=2097152\nplatform.platform.keep_s=300\n\
             platform.platform.partition-mb=200\nplatform.platform.min-ttl-s=1\n\
             terms.contracts=base,drain,config,cost,retry,recover,own,places,platform\n\
             terms.fault-tolerance.nodes=1\nterms.fault-tolerance.zones=1\n\
             terms.fault-tolerance.regions=0\nterms.bounds.seed-lag-s=3\n\
             terms.bounds.reuse-after-s=2\nterms.bounds.contact-s=3\nterms.bounds.ack-s=4\n\
             terms.bounds.catch-up-s=4\nterms.bounds.drain-s=2\nterms.bounds.grace-s=6\n\
             terms.bounds.loss-slack-s=0.2\nterms.bounds.config-apply-s=2\n\
             terms.bounds.rollback-slack-s=0.25\nterms.bounds.max-skew-s=5\n\
             terms.bounds.retry-budget-ratio=0.2\nterms.bounds.budget-window-s=10\n\
             terms.bounds.retry-budget-slack=64\nterms.bounds.cold-overage=1.5\n\
             terms.bounds.cold-slack=5\nterms.bounds.evacuate-s=5\nterms.bounds.recover-s=15\n\
             terms.bounds.hold-max-s=10\nterms.bounds.thaw-s=0.3\n"
        )
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill_node();
    }
}
