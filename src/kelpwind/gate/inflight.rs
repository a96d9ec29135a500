//! Requests in flight by slice, and the state of slices in handover.
//!
//! A former owner releases a slice for good: requests under its old token are refused from then
//! on, and the handover waits for those in flight. The next owner serves the slice once the former
//! one has confirmed the release.
//!
//! A request whose connection was closed may still run. It counts as in flight until the server has
//! answered it, or until the deadline that the server was given has passed. Meanwhile no other
//! server beside this node gets requests for the slice.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::timeout_at;

use crate::core::call::SliceRef;
use crate::core::ids::Token;

/// Requests for one slice at one backend server.
#[derive(Debug)]
struct Work {
    /// Address of the server.
    server: String,
    /// Number of requests that this node waits for.
    waiting: u32,
    /// When requests that this node no longer waits for have ended.
    until: Option<Instant>,
}

impl Work {
    fn has_ended(&self, now: Instant) -> bool {
        self.waiting == 0 && self.until.is_none_or(|until| until <= now)
    }
}

#[derive(Debug, Default)]
struct Inner {
    running: BTreeMap<SliceRef, Work>,
    /// Released slices, with the highest token under which this node held them.
    released: BTreeMap<SliceRef, Token>,
    /// Slices that their former owner has released to this node, with this node's token.
    acquired: BTreeMap<SliceRef, Token>,
}

/// Requests in flight by slice, with released and acquired slices.
#[derive(Clone, Debug)]
pub struct InFlight {
    inner: Arc<Mutex<Inner>>,
    ended: Arc<watch::Sender<()>>,
}

impl Default for InFlight {
    fn default() -> InFlight {
        let ended = Arc::new(watch::Sender::new(()));
        InFlight { inner: Arc::default(), ended }
    }
}

/// Counts one request as in flight until dropped, or longer if it may still run then.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlight,
    slice: SliceRef,
    /// Deadline of a request that was sent and not answered yet.
    until: Option<Instant>,
}

impl InFlightGuard {
    /// Records that the request is sent to a server, which stops it at `deadline` at the latest.
    pub fn record_sent(&mut self, deadline: Instant) {
        self.until = Some(deadline);
    }

    /// Records that the server has ended the request or never got it.
    pub fn record_end(&mut self) {
        self.until = None;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut inner = self.in_flight.inner.lock();
        if let Some(work) = inner.running.get_mut(&self.slice) {
            work.waiting -= 1;
            work.until = work.until.max(self.until);
            if work.has_ended(Instant::now()) {
                inner.running.remove(&self.slice);
            }
        }
        drop(inner);
        self.in_flight.ended.send_replace(());
    }
}

impl InFlight {
    /// Counts a request for a slice held under `token`; `None` if the slice was released, or if
    /// another server may still run requests for it.
    pub fn begin(&self, slice: &SliceRef, token: Token, server: &str) -> Option<InFlightGuard> {
        let mut inner = self.inner.lock();
        if inner.released.get(slice).is_some_and(|released| *released >= token) {
            return None;
        }
        let new = || Work { server: server.to_owned(), waiting: 0, until: None };
        let work = inner.running.entry(slice.clone()).or_insert_with(new);
        if work.server != server {
            if !work.has_ended(Instant::now()) {
                return None;
            }
            *work = new();
        }
        work.waiting += 1;
        Some(InFlightGuard { in_flight: self.clone(), slice: slice.clone(), until: None })
    }

    /// Releases a slice that was held under `token`: no further request for it begins.
    pub fn release(&self, slice: &SliceRef, token: Token) {
        let mut inner = self.inner.lock();
        let released = inner.released.entry(slice.clone()).or_default();
        *released = (*released).max(token);
    }

    /// Whether the slice held under `token` was released.
    pub fn is_released(&self, slice: &SliceRef, token: Token) -> bool {
        self.inner.lock().released.get(slice).is_some_and(|released| *released >= token)
    }

    /// Records that the former owner has released a slice that is granted to this node under
    /// `token`.
    pub fn acquire(&self, slice: SliceRef, token: Token) {
        self.inner.lock().acquired.insert(slice, token);
    }

    /// Whether the former owner has released the slice to this node under `token`.
    pub fn is_acquired(&self, slice: &SliceRef, token: Token) -> bool {
        self.inner.lock().acquired.get(slice) == Some(&token)
    }

    /// Drops acquired slices for which `keep` is false, and requests that have ended.
    pub fn prune(&self, keep: impl Fn(&SliceRef) -> bool) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.acquired.retain(|slice, _| keep(slice));
        inner.running.retain(|_, work| !work.has_ended(now));
    }

    /// Whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        let now = Instant::now();
        self.inner.lock().running.values().all(|work| work.has_ended(now))
    }

    /// Waits until no request for the slices is in flight.
    pub async fn wait_drained(&self, slices: &[SliceRef]) {
        let mut ended = self.ended.subscribe();
        loop {
            ended.borrow_and_update();
            let now = Instant::now();
            let until = {
                let inner = self.inner.lock();
                let busy = slices.iter().filter_map(|s| inner.running.get(s));
                let busy: Vec<&Work> = busy.filter(|work| !work.has_ended(now)).collect();
                if busy.is_empty() {
                    return;
                }
                let waiting = busy.iter().any(|work| work.waiting > 0);
                busy.iter().filter_map(|work| work.until).max().filter(|_| !waiting)
            };
            match until {
                // Requests may be sent meanwhile for slices that are not released.
                Some(until) => drop(timeout_at(until.into(), ended.changed()).await),
                None => drop(ended.changed().await),
            }
        }
    }
}
