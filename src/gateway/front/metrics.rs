//! Counters and histograms of the forwarded requests.

use crate::telemetry::{Exporter, dropped_log_lines};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, ObservableCounter};
use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

/// Upper bounds of the histograms of times, in milliseconds: a token takes 3 ms, an objective is a
/// few hundred, and callers wait some seconds.
const BOUNDS_MS: [f64; 12] = [
    1.0, 3.0, 10.0, 30.0, 60.0, 100.0, 180.0, 250.0, 400.0, 800.0, 2000.0, 5000.0,
];

/// Teams with a label of their own; with one for each team a collector would keep a series for each team and VM.
const TEAMS: usize = 16;
/// The label of all others.
const REST: &str = "(rest)";

/// The metrics of one VM.
pub(crate) struct Metrics {
    exporter: Exporter,
    /// New connections to backend servers.
    pub(crate) connections: Counter<u64>,
    /// Attempts at backend servers that brought no answer, by reason.
    attempts_failed: Counter<u64>,
    /// Answers to callers, by kind of route and result.
    answers: Counter<u64>,
    /// Requests refused by the limits of teams, by team.
    over_limit: Counter<u64>,
    /// The teams that have a label of their own.
    labelled: RefCell<HashSet<String>>,
    /// Time from a request's head to its last byte, by kind of route.
    total_ms: Histogram<f64>,
    /// Time that requests waited for a place at a backend server.
    waited_ms: Histogram<f64>,
    /// Time that turns waited for leave to generate tokens.
    allowed_ms: Histogram<f64>,
    /// Time that requests waited for the VM that counts their team.
    limited_ms: Histogram<f64>,
    /// Time that the ends of answers waited for their turns to be kept, by where they are kept.
    kept_ms: Histogram<f64>,
    /// Time that turns waited for what was said before.
    history_ms: Histogram<f64>,
    /// How old the directory is.
    directory_age_ms: Gauge<f64>,
    _dropped: ObservableCounter<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let exporter = Exporter::new();
        let meter = exporter.meter();
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let histogram = |name: &'static str, about: &'static str| {
            let histogram = meter.f64_histogram(name).with_description(about);
            histogram.with_boundaries(BOUNDS_MS.to_vec()).build()
        };
        Self {
            connections: counter("backend_connections", "New connections to backend servers"),
            attempts_failed: counter("attempts_failed", "Attempts without an answer, by reason"),
            answers: counter("gateway_answers", "Answers to callers, by kind and result"),
            over_limit: counter(
                "limit_refusals",
                "Requests refused by the limits of teams, by team",
            ),
            labelled: RefCell::default(),
            total_ms: histogram("request_ms", "Milliseconds from the head to the last byte"),
            waited_ms: histogram("waited_ms", "Milliseconds of waiting for a backend server"),
            allowed_ms: histogram("allowed_ms", "Milliseconds of waiting for leave for tokens"),
            limited_ms: histogram(
                "limited_ms",
                "Milliseconds of waiting for the count of a team",
            ),
            kept_ms: histogram("turn_kept_ms", "Milliseconds of keeping a turn, by place"),
            history_ms: histogram("history_ms", "Milliseconds of waiting for earlier turns"),
            directory_age_ms: meter
                .f64_gauge("directory_age_ms")
                .with_description("Milliseconds since the store said what stands in the directory")
                .build(),
            _dropped: meter
                .u64_observable_counter("log_lines_dropped")
                .with_description("Log lines dropped, since nobody read them fast enough")
                .with_callback(|observer| observer.observe(dropped_log_lines(), &[]))
                .build(),
            exporter,
        }
    }

    /// An attempt brought no answer.
    pub(crate) fn attempt_failed(&self, reason: &'static str) {
        self.attempts_failed
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// A request is over.
    pub(crate) fn answered(&self, kind: &'static str, result: String, total: Duration) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.answers.add(1, &labels);
        self.total_ms.record(millis(total), &labels[..1]);
    }

    /// A request waited for a place at a backend server.
    pub(crate) fn waited(&self, time: Duration) {
        self.waited_ms.record(millis(time), &[]);
    }

    /// A turn waited for leave to generate tokens.
    pub(crate) fn allowed(&self, time: Duration) {
        self.allowed_ms.record(millis(time), &[]);
    }

    /// The limit of a team refused a request.
    pub(crate) fn over_limit(&self, team: &str) {
        let mut labelled = self.labelled.borrow_mut();
        if labelled.len() < TEAMS {
            labelled.insert(team.to_owned());
        }
        let label = if labelled.contains(team) { team } else { REST };
        self.over_limit
            .add(1, &[KeyValue::new("team", label.to_owned())]);
    }

    /// A request waited for the VM that counts its team.
    pub(crate) fn limited(&self, time: Duration) {
        self.limited_ms.record(millis(time), &[]);
    }

    /// The end of an answer waited for its turn to be kept.
    pub(crate) fn kept(&self, time: Duration, place: &'static str) {
        self.kept_ms
            .record(millis(time), &[KeyValue::new("place", place)]);
    }

    /// A turn waited for what was said before.
    pub(crate) fn assembled(&self, time: Duration) {
        self.history_ms.record(millis(time), &[]);
    }

    /// The directory is so old.
    pub(crate) fn directory_age(&self, age: Duration) {
        self.directory_age_ms.record(millis(age), &[]);
    }

    /// The text that is served to operators.
    pub(crate) fn text(&self) -> String {
        self.exporter.text()
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
