//! The server for operators and for the backend server beside the node: JSON-RPC methods,
//! `/metrics`, `/dump`, `/status`, and announcements of the backend server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use jsonrpsee::server::{HttpBody, RpcModule};
use jsonrpsee::types::ErrorObjectOwned;
use kelpwind_wire::Announcement;
use serde::{Deserialize, Serialize};

use super::Node;
use super::peers::{RPC_PATH, RpcService, plain_response, rpc_error};
use crate::core::codes::Code;
use crate::core::config::Config;
use crate::core::config::change::Change;
use crate::core::config::read::ConfigErrors;
use crate::core::ids::Revision;
use crate::core::record::{Body, Record};
use crate::lease::clock;
use crate::util::error::{Error, Result, format_chain};

/// Time limit for learning whether a published change was applied.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for the body of an announcement.
const ANNOUNCEMENT_BYTES_MAX: usize = 4096;

/// Parameter of the method `publish`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishRequest {
    /// Revision that the configuration was derived from; it must still be the current one.
    pub base: Revision,
    /// The whole configuration as TOML.
    pub text: String,
    /// Who publishes it.
    pub author: String,
    /// Whether changes that count as dangerous are accepted.
    #[serde(rename = "dangerous")]
    pub allow_dangerous: bool,
    /// Whether to only report what would change.
    #[serde(rename = "dry")]
    pub dry_run: bool,
}

/// Result of the method `publish`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishResult {
    /// The new revision, or the current one if nothing was appended.
    pub revision: Revision,
    /// The changes, one line for each object or field.
    pub lines: Vec<String>,
}

/// Result of the method `config`: the configuration in force at the node asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentConfig {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The configuration as TOML.
    pub text: String,
}

/// Handles a request on the operators' address.
pub async fn serve(
    node: Arc<Node>,
    rpc: RpcService,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    match (request.method(), request.uri().path()) {
        (_, RPC_PATH) => rpc.call(request).await,
        (&Method::GET, "/metrics") => Response::new(HttpBody::from(node.metrics_text())),
        (&Method::GET, "/dump") => json(&node.dump()),
        (&Method::GET, "/status") => json(&node.status()),
        (&Method::POST, "/announce") => announce(&node, request).await,
        _ => plain_response(
            404,
            "not found: the paths are /metrics, /dump, /status, /rpc and /announce (POST)\n"
                .to_owned(),
        ),
    }
}

fn json<T: Serialize>(value: &T) -> Response<HttpBody> {
    Response::new(HttpBody::from(serde_json::to_string_pretty(value).unwrap_or_default()))
}

async fn announce(node: &Node, request: Request<Incoming>) -> Response<HttpBody> {
    let read = Limited::new(request.into_body(), ANNOUNCEMENT_BYTES_MAX).collect().await;
    let Ok(raw) = read else {
        let context = "failed to read the announcement: the body is incomplete or exceeds";
        return plain_response(400, format!("{context} {ANNOUNCEMENT_BYTES_MAX} bytes\n"));
    };
    let announcement: Announcement = match serde_json::from_slice(&raw.to_bytes()) {
        Ok(announcement) => announcement,
        Err(e) => return plain_response(400, format!("failed to parse the announcement: {e}\n")),
    };
    match node.handle_announcement(announcement) {
        Ok(()) => plain_response(200, String::new()),
        Err(e) => plain_response(400, format_chain(&e)),
    }
}

/// Registers the JSON-RPC methods on the operators' address.
pub fn register(
    module: &mut RpcModule<Arc<Node>>,
) -> std::result::Result<(), jsonrpsee::core::RegisterMethodError> {
    module.register_method("dump", |_, node, _| Ok::<_, ErrorObjectOwned>(node.dump()))?;
    module.register_method("status", |_, node, _| Ok::<_, ErrorObjectOwned>(node.status()))?;
    module
        .register_method("config", |_, node, _| Ok::<_, ErrorObjectOwned>(node.current_config()))?;
    module.register_method("history", |_, node, _| {
        Ok::<_, ErrorObjectOwned>(node.replica.state().history.clone())
    })?;
    module.register_async_method("explain", |params, node, _| async move {
        let (service, key): (String, String) = params.parse()?;
        node.explain(&service, &key).await.map_err(|e| rpc_error(&e))
    })?;
    module.register_async_method("publish", |params, node, _| async move {
        let publish: PublishRequest = params.one()?;
        node.publish(publish).await.map_err(|e| rpc_error(&e))
    })?;
    Ok(())
}

