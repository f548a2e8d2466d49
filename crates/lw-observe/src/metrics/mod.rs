//! Counters, gauges and histograms in the text format of Prometheus.

use std::{fmt, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the histogram buckets, in seconds. They are close together around a few hundred milliseconds,
/// where the latency targets of routes lie, so that they separate answers within a target from those above it.
const TIME_BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0];

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the workspace, empty for anonymous requests.
    pub workspace: String,
    /// Class of the request, as its route sets it.
    pub class: &'static str,
}

/// Labels of the outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the workspace, empty for anonymous requests.
    pub workspace: String,
    /// Class of the request, as its route sets it.
    pub class: &'static str,
    /// Name of the result code.
    pub code: &'static str,
}

/// A label with one of several fixed values, whose meaning depends on the metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Value of the label.
    pub kind: &'static str,
}

/// Labels of decisions on admission to engines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionLabels {
    /// `admitted`, or why the request was refused.
    pub outcome: &'static str,
    /// Priority of the workspace and of the route.
    pub level: String,
}

/// Labels of calls to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Name of the call.
    pub call: &'static str,
    /// Result of the call.
    pub result: &'static str,
}

/// Label of metrics about one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// Name of the service.
    pub service: String,
}

/// Labels of a quantile of metrics about one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceQuantileLabels {
    /// Name of the service.
    pub service: String,
    /// The quantile.
    pub quantile: &'static str,
}

/// Increments the counter of one kind.
///
/// ```
/// use lw_observe::metrics::{Metrics, increment};
/// let metrics = Metrics::default();
/// increment(&metrics.refusals, "overloaded");
/// assert!(metrics.text().contains("lavenderwood_refusals_total{kind=\"overloaded\"} 1"));
/// ```
pub fn increment(family: &Family<KindLabel, Counter>, kind: &'static str) {
    family.get_or_create(&KindLabel { kind }).inc();
}

/// Returns a count as the value of a gauge, which is limited to the largest one.
///
/// ```
/// assert_eq!(lw_observe::metrics::as_gauge(3_usize), 3);
/// assert_eq!(lw_observe::metrics::as_gauge(u64::MAX), i64::MAX);
/// ```
#[must_use]
pub fn as_gauge(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}

/// Records a duration of a request in the histogram for its labels.
pub fn record_time(
    family: &Family<RequestLabels, Histogram>,
    labels: &RequestLabels,
    time: Duration,
) {
    family.get_or_create(labels).observe(time.as_secs_f64());
}

