//! Prometheus metrics of a node, and a rate limit for log lines about single requests.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::time::{Duration, Instant};

use prometheus::{
    Encoder, Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use super::node::Node;
use super::platform_api::{Answer, GrantOutcome, Topic};
use super::request_state::Failure;
use crate::core::codes::Code;
use crate::core::ids::ServiceName;
use crate::core::tenants::TenantName;
use crate::lease::clock;
use crate::net::memory::Place;
use crate::util::registry::register;

/// Upper bounds of the latency histogram's buckets.
const LATENCY_BUCKETS_S: &[f64] = &[0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0];
/// Upper bounds of the buckets of the time until grants are answered. A grant may take 60 ms on its
/// way to the server, and is given up after 90 ms.
const GRANT_BUCKETS_S: &[f64] = &[0.001, 0.002, 0.005, 0.01, 0.03, 0.06, 0.09, 0.15, 0.3, 1.0];
/// Maximum number of log lines of one kind per second. The next line states how many were left out.
const LINES_PER_SECOND: u32 = 10;

/// Limits log lines of one kind to [`LINES_PER_SECOND`].
#[derive(Debug, Default)]
pub(crate) struct RateLimitedLog {
    window_start: RefCell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl RateLimitedLog {
    /// Calls `emit` unless the limit is reached, with the number of lines left out since the last
    /// one.
    pub fn write(&self, emit: impl FnOnce(u64)) {
        let now = Instant::now();
        let expired =
            self.window_start.borrow().is_none_or(|at| now - at >= Duration::from_secs(1));
        if expired {
            self.window_start.replace(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= LINES_PER_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        emit(self.left_out.take());
    }
}

/// The metrics of one node and their registry.
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    refusals_total: IntCounterVec,
    admission: IntCounterVec,
    unrouted: IntCounterVec,
    /// Requests of tenants, by what became of them.
    pub tenants: TenantCounts,
    store_reads: IntCounterVec,
    grants: IntCounterVec,
    grant_time: Histogram,
    server_changes: IntCounterVec,
    /// Counts the takeovers that this node has started.
    pub takeovers: IntCounter,
    sent: IntCounter,
    returned: IntCounter,
    moved_keys: IntCounterVec,
    /// Counts statements of the backend server that are malformed.
    pub malformed_statements: IntCounter,
    /// Limits log lines about these.
    pub statement_log: RateLimitedLog,
    /// Counts tasks of the node that have panicked and were started again.
    pub task_restarts: IntCounter,
    /// Counts processes of the backend server that ended while they were at work on requests.
    pub server_exits: IntCounter,
    suspects: IntGauge,
    quarantined: IntGauge,
    /// Limits log lines about requests that are refused because they are quarantined.
    pub quarantine_log: RateLimitedLog,
    limit: Gauge,
    limit_age: GaugeVec,
    leaving: IntGauge,
    running: IntGauge,
    waiting: IntGauge,
    keys: IntGauge,
    lease: IntGauge,
    config: IntGauge,
    orders: IntGauge,
    orders_end: IntGauge,
    offset: IntGauge,
    /// Limits log lines about requests that failed at the entry.
    pub failure_log: RateLimitedLog,
    /// Limits log lines about requests that the gate refused.
    pub refusal_log: RateLimitedLog,
    /// Counts the reads that ask for orders beside a read that waits.
    pub order_probes: IntCounter,
    /// Limits log lines about these reads.
    pub probe_log: RateLimitedLog,
    /// Counts how often the store came back from an older copy.
    pub restorations: IntCounter,
    era_faults: IntCounterVec,
    /// Limits log lines about answers without a usable era.
    pub era_log: RateLimitedLog,
    /// Counts records of the table that name a lower token for a key than those before.
    pub lower_tokens: IntCounter,
    era: IntGauge,
    memory_held: IntGaugeVec,
    memory_limit: IntGauge,
    memory_refusals: IntCounterVec,
    /// Limits log lines about these refusals.
    pub memory_log: RateLimitedLog,
    pub unread_closes: IntCounter,
}

/// Why a request or a connection of a caller was refused for the sake of the process; the value of a
/// metric's label and a log key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryRefusal {
    /// The account had no room for a body.
    BodyNoRoom,
    /// A body made no progress while another one needed room.
    BodyStalled,
    /// The account had no room when a request was to be run.
    RequestNoRoom,
    /// An answer was not read at all.
    AnswerStalled,
    /// An answer was read slowly while memory was needed.
    AnswerSlow,
    /// The account had no room for a connection or a head.
    ConnectionNoRoom,
    /// The connection had waited longest when there were too many.
    ConnectionLimit,
}

impl MemoryRefusal {
    pub fn label(self) -> &'static str {
        match self {
            MemoryRefusal::BodyNoRoom => "body_no_room",
            MemoryRefusal::BodyStalled => "body_stalled",
            MemoryRefusal::RequestNoRoom => "request_no_room",
            MemoryRefusal::AnswerStalled => "answer_stalled",
            MemoryRefusal::AnswerSlow => "answer_slow",
            MemoryRefusal::ConnectionNoRoom => "connection_no_room",
            MemoryRefusal::ConnectionLimit => "connection_limit",
        }
    }
}

/// Most tenants with a label of their own; the others are counted as `other`.
const TENANT_LABELS_MAX: usize = 100;

/// Counts of tenants' requests.
pub(crate) struct TenantCounts {
    counts: IntCounterVec,
    named: RefCell<HashSet<TenantName>>,
}

impl TenantCounts {
    /// Counts a request that is within the quota or not.
    pub fn count(&self, tenant: &TenantName, within: bool) {
        let mut named = self.named.borrow_mut();
        if !named.contains(tenant) && named.len() < TENANT_LABELS_MAX {
            named.insert(tenant.clone());
        }
        let name = if named.contains(tenant) { tenant.as_str() } else { "other" };
        let result = if within { "admitted" } else { "refused" };
        self.counts.with_label_values(&[name, result]).inc();
    }
}

/// Why the era of an answer of the store cannot be used; the value of a metric's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EraFault {
    /// It is missing, although other answers have stated one.
    Missing,
    /// It is not a number.
    Malformed,
    /// It is lower than one that was stated before.
    Earlier,
}

