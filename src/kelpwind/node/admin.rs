//! The address for operators and for the backend server beside the node: calls in JSON-RPC,
//! `/metrics`, and announcements.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use jsonrpsee::server::{HttpBody, RpcModule};
use jsonrpsee::types::ErrorObjectOwned;
use kelpwind_wire::Announcement;
use serde::{Deserialize, Serialize};

use super::Node;
use super::peers::{RPC_PATH, Rpc, plain, rpc_error};
use crate::core::codes::Code;
use crate::core::config::Config;
use crate::core::config::change::Change;
use crate::core::config::read::ConfigErrors;
use crate::core::ids::Revision;
use crate::core::record::{Body, Record};
use crate::lease::clock;
use crate::util::error::{Error, Result, format_chain};

/// Longest time to wait for the fate of a published change.
const PUBLISH_TIME: Duration = Duration::from_secs(10);
/// Largest announcement, in bytes.
const ANNOUNCEMENT_MAX: usize = 4096;

/// A configuration to publish.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Revision it was made from.
    pub base: Revision,
    /// The whole configuration as TOML.
    pub text: String,
    /// Who publishes it.
    pub author: String,
    /// Whether dangerous changes may pass.
    pub dangerous: bool,
    /// Whether to say only what would change.
    pub dry: bool,
}

/// What became of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision now in force, or the current one after a dry run.
    pub revision: Revision,
    /// What changed, one object or field a line.
    pub lines: Vec<String>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    /// Its revision.
    pub revision: Revision,
    /// The configuration as TOML.
    pub text: String,
}

/// Answers a request on the operators' address.
pub async fn serve(node: Arc<Node>, rpc: Rpc, request: Request<Incoming>) -> Response<HttpBody> {
    match (request.method(), request.uri().path()) {
        (_, RPC_PATH) => rpc.call(request).await,
        (&Method::GET, "/metrics") => Response::new(HttpBody::from(node.metrics_text())),
        (&Method::GET, "/dump") => json(&node.dump()),
        (&Method::GET, "/status") => json(&node.status()),
        (&Method::POST, "/announce") => announce(&node, request).await,
        _ => plain(404, "no such page; there are /metrics, /dump, /status and /rpc\n".to_owned()),
    }
}

fn json<T: Serialize>(value: &T) -> Response<HttpBody> {
    Response::new(HttpBody::from(serde_json::to_string_pretty(value).unwrap_or_default()))
}

async fn announce(node: &Node, request: Request<Incoming>) -> Response<HttpBody> {
    let read = Limited::new(request.into_body(), ANNOUNCEMENT_MAX).collect().await;
    let Ok(raw) = read else {
        return plain(400, "failed to read the announcement\n".to_owned());
    };
    let said: Announcement = match serde_json::from_slice(&raw.to_bytes()) {
        Ok(said) => said,
        Err(e) => return plain(400, format!("failed to read the announcement: {e}\n")),
    };
    match node.announced(said) {
        Ok(()) => plain(200, String::new()),
        Err(e) => plain(400, format_chain(&e)),
    }
}

/// The methods on the operators' address.
pub fn register(
    module: &mut RpcModule<Arc<Node>>,
) -> std::result::Result<(), jsonrpsee::core::RegisterMethodError> {
    module.register_method("dump", |_, node, _| Ok::<_, ErrorObjectOwned>(node.dump()))?;
    module.register_method("status", |_, node, _| Ok::<_, ErrorObjectOwned>(node.status()))?;
    module.register_method("config", |_, node, _| Ok::<_, ErrorObjectOwned>(node.shown()))?;
    module.register_method("history", |_, node, _| {
        Ok::<_, ErrorObjectOwned>(node.replica.state().history.clone())
    })?;
    module.register_method("explain", |params, node, _| {
        let (service, key): (String, String) = params.parse()?;
        node.explain(&service, &key).map_err(|e| rpc_error(&e))
    })?;
    module.register_async_method("publish", |params, node, _| async move {
        let publish: Publish = params.one()?;
        node.publish(publish).await.map_err(|e| rpc_error(&e))
    })?;
    Ok(())
}

impl Node {
    fn metrics_text(&self) -> Vec<u8> {
        let now = clock::now();
        let ends = self.lease.lock().as_ref().and_then(|l| l.expires_at());
        let left = ends.map_or(0, |e| e.since(now).as_millis() as i64);
        self.metrics.lease.set(left);
        self.metrics.remembered.set(self.gate.dedup.bytes() as i64);
        self.metrics.text()
    }

    /// The configuration in force here.
    pub fn shown(&self) -> Shown {
        let state = self.replica.state();
        Shown { revision: state.revision, text: state.config.to_toml() }
    }

    /// Checks a configuration whole, appends what differs from the one in force, and waits for what
    /// becomes of it.
    ///
    /// # Errors
    /// [`Code::StaleBase`] with who published meanwhile; [`Code::Dangerous`]; the first code of a
    /// faulty configuration; [`Code::LogUnavailable`] when what became of it is not known.
    pub async fn publish(&self, publish: Publish) -> Result<Accepted> {
        let new = Config::try_from(publish.text.as_str()).map_err(|f| refuse(&f))?;
        let change = {
            let state = self.replica.state();
            if publish.base != state.revision {
                return Err(self.stale(&publish));
            }
            let change = Change::between(&state.config, &new);
            change.apply(&state.config).map_err(|f| refuse(&f))?;
            let dangers = change.dangers(&state.config, &new);
            if !dangers.is_empty() && !publish.dangerous {
                return Err(refuse(&ConfigErrors(dangers)));
            }
            if state.overlaps_retired(&new) {
                let context =
                    "failed to publish: a key range that covers these keys is still owned";
                return Err(Error::new(Code::Immutable, context));
            }
            let lines = change.describe(&state.config);
            if publish.dry || change.is_empty() {
                return Ok(Accepted { revision: state.revision, lines });
            }
            change
        };
        let lines = change.describe(&self.replica.state().config);
        let base = publish.base;
        let record = Record::new(&publish.author, Body::Config { base, change });
        let fate = self.append_record(&record, PUBLISH_TIME).await?;
        match fate.result {
            Ok(()) => Ok(Accepted { revision: Revision(fate.offset.next().0), lines }),
            Err(Code::StaleBase) => Err(self.stale(&publish)),
            Err(code) => Err(Error::new(code, "failed to publish: the log's readers refused it")),
        }
    }

    fn stale(&self, publish: &Publish) -> Error {
        let state = self.replica.state();
        let context = format!(
            "failed to publish on base {}: the current revision is {}",
            publish.base, state.revision
        );
        let error = Error::new(Code::StaleBase, context);
        let since = state.history.iter().filter(|p| p.revision > publish.base);
        let since: Vec<String> = since
            .map(|p| format!("revision {} by {}: {}", p.revision, p.author, p.lines.join(", ")))
            .collect();
        if since.is_empty() { error } else { error.caused_by(since.join("\n  ")) }
    }
}

fn refuse(faults: &ConfigErrors) -> Error {
    let code = faults.0.first().map_or(Code::BadValue, |f| f.code);
    Error::new(code, "failed to publish: nothing was changed").caused_by(faults.clone())
}
