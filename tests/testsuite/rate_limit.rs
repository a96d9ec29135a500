//! Rate limits that backend servers state, replayed under the load patterns that they occur in.

use std::time::{Duration, Instant};

use kelpwind::core::ids::RequestRate;
use kelpwind::gate::queue::{AdmitDecision, QueueEvent, RequestQueue, SlotRequest, Ticket};
use proptest::prelude::*;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
/// Any period of this length counts.
const WINDOW: Duration = Duration::from_secs(4);
/// Slots of the server.
const SLOTS: u32 = 12;
/// Time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(100);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).unwrap()
}

fn request(priority: u8, now: Instant, objective: u32, deadline: u32) -> SlotRequest {
    SlotRequest {
        class: "read".to_owned(),
        priority,
        objective: now + objective * MS,
        deadline: now + deadline * MS,
    }
}

/// A queue that knows how long requests take.
fn measured_queue(now: Instant) -> RequestQueue {
    let mut queue = RequestQueue::new(SLOTS);
    let before = now - Duration::from_secs(60);
    for _ in 0..50 {
        assert_eq!(queue.admit(request(2, before, 400, 2500), before), AdmitDecision::Run);
        queue.finish("read", Some(SERVICE_TIME), before);
    }
    queue
}

/// A server under a limit, in steps of a millisecond.
struct Replay {
    queue: RequestQueue,
    now: Instant,
    running: Vec<Instant>,
    starts: Vec<Instant>,
    /// Delays given to refused callers.
    delays: Vec<Duration>,
    /// Requests refused after they had waited.
    refused_late: Vec<Ticket>,
}

impl Replay {
    fn new() -> Replay {
        let now = Instant::now() + Duration::from_secs(100);
        let queue = measured_queue(now);
        let (running, starts) = (Vec::new(), Vec::new());
        Replay { queue, now, running, starts, delays: Vec::new(), refused_late: Vec::new() }
    }

    fn limit(&mut self, per_second: Option<f64>) {
        self.queue.set_rate_limit(per_second.map(rate), self.now);
        let events = self.queue.dispatch(self.now);
        self.apply(events);
    }

    fn start(&mut self) {
        self.starts.push(self.now);
        self.running.push(self.now + SERVICE_TIME);
    }

    fn apply(&mut self, events: Vec<QueueEvent>) {
        for event in events {
            match event {
                QueueEvent::Start(_) => self.start(),
                QueueEvent::Refuse(ticket, delay) => {
                    self.refused_late.push(ticket);
                    self.delays.push(delay);
                }
            }
        }
    }

    fn admit(&mut self, request: SlotRequest) -> AdmitDecision {
        let decision = self.queue.admit(request, self.now);
        match decision {
            AdmitDecision::Run => self.start(),
            AdmitDecision::Wait(_) => {}
            AdmitDecision::Refuse(delay) => self.delays.push(delay),
        }
        decision
    }

    /// Runs for some time, in which `arrivals` requests arrive in each millisecond on average.
    fn run(&mut self, millis: u32, arrivals: f64) {
        let mut due = 0.0;
        for _ in 0..millis {
            self.now += MS;
            due += arrivals;
            while self.running.first().is_some_and(|end| *end <= self.now) {
                self.running.remove(0);
                let events = self.queue.finish("read", Some(SERVICE_TIME), self.now);
                self.apply(events);
            }
            if self.queue.next_dispatch(self.now).is_some_and(|at| at <= self.now) {
                let events = self.queue.dispatch(self.now);
                self.apply(events);
            }
            while due >= 1.0 {
                due -= 1.0;
                self.admit(request(2, self.now, 400, 2500));
            }
        }
    }

    /// Most starts within any [`WINDOW`].
    fn most_starts(&self) -> usize {
        let within = |to: &Instant| {
            self.starts.iter().filter(|at| **at <= *to && *to - **at < WINDOW).count()
        };
        self.starts.iter().map(within).max().unwrap_or(0)
    }
}

/// Load pattern: callers go on with five times what the server takes.
#[rstest]
#[case(11.9)]
#[case(1.0)]
#[case(0.1)]
fn requests_exceed_the_limit(#[case] per_second: f64) {
    let mut replay = Replay::new();
    replay.limit(Some(per_second));
    replay.run(20_000, 0.06);
    let allowed = (1.5 * per_second * 4.0 + 5.0) as usize;
    let most = replay.most_starts();
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
    let used = replay.starts.len() as f64;
    let room = 20.0 * per_second;
    assert!(used >= 0.95 * room - 1.0, "{used} requests of the {room} that the server takes");
}

