//! A model of a service under load, in virtual time: entries, gates and targets, with the program's own
//! decisions or simpler ones in their place.
//!
//! Callers arrive at one of some entries, which choose a target by what its gate said last. The gate
//! starts requests, lets them wait or refuses them; a refused caller comes back once. A target's slots
//! each run one request; neighbours slow some targets for a while. Work that is not done at a caller's
//! limit is stopped, and was for nothing.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use kelpwind::gate::queue::{Event, RequestQueue, SlotRequest, Ticket, Verdict};
use kelpwind::route::least_cost::{self, Candidate};
use kelpwind::route::retry_after;

const ENTRIES: usize = 12;
const TARGETS: usize = 12;
const SLOTS: u32 = 6;
/// Mean time of a request on a target of usual speed, in seconds.
pub(crate) const WORK: f64 = 0.1;
/// Spread of that time: the standard deviation of its logarithm.
const SPREAD: f64 = 0.5;
/// How much longer work takes, by target.
const SPEEDS: [f64; 4] = [0.7, 1.0, 1.0, 1.6];
/// Requests a second that all targets bear without neighbours: slots over mean time, by speed.
pub(crate) const BEARS: f64 = 12.0 * 6.0 / WORK * (1.0 / 0.7 + 1.0 + 1.0 + 1.0 / 1.6) / 4.0;
const AIM: f64 = 0.4;
const LIMIT: f64 = 2.0;
/// Part of the requests of the greater rank.
const GREATER: f64 = 0.25;
/// Time between two draws of who is slowed by neighbours, and how much longer work takes there.
const NEIGHBOURS: (f64, f64) = (0.4, 3.0);
/// When callers come back that do not wait as they are told.
const IMPATIENCE: f64 = 0.02;
/// Seconds that are played, and the last in which callers arrive.
pub(crate) const TIME: f64 = 14.0;

/// A load.
pub(crate) struct Pattern {
    pub(crate) name: &'static str,
    /// Parts of what the targets bear, by time.
    pub(crate) load: fn(f64) -> f64,
    /// Part of the targets that neighbours slow.
    pub(crate) slowed: f64,
    /// Part of the callers that come back at once, up to four times.
    pub(crate) impatient: f64,
}

/// How a gate decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    /// All wait, first come first served.
    All,
    /// As many wait as there are slots.
    Bounded,
    /// Those wait that should end within their limit.
    Limit,
    /// The program's line.
    Line,
}

/// How an entry chooses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    Random,
    /// The target with the fewest requests of this entry.
    LeastOwn,
    /// The program's.
    Predicted,
}

/// A way to decide.
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) admission: Admission,
    pub(crate) choice: Choice,
    /// Whether refused callers are told when to come back; they come back at once otherwise.
    pub(crate) returns: bool,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) asked: f64,
    pub(crate) timely: f64,
    pub(crate) late: f64,
    pub(crate) refused: f64,
    pub(crate) expired: f64,
    /// Requests of the greater rank, and how many of them met their objective.
    pub(crate) greater: (f64, f64),
    /// Seconds of work, and of work for nothing.
    pub(crate) work: (f64, f64),
    /// Seconds to the answers.
    pub(crate) times: Vec<f64>,
    /// Requests that met their objective, by half second of their arrival.
    pub(crate) by_time: Vec<f64>,
}

#[derive(Clone, Debug)]
struct Job {
    entry: usize,
    target: usize,
    rank: u8,
    first: f64,
    tries: u32,
    impatient: bool,
    /// Seconds of work on a target of usual speed.
    work: f64,
}

/// What a gate says to a request that asks.
enum Word {
    Run,
    /// It waits, in the program's line under a ticket.
    Wait(Option<Ticket>),
    Refuse(Duration),
}

enum Happening {
    Arrives(Job),
    Ends(Job, f64),
}

/// A gate with one of the simpler ways, or the program's line.
struct Gate {
    line: RequestQueue,
    waiting: HashMap<Ticket, Job>,
    queue: VecDeque<Job>,
    running: u32,
}

struct World<'a> {
    pattern: &'a Pattern,
    policy: &'a Policy,
    random: Rng,
    start: Instant,
    /// What happens, by microsecond and by the order in which it was planned.
    happenings: BTreeMap<(u64, u64), Happening>,
    planned: u64,
    gates: Vec<Gate>,
    /// What each entry knows of each target: others' requests, time of an answer, and when it said so.
    views: Vec<Vec<(u32, f64, f64)>>,
    own: Vec<Vec<u32>>,
    slowed: Vec<bool>,
    drawn: f64,
    outcome: Outcome,
}

