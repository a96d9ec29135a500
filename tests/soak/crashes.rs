//! Runs in which a request crashes the servers that run it and comes again all the time, from any host,
//! while nodes are killed, paused and cut off from the store and servers crash by themselves.

use std::time::Duration;

use fastrand::Rng;

use super::platform::fleet::Fleet;
use super::platform::history::Moment;
use super::{
    FAULT_COUNT, PAUSE_MS_MAX, SERVICE_TIME, inject_outage, recover, run_named_seeds, signal,
    unserved_keys,
};

/// Seeds that run by default, also in CI.
const SEEDS: &[u64] = &[1, 2];
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 4), ("maps", 4)];
/// Time from the end of disturbances after which a host counts as in contact.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time between two attempts.
const PAUSE: Duration = Duration::from_millis(150);
/// Number of attempts after the last fault.
const LAST_ATTEMPTS: usize = 40;
/// Most times that a request may reach servers after it was found to crash them.
const LATE_RUNS_MAX: usize = 3;

async fn inject_fault(fleet: &mut Fleet, random: &mut Rng) {
    let host = random.usize(..fleet.hosts.len());
    match random.u32(..10) {
        0..3 => {
            fleet.hosts[host].node = None;
            fleet.start_node(host);
        }
        3 => signal(fleet, host, "STOP"),
        4..6 => signal(fleet, host, "CONT"),
        6..8 => inject_outage(fleet, random, host, random.clone().u32(..6)),
        _ => {
            let count = random.usize(1..4).min(fleet.hosts.len() - host);
            fleet.crash_servers(host..host + count, Duration::from_millis(random.u64(300..1500)));
        }
    }
}

/// Sends the request from a host in a new task.
fn attempt(fleet: &Fleet, random: &mut Rng, service: &str, once: bool) {
    let host = random.usize(..fleet.hosts.len());
    drop(fleet.spawn_call_with_query(host, service, 30_000, once, "?crash=a"));
}

/// Runs one seed and returns the violations found.
async fn run_seed(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let mut random = Rng::with_seed(seed);
    let (service, once) = (SERVICES[random.usize(..2)].0, random.bool());
    let callers = fleet.spawn_callers(&["books", "maps"], Duration::from_millis(25));
    for _ in 0..FAULT_COUNT {
        inject_fault(&mut fleet, &mut random).await;
        for _ in 0..random.u64(..PAUSE_MS_MAX) / PAUSE.as_millis() as u64 {
            attempt(&fleet, &mut random, service, once);
            tokio::time::sleep(PAUSE).await;
        }
    }
    fleet.store.set_down(false);
    fleet.store.set_drop_replies(false);
    for host in 0..fleet.hosts.len() {
        fleet.set_faults(host, Default::default());
        signal(&fleet, host, "CONT");
    }
    tokio::time::sleep(CONTACT_TIME).await;
    // Whatever is known has to outlast all processes at once.
    recover(&mut fleet).await;
    tokio::time::sleep(CONTACT_TIME).await;
    // What hosts out of contact have sent does not count.
    let (from, ended) = (Moment::now(), fleet.crashes.ended("a"));
    for _ in 0..LAST_ATTEMPTS {
        attempt(&fleet, &mut random, service, once);
        tokio::time::sleep(PAUSE).await;
    }
    let late = fleet.crashes.late_runs_since("a", Some(from));
    let mut violations = unserved_keys(&fleet, SERVICES).await;
    if late > LATE_RUNS_MAX {
        violations.push(format!("sent {late} times too late"));
    }
    callers.iter().for_each(|c| c.abort());
    violations.extend(fleet.violations());
    println!(
        "seed {seed}: {service}, once {once}, {ended} ended before, {late} late runs, {:?}, {} violations",
        fleet.statuses(),
        violations.len()
    );
    violations
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_a_request_crashes_servers() {
    run_named_seeds("KELPWIND_SOAK_CRASH_SEEDS", SEEDS, run_seed).await;
}