/// A limit that the server states after a pause, and lifts and states again, is not followed by a
/// burst.
#[test]
fn a_pause_is_followed_by_a_burst() {
    let mut replay = Replay::new();
    replay.limit(Some(8.0));
    for _ in 0..5 {
        replay.run(3000, 0.0);
        replay.run(1000, 0.2);
    }
    let from = replay.starts.len();
    assert!(replay.most_starts() <= 53);
    replay.limit(Some(4.0));
    replay.run(4000, 0.2);
    assert!(replay.starts.len() - from <= 17, "{} starts", replay.starts.len() - from);
}

/// Load pattern: many requests wait when the server states a low limit. Those that it will not reach
/// before their deadline must not wait for that.
#[test]
fn queued_requests_wait_for_what_the_limit_does_not_admit() {
    let mut replay = Replay::new();
    for _ in 0..SLOTS {
        assert_eq!(replay.admit(request(2, replay.now, 400, 2500)), AdmitDecision::Run);
    }
    for _ in 0..20 {
        let decision = replay.admit(request(2, replay.now, 400, 2500));
        assert!(matches!(decision, AdmitDecision::Wait(_)), "{decision:?}");
    }
    replay.limit(Some(1.0));
    assert!(replay.refused_late.len() >= 17, "{} refused at once", replay.refused_late.len());
}

/// Among waiting requests those with the higher priority go first, and others are told at once.
#[test]
fn a_request_of_lower_priority_takes_the_place_of_a_higher_one() {
    let mut replay = Replay::new();
    replay.limit(Some(2.0));
    let low = replay.admit(request(2, replay.now, 1000, 1200));
    assert!(matches!(low, AdmitDecision::Wait(_)), "{low:?}");
    let high: Vec<_> = (0..2).map(|_| replay.admit(request(0, replay.now, 1600, 1800))).collect();
    assert!(high.iter().all(|d| matches!(d, AdmitDecision::Wait(_))), "{high:?}");
    replay.run(550, 0.0);
    assert_eq!(replay.starts.len(), 1);
    let AdmitDecision::Wait(low) = low else { unreachable!() };
    assert_eq!(replay.refused_late, vec![low]);
}

/// Load pattern: four times what the limit admits. Refused callers return when there may be room for
/// them, not all at once.
#[test]
fn refused_callers_return_before_there_is_room() {
    let mut replay = Replay::new();
    replay.limit(Some(10.0));
    replay.run(4000, 0.04);
    let late = &replay.delays[replay.delays.len() - 20..];
    assert!(late.iter().all(|d| *d >= 800 * MS), "{late:?}");
}

/// A limit that ends admits the usual load at once.
#[test]
fn a_lifted_limit_still_holds() {
    let mut replay = Replay::new();
    replay.limit(Some(1.0));
    replay.run(5000, 0.05);
    replay.limit(None);
    let (starts, refused) = (replay.starts.len(), replay.delays.len());
    replay.run(2000, 0.05);
    assert!(replay.starts.len() - starts >= 95);
    assert_eq!(replay.delays.len(), refused);
}

proptest! {
    /// Limits that rise, fall and end, with pauses: no 4 s under limits have more requests than one and
    /// a half times what the highest of them allows, and 5.
    #[test]
    fn some_period_has_more_requests_than_the_limits_allow(
        phases in prop::collection::vec((0.0..30.0_f64, 200_u32..3000, 0.0..0.3_f64), 1..8),
    ) {
        let mut replay = Replay::new();
        let mut limits = Vec::new();
        for (per_second, millis, arrivals) in phases {
            limits.push((replay.now, per_second));
            replay.limit(Some(per_second));
            replay.run(millis, arrivals);
        }
        for to in &replay.starts {
            let from = *to - WINDOW;
            let count = replay.starts.iter().filter(|at| **at <= *to && **at > from).count();
            let ends = limits.iter().skip(1).map(|(at, _)| *at).chain([replay.now]);
            let in_force = limits.iter().zip(ends).filter(|((at, _), end)| at <= to && *end >= from);
            let highest = in_force.map(|((_, rate), _)| *rate).fold(0.0, f64::max);
            prop_assert!(count as f64 <= 6.0 * highest + 5.0, "{count} under {highest}");
        }
    }
}
