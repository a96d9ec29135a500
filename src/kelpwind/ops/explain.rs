//! `kelpwind explain`: how a node routes requests for one key, and why.

use std::net::SocketAddr;

use jsonrpsee::rpc_params;

use super::client::call;
use super::{Format, format_output};
use crate::node::view::Explanation;
use crate::util::error::Result;

/// Explains how the node called routes requests for `key` of `service`.
pub async fn explain(
    nodes: &[SocketAddr],
    service: &str,
    key: &str,
    format: Format,
) -> Result<String> {
    let explained: Explanation = call(nodes, "explain", rpc_params![service, key]).await?;
    Ok(format_output(format, &explained, |e| e.lines.join("\n") + "\n"))
}
