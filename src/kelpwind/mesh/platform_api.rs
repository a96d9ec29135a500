//! The interface between a node and the platform it runs on.
//!
//! A platform is a plain struct of functions. The adapter that speaks the platform's protocols
//! fills it, and so do the stand-ins of the tests. The functions only translate: they make no
//! decisions, keep no state beyond connections, and have no timers except the timeout of a call.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::core::codes::Code;
use crate::core::digest::RequestDigest;
use crate::core::ids::{
    ByteCount, ByteRate, Count, DomainName, Era, Offset, RequestRate, ServiceName, Token,
};
use crate::core::routes::Routes;
use crate::core::tenants::{ApiKeyDigest, TenantName};
use crate::lease::clock::BootInstant;
use crate::net::memory::MemoryAccount;
use crate::table::keys::Span;
use crate::table::member::Instance;
use crate::table::{Record, WriteBatch};

/// A boxed future that stays on one thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
/// The future of a call to the store.
pub type StoreFuture<T> = LocalFuture<Result<T, StoreError>>;

/// The topics of the store. Each has its own set of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// What operators publish: the configuration and the drained failure domains.
    Orders,
    /// The table: members and ownership of keys, written by the nodes.
    Table,
}

impl Topic {
    /// Name of the topic in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Orders => "orders",
            Topic::Table => "table",
        }
    }
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
    /// the store has come back from an older copy since the call was sent
    Restored,
}

impl std::error::Error for StoreError {}

/// A read of a topic.
#[derive(Clone, Debug)]
pub struct ReadRequest {
    /// The topic.
    pub topic: Topic,
    /// Offset of the first record.
    pub from: Offset,
    /// Longest time to wait for the first record.
    pub wait: Duration,
    /// Longest time until the answer begins to arrive.
    pub patience: Duration,
    /// Set once the answer has begun to arrive.
    pub answering: Rc<Cell<bool>>,
}

/// Time that the store may usually take to begin its answer, beyond the wait requested.
pub const READ_GRACE: Duration = Duration::from_secs(1);

impl ReadRequest {
    /// A read whose answer has not begun.
    pub fn new(topic: Topic, from: Offset, wait: Duration) -> ReadRequest {
        ReadRequest { topic, from, wait, patience: wait + READ_GRACE, answering: Rc::default() }
    }
}

/// The result of one read of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The records, ordered by offset.
    pub records: Vec<Record>,
    /// Offset at which the next read starts.
    pub next: Offset,
    /// Offset after the topic's last record when the answer was made. The batch is complete when
    /// it equals `next`.
    pub end: Offset,
}

/// What an answer of the store says of its era.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatedEra {
    /// Nothing.
    Missing,
    /// The era.
    Era(Era),
    /// Something that is not a number.
    Malformed(String),
}

/// A check of the eras that answers of the store state, whatever their status. An answer that fails it
/// is not used.
pub struct EraCheck {
    /// The era that is known when a call is sent.
    pub known: Box<dyn Fn() -> Option<Era>>,
    /// Checks the era that the answer to a call states, given the era that was known when the call was
    /// sent.
    pub check: Box<dyn Fn(Option<Era>, StatedEra) -> Result<(), StoreError>>,
}

/// The platform's store.
pub struct Store {
    /// Sets the check of all later answers. Without one, eras are ignored.
    pub check_eras: Box<dyn Fn(EraCheck)>,
    /// Reads the newest record of each key.
    pub newest: Box<dyn Fn(Topic) -> StoreFuture<Batch>>,
    /// Reads records from an offset on.
    pub read: Box<dyn Fn(ReadRequest) -> StoreFuture<Batch>>,
    /// Appends all records to the table or none. With an offset, appends only if the log ends
    /// there. Returns the offset after the last record.
    pub append: Box<dyn Fn(WriteBatch, Option<Offset>) -> StoreFuture<Offset>>,
}

