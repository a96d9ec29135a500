//! Measurements of an entry: latency and load per target, latency and retry budget per service.

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

/// Time for which a target is avoided after a failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1000);
/// Time for which a target is avoided after it refused a request for lack of capacity.
const BUSY_BACKOFF: Duration = Duration::from_millis(20);
/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Half-life of a measured latency.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Quantile of a service's latency after which a request is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Answers needed before the quantile is used.
const HEDGE_SAMPLES_MIN: u32 = 50;
/// Shortest time after which a request is hedged.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(1);

/// Measurements of one target.
#[derive(Clone, Debug, Default)]
struct TargetStats {
    /// Requests in flight by number, with the time at which they were sent.
    running: BTreeMap<u64, Instant>,
    sent: u64,
    latency_ms: f64,
    sampled_at: Option<Instant>,
    avoid_until: Option<Instant>,
    /// Load that its gate last reported, and the value of `sent` at that time.
    load: Option<(Load, u64)>,
}

impl TargetStats {
    fn record_latency(&mut self, took: Duration) {
        let ms = took.as_secs_f64() * 1e3;
        self.latency_ms += LATENCY_WEIGHT * (ms - self.latency_ms);
        self.sampled_at = Some(Instant::now());
    }

    /// Moving average of the latency in milliseconds, which decays with its age. So a target that
    /// was slow eventually gets a request again, and the age of that request shows whether it still
    /// is.
    fn decayed_latency(&self) -> f64 {
        let age = self.sampled_at.map_or(Duration::ZERO, |at| at.elapsed());
        self.latency_ms * 0.5_f64.powf(age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64())
    }
}

/// Measurements of one service.
#[derive(Debug)]
pub struct ServiceStats {
    /// Retry budget of the service; hedges withdraw from it as well.
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
    /// Time after which a request is hedged; `None` before enough answers were measured.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let ms = self.latency.lock().get(HEDGE_SAMPLES_MIN)?;
        Some(Duration::from_secs_f64(ms / 1e3).max(HEDGE_DELAY_MIN))
    }

    /// Records the latency of a request that was answered by the backend server.
    pub fn record_latency(&self, time: Duration) {
        self.latency.lock().record(time.as_secs_f64() * 1e3);
    }
}

/// All measurements of one entry.
#[derive(Debug, Default)]
pub struct Stats {
    targets: Mutex<HashMap<Holder, TargetStats>>,
    services: Mutex<HashMap<ServiceName, Arc<ServiceStats>>>,
}

/// Counts a request as in flight to a target until dropped, which includes its cancellation.
#[derive(Debug)]
pub struct InFlightRequest<'a> {
    stats: &'a Stats,
    target: &'a Holder,
    number: u64,
}

impl Stats {
    /// Returns the measurements of a service, which are created on first use.
    pub fn service(&self, name: &ServiceName) -> Arc<ServiceStats> {
        self.services.lock().entry(name.clone()).or_default().clone()
    }

    /// Returns what the picker needs to know about a target. The age of the oldest request in
    /// flight counts as a latency, since it shows that a target has become slow long before the
    /// answer.
    pub fn candidate(&self, target: &Holder, same_domain: bool) -> Candidate {
        let targets = self.targets.lock();
        let Some(measured) = targets.get(target) else {
            return Candidate { busy: 0, limit: 1, latency: 0.0, same_domain, suspect: false };
        };
        let oldest =
            measured.running.first_key_value().map_or(Duration::ZERO, |(_, at)| at.elapsed());
        let latency = measured.decayed_latency().max(oldest.as_secs_f64() * 1e3);
        let suspect = measured.avoid_until.is_some_and(|until| Instant::now() < until);
        let running = measured.running.len() as u32;
        let (busy, limit) = match measured.load {
            // The report does not include what this entry has sent since.
            Some((load, sent)) => (load.busy + (measured.sent - sent) as u32, load.limit.max(1)),
            None => (running, 1),
        };
        Candidate { busy: busy.max(running), limit, latency, same_domain, suspect }
    }

    /// Counts a request that is sent to a target.
    pub fn begin<'a>(&'a self, target: &'a Holder) -> InFlightRequest<'a> {
        let mut targets = self.targets.lock();
        let measured = targets.entry(target.clone()).or_default();
        measured.sent += 1;
        let number = measured.sent;
        measured.running.insert(number, Instant::now());
        InFlightRequest { stats: self, target, number }
    }

    /// Drops idle targets for which `keep` is false and services for which `serves` is false.
    pub fn prune(&self, keep: impl Fn(&Holder) -> bool, serves: impl Fn(&ServiceName) -> bool) {
        self.targets.lock().retain(|h, t| !t.running.is_empty() || keep(h));
        self.services.lock().retain(|s, _| serves(s));
    }
}

impl InFlightRequest<'_> {
    /// Records the answer of the request.
    pub fn finish(self, answer: &Answer) {
        let code = answer.code;
        let mut targets = self.stats.targets.lock();
        let Some(measured) = targets.get_mut(self.target) else { return };
        let began = measured.running.get(&self.number).copied();
        let backoff = match code {
            Code::Unreachable | Code::ConnectionLost | Code::Draining => Some(FAILURE_BACKOFF),
            Code::Busy | Code::Cold | Code::Shed => Some(BUSY_BACKOFF),
            _ => None,
        };
        if let Some(load) = answer.load {
            measured.load = Some((load, measured.sent));
        }
        if let Some(time) = backoff {
            measured.avoid_until = Some(Instant::now() + time);
        }
        if let (Code::Done | Code::Expired, Some(began)) = (code, began) {
            measured.record_latency(began.elapsed());
        }
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        let mut targets = self.stats.targets.lock();
        let Some(measured) = targets.get_mut(self.target) else { return };
        let Some(began) = measured.running.remove(&self.number) else { return };
        // A cancelled request would have taken at least this long.
        let took = began.elapsed();
        if took.as_secs_f64() * 1e3 > measured.latency_ms {
            measured.record_latency(took);
        }
    }
}
