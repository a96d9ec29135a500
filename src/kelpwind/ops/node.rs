//! `kelpwind node`: runs a node until a signal stops it.

use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::core::codes::Code;
use crate::node::settings::{RawSettings, Settings};
use crate::node::{NodeAddrs, start};
use crate::platform;
use crate::util::error::{Error, Result};

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully. Calls `ready` with its
/// addresses once it listens.
///
/// # Errors
/// [`Code::BadSetting`] with every invalid setting; [`Code::ListenFailed`].
pub async fn run(raw: RawSettings, ready: impl FnOnce(NodeAddrs)) -> Result<()> {
    let settings = Settings::try_from(raw)?;
    start::run(settings, stop_signal()?, ready).await
}

/// Runs a node with the settings file of its platform until SIGTERM.
///
/// # Errors
/// [`Code::BadSetting`] with every invalid setting of the file; [`Code::ListenFailed`].
pub fn run_on_platform(file: &Path) -> Result<()> {
    let (settings, platform) = platform::open(file)?;
    // One thread, because a host has only a fraction of one processor core.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| {
        Error::new(Code::Internal, "failed to start the async runtime").caused_by(e)
    })?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, crate::mesh::start::run(settings, platform))
}

/// Returns a channel whose value becomes true on SIGTERM or SIGINT.
///
/// # Errors
/// [`Code::Internal`] if a signal handler cannot be installed.
pub fn stop_signal() -> Result<watch::Receiver<bool>> {
    let failed =
        |e| Error::new(Code::Internal, "failed to install the signal handlers").caused_by(e);
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
