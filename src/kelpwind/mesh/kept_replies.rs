//! The requests of one session at a gate, and what becomes of one that comes again.
//!
//! Load pattern: entries that read large answers and then send nothing more, or don't acknowledge them
//! because they or the network have failed. Replies are kept until they are acknowledged, for a
//! limited time, and while there is memory. A reply that was dropped makes a repeat of a request that
//! may run once end as unknown, so few go rather than many: large ones first, the oldest of them first.
//! This module does no I/O.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Size above which a reply counts as large, in bytes.
pub const LARGE_BYTES: usize = 16 << 10;

/// A request of a session. `T` is what runs it, `R` its reply.
#[derive(Debug)]
enum Job<T, R> {
    /// It waits or runs. `wanted` is true until the entry has said that it needs no reply.
    Running { task: T, wanted: bool },
    /// It has ended with this reply.
    Ended { reply: R, at: Instant },
    /// It has ended, and its reply was dropped.
    Forgotten,
}

/// What a gate does with a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<R> {
    /// It has not run, or may run again.
    Run,
    /// It is running. Its reply follows.
    Ignore,
    /// It has ended with this reply.
    Resend(R),
    /// Whether it ran is not known any more, and it must not run twice.
    Unknown,
}

/// The requests of a session that the entry may send again, by number.
#[derive(Debug)]
pub struct SessionRequests<T, R> {
    jobs: BTreeMap<u64, Job<T, R>>,
    /// Requests up to this number may have run before the session was forgotten.
    forgotten: u64,
    /// The entry has said that it never sends a request with a lower number again.
    oldest: u64,
}

impl<T, R: Clone> SessionRequests<T, R> {
    /// Creates a session, in which requests up to the number `forgotten` may have run.
    pub fn new(forgotten: u64) -> SessionRequests<T, R> {
        SessionRequests { jobs: BTreeMap::new(), forgotten, oldest: 0 }
    }

    /// Decides about a request that has arrived. Every request that was accepted is here until the
    /// entry has said that it does not send it again, so another one is new.
    pub fn decide(&self, number: u64, idempotent: bool) -> Decision<R> {
        match self.jobs.get(&number) {
            Some(Job::Ended { reply, .. }) => Decision::Resend(reply.clone()),
            Some(Job::Running { .. }) => Decision::Ignore,
            Some(Job::Forgotten) if !idempotent => Decision::Unknown,
            None if !idempotent && (number <= self.forgotten || number < self.oldest) => {
                Decision::Unknown
            }
            Some(Job::Forgotten) | None => Decision::Run,
        }
    }

    /// Records that a request runs.
    pub fn start(&mut self, number: u64, task: T) {
        self.jobs.insert(number, Job::Running { task, wanted: true });
    }

    /// Whether the entry may still need the reply to a running request. Otherwise the request is
    /// removed.
    pub fn finish(&mut self, number: u64) -> bool {
        let wanted = !matches!(self.jobs.get(&number), Some(Job::Running { wanted: false, .. }));
        if !wanted {
            self.jobs.remove(&number);
        }
        wanted
    }

    /// Keeps the reply to a request.
    pub fn keep(&mut self, number: u64, reply: R, at: Instant) {
        self.jobs.insert(number, Job::Ended { reply, at });
    }

    /// Removes a request that the entry never sends again, because it has the reply or its caller has
    /// left. `stop` ends one that runs and returns true, or lets it continue. Then its reply is not
    /// kept.
    pub fn remove(&mut self, number: u64, stop: impl FnOnce(&T) -> bool) {
        if let Some(Job::Running { task, wanted }) = self.jobs.get_mut(&number)
            && !stop(task)
        {
            *wanted = false;
            return;
        }
        self.jobs.remove(&number);
    }

    /// The requests with lower numbers than `oldest`, which the entry never sends again.
    pub fn below(&mut self, oldest: u64) -> Vec<u64> {
        self.oldest = self.oldest.max(oldest);
        self.jobs.range(..oldest).map(|(number, _)| *number).collect()
    }

    /// Stops the requests that may be stopped. They run if their entry sends them again.
    pub fn stop_all(&mut self, stop: impl Fn(&T) -> bool) {
        self.jobs.retain(|_, job| match job {
            Job::Running { task, .. } => !stop(task),
            Job::Ended { .. } | Job::Forgotten => true,
        });
    }

    /// Drops the reply to a request, but not its number.
    pub fn drop_reply(&mut self, number: u64) {
        if let Some(job @ Job::Ended { .. }) = self.jobs.get_mut(&number) {
            *job = Job::Forgotten;
        }
    }

    /// Drops replies that are older than `retention`.
    pub fn prune(&mut self, now: Instant, retention: Duration) {
        for job in self.jobs.values_mut() {
            if let Job::Ended { at, .. } = job
                && now.saturating_duration_since(*at) >= retention
            {
                *job = Job::Forgotten;
            }
        }
    }

    /// The kept replies, with the numbers of their requests and the times at which they were made.
    pub fn replies(&self) -> impl Iterator<Item = (u64, &R, Instant)> {
        self.jobs.iter().filter_map(|(number, job)| match job {
            Job::Ended { reply, at } => Some((*number, reply, *at)),
            Job::Running { .. } | Job::Forgotten => None,
        })
    }
}

/// A reply that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptReply<K> {
    /// Identifies the reply.
    pub id: K,
    /// Bytes that it takes.
    pub bytes: usize,
    /// When it was made.
    pub at: Instant,
}

/// Chooses the replies to drop so that `needed` bytes become free; all of them if they are fewer.
pub fn choose_evictions<K>(mut kept: Vec<KeptReply<K>>, needed: usize) -> Vec<K> {
    kept.sort_by_key(|reply| (reply.bytes <= LARGE_BYTES, reply.at));
    let mut freed = 0;
    let mut chosen = Vec::new();
    for reply in kept {
        if freed >= needed {
            break;
        }
        freed += reply.bytes;
        chosen.push(reply.id);
    }
    chosen
}
