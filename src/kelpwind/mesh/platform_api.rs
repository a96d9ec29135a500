//! What a node needs of the platform it runs on, in the project's own words.
//!
//! A platform is a plain struct of functions, filled by the adapter that speaks the platform's
//! protocols and by the stand-ins of the tests. The functions only translate: they decide nothing,
//! keep no state beyond connections, and have no timers but the timeout of a call.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::core::codes::Code;
use crate::core::ids::{Count, DomainName, Offset, ServiceName, Token};
use crate::core::routes::Routes;
use crate::lease::clock::Moment;
use crate::table::keys::Span;
use crate::table::member::Instance;
use crate::table::{Record, WriteBatch};

/// A future of one thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
/// The future of a call to the store.
pub type StoreFuture<T> = LocalFuture<Result<T, StoreError>>;

/// What the store keeps, as two separate sets of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// What operators publish.
    Orders,
    /// The table of the nodes.
    Table,
}

/// A call to the store that failed.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum StoreError {
    /// the store took nothing: {0}
    Refused(String),
    /// the log does not end where the condition says
    Conflict,
    /// the records asked for are kept no longer
    Gone,
    /// no answer, so the call may have been carried out: {0}
    Unknown(String),
    /// the store's answer cannot be read: {0}
    Malformed(String),
}

impl std::error::Error for StoreError {}

/// Records from a place in the log on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The records, in order.
    pub records: Vec<Record>,
    /// Offset from which to go on.
    pub next: Offset,
}

/// The platform's store.
pub struct Store {
    /// The newest record of each key.
    pub newest: Box<dyn Fn(Topic) -> StoreFuture<Batch>>,
    /// Records from an offset on; waits up to the time given for the first one.
    pub read: Box<dyn Fn(Topic, Offset, Duration) -> StoreFuture<Batch>>,
    /// Appends to the table, all or nothing; with an offset, only if the log ends there. Returns the
    /// offset after the last record.
    pub append: Box<dyn Fn(WriteBatch, Option<Offset>) -> StoreFuture<Offset>>,
}

/// What operators order, decoded from one record.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorOrder {
    /// The whole configuration.
    Routes(Box<Routes>),
    /// A failure domain is taken out, or back in when false.
    Drained(DomainName, bool),
    /// Something else that nodes need not know.
    Other,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerMessage {
    /// It is there.
    Report(ServerReport),
    /// It leaves: this name is given up.
    Leaving(String),
}

/// A liveness report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// The life that reports; its start is 0 when the server does not tell it.
    pub instance: Instance,
    /// Number of the report within the life.
    pub number: u64,
    /// The server's service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests it runs at once.
    pub slots: Count,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_left: Duration,
}

/// A request on its way to a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The caller's name for this attempt.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers that the server is to get, but for those that the platform adds.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// The key that the request is about, for services whose keys are divided.
    pub key: Option<u16>,
    /// The service beside which the request began.
    pub origin: String,
}

/// A caller's request, decoded.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Host that the caller named.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// How long the caller will wait, if it says so.
    pub remaining: Option<Duration>,
    /// The request without its body.
    pub request: Request,
    /// Headers that an answer of the node's own repeats.
    pub echo: Vec<(String, Bytes)>,
}

/// What a backend server says of its load with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// How long work takes now; 1 as usual.
    pub slowdown: Option<f64>,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers that the caller is to get.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// What became of a request that was sent to the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum SendOutcome {
    /// It ran, and this is the answer.
    Ran(Answer, Load),
    /// It certainly did not run, for this reason. True when it reached the server.
    NotRun(Code, Load, bool),
    /// Nobody knows, for this reason.
    Unknown(Code),
}

/// A grant of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub span: Span,
    /// Fencing token.
    pub token: Token,
    /// Until when the server may hold them at the latest: a grant that was delayed before it is sent is
    /// for a shorter time.
    pub until: Moment,
    /// What the last holder left.
    pub handover: Option<String>,
}

