//! What nodes ask of one another over TCP: requests for the gate, and calls in JSON-RPC (hand over
//! slices, pass on records of the log).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
use tower::Service;

use super::Node;
use super::handover::Wanted;
use crate::core::call::{Answer, SliceRef};
use crate::core::codes::Code;
use crate::core::ids::Offset;
use crate::core::state::State;
use crate::gate::dedup::SliceOutcomes;
use crate::log::follow::PeerResponse;
use crate::log::replica::ForwardedRecord;
use crate::place::planner::Transfer;
use crate::route::wire;
use crate::util::error::{Error, Result, format_chain};

/// Path of calls in JSON-RPC.
pub const RPC_PATH: &str = "/rpc";
/// Longest time of a call between nodes.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Longest time to ask one other node for records.
const HELP_TIME: Duration = Duration::from_millis(500);

/// The JSON-RPC part of a listener.
#[derive(Clone)]
pub struct Rpc {
    builder: TowerServiceBuilder<tower::layer::util::Identity, tower::layer::util::Identity>,
    methods: RpcModule<Arc<Node>>,
    stop: StopHandle,
    /// The service stops when the last of these is gone.
    _handle: ServerHandle,
}

/// Adds methods to a listener's.
pub type Register =
    fn(&mut RpcModule<Arc<Node>>) -> std::result::Result<(), jsonrpsee::core::RegisterMethodError>;

impl Rpc {
    /// The methods that `register` names, as a service.
    pub fn new(node: Arc<Node>, register: Register) -> Result<Rpc> {
        let mut methods = RpcModule::new(node);
        let registered = register(&mut methods);
        registered
            .map_err(|e| Error::new(Code::Internal, "failed to register calls").caused_by(e))?;
        let (stop, handle) = jsonrpsee::server::stop_channel();
        let builder = Server::builder().to_service_builder();
        Ok(Rpc { builder, methods, stop, _handle: handle })
    }

    /// Answers one call.
    pub async fn call(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let mut service = self.builder.clone().build(self.methods.clone(), self.stop.clone());
        match service.call(request).await {
            Ok(response) => response,
            Err(e) => plain(500, e.to_string()),
        }
    }
}

/// A short answer in plain text.
pub fn plain(status: u16, text: String) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::from(text));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// An answer of the data path as the body type of the listeners.
pub fn reply(answer: Answer) -> Response<HttpBody> {
    wire::to_response(answer).map(|body| HttpBody::new(Full::new(body)))
}

/// An error as JSON-RPC carries it: the code's number, the message with its causes.
pub fn rpc_error(error: &Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(error.code.number().into(), format_chain(error), None::<()>)
}

/// Answers a request on the address for other nodes.
pub async fn serve(node: Arc<Node>, rpc: Rpc, request: Request<Incoming>) -> Response<HttpBody> {
    if request.uri().path() == RPC_PATH {
        return rpc.call(request).await;
    }
    let answer = match wire::read(request).await {
        Ok(call) => node.gate.handle(call).await,
        Err(code) => Answer::refusal(code),
    };
    node.metrics.count(&node.metrics.gate, answer.code);
    reply(answer)
}

/// The methods on the address for other nodes.
pub fn register(
    module: &mut RpcModule<Arc<Node>>,
) -> std::result::Result<(), jsonrpsee::core::RegisterMethodError> {
    module.register_async_method("hand_over", |params, node, _| async move {
        let transfers: Vec<Transfer> = params.one()?;
        node.hand_over(transfers).await.map_err(|e| rpc_error(&e))
    })?;
    module.register_async_method("let_go", |params, node, _| async move {
        let wanted: Vec<Wanted> = params.one()?;
        Ok::<_, ErrorObjectOwned>(node.let_go(wanted).await)
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

fn client(addr: SocketAddr, limit: Duration) -> Option<HttpClient> {
    let url = format!("http://{addr}{RPC_PATH}");
    HttpClientBuilder::default().request_timeout(limit).build(url).ok()
}

/// Asks an owner to hand slices over. If it does not, the next round of planning asks again.
pub async fn ask_hand_over(addr: SocketAddr, transfers: Vec<Transfer>) {
    let Some(client) = client(addr, CALL_TIME) else {
        return;
    };
    let _ = client.request::<usize, _>("hand_over", rpc_params![transfers]).await;
}

/// Asks a former owner to let slices go; what it remembers for each that it let go.
pub async fn ask_let_go(
    addr: SocketAddr,
    wanted: &[Wanted],
) -> Option<Vec<(SliceRef, SliceOutcomes)>> {
    let client = client(addr, CALL_TIME)?;
    client.request("let_go", rpc_params![wanted]).await.ok()
}

/// Asks a node for the records from `next` on, or for its whole state.
pub async fn ask_for_records(addr: SocketAddr, next: Offset) -> PeerResponse {
    let Some(client) = client(addr, HELP_TIME) else {
        return PeerResponse::None;
    };
    let suffix: std::result::Result<Option<Vec<ForwardedRecord>>, _> =
        client.request("suffix", rpc_params![next]).await;
    match suffix {
        Ok(Some(passed)) if next > Offset(0) => PeerResponse::Records(passed),
        Ok(_) => match client.request::<State, _>("state", rpc_params![]).await {
            Ok(state) => PeerResponse::State(Box::new(state)),
            Err(_) => PeerResponse::None,
        },
        Err(_) => PeerResponse::None,
    }
}
