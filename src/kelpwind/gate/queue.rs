//! The admission queue of a backend server: starts, queues or refuses each request.
//!
//! Load pattern: for seconds (a burst, a lost failure domain) or for minutes, more work arrives
//! than the server's slots can run. An unbounded queue would then answer every request late. This
//! queue accepts a request only if its predicted answer is in time: the work ahead of it divided by
//! the slots, scaled by the server's current slowdown. A request that cannot be answered in time is
//! refused on arrival, with the time after which capacity should be available.
//!
//! Order of starts:
//! 1. requests that can still meet their latency objective, by priority, then by arrival. Nested
//!    calls of running requests have a higher priority, since each keeps a slot waiting;
//! 2. late requests, which can only miss it, by priority, then by arrival. They are accepted only
//!    while the offered load is below the capacity of the slots: in an overload they would time
//!    out.
//!
//! Pure: the time is an argument, and the requests to start are returned as values.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::cold_start::ColdStart;

/// Weight of the newest sample in the service time estimates: about ten answers count.
const ESTIMATE_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in the mean over all classes that tells how busy the server usually
/// is: about fifty answers count, so that neither a few long ones nor a slowdown of some hundred
/// milliseconds passes for a lasting change.
const TYPICAL_WEIGHT: f64 = 0.02;
/// Time constant of the moving average of the offered load.
const LOAD_PERIOD: Duration = Duration::from_secs(1);
/// Offered load, as a fraction of the slots, above which late requests are refused.
const LATE_LOAD_MAX: f64 = 0.95;
/// Estimated service time before anything was measured, as a fraction of the time between latency
/// objective and deadline, of which at most one second counts.
const UNMEASURED_FRACTION: f64 = 0.2;
/// Shortest retry delay given to a refused caller: a retry after less time would meet the same
/// queue.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
/// Bounds to which a reported slowdown is clamped; values outside are not plausible.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.3, 8.0);

/// A request for a slot of the backend server.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Request class; service times are estimated per class.
    pub class: String,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Latest answer that meets the latency objective.
    pub objective: Instant,
    /// Latest answer that is still of use to the caller.
    pub deadline: Instant,
}

/// Identifies a queued request; tickets are issued in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// It starts now.
    Run,
    /// It is queued until a slot is free.
    Wait(Ticket),
    /// It cannot be answered in time; capacity should be available after this time.
    Refuse(Duration),
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// It starts now.
    Start(Ticket),
    /// It can no longer be answered in time; the caller may retry after this time.
    Refuse(Ticket, Duration),
}

#[derive(Clone, Debug)]
struct Queued {
    ticket: Ticket,
    request: SlotRequest,
}

/// The admission queue of one backend server.
#[derive(Clone, Debug)]
pub struct RequestQueue {
    slots: u32,
    running: u32,
    waiting: Vec<Queued>,
    next_ticket: u64,
    service_times: HashMap<String, f64>,
    mean_time: f64,
    typical_time: f64,
    typical_samples: u32,
    slowdown: f64,
    offered_load: f64,
    load_updated: Option<Instant>,
    /// Limit on request starts while the server is cold.
    pub cold_start: ColdStart,
}

impl RequestQueue {
    /// Creates an empty queue for a server with `slots` slots, at least one.
    pub fn new(slots: u32) -> RequestQueue {
        RequestQueue {
            slots: slots.max(1),
            running: 0,
            waiting: Vec::new(),
            next_ticket: 0,
            service_times: HashMap::new(),
            mean_time: 0.0,
            typical_time: 0.0,
            typical_samples: 0,
            slowdown: 1.0,
            offered_load: 0.0,
            load_updated: None,
            cold_start: ColdStart::default(),
        }
    }

    /// Changes the number of slots; running requests are not affected.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets the slowdown that the server reports: 1 is normal, 2 means that work takes twice as
    /// long.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Number of requests that may run concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Estimated service time of a class at the current slowdown; `None` before its first sample.
    pub fn estimate(&self, class: &str) -> Option<Duration> {
        self.service_times.get(class).map(|e| Duration::from_secs_f64(e * self.slowdown))
    }

