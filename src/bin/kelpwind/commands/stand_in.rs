//! `kelpwind stand-in`.

use std::net::SocketAddr;
use std::time::Duration;

use kelpwind::ops::stand_in::{self, StandIn};
use kelpwind::util::error::Result;

use crate::cli::{Backend, StandIn as Flags, StandInCmd};

/// Slots of a backend server by default.
const SLOTS: u32 = 12;
/// Connections of a backend server by default.
const CONNS: u32 = 130;
/// Time that a request takes by default, in milliseconds.
const WORK_MS: u64 = 2;

pub(super) async fn run(flags: Flags) -> Result<()> {
    let (what, listen) = match flags.subcommand {
        StandInCmd::Log(flags) => (StandIn::Log, flags.listen),
        StandInCmd::Proxy(flags) => (StandIn::Proxy, flags.listen),
        StandInCmd::Backend(flags) => (backend(&flags), flags.listen),
    };
    let ready = |addr: SocketAddr| println!("\"{addr}\"");
    stand_in::run(what, listen, ready).await
}

fn backend(flags: &Backend) -> StandIn {
    stand_in::backend(
        flags.service.clone(),
        flags.slots.unwrap_or(SLOTS),
        flags.conns.unwrap_or(CONNS),
        Duration::from_millis(flags.work_ms.unwrap_or(WORK_MS)),
        flags.fenced,
        Duration::from_millis(flags.warm_ms.unwrap_or(0)),
        Some(flags.node),
    )
}
