//! A backend server as a process of its own: the test binary starts itself again.
//!
//! The process records its keys and requests in a journal ([`super::history`]), so that nothing is
//! lost when it is killed. SIGTERM stops it in an orderly way.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kelpwind_test_support::process::Process;
use serde::{Deserialize, Serialize};
use tokio::signal::unix::{SignalKind, signal};

use super::history::{Event, History, Moment, Records, events};
use super::server::{Server, ServerConfig};

/// Holds the [`ProcessConfig`] of a server process.
const CONFIG_VARIABLE: &str = "KELPWIND_TEST_SERVER";
/// Name of the test that is a server process.
const PROCESS_TEST: &str = "platform::server_process::run_as_a_server_if_configured";
/// Interval at which a server process notes that it runs.
const TICK: Duration = Duration::from_millis(10);
/// Longest time until a server process listens or exits.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// What a server process is started with.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ProcessConfig {
    addr: SocketAddr,
    /// Address for its reports.
    node: SocketAddr,
    journal: PathBuf,
    server: ServerConfig,
}

/// A server that is a process of its own; dropping it kills the process.
pub struct ServerProcess {
    process: Process,
    journal: PathBuf,
    /// When it was killed, if it was.
    killed: Option<Moment>,
    /// Whether it was told to stop.
    stopping: bool,
}

impl ServerProcess {
    /// Starts a server at `addr` that reports to `node` and records to the new file `journal`.
    /// Returns before it listens, which it does once the address is free.
    pub fn start(
        addr: SocketAddr,
        node: SocketAddr,
        journal: &Path,
        server: ServerConfig,
    ) -> ServerProcess {
        std::fs::File::create(journal).expect("failed to create a journal");
        let journal = journal.to_owned();
        let config = ProcessConfig { addr, node, journal: journal.clone(), server };
        let config = serde_json::to_string(&config).expect("the configuration is serializable");
        let program = std::env::current_exe().expect("the test binary has a path");
        let program = program.to_str().expect("UTF-8 path");
        let args = ["--exact", PROCESS_TEST, "--nocapture"];
        let process = Process::spawn(program, &args, &[(CONFIG_VARIABLE, &config)], Stdio::null());
        ServerProcess { process, journal, killed: None, stopping: false }
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`; no effect after its exit.
    pub fn signal(&mut self, name: &str) {
        if self.is_running() {
            self.process.signal(name);
            self.stopping |= name == "TERM";
        }
    }

    /// Whether the process runs and was not told to stop.
    pub fn is_staying(&mut self) -> bool {
        !self.stopping && self.is_running()
    }

    /// Kills the process. Its keys are free from then on.
    pub fn kill(&mut self) {
        if self.is_running() {
            self.killed = Some(Moment::now());
            self.process.kill();
        }
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    /// Waits until the server listens.
    pub async fn until_listening(&self) {
        let listens = || events(&self.journal).iter().any(|e| matches!(e, Event::Listens { .. }));
        let until = Instant::now() + CHANGE_TIMEOUT;
        while !listens() {
            assert!(Instant::now() < until, "no server listens within {CHANGE_TIMEOUT:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until the process has exited.
    pub async fn until_ended(&mut self) {
        let until = Instant::now() + CHANGE_TIMEOUT;
        while self.is_running() {
            assert!(Instant::now() < until, "a server did not exit within {CHANGE_TIMEOUT:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// What it recorded. `excused` says whether a grant that arrived at this time does not count.
    pub fn records(&self, excused: impl Fn(Moment) -> bool) -> Records {
        Records::read(&self.journal, self.killed, excused)
    }
}

/// The server process: returns at once unless it is started as one.
#[test]
fn run_as_a_server_if_configured() {
    let Ok(config) = std::env::var(CONFIG_VARIABLE) else { return };
    let config = serde_json::from_str(&config).expect("the configuration is valid");
    // One thread, so that a late tick shows that nothing else ran either.
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("failed to start the async runtime");
    runtime.block_on(run(config));
    std::process::exit(0);
}

async fn run(config: ProcessConfig) {
    let mut stopping = signal(SignalKind::terminate()).expect("failed to handle SIGTERM");
    let history = Arc::new(History::of_process(&config.journal));
    tokio::spawn(tick(history.clone()));
    let crashes = Arc::default();
    let server =
        Server::start(config.addr, config.node, config.server, history.clone(), crashes).await;
    let (id, life) = (server.id.clone(), server.life);
    history.add(Event::Listens { server: id, life, at: Moment::now() });
    stopping.recv().await;
    history.add(Event::Stops { at: Moment::now() });
    server.stop().await;
    history.add(Event::Exits { at: Moment::now() });
}

/// Notes at short intervals that the process runs; ends it with the test that started it.
async fn tick(history: Arc<History>) {
    let parent = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == parent {
        history.tick();
        tokio::time::sleep(TICK).await;
    }
    std::process::exit(0);
}
