//! `kelpwind stand-in`.

use std::net::SocketAddr;
use std::time::Duration;

use kelpwind::ops::stand_in::{self, StandIn};
use kelpwind::util::error::Result;

use crate::cli::{Backend, StandIn as Flags, StandInCmd};

/// Default number of requests that a backend server runs at once.
const DEFAULT_SLOTS: u32 = 12;
/// Default maximum number of connections of a backend server.
const DEFAULT_CONNS: u32 = 130;
/// Default duration of a request, in milliseconds.
const DEFAULT_WORK_MS: u64 = 2;

pub(super) async fn run(flags: Flags) -> Result<()> {
    let (stand_in, listen) = match flags.subcommand {
        StandInCmd::Log(flags) => (StandIn::Log, flags.listen),
        StandInCmd::Proxy(flags) => (StandIn::Proxy, flags.listen),
        StandInCmd::Backend(flags) => (backend(&flags), flags.listen),
    };
    let ready = |addr: SocketAddr| println!("\"{addr}\"");
    stand_in::run(stand_in, listen, ready).await
}

fn backend(flags: &Backend) -> StandIn {
    stand_in::backend(
        flags.service.clone(),
        flags.slots.unwrap_or(DEFAULT_SLOTS),
        flags.conns.unwrap_or(DEFAULT_CONNS),
        Duration::from_millis(flags.work_ms.unwrap_or(DEFAULT_WORK_MS)),
        flags.fenced,
        Duration::from_millis(flags.warm_ms.unwrap_or(0)),
        Some(flags.node),
    )
}
