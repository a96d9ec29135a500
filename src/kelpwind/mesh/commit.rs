//! Writes a record that follows from the whole table, on the condition that the table has not moved.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::datagram::TableUpdate;
use super::node::Node;
use super::platform_api::StoreError;
use crate::core::ids::Offset;
use crate::table::{Table, WriteBatch};

/// Longest time to wait for the record that came before ours.
const NEWS_WAIT: Duration = Duration::from_millis(700);
/// Pause after a conflict, longer with each: those who write at once must not do so in step.
const CONFLICT_PAUSE: Duration = Duration::from_millis(8);
/// The same for each member: the more write at once, the longer until all have written.
const CONFLICT_PAUSE_EACH: Duration = Duration::from_micros(400);
/// Pause after the store took nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause after the store took nothing many times.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(300);
/// Most tries; a decision that has waited so long is made anew by whoever asked for it. A call
/// without an answer is followed up until its fate is known, however long that takes.
const TRIES_MAX: u32 = 30;

impl Node {
    /// Writes what `decide` makes of the table, and decides anew when the table has moved. Returns what
    /// was written, once the table shows it; `None` when there was nothing to write, or the store took
    /// nothing for long.
    ///
    /// A call without an answer may be carried out later, but only while the log still ends where it
    /// says; any record after that, also a second try of this one, makes it void. So when this
    /// returns, nothing that it sent can still be carried out.
    pub async fn commit(
        &self,
        what: &str,
        decide: impl Fn(&Node, &Table) -> Option<WriteBatch>,
    ) -> Option<TableUpdate> {
        let mut failures = 0;
        let mut unsure: Option<Offset> = None;
        while failures < TRIES_MAX || unsure.is_some() {
            let (draft, at) = {
                let table = self.table.borrow();
                (decide(self, &table), table.next)
            };
            let settled = unsure.is_none_or(|before| at > before);
            let Some(draft) = draft else {
                // Nothing is left to do; after a call without an answer that may be our own work.
                return unsure.map(|_| TableUpdate { next: at, draft: WriteBatch::default() });
            };
            if settled {
                unsure = None;
            }
            match (self.platform.store.append)(draft.clone(), Some(at)).await {
                Ok(next) => {
                    let news = TableUpdate { next, draft };
                    self.apply_table_update(&news);
                    return Some(news);
                }
                Err(StoreError::Conflict) => {
                    self.request_table_read();
                    // A timeout only means that the next try conflicts again.
                    let _ = timeout(NEWS_WAIT, self.wait_for_table(at.next())).await;
                    let pause = CONFLICT_PAUSE.max(CONFLICT_PAUSE_EACH * self.member_count());
                    sleep(pause.mul_f64(fastrand::f64() * f64::from(failures + 1))).await;
                }
                Err(e) => {
                    let why = e.to_string();
                    spdlog::warn!("a record was not written", kv: { what, why = why.as_str(), failures });
                    self.request_table_read();
                    if matches!(e, StoreError::Unknown(_) | StoreError::Malformed(_)) {
                        unsure = Some(at);
                    }
                    let pause = (RETRY_PAUSE * (failures + 1)).min(RETRY_PAUSE_MAX);
                    sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                }
            }
            failures += 1;
        }
        spdlog::error!("a record was given up", kv: { what });
        None
    }

    /// Waits until the table has all records before an offset.
    async fn wait_for_table(&self, offset: Offset) {
        let mut read = self.table_offset.subscribe();
        // An error would mean that the sender is gone, which is part of this node.
        drop(read.wait_for(|next| next.is_some_and(|next| next >= offset)).await);
    }
}