impl EraFault {
    pub fn label(self) -> &'static str {
        match self {
            EraFault::Missing => "missing",
            EraFault::Malformed => "malformed",
            EraFault::Earlier => "earlier",
        }
    }
}

/// When a request was refused for lack of capacity; the value of a metric's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionRefusal {
    /// On arrival: its deadline cannot be met, or the queue is full of more urgent requests.
    Arrival,
    /// After it was queued: its deadline cannot be met any more, or it was evicted.
    Queued,
    /// Calls of such requests fail.
    Calls,
}

impl AdmissionRefusal {
    fn label(self) -> &'static str {
        match self {
            AdmissionRefusal::Arrival => "arrival",
            AdmissionRefusal::Queued => "queued",
            AdmissionRefusal::Calls => "calls",
        }
    }
}

/// How a read of the store ended; the value of a metric's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadResult {
    /// The store answered.
    Done,
    /// The call failed.
    Failed,
}

impl ReadResult {
    fn label(self) -> &'static str {
        match self {
            ReadResult::Done => "done",
            ReadResult::Failed => "failed",
        }
    }
}

/// A change of the backend server beside the node; the value of a metric's label and a log key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerChange {
    /// The first report of a server, or the first one after a server was detached.
    Attached,
    /// A report of another instance.
    Replaced,
    /// Nothing listens at its address.
    Refused,
    /// No report for too long.
    Silent,
}

impl ServerChange {
    pub fn label(self) -> &'static str {
        match self {
            ServerChange::Attached => "attached",
            ServerChange::Replaced => "replaced",
            ServerChange::Refused => "refused",
            ServerChange::Silent => "silent",
        }
    }
}

