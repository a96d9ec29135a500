//! The line before a backend server, replayed with the loads it answers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use kelpwind::gate::queue::{Event, RequestQueue, SlotRequest, Ticket, Verdict};

const MS: Duration = Duration::from_millis(1);

fn ask(now: Instant, aim: u32, limit: u32) -> SlotRequest {
    SlotRequest {
        class: "read".to_owned(),
        priority: 2,
        objective: now + aim * MS,
        deadline: now + limit * MS,
    }
}

/// A line that knows that requests take 100 ms, after a quiet time.
fn line(slots: u32, now: Instant) -> RequestQueue {
    let mut line = RequestQueue::new(slots);
    let now = now - Duration::from_secs(60);
    for _ in 0..50 {
        assert_eq!(line.admit(ask(now, 400, 2500), now), Verdict::Run);
        line.finish("read", Some(100 * MS), now);
    }
    line
}

/// Replays `count` requests, one each `gap`, on a server whose slots each take 100 ms a request.
/// Returns when each request was answered, or refused.
struct Replay {
    /// Requests answered in time.
    timely: u32,
    /// Requests answered late.
    late: u32,
    /// Requests refused on arrival.
    refused: u32,
    /// Requests that waited and were refused.
    in_vain: u32,
}

fn replay(slots: u32, count: u32, gap: Duration, aim: u32, limit: u32) -> Replay {
    let start = Instant::now();
    let mut line = line(slots, start);
    let start = start + Duration::from_secs(10);
    let mut result = Replay { timely: 0, late: 0, refused: 0, in_vain: 0 };
    // Arrival and, while it runs, end of each request.
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
            match end - arrived <= aim * MS {
                true => result.timely += 1,
                false => result.late += 1,
            }
            for event in line.finish("read", Some(100 * MS), end) {
                match event {
                    Event::Start(ticket) => {
                        let arrived = waiting.remove(&ticket).unwrap();
                        running.push((end + 100 * MS, arrived));
                    }
                    Event::Refuse(ticket, _) => {
                        waiting.remove(&ticket);
                        result.in_vain += 1;
                    }
                }
            }
        }
        if i >= count {
            continue;
        }
        match line.admit(ask(now, aim, limit), now) {
            Verdict::Run => running.push((now + 100 * MS, now)),
            Verdict::Wait(ticket) => drop(waiting.insert(ticket, now)),
            Verdict::Refuse(_) => result.refused += 1,
        }
    }
    result
}

#[test]
fn a_load_that_fits_is_served_in_time() {
    // Four slots of 100 ms serve 40 requests a second; 33 come.
    let result = replay(4, 400, 30 * MS, 400, 2500);
    assert_eq!(result.refused + result.in_vain + result.late, 0);
    assert!(result.timely >= 395);
}

#[test]
fn in_an_overload_what_is_taken_is_served_in_time_and_the_rest_refused_at_once() {
    // 80 requests a second come for 4 slots that serve 40.
    let result = replay(4, 800, 25 * MS / 2, 400, 2500);
    assert_eq!(result.in_vain, 0, "nobody waits for a refusal");
    assert!(result.timely >= 370, "the slots stay full: {}", result.timely);
    assert!(result.late <= 10, "a queue of late work would make all late: {}", result.late);
    assert!(result.refused >= 380);
}

#[test]
fn a_short_burst_is_absorbed() {
    // 20 requests at once: 4 slots serve them within 500 ms.
    let result = replay(4, 20, Duration::ZERO, 600, 2500);
    assert_eq!(result.refused, 0);
}

#[test]
fn calls_of_running_work_go_before_new_work() {
    let now = Instant::now();
    let mut line = line(1, now);
    assert_eq!(line.admit(ask(now, 400, 2500), now), Verdict::Run);
    let Verdict::Wait(outer) = line.admit(ask(now, 400, 2500), now) else { panic!() };
    // Routes of calls have a greater rank than those of new work at the same service.
    let call = SlotRequest { class: "call".into(), priority: 1, ..ask(now, 250, 400) };
    let Verdict::Wait(inner) = line.admit(call, now) else { panic!() };
    assert_eq!(line.finish("read", Some(100 * MS), now), [Event::Start(inner)]);
    assert_eq!(line.finish("call", Some(30 * MS), now), [Event::Start(outer)]);
}

