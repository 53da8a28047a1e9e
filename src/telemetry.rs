//! Logs, one line of key=value pairs for each event, and metrics.

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

/// Lines that may wait for standard output. At the usual 200 bytes a line they take 1 MB.
const LINES: usize = 4096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

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

/// Pairs in the form ` key=value`, with quotes where a value holds a space.
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

/// How many lines were dropped, since nobody read standard output fast enough.
pub(crate) fn dropped_log_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sends events of `level` and above to standard output, from a thread of its own.
///
/// A pipe that nobody reads fills up; a request must not wait for it, so lines that find the ring
/// full are dropped and counted.
pub(crate) fn log_to_stdout(level: LevelFilter) {
    let formatter = PatternFormatter::new(pattern!(
        "ts={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let output = StdStreamSink::builder().stdout().formatter(formatter);
    let pool = ThreadPool::builder()
        .capacity(LINES.try_into().expect("not zero"))
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
                DROPPED.fetch_add(1, Ordering::Relaxed);
            })
            .build_arc()
    });
    if let Ok(logger) = logger {
        drop(spdlog::swap_default_logger(logger));
    }
}

/// Sends events of `level` and above to standard error.
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

/// Where instruments are registered, and what gives their text.
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
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self {
            registry,
            provider: Arc::new(provider),
        }
    }

    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter("vanillatrail")
    }

    /// The text for `/metrics`.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut bytes) {
            event!(warn, "metrics_unwritten", reason = error);
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// The metrics of one VM.
#[derive(Clone)]
pub(crate) struct Metrics {
    exporter: Exporter,
    /// Requests answered, by result code.
    pub(crate) answers: Counter<u64>,
    /// Calls that ran here as owner.
    pub(crate) calls: Counter<u64>,
    /// Time from a call's admission to its final answer, in milliseconds.
    pub(crate) call_ms: Histogram<f64>,
    /// Appends to the log.
    pub(crate) appends: Counter<u64>,
    /// Records in those appends.
    pub(crate) records: Counter<u64>,
    /// Shards claimed.
    pub(crate) claims: Counter<u64>,
    /// Caches evicted for ended programs.
    pub(crate) evictions: Counter<u64>,
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

    /// Counts an answer under `code`, `ok` for a success.
    pub(crate) fn answer(&self, code: &str) {
        self.answers
            .add(1, &[KeyValue::new("code", code.to_owned())]);
    }

    /// The text for `/metrics`.
    pub(crate) fn text(&self) -> String {
        self.exporter.text()
    }
}
