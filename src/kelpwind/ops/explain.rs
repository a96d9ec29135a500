//! `kelpwind explain`: the way of one key, and why.

use std::net::SocketAddr;

use jsonrpsee::rpc_params;

use super::client::call;
use super::{Format, print};
use crate::node::view::Explanation;
use crate::util::error::Result;

/// The way of `key` of `service`.
pub async fn explain(
    nodes: &[SocketAddr],
    service: &str,
    key: &str,
    format: Format,
) -> Result<String> {
    let found: Explanation = call(nodes, "explain", rpc_params![service, key]).await?;
    Ok(print(format, &found, |e| e.lines.join("\n") + "\n"))
}
