//! Backend servers that are processes: stopped, paused, killed and restarted beside their nodes.

use std::time::Duration;

use super::platform::fleet::Fleet;
use super::platform::history::{HeldRange, Moment, conflicts};
use super::platform::server::{ServerConfig, Stop};
use super::{assert_no_violations, until_all_served, until_served};

/// Processing time of a request at a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Services and their numbers of hosts; the first service is keyed.
const SERVICES: &[(&str, u32)] = &[("books", 4)];
/// Delay of a grant's answer that is longer than the node waits for it.
const LATE_ANSWER: Duration = Duration::from_millis(120);
/// Time from the end of a listener to the report that its server drains.
const LATE_REPORT: Duration = Duration::from_millis(1000);
/// Longer than a lease.
const LONG_PAUSE: Duration = Duration::from_millis(2000);
/// Pause between the requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(10);

/// The stop of a server that closes its listener, answers grants late, and reports later still.
fn slow_stop() -> Stop {
    Stop { grant_delay: LATE_ANSWER, leave_delay: LATE_REPORT, ..Stop::default() }
}

/// Starts a deployment, calls `disturb` while callers go on, and checks what the servers recorded
/// until all keys are served again.
async fn check_ownership(stop: Stop, disturb: impl AsyncFnOnce(&mut Fleet)) {
    let configure = |_, config: &mut ServerConfig| config.stop = stop.clone();
    let mut fleet = Fleet::start_with_processes(SERVICES, SERVICE_TIME, configure).await;
    let callers = fleet.spawn_callers(&["books"], CALLER_PAUSE);
    disturb(&mut fleet).await;
    fleet.until_replaced().await;
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    println!("{:?}, {} excused", fleet.statuses(), fleet.excused().len());
    assert_no_violations(&fleet);
}

/// A stopping server closes its listener and goes on with its work.
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_of_a_stopping_server_are_given_away_while_it_holds_them() {
    check_ownership(slow_stop(), async |fleet| {
        fleet.hosts[0].processes[0].signal("TERM");
        fleet.pause(Duration::from_secs(4)).await;
    })
    .await;
}

/// A stopping server deregisters first, closes its listener, and goes on with its work.
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_of_a_deregistered_server_are_given_away_while_it_holds_them() {
    let stop = Stop { delete_first: true, grant_delay: LATE_ANSWER, ..Stop::default() };
    check_ownership(stop, async |fleet| {
        fleet.hosts[0].processes[0].signal("TERM");
        fleet.pause(Duration::from_secs(4)).await;
    })
    .await;
}

/// A second process starts at the address while the first goes on with its work.
#[tokio::test(flavor = "multi_thread")]
async fn two_processes_at_one_address_hold_the_same_keys() {
    check_ownership(slow_stop(), async |fleet| {
        fleet.hosts[0].processes[0].signal("TERM");
        fleet.pause(Duration::from_millis(100)).await;
        fleet.start_server_process(0, |_| ());
        fleet.pause(Duration::from_secs(5)).await;
    })
    .await;
}

/// The node asks whichever process accepts its connection to release keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_release_is_confirmed_by_another_process_than_the_holder() {
    let leave_delay = Duration::from_millis(500);
    let stop = Stop { close_answers: true, leave_delay, ..Stop::default() };
    check_ownership(stop, async |fleet| {
        fleet.hosts[0].processes[0].signal("TERM");
        fleet.start_server_process(0, |config| config.report_delay = Duration::from_secs(2));
        fleet.pause(Duration::from_secs(4)).await;
    })
    .await;
}

/// A server that starts again under its ID has forgotten its keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_restarted_under_its_id_is_granted_keys_under_tokens_of_its_former_life() {
    check_ownership(Stop::default(), async |fleet| {
        for _ in 0..4 {
            let last = fleet.hosts[0].processes.last_mut().unwrap();
            last.kill();
            fleet.start_server_process(0, |config| config.id = "i-0000000a".to_owned());
            fleet.pause(Duration::from_millis(900)).await;
        }
    })
    .await;
}

/// A paused server holds its keys until their time is over, and reads grants when it is resumed.
#[tokio::test(flavor = "multi_thread")]
async fn the_keys_of_a_paused_server_are_given_away_while_it_holds_them() {
    check_ownership(Stop::default(), async |fleet| {
        fleet.hosts[0].processes[0].signal("STOP");
        fleet.pause(LONG_PAUSE).await;
        fleet.hosts[0].processes[0].signal("CONT");
        fleet.pause(LONG_PAUSE).await;
    })
    .await;
}

/// A paused node resumes with an expired lease while its server still holds, or reads, its grants.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_node_renews_keys_that_were_taken_over() {
    check_ownership(Stop::default(), async |fleet| {
        for server_first in [false, true] {
            fleet.signal_node(0, "STOP");
            fleet.hosts[0].processes[0].signal("STOP");
            fleet.pause(LONG_PAUSE).await;
            if server_first {
                fleet.hosts[0].processes[0].signal("CONT");
                fleet.pause(Duration::from_millis(200)).await;
                fleet.signal_node(0, "CONT");
            } else {
                fleet.signal_node(0, "CONT");
                fleet.pause(Duration::from_millis(200)).await;
                fleet.hosts[0].processes[0].signal("CONT");
            }
            fleet.pause(LONG_PAUSE).await;
        }
    })
    .await;
}

