//! The line before a backend server: who runs now, who waits, who is refused at once.
//!
//! Load pattern: more work arrives than the server's slots can run, for seconds (a burst, a lost
//! failure domain) or for minutes. A queue that takes everything then serves everyone late. So the
//! line takes a request only if it can predict an answer in time: the work ahead of it, divided by
//! the slots, at the pace of the server now. What cannot be answered in time is refused on arrival,
//! with the time after which there should be room.
//!
//! Order of starts:
//! 1. requests that can still meet their latency objective, by rank, then by arrival; calls of running
//!    work have the greater rank, since a slot waits for each;
//! 2. late ones, by rank, then by arrival. They are taken only while the offered work is below what
//!    the slots can do; in an overload they would wait for nothing.
//!
//! Pure: time comes in as an argument, and who may start comes out as values.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::cold_start::ColdStart;

/// Weight of the newest duration in the estimate of a sort of request: about ten answers count.
const ESTIMATE_WEIGHT: f64 = 0.1;
/// Weight of the newest moment in the offered load, for one second.
const OFFERED_PERIOD: Duration = Duration::from_secs(1);
/// Part of the slots above which the offered work leaves no room for late requests.
const LATE_LOAD_MAX: f64 = 0.95;
/// Estimate of a sort of request that was never measured while nothing else was, as a part of the time
/// between its latency objective and its limit, of which a second counts at most.
const UNKNOWN_PART: f64 = 0.2;
/// Shortest time after which a refused caller is asked to come back: below it, callers would return
/// before anything has changed.
const RETURN_MIN: Duration = Duration::from_millis(50);
/// Slowest and fastest pace that is believed of a server.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.3, 8.0);

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Sort of the request, by which durations are estimated.
    pub class: String,
    /// Rank; 0 is the most important.
    pub priority: u8,
    /// Until when an answer meets the latency objective.
    pub objective: Instant,
    /// Until when an answer is of any use.
    pub deadline: Instant,
}

/// Number of a request in the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What becomes of a request that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Run,
    /// It waits for a slot.
    Wait(Ticket),
    /// It cannot be answered in time; there should be room after this time.
    Refuse(Duration),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It runs now.
    Start(Ticket),
    /// It can no longer be answered in time.
    Refuse(Ticket, Duration),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    ask: SlotRequest,
}

/// The line before one server.
#[derive(Clone, Debug)]
pub struct RequestQueue {
    slots: u32,
    running: u32,
    waiting: Vec<Waiting>,
    next: u64,
    estimates: HashMap<String, f64>,
    mean: f64,
    slowdown: f64,
    offered: f64,
    offered_at: Option<Instant>,
    /// The bound while the server is cold.
    pub cold_start: ColdStart,
}

impl RequestQueue {
    /// An empty line before a server with `slots` slots.
    pub fn new(slots: u32) -> RequestQueue {
        RequestQueue {
            slots: slots.max(1),
            running: 0,
            waiting: Vec::new(),
            next: 0,
            estimates: HashMap::new(),
            mean: 0.0,
            slowdown: 1.0,
            offered: 0.0,
            offered_at: None,
            cold_start: ColdStart::default(),
        }
    }

    /// Takes a changed number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Takes what the server says of its pace: 1 as usual, 2 when work takes twice as long.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests waiting.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Requests that may run at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// How long a request of this sort takes at the present pace.
    pub fn estimate(&self, sort: &str) -> Option<Duration> {
        self.estimates.get(sort).map(|e| Duration::from_secs_f64(e * self.slowdown))
    }

