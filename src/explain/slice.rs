//! What happened in each slice of time.

use super::line::Line;
use chrono::{DateTime, NaiveDateTime};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Slices that are kept: a day in pieces of nine seconds.
const SLICES: usize = 10_000;
/// Events that are told of requests; all others tell what a VM believes.
const OF_REQUESTS: [&str; 6] = [
    "request_ended",
    "request_refused",
    "attempt_failed",
    "turn_counted",
    "turn_kept",
    "stream_resumed",
];
/// The digits of a histogram that count.
const DIGITS: u8 = 2;

/// One measure of the requests of a slice, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Times {
    /// The median.
    pub p50: u64,
    /// Nine of ten are no longer.
    pub p90: u64,
    /// 99 of 100 are no longer.
    pub p99: u64,
}

impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.p50, self.p90, self.p99)
    }
}

/// One slice of time.
#[derive(Debug)]
struct Slice {
    good: u64,
    results: BTreeMap<String, u64>,
    beliefs: BTreeMap<String, u64>,
    total: Histogram<u32>,
    allowed: Histogram<u32>,
    waited: Histogram<u32>,
    kept: Histogram<u32>,
}

impl Default for Slice {
    fn default() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the number of digits is allowed");
        Self {
            good: 0,
            results: BTreeMap::new(),
            beliefs: BTreeMap::new(),
            total: histogram(),
            allowed: histogram(),
            waited: histogram(),
            kept: histogram(),
        }
    }
}

/// What is told of a slice.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// When it began.
    pub begin: NaiveDateTime,
    /// Requests that ended well. Beyond 40 a second of a VM they are logged in part only.
    pub good: u64,
    /// Requests that ended otherwise, by result.
    pub results: BTreeMap<String, u64>,
    /// Changes of what VMs believe, by event.
    pub beliefs: BTreeMap<String, u64>,
    /// From the head of a request to its last byte.
    pub total: Times,
    /// Waiting for leave to generate tokens.
    pub allowed: Times,
    /// Waiting for a place at a backend server.
    pub waited: Times,
    /// Waiting for a turn to be kept.
    pub kept: Times,
}

/// All slices of some logs.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::explain::{Line, Report};
/// let mut report = Report::new(Duration::from_secs(2));
/// let text = "ts=2026-12-03T02:01:25.000 event=request_ended id=a result=200 total_ms=40";
/// report.add(&Line::parse(text).unwrap());
/// let slices = report.summaries();
/// assert_eq!((slices[0].good, slices[0].total.p50), (1, 40));
/// ```
#[derive(Debug)]
pub struct Report {
    width: Duration,
    slices: BTreeMap<i64, Slice>,
    left_out: u64,
}

impl Report {
    /// An empty report whose slices last for `width`.
    #[must_use]
    pub fn new(width: Duration) -> Self {
        Self {
            width: width.max(Duration::from_millis(1)),
            slices: BTreeMap::new(),
            left_out: 0,
        }
    }

    /// Takes in a line. Beyond the bound on slices, lines of new ones are counted only.
    pub fn add(&mut self, line: &Line<'_>) {
        let width_ms = i64::try_from(self.width.as_millis()).unwrap_or(i64::MAX);
        let begin = line.time.and_utc().timestamp_millis().div_euclid(width_ms);
        if self.slices.len() >= SLICES && !self.slices.contains_key(&begin) {
            self.left_out += 1;
            return;
        }
        self.slices.entry(begin).or_default().add(line);
    }

    /// Lines that were left out, since there were too many slices.
    #[must_use]
    pub const fn left_out(&self) -> u64 {
        self.left_out
    }

    /// What happened in each slice, in the order of time.
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
            if !OF_REQUESTS.contains(&event) {
                *self.beliefs.entry(event.to_owned()).or_default() += 1;
            }
            return;
        }
        let result = line.get("result").unwrap_or("unknown");
        if result.starts_with('2') {
            self.good += 1;
        } else {
            *self.results.entry(result.to_owned()).or_default() += 1;
        }
        for (histogram, key) in [
            (&mut self.total, "total_ms"),
            (&mut self.allowed, "allowed_ms"),
            (&mut self.waited, "waited_ms"),
            (&mut self.kept, "kept_ms"),
        ] {
            histogram.saturating_record(line.millis(key));
        }
    }

    fn summary(&self, begin: NaiveDateTime) -> Summary {
        Summary {
            begin,
            good: self.good,
            results: self.results.clone(),
            beliefs: self.beliefs.clone(),
            total: times(&self.total),
            allowed: times(&self.allowed),
            waited: times(&self.waited),
            kept: times(&self.kept),
        }
    }
}

fn times(histogram: &Histogram<u32>) -> Times {
    Times {
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
    }
}
