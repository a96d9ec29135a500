//! A store that comes back from an older copy, and has lost what it acknowledged since.

use std::time::{Duration, Instant};

use kelpwind_stand_ins::proxy::Faults;
use rstest::rstest;

use super::platform::fleet::Fleet;
use super::platform::history::Moment;
use super::platform::store::EraHeader;
use super::{assert_no_violations, assert_serving};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 4)];
/// Time from the start until the copy.
const COPY_TIME: Duration = Duration::from_secs(4);
/// Time within which keys move from a draining server, or from a node that is silent.
const MOVE_TIME: Duration = Duration::from_millis(2500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(200);
/// Time from the store's return until nodes are replaced, and from then until the end.
const CALM: Duration = Duration::from_secs(3);
/// Longest time until all keys are served at the end.
const SERVED_WITHIN: Duration = Duration::from_secs(10);

/// Time after which keys that nobody has claimed are assigned, with some reserve.
const UNCLAIMED_WAIT: Duration = Duration::from_secs(10);

/// What moves keys between the copy and the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Two servers drain.
    Drains,
    /// A server drains and crashes, and another one starts in its place.
    NextServer,
    /// The same on two hosts, one after the other.
    TwoNextServers,
    /// A node is paused, and another one after the loss.
    Pauses,
}

/// What the store does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Store {
    /// Goes away and comes back from an older copy.
    Loses,
    /// The same, while reads go on waiting.
    LosesBesideReads,
    /// Goes away and comes back as it was.
    Keeps,
}

/// A node and the store do not reach each other.
fn cut() -> Faults {
    Faults { cut_forward: true, cut_backward: true, ..Faults::default() }
}

async fn next_server(fleet: &mut Fleet, host: usize) {
    fleet.hosts[host].server.as_ref().unwrap().drain();
    tokio::time::sleep(MOVE_TIME).await;
    fleet.hosts[host].server.take().unwrap().crash();
    fleet.start_server(host).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
}

async fn pause_node(fleet: &mut Fleet, host: usize) {
    fleet.signal_node(host, "STOP");
    tokio::time::sleep(MOVE_TIME).await;
    fleet.signal_node(host, "CONT");
}

