//! Decision functions without I/O: choice of a target, concurrency limit, quantile, retry budget,
//! availability and witness sets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use kelpwind::core::codes::Code;
use kelpwind::core::ids::{Count, Holder, Incarnation};
use kelpwind::core::record::Member;
use kelpwind::gate::limiter::Limiter;
use kelpwind::lease::clock::BootInstant;
use kelpwind::lease::set::{self, Urgency};
use kelpwind::route::answer_times::{AnswerTimes, may_begin};
use kelpwind::route::availability::{Availability, UNAVAILABLE_TIME};
use kelpwind::route::budget::{Budget, BudgetShare};
use kelpwind::route::picker::{Candidate, choose};
use kelpwind::route::quantile::Quantile;
use proptest::prelude::*;
use rstest::rstest;

const TYPICAL: Candidate =
    Candidate { busy: 6, limit: 12, latency: 40.0, same_domain: true, suspect: false };

fn choice_counts(all: &[Candidate], draws: usize) -> Vec<usize> {
    let mut random = fastrand::Rng::with_seed(3);
    let mut counts = vec![0; all.len()];
    for _ in 0..draws {
        counts[choose(all, |n| random.usize(..n)).unwrap()] += 1;
    }
    counts
}

#[test]
fn an_idle_straggler_is_not_chosen_before_busy_targets() {
    let straggler = Candidate { busy: 0, latency: 800.0, ..TYPICAL };
    let busy = Candidate { busy: 13, ..TYPICAL };
    let counts = choice_counts(&[straggler, busy, busy, busy], 1000);
    assert_eq!(counts[0], 0, "{counts:?}");
}

#[test]
fn an_idle_target_in_the_same_domain_is_preferred_until_it_is_full() {
    let idle = Candidate { busy: 0, ..TYPICAL };
    let remote = Candidate { same_domain: false, ..idle };
    assert_eq!(choice_counts(&[idle, remote, remote], 300), [300, 0, 0]);
    let full = Candidate { busy: 12, ..TYPICAL };
    assert_eq!(choice_counts(&[full, remote, remote], 300)[0], 0);
}

#[test]
fn suspect_targets_are_chosen_only_if_there_is_no_other() {
    let suspect = Candidate { suspect: true, busy: 0, ..TYPICAL };
    assert_eq!(choice_counts(&[suspect, TYPICAL], 100), [0, 100]);
    assert_eq!(choice_counts(&[suspect], 10), [10]);
    assert_eq!(choose(&[], |_| 0), None);
}

#[test]
fn a_cold_server_is_ramped_up_and_a_shed_request_lowers_the_limit() {
    let start = BootInstant::from_micros(1_000_000_000);
    let at = |ms| start + Duration::from_millis(ms);
    let mut limiter = Limiter::new(Count(20), Duration::from_secs(10));
    assert_eq!(limiter.limit(start), Count(20));
    limiter.start_warmup(start);
    assert_eq!(limiter.limit(at(0)), Count(2));
    assert_eq!(limiter.limit(at(5_000)), Count(12));
    assert!(limiter.is_cold(at(5_000)));
    assert_eq!(limiter.limit(at(10_000)), Count(20));
    limiter.on_shed(at(20_000));
    limiter.on_shed(at(20_010));
    assert_eq!(limiter.limit(at(20_020)), Count(16), "one burst counts once");
    (0..100).for_each(|_| limiter.on_served(Duration::from_millis(20), at(21_000)));
    assert_eq!(limiter.limit(at(21_000)), Count(20));
}

/// A server turns cold unannounced and sustains 2 instead of 12 concurrent requests; each request
/// above that adds four times the normal latency. As many requests run as the limit allows.
#[test]
fn the_limit_adapts_to_a_server_that_turned_cold_unannounced() {
    let start = BootInstant::from_micros(1_000_000_000);
    let mut limiter = Limiter::new(Count(12), Duration::from_secs(10));
    let mut at = start;
    let mut round = |limiter: &mut Limiter, capacity: u32| {
        let running = limiter.limit(at).0;
        let over = running.saturating_sub(capacity);
        let time = Duration::from_millis(20 * u64::from(1 + 4 * over));
        at = at + time;
        (0..running).for_each(|_| limiter.on_served(time, at));
        (at.since(start), running)
    };
    for _ in 0..20 {
        round(&mut limiter, 12);
    }
    let cold_from = round(&mut limiter, 12).0;
    let mut over_after = Duration::ZERO;
    for _ in 0..200 {
        let (now, running) = round(&mut limiter, 2);
        if running > 4 {
            over_after = now - cold_from;
        }
    }
    assert!(over_after < Duration::from_secs(6), "over twice its capacity for {over_after:?}");
    let warm_from = round(&mut limiter, 12).0;
    let full = (0..2000).find_map(|_| {
        let (now, running) = round(&mut limiter, 12);
        (running == 12).then_some(now - warm_from)
    });
    assert!(full.is_some_and(|t| t < Duration::from_secs(6)), "full limit after {full:?}");
}

