//! What a simulated backend server states of itself in its answers, and the requests that arrive in
//! spite of it.

use std::collections::HashMap;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};

use super::history::Moment;

/// Time from the first statement of a limit until it is to be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from an answer that states a limit until the host that passed it on is bound by it.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Any period of this length counts.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor on what a limit allows.
const LIMIT_FACTOR: f64 = 1.5;
/// Requests beyond that.
const LIMIT_SLACK: f64 = 5.0;
/// Time from an answer that states that the server leaves until the host that passed it on sends
/// nothing more.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// What a server states, and what arrives.
#[derive(Debug, Default)]
pub struct Stated {
    /// The text of the header for the limit.
    limit: Option<String>,
    leaving: bool,
    /// All limits so far that are numbers, each with the time from which on it was stated; `None` is no
    /// limit.
    limits: Vec<(Moment, Option<f64>)>,
    /// When each caller's host first passed on an answer that states a limit.
    told_limit: HashMap<String, Moment>,
    /// The same for an answer that states that the server leaves.
    told_leaving: HashMap<String, Moment>,
    /// Requests that arrived, with their callers' hosts.
    arrivals: Vec<(Moment, String)>,
}

impl Stated {
    /// States a limit in all later answers, or none.
    pub fn set_limit(&mut self, limit: Option<&str>) {
        self.limit = limit.map(str::to_owned);
        let rate = limit.and_then(valid_rate);
        if limit.is_none() || rate.is_some() {
            self.limits.push((Moment::now(), rate));
        }
        if limit.is_none() {
            self.told_limit.clear();
        }
    }

    /// States in all later answers that the server leaves.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    pub fn record_arrival(&mut self, caller: &str) {
        self.arrivals.push((Moment::now(), caller.to_owned()));
    }

    /// Adds to the headers of an answer to a host what the server states.
    pub fn state(&mut self, headers: &mut HeaderMap, caller: Option<&str>) {
        let now = Moment::now();
        let tell = |told: &mut HashMap<String, Moment>| {
            if let Some(caller) = caller {
                told.entry(caller.to_owned()).or_insert(now);
            }
        };
        if let Some(limit) = &self.limit {
            headers.insert("server-limit", limit.parse().expect("valid header value"));
            if valid_rate(limit).is_some() {
                tell(&mut self.told_limit);
            }
        }
        if self.leaving {
            headers.insert("server-leaving", HeaderValue::from_static("1"));
            tell(&mut self.told_leaving);
        }
    }

    /// Number of requests that arrived at or after a point in time.
    pub fn arrivals_since(&self, from: Moment) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from).count()
    }

    /// Requests in some period that exceed what the limit in force allows, by how many at most. Only
    /// requests of hosts count that had passed on such an answer, and that are not `excused`.
    pub fn excess(&self, excused: &[String]) -> f64 {
        let bound = |at: Moment, caller: &String| {
            let told = self.told_limit.get(caller);
            !excused.contains(caller) && told.is_some_and(|told| at.since(*told) >= NOTICE_TIME)
        };
        let counted: Vec<Moment> =
            self.arrivals.iter().filter(|(at, caller)| bound(*at, caller)).map(|a| a.0).collect();
        let ends = counted.iter().map(|to| {
            let from = to.before(WINDOW);
            let count = counted.iter().filter(|at| **at > from && **at <= *to).count();
            count as f64 - self.allowed(from, *to)
        });
        ends.fold(f64::NEG_INFINITY, f64::max)
    }

    /// What the limits in force in a period allow; unlimited before the first one is to be kept, and while
    /// there is none. The first one counts for the time before it, too.
    fn allowed(&self, from: Moment, to: Moment) -> f64 {
        let Some(first) = self.limits.iter().position(|(_, rate)| rate.is_some()) else {
            return f64::INFINITY;
        };
        if to.since(self.limits[first].0) < CONTACT_TIME {
            return f64::INFINITY;
        }
        let mut requests = 0.0;
        for (i, (at, rate)) in self.limits.iter().enumerate().skip(first) {
            let start = if i == first { from } else { (*at).max(from) };
            let end = self.limits.get(i + 1).map_or(to, |(next, _)| (*next).min(to));
            if end > start {
                let secs = end.since(start).as_secs_f64();
                requests += rate.map_or(f64::INFINITY, |rate| rate * secs);
            }
        }
        LIMIT_FACTOR * requests + LIMIT_SLACK
    }

    /// A restart, freeze or cut of a host excuses it until it passes on such an answer again.
    pub fn excuse(&mut self, caller: &str) {
        self.told_limit.remove(caller);
        self.told_leaving.remove(caller);
    }

    /// Number of requests that arrived from hosts that should have sent nothing more to a server that
    /// leaves, except `excused` ones.
    pub fn late_arrivals(&self, excused: &[String]) -> usize {
        let late = |at: Moment, caller: &String| {
            let told = self.told_leaving.get(caller);
            !excused.contains(caller) && told.is_some_and(|told| at.since(*told) >= DRAIN_TIME)
        };
        self.arrivals.iter().filter(|(at, caller)| late(*at, caller)).count()
    }
}

/// The rate that a limit names; `None` if it is malformed, so that the one before stays in force.
fn valid_rate(limit: &str) -> Option<f64> {
    limit.parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
}