/// All metrics of one VM.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Refusals by kind.
    pub refusals: Family<KindLabel, Counter>,
    /// Bodies of callers that were not read to their end, by reason.
    pub body_refusals: Family<KindLabel, Counter>,
    /// Bytes held for callers: of all requests, of large ones, of all answers, of large ones.
    pub caller_bytes: Family<KindLabel, Gauge>,
    /// Connections that were closed because of their callers, by reason, since the start.
    pub closed_connections: Family<KindLabel, Gauge>,
    /// Decisions on admission to engines.
    pub admission: Family<AdmissionLabels, Counter>,
    /// Estimated capacity of a service's engines, in thousandths of an engine.
    pub capacity: Family<ServiceLabel, Gauge>,
    /// Digests of demand that were sent to other VMs.
    pub demand_digests: Counter,
    /// Attempts at upstreams by outcome.
    pub attempts: Family<KindLabel, Counter>,
    /// Time from the arrival of a request to the head of its answer. The head of a stream is sent with its first event.
    pub first_byte_time: Family<RequestLabels, Histogram>,
    /// Time from the arrival of a request to the end of its answer.
    pub answer_time: Family<RequestLabels, Histogram>,
    /// Prompt tokens by origin: cached at the engine, fetched from another cache or computed by prefill.
    pub prompt_tokens: Family<KindLabel, Counter>,
    /// Calls to the platform's store.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Orders to engines by outcome.
    pub orders: Family<KindLabel, Counter>,
    /// Messages to other VMs by kind.
    pub messages: Family<KindLabel, Counter>,
    /// Age of the view of the store, which has the keys and upstreams, in milliseconds; -1 before the first read.
    pub store_view_age_ms: Gauge,
    /// Latest era of the store: how often it has returned from an older copy.
    pub store_era: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Fencing number of the issuer's lease, 0 while this VM is not the issuer.
    pub issuer_fence: Gauge,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Retries left in the retry budget of a service.
    pub retries_left: Family<ServiceLabel, Gauge>,
    /// Upstreams that accept new requests, by service.
    pub ready_upstreams: Family<ServiceLabel, Gauge>,
    /// Upstreams that name a limit, by service.
    pub limited_upstreams: Family<ServiceLabel, Gauge>,
    /// Actual over expected time to the first event or the answer, in percent.
    pub estimate_error: Family<ServiceQuantileLabels, Gauge>,
    /// Quarantined sets of prompt segments.
    pub quarantined_sets: Gauge,
    /// Decisions about requests of workspaces with a usage cap.
    pub quota: Family<KindLabel, Counter>,
    /// Quota slots that this VM holds.
    pub quota_slots: Gauge,
    /// Streams that callers took up again, by how it was found which software version began them.
    pub stream_origins: Family<KindLabel, Counter>,
    /// Dropped log lines by kind.
    pub dropped_log_lines: Family<KindLabel, Gauge>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let times = || Histogram::new(TIME_BUCKETS_S);
        let mut metrics = Self {
            registry: Registry::with_prefix("lavenderwood"),
            requests: Family::default(),
            refusals: Family::default(),
            body_refusals: Family::default(),
            caller_bytes: Family::default(),
            closed_connections: Family::default(),
            admission: Family::default(),
            capacity: Family::default(),
            demand_digests: Counter::default(),
            attempts: Family::default(),
            first_byte_time: Family::new_with_constructor(times),
            answer_time: Family::new_with_constructor(times),
            prompt_tokens: Family::default(),
            store_calls: Family::default(),
            orders: Family::default(),
            messages: Family::default(),
            store_view_age_ms: Gauge::default(),
            store_era: Gauge::default(),
            config_version: Gauge::default(),
            issuer_fence: Gauge::default(),
            in_flight: Gauge::default(),
            retries_left: Family::default(),
            ready_upstreams: Family::default(),
            limited_upstreams: Family::default(),
            estimate_error: Family::default(),
            quarantined_sets: Gauge::default(),
            quota: Family::default(),
            quota_slots: Gauge::default(),
            stream_origins: Family::default(),
            dropped_log_lines: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("refusals", "Refusals by kind", self.refusals.clone());
        let help = "Bodies of callers that were not read to their end";
        registry.register("body_refusals", help, self.body_refusals.clone());
        registry.register("caller_bytes", "Bytes held for callers", self.caller_bytes.clone());
        let help = "Connections closed since their callers did not read, or too many were open";
        registry.register("closed_connections", help, self.closed_connections.clone());
        let help = "Decisions on admission to engines";
        registry.register("admission", help, self.admission.clone());
        let help = "Estimated capacity of the engines, in thousandths of an engine";
        registry.register("capacity_millis", help, self.capacity.clone());
        let help = "Digests of demand sent to other VMs";
        registry.register("demand_digests", help, self.demand_digests.clone());
        registry.register("attempts", "Attempts at upstreams by outcome", self.attempts.clone());
        let help = "Time to the head of the answer, in seconds";
        registry.register("first_byte_seconds", help, self.first_byte_time.clone());
        let help = "Time to the end of the answer, in seconds";
        registry.register("answer_seconds", help, self.answer_time.clone());
        let help = "Prompt tokens by origin";
        registry.register("prompt_tokens", help, self.prompt_tokens.clone());
        registry.register("store_calls", "Calls to the platform's store", self.store_calls.clone());
        registry.register("orders", "Orders to engines by outcome", self.orders.clone());
        registry.register("messages", "Messages between VMs", self.messages.clone());
        let help = "Age of the view of keys and upstreams";
        registry.register("knowledge_age_milliseconds", help, self.store_view_age_ms.clone());
        let help = "Latest era of the store";
        registry.register("store_era", help, self.store_era.clone());
        let help = "Version of the configuration in force";
        registry.register("config_version", help, self.config_version.clone());
        let help = "Fencing number while this VM issues orders";
        registry.register("issuer_fence", help, self.issuer_fence.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register(
            "retries_left",
            "Retries left in the retry budget",
            self.retries_left.clone(),
        );
        let help = "Upstreams that accept new requests";
        registry.register("ready_upstreams", help, self.ready_upstreams.clone());
        let help = "Upstreams that name a limit on the requests that they take";
        registry.register("limited_upstreams", help, self.limited_upstreams.clone());
        let help = "Actual over expected latency, in percent";
        registry.register("estimate_error_percent", help, self.estimate_error.clone());
        let help = "Sets of prompt segments whose requests are refused";
        registry.register("quarantined_sets", help, self.quarantined_sets.clone());
        let help = "Decisions about requests of workspaces with a usage cap";
        registry.register("quota", help, self.quota.clone());
        let help = "Quota slots that this VM holds";
        registry.register("quota_slots", help, self.quota_slots.clone());
        let help = "Streams taken up again, by how the software version that began them was found";
        registry.register("stream_origins", help, self.stream_origins.clone());
        registry.register(
            "log_lines_left_out",
            "Dropped log lines",
            self.dropped_log_lines.clone(),
        );
    }

    /// Returns all metrics in the text format of Prometheus.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        if let Err(e) = encode(&mut out, &self.registry) {
            log::error!(target: "metrics", "failed to encode the metrics: {e}");
        }
        out
    }
}
