//! Whole deployments on the simulated platform: node processes of the real program, with a
//! simulated store, backend servers and callers.
//!
//! This is a separate test binary because cargo runs test binaries one after the other. If these
//! tests ran at the same time as other tests of whole deployments, their timing would depend on the
//! load of the machine.

mod admission;
mod configuration;
mod crashing_requests;
mod endless_answers;
mod explain_request;
mod http_limits;
mod large_messages;
mod malformed_messages;
mod node_runs;
mod odd_numbers;
mod planned_stops;
#[path = "../platform/mod.rs"]
mod platform;
mod repeated_requests;
mod report_grants;
mod server_lifecycle;
mod server_processes;
mod server_statements;
mod store_restore;
mod tenants;
mod work_routing;

use std::time::{Duration, Instant};

use kelpwind_stand_ins::proxy::Faults;

use platform::fleet::Fleet;

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 3), ("maps", 2)];

/// Sends requests for one key until one is answered with 200, and returns the time taken.
async fn until_served(fleet: &Fleet, host: usize, key: u16) -> Duration {
    let began = Instant::now();
    while fleet.call(host, "books", key, false).await.status != 200 {
        assert!(began.elapsed() < Duration::from_secs(20), "key {key} is not served within 20 s");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    began.elapsed()
}

/// Waits until sample keys of the whole key range are served to callers on a host.
async fn until_all_served(fleet: &Fleet, host: usize) {
    for key in [0, 10_000, 30_000, 50_000, 65_535] {
        until_served(fleet, host, key).await;
    }
}

/// Checks that requests for keys all over the range are served to callers on the first hosts.
async fn assert_serving(fleet: &Fleet, hosts: usize, time: Duration) {
    let until = Instant::now() + time;
    let mut key = 0_u16;
    while Instant::now() < until {
        key = key.wrapping_add(4099);
        let result = fleet.call(usize::from(key) % hosts, "books", key, false).await;
        assert_eq!(result.status, 200, "key {key}: {result:?}");
    }
}

fn assert_no_violations(fleet: &Fleet) {
    let found = fleet.violations();
    assert!(found.is_empty(), "{} violations, the first: {}", found.len(), found[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_faults_every_request_from_every_host_is_served() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    for i in 0..100_u16 {
        let service = if i % 3 == 0 { "maps" } else { "books" };
        let result = fleet.call(usize::from(i) % 5, service, i.wrapping_mul(653), i % 2 == 0).await;
        assert_eq!(result.status, 200, "{result:?}");
    }
    let unknown = fleet.call(0, "nowhere", 1, false).await;
    assert_eq!(unknown.status, 404);
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_lost_host_are_taken_over() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    fleet.hosts[0].node = None;
    fleet.hosts[0].server.take().unwrap().crash();
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// Record keys are those of nodes that know of no eras.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_lost_host_are_taken_over_with_a_store_that_states_no_era() {
    let mut fleet = Fleet::start_without_eras(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    fleet.hosts[0].node = None;
    fleet.hosts[0].server.take().unwrap().crash();
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
    let records = fleet.store.newest_matching("keys/books/");
    assert!(records.iter().all(|(_, (key, _))| key.starts_with("keys/")), "{records:?}");
    assert_eq!(records.len(), 64);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes_keep_serving_their_servers_keys() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    for host in [0, 1, 2] {
        fleet.hosts[host].node = None;
        fleet.start_node(host);
    }
    until_all_served(&fleet, 3).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_serves_without_a_report_of_its_server() {
    let mut fleet = Fleet::start(&[("books", 1)], SERVICE_TIME).await;
    fleet.hosts[0].server.as_ref().unwrap().stop_reports();
    fleet.hosts[0].node = None;
    fleet.start_node(0);
    for key in [0, 30_000, 65_535] {
        until_served(&fleet, 0, key).await;
    }
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_node_lost_right_after_its_restart_are_taken_over() {
    /// Long enough for the node to join under its new incarnation, too short to hand over its keys.
    const UPTIME: Duration = Duration::from_millis(700);
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    fleet.hosts[0].node = None;
    fleet.hosts[0].server.take().unwrap().crash();
    fleet.start_node(0);
    tokio::time::sleep(UPTIME).await;
    fleet.hosts[0].node = None;
    until_all_served(&fleet, 1).await;
    assert_no_violations(&fleet);
}

/// Entries drop their link to a node whose record is deleted, and open a new one when it is
/// restored. If the new link reused the session, its requests, numbered from 1 again, would get the
/// answers that the gate still keeps for the old link.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_record_was_deleted_for_a_while_sends_no_answer_to_another_request() {
    /// Time within which entries drop their links to a node that is no longer a member.
    const LINK_DROP_TIME: Duration = Duration::from_millis(1900);
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    futures_util::future::join_all((0..30).map(|key| fleet.call(0, "maps", key, false))).await;
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    fleet.set_faults(3, cut);
    let deleted = fleet.store.delete_matching(&fleet.hosts[3].ip.to_string());
    tokio::time::sleep(LINK_DROP_TIME).await;
    fleet.store.restore(deleted);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let again = (100..130).map(|key| fleet.call(0, "maps", key, false));
    let results = futures_util::future::join_all(again).await;
    let failed: Vec<_> = results.iter().filter(|r| r.status != 200).collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_restarted_between_two_grants_gets_higher_tokens() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    for round in 0..12 {
        let host = round % 3;
        fleet.hosts[host].server.take().unwrap().crash();
        fleet.start_server_reporting_after(host, Duration::from_millis(700)).await;
        tokio::time::sleep(Duration::from_millis(350)).await;
    }
    until_all_served(&fleet, 3).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn owners_keep_serving_while_the_store_is_down() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    fleet.store.set_down(true);
    assert_serving(&fleet, 5, Duration::from_secs(4)).await;
    fleet.store.set_down(false);
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_off_from_the_store_keeps_serving_until_its_server_drains() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    fleet.set_faults(0, cut);
    for i in 0..40_u16 {
        let result = fleet.call(3, "books", i * 1601, false).await;
        assert_eq!(result.status, 200, "{result:?}");
    }
    fleet.hosts[0].server.as_ref().unwrap().drain();
    tokio::time::sleep(Duration::from_secs(2)).await;
    until_all_served(&fleet, 3).await;
    fleet.set_faults(0, Faults::default());
    assert_no_violations(&fleet);
}

/// Servers end work with an error that outlasts the grant in force when it began. Each request here
/// takes most of the time that its latency objective allows.
#[tokio::test(flavor = "multi_thread")]
async fn work_that_takes_most_of_its_objective_ends_within_its_grant() {
    let fleet = Fleet::start(&[("books", 3)], Duration::from_millis(750)).await;
    let calls = (0..36).map(async |i: u16| {
        tokio::time::sleep(Duration::from_millis(150) * i.into()).await;
        fleet.call(usize::from(i) % 3, "books", i * 1801, false).await
    });
    let results = futures_util::future::join_all(calls).await;
    let failed: Vec<_> = results.iter().filter(|r| r.status != 200).collect();
    assert!(failed.is_empty(), "{} failed, the first: {:?}", failed.len(), failed[0]);
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books", "maps"], Duration::from_millis(10));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for host in [0, 3] {
        let node = fleet.hosts[host].node.as_mut().unwrap();
        node.signal("TERM");
        // The platform redirects callers of a stopping host; here their connections fail.
        assert!(node.wait().success());
    }
    callers.iter().for_each(|c| c.abort());
    let results = fleet.results.lock().clone();
    let interrupted: Vec<_> = results.iter().filter(|r| matches!(r.status, 502 | 504)).collect();
    assert!(
        interrupted.is_empty(),
        "{} requests were interrupted, the first: {:?}",
        interrupted.len(),
        interrupted[0]
    );
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_draining_server_are_served_after_the_store_dropped_replies() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    fleet.store.set_drop_replies(true);
    fleet.hosts[1].server.as_ref().unwrap().drain();
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.store.set_drop_replies(false);
    until_all_served(&fleet, 3).await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_reaches_every_node_and_outlasts_a_store_outage() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let extra = r#"["new","new.example","/get/","safe",2.5,1.0,2,2,"maps"]"#;
    fleet.publish(SERVICES, extra);
    let until = Instant::now() + Duration::from_secs(10);
    for host in 0..5 {
        while fleet.call(host, "new", 1, false).await.status != 200 {
            assert!(Instant::now() < until, "host {host} does not serve the new route within 10 s");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet.store.set_down(true);
    for host in 0..5 {
        assert_eq!(fleet.call(host, "new", 1, false).await.status, 200);
    }
}

/// The link carries some 200 KB/s, so the node takes seconds to read the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_restarted_on_a_slow_link_reads_a_large_configuration_and_serves() {
    const ROUTES: usize = 3000;
    const HOST: usize = 3;
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let row = |i| format!(r#"["extra-{i}","extra-{i}.example","/get/","safe",2.5,1.0,2,2,"maps"]"#);
    let rows: Vec<_> = (0..ROUTES).map(row).collect();
    fleet.publish(SERVICES, &rows.join(","));
    fleet.hosts[HOST].node = None;
    fleet.set_faults(HOST, Faults { delay_ms: 80, ..Faults::default() });
    fleet.start_node(HOST);
    until_all_served(&fleet, HOST).await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_rejected_under_overload_get_retry_after() {
    let fleet = Fleet::start(&[("books", 1)], Duration::from_millis(300)).await;
    let calls = (0..60).map(|i| fleet.call(0, "books", i, false));
    let results = futures_util::future::join_all(calls).await;
    let rejected: Vec<_> = results.iter().filter(|r| r.status == 503).collect();
    assert!(!rejected.is_empty());
    assert!(rejected.iter().all(|r| r.retry_after.is_some()), "{rejected:?}");
    assert!(results.iter().filter(|r| r.status == 200).count() >= 6);
    assert_no_violations(&fleet);
}

/// The link between the nodes carries some 400 KB/s.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_takes_a_second_to_arrive_from_a_node_reaches_the_caller() {
    const SIZE: usize = 500_000;
    let mut fleet = Fleet::start(&[("books", 1), ("maps", 1)], SERVICE_TIME).await;
    fleet.divert_peers(0, Faults { delay_ms: 40, ..Faults::default() }).await;
    // The entry learns the address with its next read of the table.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let began = Instant::now();
    let result = fleet.call_for_large_answer(1, "books", 5, SIZE).await;
    assert!(began.elapsed() > Duration::from_secs(1), "the link is not slow");
    assert_eq!(result.status, 200);
    assert!(result.body.len() > SIZE);
}
