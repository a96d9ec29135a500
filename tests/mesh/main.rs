//! Whole deployments on the users' machines: the program's own processes, with stand-ins for the
//! store and the backend servers.
//!
//! They are a test program of their own: beside the other tests of whole deployments, all would measure
//! how busy the machine is.

mod explaining;
#[path = "../users/mod.rs"]
mod users;

use std::time::{Duration, Instant};

use kelpwind_stand_ins::proxy::Faults;

use users::fleet::Fleet;

const WORK: Duration = Duration::from_millis(20);
const SERVICES: &[(&str, u32)] = &[("books", 3), ("maps", 2)];

/// Calls for one key until it is answered with 200, and returns how long that took.
async fn until_served(fleet: &Fleet, machine: usize, key: u16) -> Duration {
    let began = Instant::now();
    while fleet.call(machine, "books", key, false).await.status != 200 {
        assert!(began.elapsed() < Duration::from_secs(20), "the key is not served again");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    began.elapsed()
}

/// Waits until keys of the whole range are served to callers on a machine.
async fn until_all_served(fleet: &Fleet, machine: usize) {
    for key in [0, 10_000, 30_000, 50_000, 65_535] {
        until_served(fleet, machine, key).await;
    }
}

fn assert_kept(fleet: &Fleet) {
    let broken = fleet.check();
    assert!(broken.is_empty(), "{} broken, the first: {}", broken.len(), broken[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quiet_deployment_serves_every_request_from_every_machine() {
    let fleet = Fleet::start(SERVICES, WORK).await;
    for i in 0..100_u16 {
        let service = if i % 3 == 0 { "maps" } else { "books" };
        let told = fleet.call(usize::from(i) % 5, service, i.wrapping_mul(653), i % 2 == 0).await;
        assert_eq!(told.status, 200, "{told:?}");
    }
    let unknown = fleet.call(0, "nowhere", 1, false).await;
    assert_eq!(unknown.status, 404);
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_machine_s_keys_find_another_owner() {
    let mut fleet = Fleet::start(SERVICES, WORK).await;
    let callers = fleet.callers(&["books"], Duration::from_millis(10));
    fleet.machines[0].node = None;
    fleet.machines[0].server.take().unwrap().crash();
    until_all_served(&fleet, 1).await;
    callers.iter().for_each(|c| c.abort());
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_again_goes_on_with_its_server_s_keys() {
    let mut fleet = Fleet::start(SERVICES, WORK).await;
    let callers = fleet.callers(&["books"], Duration::from_millis(10));
    for machine in [0, 1, 2] {
        fleet.machines[machine].node = None;
        fleet.start_node(machine);
    }
    until_all_served(&fleet, 3).await;
    callers.iter().for_each(|c| c.abort());
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_again_serves_before_its_server_reports() {
    let mut fleet = Fleet::start(&[("books", 1)], WORK).await;
    fleet.machines[0].server.as_ref().unwrap().fall_silent();
    fleet.machines[0].node = None;
    fleet.start_node(0);
    for key in [0, 30_000, 65_535] {
        until_served(&fleet, 0, key).await;
    }
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_node_that_started_again_and_was_lost_find_another_owner() {
    /// Long enough to be a member in the new incarnation, and too short to give its keys away.
    const LIFE: Duration = Duration::from_millis(700);
    let mut fleet = Fleet::start(SERVICES, WORK).await;
    fleet.machines[0].node = None;
    fleet.machines[0].server.take().unwrap().crash();
    fleet.start_node(0);
    tokio::time::sleep(LIFE).await;
    fleet.machines[0].node = None;
    until_all_served(&fleet, 1).await;
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_record_was_lost_for_a_while_answers_no_request_with_an_older_one_s_answer() {
    /// Time in which entries drop their links to a node that is a member no more.
    const DROP_TIME: Duration = Duration::from_millis(1900);
    let fleet = Fleet::start(SERVICES, WORK).await;
    futures_util::future::join_all((0..30).map(|key| fleet.call(0, "maps", key, false))).await;
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    fleet.set_faults(3, cut);
    let lost = fleet.store.forget(&fleet.machines[3].ip.to_string());
    tokio::time::sleep(DROP_TIME).await;
    fleet.store.restore(lost);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let again = (100..130).map(|key| fleet.call(0, "maps", key, false));
    let told = futures_util::future::join_all(again).await;
    let failed: Vec<_> = told.iter().filter(|t| t.status != 200).collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_anew_between_two_grants_gets_higher_tokens() {
    let mut fleet = Fleet::start(SERVICES, WORK).await;
    let callers = fleet.callers(&["books"], Duration::from_millis(10));
    for round in 0..12 {
        let machine = round % 3;
        fleet.machines[machine].server.take().unwrap().crash();
        fleet.start_server_unannounced(machine, Duration::from_millis(700)).await;
        tokio::time::sleep(Duration::from_millis(350)).await;
    }
    until_all_served(&fleet, 3).await;
    callers.iter().for_each(|c| c.abort());
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn owners_go_on_while_the_store_is_down() {
    let fleet = Fleet::start(SERVICES, WORK).await;
    fleet.store.set_down(true);
    let until = Instant::now() + Duration::from_secs(4);
    let mut key = 0_u16;
    while Instant::now() < until {
        key = key.wrapping_add(4099);
        let told = fleet.call(usize::from(key) % 5, "books", key, false).await;
        assert_eq!(told.status, 200, "{told:?}");
    }
    fleet.store.set_down(false);
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_cut_off_from_the_store_goes_on_and_a_leaving_one_steps_back() {
    let fleet = Fleet::start(SERVICES, WORK).await;
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    fleet.set_faults(0, cut);
    for i in 0..40_u16 {
        let told = fleet.call(3, "books", i * 1601, false).await;
        assert_eq!(told.status, 200, "{told:?}");
    }
    fleet.machines[0].server.as_ref().unwrap().drain();
    tokio::time::sleep(Duration::from_secs(2)).await;
    until_all_served(&fleet, 3).await;
    fleet.set_faults(0, Faults::default());
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let mut fleet = Fleet::start(SERVICES, WORK).await;
    let callers = fleet.callers(&["books", "maps"], Duration::from_millis(10));
    tokio::time::sleep(Duration::from_millis(300)).await;
    for machine in [0, 3] {
        let node = fleet.machines[machine].node.as_mut().unwrap();
        node.signal("TERM");
        // Its own callers are sent elsewhere by the platform; here they end with it.
        assert!(node.wait().success());
    }
    callers.iter().for_each(|c| c.abort());
    let told = fleet.told.lock().clone();
    let cut: Vec<_> = told.iter().filter(|t| matches!(t.status, 502 | 504)).collect();
    assert!(cut.is_empty(), "{} requests were cut, the first: {:?}", cut.len(), cut[0]);
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_do_no_harm() {
    let fleet = Fleet::start(SERVICES, WORK).await;
    fleet.store.set_mute(true);
    fleet.machines[1].server.as_ref().unwrap().drain();
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.store.set_mute(false);
    until_all_served(&fleet, 3).await;
    assert_kept(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_and_never_goes_back() {
    let mut fleet = Fleet::start(SERVICES, WORK).await;
    let extra = r#"["new","new.example","/get/","safe",2.5,1.0,2,2,"maps"]"#;
    fleet.publish(SERVICES, extra);
    let until = Instant::now() + Duration::from_secs(10);
    for machine in 0..5 {
        while fleet.call(machine, "new", 1, false).await.status != 200 {
            assert!(Instant::now() < until, "the route is not in force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet.store.set_down(true);
    for machine in 0..5 {
        assert_eq!(fleet.call(machine, "new", 1, false).await.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_overload_is_refused_with_the_time_to_come_back() {
    let fleet = Fleet::start(&[("books", 1)], Duration::from_millis(300)).await;
    let calls = (0..60).map(|i| fleet.call(0, "books", i, false));
    let told = futures_util::future::join_all(calls).await;
    let refused: Vec<_> = told.iter().filter(|t| t.status == 503).collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|t| t.retry.is_some()), "{refused:?}");
    assert!(told.iter().filter(|t| t.status == 200).count() >= 6);
    assert_kept(&fleet);
}
