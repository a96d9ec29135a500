//! Keeps the ledger up to date: reads the log, and other nodes while the log does not answer.
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

use super::client::{Batch, Log, Result};
use super::ledger::{Ledger, Passed};
use super::snapshot::Joiner;
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
pub enum Help {
    /// The records from the offset on.
    Suffix(Vec<Passed>),
    /// A whole state, because the records were no longer kept.
    Whole(Box<State>),
    /// Nothing.
    None,
}

impl Help {
    /// Takes what was answered into the ledger.
    pub fn give_to(self, ledger: &Ledger) {
        match self {
            Help::Suffix(passed) => drop(ledger.take_suffix(&passed)),
            Help::Whole(state) => ledger.install(*state),
            Help::None => {}
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
    log: Arc<Log>,
    ledger: Arc<Ledger>,
    health: watch::Sender<Health>,
    help: F,
) where
    F: Fn(Offset) -> H,
    H: Future<Output = Help>,
{
    let mut started = false;
    loop {
        match step(&log, &ledger, started).await {
            Ok(()) => {
                started = true;
                set(&health, Health::Up);
            }
            Err(_) => {
                set(&health, Health::Down);
                let next = { ledger.state().next };
                help(next).await.give_to(&ledger);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn set(health: &watch::Sender<Health>, to: Health) {
    health.send_if_modified(|h| std::mem::replace(h, to) != to);
}

/// One read. The first one does not wait for records to come.
async fn step(log: &Log, ledger: &Ledger, started: bool) -> Result<()> {
    let next = { ledger.state().next };
    let wait = if started { READ_WAIT } else { Duration::ZERO };
    let batch = (log.read)(next, wait).await?;
    if batch.end < next {
        // The log has fewer records than were read from it before: not the log we know.
        return Err(Error::new(Code::LogMalformed, "failed to read the log: it ends too early"));
    }
    if batch.start > next || !started {
        return bootstrap(log, ledger).await;
    }
    apply(ledger, &batch);
    Ok(())
}

fn apply(ledger: &Ledger, batch: &Batch) {
    for (offset, raw) in &batch.records {
        ledger.apply(*offset, raw);
    }
}

/// Reads all that the log keeps, takes the newest whole snapshot, and applies what follows it.
///
/// # Errors
/// [`Code::LogTruncated`] when the log no longer keeps its first record and holds no whole
/// snapshot.
pub async fn bootstrap(log: &Log, ledger: &Ledger) -> Result<()> {
    let known = { ledger.state().next };
    let mut batch = (log.read)(Offset(0), Duration::ZERO).await?;
    let start = batch.start;
    let mut joiner = Joiner::default();
    let mut records = Vec::new();
    while let Some((last, _)) = batch.records.last() {
        let next = last.next();
        for (_, raw) in &batch.records {
            joiner.take(raw);
        }
        records.append(&mut batch.records);
        if next >= batch.end {
            break;
        }
        batch = (log.read)(next, Duration::ZERO).await?;
    }
    let snapshot = joiner.newest().filter(|s| s.next >= start);
    match snapshot {
        Some(state) => ledger.install(state),
        None if start > known => {
            let context = format!("failed to load: the log begins at {start} and has no snapshot");
            return Err(Error::new(Code::LogTruncated, context));
        }
        None => {}
    }
    for (offset, raw) in &records {
        ledger.apply(*offset, raw);
    }
    Ok(())
}
