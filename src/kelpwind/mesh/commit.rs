//! Conditional writes to the table: a record that is computed from the whole table is appended only
//! if the table has not changed since.

use std::time::Duration;

use tokio::time::sleep;

use super::datagram::TableUpdate;
use super::metrics::ReadResult;
use super::node::Node;
use super::platform_api::{ReadRequest, StoreError, Topic};
use crate::core::ids::Position;
use crate::table::{Table, WriteBatch};

/// Longest pause after the first conflict; it doubles with each further one. The pause is drawn at
/// random, so that concurrent writers do not retry in step.
const CONFLICT_PAUSE: Duration = Duration::from_millis(15);
/// Number of conflicts after which the pause stops growing. Some twenty owners that move keys at once
/// take half a second for one attempt each, if a read and an append take 25 ms.
const CONFLICT_DOUBLINGS: u32 = 5;
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
                    if self.informs_all_members() {
                        self.notify_members(&update).await;
                    }
                    return Some(update);
                }
                Err(StoreError::Conflict) => {
                    let pause = CONFLICT_PAUSE * 2_u32.pow(failures.min(CONFLICT_DOUBLINGS));
                    sleep(pause.mul_f64(fastrand::f64())).await;
                    // The shorter the time between a read and the next attempt, the fewer attempts
                    // conflict. Records that others pass on may be late on a busy link.
                    self.read_table_once().await;
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

    /// Reads the records after the end of the table, without a wait for more.
    async fn read_table_once(&self) {
        let from = self.followed_position().0;
        let request = ReadRequest::new(Topic::Table, from.offset, Duration::ZERO);
        match (self.platform.store.read)(request).await {
            Ok(batch) if self.followed_position().0.era == from.era => {
                self.metrics.count_read(Topic::Table, ReadResult::Done);
                self.apply_table_records(&batch.records, false, batch.next);
            }
            // The records are of a former era.
            Ok(_) => {}
            Err(e) => {
                self.metrics.count_read(Topic::Table, ReadResult::Failed);
                let why = e.to_string();
                spdlog::debug!("failed to read the table after a conflict", kv: { why = why.as_str() });
                self.request_table_read();
                sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}
