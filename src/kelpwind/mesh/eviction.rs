//! Makes room in the node's account of memory, and limits the connections of callers.
//!
//! Room is taken first from bodies that have made no progress for a while, then from answers that are
//! read slowly. The largest stalled body and the slowest reader go first, so that few clients are
//! affected. A connection whose request is being run is never closed here.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::connection::Activity;
use super::metrics::MemoryRefusal;
use super::node::Node;
use super::report_exchanges::ConnectionId;
use crate::net::memory::{CONNECTION_BYTES, Hold, Place};

/// Time for which an answer is not closed however slowly it is read: a caller that is busy for a
/// moment has not begun to read.
const SLOW_READER_GRACE: Duration = Duration::from_secs(1);

/// A registered connection of a caller. Dropping it removes the connection.
pub(super) struct Registered {
    node: Rc<Node>,
    id: ConnectionId,
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.node.callers.borrow_mut().remove(&self.id.0);
    }
}

impl Node {
    /// Makes the connection of a caller known.
    pub(super) fn register(
        self: &Rc<Self>,
        id: ConnectionId,
        activity: &Rc<Activity>,
    ) -> Registered {
        self.callers.borrow_mut().insert(id.0, activity.clone());
        Registered { node: self.clone(), id }
    }

    /// The connection of a caller with this number.
    pub(super) fn caller(&self, id: ConnectionId) -> Option<Rc<Activity>> {
        self.callers.borrow().get(&id.0).cloned()
    }

    /// Takes memory for a further connection of a caller. If there are too many or there is no room,
    /// the connection that has waited longest for a request is closed. `None` if all are at work.
    pub(super) fn admit_connection(&self) -> Option<Hold> {
        let max = self.settings.borrow().limits.connections;
        let open = self.callers.borrow().values().filter(|a| !a.is_evicted()).count();
        if open >= max && !self.evict_waiting() {
            self.metrics.count_memory_refusal(MemoryRefusal::ConnectionLimit);
            return None;
        }
        let mut taken = None;
        let mut take = || {
            taken = self.memory.try_take(Place::Connection, CONNECTION_BYTES);
            taken.is_some()
        };
        let admitted = self.make_room(&mut take) || (self.evict_waiting() && take());
        if !admitted {
            self.metrics.count_memory_refusal(MemoryRefusal::ConnectionNoRoom);
        }
        taken
    }

    /// Whether there is room for the answer of one more request.
    pub(super) fn has_room_to_run(&self) -> bool {
        let room = self.make_room(|| self.memory.free() > 0);
        if !room {
            self.metrics.count_memory_refusal(MemoryRefusal::RequestNoRoom);
        }
        room
    }

    /// Repeats `attempt` until it succeeds, each time after making some room. Returns whether it did.
    pub(super) fn make_room(&self, mut attempt: impl FnMut() -> bool) -> bool {
        loop {
            if attempt() {
                return true;
            }
            if !self.evict_body() && !self.evict_reader() {
                return false;
            }
        }
    }

    /// Takes the memory of the largest body that makes no progress.
    fn evict_body(&self) -> bool {
        let stall = self.settings.borrow().limits.body_stall;
        let callers = self.callers.borrow();
        let stalled = callers.values().filter_map(|a| Some((a.stalled_body(stall)?, a)));
        let Some((_, largest)) = stalled.max_by_key(|(size, _)| *size) else { return false };
        largest.evict_body();
        self.metrics.count_memory_refusal(MemoryRefusal::BodyStalled);
        true
    }

    /// Closes the connection whose answer is read most slowly.
    fn evict_reader(&self) -> bool {
        let callers = self.callers.borrow();
        let readers =
            callers.values().filter_map(|a| Some((a.reading_rate(SLOW_READER_GRACE)?, a)));
        let Some((_, slowest)) = readers.min_by(|(a, _), (b, _)| a.total_cmp(b)) else {
            return false;
        };
        slowest.evict();
        self.metrics.count_memory_refusal(MemoryRefusal::AnswerSlow);
        true
    }

    /// Closes the connection that has waited longest for a request.
    fn evict_waiting(&self) -> bool {
        let callers = self.callers.borrow();
        let waiting = callers.values().filter_map(|a| Some((a.waiting_since()?, a)));
        let Some((_, longest)) = waiting.min_by_key(|(since, _): &(Instant, _)| *since) else {
            return false;
        };
        longest.evict();
        self.metrics.count_memory_refusal(MemoryRefusal::ConnectionLimit);
        true
    }
}
