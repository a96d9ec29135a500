//! Keeps the replica up to date: reads the log, and other nodes while the log does not answer.
//!
//! A node that starts takes the newest whole snapshot in the log and applies the records after it.
//! The same happens when the log no longer keeps the next record needed (this process was frozen
//! for long). While the log does not answer, random other nodes are asked for what they have seen,
//! so what one node has seen accepted reaches all; the number of rounds grows with the logarithm
//! of the number of nodes.

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

/// Time that a read waits for a record to come.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Pause between two tries while the log does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// What another node answered that was asked for records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// The records from the offset on.
    Records(Vec<ForwardedRecord>),
    /// A whole state, because the records were no longer kept.
    State(Box<State>),
    /// Nothing.
    None,
}

impl PeerResponse {
    /// Takes what was answered into the replica.
    pub fn apply_to(self, replica: &Replica) {
        match self {
            PeerResponse::Records(passed) => drop(replica.apply_forwarded(&passed)),
            PeerResponse::State(state) => replica.install(*state),
            PeerResponse::None => {}
        }
    }
}

/// Whether the log answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Health {
    /// starting
    Starting,
    /// up
    Up,
    /// down
    Down,
}

/// Follows the log for as long as the process runs. `help` asks one other node.
pub async fn follow<F, H>(
    log: Arc<LogClient>,
    replica: Arc<Replica>,
    health: watch::Sender<Health>,
    help: F,
) where
    F: Fn(Offset) -> H,
    H: Future<Output = PeerResponse>,
{
    let mut started = false;
    loop {
        match step(&log, &replica, started).await {
            Ok(()) => {
                started = true;
                set(&health, Health::Up);
            }
            Err(_) => {
                set(&health, Health::Down);
                let next = { replica.state().next };
                help(next).await.apply_to(&replica);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn set(health: &watch::Sender<Health>, to: Health) {
    health.send_if_modified(|h| std::mem::replace(h, to) != to);
}

/// One read. The first one does not wait for records to come.
async fn step(log: &LogClient, replica: &Replica, started: bool) -> Result<()> {
    let next = { replica.state().next };
    let wait = if started { READ_WAIT } else { Duration::ZERO };
    let batch = (log.read)(next, wait).await?;
    if batch.end < next {
        // The log has fewer records than were read from it before: not the log we know.
        return Err(Error::new(Code::LogMalformed, "failed to read the log: it ends too early"));
    }
    if batch.start > next || !started {
        return bootstrap(log, replica).await;
    }
    apply(replica, &batch);
    Ok(())
}

fn apply(replica: &Replica, batch: &Batch) {
    for (offset, raw) in &batch.records {
        replica.apply(*offset, raw);
    }
}

/// Reads all that the log keeps, takes the newest whole snapshot, and applies what follows it.
///
/// # Errors
/// [`Code::LogTruncated`] when the log no longer keeps its first record and holds no whole
/// snapshot.
pub async fn bootstrap(log: &LogClient, replica: &Replica) -> Result<()> {
    let known = { replica.state().next };
    let mut batch = (log.read)(Offset(0), Duration::ZERO).await?;
    let start = batch.start;
    let mut joiner = SnapshotAssembler::default();
    let mut records = Vec::new();
    while let Some((last, _)) = batch.records.last() {
        let next = last.next();
        for (_, raw) in &batch.records {
            joiner.add(raw);
        }
        records.append(&mut batch.records);
        if next >= batch.end {
            break;
        }
        batch = (log.read)(next, Duration::ZERO).await?;
    }
    let snapshot = joiner.newest().filter(|s| s.next >= start);
    match snapshot {
        Some(state) => replica.install(state),
        None if start > known => {
            let context = format!("failed to load: the log begins at {start} and has no snapshot");
            return Err(Error::new(Code::LogTruncated, context));
        }
        None => {}
    }
    for (offset, raw) in &records {
        replica.apply(*offset, raw);
    }
    Ok(())
}
