//! Structured logs, one line of key=value pairs per event, and metrics.

use crate::intake::{Intake, observe};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Capacity of the queue of log lines for standard output.
const MAX_QUEUED_LINES: usize = 4096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes one event as a line of key=value pairs.
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        spdlog::$level!(
            "event={}{}",
            $name,
            $crate::telemetry::Pairs(&[$((stringify!($key), &$value as &dyn std::fmt::Display)),*])
        )
    };
}
pub(crate) use event;

/// Formats pairs as ` key=value`; values with special characters are quoted.
pub(crate) struct Pairs<'a>(pub(crate) &'a [(&'static str, &'a dyn fmt::Display)]);

impl fmt::Display for Pairs<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (key, value) in self.0 {
            let text = value.to_string();
            if text.is_empty() || text.contains([' ', '"', '=', '\n']) {
                write!(f, " {key}={text:?}")?;
            } else {
                write!(f, " {key}={text}")?;
            }
        }
        Ok(())
    }
}

/// Number of log lines dropped because standard output was read too slowly.
pub(crate) fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Logs events of `level` and above to standard output from a background thread.
///
/// Lines are dropped and counted while the queue is full, so that requests never block on a slow
/// reader.
pub(crate) fn log_to_stdout(level: LevelFilter) {
    let formatter = PatternFormatter::new(pattern!(
        "ts={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let output = StdStreamSink::builder().stdout().formatter(formatter);
    let pool = ThreadPool::builder()
        .capacity(MAX_QUEUED_LINES.try_into().expect("not zero"))
        .build_arc();
    let (Ok(output), Ok(pool)) = (output.build_arc(), pool) else {
        return;
    };
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc();
    let logger = sink.and_then(|sink| {
        Logger::builder()
            .sink(sink)
            .level_filter(level)
            .error_handler(|_: spdlog::Error| {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            })
            .build_arc()
    });
    if let Ok(logger) = logger {
        drop(spdlog::swap_default_logger(logger));
    }
}

/// Logs events of `level` and above to standard error.
pub(crate) fn log_to_stderr(level: LevelFilter) {
    let formatter = PatternFormatter::new(pattern!(
        "ts={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(formatter)
        .build_arc();
    let logger = sink.and_then(|sink| Logger::builder().sink(sink).level_filter(level).build_arc());
    if let Ok(logger) = logger {
        drop(spdlog::swap_default_logger(logger));
    }
}

/// Meter provider with its Prometheus exporter.
#[derive(Clone)]
pub(crate) struct Exporter {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
}

impl Exporter {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self {
            registry,
            provider: Arc::new(provider),
        }
    }

    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter("vanillatrail")
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut bytes) {
            event!(warn, "metrics_unwritten", reason = error);
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Metrics of one VM.
#[derive(Clone)]
pub(crate) struct Metrics {
    exporter: Exporter,
    /// Responses by result code.
    pub(crate) answers: Counter<u64>,
    /// Calls run by this VM as shard owner.
    pub(crate) calls: Counter<u64>,
    /// Time from the admission of a call to its final answer, in milliseconds.
    pub(crate) call_ms: Histogram<f64>,
    /// Append requests to the log.
    pub(crate) appends: Counter<u64>,
    /// Records written by the appends.
    pub(crate) records: Counter<u64>,
    /// Shards claimed by this VM.
    pub(crate) claims: Counter<u64>,
    /// Engine caches evicted after their program ended.
    pub(crate) evictions: Counter<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    pub(crate) fn new(intake: &Intake) -> Self {
        let exporter = Exporter::new();
        let meter = exporter.meter();
        observe(&meter, intake);
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            answers: counter("answers", "Requests answered, by result code"),
            calls: counter("calls", "Calls run as owner"),
            call_ms: meter
                .f64_histogram("call_ms")
                .with_description("Milliseconds from admission to final answer")
                .build(),
            appends: counter("appends", "Appends to the log"),
            records: counter("records", "Records appended"),
            claims: counter("claims", "Shards claimed"),
            evictions: counter("evictions", "Caches evicted for ended programs"),
            exporter,
        }
    }

    /// Counts a response; `code` is `ok` for a success.
    pub(crate) fn answer(&self, code: &str) {
        self.answers
            .add(1, &[KeyValue::new("code", code.to_owned())]);
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.exporter.text()
    }
}