    /// How long a request takes on average at the present pace.
    pub fn mean_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean * self.slowdown)
    }

    /// A request asks for a slot.
    pub fn admit(&mut self, ask: SlotRequest, now: Instant) -> Verdict {
        self.note_offered(&ask, now);
        if self.running < self.slots && self.waiting.is_empty() && self.cold_start.may_start(now) {
            self.start(now);
            return Verdict::Run;
        }
        let own = self.guess(&ask);
        let ahead: f64 = self
            .waiting
            .iter()
            .filter(|w| goes_before(&w.ask, &ask))
            .map(|w| self.guess(&w.ask))
            .sum();
        let wait = self.until_free()
            + ahead / f64::from(self.slots)
            + self.cold_start.wait_secs(now, self.waiting.len());
        let end = now + Duration::from_secs_f64(wait + own);
        let late_fits = self.offered < LATE_LOAD_MAX * f64::from(self.slots)
            && (self.waiting.len() as u32) < self.slots
            && end <= ask.deadline;
        if end > ask.objective && !late_fits {
            let over = end.saturating_duration_since(ask.objective.max(now));
            return Verdict::Refuse(over.max(RETURN_MIN));
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.push(Waiting { ticket, ask });
        Verdict::Wait(ticket)
    }

    /// A request that ran has ended after `took`; `None` when it says nothing of the server's speed.
    pub fn finish(&mut self, sort: &str, took: Option<Duration>, now: Instant) -> Vec<Event> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.learn(sort, took);
        }
        self.dispatch(now)
    }

    /// A request leaves the line without having run.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Starts whoever may start now, and refuses who waited in vain.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Event> {
        let mut events = Vec::new();
        while self.running < self.slots && !self.waiting.is_empty() {
            let Some(first) = self.first(now) else { break };
            let Waiting { ticket, ask } = &self.waiting[first];
            let (ticket, own) = (*ticket, self.guess(ask));
            // The estimate is a mean: half of it is what a short request may still take.
            let hopeless = now + Duration::from_secs_f64(own / 2.0) >= ask.deadline;
            if !hopeless && !self.cold_start.may_start(now) {
                break;
            }
            self.waiting.swap_remove(first);
            if hopeless {
                events.push(Event::Refuse(ticket, RETURN_MIN));
                continue;
            }
            self.start(now);
            events.push(Event::Start(ticket));
        }
        events
    }

    /// When the line must be pumped again though nothing ends, because the server is cold.
    pub fn next_dispatch(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() || self.running >= self.slots {
            return None;
        }
        self.cold_start.next_start(now)
    }

    fn start(&mut self, now: Instant) {
        self.running += 1;
        self.cold_start.record_start(now);
    }

    /// The one that starts next.
    fn first(&self, now: Instant) -> Option<usize> {
        let order = |w: &Waiting| {
            let own = Duration::from_secs_f64(self.guess(&w.ask));
            let late = now + own > w.ask.objective;
            (late, w.ask.priority, w.ticket)
        };
        (0..self.waiting.len()).min_by_key(|i| order(&self.waiting[*i]))
    }

    /// Seconds until a slot is free.
    fn until_free(&self) -> f64 {
        if self.running < self.slots {
            return 0.0;
        }
        self.mean * self.slowdown / f64::from(self.slots)
    }

    fn guess(&self, ask: &SlotRequest) -> f64 {
        match self.estimates.get(&ask.class) {
            Some(estimate) => estimate * self.slowdown,
            None if self.mean > 0.0 => self.mean * self.slowdown,
            None => {
                let whole = ask.deadline.saturating_duration_since(ask.objective);
                whole.as_secs_f64().min(1.0) * UNKNOWN_PART
            }
        }
    }

    fn learn(&mut self, sort: &str, took: Duration) {
        let usual = took.as_secs_f64() / self.slowdown;
        match self.estimates.get_mut(sort) {
            Some(estimate) => *estimate += ESTIMATE_WEIGHT * (usual - *estimate),
            None => {
                self.estimates.insert(sort.to_owned(), usual);
            }
        }
        match self.mean > 0.0 {
            true => self.mean += ESTIMATE_WEIGHT * (usual - self.mean),
            false => self.mean = usual,
        }
    }

    /// Work offered a second, in slots, as a moving average over [`OFFERED_PERIOD`].
    fn note_offered(&mut self, ask: &SlotRequest, now: Instant) {
        let passed = self.offered_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.offered_at = Some(now);
        let period = OFFERED_PERIOD.as_secs_f64();
        self.offered *= (-passed.as_secs_f64() / period).exp();
        self.offered += self.guess(ask) / period;
    }
}

/// Whether a waiting request starts before one that arrives now, both in time.
fn goes_before(waiting: &SlotRequest, ask: &SlotRequest) -> bool {
    waiting.priority <= ask.priority
}
