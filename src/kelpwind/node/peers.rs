//! Communication between nodes over TCP: requests for the gate, and JSON-RPC calls that hand over
//! slices or fetch log records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::rpc_params;
use jsonrpsee::server::{
    HttpBody, RpcModule, Server, ServerHandle, StopHandle, TowerServiceBuilder,
};
use jsonrpsee::types::ErrorObjectOwned;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tower::Service;

use super::Node;
use super::handover::GrantedSlice;
use crate::core::call::{Answer, SliceRef};
use crate::core::codes::Code;
use crate::core::ids::Offset;
use crate::core::state::State;
use crate::gate::dedup::SliceOutcomes;
use crate::log::follow::PeerResponse;
use crate::net::pool::{Limits, Pool};
use crate::place::planner::Transfer;
use crate::route::wire;
use crate::util::error::{Error, Result, format_chain};

/// Path of JSON-RPC calls.
pub const RPC_PATH: &str = "/rpc";
/// Time limit for a call that hands over or releases slices; it covers requests in flight.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time until another node begins to answer with records or its state.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without a byte while such an answer arrives. The whole answer may take longer, as
/// long as the link needs.
const FETCH_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer to a JSON-RPC call, in bytes; the server's limit.
const RPC_BYTES_MAX: usize = 10 << 20;

/// JSON-RPC service of one of the node's servers.
#[derive(Clone)]
pub struct RpcService {
    builder: TowerServiceBuilder<tower::layer::util::Identity, tower::layer::util::Identity>,
    methods: RpcModule<Arc<Node>>,
    stop: StopHandle,
    /// Kept because the service stops when the last handle is dropped.
    _handle: ServerHandle,
}

/// A function that registers the methods of a service.
pub type Register =
    fn(&mut RpcModule<Arc<Node>>) -> std::result::Result<(), jsonrpsee::core::RegisterMethodError>;

impl RpcService {
    /// Builds a service with the methods that `register` adds.
    ///
    /// # Errors
    /// [`Code::Internal`] when two methods have the same name.
    pub fn new(node: Arc<Node>, register: Register) -> Result<RpcService> {
        let mut methods = RpcModule::new(node);
        let registered = register(&mut methods);
        registered.map_err(|e| {
            Error::new(Code::Internal, "failed to register the JSON-RPC methods").caused_by(e)
        })?;
        let (stop, handle) = jsonrpsee::server::stop_channel();
        let builder = Server::builder().to_service_builder();
        Ok(RpcService { builder, methods, stop, _handle: handle })
    }

    /// Handles one HTTP request that carries a call.
    pub async fn call(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let mut service = self.builder.clone().build(self.methods.clone(), self.stop.clone());
        match service.call(request).await {
            Ok(response) => response,
            Err(e) => plain_response(500, e.to_string()),
        }
    }
}

