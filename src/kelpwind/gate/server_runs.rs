//! Which requests a backend server was at work on when its process ended.
//!
//! One of them may have ended it. A request is a suspect if it was at work then, or if its connection
//! was lost, or its caller left, shortly before. It is a weaker one if the same process has answered
//! the same request before.
//!
//! A lost connection alone does not show that the process has ended. The caller of this module finds
//! that out: nothing listens at the server's address any more, or another instance reports. This
//! module does no I/O and reads no clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::table::member::Instance;

/// Time after the loss of a connection within which another instance shows that the process had
/// ended: a server that was started again takes some seconds to report.
const LOSS_TIME: Duration = Duration::from_secs(10);
/// Time for which a server may go on with a request after its connection was closed.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Number of answered requests that are remembered. Of two with the same place the later one counts.
const ANSWERED_MAX: usize = 4096;
/// Most requests that are remembered after their connection has ended: twice the slots of the largest
/// servers, and the requests that they queue.
const ENDED_MAX: usize = 128;

/// Number of a request at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// How a request at the server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The server ran it and answered.
    Answered,
    /// The server did not run it, or it is not known to have finished it, but the process goes on.
    Other,
    /// The connection was lost, so the server may have ended.
    Lost,
    /// It was given up, so the server may still be at work on it.
    GivenUp,
}

struct Run<R> {
    fingerprint: u64,
    request: R,
}

/// A request that a server was at work on when its process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect<R> {
    /// The request.
    pub request: R,
    /// Whether the process had answered the same request before.
    pub answered: bool,
}

/// Requests at one instance of the backend server.
pub struct ServerRuns<R> {
    instance: Option<Instance>,
    last: u64,
    running: BTreeMap<RunId, Run<R>>,
    /// Requests whose connection was lost, or that were given up, and when.
    ended: VecDeque<(Instant, RunEnd, Run<R>)>,
    /// Fingerprints of requests that this instance has answered; 0 for none.
    answered: Vec<u64>,
}

impl<R> Default for ServerRuns<R> {
    fn default() -> ServerRuns<R> {
        ServerRuns {
            instance: None,
            last: 0,
            running: BTreeMap::new(),
            ended: VecDeque::new(),
            answered: vec![0; ANSWERED_MAX],
        }
    }
}

impl<R> ServerRuns<R> {
    /// Records that a request goes to an instance of the server. `fingerprint` is equal for requests
    /// that ask for the same.
    pub fn begin(&mut self, instance: &Instance, fingerprint: u64, request: R) -> RunId {
        if self.instance.as_ref() != Some(instance) {
            self.forget();
            self.instance = Some(instance.clone());
        }
        self.last += 1;
        let id = RunId(self.last);
        self.running.insert(id, Run { fingerprint, request });
        id
    }

    /// Records how a request ended. One of a former instance is no longer known.
    pub fn finish(&mut self, id: RunId, end: RunEnd, now: Instant) {
        let Some(run) = self.running.remove(&id) else { return };
        match end {
            RunEnd::Other => {}
            RunEnd::Answered => {
                let place = run.fingerprint as usize % ANSWERED_MAX;
                self.answered[place] = run.fingerprint;
            }
            RunEnd::Lost | RunEnd::GivenUp => {
                if self.ended.len() >= ENDED_MAX {
                    self.ended.pop_front();
                }
                self.ended.push_back((now, end, run));
            }
        }
    }

    /// Whether connections were lost that another instance could explain.
    pub fn has_losses(&self, now: Instant) -> bool {
        self.ended.iter().any(|(at, end, _)| *end == RunEnd::Lost && is_within(*at, now, LOSS_TIME))
    }

    /// Returns the suspects after the process of `instance` has ended; none if its end is already
    /// known.
    pub fn take_suspects(&mut self, instance: &Instance, now: Instant) -> Vec<Suspect<R>> {
        if self.instance.as_ref() != Some(instance) {
            return Vec::new();
        }
        let running = std::mem::take(&mut self.running).into_values();
        let ended = std::mem::take(&mut self.ended);
        let losses = ended.iter().filter(|(_, end, _)| *end == RunEnd::Lost);
        // The process ended when the last connection was lost, if any was.
        let ended_at = losses.map(|(at, ..)| *at).max().unwrap_or(now);
        let known = is_within(ended_at, now, LOSS_TIME);
        let counts = |(at, _, run): (Instant, RunEnd, Run<R>)| {
            (known && is_within(at, ended_at, LINGER_TIME)).then_some(run)
        };
        let answered = std::mem::replace(&mut self.answered, vec![0; ANSWERED_MAX]);
        let suspect = |Run { fingerprint, request }: Run<R>| {
            let same = answered[fingerprint as usize % ANSWERED_MAX] == fingerprint;
            Suspect { request, answered: same && fingerprint != 0 }
        };
        self.instance = None;
        let all = ended.into_iter().filter_map(counts).chain(running);
        all.map(suspect).collect()
    }

    fn forget(&mut self) {
        self.running.clear();
        self.ended.clear();
        self.answered.fill(0);
    }
}

fn is_within(at: Instant, now: Instant, time: Duration) -> bool {
    now.saturating_duration_since(at) <= time
}
