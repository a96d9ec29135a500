//! Two runs of a node under one name, and the backend servers beside them.

use std::time::{Duration, Instant};

use kelpwind_stand_ins::proxy::Faults;
use rstest::rstest;

use super::platform::fleet::Fleet;
use super::{assert_no_violations, until_all_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 4)];
/// Time after which the keys of an owner whose record was replaced have been given to others.
const REASSIGNMENT_TIME: Duration = Duration::from_secs(7);

/// A host that replaces another one may get its name, but has another address. It must count as
/// another node, also while the former one lives.
#[rstest]
#[case::alive(&[])]
#[case::in_its_grace_period(&["TERM"])]
#[case::paused_for_seconds(&["STOP", "CONT"])]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_under_the_name_of_a_former_one_shares_no_keys_with_it(#[case] signals: &[&str]) {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    if let Some(first) = signals.first() {
        fleet.hosts[0].node.as_ref().unwrap().signal(first);
    }
    fleet.add_host_named_as(0).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    for next in signals.iter().skip(1) {
        fleet.hosts[0].node.as_ref().unwrap().signal(next);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// The former server closes its listener but holds the keys of the former run's grants.
#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_a_node_restarts_beside_another_server() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    let former = fleet.hosts[0].server.take().unwrap();
    former.stop_reports();
    former.close_listener();
    tokio::time::sleep(Duration::from_millis(20)).await;
    fleet.hosts[0].node = None;
    fleet.start_node(0);
    fleet.start_server_reporting_after(0, Duration::from_millis(60)).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    former.crash();
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// The store carries out a write of the former run after the present run was cut off from it. The
/// present run still renews its lease.
#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_a_late_record_of_a_former_run() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    let former = fleet.store.newest_matching(&fleet.hosts[0].ip.to_string());
    fleet.hosts[0].node = None;
    fleet.start_node(0);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    fleet.set_faults(0, cut);
    fleet.store.restore(former);
    tokio::time::sleep(REASSIGNMENT_TIME).await;
    fleet.set_faults(0, Faults::default());
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// The present run must write its record again, but once.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_record_of_a_former_run_stays_or_causes_many_writes() {
    const WRITES_MAX: usize = 3;
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let ip = fleet.hosts[0].ip.to_string();
    let former = fleet.store.newest_matching(&ip);
    fleet.hosts[0].node = None;
    fleet.start_node(0);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = fleet.store.count_matching(&ip);
    fleet.store.restore(former.clone());
    tokio::time::sleep(Duration::from_secs(3)).await;
    let writes = fleet.store.count_matching(&ip) - before - 1;
    assert!((1..=WRITES_MAX).contains(&writes), "{writes} writes");
    assert_ne!(fleet.store.newest_matching(&ip), former);
    until_all_served(&fleet, 0).await;
    assert_no_violations(&fleet);
}

/// Only the record of the later run is simulated; its keys are taken over after a second.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_replaced_by_a_later_one_fights_for_its_record_or_goes_on_granting() {
    /// Time within which a node learns of a record.
    const READ_TIME: Duration = Duration::from_millis(700);
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let ip = fleet.hosts[0].ip.to_string();
    let server = fleet.hosts[0].server.as_ref().unwrap().id.clone();
    let held_until =
        || fleet.history.with(|r| r.held.iter().filter(|h| h.server == server).map(|h| h.to).max());
    let before = fleet.store.count_matching(&ip);
    let own = incarnation(&fleet, &ip);
    write_later_record(&fleet, &ip);
    tokio::time::sleep(READ_TIME).await;
    let until = held_until();
    assert_eq!(fleet.store.count_matching(&ip) - before, 1, "writes of the node's record");
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(held_until(), until, "the server was granted keys");
    until_all_served(&fleet, 1).await;
    tokio::time::sleep(REASSIGNMENT_TIME).await;
    until_all_served(&fleet, 0).await;
    assert!(incarnation(&fleet, &ip) > own, "the node joins again, in a new incarnation");
    assert_no_violations(&fleet);
}

/// The replaced run does not learn of it, but its witnesses do.
#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_a_run_cut_off_from_the_store_is_replaced() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    fleet.set_faults(0, cut);
    write_later_record(&fleet, &fleet.hosts[0].ip.to_string());
    tokio::time::sleep(REASSIGNMENT_TIME).await;
    fleet.set_faults(0, Faults::default());
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// Writes the record of the node at an address as a later run would.
fn write_later_record(fleet: &Fleet, ip: &str) {
    let own = incarnation(fleet, ip);
    let later = u64::from_str_radix(&own, 16).unwrap() + (1 << 41);
    fleet.store.replace_in_matching(ip, &own, &format!("{later:016x}"));
}

/// Incarnation in the newest record of the node at an address.
fn incarnation(fleet: &Fleet, ip: &str) -> String {
    let records = fleet.store.newest_matching(ip);
    let member: serde_json::Value = serde_json::from_slice(&records[0].1.1).unwrap();
    member["holder"].as_str().unwrap().rsplit_once('/').unwrap().1.to_owned()
}

/// The node has reclaimed its keys, but has no witnesses yet who could take over from it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_node_lost_while_it_joins_stay_without_an_owner(
    #[values(60, 140, 220)] uptime_ms: u64,
) {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    fleet.hosts[0].node = None;
    fleet.start_node(0);
    tokio::time::sleep(Duration::from_millis(uptime_ms)).await;
    fleet.hosts[0].node = None;
    fleet.hosts[0].server.take().unwrap().crash();
    until_all_served(&fleet, 1).await;
    assert_no_violations(&fleet);
}

/// Others keep an idle link to a gate that stops, over which it has told them so.
#[tokio::test(flavor = "multi_thread")]
async fn the_only_gate_of_a_service_gets_requests_again_after_it_was_replaced_while_idle() {
    const SERVED_WITHIN: Duration = Duration::from_secs(5);
    let services = [("books", 1), ("maps", 1)];
    let mut fleet = Fleet::start(&services, Duration::from_millis(20)).await;
    for _ in 0..2 {
        assert_eq!(fleet.call(0, "maps", 0, false).await.status, 200);
        fleet.replace_node(1);
        fleet.until_replaced().await;
        let began = Instant::now();
        while fleet.call(0, "maps", 0, false).await.status != 200 {
            assert!(began.elapsed() < SERVED_WITHIN, "not served within {SERVED_WITHIN:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    assert_no_violations(&fleet);
}
