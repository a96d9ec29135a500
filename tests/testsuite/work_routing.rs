//! Policies for the choice of a target, replayed on the same load without a network.
//!
//! 72 entries send two kinds of requests to nine servers with twelve slots and speeds of 0.6, 1.0 and
//! 1.4. Each server spends a fifth of the periods of 400 ms at a third of its speed. An entry sees only
//! the reports that come with its own answers, and sends about three requests a second, so that its
//! reports are old. The design note 0008 discusses the results.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use kelpwind::gate::cost::{CostModel, Features, JobId, WorkLeft};
use kelpwind::route::least_cost::{self, Candidate, WorkCandidate};
use rstest::rstest;

const SERVERS: usize = 9;
const ENTRIES: usize = 72;
const SLOTS: u32 = 12;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Mean speed, given that a fifth of the time passes at a third of it.
const SLOWED: f64 = 0.8 + 0.2 / 3.0;
const MEAN_SECS: f64 = 0.18;
/// Usual time from a node to another.
const DELAY: f64 = 0.002;
const SECONDS: f64 = 30.0;
/// Answers from the first seconds are left out: nothing has been measured.
const WARM_UP: f64 = 6.0;
const KINDS: [&str; 2] = ["callout", "download"];
const GATES_MAX: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// Requests in progress, as with configurations without bulk routes.
    InProgress,
    /// Requests in progress, times the mean of their kind.
    MeanByKind,
    /// The least work left of all targets.
    LeastWork,
    /// The least work left of this many drawn targets.
    Choices(usize),
    /// Targets divided by the predicted cost, then the least work left.
    SizeInterval,
}

/// Which requests the load consists of.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shape {
    /// Both kinds alike.
    Alike,
    /// The second kind takes nine times as long as the first; the mean is the same.
    Unequal,
}

#[derive(Clone, Debug)]
struct Job {
    entry: usize,
    kind: usize,
    work: f64,
    created: f64,
    tried: Vec<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: f64,
    busy: u32,
    work: f64,
    speed: f64,
    service: [f64; 2],
}

#[derive(Clone, Copy, Debug, Default)]
struct View {
    report: Option<Report>,
    own: u32,
    sent_since: u32,
    service: [f64; 2],
}

#[derive(Default)]
struct Entry {
    views: [View; SERVERS],
    means: [f64; 2],
}

#[derive(Default)]
struct Server {
    model: CostModel,
    left: WorkLeft,
    running: u32,
    queue: VecDeque<(Job, JobId)>,
    estimates: [f64; 2],
}

enum Event {
    Choose(Job),
    Reach(usize, Job),
    Finish(usize, Job, JobId, f64),
    Reply(usize, Job, Report, bool),
}

struct Replay {
    random: fastrand::Rng,
    start: Instant,
    now: f64,
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    policy: Policy,
    shape: Shape,
    delay: f64,
    /// Expected wait from which a gate sends a request on to another; none are if it is `None`.
    sends_on: Option<f64>,
    times: [Vec<f64>; 2],
    hops: u32,
}

fn is_slow(server: usize, period: u64) -> bool {
    fastrand::Rng::with_seed(period * 97 + server as u64).u32(..5) == 0
}

/// End of `work` that begins at `start`.
fn end_of(server: usize, start: f64, mut work: f64) -> f64 {
    let mut now = start;
    loop {
        let period = (now / 0.4 + 1e-9) as u64;
        let slowed = if is_slow(server, period) { 3.0 } else { 1.0 };
        let rate = SPEEDS[server % 3] / slowed;
        let until = (period + 1) as f64 * 0.4;
        if (until - now) * rate >= work {
            return now + work / rate;
        }
        work -= (until - now) * rate;
        now = until;
    }
}

impl Replay {
    fn new(policy: Policy, sends_on: Option<f64>, shape: Shape, delay: f64) -> Replay {
        Replay {
            random: fastrand::Rng::with_seed(11),
            start: Instant::now(),
            now: 0.0,
            order: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            policy,
            shape,
            delay,
            sends_on,
            times: [Vec::new(), Vec::new()],
            hops: 0,
        }
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.next += 1;
        self.order.push(Reverse(((at * 1e6) as u64, self.next)));
        self.events.insert(self.next, event);
    }

