//! Requests in flight by slice, so that a handover can wait for them to end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::core::call::SliceRef;

#[derive(Debug, Default)]
struct Inner {
    running: BTreeMap<SliceRef, u32>,
    moving: BTreeSet<SliceRef>,
}

/// Requests in flight by slice.
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

/// One request in flight; ends when dropped.
#[derive(Debug)]
pub struct Entered {
    all: InFlight,
    slice: SliceRef,
}

impl Drop for Entered {
    fn drop(&mut self) {
        let mut inner = self.all.inner.lock();
        if let Some(n) = inner.running.get_mut(&self.slice) {
            *n -= 1;
            if *n == 0 {
                inner.running.remove(&self.slice);
            }
        }
        drop(inner);
        self.all.ended.send_replace(());
    }
}

impl InFlight {
    /// Notes a request for a slice; `None` while the slice is being handed over.
    pub fn enter(&self, slice: &SliceRef) -> Option<Entered> {
        let mut inner = self.inner.lock();
        if inner.moving.contains(slice) {
            return None;
        }
        *inner.running.entry(slice.clone()).or_default() += 1;
        Some(Entered { all: self.clone(), slice: slice.clone() })
    }

    /// Whether the slice is being handed over.
    pub fn is_moving(&self, slice: &SliceRef) -> bool {
        self.inner.lock().moving.contains(slice)
    }

    /// Admits no more requests for the slices. Those that were moving already are not returned.
    pub fn stop(&self, slices: impl IntoIterator<Item = SliceRef>) -> Vec<SliceRef> {
        let mut inner = self.inner.lock();
        slices.into_iter().filter(|s| inner.moving.insert(s.clone())).collect()
    }

    /// Ends the move of slices, once its fate is known.
    pub fn settle(&self, slices: &[SliceRef]) {
        let mut inner = self.inner.lock();
        for slice in slices {
            inner.moving.remove(slice);
        }
    }

    /// Waits until no request for the slices is in flight.
    pub async fn drained(&self, slices: &[SliceRef]) {
        let mut ended = self.ended.subscribe();
        loop {
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
