//! What this entry has measured itself: of each target, and of each service.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::budget::Budget;
use super::picker::Candidate;
use super::quantile::Quantile;
use crate::core::call::{Answer, Load};
use crate::core::codes::Code;
use crate::core::ids::{Holder, ServiceName};

/// How long a target that failed is passed over.
const FAILED_TIME: Duration = Duration::from_millis(1000);
/// How long a target that bears no more is passed over.
const BUSY_TIME: Duration = Duration::from_millis(20);
/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time in which a remembered latency counts half as much.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Quantile of the latency after which a read is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Answers after which the quantile is trusted.
const HEDGE_LEAST: u32 = 50;
/// Shortest time after which a read is hedged.
const HEDGE_MIN: Duration = Duration::from_millis(1);

/// What is known of one target.
#[derive(Clone, Debug, Default)]
struct TargetStats {
    /// Requests in flight, by number, with the time they were sent.
    running: BTreeMap<u64, Instant>,
    sent: u64,
    latency: f64,
    sampled: Option<Instant>,
    avoid: Option<Instant>,
    /// How busy its gate last said it was, and `sent` at that time.
    load: Option<(Load, u64)>,
}

impl TargetStats {
    fn sample(&mut self, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        self.latency += LATENCY_WEIGHT * (ms - self.latency);
        self.sampled = Some(Instant::now());
    }

    /// The moving average, which is trusted less the older it is: a target that was slow gets a
    /// request again in the end, and by that one's age shows whether it still is.
    fn remembered(&self) -> f64 {
        let age = self.sampled.map_or(Duration::ZERO, |at| at.elapsed());
        self.latency * 0.5_f64.powf(age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64())
    }
}

/// What is known of one service.
#[derive(Debug)]
pub struct ServiceStats {
    /// Its retry budget.
    pub budget: Budget,
    latency: Mutex<Quantile>,
}

impl Default for ServiceStats {
    fn default() -> ServiceStats {
        let latency = Mutex::new(Quantile::new(HEDGE_QUANTILE));
        ServiceStats { budget: Budget::default(), latency }
    }
}

impl ServiceStats {
    /// Time after which a read is hedged; `None` while too little is known.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let ms = self.latency.lock().get(HEDGE_LEAST)?;
        Some(Duration::from_secs_f64(ms / 1e3).max(HEDGE_MIN))
    }

    /// Notes the latency of a request that was done.
    pub fn took(&self, time: Duration) {
        self.latency.lock().record(time.as_secs_f64() * 1e3);
    }
}

/// All measurements of one entry.
#[derive(Debug, Default)]
pub struct Stats {
    targets: Mutex<HashMap<Holder, TargetStats>>,
    services: Mutex<HashMap<ServiceName, Arc<ServiceStats>>>,
}

/// A request in flight to a target. It ends when dropped, also when it is cancelled.
#[derive(Debug)]
pub struct Running<'a> {
    measures: &'a Stats,
    target: &'a Holder,
    number: u64,
}

impl Stats {
    /// What is known of a service.
    pub fn service(&self, name: &ServiceName) -> Arc<ServiceStats> {
        self.services.lock().entry(name.clone()).or_default().clone()
    }

    /// What the picker needs to know of a target. The age of the oldest request in flight counts as
    /// a latency: a target that has just become slow shows by it long before an answer comes.
    pub fn candidate(&self, target: &Holder, same_domain: bool) -> Candidate {
        let targets = self.targets.lock();
        let Some(known) = targets.get(target) else {
            return Candidate { busy: 0, limit: 1, latency: 0.0, same_domain, suspect: false };
        };
        let oldest = known.running.first_key_value().map_or(Duration::ZERO, |(_, at)| at.elapsed());
        let latency = known.remembered().max(oldest.as_secs_f64() * 1e3);
        let suspect = known.avoid.is_some_and(|until| Instant::now() < until);
        let running = known.running.len() as u32;
        let (busy, limit) = match known.load {
            // What this entry sent since then is not in what the gate said.
            Some((load, sent)) => (load.busy + (known.sent - sent) as u32, load.limit.max(1)),
            None => (running, 1),
        };
        Candidate { busy: busy.max(running), limit, latency, same_domain, suspect }
    }

    /// Notes that a request is sent to a target.
    pub fn begin<'a>(&'a self, target: &'a Holder) -> Running<'a> {
        let mut targets = self.targets.lock();
        let known = targets.entry(target.clone()).or_default();
        known.sent += 1;
        let number = known.sent;
        known.running.insert(number, Instant::now());
        Running { measures: self, target, number }
    }

    /// Forgets what `keep` does not name.
    pub fn prune(&self, keep: impl Fn(&Holder) -> bool, serves: impl Fn(&ServiceName) -> bool) {
        self.targets.lock().retain(|h, t| !t.running.is_empty() || keep(h));
        self.services.lock().retain(|s, _| serves(s));
    }
}

impl Running<'_> {
    /// Notes how the request ended.
    pub fn ended(self, answer: &Answer) {
        let code = answer.code;
        let mut targets = self.measures.targets.lock();
        let Some(known) = targets.get_mut(self.target) else { return };
        let began = known.running.get(&self.number).copied();
        let avoid = match code {
            Code::Unreachable | Code::ConnectionLost | Code::Draining => Some(FAILED_TIME),
            Code::Busy | Code::Cold | Code::Shed => Some(BUSY_TIME),
            _ => None,
        };
        if let Some(load) = answer.load {
            known.load = Some((load, known.sent));
        }
        if let Some(time) = avoid {
            known.avoid = Some(Instant::now() + time);
        }
        if let (Code::Done | Code::Expired, Some(began)) = (code, began) {
            known.sample(began.elapsed());
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut targets = self.measures.targets.lock();
        let Some(known) = targets.get_mut(self.target) else { return };
        let Some(began) = known.running.remove(&self.number) else { return };
        // A request that was cancelled took at least so long.
        let took = began.elapsed();
        if took.as_secs_f64() * 1e3 > known.latency {
            known.sample(took);
        }
    }
}
