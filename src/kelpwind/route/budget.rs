//! A retry budget: retries of a service stay below a part of its requests.
//!
//! Without it, retries multiply the load just when a service has the least room for it, and keep it
//! overloaded after the cause has gone. Each request earns a part of a retry; each retry costs one.

use parking_lot::Mutex;

/// Retries earned by one request.
const EARNED: f64 = 0.1;
/// Most retries saved up.
const SAVED_MAX: f64 = 10.0;

/// The budget of one service.
#[derive(Debug)]
pub struct Budget {
    saved: Mutex<f64>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { saved: Mutex::new(SAVED_MAX) }
    }
}

impl Budget {
    /// A request came.
    pub fn earn(&self) {
        let mut saved = self.saved.lock();
        *saved = (*saved + EARNED).min(SAVED_MAX);
    }

    /// Pays for a retry, if there is enough.
    pub fn pay(&self) -> bool {
        let mut saved = self.saved.lock();
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