    /// Replays the load at a fraction of the capacity; returns the response times by kind.
    fn run(mut self, utilization: f64) -> Replay {
        let capacity = (0..SERVERS).map(|n| SPEEDS[n % 3]).sum::<f64>() * f64::from(SLOTS) * SLOWED;
        let mut load = fastrand::Rng::with_seed(5);
        // 1% take three times as long.
        let rate = utilization * capacity / (MEAN_SECS * 1.02);
        let mut arrival = 0.0;
        while arrival < SECONDS {
            arrival += -(1.0 - load.f64()).ln() / rate;
            let normal = (-2.0 * (1.0 - load.f64()).ln()).sqrt()
                * (std::f64::consts::TAU * load.f64()).cos();
            let long = if load.u32(..100) == 0 { 3.0 } else { 1.0 };
            let kind = load.usize(..2);
            let scale = match self.shape {
                Shape::Alike => 1.0,
                Shape::Unequal => [0.2, 1.8][kind],
            };
            let work = MEAN_SECS * scale * (0.8 * normal - 0.32).exp() * long;
            let entry = load.usize(..ENTRIES);
            let job = Job { entry, kind, work, created: arrival, tried: Vec::new() };
            self.schedule(arrival, Event::Choose(job));
        }
        while let Some(Reverse((at, id))) = self.order.pop() {
            self.now = at as f64 / 1e6;
            match self.events.remove(&id).unwrap() {
                Event::Choose(job) => self.choose(job),
                Event::Reach(n, job) => self.reach(n, job),
                Event::Finish(n, job, id, began) => self.finish(n, job, id, began),
                Event::Reply(n, job, report, ran) => self.reply(n, job, report, ran),
            }
        }
        self
    }

    fn candidate(&self, entry: usize, n: usize, kind: usize) -> WorkCandidate {
        let (entry, mean) = (&self.entries[entry], self.mean(entry, kind));
        let view = &entry.views[n];
        let service = if view.service[kind] > 0.0 { view.service[kind] } else { mean };
        let age = view.report.map_or(1.0, |r| self.now - r.at);
        let known = Candidate {
            others: view.report.map_or(0, |r| r.busy.saturating_sub(view.own)),
            own: view.own,
            slots: SLOTS,
            service_time: Duration::from_secs_f64(service),
            report_age: Duration::from_secs_f64(age),
            same_domain: true,
            ..Candidate::default()
        };
        WorkCandidate {
            known,
            work: Duration::from_secs_f64(view.report.map_or(0.0, |r| r.work)),
            speed: view.report.map_or(1.0, |r| r.speed),
            sent_since: view.sent_since,
        }
    }

    fn mean(&self, entry: usize, kind: usize) -> f64 {
        let mean = self.entries[entry].means[kind];
        if mean > 0.0 { mean } else { 0.25 }
    }

    fn choose(&mut self, job: Job) {
        let mean = self.mean(job.entry, job.kind);
        let mut left: Vec<usize> = (0..SERVERS).filter(|n| !job.tried.contains(n)).collect();
        if self.policy == Policy::SizeInterval {
            // Each kind has servers by its share of the work.
            let (short, long) = (self.mean(job.entry, 0), self.mean(job.entry, 1));
            let count = (SERVERS as f64 * short / (short + long)).round() as usize;
            let first = SERVERS - count.clamp(1, SERVERS - 1);
            let part: Vec<usize> =
                left.iter().copied().filter(|n| (*n >= first) == (job.kind == 0)).collect();
            if !part.is_empty() {
                left = part;
            }
        }
        let targets: Vec<WorkCandidate> =
            left.iter().map(|n| self.candidate(job.entry, *n, job.kind)).collect();
        let random = &mut self.random;
        let chosen = match self.policy {
            Policy::InProgress => {
                let known: Vec<Candidate> = targets.iter().map(|t| t.known).collect();
                least_cost::choose(&known, mean, |_| random.u32(..))
            }
            Policy::MeanByKind => {
                // The work of the requests in progress, each as long as the mean of both kinds.
                let both = self.entries[job.entry].means.iter().sum::<f64>() / 2.0;
                let cost = |t: &WorkCandidate| {
                    let busy = f64::from(t.known.others + t.known.own);
                    mean + (busy + 1.0 - f64::from(SLOTS)).max(0.0) * both / f64::from(SLOTS)
                        + 0.2 * mean * busy / f64::from(SLOTS)
                };
                (0..targets.len()).min_by(|a, b| cost(&targets[*a]).total_cmp(&cost(&targets[*b])))
            }
            Policy::LeastWork | Policy::SizeInterval => {
                least_cost::choose_by_work(&targets, mean, SERVERS, || random.f64())
            }
            Policy::Choices(count) => {
                least_cost::choose_by_work(&targets, mean, count, || random.f64())
            }
        };
        let n = left[chosen.unwrap()];
        let view = &mut self.entries[job.entry].views[n];
        view.own += 1;
        view.sent_since += 1;
        self.schedule(self.now + self.delay, Event::Reach(n, job));
    }

