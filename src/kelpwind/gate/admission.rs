//! Admission control by weight: runs requests up to the limit and queues a few more.
//!
//! Queued requests start in order of weight, heaviest first. A full queue evicts its lightest
//! request for a heavier one and refuses any other at once, so the heaviest requests are shed last.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::limiter::Limiter;
use crate::core::call::Load;
use crate::core::codes::Code;
use crate::lease::clock;

/// Queue capacity per request that may run concurrently.
const QUEUE_PER_SLOT: u32 = 2;

/// Result of admission; the error is the code of the refusal.
pub type Result<T> = std::result::Result<T, Code>;

/// Position in the queue: heaviest first, then in order of arrival.
type Ticket = (Reverse<u32>, u64);

#[derive(Debug)]
struct Inner {
    limiter: Limiter,
    running: u32,
    arrivals: u64,
    queue: BTreeMap<Ticket, oneshot::Sender<()>>,
}

/// Admission control of one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    inner: Arc<Mutex<Inner>>,
}

/// Permission to run one request; released when dropped.
#[derive(Debug)]
pub struct Permit {
    admission: Admission,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.release();
    }
}

impl Admission {
    /// Creates admission control with an empty queue, limited by `limiter`.
    pub fn new(limiter: Limiter) -> Admission {
        let inner = Inner { limiter, running: 0, arrivals: 0, queue: BTreeMap::new() };
        Admission { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Calls `act` on the limiter under the lock.
    pub fn with_limiter<T>(&self, act: impl FnOnce(&mut Limiter) -> T) -> T {
        act(&mut self.inner.lock().limiter)
    }

    /// Number of running and of queued requests.
    pub fn counts(&self) -> (u32, u32) {
        let inner = self.inner.lock();
        (inner.running, inner.queue.len() as u32)
    }

    /// Load of the backend server, queued requests included.
    pub fn load(&self) -> Load {
        let inner = self.inner.lock();
        let busy = inner.running + inner.queue.len() as u32;
        Load { busy, limit: inner.limiter.limit(clock::now()).0 }
    }

    /// Waits for permission to run a request of this weight, until `deadline` at the latest.
    ///
    /// # Errors
    /// [`Code::Busy`] if the queue is full or the wait ends without admission; [`Code::Cold`] if
    /// the queue is full while the warm-up ramp lowers the limit.
    pub async fn acquire(&self, weight: u32, deadline: Instant) -> Result<Permit> {
        let (ticket, admitted) = {
            let mut inner = self.inner.lock();
            let now = clock::now();
            let limit = inner.limiter.limit(now).0;
            if inner.running < limit && inner.queue.is_empty() {
                inner.running += 1;
                return Ok(self.permit());
            }
            let refusal = if inner.limiter.is_cold(now) { Code::Cold } else { Code::Busy };
            if inner.queue.len() as u32 >= limit * QUEUE_PER_SLOT {
                inner.evict_lighter(weight).ok_or(refusal)?;
            }
            inner.arrivals += 1;
            let ticket = (Reverse(weight), inner.arrivals);
            let (admit, admitted) = oneshot::channel();
            inner.queue.insert(ticket, admit);
            inner.admit_queued();
            (ticket, admitted)
        };
        let queued = Queued { admission: self, ticket, admitted: Some(admitted) };
        queued.wait(deadline).await
    }

    fn permit(&self) -> Permit {
        Permit { admission: self.clone() }
    }

    fn release(&self) {
        let mut inner = self.inner.lock();
        inner.running -= 1;
        inner.admit_queued();
    }
}

impl Inner {
    fn admit_queued(&mut self) {
        let limit = self.limiter.limit(clock::now()).0;
        while self.running < limit {
            let Some((_, admit)) = self.queue.pop_first() else {
                return;
            };
            if admit.send(()).is_ok() {
                self.running += 1;
            }
        }
    }

    fn evict_lighter(&mut self, weight: u32) -> Option<()> {
        let (Reverse(lightest), _) = *self.queue.last_key_value()?.0;
        if lightest >= weight {
            return None;
        }
        self.queue.pop_last().map(drop)
    }
}

/// A queued request; dropping it removes it from the queue.
struct Queued<'a> {
    admission: &'a Admission,
    ticket: Ticket,
    admitted: Option<oneshot::Receiver<()>>,
}

impl Queued<'_> {
    async fn wait(mut self, deadline: Instant) -> Result<Permit> {
        let Some(admitted) = self.admitted.as_mut() else {
            return Err(Code::Busy);
        };
        let waited = timeout_at(deadline.into(), admitted).await;
        match waited {
            Ok(Ok(())) => {
                self.admitted = None;
                Ok(self.admission.permit())
            }
            _ => Err(Code::Busy),
        }
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let Some(mut admitted) = self.admitted.take() else {
            return;
        };
        let mut inner = self.admission.inner.lock();
        inner.queue.remove(&self.ticket);
        // The request was admitted just as it gave up: its slot goes to the next one.
        if admitted.try_recv().is_ok() {
            inner.running -= 1;
            inner.admit_queued();
        }
    }
}
