//! Request and event statistics per time slice.

use super::line::Line;
use chrono::{DateTime, NaiveDateTime};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Limit on memory for logs of long periods.
const MAX_SLICES: usize = 10_000;
/// Events about single requests; all others report a state change of a VM.
const REQUEST_EVENTS: [&str; 6] = [
    "request_ended",
    "request_refused",
    "attempt_failed",
    "turn_counted",
    "turn_kept",
    "stream_resumed",
];
const SIGNIFICANT_DIGITS: u8 = 2;

/// Percentiles of a duration, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// 50th percentile (median).
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.p50, self.p90, self.p99)
    }
}

#[derive(Debug)]
struct Slice {
    succeeded: u64,
    results: BTreeMap<String, u64>,
    state_changes: BTreeMap<String, u64>,
    total: Histogram<u32>,
    token_wait: Histogram<u32>,
    slot_wait: Histogram<u32>,
    turn_save: Histogram<u32>,
}

impl Default for Slice {
    fn default() -> Self {
        let histogram = || {
            Histogram::new(SIGNIFICANT_DIGITS).expect("histograms support two significant digits")
        };
        Self {
            succeeded: 0,
            results: BTreeMap::new(),
            state_changes: BTreeMap::new(),
            total: histogram(),
            token_wait: histogram(),
            slot_wait: histogram(),
            turn_save: histogram(),
        }
    }
}

/// Statistics of one time slice.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Start of the slice.
    pub begin: NaiveDateTime,
    /// Requests with a 2xx result. VMs log only a sample of them under high load.
    #[serde(rename = "good")]
    pub succeeded: u64,
    /// Other requests, by HTTP status or result code.
    pub results: BTreeMap<String, u64>,
    /// State changes of VMs, by event name.
    #[serde(rename = "beliefs")]
    pub state_changes: BTreeMap<String, u64>,
    /// Time from the request head to the last byte of the response.
    pub total: Percentiles,
    /// Time waiting for the token grant.
    #[serde(rename = "allowed")]
    pub token_wait: Percentiles,
    /// Time waiting for a slot at a backend server.
    #[serde(rename = "waited")]
    pub slot_wait: Percentiles,
    /// Time waiting for the turn to be saved.
    #[serde(rename = "kept")]
    pub turn_save: Percentiles,
}

/// Statistics of log lines by time slice.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::explain::{Line, Report};
/// let mut report = Report::new(Duration::from_secs(2));
/// let text = "ts=2026-12-03T02:01:25.000 event=request_ended id=a result=200 total_ms=40";
/// report.add(&Line::parse(text).unwrap());
/// let slices = report.summaries();
/// assert_eq!((slices[0].succeeded, slices[0].total.p50), (1, 40));
/// ```
#[derive(Debug)]
pub struct Report {
    width: Duration,
    slices: BTreeMap<i64, Slice>,
    dropped_lines: u64,
}

impl Report {
    /// An empty report with slices of `width`.
    #[must_use]
    pub fn new(width: Duration) -> Self {
        Self {
            width: width.max(Duration::from_millis(1)),
            slices: BTreeMap::new(),
            dropped_lines: 0,
        }
    }

    /// Adds a line, or drops it if it would start a slice beyond the limit.
    pub fn add(&mut self, line: &Line<'_>) {
        let width_ms = i64::try_from(self.width.as_millis()).unwrap_or(i64::MAX);
        let begin = line.time.and_utc().timestamp_millis().div_euclid(width_ms);
        if self.slices.len() >= MAX_SLICES && !self.slices.contains_key(&begin) {
            self.dropped_lines += 1;
            return;
        }
        self.slices.entry(begin).or_default().add(line);
    }

    /// Number of lines dropped because of the limit on slices.
    #[must_use]
    pub const fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// Statistics of each slice, in chronological order.
    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        let width_ms = i64::try_from(self.width.as_millis()).unwrap_or(i64::MAX);
        let slices = self.slices.iter();
        let slices = slices.filter_map(|(begin, slice)| {
            let begin = DateTime::from_timestamp_millis(begin.checked_mul(width_ms)?)?;
            Some(slice.summary(begin.naive_utc()))
        });
        slices.collect()
    }
}

impl Slice {
    fn add(&mut self, line: &Line<'_>) {
        let event = line.event();
        if event != "request_ended" {
            if !REQUEST_EVENTS.contains(&event) {
                *self.state_changes.entry(event.to_owned()).or_default() += 1;
            }
            return;
        }
        let result = line.get("result").unwrap_or("unknown");
        if result.starts_with('2') {
            self.succeeded += 1;
        } else {
            *self.results.entry(result.to_owned()).or_default() += 1;
        }
        for (histogram, key) in [
            (&mut self.total, "total_ms"),
            (&mut self.token_wait, "allowed_ms"),
            (&mut self.slot_wait, "waited_ms"),
            (&mut self.turn_save, "kept_ms"),
        ] {
            histogram.saturating_record(line.millis(key));
        }
    }

    fn summary(&self, begin: NaiveDateTime) -> Summary {
        Summary {
            begin,
            succeeded: self.succeeded,
            results: self.results.clone(),
            state_changes: self.state_changes.clone(),
            total: percentiles(&self.total),
            token_wait: percentiles(&self.token_wait),
            slot_wait: percentiles(&self.slot_wait),
            turn_save: percentiles(&self.turn_save),
        }
    }
}

fn percentiles(histogram: &Histogram<u32>) -> Percentiles {
    Percentiles {
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
    }
}
