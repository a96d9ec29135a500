//! `kelpwind stand-in`: runs a stand-in for a part of the platform as a separate process, for
//! tests.

use std::net::SocketAddr;
use std::time::Duration;

use kelpwind_stand_ins::backend::{Backend, Options};
use kelpwind_stand_ins::log::LogService;
use kelpwind_stand_ins::proxy::Proxy;

use super::node::stop_signal;
use crate::core::codes::Code;
use crate::util::error::{Error, Result};

/// The stand-in to run.
#[derive(Clone, Debug)]
pub enum StandIn {
    /// The log service.
    Log,
    /// A backend server.
    Backend(Options),
    /// The proxy that injects faults.
    Proxy,
}

/// Runs a stand-in until SIGTERM or SIGINT. Calls `ready` with its address once it listens.
///
/// # Errors
/// [`Code::ListenFailed`] if the address cannot be bound.
pub async fn run(
    stand_in: StandIn,
    listen: SocketAddr,
    ready: impl FnOnce(SocketAddr),
) -> Result<()> {
    let started = match stand_in {
        StandIn::Log => LogService::default().start(listen).await,
        StandIn::Backend(options) => Backend::new(options).start(listen).await,
        StandIn::Proxy => Proxy::default().start(listen).await,
    };
    let addr = started.map_err(|e| {
        Error::new(Code::ListenFailed, format!("failed to listen on {listen}")).caused_by(e)
    })?;
    ready(addr);
    let mut stop = stop_signal()?;
    let _ = stop.wait_for(|s| *s).await;
    Ok(())
}

/// Returns the stand-in for a backend server. `service_time` is how long a request takes, `warmup`
/// how long the server takes to reach full capacity, and `node` the operators' address of the node
/// beside it.
pub fn backend(
    service: String,
    slots: u32,
    conns: u32,
    service_time: Duration,
    fenced: bool,
    warmup: Duration,
    node: Option<SocketAddr>,
) -> StandIn {
    StandIn::Backend(Options { service, slots, conns, service_time, fenced, warmup, node })
}
