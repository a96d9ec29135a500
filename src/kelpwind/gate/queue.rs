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
//! A rate limit that the server states ([`super::rate_limit`]) counts as less capacity: requests whose
//! turn would come too late are refused as soon as that is known, not when their turn comes.
//!
//! Where kinds of requests of unequal cost share the server ([`RequestQueue::set_sharing`]), the load
//! pattern is 1.2 to 2.5 times the capacity for seconds, and a refused caller returns to the same
//! overload. The order of starts is:
//! 1. classes that get less than their guaranteed share ([`super::share`]);
//! 2. classes with little time by configuration, which are nested calls: each keeps the slot of
//!    another request waiting. They are refused only if their deadline cannot be met;
//! 3. by priority; within one, requests that can still meet their objective before late ones; among
//!    these, the least time left first.
//!
//! Requests whose deadline cannot be met any more are refused and never start. If the queue is full,
//! a late request of the lowest priority is evicted, and of these the one with the least time left.
//!
//! Pure: the time is an argument, and the requests to start are returned as values.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::cold_start::ColdStart;
use super::rate_limit::RateLimit;
use super::share::{ClassIndex, ReturnTimes, Shares};
use crate::core::ids::RequestRate;

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

/// Time that a request needs until its deadline to be worth a start, as a multiple of the mean time.
const DEADLINE_MARGIN: f64 = 1.5;
/// Least such time, for a request that arrives with little time: a short one may take half the mean.
const LEAST_FRACTION: f64 = 0.5;
/// Time that a request needs until its objective to count as in time, as a multiple of the mean time:
/// service times vary, and one with just the mean left is late in a third of the cases. With three times the
/// mean, requests of a server that is just full count as late while they could be in time.
const OBJECTIVE_MARGIN: f64 = 1.5;
/// Largest fraction of the time from arrival to objective or deadline that these margins take.
const ALLOWANCE_FRACTION: f64 = 0.6;
/// Most queued work, as the time in which all slots together do it. Callers are better off elsewhere, or
/// refused early, than behind more.
const BACKLOG_MAX: Duration = Duration::from_millis(1200);

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
    arrived: Instant,
    /// Number of the class, if kinds share the server.
    class: ClassIndex,
    /// Whether the class goes before others, if kinds share the server.
    short: bool,
    /// Service time expected on arrival, in seconds at the usual speed of the server.
    expected: f64,
}

/// State of a queue whose server several kinds of requests of unequal cost share.
#[derive(Clone, Debug, Default)]
struct Sharing {
    shares: Shares,
    returns: ReturnTimes,
    /// Classes whose requests go before those of all others that get their share.
    short: HashSet<String>,
}

/// What the order of queued requests depends on while kinds share the server. It is taken once per
/// decision, since hundreds of requests may be queued.
struct SharedView {
    now: Instant,
    /// Whether a class gets less than its guaranteed share, by its number.
    owed: Vec<bool>,
    slowdown: f64,
}

/// Sort key of queued requests while kinds share the server: the lowest starts next.
type SharedOrder = (bool, bool, u8, bool, Instant, Ticket);

impl SharedView {
    /// Expected service time of a queued request, in seconds.
    fn expected(&self, queued: &Queued) -> f64 {
        queued.expected * self.slowdown
    }

    /// Whether a request that starts now would probably miss its deadline.
    fn is_hopeless(&self, queued: &Queued) -> bool {
        self.is_hopeless_at(queued, self.now)
    }

    /// Whether a request that starts at `start` would probably miss its deadline.
    fn is_hopeless_at(&self, queued: &Queued, start: Instant) -> bool {
        let own = self.expected(queued);
        // A request with little time on arrival is tried if half of the usual time is left.
        let allowance = queued.request.deadline.saturating_duration_since(queued.arrived);
        let most = (allowance.as_secs_f64() * ALLOWANCE_FRACTION).max(own * LEAST_FRACTION);
        let needed = Duration::from_secs_f64((own * DEADLINE_MARGIN).min(most));
        start + needed > queued.request.deadline
    }

    /// Whether a request that starts now would probably miss its latency objective.
    fn is_late(&self, queued: &Queued) -> bool {
        let own = self.expected(queued);
        // A class whose usual time is close to its objective would else be late on arrival.
        let allowance = queued.request.objective.saturating_duration_since(queued.arrived);
        let most = (allowance.as_secs_f64() * ALLOWANCE_FRACTION).max(own);
        let margin = Duration::from_secs_f64((own * OBJECTIVE_MARGIN).min(most));
        self.now + margin > queued.request.objective
    }

