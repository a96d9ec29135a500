//! A discrete-event simulation of a service under load: entries, gates and targets, with the
//! program's own policies or simpler ones in their place.
//!
//! A request arrives at a random entry, which selects a target by the last report of the target's
//! gate. The gate starts, queues or refuses the request; a refused caller retries once. Each slot
//! of a target runs one request at a time, and noisy neighbours slow some targets for a while. Work
//! that is not complete at the caller's deadline is cancelled and counts as wasted.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use kelpwind::gate::queue::{AdmitDecision, QueueEvent, RequestQueue, SlotRequest, Ticket};
use kelpwind::route::least_cost::{self, Candidate};
use kelpwind::route::retry_after;

const ENTRIES: usize = 12;
const TARGETS: usize = 12;
const SLOTS: u32 = 6;
/// Mean service time of a request on a target of nominal speed, in seconds.
pub(crate) const SERVICE_TIME_S: f64 = 0.1;
/// Standard deviation of the logarithm of the service time.
const SERVICE_TIME_SIGMA: f64 = 0.5;
/// Factors of the service time; target `i` has factor `i % 4`.
const SERVICE_TIME_FACTORS: [f64; 4] = [0.7, 1.0, 1.0, 1.6];
/// Requests per second that all targets can run without noisy neighbours: slots divided by the mean
/// service time, averaged over the target speeds.
pub(crate) const CAPACITY_PER_S: f64 =
    12.0 * 6.0 / SERVICE_TIME_S * (1.0 / 0.7 + 1.0 + 1.0 + 1.0 / 1.6) / 4.0;
/// Latency objective, in seconds after the first arrival.
const OBJECTIVE_S: f64 = 0.4;
/// Deadline of the caller, in seconds after the first arrival.
const DEADLINE_S: f64 = 2.0;
/// Fraction of the requests with high priority.
const HIGH_PRIORITY_FRACTION: f64 = 0.25;
/// Interval in seconds at which the targets slowed by noisy neighbours are drawn, and the factor of
/// the service time on them.
const NOISY_NEIGHBOURS: (f64, f64) = (0.4, 3.0);
/// Delay in seconds after which a caller retries that was not told a delay or ignores it.
const IMMEDIATE_RETRY_S: f64 = 0.02;
/// Seconds in which requests arrive.
pub(crate) const ARRIVALS_S: f64 = 14.0;

/// A load pattern.
pub(crate) struct Pattern {
    pub(crate) name: &'static str,
    /// Offered load as a fraction of the capacity, by time in seconds.
    pub(crate) load: fn(f64) -> f64,
    /// Fraction of the targets slowed by noisy neighbours.
    pub(crate) slowed: f64,
    /// Fraction of the callers that retry at once, up to three times.
    pub(crate) impatient: f64,
}

/// How a gate admits requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    /// An unbounded FIFO queue.
    Unbounded,
    /// A FIFO queue with as many places as slots.
    Bounded,
    /// A FIFO queue that refuses requests predicted to miss their deadline.
    WithinDeadline,
    /// The program's admission queue.
    Queue,
}

/// How an entry selects a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Selection {
    Random,
    /// The target with the fewest outstanding requests of this entry.
    LeastOwn,
    /// The program's selection by least cost.
    LeastCost,
}

/// A combination of admission, selection and retries to compare.
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) admission: Admission,
    pub(crate) selection: Selection,
    /// Whether refused callers are told a retry delay; otherwise they retry at once.
    pub(crate) retry_hint: bool,
}

/// Counts of requests by result, and figures for the comparison of policies.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) requests: f64,
    pub(crate) on_time: f64,
    pub(crate) late: f64,
    pub(crate) refused: f64,
    pub(crate) expired: f64,
    /// High-priority requests, and how many of them met their objective.
    pub(crate) high_priority: (f64, f64),
    /// Seconds of work in total and of wasted work.
    pub(crate) work: (f64, f64),
    /// Latencies of the requests answered before their deadline, in seconds.
    pub(crate) latencies_s: Vec<f64>,
    /// Requests per second that met their objective, by half second of their arrival.
    pub(crate) on_time_rate: Vec<f64>,
}

