//! Metrics: recorded with OpenTelemetry, exported in the Prometheus text format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the latency buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 12] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0];

/// Bounds of the buckets of predicted times, in percent of the actual time.
const PREDICTED_BOUNDS_PERCENT: [f64; 9] =
    [30.0, 50.0, 70.0, 80.0, 90.0, 110.0, 130.0, 200.0, 400.0];

/// All instruments of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Requests, by pipeline and outcome.
    pub requests: Counter<u64>,
    /// Latency of requests, in milliseconds.
    pub latency: Histogram<f64>,
    /// Connections made to targets, by service and outcome.
    pub connects: Counter<u64>,
    /// Changes of the paths to targets, by service and kind of change.
    pub path_changes: Counter<u64>,
    /// Requests sent through peers, by service and outcome.
    pub relayed: Counter<u64>,
    /// Bytes on this instance's link, by kind of connection and direction.
    pub link_bytes: Counter<u64>,
    /// Callers' connections that were closed unread, by what is full.
    pub closed_unread: Counter<u64>,
    /// Requests refused because this instance was full when their connections were accepted.
    pub refused_full: Counter<u64>,
    /// Longest time that callers' connections which were closed unread may have waited, in milliseconds.
    pub unread_wait: Histogram<f64>,
    /// Requests whose handling was dropped before they had an answer, by step and who ended it. Those by the instance are
    /// faults.
    pub dropped_requests: Counter<u64>,
    /// Answers that were ended before they were whole, by cause.
    pub cut_answers: Counter<u64>,
    /// Processor time of this process, in milliseconds.
    pub processor_time: Counter<u64>,
    /// Largest lateness of a timer in each second, in milliseconds.
    pub timer_lateness: Histogram<f64>,
    /// Open connections of callers.
    pub caller_connections: Gauge<u64>,
    /// Resident memory of this process, in bytes.
    pub memory: Gauge<u64>,
    /// Services that this instance does not reach.
    pub isolated_services: UpDownCounter<i64>,
    /// Pauses after rejections by targets that too many would crash, by service.
    pub overload_pauses: Counter<u64>,
    /// Attempts, by pool and result.
    pub attempts: Counter<u64>,
    /// Batched calls for results of stages, by result.
    pub batches: Counter<u64>,
    /// Late sends, by service and what became of them.
    pub late_sends: Counter<u64>,
    /// Time for which two sends of a request ran, in milliseconds.
    pub overlap: Histogram<f64>,
    /// Searches of late sends for another target, by service.
    pub late_send_searches: Counter<u64>,
    /// Prompts, by where their target was chosen.
    pub placements: Counter<u64>,
    /// Bytes of stage results fetched from other failure domains, by fetcher.
    pub moved_bytes: Counter<u64>,
    /// Requests that would be late in their region, by the other region and whether they were sent there.
    pub spills: Counter<u64>,
    /// Bytes sent to other regions, by kind.
    pub region_bytes: Counter<u64>,
    /// Requests assigned to an arm of a trial, by whether they met their objective.
    pub trial_requests: Counter<u64>,
    /// Cost of requests assigned to an arm of a trial, in milliseconds, by stage.
    pub trial_cost: Counter<u64>,
    /// Predicted time of stages and first events, in percent of the actual time.
    pub predicted_percent: Histogram<f64>,
    /// Work items in batched calls, by result.
    pub items: Counter<u64>,
    /// Repeated chunks that were dropped.
    pub dropped_chunks: Counter<u64>,
    /// Requests that were quarantined.
    pub quarantined: Counter<u64>,
    /// Changes of the rate limits that targets announce, by kind of change.
    pub target_limits: Counter<u64>,
    /// Backoff requests from targets, by service.
    pub backoffs: Counter<u64>,
    /// Answers aborted because their callers did not read them, by route.
    pub unread_answers: Counter<u64>,
    /// Discarded answers that belonged to other attempts.
    pub wrong_attempts: Counter<u64>,
    /// Requests that their targets failed, by service, the target's status and the status sent to the caller.
    pub target_failures: Counter<u64>,
    /// Streams of targets that were left at an event that cannot be used, by service and cause.
    pub spoiled_streams: Counter<u64>,
    /// Streams that callers resumed, by service and where the version that began them is known from.
    pub resumed_streams: Counter<u64>,
    /// Generations resumed at their engine.
    pub resumes: Counter<u64>,
    /// Appends to the log, by stream.
    pub appends: Counter<u64>,
    /// Bytes appended to and read from the log, by direction.
    pub log_bytes: Counter<u64>,
    /// Bytes to and from peers, by direction.
    pub peer_bytes: Counter<u64>,
    /// Heartbeats, by result.
    pub heartbeats: Counter<u64>,
    /// Changes, by verdict.
    pub changes: Counter<u64>,
    /// Requests to services with a roll-out, by whether they were sent to its version.
    pub rollout_sends: Counter<u64>,
    /// Answers of services with a roll-out, by whether they came from its version.
    pub rollout_answers: Counter<u64>,
    /// Failure domains that are evacuated.
    pub evacuated_domains: UpDownCounter<i64>,
}

