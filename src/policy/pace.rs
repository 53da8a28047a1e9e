//! Momentary pace of the hosts of servers, and the time that a request is expected to take on each.
//!
//! Servers that share their hosts with other workloads become slower and recover within a second.
//! Averages over answers notice that too late, so the pace that a server reports is used as long as
//! it is fresh. Answers, with the reported pace divided out, give the speed of the server itself and
//! show whether its reports can be believed.

use super::dispatch::HostPace;
use super::memory::Outputs;
use std::time::Duration;
use tokio::time::Instant;

/// Age at which a report is ignored: the period with which hosts change.
pub(super) const REPORT_LIFETIME: Duration = Duration::from_millis(600);
/// A service without a report for this long is placed as one whose servers report no pace.
const REPORTING_PERIOD: Duration = Duration::from_secs(10);
/// Answers after which the expected time is used. Fewer do not determine four coefficients.
const MIN_SAMPLES: u32 = 16;
/// Bounds of a reported pace, against false reports.
const PACE_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Bounds of one sample of a server's speed, against outliers.
const SPEED_BOUNDS: (f64, f64) = (0.25, 8.0);
/// Believed pace from which a host is shown as slow to operators.
const SLOW_FACTOR: f64 = 1.5;
/// Weight of the newest answer in the speed of a server.
const SPEED_WEIGHT: f64 = 0.15;
/// Weight of the newest value in averages over a service, which has many servers.
const SERVICE_WEIGHT: f64 = 0.02;
/// Share of the fit that the newest answer replaces.
const FIT_WEIGHT: f64 = 1.0 / 512.0;
/// Ratio of the highest to the lowest pace during a run above which nothing is learned from the run: the
/// host has changed at an unknown time.
const MAX_PACE_RATIO: f64 = 1.3;
/// Reports of a server are ignored if answers deviate this much more, as a logarithm, from the time
/// expected with them than from the time expected without them.
const MAX_REPORT_ERROR: f64 = 0.15;
/// Weight of the newest answer in these deviations.
const ERROR_WEIGHT: f64 = 0.1;

/// Number of terms of an expected time, see [`Work::terms`].
const TERMS: usize = 4;
/// Kind of work of each term: the request itself, prompt tokens, or generated tokens.
const KINDS: [usize; TERMS] = [0, 1, 2, 2];

/// What a request costs a server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Work {
    /// Prompt tokens that are not cached.
    pub(super) prompt_tokens: f64,
    pub(super) output_tokens: f64,
    /// Other requests that run at the same time.
    pub(super) others: f64,
}

impl Work {
    fn terms(self) -> [f64; TERMS] {
        let tokens = self.output_tokens;
        [1.0, self.prompt_tokens, tokens, tokens * self.others]
    }
}

/// A running request, for learning from its answer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Run {
    pub(super) work: Work,
    /// Lowest and highest pace that the server reported during the run.
    paces: Option<(f64, f64)>,
    /// Whether its load was reported when the response began.
    pub(super) reported: bool,
}

impl Run {
    pub(super) fn new(now: Instant, work: Work, pace: &Pace) -> Self {
        let mut run = Self {
            work,
            ..Self::default()
        };
        run.observe(now, pace);
        run
    }

    /// Notes the latest report of the server.
    pub(super) fn observe(&mut self, now: Instant, pace: &Pace) {
        let Some((factor, freshness)) = pace.reported(now) else {
            return;
        };
        // An older report may not describe this run.
        if freshness > 0.5 {
            let (low, high) = self.paces.unwrap_or((factor, factor));
            self.paces = Some((low.min(factor), high.max(factor)));
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Report {
    at: Instant,
    factor: f64,
}

/// Pace of the host of one server, and its own speed.
#[derive(Debug)]
pub(super) struct Pace {
    report: Option<Report>,
    /// Time that it needs at the usual pace relative to the mean of the service, by kind of work.
    speeds: [f64; 3],
    /// The same over all work, with whatever pace its host had.
    plain_speed: f64,
    /// Mean deviation of answers from the time expected with, and without, the reports.
    errors: (f64, f64),
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            report: None,
            speeds: [1.0; 3],
            plain_speed: 1.0,
            errors: (0.0, 0.0),
        }
    }
}

impl Pace {
    /// The reported factor on the usual time, and how far it can be relied on, from 1 down to 0.
    fn reported(&self, now: Instant) -> Option<(f64, f64)> {
        let report = self.report?;
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let freshness = 1.0 - age / REPORT_LIFETIME.as_secs_f64();
        (freshness > 0.0).then_some((report.factor, freshness))
    }