fn grant_label(result: GrantOutcome) -> &'static str {
    match result {
        GrantOutcome::Accepted => "accepted",
        GrantOutcome::StaleToken => "stale_token",
        GrantOutcome::Unreachable => "unreachable",
        GrantOutcome::NotSent => "not_sent",
        GrantOutcome::Unknown => "unknown",
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let latency = HistogramOpts::new(
            "kelpwind_request_seconds",
            "Time from a caller's request to its answer, by service.",
        );
        let latency = latency.buckets(LATENCY_BUCKETS_S.to_vec());
        Metrics {
            requests: counters(
                "kelpwind_requests_total",
                "Callers' requests by service and result code.",
                &["service", "code"],
            ),
            latency: register(&registry, HistogramVec::new(latency, &["service"])),
            refusals_total: counters(
                "kelpwind_gate_refusals_total",
                "Requests that this node's gate refused, by result code and class of request.",
                &["code", "class"],
            ),
            admission: counters(
                "kelpwind_admission_refusals_total",
                "Requests refused for lack of capacity where kinds share the server, by class and reason.",
                &["class", "reason"],
            ),
            unrouted: counters(
                "kelpwind_unrouted_requests_total",
                "Callers' requests that failed before a route was chosen, by result code.",
                &["code"],
            ),
            tenants: TenantCounts {
                counts: counters(
                    "kelpwind_tenant_requests_total",
                    "Tenants' requests that were within their quota or were refused because of it.",
                    &["tenant", "result"],
                ),
                named: RefCell::default(),
            },
            store_reads: counters(
                "kelpwind_store_reads_total",
                "Reads of the store by topic and result.",
                &["topic", "result"],
            ),
            grants: counters(
                "kelpwind_grants_total",
                "Grants of keys to the backend server by result.",
                &["result"],
            ),
            grant_time: register(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "kelpwind_grant_seconds",
                        "Time from the sending of a grant until the backend server confirms it.",
                    )
                    .buckets(GRANT_BUCKETS_S.to_vec()),
                ),
            ),
            server_changes: counters(
                "kelpwind_server_changes_total",
                "Backend servers that were attached, replaced or detached, by kind of change.",
                &["change"],
            ),
            order_probes: register(
                &registry,
                IntCounter::new(
                    "kelpwind_order_probes_total",
                    "Reads that ask the store for newer orders beside a read that waits.",
                ),
            ),
            takeovers: register(
                &registry,
                IntCounter::new("kelpwind_takeovers_total", "Takeovers started."),
            ),
            returned: register(
                &registry,
                IntCounter::new(
                    "kelpwind_gate_returned_total",
                    "Requests that the gate returned unrun because another gate was likely to run them sooner.",
                ),
            ),
            moved_keys: counters(
                "kelpwind_moved_keys_total",
                "Keys that an overloaded owner moved to others, by the way in which it was found overloaded.",
                &["cause"],
            ),
            sent: register(
                &registry,
                IntCounter::new(
                    "kelpwind_gate_sent_total",
                    "Requests that this node's gate has sent to the backend server.",
                ),
            ),
            malformed_statements: register(
                &registry,
                IntCounter::new(
                    "kelpwind_server_malformed_statements_total",
                    "Answers of the backend server that state a malformed limit.",
                ),
            ),
            statement_log: RateLimitedLog::default(),
            task_restarts: register(
                &registry,
                IntCounter::new(
                    "kelpwind_task_restarts_total",
                    "Tasks of the node that have panicked and were started again; must be 0.",
                ),
            ),
            server_exits: register(
                &registry,
                IntCounter::new(
                    "kelpwind_server_exits_total",
                    "Processes of the backend server that ended while they were at work on requests.",
                ),
            ),
            suspects: gauge(
                "kelpwind_suspect_requests",
                "Requests under which a backend server has ended, other than those quarantined.",
            ),
            quarantined: gauge(
                "kelpwind_quarantined_requests",
                "Requests that are quarantined because backend servers have ended under them.",
            ),
            quarantine_log: RateLimitedLog::default(),
            limit: register(
                &registry,
                Gauge::new(
                    "kelpwind_server_limit",
                    "Requests per second that the backend server takes by its own statement; -1 if \
                     it states no limit.",
                ),
            ),
            limit_age: register(
                &registry,
                GaugeVec::new(
                    Opts::new(
                        "kelpwind_server_limit_age_seconds",
                        "Time since the limit in force was last stated, by how this node knows of it.",
                    ),
                    &["source"],
                ),
            ),
            leaving: gauge(
                "kelpwind_server_leaving",
                "Whether the backend server has said that it is about to shut down.",
            ),
            running: gauge("kelpwind_gate_running", "Requests running at the backend server."),
            waiting: gauge("kelpwind_gate_waiting", "Requests waiting for the backend server."),
            keys: gauge("kelpwind_keys_held", "Keys that the backend server holds."),
            lease: gauge("kelpwind_lease_left_milliseconds", "Time left of the lease."),
            config: gauge("kelpwind_config_version", "Version of the configuration in force."),
            orders: gauge("kelpwind_orders_offset", "Offset of the next record of the orders."),
            orders_end: gauge(
                "kelpwind_orders_end_offset",
                "Highest offset that the orders are known to have reached.",
            ),
            offset: gauge("kelpwind_table_offset", "Offset of the next record of the table."),
            failure_log: RateLimitedLog::default(),
            refusal_log: RateLimitedLog::default(),
            probe_log: RateLimitedLog::default(),
            restorations: register(
                &registry,
                IntCounter::new(
                    "kelpwind_store_restorations_total",
                    "Times that the store was found to have come back from an older copy.",
                ),
            ),
            era_faults: counters(
                "kelpwind_store_era_faults_total",
                "Answers of the store that state no usable era, by reason.",
                &["reason"],
            ),
            era_log: RateLimitedLog::default(),
            lower_tokens: register(
                &registry,
                IntCounter::new(
                    "kelpwind_lower_tokens_total",
                    "Records of the table with a lower token for a key than the record before.",
                ),
            ),
            era: gauge("kelpwind_store_era", "Era of the store; 0 if it states none."),
            memory_held: register(
                &registry,
                IntGaugeVec::new(
                    Opts::new(
                        "kelpwind_memory_held_bytes",
                        "Bytes held for callers, servers and other nodes, by what they are held for.",
                    ),
                    &["place"],
                ),
            ),
            memory_limit: gauge(
                "kelpwind_memory_limit_bytes",
                "Limit of the bytes held for callers, servers and other nodes.",
            ),
            memory_refusals: counters(
                "kelpwind_memory_refusals_total",
                "Requests and connections of callers that were refused for want of memory, progress or \
                 file descriptors, by reason.",
                &["reason"],
            ),
            memory_log: RateLimitedLog::default(),
            unread_closes: register(
                &registry,
                IntCounter::new(
                    "kelpwind_unread_closes_total",
                    "Connections of HTTP clients that were closed while the client went on sending.",
                ),
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Counts a caller's request and records its duration.
    pub fn count_request(
        &self,
        service: &ServiceName,
        result: &Result<Answer, Failure>,
        took: Duration,
    ) {
        let code = result.as_ref().map_or_else(|f| f.code, |_| Code::Done).number().to_string();
        self.requests.with_label_values(&[service.as_str(), &code]).inc();
        self.latency.with_label_values(&[service.as_str()]).observe(took.as_secs_f64());
    }

    /// Counts a caller's request that failed before a route was chosen.
    pub fn count_unrouted(&self, code: Code) {
        self.unrouted.with_label_values(&[&code.number().to_string()]).inc();
    }

    /// Counts a read of the store.
    pub fn count_read(&self, topic: Topic, result: ReadResult) {
        self.store_reads.with_label_values(&[topic.name(), result.label()]).inc();
    }

    /// Counts a grant, and records how long the server took to confirm it.
    pub fn count_grant(&self, result: GrantOutcome, took: Duration) {
        self.grants.with_label_values(&[grant_label(result)]).inc();
        if result == GrantOutcome::Accepted {
            self.grant_time.observe(took.as_secs_f64());
        }
    }

    /// Counts grants in answers to reports by whether the server has accepted them or has seen a
    /// higher token.
    pub fn count_reported_grants(&self, accepted: usize, refused: usize) {
        for (outcome, count) in
            [(GrantOutcome::Accepted, accepted), (GrantOutcome::StaleToken, refused)]
        {
            self.grants.with_label_values(&[grant_label(outcome)]).inc_by(count as u64);
        }
    }

    /// Counts a change of the backend server.
    pub fn count_server_change(&self, change: ServerChange) {
        self.server_changes.with_label_values(&[change.label()]).inc();
    }

    /// Counts an answer of the store without a usable era.
    pub fn count_era_fault(&self, fault: EraFault) {
        self.era_faults.with_label_values(&[fault.label()]).inc();
    }

    /// Counts a request or connection that was refused, and logs it.
    pub fn count_memory_refusal(&self, reason: MemoryRefusal) {
        self.memory_refusals.with_label_values(&[reason.label()]).inc();
        self.memory_log.write(|left_out| {
            spdlog::info!("a request or connection of a caller is refused", kv: {
                why = reason.label(), left_out
            });
        });
    }

    /// Counts a connection that is closing and on which `unread` bytes of the client are discarded.
    pub fn count_unread_close(&self, unread: usize) {
        self.unread_closes.inc();
        self.failure_log.write(|left_out| {
            spdlog::info!("a client has sent more on a connection that closes", kv: { unread, left_out });
        });
    }

    /// Counts a request that the gate sends to the backend server.
    pub fn count_sent(&self) {
        self.sent.inc();
    }

    /// Counts a request that is refused for lack of capacity.
    pub fn count_admission(&self, class: &str, reason: AdmissionRefusal) {
        self.admission.with_label_values(&[class, reason.label()]).inc();
    }

    /// Counts a request that the gate returned for another gate to run.
    pub fn count_returned(&self) {
        self.returned.inc();
    }

    /// Counts keys that move away because this owner is overloaded: by a `count` of requests over seconds
    /// or by an `excess` that is certain.
    pub fn count_moved_keys(&self, cause: &str, keys: u32) {
        self.moved_keys.with_label_values(&[cause]).inc_by(keys.into());
    }

    /// Counts a request that the gate refused.
    pub fn count_refusal(&self, code: Code, class: &str) {
        self.refusals_total.with_label_values(&[code.number().to_string().as_str(), class]).inc();
    }
}

