//! Admits fewer requests of a class while the nested calls of such requests fail.
//!
//! Load pattern: a service that the backend server calls is overloaded for seconds. A request whose
//! nested call is refused or late ends with an error of the backend server after it has used a slot, and
//! if it may run once, its caller cannot repeat it. A request that is refused before it runs can be.
//!
//! Backend servers and callers on the same host use the same entry and do not say which request a call
//! belongs to. A request counts as lost to its calls only if the backend server answered it with
//! an error, and a request of this host's entry failed while it ran and shortly before that answer.
//! Each failed call explains one lost request. So errors that the server makes by itself, and failures of
//! other callers on the host, do not count alone.
//!
//! Pure: the time and the random draw are arguments.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Longest time from a failed call to the error answer that it causes.
const ANSWER_DELAY: Duration = Duration::from_millis(150);
/// Failed calls that are kept; more than the slots of a server need.
const CALLS_MAX: usize = 64;
/// Time constant of the moving counts, so that they are forgotten within 2 s.
const PERIOD: Duration = Duration::from_millis(600);
/// Number of recent answers below which the share of lost requests counts as smaller.
const ANSWERS_MIN: f64 = 5.0;
/// Share of lost requests up to which all are admitted. Errors that the server makes by itself may
/// coincide with failures of other callers.
const LOST_TOLERATED: f64 = 0.08;
/// Refused share of a class per share of lost requests. Calls fail less when fewer requests make them,
/// so at 1 a third of the admitted would still be lost when half of the calls fail.
const GAIN: f64 = 2.5;
/// Largest share that is refused. The others show when calls succeed again.
const REFUSED_MAX: f64 = 0.85;
/// Most classes that are kept; others are always admitted.
const CLASSES_MAX: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Counts {
    answers: f64,
    lost: f64,
    updated: Instant,
}

impl Counts {
    fn at(self, now: Instant) -> Counts {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let factor = (-passed / PERIOD.as_secs_f64()).exp();
        Counts { answers: self.answers * factor, lost: self.lost * factor, updated: now }
    }
}

/// What became of recent requests and nested calls of one backend server.
#[derive(Clone, Debug, Default)]
pub struct CallTrees {
    failed_calls: VecDeque<Instant>,
    classes: HashMap<String, Counts>,
}

impl CallTrees {
    /// Records that a request of this host's entry was refused or failed.
    pub fn record_failed_call(&mut self, now: Instant) {
        if self.failed_calls.len() >= CALLS_MAX {
            self.failed_calls.pop_front();
        }
        self.failed_calls.push_back(now);
    }

    /// Records the backend server's answer to a request that it got at `began`. `failed` says that it is
    /// an error of the server.
    pub fn record_answer(&mut self, class: &str, began: Instant, failed: bool, now: Instant) {
        let lost = failed && self.take_call(began, now);
        if !self.classes.contains_key(class) {
            if !lost || self.classes.len() >= CLASSES_MAX {
                return;
            }
            let counts = Counts { answers: 0.0, lost: 0.0, updated: now };
            self.classes.insert(class.to_owned(), counts);
        }
        if let Some(counts) = self.classes.get_mut(class) {
            *counts = counts.at(now);
            counts.answers += 1.0;
            counts.lost += f64::from(u8::from(lost));
        }
    }

    /// Share of a class's requests to refuse, from 0 to 1.
    pub fn refused_share(&self, class: &str, now: Instant) -> f64 {
        let Some(counts) = self.classes.get(class).map(|c| c.at(now)) else { return 0.0 };
        let lost = counts.lost / counts.answers.max(ANSWERS_MIN);
        (GAIN * (lost - LOST_TOLERATED)).clamp(0.0, REFUSED_MAX)
    }

    /// Whether to admit a request of a class; `draw` is a random number from 0 to 1.
    pub fn admits(&self, class: &str, draw: f64, now: Instant) -> bool {
        draw >= self.refused_share(class, now)
    }

    /// Takes the latest failed call that may have caused an error answer at `now`.
    fn take_call(&mut self, began: Instant, now: Instant) -> bool {
        while self
            .failed_calls
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > ANSWER_DELAY)
        {
            self.failed_calls.pop_front();
        }
        match self.failed_calls.back() {
            Some(at) if *at >= began => self.failed_calls.pop_back().is_some(),
            _ => false,
        }
    }
}
