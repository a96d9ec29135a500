//! Runs in which backend servers state limits, and that they leave, while nodes are killed, paused
//! and cut off from the store.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;

use super::platform::fleet::Fleet;
use super::platform::server::Server;
use super::{
    FAULT_COUNT, PAUSE_MS_MAX, SERVICE_TIME, SERVICES, inject_outage, recover, run_named_seeds,
    signal, unserved_keys,
};

/// Seeds that run by default, also in CI.
const SEEDS: &[u64] = &[1, 2];
/// Limits that servers state, in requests a second; the last ones are malformed.
const LIMITS: &[&str] = &["0", "0.5", "3", "12", "40", "1e9", "-3", "NaN"];
/// Time after the last fault for which the rules on statements are checked.
const WATCHED: Duration = Duration::from_secs(5);

/// All servers that were started.
struct Servers(Vec<Arc<Server>>);

impl Servers {
    /// Excuses a host that is restarted, paused or cut off from what servers told it before.
    fn excuse(&self, fleet: &Fleet, host: usize) {
        let caller = fleet.hosts[host].ip.to_string();
        self.0.iter().for_each(|server| server.stated.lock().excuse(&caller));
    }

    async fn replace(&mut self, fleet: &mut Fleet, host: usize) {
        if let Some(server) = fleet.hosts[host].server.take() {
            server.crash();
        }
        fleet.start_server(host).await;
        self.0.extend(fleet.hosts[host].server.clone());
    }

    async fn inject_fault(&mut self, fleet: &mut Fleet, random: &mut Rng) {
        let host = random.usize(..fleet.hosts.len());
        let server = fleet.hosts[host].server.clone().expect("each host has a server");
        match random.u32(..12) {
            0 | 1 => {
                fleet.hosts[host].node = None;
                fleet.start_node(host);
                self.excuse(fleet, host);
            }
            2 => {
                signal(fleet, host, "STOP");
                self.excuse(fleet, host);
            }
            3 => {
                signal(fleet, host, "CONT");
                self.excuse(fleet, host);
            }
            4 => {
                inject_outage(fleet, random, host, random.clone().u32(..6));
                self.excuse(fleet, host);
            }
            5 => server.stated.lock().set_limit(None),
            6 => server.stated.lock().set_leaving(),
            7 => self.replace(fleet, host).await,
            _ => {
                let limit = LIMITS[random.usize(..LIMITS.len())];
                server.stated.lock().set_limit(Some(limit));
            }
        }
    }

    /// Requests that reached servers in spite of what these had stated.
    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for server in &self.0 {
            let stated = server.stated.lock();
            let (excess, late) = (stated.excess(&[]), stated.late_arrivals(&[]));
            if excess > 0.0 {
                violations
                    .push(format!("{}: {excess:.1} requests over its limit in 4 s", server.id));
            }
            if late > 0 {
                violations
                    .push(format!("{}: {late} requests after it had said it leaves", server.id));
            }
        }
        violations
    }
}

/// Runs one seed and returns the violations found.
async fn run_seed(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let mut random = Rng::with_seed(seed);
    let mut servers = Servers(fleet.hosts.iter().filter_map(|host| host.server.clone()).collect());
    let callers = fleet.spawn_reusing_callers(&["books", "maps"], Duration::from_millis(10));
    for _ in 0..FAULT_COUNT * 2 {
        servers.inject_fault(&mut fleet, &mut random).await;
        if random.u32(..3) > 0 {
            tokio::time::sleep(Duration::from_millis(random.u64(..PAUSE_MS_MAX))).await;
        }
    }
    tokio::time::sleep(WATCHED).await;
    let mut violations = servers.violations();
    for host in 0..fleet.hosts.len() {
        servers.replace(&mut fleet, host).await;
    }
    recover(&mut fleet).await;
    violations.extend(unserved_keys(&fleet, SERVICES).await);
    callers.iter().for_each(|c| c.abort());
    violations.extend(fleet.violations());
    println!("seed {seed}: {:?}, {} violations", fleet.statuses(), violations.len());
    violations
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_servers_state_limits_and_leave() {
    run_named_seeds("KELPWIND_SOAK_STATEMENT_SEEDS", SEEDS, run_seed).await;
}
