//! Requests in flight by slice, and the slices that this node has let go.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::core::call::SliceRef;
use crate::core::ids::Token;

#[derive(Debug, Default)]
struct Inner {
    running: BTreeMap<SliceRef, u32>,
    /// Slices let go, with the newest token under which they were held.
    gone: BTreeMap<SliceRef, Token>,
    /// Slices that their former owner has let go to this node, with this node's token.
    taken: BTreeMap<SliceRef, Token>,
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
    /// Notes a request for a slice held under `token`; `None` once the slice was let go.
    pub fn begin(&self, slice: &SliceRef, token: Token) -> Option<Entered> {
        let mut inner = self.inner.lock();
        if inner.gone.get(slice).is_some_and(|gone| *gone >= token) {
            return None;
        }
        *inner.running.entry(slice.clone()).or_default() += 1;
        Some(Entered { all: self.clone(), slice: slice.clone() })
    }

    /// Lets a slice go that was held under `token`: no request for it enters any more.
    pub fn release(&self, slice: &SliceRef, token: Token) {
        let mut inner = self.inner.lock();
        let gone = inner.gone.entry(slice.clone()).or_default();
        *gone = (*gone).max(token);
    }

    /// Whether the slice held under `token` was let go.
    pub fn is_released(&self, slice: &SliceRef, token: Token) -> bool {
        self.inner.lock().gone.get(slice).is_some_and(|gone| *gone >= token)
    }

    /// Notes that the former owner has let a slice go, which this node was granted under `token`.
    pub fn acquire(&self, slice: SliceRef, token: Token) {
        self.inner.lock().taken.insert(slice, token);
    }

    /// Whether the former owner has let the slice go to this node under `token`.
    pub fn is_acquired(&self, slice: &SliceRef, token: Token) -> bool {
        self.inner.lock().taken.get(slice) == Some(&token)
    }

    /// Forgets slices that `keep` does not name.
    pub fn prune(&self, keep: impl Fn(&SliceRef) -> bool) {
        let mut inner = self.inner.lock();
        inner.taken.retain(|slice, _| keep(slice));
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