    /// When a request starts, relative to others.
    fn order(&self, queued: &Queued) -> SharedOrder {
        let request = &queued.request;
        let owed = self.owed.get(queued.class).is_some_and(|owed| *owed);
        let late = self.is_late(queued);
        let until = if late { request.deadline } else { request.objective };
        (!owed, !queued.short, request.priority, late, until, queued.ticket)
    }

    /// Sort key of queued requests by when they are evicted: the highest is first.
    fn eviction_order(&self, queued: &Queued) -> (bool, bool, u8, Reverse<Instant>, Ticket) {
        let request = &queued.request;
        let late = self.is_late(queued);
        (!queued.short, late, request.priority, Reverse(request.deadline), queued.ticket)
    }
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
    rate_limit: RateLimit,
    sharing: Option<Sharing>,
    /// Refusals of requests that were evicted on the arrival of others; the next dispatch returns them.
    evicted: Vec<QueueEvent>,
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
            rate_limit: RateLimit::default(),
            sharing: None,
            evicted: Vec::new(),
        }
    }

    /// Changes the number of slots; running requests are not affected.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets whether kinds of requests of unequal cost share the server; see the module's documentation.
    pub fn set_sharing(&mut self, sharing: bool) {
        if sharing != self.sharing.is_some() {
            self.sharing = sharing.then(Sharing::default);
        }
    }

    /// Sets the classes whose requests go before those of others while kinds share the server (see
    /// [`super::share::short_classes`]).
    pub fn set_short_classes(&mut self, classes: HashSet<String>) {
        if let Some(sharing) = &mut self.sharing {
            sharing.short = classes;
        }
    }

    /// Whether kinds of requests of unequal cost share the server.
    pub fn is_sharing(&self) -> bool {
        self.sharing.is_some()
    }

    /// Sets the slowdown that the server reports: 1 is normal, 2 means that work takes twice as
    /// long.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        if slowdown.is_nan() {
            return;
        }
        self.slowdown = slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
    }

    /// Sets the limit that the server states for its requests; `None` if it states none.
    pub fn set_rate_limit(&mut self, rate: Option<RequestRate>, now: Instant) {
        self.rate_limit.set_rate(rate, now);
    }

    /// Whether the server's rate limit lets no request start now.
    pub fn is_rate_limited(&self, now: Instant) -> bool {
        !self.rate_limit.may_start(now)
    }

    /// Work that the server can do at once, in slots: all of them, or as many as requests keep busy that
    /// arrive at the server's rate limit.
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots);
        match self.rate_limit.per_second().filter(|_| self.typical_time > 0.0) {
            Some(rate) => slots.min(rate * self.typical_time),
            None => slots,
        }
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
        if self.sharing.is_some() {
            return self.admit_shared(request, now);
        }
        if self.running < self.slots && self.waiting.is_empty() && self.may_start(now) {
            self.start(now);
            return AdmitDecision::Run;
        }
        let own = self.expected_secs(&request);
        let (mut ahead, mut ahead_secs) = (0, 0.0);
        for other in self.waiting.iter().filter(|w| starts_before(&w.request, &request)) {
            ahead += 1;
            ahead_secs += self.expected_secs(&other.request);
        }
        let wait = self.secs_until_free()
            + ahead_secs / f64::from(self.slots)
            + self.cold_start.wait_secs(now, self.waiting.len());
        let wait = wait.max(self.rate_limit.wait(now, ahead).as_secs_f64());
        let end = now + Duration::from_secs_f64(wait + own);
        let late_fits = self.offered_load < LATE_LOAD_MAX * self.capacity()
            && (self.waiting.len() as u32) < self.slots
            && end <= request.deadline;
        if end > request.objective && !late_fits {
            let over = end.saturating_duration_since(request.objective.max(now));
            return AdmitDecision::Refuse(self.retry_delay(over, now));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(Queued {
            ticket,
            request,
            arrived: now,
            class: 0,
            short: false,
            expected: own,
        });
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
        if self.sharing.is_some() {
            return self.dispatch_shared(now);
        }
        let mut events = std::mem::take(&mut self.evicted);
        while self.running < self.slots && !self.waiting.is_empty() {
            let Some(first) = self.next_index(now) else { break };
            let Queued { ticket, request, .. } = &self.waiting[first];
            let (ticket, own) = (*ticket, self.expected_secs(request));
            // The estimate is a mean, and a short request may take only half of it.
            let too_late = now + Duration::from_secs_f64(own / 2.0) >= request.deadline;
            if !too_late && !self.may_start(now) {
                break;
            }
            self.waiting.swap_remove(first);
            if too_late {
                events.push(QueueEvent::Refuse(ticket, self.retry_delay(Duration::ZERO, now)));
                continue;
            }
            self.start(now);
            events.push(QueueEvent::Start(ticket));
        }
        self.refuse_hopeless(now, &mut events);
        events
    }

    /// Refuses the queued requests whose turn under the rate limit comes too late. They were admitted
    /// before the limit was stated or lowered, or before others with a higher priority arrived.
    fn refuse_hopeless(&mut self, now: Instant, events: &mut Vec<QueueEvent>) {
        if self.rate_limit.per_second().is_none() {
            return;
        }
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|i| self.start_order(&self.waiting[*i], now));
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for Queued { ticket, request, .. } in order.into_iter().map(|i| &self.waiting[i]) {
            let start = now + self.rate_limit.wait(now, ahead);
            if start + Duration::from_secs_f64(self.expected_secs(request) / 2.0)
                >= request.deadline
            {
                hopeless.push(*ticket);
            } else {
                ahead += 1;
            }
        }
        self.waiting.retain(|w| !hopeless.contains(&w.ticket));
        for ticket in hopeless {
            events.push(QueueEvent::Refuse(ticket, self.retry_delay(Duration::ZERO, now)));
        }
    }

    /// Retry delay of a request that is refused because its answer would be late by `over`.
    fn retry_delay(&mut self, over: Duration, now: Instant) -> Duration {
        over.max(RETRY_DELAY_MIN).max(self.rate_limit.record_refusal(now))
    }

    /// When [`dispatch`](Self::dispatch) must run next even if no request finishes, since at most the
    /// cold start and the rate limit hold requests back; `None` if a slot must become free first.
    pub fn next_dispatch(&self, now: Instant) -> Option<Instant> {
        if !self.evicted.is_empty() {
            return Some(now);
        }
        if self.waiting.is_empty() || self.running >= self.slots {
            return None;
        }
        let next = self.cold_start.next_start(now).max(self.rate_limit.next_start(now));
        Some(next.unwrap_or(now))
    }

    /// Starts or queues an arriving request unless its deadline cannot be met, and evicts others for
    /// it if the queue is full.
    fn admit_shared(&mut self, request: SlotRequest, now: Instant) -> AdmitDecision {
        let own = self.expected_secs(&request);
        let class = self.sharing.as_mut().map_or(0, |sharing| {
            let class = sharing.shares.index(&request.class);
            sharing.shares.record_offered(class, own, now);
            class
        });
        let least = Duration::from_secs_f64(own * LEAST_FRACTION);
        if now + least > request.deadline {
            return AdmitDecision::Refuse(self.return_delay(0.0, request.deadline, now));
        }
        if self.running < self.slots && self.waiting.is_empty() && self.may_start(now) {
            self.start_shared(class, own, now);
            return AdmitDecision::Run;
        }
        let ticket = Ticket(self.next_ticket);
        let expected = own / self.slowdown;
        let short = self.sharing.as_ref().is_some_and(|s| s.short.contains(&request.class));
        let queued = Queued { ticket, request, arrived: now, class, short, expected };
        let view = self.view(now);
        let order = view.order(&queued);
        let (mut ahead, mut ahead_secs, mut all_secs) = (0, 0.0, own);
        for other in &self.waiting {
            let secs = view.expected(other);
            all_secs += secs;
            if view.order(other) < order {
                ahead += 1;
                ahead_secs += secs;
            }
        }
        let slots = f64::from(self.slots);
        let wait =
            self.secs_until_free() + ahead_secs / slots + self.cold_start.wait_secs(now, ahead);
        let wait = wait.max(self.rate_limit.wait(now, ahead).as_secs_f64());
        let start = now + Duration::from_secs_f64(wait);
        let end = start + Duration::from_secs_f64(own);
        // Work that can only be late is queued while there is capacity to spare. In an overload it would keep
        // its caller from returning when there is room, and fill memory.
        let late_fits = self.offered_load < LATE_LOAD_MAX * self.capacity()
            && (self.waiting.len() as u32) < self.slots;
        let too_late = end > queued.request.objective && !queued.short && !late_fits;
        if too_late || view.is_hopeless_at(&queued, start) {
            return AdmitDecision::Refuse(self.return_delay(
                all_secs - own,
                queued.request.deadline,
                now,
            ));
        }
        self.next_ticket += 1;
        self.waiting.push(queued);
        while all_secs > BACKLOG_MAX.as_secs_f64() * slots {
            let last =
                (0..self.waiting.len()).max_by_key(|i| view.eviction_order(&self.waiting[*i]));
            let Some(last) = last else { break };
            let evicted = self.waiting.swap_remove(last);
            all_secs -= view.expected(&evicted);
            let delay = self.return_delay(all_secs, evicted.request.deadline, now);
            if evicted.ticket == ticket {
                return AdmitDecision::Refuse(delay);
            }
            self.evicted.push(QueueEvent::Refuse(evicted.ticket, delay));
        }
        AdmitDecision::Wait(ticket)
    }

    /// Refuses the queued requests whose deadlines cannot be met any more, and starts others.
    fn dispatch_shared(&mut self, now: Instant) -> Vec<QueueEvent> {
        let mut events = std::mem::take(&mut self.evicted);
        let mut view = self.view(now);
        let waiting = std::mem::take(&mut self.waiting);
        let (hopeless, waiting): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|w| view.is_hopeless(w));
        self.waiting = waiting;
        let all_secs: f64 = self.waiting.iter().map(|w| view.expected(w)).sum();
        for queued in hopeless {
            let delay = self.return_delay(all_secs, queued.request.deadline, now);
            events.push(QueueEvent::Refuse(queued.ticket, delay));
        }
        while self.running < self.slots && self.may_start(now) {
            let first = (0..self.waiting.len()).min_by_key(|i| view.order(&self.waiting[*i]));
            let Some(first) = first else { break };
            let Queued { ticket, class, .. } = self.waiting[first];
            let own = view.expected(&self.waiting[first]);
            self.waiting.swap_remove(first);
            self.start_shared(class, own, now);
            events.push(QueueEvent::Start(ticket));
            // The start may have paid what the class was owed.
            view = self.view(now);
        }
        self.refuse_hopeless(now, &mut events);
        events
    }

    fn start_shared(&mut self, class: ClassIndex, own: f64, now: Instant) {
        self.start(now);
        if let Some(sharing) = &mut self.sharing {
            sharing.shares.record_started(class, own, now);
        }
    }

    /// The state of the classes that the order of queued requests depends on.
    fn view(&self, now: Instant) -> SharedView {
        let owed = self.sharing.as_ref().map(|s| s.shares.owed()).unwrap_or_default();
        SharedView { now, owed, slowdown: self.slowdown }
    }

    /// Time after which a refused caller should return: when the queued work is done, and the callers
    /// refused before it have returned. `queued_secs` is the work of the requests that stay queued.
    fn return_delay(&mut self, queued_secs: f64, deadline: Instant, now: Instant) -> Duration {
        let slots = f64::from(self.slots);
        let free_after = self.secs_until_free() + queued_secs / slots;
        let interval = self.mean_time * self.slowdown / slots;
        let limited = self.rate_limit.record_refusal(now);
        let Some(sharing) = &mut self.sharing else { return limited };
        let free_after = Duration::from_secs_f64(free_after).max(RETRY_DELAY_MIN);
        let interval = Duration::from_secs_f64(interval);
        sharing.returns.assign(free_after, interval, deadline, now).max(limited)
    }

    /// Whether the limits on request starts let one more start.
    fn may_start(&self, now: Instant) -> bool {
        self.cold_start.may_start(now) && self.rate_limit.may_start(now)
    }

    fn start(&mut self, now: Instant) {
        self.running += 1;
        self.cold_start.record_start(now);
        self.rate_limit.record_start(now);
    }

    /// Sort key of queued requests by when they start: the lowest is next.
    fn start_order(&self, queued: &Queued, now: Instant) -> (bool, u8, Ticket) {
        let own = Duration::from_secs_f64(self.expected_secs(&queued.request));
        let late = now + own > queued.request.objective;
        (late, queued.request.priority, queued.ticket)
    }

    /// Index of the queued request that starts next.
    fn next_index(&self, now: Instant) -> Option<usize> {
        (0..self.waiting.len()).min_by_key(|i| self.start_order(&self.waiting[*i], now))
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