#[test]
fn the_quantile_estimate_follows_its_values() {
    let mut quantile = Quantile::new(0.95);
    let mut random = fastrand::Rng::with_seed(5);
    (0..5000).for_each(|_| quantile.record(random.f64() * 100.0));
    let estimate = quantile.get(50).unwrap();
    assert!((85.0..100.0).contains(&estimate), "{estimate}");
    assert_eq!(Quantile::new(0.95).get(1), None);
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let budget = Budget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit(BudgetShare::default());
        retries += u32::from(budget.try_withdraw());
    }
    assert!(retries <= 110, "{retries} retries for 1,000 requests");
}

/// All targets of a service fail, and many nodes want to retry every request at once.
#[rstest]
#[case(14, 64.0)]
#[case(88, 218.0)]
#[case(300, 160.0)]
fn uncoordinated_nodes_stay_within_the_common_retry_budget(
    #[case] nodes: usize,
    #[case] slack: f64,
) {
    const RATIO: f64 = 0.2;
    const REQUESTS: usize = 20;
    let share = BudgetShare::of(RATIO, slack, nodes);
    let budgets: Vec<Budget> = (0..nodes).map(|_| Budget::new(share)).collect();
    let mut retries = 0;
    for budget in budgets.iter().flat_map(|b| std::iter::repeat_n(b, REQUESTS)) {
        budget.deposit(share);
        retries += u32::from(budget.try_withdraw());
    }
    let most = RATIO * (nodes * REQUESTS) as f64 + slack;
    assert!(f64::from(retries) <= most, "{retries} retries, at most {most}");
    assert!(retries > 0);
}

/// Load pattern: a service fails while all nodes are killed again and again, three times in a window.
#[test]
fn nodes_spend_the_slack_of_the_retry_budget_again_after_each_restart() {
    const NODES: usize = 14;
    const REQUESTS: usize = 20;
    let share = BudgetShare::of(0.2, 64.0, NODES);
    let spend = |budget: &Budget| {
        let retry = |_: &usize| {
            budget.deposit(share);
            budget.try_withdraw()
        };
        (0..REQUESTS).filter(retry).count()
    };
    let first: usize = (0..NODES).map(|_| spend(&Budget::new(share))).sum();
    let later: usize = (0..3 * NODES).map(|_| spend(&Budget::after_restart())).sum();
    let allowed = 64.0 + 0.2 * (4 * NODES * REQUESTS) as f64;
    // Half of the budget is for retries that nodes do not see.
    assert!((first + later) as f64 <= allowed / 2.0, "{first} and {later} retries");
}

/// Load pattern: two services are overloaded, so every request is retried as far as the budgets allow.
/// A server that runs a retried request makes its calls to the other service again, which count as
/// retries there although no entry has sent them twice.
#[test]
fn retries_and_the_calls_that_they_repeat_stay_within_the_common_budget() {
    const NODES: usize = 13;
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 60.0;
    /// Requests in ten seconds.
    const CALLING: usize = 1600;
    const CALLED_DIRECTLY: usize = 630;
    /// Calls of a request to the other service.
    const CALLS: f64 = 1.4;
    let share = BudgetShare::of(RATIO, SLACK, NODES);
    let retries = |requests: usize| {
        let budgets: Vec<Budget> = (0..NODES).map(|_| Budget::new(share)).collect();
        let retried = (0..requests).filter(|i| {
            budgets[i % NODES].deposit(share);
            budgets[i % NODES].try_withdraw()
        });
        retried.count() as f64
    };
    let called = CALLED_DIRECTLY as f64 + CALLING as f64 * CALLS;
    let repeated = retries(called as usize) + retries(CALLING) * CALLS;
    let allowed = RATIO * called + SLACK;
    assert!(repeated <= allowed, "{repeated} repeated arrivals, {allowed} are allowed");
}

#[test]
fn a_gate_without_a_server_is_unavailable_for_a_time() {
    let start = Instant::now();
    let mut availability = Availability::default();
    assert!(!availability.is_unavailable(start));
    availability.on_refused(Code::Busy, start);
    assert!(!availability.is_unavailable(start), "a busy server is available");
    availability.on_refused(Code::Unreachable, start);
    assert!(availability.is_unavailable(start));
    assert!(!availability.is_unavailable(start + UNAVAILABLE_TIME), "it is tried again");
    availability.on_refused(Code::NoTarget, start);
    availability.on_accepted();
    assert!(!availability.is_unavailable(start));
}

