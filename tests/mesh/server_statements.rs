//! Backend servers that state a limit, or that they shut down, in their answers.

use std::time::Duration;

use rstest::rstest;

use super::platform::fleet::Fleet;
use super::platform::history::Moment;
use super::platform::server::Server;
use super::{assert_no_violations, until_all_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 3), ("maps", 3)];
/// Time after a statement for which requests are counted.
const WATCHED: Duration = Duration::from_secs(7);
/// The host whose server states something, by service.
const HOSTS: &[(&str, usize)] = &[("books", 0), ("maps", 3)];

fn host_of(service: &str) -> usize {
    HOSTS.iter().find(|(name, _)| *name == service).unwrap().1
}

/// Hosts whose node was restarted need not know what servers stated before.
fn ip(fleet: &Fleet, host: usize) -> String {
    fleet.hosts[host].ip.to_string()
}

/// A limit must hold for the requests of all hosts together.
#[rstest]
#[case::keyed("books")]
#[case::not_keyed("maps")]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_more_requests_than_the_limit_that_it_states(#[case] service: &str) {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&[service], Duration::from_millis(5));
    let server = fleet.hosts[host_of(service)].server.clone().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    server.stated.lock().set_limit(Some("8"));
    tokio::time::sleep(WATCHED).await;
    let excess = server.stated.lock().excess(&[]);
    assert!(excess <= 0.0, "{excess} requests over the limit in 4 s");
    server.stated.lock().set_limit(None);
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// What a limited server does not take goes to the others, and does not wait for it first.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_a_limited_server_although_others_have_room() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["maps"], Duration::from_millis(5));
    let server = fleet.hosts[host_of("maps")].server.clone().unwrap();
    let count = async || {
        fleet.results.lock().clear();
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.results.lock().len()
    };
    let before = count().await;
    server.stated.lock().set_limit(Some("4"));
    let limited = count().await;
    let statuses = fleet.statuses();
    assert_eq!(statuses.keys().collect::<Vec<_>>(), [&200], "{statuses:?}");
    // Two of three servers are left, with more slots than there are callers.
    assert!(limited * 5 > before * 4, "{limited} answers, {before} without a limit");
    server.stated.lock().set_limit(None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let from = Moment::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let arrived = server.stated.lock().arrivals_since(from);
    assert!(arrived > 40, "{arrived} requests in 1 s after the limit has ended");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// The limit must be known to the next run of the node beside the server before it sends anything.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_run_of_a_node_does_not_know_the_limit_of_its_server() {
    let mut fleet = Fleet::start(&[("maps", 1), ("books", 3)], SERVICE_TIME).await;
    fleet.hosts[0].server.take().unwrap().crash();
    fleet.hosts[0].server_config.slots = 40;
    fleet.hosts[0].server_config.service_time = Duration::from_millis(900);
    fleet.start_server(0).await;
    let callers: Vec<_> =
        (0..20).flat_map(|_| fleet.spawn_callers(&["maps"], Duration::from_millis(40))).collect();
    let server = fleet.hosts[0].server.clone().unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    server.stated.lock().set_limit(Some("1"));
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.hosts[0].node = None;
    fleet.start_node(0);
    tokio::time::sleep(WATCHED).await;
    let excess = server.stated.lock().excess(&[ip(&fleet, 0)]);
    assert!(excess <= 0.0, "{excess} requests over the limit in 4 s");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// Requests that arrived meanwhile must not be sent at once: at the node beside the server, or at an
/// entry.
#[rstest]
#[case::beside_the_server(3)]
#[case::entry(1)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_exceed_the_limit_of_a_server_after_a_node_was_paused(#[case] paused: usize) {
    let mut fleet = Fleet::start(&[("books", 3), ("maps", 1)], SERVICE_TIME).await;
    let callers: Vec<_> =
        (0..5).flat_map(|_| fleet.spawn_callers(&["maps"], Duration::from_millis(20))).collect();
    let server = fleet.hosts[host_of("maps")].server.clone().unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    server.stated.lock().set_limit(Some("8"));
    tokio::time::sleep(Duration::from_millis(3500)).await;
    for _ in 0..2 {
        fleet.signal_node(paused, "STOP");
        tokio::time::sleep(Duration::from_millis(1500)).await;
        fleet.signal_node(paused, "CONT");
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    let excess = server.stated.lock().excess(&[]);
    assert!(excess <= 0.0, "{excess} requests over the limit in 4 s");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// A limit that is not a number changes nothing, neither one that is in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_limit_lifts_the_one_in_force() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["maps"], Duration::from_millis(5));
    let server = fleet.hosts[host_of("maps")].server.clone().unwrap();
    for malformed in ["-1", "NaN", "inf", "many", ""] {
        let from = Moment::now();
        server.stated.lock().set_limit(Some(malformed));
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(server.stated.lock().arrivals_since(from) > 5, "'{malformed}' stops requests");
    }
    server.stated.lock().set_limit(Some("8"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let from = Moment::now();
    for malformed in ["-1", "NaN", "inf", "many", ""] {
        server.stated.lock().set_limit(Some(malformed));
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    let arrived = server.stated.lock().arrivals_since(from);
    assert!(arrived <= 8 * 3 * 3 / 2 + 5, "{arrived} requests in 3 s");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// Reports of a server that leaves may be late, or say nothing of it.
#[rstest]
#[case::keyed("books")]
#[case::not_keyed("maps")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_a_server_that_states_that_it_leaves(#[case] service: &str) {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_reusing_callers(&[service], Duration::from_millis(5));
    let server = fleet.hosts[host_of(service)].server.clone().unwrap();
    server.stated.lock().set_leaving();
    tokio::time::sleep(WATCHED).await;
    assert_eq!(server.stated.lock().late_arrivals(&[]), 0, "requests to a server that leaves");
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// The next run of the node beside a server that leaves must not use it, although the store, which
/// has the node's record, does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_has_left_is_in_use_after_its_node_restarts() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_reusing_callers(&["maps"], Duration::from_millis(5));
    let host = host_of("maps");
    let server = fleet.hosts[host].server.clone().unwrap();
    fleet.store.set_down(true);
    server.stop_reports();
    server.stated.lock().set_leaving();
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.hosts[host].node = None;
    fleet.start_node(host);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // A report that was sent before the server left.
    server.report_once().await;
    fleet.store.set_down(false);
    tokio::time::sleep(WATCHED).await;
    let late = server.stated.lock().late_arrivals(&[ip(&fleet, host)]);
    assert_eq!(late, 0, "requests to a server that leaves");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// Requests may wait at the node for as long as it is paused.
#[tokio::test(flavor = "multi_thread")]
async fn requests_reach_a_leaving_server_after_its_node_was_paused() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers: Vec<_> = (0..5)
        .flat_map(|_| fleet.spawn_reusing_callers(&["maps"], Duration::from_millis(5)))
        .collect();
    let host = host_of("maps");
    let server = fleet.hosts[host].server.clone().unwrap();
    server.stated.lock().set_leaving();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.signal_node(host, "STOP");
    tokio::time::sleep(Duration::from_millis(2200)).await;
    fleet.signal_node(host, "CONT");
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(server.stated.lock().late_arrivals(&[]), 0, "requests to a server that leaves");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// A node that has just started has no server yet when the server's notice that it leaves arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_report_attaches_a_server_that_has_deregistered() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["maps"], Duration::from_millis(5));
    let host = host_of("maps");
    let server = fleet.hosts[host].server.clone().unwrap();
    server.stop_reports();
    fleet.store.set_down(true);
    fleet.hosts[host].node = None;
    fleet.start_node(host);
    tokio::time::sleep(Duration::from_millis(500)).await;
    server.deregister().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    server.report_once().await;
    fleet.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let from = Moment::now();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(server.stated.lock().arrivals_since(from), 0, "requests to a server that has left");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// A server may have told the former run of its node that it leaves, which nobody may remember.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_report_attaches_a_server_that_told_the_former_run_that_it_leaves() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let host = host_of("maps");
    let server = fleet.hosts[host].server.clone().unwrap();
    fleet.store.set_down(true);
    server.drain();
    tokio::time::sleep(Duration::from_secs(1)).await;
    server.stop_reports();
    for host in 0..fleet.hosts.len() {
        fleet.hosts[host].node = None;
        fleet.start_node(host);
    }
    fleet.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let callers = fleet.spawn_callers(&["maps"], Duration::from_millis(5));
    let from = Moment::now();
    server.report_once().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(server.stated.lock().arrivals_since(from), 0, "requests to a server that leaves");
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// Load pattern: the limits of two of four servers are a third of their load. Their keys move to the
/// others, which have room.
#[tokio::test(flavor = "multi_thread")]
async fn requests_for_keys_of_limited_servers_go_on_being_refused() {
    let mut fleet = Fleet::start(&[("books", 4)], Duration::from_millis(120)).await;
    for host in 0..4 {
        fleet.hosts[host].server.take().unwrap().crash();
        fleet.hosts[host].server_config.slots = 12;
        fleet.start_server(host).await;
    }
    until_all_served(&fleet, 1).await;
    let callers: Vec<_> =
        (0..12).flat_map(|_| fleet.spawn_callers(&["books"], Duration::from_millis(200))).collect();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let limited: Vec<_> =
        fleet.hosts[..2].iter().map(|host| host.server.clone().unwrap()).collect();
    limited.iter().for_each(|server| server.stated.lock().set_limit(Some("12")));
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.results.lock().clear();
    tokio::time::sleep(WATCHED).await;
    let statuses = fleet.statuses();
    let refused = statuses.get(&503).copied().unwrap_or(0);
    let all: u32 = statuses.values().sum();
    assert!(refused * 10 < all, "{statuses:?}");
    for server in &limited {
        let excess = server.stated.lock().excess(&[]);
        assert!(excess <= 0.0, "{excess} requests over the limit in 4 s");
    }
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// What a process says of itself does not concern its successor under the same ID, although
/// connections to it are still open.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_closes_its_successor_under_the_same_id() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_reusing_callers(&["maps"], Duration::from_millis(5));
    let host = host_of("maps");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let former = fleet.hosts[host].server.take().unwrap();
    let id = former.id.clone();
    former.close_listener();
    former.stop_reports();
    fleet.start_server_under(host, &id, Duration::ZERO).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    former.stated.lock().set_leaving();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let from = Moment::now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let next = fleet.hosts[host].server.clone().unwrap();
    let arrived = |server: &Server| server.stated.lock().arrivals_since(from);
    assert_eq!(arrived(&former), 0, "requests to the former process");
    assert!(arrived(&next) > 0, "no requests to the next process");
    former.crash();
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}
