//! Calls to a node's operators' address.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::http_client::HttpClientBuilder;
use serde::de::DeserializeOwned;

use crate::core::codes::Code;
use crate::node::peers::RPC_PATH;
use crate::util::error::{Error, Result};

/// Longest time of a call.
const CALL_TIME: Duration = Duration::from_secs(15);

/// Calls a method of the first node that answers.
///
/// # Errors
/// The node's own error with its code; [`Code::NodeUnreachable`] when none answers.
pub async fn call<T, P>(nodes: &[SocketAddr], method: &str, params: P) -> Result<T>
where
    T: DeserializeOwned,
    P: ToRpcParams + Clone + Send,
{
    let mut last =
        Error::new(Code::BadSetting, "failed to call: --node or KELPWIND_NODE is missing");
    for addr in nodes {
        match call_one(*addr, method, params.clone()).await {
            Err(e) if e.code == Code::NodeUnreachable => last = e,
            answered => return answered,
        }
    }
    Err(last)
}

async fn call_one<T, P>(addr: SocketAddr, method: &str, params: P) -> Result<T>
where
    T: DeserializeOwned,
    P: ToRpcParams + Send,
{
    let context = format!("failed to call '{method}' at {addr}");
    let url = format!("http://{addr}{RPC_PATH}");
    let client = HttpClientBuilder::default().request_timeout(CALL_TIME).build(url);
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