fn member(n: u64, domains: u64) -> Member {
    let holder = Holder { node: format!("n{n}").parse().unwrap(), inc: Incarnation(n + 1) };
    Member {
        holder,
        peer: ([127, 0, 0, 1], 1).into(),
        admin: ([127, 0, 0, 1], 1).into(),
        domain: format!("d{}", n % domains).parse().unwrap(),
        service: None,
        slots: Count(1),
        conns: Count(1),
        fenced: false,
        draining: false,
        witnesses: Vec::new(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn witness_sets_span_domains_and_share_the_load(nodes in 6u64..60, domains in 3u64..8) {
        let mut members: Vec<Member> = (0..nodes).map(|n| member(n, domains)).collect();
        let none = BTreeSet::new();
        // Members choose one after another, then twice more with all others known.
        for round in 0..3 {
            for i in 0..members.len() {
                let known: Vec<Member> =
                    if round == 0 { members[..=i].to_vec() } else { members.clone() };
                let wanted = set::choose(&members[i], known.iter(), &members[i].witnesses, &none);
                members[i].witnesses = wanted;
            }
        }
        let domain_of: BTreeMap<_, _> =
            members.iter().map(|m| (m.holder.clone(), m.domain.clone())).collect();
        let mut loads: BTreeMap<Holder, usize> = BTreeMap::new();
        for member in &members {
            prop_assert_eq!(member.witnesses.len(), 5);
            let mut per_domain: BTreeMap<_, usize> = BTreeMap::new();
            for peer in &member.witnesses {
                prop_assert!(peer.holder != member.holder);
                *per_domain.entry(&domain_of[&peer.holder]).or_default() += 1;
                *loads.entry(peer.holder.clone()).or_default() += 1;
            }
            let most = per_domain.values().max().copied().unwrap_or(0);
            prop_assert!(most <= 2, "one domain's loss leaves a majority: {per_domain:?}");
        }
        let most = loads.values().max().copied().unwrap_or(0);
        prop_assert!(most <= 10, "one node witnesses {most} of {nodes}");
    }
}

#[test]
fn a_witness_set_that_tolerates_another_loss_is_replaced_later() {
    let mut members: Vec<Member> = (0..12).map(|n| member(n, 4)).collect();
    let none = BTreeSet::new();
    let set = set::choose(&members[0], members.iter(), &[], &none);
    members[0].witnesses = set.clone();
    let wanted = |lost: usize| {
        let lost: Vec<&Holder> = set[..lost].iter().map(|p| &p.holder).collect();
        let left = members.iter().filter(|m| !lost.contains(&&m.holder));
        set::choose(&members[0], left, &set, &none)
    };
    let urgency = |lost: usize| {
        let gone: Vec<&Holder> = set[..lost].iter().map(|p| &p.holder).collect();
        set::urgency(&set, &wanted(lost), |h| !gone.contains(&h))
    };
    assert_eq!([urgency(0), urgency(1), urgency(2)], [Urgency::None, Urgency::Soon, Urgency::Now]);
    assert_eq!(set::urgency(&set[..3], &set, |_| true), Urgency::Now);
}

/// A grant that takes effect later than it is given time for outlasts the lease.
#[test]
fn grants_end_before_the_lease_on_a_host_that_delays_them() {
    use kelpwind::gate::grant_time::{TransitTimes, grant_duration};
    use kelpwind::lease::clock::BootInstant;

    const DELAY: Duration = Duration::from_millis(200);
    let at = |millis: u64| BootInstant::from_micros(millis * 1000);
    let (lease_end, longest) = (at(11_050), Duration::from_secs(10));
    let mut times = TransitTimes::default();
    times.record(DELAY, at(9_000));
    let transit = times.allowance(at(10_000));
    let duration = grant_duration(lease_end, at(10_000), longest, transit).unwrap();
    assert!(at(10_000) + DELAY + duration.mul_f64(1.02) <= lease_end);
    // The delay counts for some seconds after the last slow grant.
    times.record(Duration::from_millis(1), at(12_000));
    assert_eq!(times.allowance(at(12_500)), DELAY);
    times.record(Duration::from_millis(1), at(14_500));
    assert!(times.allowance(at(15_000)) < DELAY);
}

/// A node that stops went on taking requests that it could not answer before its end.
#[test]
fn a_stopping_node_takes_only_what_it_can_answer() {
    let ms = Duration::from_millis;
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest(), None);
    times.record(ms(5000));
    for _ in 0..31 {
        times.record(ms(300));
    }
    assert_eq!(times.longest(), Some(ms(5000)));
    assert!(!may_begin(ms(4000), ms(6000), ms(5000)), "as slow as the slowest");
    assert!(may_begin(ms(4000), ms(4000), ms(5000)), "answered by its timeout at the latest");
    times.record(ms(300));
    assert_eq!(times.longest(), Some(ms(300)), "the slow phase is over");
    assert!(may_begin(ms(4000), ms(6000), ms(300)));
    assert!(!may_begin(Duration::ZERO, ms(6000), ms(300)), "no time is left");
}