    /// Mean service time over all classes at the current slowdown; zero before the first sample.
    pub fn mean_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_time * self.slowdown)
    }

    /// Mean service time over all classes as measured, over more answers than [`Self::mean_time`] and
    /// whatever the slowdown is just now; zero before the first sample.
    pub fn typical_time(&self) -> Duration {
        Duration::from_secs_f64(self.typical_time)
    }

    /// Starts, queues or refuses an arriving request.
    pub fn admit(&mut self, request: SlotRequest, now: Instant) -> AdmitDecision {
        self.record_offered_load(&request, now);
        if self.running < self.slots && self.waiting.is_empty() && self.cold_start.may_start(now) {
            self.start(now);
            return AdmitDecision::Run;
        }
        let own = self.expected_secs(&request);
        let ahead: f64 = self
            .waiting
            .iter()
            .filter(|w| starts_before(&w.request, &request))
            .map(|w| self.expected_secs(&w.request))
            .sum();
        let wait = self.secs_until_free()
            + ahead / f64::from(self.slots)
            + self.cold_start.wait_secs(now, self.waiting.len());
        let end = now + Duration::from_secs_f64(wait + own);
        let late_fits = self.offered_load < LATE_LOAD_MAX * f64::from(self.slots)
            && (self.waiting.len() as u32) < self.slots
            && end <= request.deadline;
        if end > request.objective && !late_fits {
            let over = end.saturating_duration_since(request.objective.max(now));
            return AdmitDecision::Refuse(over.max(RETRY_DELAY_MIN));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(Queued { ticket, request });
        AdmitDecision::Wait(ticket)
    }

    /// Frees the slot of a finished request and returns what follows for queued ones. `took` is the
    /// service time; `None` if it says nothing about the server's speed, as with a failed request.
    pub fn finish(&mut self, class: &str, took: Option<Duration>, now: Instant) -> Vec<QueueEvent> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.record_service_time(class, took);
        }
        self.dispatch(now)
    }

    /// Removes a queued request that was cancelled.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.ticket != ticket);
    }

    /// Starts the queued requests that may start now. One whose turn comes too late to meet its
    /// deadline is refused instead.
    pub fn dispatch(&mut self, now: Instant) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        while self.running < self.slots && !self.waiting.is_empty() {
            let Some(first) = self.next_index(now) else { break };
            let Queued { ticket, request } = &self.waiting[first];
            let (ticket, own) = (*ticket, self.expected_secs(request));
            // The estimate is a mean, and a short request may take only half of it.
            let too_late = now + Duration::from_secs_f64(own / 2.0) >= request.deadline;
            if !too_late && !self.cold_start.may_start(now) {
                break;
            }
            self.waiting.swap_remove(first);
            if too_late {
                events.push(QueueEvent::Refuse(ticket, RETRY_DELAY_MIN));
                continue;
            }
            self.start(now);
            events.push(QueueEvent::Start(ticket));
        }
        events
    }

    /// When [`dispatch`](Self::dispatch) must run next even if no request finishes, since the cold
    /// start limit is what holds requests back; `None` if it does not.
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

    /// Index of the queued request that starts next.
    fn next_index(&self, now: Instant) -> Option<usize> {
        let order = |w: &Queued| {
            let own = Duration::from_secs_f64(self.expected_secs(&w.request));
            let late = now + own > w.request.objective;
            (late, w.request.priority, w.ticket)
        };
        (0..self.waiting.len()).min_by_key(|i| order(&self.waiting[*i]))
    }

    /// Expected seconds until a slot is free.
    fn secs_until_free(&self) -> f64 {
        if self.running < self.slots {
            return 0.0;
        }
        self.mean_time * self.slowdown / f64::from(self.slots)
    }

    /// Expected service time in seconds.
    fn expected_secs(&self, request: &SlotRequest) -> f64 {
        match self.service_times.get(&request.class) {
            Some(estimate) => estimate * self.slowdown,
            None if self.mean_time > 0.0 => self.mean_time * self.slowdown,
            None => {
                let slack = request.deadline.saturating_duration_since(request.objective);
                slack.as_secs_f64().min(1.0) * UNMEASURED_FRACTION
            }
        }
    }

    fn record_service_time(&mut self, class: &str, took: Duration) {
        let normal = took.as_secs_f64() / self.slowdown;
        match self.service_times.get_mut(class) {
            Some(estimate) => *estimate += ESTIMATE_WEIGHT * (normal - *estimate),
            None => {
                self.service_times.insert(class.to_owned(), normal);
            }
        }
        self.typical_samples = self.typical_samples.saturating_add(1);
        // Until enough answers are known, each counts alike.
        let weight = TYPICAL_WEIGHT.max(1.0 / f64::from(self.typical_samples));
        self.typical_time += weight * (took.as_secs_f64() - self.typical_time);
        match self.mean_time > 0.0 {
            true => self.mean_time += ESTIMATE_WEIGHT * (normal - self.mean_time),
            false => self.mean_time = normal,
        }
    }

    /// Updates the offered load: slot-seconds of work per second, as a moving average over
    /// [`LOAD_PERIOD`].
    fn record_offered_load(&mut self, request: &SlotRequest, now: Instant) {
        let passed =
            self.load_updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.load_updated = Some(now);
        let period = LOAD_PERIOD.as_secs_f64();
        self.offered_load *= (-passed.as_secs_f64() / period).exp();
        self.offered_load += self.expected_secs(request) / period;
    }
}

/// Whether a queued request starts before an arriving one, if both can meet their objectives.
fn starts_before(waiting: &SlotRequest, request: &SlotRequest) -> bool {
    waiting.priority <= request.priority
}