    fn features(kind: usize) -> Features<'static> {
        Features { route: KINDS[kind], digest: kind as u64, body_bytes: 200 }
    }

    fn report(&self, n: usize) -> Report {
        let server = &self.servers[n];
        let known: Vec<f64> =
            self.servers.iter().map(|s| s.model.mean_secs()).filter(|m| *m > 0.0).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let own = server.model.mean_secs();
        Report {
            at: self.now,
            busy: server.left.len() as u32,
            work: server.left.time_until_free(&server.model, SLOTS, self.at()).as_secs_f64(),
            speed: if own > 0.0 { mean / own } else { 1.0 },
            service: server.estimates,
        }
    }

    fn reach(&mut self, n: usize, mut job: Job) {
        job.tried.push(n);
        if let Some(limit) = self.sends_on
            && job.tried.len() < GATES_MAX
            && self.servers[n].running >= SLOTS
        {
            let report = self.report(n);
            if report.work > limit {
                self.hops += 1;
                self.schedule(self.now + self.delay, Event::Reply(n, job, report, false));
                return;
            }
        }
        let server = &mut self.servers[n];
        let cost = server.model.predict(&Self::features(job.kind));
        let id = server.left.add(cost);
        server.queue.push_back((job, id));
        self.dispatch(n);
    }

    fn dispatch(&mut self, n: usize) {
        while self.servers[n].running < SLOTS {
            let at = self.at();
            let server = &mut self.servers[n];
            let Some((job, id)) = server.queue.pop_front() else { return };
            server.running += 1;
            server.left.start(id, at);
            let end = end_of(n, self.now, job.work);
            self.schedule(end, Event::Finish(n, job, id, self.now));
        }
    }

    fn finish(&mut self, n: usize, job: Job, id: JobId, began: f64) {
        let (at, took) = (self.at(), self.now - began);
        let server = &mut self.servers[n];
        server.running -= 1;
        server.left.remove(id);
        server.model.record(&Self::features(job.kind), Duration::from_secs_f64(took), at);
        let estimate = &mut server.estimates[job.kind];
        *estimate += if *estimate > 0.0 { 0.1 * (took - *estimate) } else { took };
        self.dispatch(n);
        let report = self.report(n);
        self.schedule(self.now + self.delay, Event::Reply(n, job, report, true));
    }

    fn reply(&mut self, n: usize, job: Job, report: Report, ran: bool) {
        let entry = &mut self.entries[job.entry];
        let view = &mut entry.views[n];
        view.own -= 1;
        view.sent_since = 0;
        view.report = Some(report);
        if !ran {
            self.choose(job);
            return;
        }
        view.service[job.kind] = report.service[job.kind];
        let mean = &mut entry.means[job.kind];
        *mean += if *mean > 0.0 {
            0.05 * (report.service[job.kind] - *mean)
        } else {
            report.service[job.kind]
        };
        if job.created >= WARM_UP {
            self.times[job.kind].push(self.now - job.created);
        }
    }

    /// Mean and 99th percentile of a kind in milliseconds, and the share over 500 ms.
    fn summary(&mut self, kind: usize) -> (f64, f64, f64) {
        let times = &mut self.times[kind];
        times.sort_by(f64::total_cmp);
        let count = times.len().max(1) as f64;
        let late = times.iter().filter(|t| **t > 0.5).count() as f64;
        let mean = times.iter().sum::<f64>() / count;
        (mean * 1e3, times[(count * 0.99) as usize] * 1e3, late / count)
    }
}

/// Expected wait in seconds from which gates return requests in the replays in which they do.
const RETURN_WAIT: f64 = 0.02;
const POLICIES: [(&str, Policy, Option<f64>); 9] = [
    ("in progress as today", Policy::InProgress, None),
    ("mean by kind", Policy::MeanByKind, None),
    ("least work left", Policy::LeastWork, None),
    ("two choices with work", Policy::Choices(2), None),
    ("size intervals", Policy::SizeInterval, None),
    ("in progress, returned", Policy::InProgress, Some(RETURN_WAIT)),
    ("two choices, returned", Policy::Choices(2), Some(RETURN_WAIT)),
    ("least work, returned", Policy::LeastWork, Some(RETURN_WAIT)),
    ("three choices, returned", CHOSEN, Some(RETURN_WAIT)),
];
const CHOSEN: Policy = Policy::Choices(least_cost::WORK_CHOICES);

/// Replays each policy and prints mean and 99th percentile by kind, in milliseconds, and the share of
/// answers after 500 ms. Returns mean and 99th percentile over both kinds by policy.
fn compare(shape: Shape, utilization: f64, delay: f64) -> Vec<(f64, f64)> {
    let delay_ms = delay * 1e3;
    println!("{shape:?}, {utilization} of the capacity, {delay_ms} ms from node to node");
    let replay = |(name, policy, sends_on)| {
        let mut replay = Replay::new(policy, sends_on, shape, delay).run(utilization);
        let [a, b] = [replay.summary(0), replay.summary(1)];
        println!(
            "  {name:24} callout {:6.0} {:6.0} {:5.3}  download {:6.0} {:6.0} {:5.3}  returned {}",
            a.0, a.1, a.2, b.0, b.1, b.2, replay.hops
        );
        ((a.0 + b.0) / 2.0, a.1.max(b.1))
    };
    POLICIES.into_iter().map(replay).collect()
}