    /// Whether its answers contradict its reports.
    pub(super) fn is_distrusted(&self) -> bool {
        self.errors.0 > self.errors.1 + MAX_REPORT_ERROR
    }

    /// Believed factor on the usual time.
    pub(super) fn factor(&self, now: Instant, profile: &Profile) -> f64 {
        let usual = profile.mean_pace;
        match self.reported(now) {
            Some((factor, freshness)) if !self.is_distrusted() => {
                usual + freshness * (factor - usual)
            }
            _ => usual,
        }
    }

    /// Expected time of a request, in milliseconds.
    pub(super) fn expected_ms(&self, now: Instant, profile: &Profile, work: Work) -> f64 {
        let costs = profile.costs(work);
        if self.is_distrusted() {
            return costs.iter().sum::<f64>() * self.plain_speed;
        }
        let own_ms: f64 = (costs.iter().zip(KINDS))
            .map(|(cost, kind)| cost * self.speeds[kind])
            .sum();
        own_ms * self.factor(now, profile)
    }

    /// Time that the server itself needs relative to the mean, by kind of work.
    pub(super) const fn speeds(&self) -> [f64; 3] {
        self.speeds
    }
}

/// What is learned from the answers of all servers of a service.
#[derive(Debug)]
pub(super) struct Profile {
    /// Weighted sums of the products of terms, and of terms and times, for a least-squares fit.
    products: [[f64; TERMS]; TERMS],
    times: [f64; TERMS],
    /// Milliseconds per unit of each term, on a server of mean speed at the usual pace.
    ms_per_unit: [f64; TERMS],
    samples: u32,
    /// Mean time of a request at the usual pace.
    mean_ms: f64,
    mean_speed: f64,
    mean_pace: f64,
    mean_work: Work,
    last_report: Option<Instant>,
    /// Reports of the pace of hosts so far.
    pub(super) reports: u64,
    pub(super) outputs: Outputs,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            products: [[0.0; TERMS]; TERMS],
            times: [0.0; TERMS],
            ms_per_unit: [0.0; TERMS],
            samples: 0,
            mean_ms: 0.0,
            mean_speed: 1.0,
            mean_pace: 1.0,
            mean_work: Work::default(),
            last_report: None,
            reports: 0,
            outputs: Outputs::default(),
        }
    }
}

impl Profile {
    /// Whether servers of the service report the pace of their hosts.
    pub(super) fn has_reports(&self, now: Instant) -> bool {
        self.last_report
            .is_some_and(|at| at + REPORTING_PERIOD > now)
    }

    /// Whether, besides, enough answers were seen to expect times.
    pub(super) fn is_on(&self, now: Instant) -> bool {
        self.samples >= MIN_SAMPLES && self.has_reports(now)
    }

    /// Mean time of a request on a server of mean speed at the usual pace, in milliseconds.
    pub(super) const fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Mean number of tokens that requests generate.
    pub(super) const fn mean_output_tokens(&self) -> f64 {
        self.mean_work.output_tokens
    }

    /// A request of mean size beside others, for the mean time that a server needs.
    pub(super) const fn mean_work(&self) -> Work {
        self.mean_work
    }

    /// Whether the host of a server is believed to be much slower than usual.
    pub(super) fn is_slow(&self, now: Instant, pace: &Pace) -> bool {
        pace.factor(now, self) > SLOW_FACTOR
    }

    /// Average of the paces that servers report.
    pub(super) const fn mean_pace(&self) -> f64 {
        self.mean_pace
    }

    fn costs(&self, work: Work) -> [f64; TERMS] {
        let mut costs = work.terms();
        for (cost, ms) in costs.iter_mut().zip(self.ms_per_unit) {
            *cost *= ms;
        }
        costs
    }

