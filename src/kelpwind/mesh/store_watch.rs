//! Follows the store: what operators order ([`super::orders`]), and the table of the nodes.
//!
//! Each topic is read whole once, then from where that ended on, each read waiting for the next
//! record. What has been taken is never taken back: an older configuration is ignored, and while the
//! store does not answer, what is known stays in force.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use super::node::Node;
use super::platform_api::{OperatorOrder, StoreError, Topic};
use crate::core::ids::Offset;
use crate::table::polling::{self, ReadRole};
use crate::table::{Record, Table};

/// Longest time that one read of the table waits; nothing there has such a bound.
const TABLE_WAIT: Duration = Duration::from_secs(3);
/// Time between two reads of orders that move: records that come close together are read with one call,
/// and there are 2 s to be in force.
const ORDERS_PACE: Duration = Duration::from_millis(300);
/// Part of the wait that is drawn at random, so that nodes do not read in step.
const WAIT_SPREAD: f64 = 0.2;
/// Pause after a failed read, longer with each.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Failed reads after which the pause grows no longer.
const RETRY_STEPS: u32 = 16;

/// Follows one topic for as long as the process runs.
pub(crate) async fn watch_topic(node: Rc<Node>, topic: Topic) {
    let mut next: Option<Offset> = None;
    let mut failures = 0_u32;
    let (mut draw, mut drawn) = (fastrand::f64(), Instant::now());
    loop {
        if drawn.elapsed() >= ReadRole::duration() {
            (draw, drawn) = (fastrand::f64(), Instant::now());
        }
        // The draw is kept, the role follows the members as they become known.
        let reader = ReadRole::assign(node.member_count(), draw);
        let read = match (next, topic) {
            (None, _) => (node.platform.store.newest)(topic).await,
            (Some(_), Topic::Table) => {
                let from = node.table.borrow().next;
                (node.platform.store.read)(topic, from, spread(TABLE_WAIT)).await
            }
            (Some(from), Topic::Orders) => {
                tokio::select! {
                    read = (node.platform.store.read)(topic, from, spread(reader.max_wait())) => read,
                    () = node.wait_for_missed_orders(from) => continue,
                }
            }
        };
        match read {
            Ok(batch) => {
                if failures > 0 {
                    spdlog::info!("the store answers again", kv: { topic = format!("{topic:?}"), failures });
                }
                failures = 0;
                node.take(topic, &batch.records, next.is_none(), batch.next);
                if topic == Topic::Orders
                    && reader == ReadRole::Frequent
                    && !batch.records.is_empty()
                {
                    node.notify_orders_published(batch.next).await;
                }
                next = Some(batch.next);
                if !batch.records.is_empty() {
                    node.pause(topic).await;
                }
            }
            Err(StoreError::Gone) => {
                spdlog::warn!("the store has dropped records", kv: { topic = format!("{topic:?}") });
                next = None;
            }
            Err(e) => {
                if failures == 0 {
                    let why = e.to_string();
                    spdlog::warn!("the store does not answer", kv: { topic = format!("{topic:?}"), why = why.as_str() });
                }
                failures += 1;
                let most = match topic {
                    Topic::Orders => reader.max_retry_pause(),
                    Topic::Table => polling::max_table_retry_pause(node.member_count()),
                };
                let pause = (RETRY_PAUSE * failures.min(RETRY_STEPS)).min(most);
                sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

impl Node {
    /// The next read of the table is due at once: this node needs what was just written.
    pub fn request_table_read(&self) {
        self.table_read_due.notify_one();
    }

    /// The same for those who guess that the table has moved: not again within the pace.
    pub fn request_table_read_throttled(&self) {
        let pace = polling::min_speculative_interval(self.member_count());
        if self.table_read_requested.get().is_none_or(|at| at.elapsed() >= pace) {
            self.table_read_requested.set(Some(Instant::now()));
            self.request_table_read();
        }
    }

    /// Nodes that are members.
    pub fn member_count(&self) -> u32 {
        self.table.borrow().members.len() as u32
    }

    async fn pause(&self, topic: Topic) {
        match topic {
            Topic::Orders => sleep(ORDERS_PACE).await,
            Topic::Table => {
                sleep(polling::min_table_interval(self.member_count())).await;
                // A timeout is the usual case.
                let pace = polling::table_interval(self.member_count());
                let _ = timeout(pace, self.table_read_due.notified()).await;
            }
        }
    }
}

fn spread(longest: Duration) -> Duration {
    longest.mul_f64(1.0 - WAIT_SPREAD * fastrand::f64())
}

impl Node {
    /// Takes records of a topic; `whole` when they are all there is.
    fn take(self: &Rc<Self>, topic: Topic, records: &[Record], whole: bool, next: Offset) {
        match topic {
            Topic::Orders => {
                let orders: Vec<OperatorOrder> =
                    records.iter().filter_map(|r| self.decode_order(r)).collect();
                if whole {
                    self.restore_unnamed_domains(&orders);
                }
                orders.into_iter().for_each(|order| self.apply_order(order));
            }
            Topic::Table => self.apply_table_records(records, whole, next),
        }
    }

    /// Takes records of the table up to `next`, and all that follows from them.
    pub fn apply_table_records(&self, records: &[Record], whole: bool, next: Offset) {
        {
            let mut table = self.table.borrow_mut();
            if whole {
                *table = Table::default();
            }
            for record in records {
                if !table.apply(record) {
                    spdlog::warn!("a record of the table could not be read", kv: { key = record.key.as_str(), offset = record.offset.0 });
                }
            }
            // Not further than what was read in order: a conditional write must know all before it.
            table.next = table.next.max(next);
        }
        self.table_offset.send_replace(Some(self.table.borrow().next));
        self.sync_lease();
        self.announce_wake.notify_one();
        self.grants_wake.notify_one();
    }
}