/// An unbroken contact with the backend server. Within one session it is the same process; in
/// another it may have started anew, under the same name or not, and hold nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendSession(pub u64);

/// How a grant ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The server has the keys.
    Accepted,
    /// The server has seen a higher token for some of them.
    StaleToken,
    /// Nothing listens at the server's address: no server lives there.
    ServerDown,
    /// Nothing was sent: the session had ended, too little time was left, or no connection was to be had.
    NotSent,
    /// No answer, or none that can be read: it may be carried out.
    Unknown,
}

/// How a release ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// No work runs on the keys; with what the server leaves for the next holder.
    Released(Option<String>),
    /// Nothing listens at the server's address.
    ServerDown,
    /// No answer in time.
    Unknown,
}

/// A server's answer about its health.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    /// Its name.
    pub id: Option<String>,
    /// Whether it thinks itself fit for work and does not leave.
    pub healthy: bool,
    /// How much longer it is cold.
    pub cold_left: Option<Duration>,
}

/// Sends a request to the server of this name, with the deadline it is told.
pub type SendFn = Box<dyn Fn(&Request, &str, Instant) -> LocalFuture<SendOutcome>>;
/// Asks a server for its health at a path, for at most some time.
pub type HealthFn = Box<dyn Fn(&str, Duration) -> LocalFuture<Option<Health>>>;

/// The backend server beside the node.
pub struct Backend {
    /// Sends a request to the server named `id`, which is told to stop at the deadline. Dropping
    /// the future ends the server's work.
    pub send: SendFn,
    /// The present session.
    pub session: Box<dyn Fn() -> BackendSession>,
    /// Grants keys, or renews a grant, within a session; gives up after the time given.
    pub grant: Box<dyn Fn(Grant, BackendSession, Duration) -> LocalFuture<GrantOutcome>>,
    /// Takes keys back; the answer comes when no work runs on them.
    pub release: Box<dyn Fn(Span, Token, Duration) -> LocalFuture<ReleaseOutcome>>,
    /// Asks for its health at this path.
    pub health: HealthFn,
}

/// Addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// For callers on this host.
    pub callers: SocketAddr,
    /// For whoever asks whether the node is ready.
    pub ready: SocketAddr,
    /// For the backend server's reports.
    pub reports: SocketAddr,
    /// For other nodes, TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the platform sets, and that it may change while the node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time from SIGTERM to the end.
    pub grace: Duration,
    /// Longest grant that backend servers take.
    pub max_grant: Duration,
    /// Requests sent to a second target, as a part of all.
    pub retry_ratio: f64,
    /// Requests sent to a second target beyond that part, of all nodes together, in the window.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
}

/// What a node is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Its name.
    pub node: crate::core::ids::NodeId,
    /// The service of the backend server beside it.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The failure domains of the installation and their regions.
    pub regions: std::collections::BTreeMap<DomainName, String>,
    /// Addresses.
    pub listen: ListenAddrs,
    /// Whether all nodes start for the first time.
    pub bootstrap: bool,
    /// Bounds.
    pub bounds: Bounds,
}

impl NodeSettings {
    /// The region of a failure domain; empty when it is not known.
    pub fn region(&self, domain: &DomainName) -> &str {
        self.regions.get(domain).map_or("", String::as_str)
    }
}

/// All of the platform.
pub struct Platform {
    /// The store.
    pub store: Store,
    /// Decodes a record of [`Topic::Orders`]; an error says why it cannot be read.
    pub decode_order: fn(&Record) -> Result<OperatorOrder, String>,
    /// Decodes a caller's request without its body.
    pub decode_request: fn(&http::request::Parts) -> Result<CallerRequest, Code>,
    /// Decodes what a backend server says: method, path and body.
    pub decode_report: fn(&http::Method, &str, &[u8]) -> Result<ServerMessage, String>,
    /// The backend server.
    pub backend: Backend,
    /// Reads the settings anew.
    pub reload: Box<dyn Fn() -> crate::util::error::Result<NodeSettings>>,
}
