//! Keeps the replica up to date from the log, or from other nodes while the log is unavailable.
//!
//! At start, a node installs the newest complete snapshot in the log and applies the records after
//! it. It does the same if the log no longer retains the next record needed, for example after the
//! process was suspended for long. While the log is unavailable, the node requests newer records
//! from a random other node at each retry. A record that any node has read thus reaches all nodes,
//! in a number of rounds that grows with the logarithm of the number of nodes.
//!
//! A read that waits for records does not tell whether the state is current until it returns. When
//! a caller needs to know, [`confirm`] reads the log once more without waiting; one read serves all
//! who asked before it began.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::client::{Batch, LogClient, Result};
use super::replica::{ForwardedRecord, Replica};
use super::snapshot::SnapshotAssembler;
use crate::core::codes::Code;
use crate::core::ids::Offset;
use crate::core::state::State;
use crate::util::error::{Error, format_chain};

/// How long a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Time beyond its wait after which a read is overdue: other nodes are asked meanwhile, and the
/// read goes on.
const READ_GRACE: Duration = Duration::from_secs(1);
/// Delay between two attempts while the log is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Shortest time between two reads that confirm that the state is current.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Another node's response to a request for newer records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// The records from the requested offset on.
    Records(Vec<ForwardedRecord>),
    /// The complete state, because the node cannot send the requested records.
    State(Box<State>),
    /// No response.
    None,
}

impl PeerResponse {
    /// Updates the replica with the response.
    pub fn apply_to(self, replica: &Replica) {
        match self {
            PeerResponse::Records(records) => drop(replica.apply_forwarded(&records)),
            PeerResponse::State(state) => replica.install(*state),
            PeerResponse::None => {}
        }
    }
}

/// Whether the log is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Health {
    /// starting
    Starting,
    /// up
    Up,
    /// down
    Down,
}

/// Follows the log until the process exits. `ask_peer` requests the records from an offset on from
/// one other node.
pub async fn follow<F, H>(
    log: Arc<LogClient>,
    replica: Arc<Replica>,
    health: watch::Sender<Health>,
    ask_peer: F,
) where
    F: Fn(Offset) -> H,
    H: Future<Output = PeerResponse>,
{
    let mut started = false;
    loop {
        // The first read does not wait for new records.
        let wait = if started { READ_WAIT } else { Duration::ZERO };
        let read = tokio::select! {
            read = read_once(&log, &replica, started) => read,
            never = ask_when_overdue(wait + READ_GRACE, &replica, &health, &ask_peer) => match never {},
        };
        match read {
            Ok(()) => {
                started = true;
                set_health(&health, Health::Up);
            }
            Err(e) => {
                if set_health(&health, Health::Down) {
                    spdlog::warn!("the log cannot be read: {}", format_chain(&e));
                }
                let next = { replica.state().next };
                ask_peer(next).await.apply_to(&replica);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Once `limit` has passed, asks other nodes for newer records until the caller drops this future.
async fn ask_when_overdue<F, H>(
    limit: Duration,
    replica: &Replica,
    health: &watch::Sender<Health>,
    ask_peer: &F,
) -> Infallible
where
    F: Fn(Offset) -> H,
    H: Future<Output = PeerResponse>,
{
    tokio::time::sleep(limit).await;
    if set_health(health, Health::Down) {
        spdlog::warn!("a read of the log takes longer than {limit:?}");
    }
    loop {
        let next = { replica.state().next };
        ask_peer(next).await.apply_to(replica);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns whether the health changed.
fn set_health(sender: &watch::Sender<Health>, health: Health) -> bool {
    sender.send_if_modified(|h| std::mem::replace(h, health) != health)
}

/// Reads the log once and applies the records, or loads the state if none was read from the log
/// yet or the next record is no longer retained.
async fn read_once(log: &LogClient, replica: &Replica, started: bool) -> Result<()> {
    if !started {
        return bootstrap(log, replica).await;
    }
    let next = { replica.state().next };
    let batch = read_from(log, replica, next, READ_WAIT).await?;
    if batch.start > next {
        return bootstrap(log, replica).await;
    }
    apply_batch(replica, &batch);
    Ok(())
}

/// Reads the log from an offset on and records where it ends.
async fn read_from(
    log: &LogClient,
    replica: &Replica,
    from: Offset,
    wait: Duration,
) -> Result<Batch> {
    let known = { replica.state().next };
    let began = Instant::now();
    let batch = (log.read)(from, wait).await?;
    if batch.end < known {
        // The log ends before records that were read from it earlier, so it is not the same log.
        let context = format!("failed to read the log: it ends at {}, before {known}", batch.end);
        return Err(Error::new(Code::LogMalformed, context));
    }
    replica.observe_end(began, batch.end);
    Ok(batch)
}

/// Reads the end of the log whenever a caller waits for the state to be confirmed. The read begins
/// at the last end that is known, since the follower reads the records before it. Runs until the
/// node stops.
pub async fn confirm(log: Arc<LogClient>, replica: Arc<Replica>) {
    loop {
        replica.confirmation_wanted().await;
        if let Err(e) = read_from(&log, &replica, replica.known_end(), Duration::ZERO).await {
            spdlog::warn!("failed to confirm that the state is current: {}", format_chain(&e));
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

fn apply_batch(replica: &Replica, batch: &Batch) {
    for (offset, raw) in &batch.records {
        replica.apply(*offset, raw);
    }
}

/// Reads the whole log, installs its newest complete snapshot, and applies the records after it.
///
/// # Errors
/// [`Code::LogTruncated`] if the log no longer retains records that the replica needs and has no
/// complete snapshot that replaces them.
pub async fn bootstrap(log: &LogClient, replica: &Replica) -> Result<()> {
    let known = { replica.state().next };
    let mut batch = read_from(log, replica, Offset(0), Duration::ZERO).await?;
    let start = batch.start;
    let mut assembler = SnapshotAssembler::default();
    let mut records = Vec::new();
    while let Some((last, _)) = batch.records.last() {
        let next = last.next();
        for (_, raw) in &batch.records {
            assembler.add(raw);
        }
        records.append(&mut batch.records);
        if next >= batch.end {
            break;
        }
        batch = read_from(log, replica, next, Duration::ZERO).await?;
        if batch.start > next {
            let context = format!(
                "failed to load the state: records {next} to {} expired while it was read",
                batch.start
            );
            return Err(Error::new(Code::LogTruncated, context));
        }
    }
    let snapshot = assembler.newest().filter(|s| s.next >= start);
    match snapshot {
        Some(state) => replica.install(state),
        None if start > known => {
            let context = format!(
                "failed to load the state: the log begins at offset {start}, after {known}, and \
                 holds no complete snapshot"
            );
            return Err(Error::new(Code::LogTruncated, context));
        }
        None => {}
    }
    for (offset, raw) in &records {
        replica.apply(*offset, raw);
    }
    Ok(())
}