/// Plays a pattern with a policy.
pub(crate) fn play(pattern: &Pattern, policy: &Policy, seed: u64) -> Outcome {
    let gate = || Gate {
        line: RequestQueue::new(SLOTS),
        waiting: HashMap::new(),
        queue: VecDeque::new(),
        running: 0,
    };
    let mut world = World {
        pattern,
        policy,
        random: Rng::with_seed(seed),
        start: Instant::now(),
        happenings: BTreeMap::new(),
        planned: 0,
        gates: (0..TARGETS).map(|_| gate()).collect(),
        views: vec![vec![(0, WORK, -1.0); TARGETS]; ENTRIES],
        own: vec![vec![0; TARGETS]; ENTRIES],
        slowed: vec![false; TARGETS],
        drawn: -1.0,
        outcome: Outcome::default(),
    };
    world.outcome.by_time = vec![0.0; (TIME * 2.0) as usize];
    world.arrive_all();
    while let Some(((micros, _), happening)) = world.happenings.pop_first() {
        let now = micros as f64 / 1e6;
        match happening {
            Happening::Arrives(job) => world.arrives(job, now),
            Happening::Ends(job, took) => world.ends(&job, took, now),
        }
    }
    world.outcome
}

impl World<'_> {
    /// Draws all first arrivals, at random with the rate of the pattern.
    fn arrive_all(&mut self) {
        let mut time = 0.0;
        while time < TIME {
            let rate = (self.pattern.load)(time) * BEARS;
            time += -(1.0 - self.random.f64()).ln() / rate;
            let rank = if self.random.f64() < GREATER { 1 } else { 2 };
            let impatient = self.random.f64() < self.pattern.impatient;
            let work = WORK * self.spread();
            let entry = self.random.usize(..ENTRIES);
            let job = Job { entry, target: 0, rank, first: time, tries: 0, impatient, work };
            self.outcome.asked += 1.0;
            self.outcome.greater.0 += f64::from(u8::from(rank == 1));
            self.at(time, Happening::Arrives(job));
        }
    }

    /// A draw from a log-normal distribution of mean 1 and spread [`SPREAD`], like the users' requests.
    fn spread(&mut self) -> f64 {
        let angle = std::f64::consts::TAU * self.random.f64();
        let normal = (-2.0 * (1.0 - self.random.f64()).ln()).sqrt() * angle.cos();
        (SPREAD * normal - SPREAD * SPREAD / 2.0).exp()
    }

    fn at(&mut self, time: f64, happening: Happening) {
        self.planned += 1;
        self.happenings.insert(((time * 1e6) as u64, self.planned), happening);
    }

    fn moment(&self, time: f64) -> Instant {
        self.start + Duration::from_secs_f64(time.max(0.0))
    }

    /// How much longer work takes at a target now.
    fn pace(&mut self, target: usize, now: f64) -> f64 {
        if now - self.drawn >= NEIGHBOURS.0 {
            self.drawn = now;
            for i in 0..TARGETS {
                self.slowed[i] = self.random.f64() < self.pattern.slowed;
            }
        }
        if self.slowed[target] { NEIGHBOURS.1 } else { 1.0 }
    }

    fn arrives(&mut self, mut job: Job, now: f64) {
        job.tries += 1;
        job.target = self.choose(&job, now);
        let target = job.target;
        self.own[job.entry][target] += 1;
        let pace = self.pace(target, now);
        let word = match self.policy.admission {
            Admission::Line => {
                let aim = self.moment(job.first + AIM);
                let limit = self.moment(job.first + LIMIT);
                let ask = SlotRequest {
                    class: "read".to_owned(),
                    priority: job.rank,
                    objective: aim,
                    deadline: limit,
                };
                let at = self.moment(now);
                self.gates[target].line.set_slowdown(pace);
                match self.gates[target].line.admit(ask, at) {
                    Verdict::Run => Word::Run,
                    Verdict::Wait(ticket) => Word::Wait(Some(ticket)),
                    Verdict::Refuse(room) => Word::Refuse(room),
                }
            }
            _ => self.plain(&job, now),
        };
        match word {
            Word::Run => self.starts(job, now),
            Word::Refuse(room) => self.refused(job, room, now),
            Word::Wait(Some(ticket)) => drop(self.gates[target].waiting.insert(ticket, job)),
            Word::Wait(None) => self.gates[target].queue.push_back(job),
        }
    }

    /// The simpler ways.
    fn plain(&self, job: &Job, now: f64) -> Word {
        let gate = &self.gates[job.target];
        let waiting = gate.queue.len();
        if gate.running < SLOTS {
            return Word::Run;
        }
        let wait = (waiting + 1) as f64 * WORK * SPEEDS[job.target % 4] / f64::from(SLOTS);
        let fits = match self.policy.admission {
            Admission::Bounded => waiting < SLOTS as usize,
            Admission::Limit => now + wait + WORK <= job.first + LIMIT,
            _ => true,
        };
        if fits { Word::Wait(None) } else { Word::Refuse(Duration::from_secs_f64(wait)) }
    }

    fn choose(&mut self, job: &Job, now: f64) -> usize {
        match self.policy.choice {
            Choice::Random => self.random.usize(..TARGETS),
            Choice::LeastOwn => {
                let own = &self.own[job.entry];
                let least = own.iter().min().copied().unwrap_or(0);
                let all: Vec<usize> = (0..TARGETS).filter(|t| own[*t] == least).collect();
                all[self.random.usize(..all.len())]
            }
            Choice::Predicted => {
                let view = |t: usize| {
                    let (others, service, at) = self.views[job.entry][t];
                    Candidate {
                        others,
                        own: self.own[job.entry][t],
                        slots: SLOTS,
                        service_time: Duration::from_secs_f64(service),
                        report_age: Duration::from_secs_f64((now - at).max(0.0)),
                        same_domain: true,
                        suspect: false,
                    }
                };
                let views: Vec<Candidate> = (0..TARGETS).map(view).collect();
                let random = &mut self.random;
                least_cost::choose(&views, WORK, |_| random.u32(..)).unwrap_or(0)
            }
        }
    }

    fn starts(&mut self, job: Job, now: f64) {
        self.gates[job.target].running += 1;
        let pace = self.pace(job.target, now);
        let took = job.work * SPEEDS[job.target % 4] * pace;
        let end = (now + took).min(job.first + LIMIT).max(now);
        self.at(end, Happening::Ends(job, took));
    }

    fn ends(&mut self, job: &Job, took: f64, now: f64) {
        let target = job.target;
        self.gates[target].running -= 1;
        self.answered(job, now);
        let expired = now + 1e-6 >= job.first + LIMIT;
        self.outcome.work.0 += took;
        if expired {
            self.outcome.expired += 1.0;
            self.outcome.work.1 += took;
        } else {
            let time = now - job.first;
            self.outcome.times.push(time);
            if time <= AIM {
                self.outcome.timely += 1.0;
                self.outcome.greater.1 += f64::from(u8::from(job.rank == 1));
                let place = ((job.first * 2.0) as usize).min(self.outcome.by_time.len() - 1);
                self.outcome.by_time[place] += 2.0;
            } else {
                self.outcome.late += 1.0;
            }
        }
        if self.policy.admission == Admission::Line {
            let known = (!expired).then(|| Duration::from_secs_f64(took));
            let at = self.moment(now);
            let events = self.gates[target].line.finish("read", known, at);
            for event in events {
                self.told(target, event, now);
            }
            return;
        }
        while self.gates[target].running < SLOTS
            && let Some(next) = self.gates[target].queue.pop_front()
        {
            if now >= next.first + LIMIT {
                self.answered(&next, now);
                self.outcome.expired += 1.0;
                continue;
            }
            self.starts(next, now);
        }
    }

    fn told(&mut self, target: usize, event: Event, now: f64) {
        let (ticket, room) = match event {
            Event::Start(ticket) => (ticket, None),
            Event::Refuse(ticket, room) => (ticket, Some(room)),
        };
        let Some(job) = self.gates[target].waiting.remove(&ticket) else { return };
        match room {
            None => self.starts(job, now),
            Some(room) => self.refused(job, room, now),
        }
    }

    /// The entry hears from a gate.
    fn answered(&mut self, job: &Job, now: f64) {
        let own = &mut self.own[job.entry][job.target];
        *own = own.saturating_sub(1);
        let gate = &self.gates[job.target];
        let busy = match self.policy.admission {
            Admission::Line => gate.line.running() + gate.line.waiting(),
            _ => gate.running + gate.queue.len() as u32,
        };
        let service = gate.line.estimate("read").map_or(WORK, |e| e.as_secs_f64());
        self.views[job.entry][job.target] = (busy.saturating_sub(*own), service, now);
    }

    fn refused(&mut self, job: Job, room: Duration, now: f64) {
        self.answered(&job, now);
        let left = job.first + LIMIT - now;
        let most = if job.impatient { 4 } else { 2 };
        if left <= 0.0 || job.tries >= most {
            self.outcome.refused += 1.0;
            return;
        }
        let wait = if job.impatient || !self.policy.returns {
            IMPATIENCE
        } else {
            let left = Duration::from_secs_f64(left);
            retry_after::delay(room, left, self.random.f64()).as_secs_f64()
        };
        self.at(now + wait, Happening::Arrives(job));
    }
}
