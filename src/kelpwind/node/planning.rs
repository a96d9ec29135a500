//! The planning loop: gives free slices to owners, asks owners to hand slices over, and writes
//! snapshots when they are due.

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

/// Time until slices that were not handed over are asked for again.
const AGAIN_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two rounds of planning while nothing changes.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two looks at whether a snapshot is due.
const SNAPSHOT_LOOK: Duration = Duration::from_millis(500);
/// Shortest time between two rounds.
const PLAN_PAUSE: Duration = Duration::from_millis(20);
/// Longest time to wait for the fate of an assignment.
const ASSIGN_TIME: Duration = Duration::from_secs(2);
/// Slices handed over in one round, for one key range.
const MOVES_PER_ROUND: usize = 8;
/// Records that make an old snapshot worth replacing; its own pieces are among them.
const RECORDS_MIN: u64 = 64;
/// Longest time to wait for the fate of a piece of a snapshot.
const SNAPSHOT_TIME: Duration = Duration::from_secs(5);

/// Plans for as long as the process runs.
pub async fn plan(node: Arc<Node>) {
    let mut moves = node.replica.subscribe();
    loop {
        moves.borrow_and_update();
        let more = node.is("serving") && node.log_is_up() && node.plan_once().await;
        node.release_retired().await;
        tokio::time::sleep(PLAN_PAUSE).await;
        let pause = if more { AGAIN_INTERVAL } else { PLAN_INTERVAL };
        let _ = timeout(pause, moves.changed()).await;
    }
}

/// Writes snapshots for as long as the process runs: when enough records have come since the newest
/// one, or it has become old and any record has come.
pub async fn keep_snapshots(node: Arc<Node>) {
    let mut newest = (Offset(0), Instant::now());
    loop {
        tokio::time::sleep(SNAPSHOT_LOOK).await;
        let (next, snapshot) = {
            let state = node.replica.state();
            (state.next, state.snapshot_next)
        };
        if snapshot != newest.0 {
            newest = (snapshot, Instant::now());
        }
        let fresh = next.0.saturating_sub(snapshot.0);
        let aged = newest.1.elapsed() >= node.settings.snapshot_age && fresh > RECORDS_MIN;
        let due = fresh >= node.settings.snapshot_every || aged;
        if due && node.log_is_up() && node.is_snapshot_writer() {
            node.write_snapshot().await;
        }
    }
}

impl Node {
    /// One round of planning; whether there was anything to do.
    async fn plan_once(&self) -> bool {
        let (moves, transfers) = {
            let state = self.replica.state();
            let mine: Vec<&RangeName> = planned_by(&state, &self.me).collect();
            let moves: Vec<_> = mine.iter().flat_map(|r| planner::assign(&state, r)).collect();
            let transfers: Vec<Transfer> =
                mine.iter().flat_map(|r| planner::rebalance(&state, r, MOVES_PER_ROUND)).collect();
            (moves, transfers)
        };
        if !moves.is_empty() {
            let _ = self.append(Body::Assign { moves }, ASSIGN_TIME).await;
            return true;
        }
        if transfers.is_empty() {
            return false;
        }
        let mut by_owner: BTreeMap<Holder, Vec<Transfer>> = BTreeMap::new();
        for transfer in transfers {
            by_owner.entry(transfer.from.clone()).or_default().push(transfer);
        }
        let asked = by_owner.into_iter().map(|(owner, list)| self.ask_to_hand_over(owner, list));
        futures_util::future::join_all(asked).await;
        true
    }

    async fn ask_to_hand_over(&self, owner: Holder, transfers: Vec<Transfer>) {
        if owner == self.me {
            let _ = self.hand_over(transfers).await;
            return;
        }
        let addr = self.replica.state().members.get(&owner).map(|m| m.member.peer);
        if let Some(addr) = addr {
            peers::ask_hand_over(addr, transfers).await;
        }
    }

    fn is_snapshot_writer(&self) -> bool {
        let state = self.replica.state();
        let holders = state.newest_members().map(|m| &m.holder);
        holders.min_by_key(|h| h.inc) == Some(&self.me)
    }

    async fn write_snapshot(&self) {
        let (records, next): (_, Offset) = {
            let state = self.replica.state();
            (snapshot::split(&state, &self.me.to_string()), state.next)
        };
        let pieces = records.len();
        for record in &records {
            if self.append_record(record, SNAPSHOT_TIME).await.is_err() {
                return;
            }
        }
        spdlog::info!("node {}: wrote a snapshot up to {next} in {pieces} pieces", self.me);
    }
}

fn planned_by<'a>(state: &'a State, me: &'a Holder) -> impl Iterator<Item = &'a RangeName> {
    let live = state.ranges.iter().filter(|(_, r)| !r.retired);
    let mine = live.filter(move |(_, r)| planner_of(state, &r.range.service) == Some(me));
    mine.map(|(name, _)| name)
}
