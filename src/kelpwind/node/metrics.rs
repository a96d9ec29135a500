//! The node's counters, gauges and histograms, in the registry that `/metrics` exposes.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::core::codes::Code;
use crate::util::registry::register;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Metrics of one node.
pub struct Metrics {
    registry: Registry,
    /// Requests of callers, by service and result code.
    pub requests: IntCounterVec,
    /// Time from a caller's request to its answer, in seconds.
    pub latency: Histogram,
    /// Retries of the entry, by result code of the previous attempt.
    pub retries: IntCounterVec,
    /// Hedged requests: slow ones that were sent a second time.
    pub hedges: IntCounter,
    /// Hedged requests whose second copy was answered first.
    pub hedges_won: IntCounter,
    /// Requests received by this node's gate from other nodes, by result code.
    pub gate_requests: IntCounterVec,
    /// Lease datagrams, by direction.
    pub datagrams: IntCounterVec,
    /// Bytes of lease datagrams by direction, without UDP and IP headers.
    pub datagram_bytes: IntCounterVec,
    /// Records that this node started to append to the log, by kind.
    pub appends: IntCounterVec,
    /// Takeovers started by this node.
    pub takeovers: IntCounter,
    /// Slices that this node released to their next owners.
    pub slices_handed_over: IntCounter,
    /// Slices owned by this node.
    pub slices_owned: IntGauge,
    /// Offset of the next log record to apply.
    pub log_offset: IntGauge,
    /// Revision of the configuration in force.
    pub config_revision: IntGauge,
    /// Remaining time of the lease, in milliseconds; 0 without a valid lease.
    pub lease_remaining_ms: IntGauge,
    /// Size of the outcomes in the deduplication cache, in bytes.
    pub dedup_bytes: IntGauge,
    /// Members according to the log, as far as this node has read it.
    pub members: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, counter)
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let counter = |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let latency = HistogramOpts::new(
            "kelpwind_request_seconds",
            "Time from a caller's request to its answer.",
        );
        let latency = latency.buckets(LATENCY_BUCKETS.to_vec());
        Metrics {
            requests: counters(
                "kelpwind_requests_total",
                "Callers' requests by service and result code.",
                &["service", "code"],
            ),
            latency: register(&registry, Histogram::with_opts(latency)),
            retries: counters(
                "kelpwind_retries_total",
                "Tries after the first, by the code of the answer before.",
                &["code"],
            ),
            gate_requests: counters(
                "kelpwind_gate_requests_total",
                "Requests given to this node's gate, by result code.",
                &["code"],
            ),
            datagrams: counters(
                "kelpwind_datagrams_total",
                "Datagrams by direction.",
                &["direction"],
            ),
            datagram_bytes: counters(
                "kelpwind_datagram_bytes_total",
                "Bytes of datagrams by direction, without UDP and IP headers.",
                &["direction"],
            ),
            appends: counters("kelpwind_appends_total", "Records appended, by kind.", &["kind"]),
            hedges: counter("kelpwind_hedges_total", "Slow requests that were sent once more."),
            hedges_won: counter(
                "kelpwind_hedges_won_total",
                "Slow requests whose second sending was answered first.",
            ),
            takeovers: counter("kelpwind_takeovers_total", "Takeovers started."),
            slices_handed_over: counter("kelpwind_slices_handed_over_total", "Slices handed over."),
            slices_owned: gauge("kelpwind_slices_owned", "Slices that this node owns."),
            log_offset: gauge("kelpwind_log_offset", "Offset of the next record to apply."),
            config_revision: gauge(
                "kelpwind_config_revision",
                "Current revision of the configuration.",
            ),
            lease_remaining_ms: gauge(
                "kelpwind_lease_left_milliseconds",
                "Time left of the lease.",
            ),
            dedup_bytes: gauge(
                "kelpwind_remembered_bytes",
                "Bytes of outcomes remembered of requests that may not be repeated.",
            ),
            members: gauge("kelpwind_members", "Members as the log has them."),
            registry,
        }
    }
}

impl Metrics {
    /// Increments the counter labelled with a result code.
    pub fn count(&self, counters: &IntCounterVec, code: Code) {
        counters.with_label_values(&[&code.number().to_string()]).inc();
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
