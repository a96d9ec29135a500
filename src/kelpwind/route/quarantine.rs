//! Keeps requests away from backend servers that end when they run them.
//!
//! All requests that were at work on a server when its process ended are suspects
//! ([`crate::gate::server_runs`] tells which these are). Most are innocent: one of them ended the server,
//! or none did. What tells them apart is that the guilty one is never answered. So an answer to a
//! suspect clears it. One under which three processes have ended without any answer since is
//! quarantined: it is refused before it takes a slot, a place in a queue or a retry. A process that had
//! answered the same request before counts half: what a request does may change, but rarely.
//!
//! Load pattern: a request ends each server that runs it, within tens of milliseconds and with all
//! other work on it, and its caller sends it again as soon as it fails. Popular requests are at work at
//! most ends of servers, but are answered in between. When many servers end at the same moment, those
//! that are left answer popular requests soon.
//!
//! A quarantined request gets another trial when the servers are back, because it may be innocent, and
//! a last one later. Targets take turns, so that no two of them try it at the same time, and the end of
//! a server postpones the next trial.
//!
//! This module does no I/O and reads no clock.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use crate::core::digest::RequestDigest;
use crate::core::ids::ServiceName;
use crate::table::suspect::ServerExit;

/// What the end of a process counts.
const EXIT_WEIGHT: usize = 2;
/// What it counts if the process had answered the same request before.
const ANSWERED_WEIGHT: usize = 1;
/// Sum from which on a request is quarantined: that of three processes that had not answered it.
const WEIGHT_MAX: usize = 3 * EXIT_WEIGHT;
/// Time in which all nodes learn that a request is quarantined. Ends of servers after it are those of
/// trials.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Time from the last end of a server until a quarantined request gets another trial, for the first
/// and the second one. The first is due when the servers are back. There are no more: of the three
/// retries that are allowed after the third end, one is left for a request that was on its way.
const TRIAL_PAUSES: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(600)];
/// Time for which one target after the other may try a request: longer than such a request runs, and
/// than others take to learn of the end of the server.
const TURN_TIME: Duration = Duration::from_secs(5);
/// Time after the start of a trial within which the same target does not begin another one.
const TRIAL_TIME: Duration = Duration::from_secs(30);
/// Time for which an ended process counts against a request that is not quarantined.
const SUSPECT_TIME: Duration = Duration::from_secs(3600);
/// Time after the last end of a server for which a request stays quarantined.
const QUARANTINE_TIME: Duration = Duration::from_secs(30 * 24 * 3600);
/// Most suspects that are remembered. Beyond it, those with the fewest and oldest ends are dropped.
const SUSPECTS_MAX: usize = 2000;
/// Time for which an answer to a suspect is remembered. Notices and records of ends of servers before
/// it may arrive later.
const CLEARED_TIME: Duration = Duration::from_secs(10);
/// Most ends of servers that are remembered of one suspect.
const EXITS_MAX: usize = 16;

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No server has ended under it.
    Unsuspected,
    /// Servers have ended while they were at work on it, but it may be innocent.
    Suspect,
    /// It is quarantined, and due for a trial at the target whose turn this is. Turns are numbered.
    Trial(u64),
    /// It is quarantined, and not due for a trial for this time at least.
    Quarantined(Duration),
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq)]
struct Suspect {
    /// Ends of servers, in order of time.
    exits: Vec<(ServerExit, Instant)>,
    /// When this node last began a trial.
    tried: Option<Instant>,
}

impl Suspect {
    /// When the request was quarantined; `None` if it is not.
    fn quarantined_at(&self) -> Option<Instant> {
        let mut weight = 0;
        self.exits.iter().find_map(|(exit, at)| {
            weight += if exit.answered { ANSWERED_WEIGHT } else { EXIT_WEIGHT };
            (weight >= WEIGHT_MAX).then_some(*at)
        })
    }

    fn is_quarantined(&self) -> bool {
        self.quarantined_at().is_some()
    }

    /// Number of servers that have ended in trials.
    fn trials(&self) -> usize {
        let Some(from) = self.quarantined_at() else { return 0 };
        self.exits.iter().filter(|(_, at)| *at > from + SPREAD_TIME).count()
    }

    /// Adds the end of a server. Returns false if there is no room for it.
    fn add(&mut self, exit: ServerExit, at: Instant) -> bool {
        if self.exits.len() >= EXITS_MAX {
            // Ends at about the same time as others tell nothing more.
            let spare = self.exits.len() - 1 - self.trials();
            if spare < WEIGHT_MAX {
                return false;
            }
            self.exits.remove(spare);
        }
        let place = self.exits.partition_point(|(_, known)| *known <= at);
        self.exits.insert(place, (exit, at));
        true
    }

    fn last_exit(&self) -> Option<Instant> {
        self.exits.last().map(|(_, at)| *at)
    }

    /// What is to be done with the request if it is quarantined.
    fn verdict(&self, now: Instant) -> Verdict {
        let Some(pause) = TRIAL_PAUSES.get(self.trials()) else {
            return Verdict::Quarantined(QUARANTINE_TIME);
        };
        let since = |at: Instant| now.saturating_duration_since(at);
        let waited = self.last_exit().map_or(Duration::ZERO, since);
        let running = self.tried.map_or(Duration::ZERO, |at| TRIAL_TIME.saturating_sub(since(at)));
        match pause.saturating_sub(waited).max(running) {
            Duration::ZERO => Verdict::Trial((waited - *pause).as_secs() / TURN_TIME.as_secs()),
            left => Verdict::Quarantined(left),
        }
    }
}

