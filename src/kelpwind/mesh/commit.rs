//! Conditional writes to the table: a record that is computed from the whole table is appended only
//! if the table has not changed since.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::datagram::TableUpdate;
use super::node::Node;
use super::platform_api::StoreError;
use crate::core::ids::Position;
use crate::table::{Table, WriteBatch};

/// Longest wait, after a conflict, for the record that was appended first.
const CONFLICT_READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest pause after the first conflict; it grows with each failure. The pause is drawn at
/// random, so that concurrent writers do not retry in step.
const CONFLICT_PAUSE: Duration = Duration::from_millis(8);
/// The same pause per member, used if it is longer: with more concurrent writers it takes longer
/// until all have written.
const CONFLICT_PAUSE_EACH: Duration = Duration::from_micros(400);
/// Pause after the first append that fails for another reason than a conflict; it grows with each
/// failure.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after such failures, before jitter.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(300);
/// Maximum number of attempts, after which the caller decides anew. A call without an answer is
/// followed up beyond them, until it is known whether the record was appended.
const ATTEMPTS_MAX: u32 = 30;

/// Counts a conditional write as one whose outcome is not known until dropped.
struct UncertainWrite<'a>(&'a Node);

impl<'a> UncertainWrite<'a> {
    fn begin(node: &'a Node) -> UncertainWrite<'a> {
        node.uncertain_writes.set(node.uncertain_writes.get() + 1);
        UncertainWrite(node)
    }
}

impl Drop for UncertainWrite<'_> {
    fn drop(&mut self) {
        self.0.uncertain_writes.set(self.0.uncertain_writes.get() - 1);
    }
}

impl Node {
    /// Appends the records that `decide` computes from the table, and computes them again whenever
    /// the table has changed. Returns what was written, after it was applied to the table; `None`
    /// when there was nothing to write, or all attempts failed.
    ///
    /// An append without an answer may still be carried out later, but only while the log ends at
    /// the offset it names. Any record after that offset, also a second attempt of this one, makes
    /// it void. So nothing that this function sent can be carried out after it returns. What was sent
    /// in a former era of the store changes nothing in the present one.
    pub async fn commit(
        &self,
        what: &str,
        decide: impl Fn(&Node, &Table) -> Option<WriteBatch>,
    ) -> Option<TableUpdate> {
        let mut failures = 0;
        let mut unsure: Option<(Position, UncertainWrite<'_>)> = None;
        while failures < ATTEMPTS_MAX || unsure.is_some() {
            self.wait_for_present_era().await;
            let (batch, at) = {
                let table = self.table.borrow();
                (decide(self, &table), table.position())
            };
            let settled = unsure.as_ref().is_none_or(|(before, _)| at > *before);
            let Some(batch) = batch else {
                // Nothing is left to write. After an append without an answer, the reason may be
                // that it was carried out.
                return unsure.map(|_| TableUpdate { next: at, batch: WriteBatch::default() });
            };
            if settled {
                unsure = None;
            }
            let batch = batch.of_era(at.era);
            let uncertain = UncertainWrite::begin(self);
            match (self.platform.store.append)(batch.clone(), Some(at.offset)).await {
                Ok(next) => {
                    let next = Position { offset: next, ..at };
                    let update = TableUpdate { next, batch };
                    self.apply_table_update(&update);
                    return Some(update);
                }
                Err(StoreError::Conflict) => {
                    self.request_table_read();
                    // On a timeout the next attempt conflicts again, which is harmless.
                    let _ = timeout(CONFLICT_READ_TIMEOUT, self.wait_for_table(at.next())).await;
                    let pause = CONFLICT_PAUSE.max(CONFLICT_PAUSE_EACH * self.member_count());
                    sleep(pause.mul_f64(fastrand::f64() * f64::from(failures + 1))).await;
                }
                Err(e) => {
                    let why = e.to_string();
                    spdlog::warn!("failed to append a record to the table", kv: { what, why = why.as_str(), failures });
                    self.request_table_read();
                    if matches!(
                        e,
                        StoreError::Unknown(_) | StoreError::Malformed(_) | StoreError::Restored
                    ) {
                        unsure = Some((at, uncertain));
                    }
                    let pause = (RETRY_PAUSE * (failures + 1)).min(RETRY_PAUSE_MAX);
                    sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
            failures += 1;
        }
        spdlog::error!("failed to append a record to the table in {failures} attempts", kv: { what });
        None
    }

    /// Waits until the table contains all records before an offset.
    async fn wait_for_table(&self, position: Position) {
        let mut known = self.table_position.subscribe();
        // `wait_for` fails only if the sender is dropped, and `self` owns the sender.
        drop(known.wait_for(|next| next.is_some_and(|next| next >= position)).await);
    }
}