#[test]
fn a_greater_rank_goes_first_and_equals_in_order() {
    let now = Instant::now();
    let mut line = line(1, now);
    assert_eq!(line.admit(ask(now, 900, 2500), now), Verdict::Run);
    let Verdict::Wait(first) = line.admit(ask(now, 900, 2500), now) else { panic!() };
    let Verdict::Wait(second) = line.admit(ask(now, 900, 2500), now) else { panic!() };
    let urgent = SlotRequest { priority: 1, ..ask(now, 900, 2500) };
    let Verdict::Wait(urgent) = line.admit(urgent, now) else { panic!() };
    let order: Vec<Event> = (0..3).flat_map(|_| line.finish("read", Some(100 * MS), now)).collect();
    assert_eq!(order, [Event::Start(urgent), Event::Start(first), Event::Start(second)]);
}

#[test]
fn those_that_can_still_be_in_time_go_before_late_ones() {
    let now = Instant::now();
    let mut line = line(1, now);
    assert_eq!(line.admit(ask(now, 900, 2500), now), Verdict::Run);
    let Verdict::Wait(late) = line.admit(ask(now, 150, 2500), now) else { panic!() };
    let Verdict::Wait(timely) = line.admit(ask(now, 900, 2500), now) else { panic!() };
    let later = now + 100 * MS;
    assert_eq!(line.finish("read", Some(100 * MS), later), [Event::Start(timely)]);
    assert_eq!(line.finish("read", Some(100 * MS), later + 100 * MS), [Event::Start(late)]);
}

#[test]
fn a_server_whose_neighbours_are_noisy_is_given_less() {
    let now = Instant::now();
    let mut line = line(2, now);
    for _ in 0..2 {
        assert_eq!(line.admit(ask(now, 400, 440), now), Verdict::Run);
    }
    assert!(matches!(line.clone().admit(ask(now, 400, 440), now), Verdict::Wait(_)));
    line.set_slowdown(3.0);
    assert!(matches!(line.admit(ask(now, 400, 440), now), Verdict::Refuse(_)));
}

#[test]
fn a_cold_server_gets_no_more_than_it_bears_in_any_second() {
    let start = Instant::now();
    let mut line = line(12, start);
    let start = start + Duration::from_secs(5);
    line.cold_start.set_rate(10.0);
    line.cold_start.set_until(Some(start + Duration::from_secs(3)));
    let mut starts: Vec<Instant> = Vec::new();
    for i in 0..300 {
        let now = start + 10 * MS * i;
        let begun = match line.admit(ask(now, 400, 2500), now) {
            Verdict::Run => 1,
            _ => 0,
        };
        let pumped = line.dispatch(now).iter().filter(|e| matches!(e, Event::Start(_))).count();
        for _ in 0..begun + pumped {
            starts.push(now);
            line.finish("read", Some(20 * MS), now);
        }
    }
    let most = starts
        .iter()
        .map(|at| starts.iter().filter(|s| *s >= at && **s < *at + Duration::from_secs(1)).count());
    let most = most.max().unwrap();
    assert!((8..=15).contains(&most), "{most} in one second");
}

#[test]
fn who_leaves_the_line_frees_its_place() {
    let now = Instant::now();
    let mut line = line(1, now);
    assert_eq!(line.admit(ask(now, 400, 2500), now), Verdict::Run);
    let Verdict::Wait(left) = line.admit(ask(now, 400, 2500), now) else { panic!() };
    let Verdict::Wait(stays) = line.admit(ask(now, 400, 2500), now) else { panic!() };
    line.cancel(left);
    assert_eq!(line.finish("read", None, now), [Event::Start(stays)]);
}
