//! Keeps the replica up to date from the log, or from other nodes while the log is unavailable.
//!
//! At start, a node installs the newest complete snapshot in the log and applies the records after
//! it. It does the same if the log no longer retains the next record needed, for example after the
//! process was suspended for long. While the log is unavailable, the node requests newer records
//! from a random other node at each retry. A record that any node has read thus reaches all nodes,
//! in a number of rounds that grows with the logarithm of the number of nodes.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::client::{Batch, LogClient, Result};
use super::replica::{ForwardedRecord, Replica};
use super::snapshot::SnapshotAssembler;
use crate::core::codes::Code;
use crate::core::ids::Offset;
use crate::core::state::State;
use crate::util::error::Error;

/// How long a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Delay between two attempts while the log is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(400);

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
        match read_once(&log, &replica, started).await {
            Ok(()) => {
                started = true;
                set_health(&health, Health::Up);
            }
            Err(_) => {
                set_health(&health, Health::Down);
                let next = { replica.state().next };
                ask_peer(next).await.apply_to(&replica);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn set_health(sender: &watch::Sender<Health>, health: Health) {
    sender.send_if_modified(|h| std::mem::replace(h, health) != health);
}

/// Reads the log once and applies the records. The first read does not wait for new records.
async fn read_once(log: &LogClient, replica: &Replica, started: bool) -> Result<()> {
    let next = { replica.state().next };
    let wait = if started { READ_WAIT } else { Duration::ZERO };
    let batch = (log.read)(next, wait).await?;
    if batch.end < next {
        // The log ends before records that were read from it earlier, so it is not the same log.
        let context = format!("failed to read the log: it ends at {}, before {next}", batch.end);
        return Err(Error::new(Code::LogMalformed, context));
    }
    if batch.start > next || !started {
        return bootstrap(log, replica).await;
    }
    apply_batch(replica, &batch);
    Ok(())
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
    let mut batch = (log.read)(Offset(0), Duration::ZERO).await?;
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
        batch = (log.read)(next, Duration::ZERO).await?;
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
