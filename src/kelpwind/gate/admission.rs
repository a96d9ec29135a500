//! Admits requests up to a limit; a few more wait, the heaviest first.
//!
//! A request that cannot be admitted in time is refused at once. When the queue is full, the
//! lightest request in it gives way to a heavier one, so that what weighs most is shed last.

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

/// Waiting requests for each that may run.
const QUEUE_PER_SLOT: u32 = 2;

/// Result of asking for admission.
pub type Result<T> = std::result::Result<T, Code>;

type Ticket = (Reverse<u32>, u64);

#[derive(Debug)]
struct Inner {
    limiter: Limiter,
    running: u32,
    arrivals: u64,
    queue: BTreeMap<Ticket, oneshot::Sender<()>>,
}

/// Admission to one backend server.
#[derive(Clone, Debug)]
pub struct Admission {
    inner: Arc<Mutex<Inner>>,
}

/// Leave to run one request; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    admission: Admission,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.leave();
    }
}

impl Admission {
    /// Admission as `limiter` allows.
    pub fn new(limiter: Limiter) -> Admission {
        let inner = Inner { limiter, running: 0, arrivals: 0, queue: BTreeMap::new() };
        Admission { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Changes or asks the limiter.
    pub fn with_limiter<T>(&self, act: impl FnOnce(&mut Limiter) -> T) -> T {
        act(&mut self.inner.lock().limiter)
    }

    /// Requests running, and requests waiting.
    pub fn counts(&self) -> (u32, u32) {
        let inner = self.inner.lock();
        (inner.running, inner.queue.len() as u32)
    }

    /// How busy the backend server is.
    pub fn load(&self) -> Load {
        let inner = self.inner.lock();
        let busy = inner.running + inner.queue.len() as u32;
        Load { busy, limit: inner.limiter.limit(clock::now()).0 }
    }

    /// Asks to run a request of this weight; waits until `deadline` at the latest.
    ///
    /// # Errors
    /// [`Code::Busy`], or [`Code::Cold`] while the warm-up ramp bounds the requests.
    pub async fn enter(&self, weight: u32, deadline: Instant) -> Result<Permit> {
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
            inner.admit_waiting();
            (ticket, admitted)
        };
        let waiting = Waiting { admission: self, ticket, admitted: Some(admitted) };
        waiting.wait(deadline).await
    }

    fn permit(&self) -> Permit {
        Permit { admission: self.clone() }
    }

    fn leave(&self) {
        let mut inner = self.inner.lock();
        inner.running -= 1;
        inner.admit_waiting();
    }
}

impl Inner {
    fn admit_waiting(&mut self) {
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

/// A request in the queue; it leaves the queue when dropped.
struct Waiting<'a> {
    admission: &'a Admission,
    ticket: Ticket,
    admitted: Option<oneshot::Receiver<()>>,
}

impl Waiting<'_> {
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

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(mut admitted) = self.admitted.take() else {
            return;
        };
        let mut inner = self.admission.inner.lock();
        inner.queue.remove(&self.ticket);
        // Admitted in the moment it gave up: the place goes to the next.
        if admitted.try_recv().is_ok() {
            inner.running -= 1;
            inner.admit_waiting();
        }
    }
}