/// Guards against entries with old reports that all send to the targets that were idle once: mean and
/// 99th percentile must be below those of the choice by requests in progress.
#[rstest]
#[case(0.6, 0.9)]
#[case(0.8, 0.75)]
#[case(0.95, 0.6)]
fn targets_chosen_by_the_work_left_answer_sooner(#[case] utilization: f64, #[case] ratio: f64) {
    let found = compare(Shape::Alike, utilization, DELAY);
    let (today, chosen) = (found[0], found[POLICIES.len() - 1]);
    assert!(chosen.0 < ratio * today.0, "mean {:.0} ms, today {:.0} ms", chosen.0, today.0);
    assert!(chosen.1 < today.1, "99th percentile {:.0} ms, today {:.0} ms", chosen.1, today.1);
}

/// The same with kinds of unequal cost.
#[test]
fn targets_chosen_by_the_work_left_answer_unequal_kinds_sooner() {
    for utilization in [0.8, 0.95] {
        let found = compare(Shape::Unequal, utilization, DELAY);
        let (today, chosen) = (found[0], found[POLICIES.len() - 1]);
        assert!(chosen.0 < 0.9 * today.0, "mean {:.0} ms, today {:.0} ms", chosen.0, today.0);
    }
}

/// Prints how the policies fare where nodes are far from each other: a returned request then costs more.
#[test]
fn policies_are_replayed_between_distant_nodes() {
    compare(Shape::Alike, 0.6, 0.04);
}

/// Guards against a prediction that a few long requests mislead, and against one that does not follow
/// a lasting change.
#[test]
fn a_prediction_follows_changes_but_not_single_requests() {
    let mut model = CostModel::default();
    let now = Instant::now();
    let request = Features { route: "read", digest: 1, body_bytes: 100 };
    assert_eq!(model.predict(&request).confidence, 0.0);
    for i in 0..200_u64 {
        let took = if i % 50 == 49 { 700 } else { 100 };
        let request = Features { digest: i, ..request };
        model.record(&request, Duration::from_millis(took), now);
    }
    let cost = model.predict(&Features { digest: 777, ..request });
    assert!((0.09..0.13).contains(&cost.secs) && cost.confidence > 0.9, "{cost:?}");
    for i in 0..200_u64 {
        model.record(&Features { digest: i, ..request }, Duration::from_millis(300), now);
    }
    let cost = model.predict(&Features { digest: 777, ..request });
    assert!(cost.secs > 0.27, "{cost:?}");
}

/// Guards against a key that always costs far more than its route being taken for an ordinary one.
#[test]
fn a_heavy_key_has_an_estimate_of_its_own() {
    let mut model = CostModel::default();
    let now = Instant::now();
    for i in 0..2000_u64 {
        let heavy = i % 20 == 0;
        let digest = if heavy { 7 } else { 1000 + i };
        let took = Duration::from_millis(if heavy { 900 } else { 100 });
        model.record(&Features { route: "read", digest, body_bytes: 100 }, took, now);
    }
    let predict = |digest| model.predict(&Features { route: "read", digest, body_bytes: 100 }).secs;
    assert!(predict(7) > 0.7, "{}", predict(7));
    assert!(predict(8) < 0.2, "{}", predict(8));
}

/// Guards against a request that has outlived its prediction being counted as finished.
#[test]
fn a_request_that_outlives_its_prediction_has_work_left() {
    let mut model = CostModel::default();
    let (start, mut left) = (Instant::now(), WorkLeft::default());
    let request = Features { route: "read", digest: 1, body_bytes: 100 };
    for i in 0..400 {
        let took = Duration::from_millis(if i % 20 == 0 { 800 } else { 100 });
        model.record(&request, took, start);
    }
    let later = start + Duration::from_secs(10);
    let id = left.add(model.predict(&request));
    assert_eq!(left.time_until_free(&model, 2, later), Duration::ZERO, "a slot is free");
    left.start(id, later);
    let fresh = left.time_until_free(&model, 1, later);
    let outlived = left.time_until_free(&model, 1, later + Duration::from_millis(300));
    assert!(fresh < Duration::from_millis(250), "{fresh:?}");
    assert!(outlived > fresh, "it is one of the long ones: {outlived:?}, at first {fresh:?}");
    left.remove(id);
    assert!(left.is_empty());
}