/// A response in plain text.
pub fn plain_response(status: u16, text: String) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::from(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Converts an answer of the data path to a response of the servers.
pub fn into_response(answer: Answer) -> Response<HttpBody> {
    wire::to_response(answer).map(|body| HttpBody::new(Full::new(body)))
}

/// Converts an error to a JSON-RPC error: the code's number, and the message with its causes.
pub fn rpc_error(error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(error.code.number().into(), format_chain(error), None::<()>)
}

/// Handles a request on the address for other nodes.
pub async fn serve(
    node: Arc<Node>,
    rpc: RpcService,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    if request.uri().path() == RPC_PATH {
        return rpc.call(request).await;
    }
    let answer = match wire::read(request).await {
        Ok(call) => node.gate.handle(call).await,
        Err(code) => Answer::refusal(code),
    };
    node.metrics.count(&node.metrics.gate_requests, answer.code);
    into_response(answer)
}

/// Registers the JSON-RPC methods on the address for other nodes.
pub fn register(
    module: &mut RpcModule<Arc<Node>>,
) -> std::result::Result<(), jsonrpsee::core::RegisterMethodError> {
    module.register_async_method("hand_over", |params, node, _| async move {
        let transfers: Vec<Transfer> = params.one()?;
        node.hand_over(transfers).await.map_err(|e| rpc_error(&e))
    })?;
    module.register_async_method("let_go", |params, node, _| async move {
        let granted: Vec<GrantedSlice> = params.one()?;
        Ok::<_, ErrorObjectOwned>(node.release_slices(granted).await)
    })?;
    module.register_method("suffix", |params, node, _| {
        let from: Offset = params.one()?;
        Ok::<_, ErrorObjectOwned>(node.replica.records_from(from))
    })?;
    module.register_method("state", |_, node, _| {
        Ok::<State, ErrorObjectOwned>(node.replica.state().clone())
    })?;
    Ok(())
}

fn client(addr: SocketAddr, timeout: Duration) -> Option<HttpClient> {
    let url = format!("http://{addr}{RPC_PATH}");
    HttpClientBuilder::default().request_timeout(timeout).build(url).ok()
}

/// Asks an owner to hand over slices. A failure is ignored: the next planning round asks again.
pub async fn request_handover(addr: SocketAddr, transfers: Vec<Transfer>) {
    let Some(client) = client(addr, CALL_TIMEOUT) else {
        return;
    };
    let _ = client.request::<usize, _>("hand_over", rpc_params![transfers]).await;
}

/// Asks a former owner to release slices. Returns the outcomes it remembers for each released
/// slice, or `None` if the call failed.
pub async fn request_release(
    addr: SocketAddr,
    granted: &[GrantedSlice],
) -> Option<Vec<(SliceRef, SliceOutcomes)>> {
    let client = client(addr, CALL_TIMEOUT)?;
    client.request("let_go", rpc_params![granted]).await.ok()
}

/// Fetches the records from `next` on from another node, or its whole state if this node has none
/// yet, or if the other one no longer keeps the records or cannot send them in one answer.
pub async fn fetch_records(pool: &Pool, addr: SocketAddr, next: Offset) -> PeerResponse {
    if next > Offset(0) {
        match fetch(pool, addr, "suffix", json!([next])).await {
            Some(Reply { result: Some(records), .. }) => return PeerResponse::Records(records),
            // The records are no longer kept, or they are larger than an answer may be.
            Some(Reply { result: None, .. }) => {}
            None => return PeerResponse::None,
        }
    }
    let state = fetch(pool, addr, "state", json!([])).await.and_then(|reply| reply.result);
    state.map_or(PeerResponse::None, |state| PeerResponse::State(Box::new(state)))
}

/// A JSON-RPC answer.
#[derive(Deserialize)]
struct Reply<T> {
    /// The result; a call that succeeds may have none.
    result: Option<T>,
    /// Why the call failed, for example because its result is too large.
    error: Option<Value>,
}

/// Calls a JSON-RPC method whose answer may be large. `None` if no answer can be read.
async fn fetch<T: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    method: &str,
    params: Value,
) -> Option<Reply<T>> {
    let call = json!({"jsonrpc": "2.0", "id": 0, "method": method, "params": params});
    let request = Request::post(RPC_PATH).header(CONTENT_TYPE, "application/json");
    let request = request.body(Bytes::from(call.to_string())).ok()?;
    let limits = Limits {
        deadline: Instant::now() + FETCH_TIMEOUT,
        stall_timeout: Some(FETCH_STALL_TIMEOUT),
        body_bytes: RPC_BYTES_MAX,
    };
    let answer = pool.call(addr, request, limits).await.map_err(|e| e.to_string());
    let reply = answer.and_then(|answer| {
        serde_json::from_slice::<Reply<T>>(answer.body()).map_err(|e| e.to_string())
    });
    let why = match &reply {
        Ok(Reply { error: None, .. }) => return reply.ok(),
        Ok(Reply { error: Some(error), .. }) => error.to_string(),
        Err(why) => why.clone(),
    };
    let addr = addr.to_string();
    spdlog::debug!("failed to fetch from another node", kv: { addr = addr.as_str(), method, why = why.as_str() });
    reply.ok()
}