impl Metrics {
    /// Creates the instruments in a new registry.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no names yet");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("holdpoint");
        let counter = |name: &'static str, text: &'static str| counter(&meter, name, text);
        Metrics {
            requests: counter("holdpoint_requests", "Requests by pipeline and outcome"),
            latency: meter
                .f64_histogram("holdpoint_latency_ms")
                .with_description("Time of requests in milliseconds")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            connects: counter("holdpoint_connects", "Connections to targets by outcome"),
            path_changes: counter("holdpoint_path_changes", "Paths to targets lost and regained"),
            relayed: counter("holdpoint_relayed", "Requests sent through peers by outcome"),
            link_bytes: counter("holdpoint_link_bytes", "Bytes on the link by kind of connection"),
            closed_unread: counter(
                "holdpoint_closed_unread",
                "Connections of callers that were closed unread by what is full",
            ),
            refused_full: counter("holdpoint_refused_full", "Requests refused by a full instance"),
            unread_wait: meter
                .f64_histogram("holdpoint_unread_wait_ms")
                .with_description("Longest wait of connections that were closed unread")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            dropped_requests: counter(
                "holdpoint_dropped_requests",
                "Requests dropped without an answer by step and who ended them",
            ),
            cut_answers: counter(
                "holdpoint_cut_answers",
                "Answers ended before they were whole by cause",
            ),
            processor_time: counter(
                "holdpoint_processor_ms",
                "Processor time of this process in milliseconds",
            ),
            timer_lateness: meter
                .f64_histogram("holdpoint_timer_lateness_ms")
                .with_description("Largest lateness of a timer in each second, in milliseconds")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            caller_connections: meter
                .u64_gauge("holdpoint_caller_connections")
                .with_description("Open connections of callers")
                .build(),
            memory: meter
                .u64_gauge("holdpoint_memory_bytes")
                .with_description("Resident memory of this process in bytes")
                .build(),
            isolated_services: meter
                .i64_up_down_counter("holdpoint_isolated_services")
                .with_description("Services that this instance does not reach")
                .build(),
            overload_pauses: counter(
                "holdpoint_overload_pauses",
                "Pauses after rejections by targets that too many would crash",
            ),
            attempts: counter("holdpoint_attempts", "Attempts by pool and end"),
            batches: counter("holdpoint_batches", "Calls for results of stages by end"),
            late_sends: counter("holdpoint_late_sends", "Late sends by what became of them"),
            overlap: meter
                .f64_histogram("holdpoint_overlap_ms")
                .with_description("Time for which two sends of a request ran, in milliseconds")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            late_send_searches: counter(
                "holdpoint_late_send_searches",
                "Searches of late sends for another target",
            ),
            placements: counter("holdpoint_placements", "Prompts by where they were placed"),
            moved_bytes: counter(
                "holdpoint_moved_bytes",
                "Bytes of stage results fetched from other failure domains",
            ),
            spills: counter("holdpoint_spills", "Requests late in their region, by outcome"),
            region_bytes: counter("holdpoint_region_bytes", "Bytes to other regions by kind"),
            trial_requests: counter("holdpoint_trial_requests", "Requests by trial and arm"),
            trial_cost: counter("holdpoint_trial_cost_ms", "Milliseconds by trial, arm and stage"),
            predicted_percent: meter
                .f64_histogram("holdpoint_predicted_percent")
                .with_description(
                    "Predicted times of stages and first events, in % of the actual times",
                )
                .with_boundaries(PREDICTED_BOUNDS_PERCENT.to_vec())
                .build(),
            items: counter("holdpoint_pieces", "Work items in calls for results of stages by end"),
            quarantined: counter("holdpoint_quarantined", "Requests that were quarantined"),
            target_limits: counter("holdpoint_target_limits", "Changes of limits of targets"),
            backoffs: counter("holdpoint_backoffs", "Times that targets asked to back off"),
            dropped_chunks: counter("holdpoint_dropped_chunks", "Repeated chunks dropped"),
            unread_answers: counter(
                "holdpoint_unread",
                "Answers aborted as their callers did not read them",
            ),
            wrong_attempts: counter("holdpoint_crossed", "Answers of other attempts dropped"),
            target_failures: counter(
                "holdpoint_target_failures",
                "Requests failed by their targets by status and the status sent to callers",
            ),
            spoiled_streams: counter(
                "holdpoint_spoiled_streams",
                "Streams left at an event that cannot be used by cause",
            ),
            resumed_streams: counter(
                "holdpoint_resumed_streams",
                "Streams that callers resumed by where their version is known from",
            ),
            resumes: counter("holdpoint_resumes", "Generations resumed at their engine"),
            appends: counter("holdpoint_appends", "Appends to the log by stream"),
            log_bytes: counter("holdpoint_log_bytes", "Bytes to and from the log"),
            peer_bytes: counter("holdpoint_peer_bytes", "Bytes to and from peers"),
            heartbeats: counter("holdpoint_heartbeats", "Heartbeats by result"),
            changes: counter("holdpoint_changes", "Changes by verdict"),
            rollout_sends: counter("holdpoint_rollout_sends", "Requests by version rolled out"),
            rollout_answers: counter("holdpoint_rollout_answers", "Answers by version rolled out"),
            evacuated_domains: meter
                .i64_up_down_counter("holdpoint_evacuated_domains")
                .with_description("Failure domains that are evacuated")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Records the predicted and the actual time of a step, in milliseconds, by the load of its service.
    pub fn record_prediction(
        &self,
        step: &str,
        load: &'static str,
        predicted_ms: f64,
        took_ms: f64,
    ) {
        let percent = 100.0 * predicted_ms / took_ms.max(1.0);
        self.predicted_percent.record(percent, &[label("step", step), label("load", load)]);
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = Vec::new();
        // Writing to a vector does not fail.
        drop(TextEncoder::new().encode(&self.registry.gather(), &mut out));
        String::from_utf8(out).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// A label with its value.
pub fn label(name: &'static str, value: impl Into<String>) -> KeyValue {
    KeyValue::new(name, value.into())
}

fn counter(meter: &Meter, name: &'static str, text: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(text).build()
}