#[derive(Clone, Debug)]
struct Job {
    entry: usize,
    target: usize,
    /// 1 is high, 2 is low.
    priority: u8,
    /// Time of the first arrival, in seconds.
    arrival: f64,
    attempts: u32,
    impatient: bool,
    /// Service time on a target of nominal speed, in seconds.
    work: f64,
}

/// Decision of a gate on an arriving request.
enum Decision {
    Run,
    /// It is queued; the program's admission queue identifies it by a ticket.
    Wait(Option<Ticket>),
    /// It is refused; capacity should be available after this time.
    Refuse(Duration),
}

enum SimEvent {
    Arrival(Job),
    /// The request ends, either completely or at its deadline; the value is its work in seconds.
    Completion(Job, f64),
}

/// A gate with the program's admission queue and with the FIFO queue of the simpler policies.
struct Gate {
    admission: RequestQueue,
    /// Jobs in the program's admission queue, by ticket.
    queued: HashMap<Ticket, Job>,
    fifo: VecDeque<Job>,
    running: u32,
}

struct Simulation<'a> {
    pattern: &'a Pattern,
    policy: &'a Policy,
    random: Rng,
    start: Instant,
    /// Future events by time in microseconds, then by the order in which they were scheduled.
    events: BTreeMap<(u64, u64), SimEvent>,
    scheduled: u64,
    gates: Vec<Gate>,
    /// Last report of each target at each entry: requests of other entries, service time in
    /// seconds, and time of the report.
    reports: Vec<Vec<(u32, f64, f64)>>,
    /// Outstanding requests of each entry at each target.
    outstanding: Vec<Vec<u32>>,
    slowed: Vec<bool>,
    /// When `slowed` was last drawn, in seconds.
    drawn_at: f64,
    outcome: Outcome,
}

/// Simulates a load pattern under a policy until all requests have a result.
pub(crate) fn simulate(pattern: &Pattern, policy: &Policy, seed: u64) -> Outcome {
    let gate = || Gate {
        admission: RequestQueue::new(SLOTS),
        queued: HashMap::new(),
        fifo: VecDeque::new(),
        running: 0,
    };
    let mut simulation = Simulation {
        pattern,
        policy,
        random: Rng::with_seed(seed),
        start: Instant::now(),
        events: BTreeMap::new(),
        scheduled: 0,
        gates: (0..TARGETS).map(|_| gate()).collect(),
        reports: vec![vec![(0, SERVICE_TIME_S, -1.0); TARGETS]; ENTRIES],
        outstanding: vec![vec![0; TARGETS]; ENTRIES],
        slowed: vec![false; TARGETS],
        drawn_at: -1.0,
        outcome: Outcome::default(),
    };
    simulation.outcome.on_time_rate = vec![0.0; (ARRIVALS_S * 2.0) as usize];
    simulation.schedule_arrivals();
    while let Some(((micros, _), event)) = simulation.events.pop_first() {
        let now = micros as f64 / 1e6;
        match event {
            SimEvent::Arrival(job) => simulation.handle_arrival(job, now),
            SimEvent::Completion(job, took) => simulation.complete(&job, took, now),
        }
    }
    simulation.outcome
}

