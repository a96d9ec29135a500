//! `kelpwind node`: runs a node until it is told to stop.

use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::core::codes::Code;
use crate::node::settings::{RawSettings, Settings};
use crate::node::{NodeAddrs, start};
use crate::platform;
use crate::util::error::{Error, Result};

/// Runs a node until SIGTERM or SIGINT, then stops it as planned. `ready` is told its addresses.
///
/// # Errors
/// [`Code::BadSetting`] with every fault of the settings; [`Code::ListenFailed`].
pub async fn run(raw: RawSettings, ready: impl FnOnce(NodeAddrs)) -> Result<()> {
    let settings = Settings::try_from(raw)?;
    start::run(settings, stop_signal()?, ready).await
}

/// Runs a node on the platform whose settings file is given, until SIGTERM.
///
/// # Errors
/// [`Code::BadSetting`] with every fault of the file; [`Code::ListenFailed`].
pub fn run_on_platform(file: &Path) -> Result<()> {
    let (place, platform) = platform::open(file)?;
    // One thread: the host's share of a processor is a fraction of one core.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime =
        runtime.map_err(|e| Error::new(Code::Internal, "failed to start").caused_by(e))?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, crate::mesh::start::run(place, platform))
}

/// Turns true on SIGTERM or SIGINT.
pub fn stop_signal() -> Result<watch::Receiver<bool>> {
    let failed = |e| Error::new(Code::Internal, "failed to wait for signals").caused_by(e);
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let (sender, stop) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        sender.send_replace(true);
    });
    Ok(stop)
}
