//! The planning loops: assign slices without an owner, ask owners to hand over slices, and write
//! snapshots of the state to the log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::{Node, peers};
use crate::core::ids::{Holder, Offset, RangeName};
use crate::core::record::Body;
use crate::core::state::State;
use crate::log::snapshot;
use crate::place::planner::{self, Transfer};
use crate::place::planner_of;

/// Time until the next round after one that assigned slices or requested handovers.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time until the next round while the state does not change.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the node checks whether a snapshot is due.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two rounds.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Time limit for learning whether an assignment was applied.
const ASSIGN_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for the slices handed over in one round, per key range.
const TRANSFERS_PER_ROUND: usize = 8;
/// An old snapshot is replaced only if more records than this were appended since. The chunks of
/// the snapshot itself count as records.
const SNAPSHOT_RECORDS_MIN: u64 = 64;
/// Time limit for learning whether a chunk of a snapshot was applied.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Assigns and rebalances slices. Runs until the node stops.
pub async fn plan(node: Arc<Node>) {
    let mut next_offset = node.replica.subscribe();
    loop {
        next_offset.borrow_and_update();
        let more = node.in_state("serving") && node.is_log_up() && node.plan_once().await;
        node.release_retired().await;
        tokio::time::sleep(PLAN_INTERVAL_MIN).await;
        let pause = if more { RETRY_INTERVAL } else { PLAN_INTERVAL };
        let _ = timeout(pause, next_offset.changed()).await;
    }
}

/// Writes a snapshot when enough records were appended since the last one, or when the last one is
/// old and more than [`SNAPSHOT_RECORDS_MIN`] were appended since. Runs until the node stops.
pub async fn write_snapshots(node: Arc<Node>) {
    let mut last_seen = (Offset(0), Instant::now());
    loop {
        tokio::time::sleep(SNAPSHOT_CHECK_INTERVAL).await;
        let (next, snapshot) = {
            let state = node.replica.state();
            (state.next, state.snapshot_next)
        };
        if snapshot != last_seen.0 {
            last_seen = (snapshot, Instant::now());
        }
        let records = next.0.saturating_sub(snapshot.0);
        let aged =
            last_seen.1.elapsed() >= node.settings.snapshot_age && records > SNAPSHOT_RECORDS_MIN;
        let due = records >= node.settings.snapshot_every || aged;
        if due && node.is_log_up() && node.is_snapshot_writer() {
            node.write_snapshot().await;
        }
    }
}

impl Node {
    /// Runs one planning round for the key ranges that this node plans. Returns whether
    /// there was anything to assign or move.
    async fn plan_once(&self) -> bool {
        let (moves, transfers) = {
            let state = self.replica.state();
            let planned: Vec<&RangeName> = ranges_planned_by(&state, &self.holder).collect();
            let moves: Vec<_> = planned.iter().flat_map(|r| planner::assign(&state, r)).collect();
            let transfers: Vec<Transfer> = planned
                .iter()
                .flat_map(|r| planner::rebalance(&state, r, TRANSFERS_PER_ROUND))
                .collect();
            (moves, transfers)
        };
        if !moves.is_empty() {
            let _ = self.append(Body::Assign { moves }, ASSIGN_TIMEOUT).await;
            return true;
        }
        if transfers.is_empty() {
            return false;
        }
        let mut by_owner: BTreeMap<Holder, Vec<Transfer>> = BTreeMap::new();
        for transfer in transfers {
            by_owner.entry(transfer.from.clone()).or_default().push(transfer);
        }
        let requests = by_owner.into_iter().map(|(owner, list)| self.request_handover(owner, list));
        futures_util::future::join_all(requests).await;
        true
    }

    /// Asks the owner of slices to hand them over; this node hands over its own directly.
    async fn request_handover(&self, owner: Holder, transfers: Vec<Transfer>) {
        if owner == self.holder {
            let _ = self.hand_over(transfers).await;
            return;
        }
        let addr = self.replica.state().members.get(&owner).map(|m| m.member.peer);
        if let Some(addr) = addr {
            peers::request_handover(addr, transfers).await;
        }
    }

    /// Whether this node writes the snapshots: the member with the lowest incarnation does.
    fn is_snapshot_writer(&self) -> bool {
        let state = self.replica.state();
        let holders = state.newest_members().map(|m| &m.holder);
        holders.min_by_key(|h| h.inc) == Some(&self.holder)
    }

    /// Appends a snapshot of the state, in chunks. Stops at the first chunk that fails: readers
    /// ignore an incomplete snapshot.
    async fn write_snapshot(&self) {
        let (records, next): (_, Offset) = {
            let state = self.replica.state();
            (snapshot::split(&state, &self.holder.to_string()), state.next)
        };
        let chunks = records.len();
        for record in &records {
            if self.append_record(record, SNAPSHOT_TIMEOUT).await.is_err() {
                return;
            }
        }
        spdlog::info!(
            "node {}: wrote a snapshot of all records before offset {next} in {chunks} chunks",
            self.holder
        );
    }
}

/// The key ranges, without dropped ones, for which `planner` plans assignments and handovers.
fn ranges_planned_by<'a>(
    state: &'a State,
    planner: &'a Holder,
) -> impl Iterator<Item = &'a RangeName> {
    let live = state.ranges.iter().filter(|(_, r)| !r.retired);
    let planned = live.filter(move |(_, r)| planner_of(state, &r.range.service) == Some(planner));
    planned.map(|(name, _)| name)
}