impl Node {
    /// Encodes all metrics in the Prometheus text format.
    pub fn encode_metrics(&self) -> Vec<u8> {
        let metrics = &self.metrics;
        {
            let queue = self.queue.borrow();
            metrics.running.set(queue.running().into());
            metrics.waiting.set(queue.waiting().into());
        }
        {
            let (statements, server) = (self.statements.borrow(), self.server_instance());
            let stated = server.as_ref().and_then(|instance| statements.of(instance));
            let limit = stated.and_then(|s| s.limit);
            metrics.limit.set(limit.map_or(-1.0, |limit| limit.rate.per_second()));
            metrics.limit_age.reset();
            if let Some(limit) = limit {
                let age = metrics.limit_age.with_label_values(&[limit.source.name()]);
                age.set(limit.heard.elapsed().as_secs_f64());
            }
            metrics.leaving.set(stated.is_some_and(|s| s.leaving_since.is_some()).into());
        }
        let (suspects, quarantined) = self.quarantine.borrow().counts();
        metrics.suspects.set(suspects as i64);
        metrics.quarantined.set(quarantined as i64);
        metrics.keys.set(self.held.borrow().active_keys().into());
        let now = clock::now();
        let left =
            self.lease.borrow().as_ref().and_then(|l| l.expires_at()).map(|ends| ends.since(now));
        metrics.lease.set(left.map_or(0, |l| l.as_millis() as i64));
        metrics.config.set(self.routes().map_or(0, |r| r.version.0 as i64));
        let orders = *self.orders.borrow();
        metrics.orders.set(orders.next.0 as i64);
        metrics.orders_end.set(orders.freshness.end().0 as i64);
        metrics.offset.set(self.table.borrow().next.0 as i64);
        metrics.era.set(self.store_era.known().map_or(0, |era| era.0 as i64));
        for place in Place::ALL {
            let held = metrics.memory_held.with_label_values(&[place.to_string().as_str()]);
            held.set(self.memory.held(place) as i64);
        }
        metrics.memory_limit.set(self.settings.borrow().limits.body_memory.0 as i64);
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&metrics.registry.gather(), &mut text) {
            spdlog::error!("failed to encode the metrics: {e}");
        }
        text
    }
}