impl Node {
    /// The metrics in the text format of Prometheus; gauges that change with time are set first.
    fn metrics_text(&self) -> Vec<u8> {
        let now = clock::now();
        let expires_at = self.lease.lock().as_ref().and_then(|l| l.expires_at());
        let remaining = expires_at.map_or(0, |e| e.since(now).as_millis() as i64);
        self.metrics.lease_remaining_ms.set(remaining);
        self.metrics.dedup_bytes.set(self.gate.dedup.bytes() as i64);
        self.metrics.text()
    }

    /// The configuration in force at this node.
    pub fn current_config(&self) -> CurrentConfig {
        let state = self.replica.state();
        CurrentConfig { revision: state.revision, text: state.config.to_toml() }
    }

    /// Validates a configuration, appends its difference to the one in force, and waits until this
    /// node has read the record and applied or rejected it.
    ///
    /// # Errors
    /// [`Code::StaleBase`] with the revisions published since the base and their authors;
    /// [`Code::StaleConfig`] when this node may lag behind the base, or behind the release of a key
    /// range; [`Code::Dangerous`]; the first code of an invalid configuration; [`Code::Immutable`]
    /// when a key range overlaps one that is being dropped and still has owners;
    /// [`Code::LogUnavailable`] when the outcome is not known, in which case the change may still
    /// be applied.
    pub async fn publish(&self, publish: PublishRequest) -> Result<PublishResult> {
        let arrived = Instant::now();
        let new = Config::try_from(publish.text.as_str()).map_err(|e| rejection(&e))?;
        let may_lag = {
            let state = self.replica.state();
            publish.base > state.revision
                || publish.base == state.revision && state.overlaps_retired(&new)
        };
        if may_lag && !self.replica.confirm(arrived).await {
            let context = format!(
                "failed to publish on base {}: revision {} is the newest that this node has read",
                publish.base,
                self.replica.state().revision
            );
            return Err(Error::new(Code::StaleConfig, context));
        }
        let change = {
            let state = self.replica.state();
            if publish.base != state.revision {
                return Err(self.stale_base_error(&publish));
            }
            let change = Change::between(&state.config, &new);
            change.apply(&state.config).map_err(|e| rejection(&e))?;
            let dangers = change.dangers(&state.config, &new);
            if !dangers.is_empty() && !publish.allow_dangerous {
                return Err(rejection(&ConfigErrors(dangers)));
            }
            if state.overlaps_retired(&new) {
                let context = "failed to publish: a key range overlaps one that is being dropped \
                               and still has owners";
                return Err(Error::new(Code::Immutable, context));
            }
            let lines = change.describe(&state.config);
            if publish.dry_run || change.is_empty() {
                return Ok(PublishResult { revision: state.revision, lines });
            }
            change
        };
        let lines = change.describe(&self.replica.state().config);
        let base = publish.base;
        let record = Record::new(&publish.author, Body::Config { base, change });
        let outcome = self.append_record(&record, PUBLISH_TIMEOUT).await?;
        match outcome.result {
            Ok(()) => Ok(PublishResult { revision: Revision(outcome.offset.next().0), lines }),
            Err(Code::StaleBase) => Err(self.stale_base_error(&publish)),
            Err(code) => Err(Error::new(
                code,
                "failed to publish: the record was appended to the log, but rejected when applied",
            )),
        }
    }

    /// The error for an outdated base, with what was published since.
    fn stale_base_error(&self, publish: &PublishRequest) -> Error {
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

fn rejection(errors: &ConfigErrors) -> Error {
    let code = errors.0.first().map_or(Code::BadValue, |e| e.code);
    Error::new(code, "failed to publish: the configuration was rejected and nothing was changed")
        .caused_by(errors.clone())
}
