//! Finds out when the process of the backend server beside this node ends, and which requests it was
//! at work on.
//!
//! The server's process has ended if connections to it were lost and nothing listens at its address,
//! or another instance reports later. A server that has said that it leaves ends as planned, so
//! that is no sign that a request has ended it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::{AUTHORIZATION, COOKIE, HOST, HeaderName};
use tokio::time::sleep;

use super::node::Node;
use super::platform_api::{Request, SendOutcome};
use crate::core::codes::Code;
use crate::core::digest::{RequestDigest, RequestParts};
use crate::gate::server_runs::{RunEnd, RunId, Suspect};
use crate::table::member::Instance;

/// Pauses before each check whether something listens at the server's address. A process that ends may
/// close its listener some time after its connections.
const CHECK_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(20), Duration::from_millis(150)];
/// Most suspects that one log line lists.
const LISTED_MAX: usize = 24;

/// What is known of a request at the server.
pub(crate) struct RunningRequest {
    id: String,
    content: RefCell<Content>,
}

/// What a request asks for.
enum Content {
    /// The request itself, while it is in use anyway.
    Whole(Rc<Request>),
    /// Its digest, which does not keep its body in memory.
    Digest(RequestDigest),
}

impl RunningRequest {
    /// The digest, computed only if it is needed: bodies may be large.
    fn digest(&self) -> RequestDigest {
        match &*self.content.borrow() {
            Content::Whole(request) => RequestDigest::from(&request_parts(request)),
            Content::Digest(digest) => *digest,
        }
    }

    /// Keeps only the digest of a request that has ended but may still have ended the server.
    fn release_body(&self) {
        let digest = self.digest();
        self.content.replace(Content::Digest(digest));
    }
}

/// A request at the server. Dropping it records that it was given up.
pub(super) struct ServerRun<'a> {
    node: &'a Rc<Node>,
    id: RunId,
    /// `None` once it has finished.
    request: Option<Rc<RunningRequest>>,
    instance: &'a Instance,
}

impl<'a> ServerRun<'a> {
    pub fn begin(node: &'a Rc<Node>, instance: &'a Instance, request: &Rc<Request>) -> Self {
        let fingerprint = request_parts(request).fingerprint(node.fingerprint_seed);
        let content = RefCell::new(Content::Whole(request.clone()));
        let request = Rc::new(RunningRequest { id: request.id.clone(), content });
        let id = node.server_runs.borrow_mut().begin(instance, fingerprint, request.clone());
        ServerRun { node, id, request: Some(request), instance }
    }

    /// Records how the request ended.
    pub fn finish(mut self, result: &SendOutcome) {
        let end = match result {
            SendOutcome::Ran(answer, _) if answer.status < 500 => RunEnd::Answered,
            SendOutcome::Unknown(Code::Expired, None) => RunEnd::GivenUp,
            SendOutcome::Unknown(_, None) => RunEnd::Lost,
            SendOutcome::Unknown(_, Some(_))
            | SendOutcome::Ran(..)
            | SendOutcome::Rejected(..)
            | SendOutcome::NotSent(_) => RunEnd::Other,
        };
        let request = self.request.take();
        if let (RunEnd::Lost | RunEnd::GivenUp, Some(request)) = (end, request) {
            request.release_body();
        }
        self.node.server_runs.borrow_mut().finish(self.id, end, Instant::now());
        if matches!(result, SendOutcome::Unknown(_, None) | SendOutcome::NotSent(_)) {
            self.node.check_server_exit(self.instance);
        }
    }
}

impl Drop for ServerRun<'_> {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else { return };
        request.release_body();
        self.node.server_runs.borrow_mut().finish(self.id, RunEnd::GivenUp, Instant::now());
    }
}

/// What a request asks for. The key is left out: it follows from the rest.
pub(super) fn request_parts(request: &Request) -> RequestParts<'_> {
    let values = |name: HeaderName| {
        let named =
            request.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_str()));
        named.map(|(_, value)| value.as_ref())
    };
    RequestParts {
        method: &request.method,
        host: values(HOST).next().unwrap_or_default(),
        target: &request.target,
        caller: values(COOKIE).chain(values(AUTHORIZATION)).collect(),
        body: &request.body,
    }
}

impl Node {
    /// Checks whether the process of an instance has ended, after a connection to it was lost.
    fn check_server_exit(self: &Rc<Self>, instance: &Instance) {
        let lost = self.server_runs.borrow().has_losses(Instant::now());
        if !lost || self.checking_exit.replace(true) {
            return;
        }
        let (node, instance) = (self.clone(), instance.clone());
        tokio::task::spawn_local(async move {
            for pause in CHECK_PAUSES {
                sleep(pause).await;
                if !(node.platform.backend.is_listening)().await {
                    node.record_server_exit(&instance);
                    break;
                }
            }
            node.checking_exit.set(false);
        });
    }

    /// Records that the process of an instance of the backend server has ended.
    pub fn record_server_exit(&self, instance: &Instance) {
        if self.statements.borrow().leaving_since(instance).is_some() {
            return;
        }
        let runs = self.server_runs.borrow_mut().take_suspects(instance, Instant::now());
        if runs.is_empty() {
            return;
        }
        self.metrics.server_exits.inc();
        let suspects: BTreeMap<RequestDigest, Suspect<Rc<RunningRequest>>> =
            runs.into_iter().map(|run| (run.request.digest(), run)).collect();
        let listed = suspects.iter().take(LISTED_MAX).map(|(digest, run)| {
            let answered = if run.answered { " answered before" } else { "" };
            format!("{} {digest}{answered}", run.request.id)
        });
        let listed: Vec<_> = listed.collect();
        let (id, listed, count) = (instance.id.as_str(), listed.join(", "), suspects.len());
        spdlog::warn!("the backend server's process has ended while it was at work", kv: {
            id, born = instance.started_ms, requests = count, suspects = listed.as_str()
        });
        self.add_suspects(
            instance,
            suspects.into_iter().map(|(digest, run)| (digest, run.answered)),
        );
    }
}