impl Simulation<'_> {
    /// Schedules the first arrival of every request: a Poisson process with the rate of the
    /// pattern.
    fn schedule_arrivals(&mut self) {
        let mut time = 0.0;
        while time < ARRIVALS_S {
            let rate = (self.pattern.load)(time) * CAPACITY_PER_S;
            time += -(1.0 - self.random.f64()).ln() / rate;
            let priority = if self.random.f64() < HIGH_PRIORITY_FRACTION { 1 } else { 2 };
            let impatient = self.random.f64() < self.pattern.impatient;
            let work = SERVICE_TIME_S * self.draw_factor();
            let entry = self.random.usize(..ENTRIES);
            let job =
                Job { entry, target: 0, priority, arrival: time, attempts: 0, impatient, work };
            self.outcome.requests += 1.0;
            self.outcome.high_priority.0 += f64::from(u8::from(priority == 1));
            self.schedule(time, SimEvent::Arrival(job));
        }
    }

    /// Draws from a log-normal distribution with mean 1 and parameter [`SERVICE_TIME_SIGMA`], the
    /// shape of the service times of real requests.
    fn draw_factor(&mut self) -> f64 {
        let angle = std::f64::consts::TAU * self.random.f64();
        let normal = (-2.0 * (1.0 - self.random.f64()).ln()).sqrt() * angle.cos();
        (SERVICE_TIME_SIGMA * normal - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp()
    }

    fn schedule(&mut self, time: f64, event: SimEvent) {
        self.scheduled += 1;
        self.events.insert(((time * 1e6) as u64, self.scheduled), event);
    }

    fn instant(&self, time: f64) -> Instant {
        self.start + Duration::from_secs_f64(time.max(0.0))
    }

    /// Factor by which noisy neighbours lengthen the service time of a target now.
    fn slowdown(&mut self, target: usize, now: f64) -> f64 {
        if now - self.drawn_at >= NOISY_NEIGHBOURS.0 {
            self.drawn_at = now;
            for i in 0..TARGETS {
                self.slowed[i] = self.random.f64() < self.pattern.slowed;
            }
        }
        if self.slowed[target] { NOISY_NEIGHBOURS.1 } else { 1.0 }
    }

    fn handle_arrival(&mut self, mut job: Job, now: f64) {
        job.attempts += 1;
        job.target = self.select(&job, now);
        let target = job.target;
        self.outstanding[job.entry][target] += 1;
        let slowdown = self.slowdown(target, now);
        let decision = match self.policy.admission {
            Admission::Queue => {
                let objective = self.instant(job.arrival + OBJECTIVE_S);
                let deadline = self.instant(job.arrival + DEADLINE_S);
                let request = SlotRequest {
                    class: "read".to_owned(),
                    priority: job.priority,
                    objective,
                    deadline,
                };
                let at = self.instant(now);
                self.gates[target].admission.set_slowdown(slowdown);
                match self.gates[target].admission.admit(request, at) {
                    AdmitDecision::Run => Decision::Run,
                    AdmitDecision::Wait(ticket) => Decision::Wait(Some(ticket)),
                    AdmitDecision::Refuse(delay) => Decision::Refuse(delay),
                }
            }
            _ => self.admit_fifo(&job, now),
        };
        match decision {
            Decision::Run => self.start(job, now),
            Decision::Refuse(delay) => self.retry_or_refuse(job, delay, now),
            Decision::Wait(Some(ticket)) => drop(self.gates[target].queued.insert(ticket, job)),
            Decision::Wait(None) => self.gates[target].fifo.push_back(job),
        }
    }

    /// Decision of a FIFO queue.
    fn admit_fifo(&self, job: &Job, now: f64) -> Decision {
        let gate = &self.gates[job.target];
        let waiting = gate.fifo.len();
        if gate.running < SLOTS {
            return Decision::Run;
        }
        let wait = (waiting + 1) as f64 * SERVICE_TIME_S * SERVICE_TIME_FACTORS[job.target % 4]
            / f64::from(SLOTS);
        let fits = match self.policy.admission {
            Admission::Bounded => waiting < SLOTS as usize,
            Admission::WithinDeadline => now + wait + SERVICE_TIME_S <= job.arrival + DEADLINE_S,
            _ => true,
        };
        if fits { Decision::Wait(None) } else { Decision::Refuse(Duration::from_secs_f64(wait)) }
    }

    fn select(&mut self, job: &Job, now: f64) -> usize {
        match self.policy.selection {
            Selection::Random => self.random.usize(..TARGETS),
            Selection::LeastOwn => {
                let own = &self.outstanding[job.entry];
                let least = own.iter().min().copied().unwrap_or(0);
                let all: Vec<usize> = (0..TARGETS).filter(|t| own[*t] == least).collect();
                all[self.random.usize(..all.len())]
            }
            Selection::LeastCost => {
                let candidate = |t: usize| {
                    let (others, service_time, at) = self.reports[job.entry][t];
                    Candidate {
                        others,
                        own: self.outstanding[job.entry][t],
                        slots: SLOTS,
                        service_time: Duration::from_secs_f64(service_time),
                        interval: Duration::ZERO,
                        report_age: Duration::from_secs_f64((now - at).max(0.0)),
                        same_domain: true,
                        suspect: false,
                    }
                };
                let candidates: Vec<Candidate> = (0..TARGETS).map(candidate).collect();
                let random = &mut self.random;
                least_cost::choose(&candidates, SERVICE_TIME_S, |_| random.u32(..)).unwrap_or(0)
            }
        }
    }

    fn start(&mut self, job: Job, now: f64) {
        self.gates[job.target].running += 1;
        let slowdown = self.slowdown(job.target, now);
        let took = job.work * SERVICE_TIME_FACTORS[job.target % 4] * slowdown;
        let end = (now + took).min(job.arrival + DEADLINE_S).max(now);
        self.schedule(end, SimEvent::Completion(job, took));
    }

    fn complete(&mut self, job: &Job, took: f64, now: f64) {
        let target = job.target;
        self.gates[target].running -= 1;
        self.update_report(job, now);
        let expired = now + 1e-6 >= job.arrival + DEADLINE_S;
        self.outcome.work.0 += took;
        if expired {
            self.outcome.expired += 1.0;
            self.outcome.work.1 += took;
        } else {
            let time = now - job.arrival;
            self.outcome.latencies_s.push(time);
            if time <= OBJECTIVE_S {
                self.outcome.on_time += 1.0;
                self.outcome.high_priority.1 += f64::from(u8::from(job.priority == 1));
                let bin = ((job.arrival * 2.0) as usize).min(self.outcome.on_time_rate.len() - 1);
                self.outcome.on_time_rate[bin] += 2.0;
            } else {
                self.outcome.late += 1.0;
            }
        }
        if self.policy.admission == Admission::Queue {
            let known = (!expired).then(|| Duration::from_secs_f64(took));
            let at = self.instant(now);
            let events = self.gates[target].admission.finish("read", known, at);
            for event in events {
                self.handle_queue_event(target, event, now);
            }
            return;
        }
        while self.gates[target].running < SLOTS
            && let Some(next) = self.gates[target].fifo.pop_front()
        {
            if now >= next.arrival + DEADLINE_S {
                self.update_report(&next, now);
                self.outcome.expired += 1.0;
                continue;
            }
            self.start(next, now);
        }
    }

    fn handle_queue_event(&mut self, target: usize, event: QueueEvent, now: f64) {
        let (ticket, delay) = match event {
            QueueEvent::Start(ticket) => (ticket, None),
            QueueEvent::Refuse(ticket, delay) => (ticket, Some(delay)),
        };
        let Some(job) = self.gates[target].queued.remove(&ticket) else { return };
        match delay {
            None => self.start(job, now),
            Some(delay) => self.retry_or_refuse(job, delay, now),
        }
    }

    /// Updates the entry's report of the target with a response of its gate.
    fn update_report(&mut self, job: &Job, now: f64) {
        let own = &mut self.outstanding[job.entry][job.target];
        *own = own.saturating_sub(1);
        let gate = &self.gates[job.target];
        let busy = match self.policy.admission {
            Admission::Queue => gate.admission.running() + gate.admission.waiting(),
            _ => gate.running + gate.fifo.len() as u32,
        };
        let service_time =
            gate.admission.estimate("read").map_or(SERVICE_TIME_S, |e| e.as_secs_f64());
        self.reports[job.entry][job.target] = (busy.saturating_sub(*own), service_time, now);
    }

    fn retry_or_refuse(&mut self, job: Job, delay: Duration, now: f64) {
        self.update_report(&job, now);
        let left = job.arrival + DEADLINE_S - now;
        let attempts_max = if job.impatient { 4 } else { 2 };
        if left <= 0.0 || job.attempts >= attempts_max {
            self.outcome.refused += 1.0;
            return;
        }
        let wait = if job.impatient || !self.policy.retry_hint {
            IMMEDIATE_RETRY_S
        } else {
            let left = Duration::from_secs_f64(left);
            retry_after::delay(delay, left, self.random.f64()).as_secs_f64()
        };
        self.schedule(now + wait, SimEvent::Arrival(job));
    }
}
