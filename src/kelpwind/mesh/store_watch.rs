//! Watches the two topics of the store: operators' orders ([`super::orders`]) and the table of the
//! nodes.
//!
//! Each topic is first read as a whole. Each further read starts where the last one ended, and
//! waits for the next record. [`super::orders_reader`] says what happens when there may be newer
//! orders meanwhile.
//!
//! State is never rolled back: an older configuration is ignored, and while the store does not
//! answer, the last known state stays in force.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use super::metrics::ReadResult;
use super::node::Node;
use super::orders_reader::OrdersReader;
use super::platform_api::{Batch, ReadRequest, StoreError, Topic};
use crate::core::ids::{Era, Offset};
use crate::table::polling::{self, ReadRole};
use crate::table::{Record, Table};

/// Pause after a read that returned orders, so that records published close together are read with
/// one call. Orders must be in force within 2 s.
const ORDERS_PAUSE: Duration = Duration::from_millis(300);
/// Fraction of the wait that is drawn at random, so that nodes do not read in step.
const WAIT_JITTER: f64 = 0.2;
/// Pause after the first failed read; it grows with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Number of failed reads after which the pause stops growing.
const RETRY_PAUSE_STEPS: u32 = 16;

/// Reads one topic and applies its records for as long as the process runs.
pub(crate) async fn watch_topic(node: Rc<Node>, topic: Topic) {
    let mut next: Option<Offset> = None;
    let mut failures = 0_u32;
    let (mut draw, mut drawn_at) = (fastrand::f64(), Instant::now());
    let mut orders = OrdersReader::default();
    let mut era = node.store_era.known();
    loop {
        if !node.continues_reading(topic, &mut era) {
            next = None;
        }
        if drawn_at.elapsed() >= ReadRole::duration() {
            (draw, drawn_at) = (fastrand::f64(), Instant::now());
        }
        // The role changes with the number of known members; the draw is kept for
        // `ReadRole::duration`.
        let role = ReadRole::assign(node.member_count(), draw);
        let sent = Instant::now();
        let (read, at) = match (next, topic) {
            (None, _) => ((node.platform.store.newest)(topic).await, sent),
            (Some(_), Topic::Table) => {
                let Some(read) = node.read_table().await else { continue };
                (read, sent)
            }
            (Some(from), Topic::Orders) => tokio::select! {
                read = orders.read(&node, from, role) => read,
                () = node.store_era.changed_from(era) => (Err(StoreError::Restored), sent),
            },
        };
        let result = if read.is_ok() { ReadResult::Done } else { ReadResult::Failed };
        node.metrics.count_read(topic, result);
        match read {
            Ok(batch) => {
                if next.is_none() {
                    // The first answer may be the one that states the era.
                    node.follow_era();
                    era = era.or(node.store_era.known());
                }
                if failures > 0 {
                    spdlog::info!("the store answers again", kv: { topic = format!("{topic:?}"), failures });
                }
                failures = 0;
                node.apply_records(topic, &batch.records, next.is_none(), batch.next);
                if topic == Topic::Orders {
                    node.orders.send_modify(|orders| orders.record_read(&batch, at));
                }
                if topic == Topic::Orders && role == ReadRole::Frequent && !batch.records.is_empty()
                {
                    node.notify_orders_published(batch.next).await;
                }
                next = Some(batch.next);
                if !batch.records.is_empty() {
                    node.pause_before_read(topic).await;
                }
            }
            Err(StoreError::Restored) => next = None,
            Err(StoreError::Gone) => {
                spdlog::warn!("the store no longer keeps the next records; reading the whole topic", kv: { topic = format!("{topic:?}") });
                next = None;
            }
            Err(e) => {
                if failures == 0 {
                    let why = e.to_string();
                    spdlog::warn!("the store does not answer", kv: { topic = format!("{topic:?}"), why = why.as_str() });
                }
                failures += 1;
                if topic == Topic::Orders {
                    node.orders.send_modify(|orders| orders.failing = true);
                }
                let longest = match topic {
                    Topic::Orders => role.max_retry_pause(),
                    Topic::Table => polling::max_table_retry_pause(node.member_count()),
                };
                let pause = (RETRY_PAUSE * failures.min(RETRY_PAUSE_STEPS)).min(longest);
                sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

impl Node {
    /// Whether the next read of a topic begins where the last one ended, which was of `era`. Otherwise
    /// the topic is read as a whole: its offsets are of a former era, or operators have published again
    /// what the store had lost.
    fn continues_reading(self: &Rc<Self>, topic: Topic, era: &mut Option<Era>) -> bool {
        let present = self.store_era.known();
        let same = std::mem::replace(era, present) == present;
        match topic {
            Topic::Table => !self.follow_era() && same,
            Topic::Orders => {
                if !same {
                    self.forget_orders_progress();
                }
                !self.is_recheck_due() && same
            }
        }
    }

    /// Makes the next read of the table due at once, because this node needs a record that was just
    /// written.
    pub fn request_table_read(&self) {
        self.table_read_due.notify_one();
    }

    /// Reads the table from where the last read ended. `None` if the read was given up because this
    /// node needs a record and no answer has come: the connection may be silent.
    async fn read_table(&self) -> Option<Result<Batch, StoreError>> {
        let members = self.member_count();
        let from = self.followed_position().0.offset;
        let era = self.store_era.known();
        let wait = with_jitter(polling::max_table_wait(members));
        let request = ReadRequest::new(Topic::Table, from, wait);
        let answering = request.answering.clone();
        let needed = async {
            sleep(polling::min_table_interval(members)).await;
            self.table_read_due.notified().await;
            if answering.get() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            read = (self.platform.store.read)(request) => Some(read),
            () = self.store_era.changed_from(era) => Some(Err(StoreError::Restored)),
            () = needed => None,
        }
    }

    /// Requests a read of the table because it has probably changed. Requests that follow within
    /// [`polling::min_speculative_interval`] are ignored.
    pub fn request_table_read_throttled(&self) {
        let interval = polling::min_speculative_interval(self.member_count());
        if self.table_read_requested.get().is_none_or(|at| at.elapsed() >= interval) {
            self.table_read_requested.set(Some(Instant::now()));
            self.request_table_read();
        }
    }

    /// Number of nodes that are members.
    pub fn member_count(&self) -> u32 {
        self.table.borrow().members.len() as u32
    }

    /// Counts and logs a read that asks for orders from `from` on beside a read that waits.
    pub fn record_probe(&self, from: Offset) {
        self.metrics.order_probes.inc();
        let end = self.orders.borrow().freshness.end().0;
        let config = self.routes().map_or(0, |r| r.version.0);
        self.metrics.probe_log.write(|left_out| {
            spdlog::info!("the store is asked for newer orders", kv: { from = from.0, end, config, left_out });
        });
    }

    /// Counts and logs a failure of such a read.
    pub fn record_failed_probe(&self, error: &StoreError) {
        self.metrics.count_read(Topic::Orders, ReadResult::Failed);
        self.orders.send_modify(|orders| orders.failing = true);
        let why = error.to_string();
        self.metrics.probe_log.write(|left_out| {
            spdlog::info!("the store does not tell whether there are newer orders", kv: { why = why.as_str(), left_out });
        });
    }

    /// Pauses after a read that returned records.
    async fn pause_before_read(&self, topic: Topic) {
        match topic {
            Topic::Orders => sleep(ORDERS_PAUSE).await,
            Topic::Table => {
                sleep(polling::min_table_interval(self.member_count())).await;
                // A timeout is the usual case: no read was requested.
                let interval = polling::table_interval(self.member_count());
                let _ = timeout(interval, self.table_read_due.notified()).await;
            }
        }
    }
}

pub(super) fn with_jitter(longest: Duration) -> Duration {
    longest.mul_f64(1.0 - WAIT_JITTER * fastrand::f64())
}

impl Node {
    /// Applies records of a topic; `whole` if they are the newest records of all its keys.
    fn apply_records(self: &Rc<Self>, topic: Topic, records: &[Record], whole: bool, next: Offset) {
        match topic {
            Topic::Orders => {
                let orders = self.decode_orders(records);
                if whole && !self.awaits_operators() {
                    self.restore_undrained_domains(&orders);
                    self.end_unlisted_exemptions(&orders);
                }
                orders.into_iter().for_each(|order| self.apply_order(order));
            }
            Topic::Table => self.apply_table_records(records, whole, next),
        }
    }

    /// Applies records of the table up to `next` and wakes the tasks that depend on it. With
    /// `whole` they replace the table. After the store was restored they belong to the table of the
    /// present era, on which no task depends yet.
    pub fn apply_table_records(&self, records: &[Record], whole: bool, next: Offset) {
        {
            let mut restoration = self.restoration.borrow_mut();
            let mut present = self.table.borrow_mut();
            let table = restoration.as_mut().map_or(&mut *present, |r| &mut r.table);
            let before = if whole || Table::concern_suspects(records) {
                table.suspects.values().cloned().collect()
            } else {
                Vec::new()
            };
            if whole {
                *table = Table::new(table.era);
            }
            for record in records {
                let lower = table.lower_tokens;
                if !table.apply(record) {
                    spdlog::warn!("failed to decode a record of the table", kv: { key = record.key.as_str(), offset = record.offset.0 });
                }
                if table.lower_tokens > lower {
                    self.metrics.lower_tokens.inc();
                    spdlog::error!("a record of the table names a lower token than the one before", kv: { key = record.key.as_str(), offset = record.offset.0 });
                }
            }
            // `next` never exceeds what was read in order, since conditional writes rely on knowing
            // all records before it.
            table.next = table.next.max(next);
            self.apply_suspect_records(records, &before, table);
            if let Some(restoration) = restoration.as_mut() {
                restoration.loaded = true;
                self.announce_wake.notify_one();
                return;
            }
        }
        self.table_position.send_replace(Some(self.table.borrow().position()));
        self.sync_lease();
        self.announce_wake.notify_one();
        self.grants_wake.notify_one();
    }
}
