//! A retry budget: bounds the retries of a service to a fraction of its requests.
//!
//! Without a budget, retries multiply the load when a service has the least capacity for it, and
//! keep it overloaded after the cause is gone. Each request deposits a fraction of a retry, and
//! each retry withdraws one.
//!
//! Where one budget covers all nodes, each node spends its share without coordination: what its own
//! requests deposit, and an equal part of the slack ([`BudgetShare`]).

use parking_lot::Mutex;

/// Fraction of the common budget that nodes may spend. The rest covers retries that nodes do not
/// see: requests in transit when a connection broke, and the calls that a server makes again when it
/// runs a request that another one has run or shed before. Those burden the service that is called.
const SPENDABLE_RATIO: f64 = 0.5;

/// Share of one node in a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Retries deposited per request.
    pub ratio: f64,
    /// Upper limit of the balance, in retries.
    pub burst: f64,
}

impl Default for BudgetShare {
    fn default() -> BudgetShare {
        BudgetShare { ratio: 0.1, burst: 10.0 }
    }
}

impl BudgetShare {
    /// Share of each of `nodes` nodes in a common budget of `ratio` of all requests, plus `slack`
    /// retries.
    pub fn of(ratio: f64, slack: f64, nodes: usize) -> BudgetShare {
        let nodes = nodes.max(1) as f64;
        BudgetShare { ratio: ratio * SPENDABLE_RATIO, burst: slack * SPENDABLE_RATIO / nodes }
    }
}

/// Retry budget of one service at one node.
#[derive(Debug)]
pub struct Budget {
    balance: Mutex<f64>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(BudgetShare::default())
    }
}

impl Budget {
    /// Creates a budget whose balance is the full burst of the share.
    pub fn new(share: BudgetShare) -> Budget {
        Budget { balance: Mutex::new(share.burst) }
    }

    /// Creates a budget for a process that follows another one, which may have spent the burst of the
    /// share just before.
    pub fn after_restart() -> Budget {
        Budget { balance: Mutex::new(0.0) }
    }

    /// Deposits the ratio of the share for one request.
    pub fn deposit(&self, share: BudgetShare) {
        let mut balance = self.balance.lock();
        // With a burst below one retry, deposits must still add up to one.
        *balance = (*balance + share.ratio).min(share.burst.max(1.0));
    }

    /// Withdraws one retry; `false` if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        let mut balance = self.balance.lock();
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
