//! `kelpwind node`: runs a node until it is told to stop.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::core::codes::Code;
use crate::node::settings::{RawSettings, Settings};
use crate::node::{Addrs, start};
use crate::util::error::{Error, Result};

/// Runs a node until SIGTERM or SIGINT, then stops it as planned. `ready` is told its addresses.
///
/// # Errors
/// [`Code::BadSetting`] with every fault of the settings; [`Code::PortInUse`].
pub async fn run(raw: RawSettings, ready: impl FnOnce(Addrs)) -> Result<()> {
    let settings = Settings::try_from(raw)?;
    start::run(settings, stop_signal()?, ready).await
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