async fn move_keys(fleet: &mut Fleet, cause: Cause) {
    match cause {
        Cause::Drains => {
            for host in [0, 1] {
                fleet.hosts[host].server.as_ref().unwrap().drain();
            }
            tokio::time::sleep(MOVE_TIME).await;
        }
        Cause::NextServer => next_server(fleet, 0).await,
        Cause::TwoNextServers => {
            next_server(fleet, 0).await;
            next_server(fleet, 1).await;
        }
        Cause::Pauses => {
            pause_node(fleet, 0).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }
}

/// Time until keys all over the range are served to callers on a host; `None` after
/// [`SERVED_WITHIN`].
async fn until_served(fleet: &Fleet, host: usize) -> Option<Duration> {
    let began = Instant::now();
    for key in (0..=u16::MAX).step_by(2500) {
        while fleet.call(host, "books", key, false).await.status != 200 {
            if began.elapsed() > SERVED_WITHIN {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Some(began.elapsed())
}

/// Checks that all keys are served and that no rule of ownership was broken.
async fn assert_sound(fleet: &Fleet, host: usize) {
    let served = until_served(fleet, host).await;
    let overlaps = fleet.overlaps();
    println!(
        "{} violations, {} overlaps, the longest {:?}; served after {served:?}; {:?}",
        fleet.violations().len(),
        overlaps.len(),
        overlaps.iter().max().copied().unwrap_or_default(),
        fleet.statuses(),
    );
    assert_no_violations(fleet);
    assert!(served.is_some(), "some keys are not served within {SERVED_WITHIN:?}");
}

/// Replaces nodes one after the other, and waits until they may have served.
async fn replace_nodes(fleet: &mut Fleet, hosts: &[usize]) {
    for host in hosts {
        fleet.replace_node(*host);
        fleet.until_replaced().await;
    }
    fleet.pause(CALM).await;
}

async fn run(cause: Cause, store: Store) {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    move_keys(&mut fleet, cause).await;
    fleet.store.set_park_reads(store == Store::LosesBesideReads);
    match store {
        Store::Loses | Store::LosesBesideReads => fleet.drill(AWAY).await,
        Store::Keeps => {
            fleet.store.set_down(true);
            tokio::time::sleep(AWAY).await;
            fleet.store.set_down(false);
        }
    }
    if cause == Cause::Pauses {
        pause_node(&mut fleet, 1).await;
    }
    tokio::time::sleep(CALM).await;
    replace_nodes(&mut fleet, &[2, 3]).await;
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_the_store_loses_drains() {
    run(Cause::Drains, Store::Loses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_the_store_loses_a_drain_and_a_restart() {
    run(Cause::NextServer, Store::Loses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_the_store_loses_two_restarts() {
    run(Cause::TwoNextServers, Store::Loses).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_the_store_loses_a_takeover() {
    run(Cause::Pauses, Store::Loses).await;
}

/// The same without a loss, to tell what the loss causes from what the outage does.
#[rstest]
#[case::drains(Cause::Drains)]
#[case::next_server(Cause::NextServer)]
#[case::two_next_servers(Cause::TwoNextServers)]
#[case::pauses(Cause::Pauses)]
#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_the_store_was_away(#[case] cause: Cause) {
    run(cause, Store::Keeps).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_the_store_loses_drains_while_reads_wait() {
    run(Cause::Drains, Store::LosesBesideReads).await;
}

#[rstest]
#[case::soon(Duration::from_millis(500))]
#[case::when_they_are_served(MOVE_TIME)]
#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_keys_of_a_lost_host_after_the_store_loses_their_takeover(
    #[case] loss_delay: Duration,
) {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.copy_before("keys/");
    fleet.hosts[0].node = None;
    fleet.hosts[0].server.take().unwrap().crash();
    let killed = Instant::now();
    while fleet.store.is_copy_due() {
        assert!(killed.elapsed() < Duration::from_secs(10), "no takeover within 10 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(loss_delay).await;
    fleet.drill(AWAY).await;
    tokio::time::sleep(CALM).await;
    replace_nodes(&mut fleet, &[2, 3]).await;
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 1).await;
}

#[rstest]
#[case::written_again_at_once(Duration::ZERO)]
#[case::written_again_after_a_second(Duration::from_secs(1))]
#[tokio::test(flavor = "multi_thread")]
async fn orders_are_out_of_force_after_the_store_loses_them(#[case] rewrite_delay: Duration) {
    const ROUTE: &str = r#"["new","new.example","/get/","safe",2.5,1.0,2,2,"books"]"#;
    /// A host alone in its failure domain.
    const EVACUATED: usize = 1;
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    fleet.store.set_rewrite_delay(rewrite_delay);
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    fleet.publish(SERVICES, ROUTE);
    fleet.store.publish("evacuate/zone-1", "{}");
    tokio::time::sleep(MOVE_TIME * 2).await;
    let id = fleet.hosts[EVACUATED].server.as_ref().unwrap().id.clone();
    let emptied = Moment::now();
    let is_used = || {
        fleet.history.with(|r| r.held.iter().any(|range| range.server == id && range.to > emptied))
    };
    assert!(!is_used(), "the evacuated server still holds keys");
    for host in 0..4 {
        assert_eq!(fleet.call(host, "new", 1, false).await.status, 200, "host {host}");
    }
    fleet.drill(AWAY).await;
    let until = Instant::now() + CALM * 2;
    let mut refused = 0;
    while Instant::now() < until {
        for host in 0..4 {
            refused += u32::from(fleet.call(host, "new", 1, false).await.status == 404);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("{refused} requests refused by an older configuration; server used: {}", is_used());
    assert_eq!(refused, 0, "requests refused by an older configuration");
    assert!(!is_used(), "the server of an evacuated failure domain was granted keys");
    assert_sound(&fleet, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_a_node_starts_right_after_the_loss() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    move_keys(&mut fleet, Cause::Drains).await;
    fleet.drill(AWAY).await;
    fleet.hosts[2].node = None;
    fleet.start_node(2);
    tokio::time::sleep(CALM * 2).await;
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_two_losses_within_a_second() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    move_keys(&mut fleet, Cause::Drains).await;
    fleet.drill(AWAY).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.drill(AWAY).await;
    tokio::time::sleep(CALM).await;
    replace_nodes(&mut fleet, &[2, 3]).await;
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_one_node_did_not_read_what_was_lost() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    fleet.set_faults(3, cut());
    fleet.hosts[0].server.as_ref().unwrap().drain();
    tokio::time::sleep(MOVE_TIME).await;
    fleet.drill(AWAY).await;
    fleet.set_faults(3, Faults::default());
    tokio::time::sleep(CALM).await;
    replace_nodes(&mut fleet, &[1, 2]).await;
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_served_after_all_nodes_are_killed_at_the_loss() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    move_keys(&mut fleet, Cause::NextServer).await;
    for host in 0..4 {
        fleet.hosts[host].node = None;
    }
    fleet.drill(AWAY).await;
    (0..4).for_each(|host| fleet.start_node(host));
    // With the limit for the last check, 15 s.
    tokio::time::sleep(Duration::from_secs(5)).await;
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 0).await;
}

#[rstest]
#[case::not_a_number(EraHeader::Raw("newest"))]
#[case::empty(EraHeader::Raw(""))]
#[case::too_large(EraHeader::Raw("99999999999999999999999"))]
#[case::falling(EraHeader::Raw("1"))]
#[case::missing(EraHeader::Absent)]
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_served_after_a_malformed_era(#[case] header: EraHeader) {
    const LINE: &str = "the store was restored from an older copy";
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    // From the second era on, so that it can fall.
    fleet.store.copy();
    fleet.drill(AWAY).await;
    tokio::time::sleep(CALM).await;
    let count = || (0..4).map(|host| fleet.log(host).matches(LINE).count()).sum::<usize>();
    let before = count();
    fleet.store.set_era_header(header);
    assert_serving(&fleet, 4, CALM).await;
    assert_eq!(count(), before, "a malformed era was taken for a new one");
    assert_sound(&fleet, 0).await;
}

/// A node starts while the store is away, and first reads it when it has come back from an older copy.
/// Another node is cut off from it and goes on by the former table.
#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_a_node_started_long_before_its_first_read() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    fleet.store.set_down(true);
    fleet.replace_node(0);
    fleet.until_replaced().await;
    fleet.pause(UNCLAIMED_WAIT).await;
    fleet.set_faults(3, cut());
    fleet.store.restore_copy();
    fleet.store.set_down(false);
    tokio::time::sleep(CALM).await;
    fleet.set_faults(3, Faults::default());
    fleet.pause(CALM).await;
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 2).await;
}

/// Two nodes do not reach the store until others have been assigned their keys.
#[tokio::test(flavor = "multi_thread")]
async fn two_servers_hold_the_same_keys_after_nodes_reach_the_store_late() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let callers = fleet.spawn_callers(&["books"], Duration::from_millis(10));
    tokio::time::sleep(COPY_TIME).await;
    fleet.store.copy();
    [1, 3].iter().for_each(|host| fleet.set_faults(*host, cut()));
    fleet.drill(AWAY).await;
    tokio::time::sleep(UNCLAIMED_WAIT).await;
    for host in [1, 3] {
        fleet.set_faults(host, Faults::default());
        fleet.pause(CALM).await;
    }
    callers.iter().for_each(|c| c.abort());
    assert_sound(&fleet, 2).await;
}