/// The suspects that this node knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Suspects that were answered lately, by which service, and when.
    cleared: Vec<(RequestDigest, ServiceName, Instant)>,
    /// Requests that operators have exempted.
    exempt: HashSet<RequestDigest>,
}

impl Quarantine {
    /// Whether there are no suspects, so that no request needs a digest.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspects that are not quarantined, and of quarantined requests.
    pub fn counts(&self) -> (usize, usize) {
        let quarantined = self.suspects.values().filter(|s| s.is_quarantined()).count();
        (self.suspects.len() - quarantined, quarantined)
    }

    /// Number of processes that have ended under a request.
    pub fn exit_count(&self, digest: RequestDigest) -> usize {
        self.suspects.get(&digest).map_or(0, |s| s.exits.len())
    }

    /// Whether a request is quarantined, also if it is due for a trial.
    pub fn is_quarantined(&self, digest: RequestDigest) -> bool {
        self.suspects.get(&digest).is_some_and(Suspect::is_quarantined)
            && !self.exempt.contains(&digest)
    }

    /// Whether the end of a process under a request is known.
    pub fn contains(&self, digest: RequestDigest, exit: &ServerExit) -> bool {
        let suspect = self.suspects.get(&digest);
        suspect.is_some_and(|s| s.exits.iter().any(|(known, _)| known.server == exit.server))
    }

    /// The ends of processes that are known, and when they were.
    pub fn exits(&self) -> impl Iterator<Item = (RequestDigest, &ServerExit, Instant)> {
        self.suspects
            .iter()
            .flat_map(|(digest, s)| s.exits.iter().map(|(exit, at)| (*digest, exit, *at)))
    }

    /// What is to be done with a request.
    pub fn verdict(&self, digest: RequestDigest, now: Instant) -> Verdict {
        match self.suspects.get(&digest) {
            None => Verdict::Unsuspected,
            Some(_) if !self.is_quarantined(digest) => Verdict::Suspect,
            Some(suspect) => suspect.verdict(now),
        }
    }

    /// Records that a trial begins on the server beside this node.
    pub fn begin_trial(&mut self, digest: RequestDigest, now: Instant) {
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.tried = Some(now);
        }
    }

    /// Records that a server's process ended at `at` while it was at work on a request. Returns false
    /// if that is known, was too long ago, or was followed by an answer.
    pub fn record(
        &mut self,
        digest: RequestDigest,
        exit: ServerExit,
        at: Instant,
        now: Instant,
    ) -> bool {
        let expired = now.saturating_duration_since(at) >= QUARANTINE_TIME;
        let answered = self.cleared.iter().any(|(cleared, service, cleared_at)| {
            *cleared == digest && *service == exit.service && *cleared_at >= at
        });
        if expired || answered || self.contains(digest, &exit) {
            return false;
        }
        if !self.suspects.entry(digest).or_default().add(exit, at) {
            return false;
        }
        if self.suspects.len() > SUSPECTS_MAX {
            self.drop_least();
        }
        true
    }

    /// Clears a request after a server of a service has answered it. Returns whether it was a suspect.
    pub fn clear(&mut self, digest: RequestDigest, service: &ServiceName, now: Instant) -> bool {
        self.cleared.retain(|(.., at)| now.saturating_duration_since(*at) < CLEARED_TIME);
        let Some(suspect) = self.suspects.get_mut(&digest) else { return false };
        let before = suspect.exits.len();
        suspect.exits.retain(|(exit, _)| exit.service != *service);
        let changed = suspect.exits.len() < before;
        if changed {
            self.cleared.push((digest, service.clone(), now));
        }
        self.drop_if_cleared(digest);
        changed
    }

    /// Forgets the end of one process, which another node has found not to count.
    pub fn forget(&mut self, digest: RequestDigest, exit: &ServerExit) {
        if let Some(suspect) = self.suspects.get_mut(&digest) {
            suspect.exits.retain(|(known, _)| known.server != exit.server);
        }
        self.drop_if_cleared(digest);
    }

    /// Exempts a request from the quarantine, or ends that.
    pub fn set_exempt(&mut self, digest: RequestDigest, exempt: bool) {
        match exempt {
            true => self.exempt.insert(digest),
            false => self.exempt.remove(&digest),
        };
    }

    /// Ends all exemptions other than these.
    pub fn retain_exempt(&mut self, listed: impl Fn(RequestDigest) -> bool) {
        self.exempt.retain(|digest| listed(*digest));
    }

    /// Drops what is too long ago.
    pub fn prune(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| {
            let time = if suspect.is_quarantined() { QUARANTINE_TIME } else { SUSPECT_TIME };
            suspect.last_exit().is_some_and(|at| now.saturating_duration_since(at) < time)
        });
    }

    fn drop_if_cleared(&mut self, digest: RequestDigest) {
        if self.suspects.get(&digest).is_some_and(|s| s.exits.is_empty()) {
            self.suspects.remove(&digest);
        }
    }

    /// Drops the suspect with the fewest, and among these the oldest, ends of servers.
    fn drop_least(&mut self) {
        let least = self.suspects.iter().min_by_key(|(_, s)| (s.exits.len(), s.last_exit()));
        if let Some(digest) = least.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }
}
