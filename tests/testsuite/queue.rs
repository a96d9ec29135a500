//! The admission queue of a backend server, replayed under the load patterns it is built for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kelpwind::gate::queue::{AdmitDecision, QueueEvent, RequestQueue, SlotRequest, Ticket};

const MS: Duration = Duration::from_millis(1);

fn request(now: Instant, objective: u32, deadline: u32) -> SlotRequest {
    SlotRequest {
        class: "read".to_owned(),
        priority: 2,
        objective: now + objective * MS,
        deadline: now + deadline * MS,
    }
}

/// A queue with an estimate of 100 ms per request, after a time without load.
fn measured_queue(slots: u32, now: Instant) -> RequestQueue {
    let mut queue = RequestQueue::new(slots);
    let now = now - Duration::from_secs(60);
    for _ in 0..50 {
        assert_eq!(queue.admit(request(now, 400, 2500), now), AdmitDecision::Run);
        queue.finish("read", Some(100 * MS), now);
    }
    queue
}

/// Numbers of requests by their outcome.
struct Replay {
    /// Answered within their latency objective.
    timely: u32,
    /// Answered after it.
    late: u32,
    /// Refused on arrival.
    refused: u32,
    /// Refused after they were queued.
    refused_late: u32,
}

/// Replays `count` requests, one per `gap`, on a server that takes 100 ms per request in each slot.
fn replay(slots: u32, count: u32, gap: Duration, objective: u32, deadline: u32) -> Replay {
    let start = Instant::now();
    let mut queue = measured_queue(slots, start);
    let start = start + Duration::from_secs(10);
    let mut result = Replay { timely: 0, late: 0, refused: 0, refused_late: 0 };
    // Arrival times of queued requests; end and arrival times of running ones.
    let mut waiting: BTreeMap<Ticket, Instant> = BTreeMap::new();
    let mut running: Vec<(Instant, Instant)> = Vec::new();
    for i in 0..count + 50 {
        let now = start + gap * i;
        loop {
            running.sort();
            let Some((end, arrived)) = running.first().copied().filter(|(end, _)| *end <= now)
            else {
                break;
            };
            running.remove(0);
            match end - arrived <= objective * MS {
                true => result.timely += 1,
                false => result.late += 1,
            }
            for event in queue.finish("read", Some(100 * MS), end) {
                match event {
                    QueueEvent::Start(ticket) => {
                        let arrived = waiting.remove(&ticket).unwrap();
                        running.push((end + 100 * MS, arrived));
                    }
                    QueueEvent::Refuse(ticket, _) => {
                        waiting.remove(&ticket);
                        result.refused_late += 1;
                    }
                }
            }
        }
        if i >= count {
            continue;
        }
        match queue.admit(request(now, objective, deadline), now) {
            AdmitDecision::Run => running.push((now + 100 * MS, now)),
            AdmitDecision::Wait(ticket) => drop(waiting.insert(ticket, now)),
            AdmitDecision::Refuse(_) => result.refused += 1,
        }
    }
    result
}

#[test]
fn load_within_capacity_meets_the_objective() {
    // Four slots of 100 ms serve 40 requests per second; 33 arrive.
    let result = replay(4, 400, 30 * MS, 400, 2500);
    assert_eq!(result.refused + result.refused_late + result.late, 0);
    assert!(result.timely >= 395);
}

#[test]
fn overload_is_refused_on_arrival_and_accepted_requests_meet_the_objective() {
    // 80 requests per second arrive at 4 slots that serve 40.
    let result = replay(4, 800, 25 * MS / 2, 400, 2500);
    assert_eq!(result.refused_late, 0, "no queued request is refused");
    assert!(result.timely >= 370, "the slots stay full: {}", result.timely);
    assert!(result.late <= 10, "late requests must not delay the others: {}", result.late);
    assert!(result.refused >= 380);
}

#[test]
fn a_short_burst_is_queued() {
    // 20 requests arrive at once; 4 slots serve them within 500 ms.
    let result = replay(4, 20, Duration::ZERO, 600, 2500);
    assert_eq!(result.refused, 0);
}