/// An operators' record, decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorOrder {
    /// The whole configuration.
    Routes(Box<Routes>),
    /// A failure domain is drained (`true`) or takes work again (`false`).
    Drained(DomainName, bool),
    /// A request is exempted from the quarantine (`true`) or no longer.
    Exempt(RequestDigest, bool),
    /// A record that nodes ignore.
    Other,
}

/// Why an operators' record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderError {
    /// Whether the record is a configuration.
    pub routes: bool,
    /// What is wrong with it.
    pub why: String,
}

/// A call of the backend server to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerMessage {
    /// A liveness report.
    Report(ServerReport),
    /// A server shuts down and its registration ends.
    Leaving(Departure),
}

/// The end of a backend server's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Id of the server.
    pub id: String,
    /// Start of the instance that leaves, in milliseconds since the Unix epoch, if it is stated.
    pub started_ms: Option<u64>,
}

/// A liveness report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// The reporting instance. Its start time is 0 when the server does not state it.
    pub instance: Instance,
    /// Sequence number of the report within the instance.
    pub number: u64,
    /// The server's service.
    pub service: ServiceName,
    /// The server's failure domain.
    pub domain: DomainName,
    /// Number of requests that the server runs concurrently.
    pub slots: Count,
    /// Whether the server is about to shut down.
    pub draining: bool,
    /// Time until the server's cold start is over.
    pub cold_left: Duration,
    /// What the server says of its keys, if it is granted them in the answers to its reports.
    pub keys: Option<ReportedKeys>,
}

/// The keys of a server that is granted them in the answers to its reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedKeys {
    /// Spans that it holds or still works on, in order, each with its token. Those of one token do not
    /// overlap.
    pub held: Vec<(Span, Token)>,
    /// Spans that it has released since the last report that was answered, each with the state for
    /// the next holder. Spans whose grant has expired are not listed.
    pub released: Vec<(Span, String)>,
}

/// Everything that a server is to hold. It releases all other keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyAssignment {
    /// The spans, each with its token and the state that its former holder handed over.
    pub spans: Vec<(Span, Token, Option<String>)>,
    /// Duration of the grants. It counts from when the server sent its report, of which the node
    /// knows only that it was not after the report's arrival.
    pub duration: Duration,
}

/// A request as it is sent to a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Request id that the caller chose for this attempt.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub target: String,
    /// Headers to forward. The platform adds its own.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// The key of the request, for services whose keys are divided among targets.
    pub key: Option<u16>,
    /// The service of the backend server beside the entry.
    pub origin: String,
}

/// A caller's request, decoded.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Host that the caller addressed.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Size of the request line and the headers.
    pub head_bytes: usize,
    /// Time until the caller stops waiting, if it states one.
    pub remaining: Option<Duration>,
    /// The request without its body.
    pub request: Request,
    /// Headers to repeat in an answer that the node itself generates.
    pub echo: Vec<(String, Bytes)>,
}

/// What a backend server states of itself in an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerState {
    /// Current service time relative to the usual one: 1 is usual, 2 is twice as long.
    pub slowdown: Option<f64>,
    /// The requests that it takes at present.
    pub limit: StatedLimit,
    /// Whether it is about to shut down.
    pub leaving: bool,
}

/// What an answer of a backend server says of the requests that it takes from all nodes together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// Nothing: there is no limit.
    #[default]
    None,
    /// At most this rate.
    Rate(RequestRate),
    /// Something that is not a rate.
    Malformed(String),
}

/// A complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// The outcome of a request that was sent to the backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum SendOutcome {
    /// The request ran; this is the answer.
    Ran(Answer, ServerState),
    /// The server answered that it did not run the request, for this reason.
    Rejected(Code, ServerState),
    /// The request did not reach the server, for this reason.
    NotSent(Code),
    /// Whether the request ran is unknown, for this reason. If the server answered, the answer does not
    /// say.
    Unknown(Code, Option<ServerState>),
}

