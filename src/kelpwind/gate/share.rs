//! Shares of a backend server among the classes of requests that it serves, and the times at which
//! refused callers should return.
//!
//! Load pattern: for seconds, the classes of one service together offer 1.2 to 2.5 times the work
//! that its slots do. Priority alone would then leave nothing for the lowest one, so each class keeps
//! a guaranteed fraction of the service level that all classes have together. What it does not use
//! goes to the others.
//!
//! Pure: the time is an argument.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::core::ids::ServiceName;
use crate::core::routes::Routes;

/// Fraction of the service level of all classes that each class keeps.
const GUARANTEED_LEVEL: f64 = 0.25;
/// Longest time-out of routes whose requests go first, as a fraction of the longest of their service.
/// Nested calls have a tenth of the time of callers' requests, and these differ by a factor of two.
const SHORT_FRACTION: f64 = 0.25;
/// Time constant of the moving averages of offered and started work. It is a few service times, so
/// that a lent share returns soon.
const PERIOD: Duration = Duration::from_secs(1);
/// Most classes that are kept; routes are few, so the bound matters only if names are invalid.
const CLASSES_MAX: usize = 256;
/// Offered work, in slot-seconds, below which the level of a class says nothing.
const OFFERED_MIN: f64 = 0.02;

/// Work of one class or of all, in slot-seconds; older work counts less.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    offered: f64,
    started: f64,
    updated: Option<Instant>,
}

impl Work {
    fn decay(&mut self, now: Instant) {
        let passed = self.updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = (-passed.as_secs_f64() / PERIOD.as_secs_f64()).exp();
        self.offered *= factor;
        self.started *= factor;
        self.updated = Some(now);
    }

    /// Started work as a fraction of the offered.
    fn level(&self) -> f64 {
        if self.offered < OFFERED_MIN { 1.0 } else { self.started / self.offered }
    }
}

/// Number of a class within [`Shares`].
pub type ClassIndex = usize;

/// Offered and started work by class.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    names: HashMap<String, ClassIndex>,
    classes: Vec<Work>,
    total: Work,
}

impl Shares {
    /// The number of a class. Numbers are consecutive, and the last one stands for all classes beyond
    /// [`CLASSES_MAX`].
    pub fn index(&mut self, class: &str) -> ClassIndex {
        if let Some(index) = self.names.get(class) {
            return *index;
        }
        if self.classes.len() > CLASSES_MAX {
            return CLASSES_MAX;
        }
        let index = self.classes.len();
        self.classes.push(Work::default());
        if index < CLASSES_MAX {
            self.names.insert(class.to_owned(), index);
        }
        index
    }

    /// Records `work`, in slot-seconds, of a request that arrives.
    pub fn record_offered(&mut self, class: ClassIndex, work: f64, now: Instant) {
        for entry in [Some(&mut self.total), self.classes.get_mut(class)].into_iter().flatten() {
            entry.decay(now);
            entry.offered += work;
        }
    }

    /// Records `work`, in slot-seconds, of a request that starts.
    pub fn record_started(&mut self, class: ClassIndex, work: f64, now: Instant) {
        for entry in [Some(&mut self.total), self.classes.get_mut(class)].into_iter().flatten() {
            entry.decay(now);
            entry.started += work;
        }
    }

    /// Whether a class gets less than its guaranteed share, for each class.
    pub fn owed(&self) -> Vec<bool> {
        // Offered and started work decay alike, so their quotient needs no update.
        let least = GUARANTEED_LEVEL * self.total.level().min(1.0);
        self.classes.iter().map(|work| work.level() < least).collect()
    }
}

/// Names of the routes to `service` whose requests go before all others there: those with at most a
/// fraction [`SHORT_FRACTION`] of the longest time-out of the service's routes. Their callers have
/// little time because they are at work on a request themselves, and hold a slot of their server
/// meanwhile. Only the configuration counts, so callers cannot go ahead by stating less time.
pub fn short_classes(routes: &Routes, service: &ServiceName) -> HashSet<String> {
    let of_service = || routes.all().filter(|r| r.services.iter().any(|s| s.service == *service));
    let longest = of_service().map(|r| r.timeout).max().unwrap_or_default();
    let short = of_service().filter(|r| r.timeout <= longest.mul_f64(SHORT_FRACTION));
    short.map(|r| r.name.clone()).collect()
}

/// Spreads the returns of refused callers: each is told a time of its own.
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    next: Option<Instant>,
}

impl ReturnTimes {
    /// Time after which a refused caller should return. Capacity is free after `free_after`, unless
    /// callers that were refused before return by then, of which one is served per `interval`. A caller
    /// that should return after its `deadline` does not, so it takes no place before others.
    pub fn assign(
        &mut self,
        free_after: Duration,
        interval: Duration,
        deadline: Instant,
        now: Instant,
    ) -> Duration {
        let free = now + free_after;
        let at = self.next.map_or(free, |next| next.max(free));
        if at < deadline {
            self.next = Some(at + interval);
        }
        at.saturating_duration_since(now)
    }
}
