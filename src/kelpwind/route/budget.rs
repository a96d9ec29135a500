//! A retry budget: retries of a service stay below a part of its requests.
//!
//! Without it, retries multiply the load just when a service has the least room for it, and keep it
//! overloaded after the cause has gone. Each request earns a part of a retry; each retry costs one.
//!
//! Where all nodes together have one budget, each spends a share of it without asking the others:
//! what its own requests earn, and an equal part of what may be spent beyond that ([`Share`]).

use parking_lot::Mutex;

/// Part of the common budget that is planned for; the rest is for repeats that nodes do not see, such
/// as those of requests that were on their way when a connection broke.
const PLANNED_PART: f64 = 0.7;

/// What one node may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Retries earned by one request.
    pub earned: f64,
    /// Most retries saved up.
    pub saved: f64,
}

impl Default for BudgetShare {
    fn default() -> BudgetShare {
        BudgetShare { earned: 0.1, saved: 10.0 }
    }
}

impl BudgetShare {
    /// The share of one of `nodes` nodes in a budget of `part` of all requests and `slack` more.
    pub fn of(part: f64, slack: f64, nodes: usize) -> BudgetShare {
        let nodes = nodes.max(1) as f64;
        BudgetShare { earned: part * PLANNED_PART, saved: slack * PLANNED_PART / nodes }
    }
}

/// The budget of one service at one node.
#[derive(Debug)]
pub struct Budget {
    saved: Mutex<f64>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(BudgetShare::default())
    }
}

impl Budget {
    /// A budget with all saved that a share allows.
    pub fn new(share: BudgetShare) -> Budget {
        Budget { saved: Mutex::new(share.saved) }
    }

    /// A request came.
    pub fn deposit(&self, share: BudgetShare) {
        let mut saved = self.saved.lock();
        // A share below one retry must still add up to one.
        *saved = (*saved + share.earned).min(share.saved.max(1.0));
    }

    /// Pays for a retry, if there is enough.
    pub fn try_withdraw(&self) -> bool {
        let mut saved = self.saved.lock();
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