/// The backend server that a call is meant for, and where to ask the process at the address for its
/// id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRef {
    /// Id of the server.
    pub id: String,
    /// Path of the health check, whose answer states the id.
    pub health_path: String,
}

/// A grant of keys to the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The server that is to hold the keys.
    pub server: Rc<ServerRef>,
    /// The granted keys.
    pub span: Span,
    /// Fencing token.
    pub token: Token,
    /// Latest time at which the server may still hold the keys. A grant that is delayed before it
    /// is sent is therefore sent with a shorter duration.
    pub until: BootInstant,
    /// Time within which it is expected to take effect.
    pub transit: Duration,
    /// State that the previous holder handed over.
    pub handover: Option<String>,
}

/// An uninterrupted contact with the backend server. Within one session the server is the same
/// process. A new session may be with another process, under the same id or another, that holds no
/// keys, while the former one still runs and holds what it was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendSession(pub u64);

/// The end of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantResult {
    /// Whether it took effect.
    pub outcome: GrantOutcome,
    /// Time from its sending to its answer, or until no answer was awaited any more; zero if it was
    /// not sent.
    pub took: Duration,
}

/// The result of sending a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The server holds the keys.
    Accepted,
    /// The server has seen a higher token for some of the keys.
    StaleToken,
    /// Nothing listens at the server's address and no connection to it is open. The process may
    /// still run, and hold what it was granted.
    Unreachable,
    /// Nothing was sent: the session had ended, too little time was left, or no connection to the
    /// same process could be opened.
    NotSent,
    /// There was no readable answer, so the grant may be in force.
    Unknown,
}

/// The result of releasing keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The process that was granted the keys in the current session holds them no longer, and no
    /// work runs on them. Carries the state for the next holder, if any.
    Released(Option<String>),
    /// Some process has released the keys, but whether it is the one that was granted them is not
    /// known.
    Unconfirmed(Option<String>),
    /// The server did not answer in time, or not in a readable way.
    Unknown,
}

/// A backend server's answer to a health check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    /// The id of the server.
    pub id: Option<String>,
    /// Whether the server reports itself healthy and is not shutting down.
    pub healthy: bool,
    /// Time until the server's cold start is over; `None` when it does not say.
    pub cold_left: Option<Duration>,
    /// What else the server states of itself.
    pub state: ServerState,
}

/// Sends a request to the server with the given id and tells it the deadline.
pub type SendFn =
    Box<dyn Fn(&Request, &str, Option<BackendSession>, Instant) -> LocalFuture<SendOutcome>>;
/// Checks the server's health at a path, within a time limit.
pub type HealthFn = Box<dyn Fn(&str, Duration) -> LocalFuture<Option<Health>>>;

/// Grants keys within a session and a time limit.
pub type GrantFn = Box<dyn Fn(Grant, BackendSession, Duration) -> LocalFuture<GrantResult>>;
/// Releases a span that was granted to a server under a token, within a time limit.
pub type ReleaseFn =
    Box<dyn Fn(Rc<ServerRef>, Span, Token, Duration) -> LocalFuture<ReleaseOutcome>>;
/// Checks the server's health over the connection for grants.
pub type IdentifyFn = Box<dyn Fn(&str, Duration) -> LocalFuture<Option<(Health, BackendSession)>>>;

/// The backend server beside the node.
pub struct Backend {
    /// Sets the account in which the server's answers are counted while they arrive.
    pub set_account: Box<dyn Fn(MemoryAccount)>,
    /// Sends a request to the server with the given id, which is told to stop at the deadline. If the
    /// server was granted the key of the request by a call, the session of the grant is given: that it
    /// runs the request shows that it is the process of that session. Dropping the future cancels the server's work.
    pub send: SendFn,
    /// Returns the current session.
    pub session: Box<dyn Fn() -> BackendSession>,
    /// Ends the current session, so that the next grant and later requests go to the process that
    /// listens by then.
    pub end_session: Box<dyn Fn()>,
    /// Checks the server's health at a path over the connection for grants, within a time limit.
    /// Also returns the session with the process that answered.
    pub identify: IdentifyFn,
    /// Grants keys or renews a grant, within a session and a time limit.
    pub grant: GrantFn,
    /// Takes keys back, within a time limit. The server answers once no work runs on them.
    pub release: ReleaseFn,
    /// Whether new connections to the server's address are not refused.
    pub is_listening: Box<dyn Fn() -> LocalFuture<bool>>,
    /// Checks the server's health at the given path.
    pub health: HealthFn,
}

/// Addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// For callers on this host.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For the backend server's reports.
    pub reports: SocketAddr,
    /// For other nodes, TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Limits that the platform sets and may change while the node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time from SIGTERM until the process ends.
    pub grace: Duration,
    /// Longest grant that backend servers accept.
    pub max_grant: Duration,
    /// Share of all requests that may be sent to a second target.
    pub retry_ratio: f64,
    /// Requests that all nodes together may send to a second target within the window, beyond that
    /// share.
    pub retry_slack: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
}

/// What the process may hold for callers. Fixed while a node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Memory for bodies and answers.
    pub body_memory: ByteCount,
    /// Time without progress after which a body loses its memory to another one that needs it.
    pub body_stall: Duration,
    /// Time without progress after which the connection of an answer is closed.
    pub answer_stall: Duration,
    /// Most connections of callers.
    pub connections: usize,
    /// Rate of the host's link; `None` if it is not stated.
    pub link_rate: Option<ByteRate>,
}

/// Settings of a node, read at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the node.
    pub node: crate::core::ids::NodeId,
    /// The service of the backend server beside the node.
    pub service: ServiceName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Region of each failure domain of the installation.
    pub regions: std::collections::BTreeMap<DomainName, String>,
    /// Addresses to listen on.
    pub listen: ListenAddrs,
    /// Whether the installation starts for the first time, so that all nodes are new.
    pub bootstrap: bool,
    /// Usual interval between two liveness reports of a server.
    pub report_interval: Duration,
    /// Whether an owner sheds hot keys as soon as an excess of requests is certain, where requests of
    /// unequal cost share servers.
    pub shed_hot_keys: bool,
    /// Limits that a reload may change.
    pub bounds: Bounds,
    /// What the process may hold for callers.
    pub limits: ProcessLimits,
}

impl NodeSettings {
    /// The region of a failure domain; empty when it is not known.
    pub fn region(&self, domain: &DomainName) -> &str {
        self.regions.get(domain).map_or("", String::as_str)
    }
}

/// All functions of a platform.
pub struct Platform {
    /// The store of both topics.
    pub store: Store,
    /// Decodes a record of [`Topic::Orders`].
    pub decode_order: fn(&Record) -> Result<OperatorOrder, OrderError>,
    /// Decodes a caller's request without its body.
    pub decode_request: fn(&http::request::Parts) -> Result<CallerRequest, Code>,
    /// Digest of the API key of a request; `None` if it has none, or more than one.
    pub api_key: fn(&Request) -> Option<ApiKeyDigest>,
    /// Removes the API key from a request, and names the tenant to the backend server instead of what
    /// the caller named.
    pub set_tenant: fn(&mut Request, Option<&TenantName>),
    /// Removes the API key from a request whose entry has left it there, and with it the tenant that the
    /// caller named.
    pub remove_key: fn(&mut Request),
    /// Decodes a call of the backend server from its method, path and body.
    pub decode_report: fn(&http::Method, &str, &[u8]) -> Result<ServerMessage, String>,
    /// Encodes the answer to a report. Without an assignment the answer renews no grant and ends
    /// none.
    pub encode_report_answer: fn(Option<&KeyAssignment>) -> Bytes,
    /// The backend server beside the node.
    pub backend: Backend,
    /// Reads the settings again.
    pub reload: Box<dyn Fn() -> crate::util::error::Result<NodeSettings>>,
}
