//! JSON-RPC calls to the operators' addresses of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::http_client::HttpClientBuilder;
use serde::de::DeserializeOwned;

use crate::core::codes::Code;
use crate::node::peers::RPC_PATH;
use crate::util::error::{Error, Result};

/// Timeout of a call to one node.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Calls a method on each node in turn until one answers.
///
/// # Errors
/// The error that the node returned, with its code; [`Code::BadReply`] if its reply cannot be read;
/// [`Code::NodeUnreachable`] if no node answers; [`Code::BadSetting`] if `nodes` is empty.
pub async fn call<T, P>(nodes: &[SocketAddr], method: &str, params: P) -> Result<T>
where
    T: DeserializeOwned,
    P: ToRpcParams + Clone + Send,
{
    let mut last_error =
        Error::new(Code::BadSetting, "no node to call: --node or KELPWIND_NODE is missing");
    for addr in nodes {
        match call_one(*addr, method, params.clone()).await {
            Err(e) if e.code == Code::NodeUnreachable => last_error = e,
            result => return result,
        }
    }
    Err(last_error)
}

async fn call_one<T, P>(addr: SocketAddr, method: &str, params: P) -> Result<T>
where
    T: DeserializeOwned,
    P: ToRpcParams + Send,
{
    let context = format!("failed to call '{method}' at {addr}");
    let url = format!("http://{addr}{RPC_PATH}");
    let client = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT).build(url);
    let client = client.map_err(|e| Error::new(Code::BadSetting, context.clone()).caused_by(e))?;
    match client.request::<T, _>(method, params).await {
        Ok(value) => Ok(value),
        Err(RpcError::Call(e)) => {
            let code = u16::try_from(e.code()).ok().and_then(|n| Code::try_from(n).ok());
            let text = e.message().trim_start_matches("error: ").to_owned();
            Err(Error::new(code.unwrap_or(Code::BadReply), context).caused_by(text))
        }
        Err(RpcError::ParseError(e)) => Err(Error::new(Code::BadReply, context).caused_by(e)),
        Err(e) => Err(Error::new(Code::NodeUnreachable, context).caused_by(e)),
    }
}
