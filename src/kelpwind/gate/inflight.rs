//! Requests in flight by slice, and the state of slices in handover.
//!
//! A former owner releases a slice for good: requests under its old token are refused from then
//! on, and the handover waits for those in flight. The next owner serves the slice once the former
//! one has confirmed the release.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::core::call::SliceRef;
use crate::core::ids::Token;

#[derive(Debug, Default)]
struct Inner {
    running: BTreeMap<SliceRef, u32>,
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

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: InFlight,
    slice: SliceRef,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut inner = self.in_flight.inner.lock();
        if let Some(n) = inner.running.get_mut(&self.slice) {
            *n -= 1;
            if *n == 0 {
                inner.running.remove(&self.slice);
            }
        }
        drop(inner);
        self.in_flight.ended.send_replace(());
    }
}

impl InFlight {
    /// Counts a request for a slice held under `token`; `None` if the slice was released.
    pub fn begin(&self, slice: &SliceRef, token: Token) -> Option<InFlightGuard> {
        let mut inner = self.inner.lock();
        if inner.released.get(slice).is_some_and(|released| *released >= token) {
            return None;
        }
        *inner.running.entry(slice.clone()).or_default() += 1;
        Some(InFlightGuard { in_flight: self.clone(), slice: slice.clone() })
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

    /// Drops acquired slices for which `keep` is false.
    pub fn prune(&self, keep: impl Fn(&SliceRef) -> bool) {
        let mut inner = self.inner.lock();
        inner.acquired.retain(|slice, _| keep(slice));
    }

    /// Waits until no request for the slices is in flight.
    pub async fn wait_drained(&self, slices: &[SliceRef]) {
        let mut ended = self.ended.subscribe();
        loop {
            ended.borrow_and_update();
            let busy = {
                let inner = self.inner.lock();
                slices.iter().any(|s| inner.running.contains_key(s))
            };
            if !busy || ended.changed().await.is_err() {
                return;
            }
        }
    }
}