/// The next run of a node finds another server at the address than the one that holds its keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_gives_the_keys_of_a_former_server_away_while_that_holds_them() {
    check_ownership(Stop::default(), async |fleet| {
        fleet.hosts[0].node = None;
        fleet.hosts[0].processes[0].signal("TERM");
        fleet.pause(Duration::from_millis(100)).await;
        fleet.start_server_process(0, |_| ());
        fleet.pause(Duration::from_millis(100)).await;
        fleet.start_node(0);
        fleet.pause(Duration::from_secs(4)).await;
    })
    .await;
}

/// The record of a former run names the server that it attached last, which need not be the one that
/// it granted keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_grants_keys_that_the_server_before_its_last_one_holds() {
    check_ownership(slow_stop(), async |fleet| {
        fleet.hosts[0].processes[0].signal("TERM");
        let next = fleet.start_server_process(0, |_| ());
        fleet.hosts[0].processes[next].until_listening().await;
        fleet.pause(Duration::from_millis(100)).await;
        fleet.hosts[0].node = None;
        fleet.start_node(0);
        fleet.pause(Duration::from_secs(4)).await;
    })
    .await;
}

/// A server may start again under its ID before its former process has ended.
#[tokio::test(flavor = "multi_thread")]
async fn two_processes_under_one_id_hold_the_same_keys() {
    let leave_delay = Duration::from_millis(500);
    let stop = Stop { close_answers: true, leave_delay, ..Stop::default() };
    let configure = |host, config: &mut ServerConfig| {
        config.stop = stop.clone();
        config.id = format!("i-0000000{host}");
    };
    let mut fleet = Fleet::start_with_processes(SERVICES, SERVICE_TIME, configure).await;
    let callers = fleet.spawn_callers(&["books"], CALLER_PAUSE);
    fleet.hosts[0].processes[0].signal("TERM");
    fleet.start_server_process(0, |config| {
        config.id = "i-00000000".to_owned();
        config.report_delay = Duration::from_secs(2);
    });
    fleet.pause(Duration::from_secs(4)).await;
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_no_violations(&fleet);
}

/// The next run of a node finds no listener, although the server that holds its keys runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_takes_a_stopping_server_for_ended() {
    let stop = Stop { grant_delay: LATE_ANSWER, ..Stop::default() };
    check_ownership(stop, async |fleet| {
        fleet.hosts[0].processes[0].signal("TERM");
        fleet.pause(Duration::from_millis(100)).await;
        fleet.hosts[0].node = None;
        fleet.start_node(0);
        fleet.pause(Duration::from_secs(4)).await;
    })
    .await;
}

/// The next run of a node starts while the former one still renews its lease and hands over keys.
#[tokio::test(flavor = "multi_thread")]
async fn two_runs_of_a_node_grant_the_same_keys() {
    check_ownership(Stop::default(), async |fleet| {
        for host in [0, 1] {
            fleet.replace_node(host);
            fleet.pause(Duration::from_millis(1500)).await;
        }
    })
    .await;
}

/// Owners merge adjacent ranges under a new token, also while a grant of one is not answered yet.
#[tokio::test(flavor = "multi_thread")]
async fn keys_whose_ranges_were_merged_during_a_grant_are_never_granted_again() {
    let configure = |_, config: &mut ServerConfig| config.grant_delay = Duration::from_millis(60);
    let mut fleet = Fleet::start_with_processes(SERVICES, SERVICE_TIME, configure).await;
    for host in [1, 2, 3] {
        fleet.hosts[host].processes[0].kill();
    }
    // The last owner takes all keys over, and merges their ranges soon after.
    until_all_served(&fleet, 0).await;
    fleet.pause(LONG_PAUSE).await;
    for key in (0..16).map(|i| i * 4096) {
        until_served(&fleet, 0, key).await;
    }
    assert_no_violations(&fleet);
}

/// A grant that was read late is excused for as long as it may have waited, and no longer.
#[test]
fn a_conflict_is_excused_although_the_grants_were_read_in_time() {
    let (start, second) = (Moment::now(), Duration::from_secs(1));
    let held = |token, from: Moment, delay: Duration| HeldRange {
        server: "i-1".to_owned(),
        life: token,
        keys: (0, 10),
        token,
        from,
        to: from.after(second),
        strict_to: from.after(second).before(delay),
        delay,
    };
    let found = |a, b| conflicts(&a, &b).iter().map(|c| c.excused).collect::<Vec<_>>();
    let (on_time, later) = (Duration::ZERO, start.after(second / 2));
    assert_eq!(found(held(1, start, on_time), held(2, later, on_time)), [false]);
    assert_eq!(found(held(1, start, second / 4), held(2, later, on_time)), [false]);
    assert_eq!(found(held(1, start, second * 3 / 4), held(2, later, on_time)), [true]);
    assert_eq!(found(held(2, start, on_time), held(1, later, second / 4)), [false, false]);
    assert_eq!(found(held(2, start, on_time), held(1, later, second)), [true, true]);
    assert!(found(held(1, start, on_time), held(2, start.after(second), on_time)).is_empty());
}
