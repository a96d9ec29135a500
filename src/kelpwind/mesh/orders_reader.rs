//! Reads the orders, and asks for newer ones beside a read that waits.
//!
//! A read that waits for orders is not given up when there may be newer ones, that is, when another
//! node announces some or a request needs to know. Its answer may be on the way already, and a
//! transfer that is given up and requested again over a slow link, or from a store that is slow,
//! may never end. But it may also wait on a connection that has gone silent. So a second read that
//! does not wait, a probe, is sent beside it. The answer that begins first is received whole. The
//! other read is dropped then, except that a read that waits goes on after a probe found nothing.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use tokio::time::sleep_until;

use super::node::Node;
use super::platform_api::{Batch, READ_GRACE, ReadRequest, StoreError, StoreFuture, Topic};
use super::store_watch::with_jitter;
use crate::core::ids::Offset;
use crate::table::polling::ReadRole;

/// Longest time until the answer to a probe begins: the same as for other calls that do not wait.
/// It does not grow with failures, because a probe sent right before the end of an outage delays
/// the next one. A store that is slow is read by the read that waits.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a probe that failed. With [`PROBE_TIMEOUT`] it is well below the 3 s after an outage
/// from which on a host counts as in contact again.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Number of times that the limit of a read that waits is doubled after reads that have failed.
const DOUBLINGS_MAX: u32 = 3;

/// Result of a read, with a time at which the store had no orders beyond the answer.
pub(super) type ReadOutcome = (Result<Batch, StoreError>, Instant);

/// A read in progress.
struct Read {
    from: Offset,
    wait: Duration,
    sent: Instant,
    answering: Rc<Cell<bool>>,
    answer: StoreFuture<Batch>,
}

impl Read {
    fn start(node: &Node, from: Offset, wait: Duration, patience: Duration) -> Read {
        let request = ReadRequest { patience, ..ReadRequest::new(Topic::Orders, from, wait) };
        let answering = request.answering.clone();
        let answer = (node.platform.store.read)(request);
        Read { from, wait, sent: Instant::now(), answering, answer }
    }

    fn outcome(&self, answer: Result<Batch, StoreError>) -> ReadOutcome {
        // The store has waited in vain before it returns no records.
        let in_vain = answer.as_ref().is_ok_and(|batch| batch.records.is_empty());
        let at = if in_vain { (self.sent + self.wait).min(Instant::now()) } else { self.sent };
        (answer, at)
    }
}

/// Reads the orders for one node.
#[derive(Default)]
pub(super) struct OrdersReader {
    /// The read that waits, kept while probes find nothing.
    waiting: Option<Read>,
    /// End of the topic, according to other nodes, up to which a probe has asked.
    probed: Offset,
    /// Whether a request's question is still to be put to the store.
    check_due: bool,
    /// Earliest time of the next probe.
    probe_at: Option<Instant>,
    /// Consecutive reads that failed although others had orders that this node lacks.
    overdue: u32,
}

impl OrdersReader {
    /// Reads the orders from `from` on.
    pub async fn read(&mut self, node: &Node, from: Offset, role: ReadRole) -> ReadOutcome {
        let kept = self.waiting.take().filter(|read| read.from == from);
        let mut waiting = kept.unwrap_or_else(|| self.start_waiting(node, from, role));
        loop {
            tokio::select! {
                biased;
                answer = &mut waiting.answer => return self.finish(node, &waiting, answer),
                () = self.probe_needed(node, from) => {}
            }
            if waiting.answering.get() {
                let answer = (&mut waiting.answer).await;
                return self.finish(node, &waiting, answer);
            }
            let end = node.orders.borrow().freshness.end();
            node.record_probe(from);
            let probe = Read::start(node, from, Duration::ZERO, PROBE_TIMEOUT);
            let (read, answer, other) = first_answer(waiting, probe).await;
            let is_probe = read.wait.is_zero();
            match (answer, other) {
                (Ok(batch), Some(other)) if is_probe && batch.records.is_empty() => {
                    self.record_probed(end);
                    self.waiting = Some(other);
                    return read.outcome(Ok(batch));
                }
                (Err(e), Some(other)) if is_probe => {
                    self.probe_at = Some(Instant::now() + PROBE_PAUSE);
                    node.record_failed_probe(&e);
                    waiting = other;
                }
                (Err(_), Some(mut probe)) => {
                    let answer = (&mut probe.answer).await;
                    return self.finish(node, &probe, answer);
                }
                (answer, _) => {
                    if is_probe {
                        self.record_probed(end);
                    }
                    return self.finish(node, &read, answer);
                }
            }
        }
    }

    fn start_waiting(&self, node: &Node, from: Offset, role: ReadRole) -> Read {
        let wait = with_jitter(role.max_wait());
        // The records exist, so a store that does not answer in time is slow, not silent.
        let behind = node.orders.borrow().freshness.end() > from;
        let doublings = if behind { self.overdue.min(DOUBLINGS_MAX) } else { 0 };
        Read::start(node, from, wait, wait + READ_GRACE * 2_u32.pow(doublings))
    }

    /// Returns when the store is to be asked beside the read that waits.
    async fn probe_needed(&mut self, node: &Node, from: Offset) {
        if !self.check_due {
            tokio::select! {
                () = node.wait_for_missed_orders(from.max(self.probed)) => {}
                () = node.orders_check.notified() => self.check_due = true,
            }
        }
        if let Some(at) = self.probe_at {
            sleep_until(at.into()).await;
        }
    }

    fn record_probed(&mut self, end: Offset) {
        self.probed = self.probed.max(end);
        self.check_due = false;
        self.probe_at = None;
    }

    /// Ends a read with its answer.
    fn finish(
        &mut self,
        node: &Node,
        read: &Read,
        answer: Result<Batch, StoreError>,
    ) -> ReadOutcome {
        let behind = node.orders.borrow().freshness.end() > read.from;
        match &answer {
            Ok(_) => self.overdue = 0,
            Err(_) if behind => self.overdue += 1,
            Err(_) => {}
        }
        read.outcome(answer)
    }
}

/// Waits for the answer of one of two reads. Drops the other read as soon as this answer begins;
/// otherwise returns it too.
async fn first_answer(
    waiting: Read,
    probe: Read,
) -> (Read, Result<Batch, StoreError>, Option<Read>) {
    let mut reads = [Some(waiting), Some(probe)];
    poll_fn(|cx| {
        for i in [0, 1] {
            let Some(mut read) = reads[i].take() else { continue };
            if let Poll::Ready(answer) = read.answer.as_mut().poll(cx) {
                return Poll::Ready((read, answer, reads[1 - i].take()));
            }
            if read.answering.get() {
                reads[1 - i] = None;
            }
            reads[i] = Some(read);
        }
        Poll::Pending
    })
    .await
}
