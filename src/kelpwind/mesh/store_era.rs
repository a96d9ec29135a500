//! The era of the store, as its answers state it.
//!
//! After the store has come back from an older copy, records that it had acknowledged are gone and
//! their offsets are given out again. Each of its answers states the era, which rises with every
//! such loss. An answer is used only if it states the era that was known when its call was sent. So
//! an answer of an earlier era that arrives late changes nothing, and no read mixes two eras.

use std::rc::Rc;

use tokio::sync::watch;

use super::metrics::EraFault;
use super::node::Node;
use super::platform_api::{EraCheck, StatedEra, StoreError};
use crate::core::codes::Code;
use crate::core::ids::Era;

/// The highest era that an answer of the store has stated.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    known: watch::Sender<Option<Era>>,
}

impl StoreEra {
    /// The highest era that is known; `None` while the store has stated none.
    pub fn known(&self) -> Option<Era> {
        *self.known.borrow()
    }

    /// Returns once an era other than `since` is known.
    pub async fn changed_from(&self, since: Option<Era>) {
        let mut known = self.known.subscribe();
        // `wait_for` fails only if the sender is dropped, and `self` owns the sender.
        drop(known.wait_for(|era| *era != since).await);
    }

    /// Records the era that an answer states. Returns whether it is a later one than was known.
    ///
    /// # Errors
    /// Why the era cannot be used; the known one then stays.
    fn observe(&self, stated: &StatedEra) -> Result<bool, EraFault> {
        match (stated, self.known()) {
            (StatedEra::Malformed(_), _) => Err(EraFault::Malformed),
            (StatedEra::Missing, Some(_)) => Err(EraFault::Missing),
            (StatedEra::Missing, None) => Ok(false),
            (StatedEra::Era(era), Some(known)) if *era < known => Err(EraFault::Earlier),
            (StatedEra::Era(era), known) => {
                if known != Some(*era) {
                    self.known.send_replace(Some(*era));
                }
                Ok(known.is_some_and(|known| *era > known))
            }
        }
    }
}

/// Checks all answers of the store for as long as the node runs.
pub(crate) fn check_answers(node: &Rc<Node>) {
    let (known, check) = (node.clone(), node.clone());
    (node.platform.store.check_eras)(EraCheck {
        known: Box::new(move || known.store_era.known()),
        check: Box::new(move |sent, stated| check.check_era(sent, &stated)),
    });
}

impl Node {
    fn check_era(self: &Rc<Self>, sent: Option<Era>, stated: &StatedEra) -> Result<(), StoreError> {
        let restored = match self.store_era.observe(stated) {
            Ok(restored) => restored,
            Err(fault) => {
                self.metrics.count_era_fault(fault);
                let (why, code) = (fault.label(), Code::LogMalformed.number());
                let known = self.store_era.known().map_or(0, |era| era.0);
                let stated = format!("{stated:?}");
                self.metrics.era_log.write(|left_out| {
                    spdlog::error!("an answer of the store is not used, because of the era that it states", kv: { code, why, known, stated = stated.as_str(), left_out });
                });
                return Err(StoreError::Malformed(format!("{}: {why}", Code::LogMalformed)));
            }
        };
        let known = self.store_era.known();
        self.check_announced_era();
        if restored {
            self.metrics.restorations.inc();
            let era = known.map_or(0, |era| era.0);
            let (table, orders) = (self.table.borrow().next.0, self.orders.borrow().next.0);
            spdlog::warn!("the store was restored from an older copy", kv: { era, table, orders });
        }
        // The first era that is known does not show that the store was restored.
        if sent.is_some() && sent != known { Err(StoreError::Restored) } else { Ok(()) }
    }
}