    /// Records the pace that a server reported `age` ago.
    pub(super) fn record_report(
        &mut self,
        now: Instant,
        pace: &mut Pace,
        host_pace: HostPace,
        age: Duration,
    ) {
        let at = now.checked_sub(age).unwrap_or(now);
        let factor = host_pace.factor().clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.last_report = Some(now);
        self.reports += 1;
        self.mean_pace += SERVICE_WEIGHT * (factor - self.mean_pace);
        if pace.report.is_none_or(|report| report.at <= at) {
            pace.report = Some(Report { at, factor });
        }
    }

    /// Records a successful answer. `run.work` holds what the request has turned out to cost.
    pub(super) fn record_answer(&mut self, pace: &mut Pace, run: &Run, took: Duration) {
        let took_ms = (took.as_secs_f64() * 1000.0).max(0.01);
        let terms = run.work.terms();
        let first = self.samples == 0;
        let average = |mean: &mut f64, sample: f64| {
            *mean += if first { 1.0 } else { SERVICE_WEIGHT } * (sample - *mean);
        };
        average(&mut self.mean_work.prompt_tokens, run.work.prompt_tokens);
        average(&mut self.mean_work.output_tokens, run.work.output_tokens);
        average(&mut self.mean_work.others, run.work.others);
        // Without a report of the run, the usual pace of the hosts is likely but not certain.
        let (factor, certainty) = match run.paces {
            Some((low, high)) if high > low * MAX_PACE_RATIO => return,
            Some((low, high)) => (f64::midpoint(low, high), 1.0),
            None => (self.mean_pace, 0.3),
        };
        let costs = self.costs(run.work);
        let base_ms: f64 = costs.iter().sum();
        let mut own_ms = took_ms / factor;
        if self.samples >= MIN_SAMPLES && base_ms > 0.0 {
            let bounded = |ratio: f64| ratio.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
            let weighted: f64 = (costs.iter().zip(KINDS))
                .map(|(cost, kind)| cost * pace.speeds[kind])
                .sum();
            let with_reports = (own_ms / weighted).ln().abs();
            let without_reports = (took_ms / (base_ms * pace.plain_speed)).ln().abs();
            let weight = ERROR_WEIGHT * certainty;
            pace.errors.0 += weight * (with_reports - pace.errors.0);
            pace.errors.1 += weight * (without_reports - pace.errors.1);
            pace.plain_speed +=
                SPEED_WEIGHT * certainty * (bounded(took_ms / base_ms) - pace.plain_speed);
            let sample = bounded(own_ms / base_ms);
            for (cost, kind) in costs.iter().zip(KINDS) {
                let weight = SPEED_WEIGHT * certainty * cost / base_ms;
                pace.speeds[kind] += weight * (sample - pace.speeds[kind]);
            }
            // Relative to the mean, so that the fit and the speeds cannot drift apart.
            let speed = weighted / base_ms;
            self.mean_speed += SERVICE_WEIGHT * (speed - self.mean_speed);
            let (least_ms, most_ms) = (base_ms * SPEED_BOUNDS.0, base_ms * SPEED_BOUNDS.1);
            own_ms = (own_ms * self.mean_speed / speed).clamp(least_ms, most_ms);
        }
        self.samples = self.samples.saturating_add(1);
        average(&mut self.mean_ms, own_ms);
        self.fit(terms, own_ms);
    }

    /// Adds a sample to the fit. Coefficients are kept non-negative, by coordinate descent from the
    /// previous ones.
    fn fit(&mut self, terms: [f64; TERMS], ms: f64) {
        for row in 0..TERMS {
            for column in 0..TERMS {
                let product = &mut self.products[row][column];
                *product += terms[row] * terms[column] - FIT_WEIGHT * *product;
            }
            self.times[row] += terms[row] * ms - FIT_WEIGHT * self.times[row];
        }
        for row in 0..TERMS {
            let products = &self.products[row];
            if products[row] <= 0.0 {
                continue;
            }
            let others: f64 = (0..TERMS)
                .filter(|column| *column != row)
                .map(|column| products[column] * self.ms_per_unit[column])
                .sum();
            self.ms_per_unit[row] = ((self.times[row] - others) / products[row]).max(0.0);
        }
    }
}
