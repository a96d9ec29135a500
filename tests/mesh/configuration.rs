//! Configurations that a node reads late, and what its callers get meanwhile.

use std::time::{Duration, Instant};

use kelpwind_stand_ins::proxy::Faults;
use rstest::rstest;

use crate::platform::fleet::Fleet;
use crate::{SERVICE_TIME, SERVICES};

/// Time within which an acknowledged configuration must be in force everywhere.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Time after the end of a fault until the affected node counts as in contact again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The host whose connection to the store is faulty.
const FAULTY: usize = 4;

/// Rows of the table of routes: one for the host `new.example`, and `others` for other hosts.
fn rows(others: u32) -> String {
    let other = |i| {
        format!(
            r#"["new-{i}","new-{i}.example","/get/","safe",2.5,1.0,2,2,"maps"],{}"#,
            " ".repeat(100)
        )
    };
    let others: String = (0..others).map(other).collect();
    format!(r#"{others}["new","new.example","/get/","safe",2.5,1.0,2,2,"maps"]"#)
}

async fn status(fleet: &Fleet, host: usize, service: &str) -> u16 {
    fleet.call(host, service, 1, false).await.status
}

/// Waits until a host serves the new route, and fails if that takes longer than `within`.
async fn until_new_route_served(fleet: &Fleet, host: usize, within: Duration) {
    let until = Instant::now() + within;
    loop {
        let last = status(fleet, host, "new").await;
        if last == 200 {
            return;
        }
        assert!(Instant::now() < until, "host {host} answers {last} after {within:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Other nodes announce the configuration while this node still receives it.
#[rstest]
#[case::slow_answers(150, 0)]
#[case::large_configuration(25, 1400)]
#[case::answers_that_begin_after_a_second(550, 0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_reaches_a_node_that_takes_long_to_read_it(
    #[case] delay_ms: u64,
    #[case] other_routes: u32,
) {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    fleet.set_faults(FAULTY, Faults { delay_ms, ..Faults::default() });
    fleet.publish(SERVICES, &rows(other_routes));
    for host in 0..fleet.hosts.len() {
        until_new_route_served(&fleet, host, APPLY_TIME).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_that_the_node_cannot_know_yet_is_not_refused_as_unknown() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    fleet.set_faults(FAULTY, cut);
    fleet.publish(SERVICES, &rows(0));
    until_new_route_served(&fleet, 0, APPLY_TIME).await;
    for _ in 0..20 {
        let result = fleet.call(FAULTY, "new", 1, false).await;
        assert_eq!(result.status, 503, "{result:?}");
        assert!(result.retry_after.is_some(), "{result:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.set_faults(FAULTY, Faults::default());
    until_new_route_served(&fleet, FAULTY, CONTACT_TIME).await;
    assert_eq!(status(&fleet, FAULTY, "nowhere").await, 404);
}

// No node has read the configuration when its first request arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_route_used_right_after_its_publication_is_not_refused_as_unknown() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    for host in 0..fleet.hosts.len() {
        fleet.set_faults(host, Faults { delay_ms: 80, ..Faults::default() });
    }
    fleet.publish(SERVICES, &rows(0));
    let calls = (0..fleet.hosts.len()).map(|host| fleet.call(host, "new", 1, false));
    for result in futures_util::future::join_all(calls).await {
        assert_eq!(result.status, 200, "{result:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_route_is_refused_with_404_only_while_the_store_answers() {
    let fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    tokio::time::sleep(CONTACT_TIME).await;
    for host in 0..fleet.hosts.len() {
        assert_eq!(status(&fleet, host, "nowhere").await, 404);
    }
    fleet.store.set_down(true);
    tokio::time::sleep(CONTACT_TIME).await;
    for host in 0..fleet.hosts.len() {
        assert_eq!(status(&fleet, host, "nowhere").await, 503);
        assert_eq!(status(&fleet, host, "maps").await, 200);
    }
    fleet.store.set_down(false);
    tokio::time::sleep(CONTACT_TIME).await;
    assert_eq!(status(&fleet, 0, "nowhere").await, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_of_a_configuration_that_cannot_be_decoded_is_not_refused_as_unknown() {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let invalid = r#"["new","new.example","/get/","safe",-1,1.0,2,2,"maps"]"#;
    fleet.publish(SERVICES, invalid);
    tokio::time::sleep(APPLY_TIME).await;
    for host in 0..fleet.hosts.len() {
        assert_eq!(status(&fleet, host, "new").await, 503);
        assert_eq!(status(&fleet, host, "maps").await, 200);
    }
    fleet.publish(SERVICES, &rows(0));
    until_new_route_served(&fleet, 0, APPLY_TIME).await;
    assert_eq!(status(&fleet, 0, "nowhere").await, 404);
}

// An outage may end right after any of these reads was sent. No answer to it will come then, so the
// next one must follow before the node counts as in contact again.
#[rstest]
#[case::nothing_is_known_of_newer_orders(false)]
#[case::others_have_newer_orders(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_asked_during_an_outage_does_not_delay_reads_of_the_orders(#[case] behind: bool) {
    let mut fleet = Fleet::start(SERVICES, SERVICE_TIME).await;
    let cut = Faults { cut_forward: true, cut_backward: true, ..Faults::default() };
    if behind {
        fleet.set_faults(FAULTY, cut.clone());
        fleet.publish(SERVICES, &rows(0));
        until_new_route_served(&fleet, 0, APPLY_TIME).await;
    }
    for host in (0..fleet.hosts.len()).filter(|host| *host != FAULTY) {
        fleet.set_faults(host, cut.clone());
    }
    fleet.store.silence();
    fleet.set_faults(FAULTY, Faults { silence: 1, ..Faults::default() });
    assert_eq!(status(&fleet, FAULTY, "new").await, 503);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let reads = fleet.store.silent_reads();
    let gaps: Vec<_> = reads.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let longest = gaps.iter().max().expect("several reads");
    println!("{} reads, gaps {gaps:?}", reads.len());
    assert!(*longest < CONTACT_TIME, "no read for {longest:?}");
}