#[test]
fn nested_calls_start_before_new_requests() {
    let now = Instant::now();
    let mut queue = measured_queue(1, now);
    assert_eq!(queue.admit(request(now, 400, 2500), now), AdmitDecision::Run);
    let AdmitDecision::Wait(outer) = queue.admit(request(now, 400, 2500), now) else { panic!() };
    // Routes of nested calls have a higher priority than those of new requests to the same service.
    let call = SlotRequest { class: "call".into(), priority: 1, ..request(now, 250, 400) };
    let AdmitDecision::Wait(inner) = queue.admit(call, now) else { panic!() };
    assert_eq!(queue.finish("read", Some(100 * MS), now), [QueueEvent::Start(inner)]);
    assert_eq!(queue.finish("call", Some(30 * MS), now), [QueueEvent::Start(outer)]);
}

#[test]
fn higher_priority_starts_first_and_equal_priorities_in_order_of_arrival() {
    let now = Instant::now();
    let mut queue = measured_queue(1, now);
    assert_eq!(queue.admit(request(now, 900, 2500), now), AdmitDecision::Run);
    let AdmitDecision::Wait(first) = queue.admit(request(now, 900, 2500), now) else { panic!() };
    let AdmitDecision::Wait(second) = queue.admit(request(now, 900, 2500), now) else { panic!() };
    let urgent = SlotRequest { priority: 1, ..request(now, 900, 2500) };
    let AdmitDecision::Wait(urgent) = queue.admit(urgent, now) else { panic!() };
    let order: Vec<QueueEvent> =
        (0..3).flat_map(|_| queue.finish("read", Some(100 * MS), now)).collect();
    assert_eq!(
        order,
        [QueueEvent::Start(urgent), QueueEvent::Start(first), QueueEvent::Start(second)]
    );
}

#[test]
fn requests_that_can_meet_the_objective_start_before_late_ones() {
    let now = Instant::now();
    let mut queue = measured_queue(1, now);
    assert_eq!(queue.admit(request(now, 900, 2500), now), AdmitDecision::Run);
    let AdmitDecision::Wait(late) = queue.admit(request(now, 150, 2500), now) else { panic!() };
    let AdmitDecision::Wait(timely) = queue.admit(request(now, 900, 2500), now) else { panic!() };
    let later = now + 100 * MS;
    assert_eq!(queue.finish("read", Some(100 * MS), later), [QueueEvent::Start(timely)]);
    assert_eq!(queue.finish("read", Some(100 * MS), later + 100 * MS), [QueueEvent::Start(late)]);
}

#[test]
fn a_slowed_server_accepts_fewer_requests() {
    let now = Instant::now();
    let mut queue = measured_queue(2, now);
    for _ in 0..2 {
        assert_eq!(queue.admit(request(now, 400, 440), now), AdmitDecision::Run);
    }
    assert!(matches!(queue.clone().admit(request(now, 400, 440), now), AdmitDecision::Wait(_)));
    queue.set_slowdown(3.0);
    assert!(matches!(queue.admit(request(now, 400, 440), now), AdmitDecision::Refuse(_)));
}

#[test]
fn a_cold_server_gets_a_bounded_number_of_starts_in_any_second() {
    let start = Instant::now();
    let mut queue = measured_queue(12, start);
    let start = start + Duration::from_secs(5);
    queue.cold_start.set_rate(10.0);
    queue.cold_start.set_until(Some(start + Duration::from_secs(3)));
    let mut starts: Vec<Instant> = Vec::new();
    for i in 0..300 {
        let now = start + 10 * MS * i;
        let started = match queue.admit(request(now, 400, 2500), now) {
            AdmitDecision::Run => 1,
            _ => 0,
        };
        let dispatched =
            queue.dispatch(now).iter().filter(|e| matches!(e, QueueEvent::Start(_))).count();
        for _ in 0..started + dispatched {
            starts.push(now);
            queue.finish("read", Some(20 * MS), now);
        }
    }
    let max = starts
        .iter()
        .map(|at| starts.iter().filter(|s| *s >= at && **s < *at + Duration::from_secs(1)).count());
    let max = max.max().unwrap();
    assert!((8..=15).contains(&max), "{max} in one second");
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let now = Instant::now();
    let mut queue = measured_queue(1, now);
    assert_eq!(queue.admit(request(now, 400, 2500), now), AdmitDecision::Run);
    let AdmitDecision::Wait(cancelled) = queue.admit(request(now, 400, 2500), now) else {
        panic!()
    };
    let AdmitDecision::Wait(remaining) = queue.admit(request(now, 400, 2500), now) else {
        panic!()
    };
    queue.cancel(cancelled);
    assert_eq!(queue.finish("read", None, now), [QueueEvent::Start(remaining)]);
}
