//! Latency model of a pool's engines, learned from finished calls.

use serde::{Deserialize, Serialize};

/// Weight of the newest call in the moving averages of the pool.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of the newest call in the moving average of one server.
const SERVER_SAMPLE_WEIGHT: f64 = 0.08;
/// Assumed intercept of the line, in milliseconds per token, until calls have been measured.
const PRIOR_TOKEN_MS: f64 = 20.0;
/// Assumed slope of the line: milliseconds per token for each call in flight.
const PRIOR_SLOPE_MS: f64 = 1.0;
/// Assumed time per uncached prompt token, in milliseconds, until calls have been measured.
const PRIOR_PREFILL_MS: f64 = 0.1;
/// Initial weight of the assumed line, in calls.
const PRIOR_WEIGHT: f64 = 20.0;
/// The assumed line enters the fit as two points: at no call and at this many calls in flight.
const PRIOR_MAX_CALLS: f64 = 32.0;
/// If engines are this many times faster or slower than assumed, the assumed line is scaled to the measured level.
const PRIOR_MISMATCH_FACTOR: f64 = 2.0;
/// Lower bounds of the fitted intercept and slope, as fractions of the mean time per token.
const MIN_LINE_FRACTIONS: (f64, f64) = (0.05, 0.0005);

/// Time per generated token as a linear function of the calls in flight, and time per prompt token of prefill.
///
/// The line is a least-squares fit with exponentially decaying weights.
///
/// ```
/// use vanillatrail::policy::latency::Model;
/// let mut model = Model::default();
/// for running in [1.0, 10.0, 20.0, 40.0].into_iter().cycle().take(4000) {
///     model.record_token_time(running, 10.0 + running, 1.0);
/// }
/// assert!((model.token_ms(30.0) - 40.0).abs() < 1.0);
/// ```
#[derive(Debug, Clone)]
pub struct Model {
    weight: f64,
    calls_sum: f64,
    time_sum: f64,
    calls_squared_sum: f64,
    product_sum: f64,
    /// Weight of the assumed line, which decays like that of old samples.
    prior_weight: f64,
    prefill_ms: f64,
    /// Mean fraction of `max_tokens` that calls generate.
    output_share: f64,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            weight: 0.0,
            calls_sum: 0.0,
            time_sum: 0.0,
            calls_squared_sum: 0.0,
            product_sum: 0.0,
            prior_weight: PRIOR_WEIGHT,
            prefill_ms: PRIOR_PREFILL_MS,
            output_share: 0.5,
        }
    }
}

impl Model {
    fn add_sample(&mut self, calls: f64, time_ms: f64, weight: f64) {
        self.weight += weight;
        self.calls_sum += weight * calls;
        self.time_sum += weight * time_ms;
        self.calls_squared_sum += weight * calls * calls;
        self.product_sum += weight * calls * time_ms;
    }

    /// Adds the time per token of a call that ran with `calls` in flight, itself included, on a server that is `ratio`
    /// times as slow as its pool.
    pub fn record_token_time(&mut self, calls: f64, time_ms: f64, ratio: f64) {
        // If the pool differs much from the assumed line, the ratio of a server to that line says nothing, and dividing
        // by it would keep the line from moving.
        let time_ms = match self.prior_mismatch() {
            Some(_) => time_ms,
            None => time_ms / ratio.max(1.0),
        };
        let decay = 1.0 - SAMPLE_WEIGHT / 4.0;
        for sum in [
            &mut self.weight,
            &mut self.calls_sum,
            &mut self.time_sum,
            &mut self.calls_squared_sum,
            &mut self.product_sum,
            &mut self.prior_weight,
        ] {
            *sum *= decay;
        }
        self.add_sample(calls, time_ms, 1.0);
    }

    /// Adds the time per uncached prompt token of a call.
    pub fn record_prefill_time(&mut self, time_ms: f64) {
        self.prefill_ms += SAMPLE_WEIGHT * (time_ms - self.prefill_ms);
    }

    /// Adds the fraction of its `max_tokens` that a call generated.
    pub fn record_output_share(&mut self, share: f64) {
        self.output_share += SAMPLE_WEIGHT * (share - self.output_share);
    }

    /// Measured time relative to the assumed line, if it differs by [`PRIOR_MISMATCH_FACTOR`] or more.
    fn prior_mismatch(&self) -> Option<f64> {
        let assumed = PRIOR_TOKEN_MS * self.weight + PRIOR_SLOPE_MS * self.calls_sum;
        let scale = self.time_sum / assumed;
        let is_near = scale < PRIOR_MISMATCH_FACTOR && scale > PRIOR_MISMATCH_FACTOR.recip();
        (assumed > 0.0 && !is_near).then_some(scale)
    }

    /// Intercept and slope of the line: the time per token without load, and the increase per call in flight.
    ///
    /// Scaling the assumed line avoids a wrong slope where engines differ much from it: few calls on a fast engine
    /// together with the assumed time of many calls would look like a steep line, the concurrency window would shrink,
    /// and no measurement at high concurrency could correct it.
    fn fit_line(&self) -> (f64, f64) {
        let scale = self.prior_mismatch().unwrap_or(1.0);
        let mut fit = self.clone();
        for calls in [0.0, PRIOR_MAX_CALLS] {
            let time_ms = scale * (PRIOR_TOKEN_MS + PRIOR_SLOPE_MS * calls);
            fit.add_sample(calls, time_ms, self.prior_weight / 2.0);
        }
        let mean = fit.time_sum / fit.weight;
        let variance = fit.weight * fit.calls_squared_sum - fit.calls_sum * fit.calls_sum;
        let slope = if variance > f64::EPSILON {
            (fit.weight * fit.product_sum - fit.calls_sum * fit.time_sum) / variance
        } else {
            0.0
        };
        let slope = slope.max(mean * MIN_LINE_FRACTIONS.1);
        let intercept = (fit.time_sum - slope * fit.calls_sum) / fit.weight;
        (intercept.max(mean * MIN_LINE_FRACTIONS.0), slope)
    }

    /// Time per token with `calls` in flight, in milliseconds.
    #[must_use]
    pub fn token_ms(&self, calls: f64) -> f64 {
        let (intercept, slope) = self.fit_line();
        intercept + slope * calls
    }

    /// Time per uncached prompt token, in milliseconds.
    #[must_use]
    pub const fn prefill_ms(&self) -> f64 {
        self.prefill_ms
    }

    /// Expected number of tokens generated by a call that is limited to `max_tokens`.
    #[must_use]
    pub fn expected_tokens(&self, max_tokens: f64) -> f64 {
        max_tokens * self.output_share
    }

    /// Number of calls in flight at which a token takes `slowdown` times as long as without load.
    #[must_use]
    pub fn calls_at_slowdown(&self, slowdown: f64) -> f64 {
        let (intercept, slope) = self.fit_line();
        (slowdown - 1.0) * intercept / slope
    }
}

/// Speed and capacity of a pool, as its dispatcher reports them with each lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Engine time per uncached prompt token, in milliseconds.
    pub prefill_ms: f64,
    /// Engine time per generated token while the concurrency window is full, in milliseconds.
    pub token_ms: f64,
    /// Engine time that the pool provides per unit of wall-clock time.
    pub capacity: f64,
}

impl Rates {
    /// Engine time of a call with `uncached` prompt tokens and `generated` tokens of output, in milliseconds.
    ///
    /// ```
    /// use vanillatrail::policy::latency::Rates;
    /// let rates = Rates { prefill_ms: 0.1, token_ms: 2.0, capacity: 10.0 };
    /// assert!((rates.work_ms(100, 50) - 110.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn work_ms(&self, uncached: u64, generated: u64) -> f64 {
        uncached as f64 * self.prefill_ms + generated as f64 * self.token_ms
    }
}

/// Moving average of a server's time per token relative to its pool; above 1 the server is slower.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown(f64);

impl Default for Slowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Slowdown {
    /// Adds a call whose time per token was `measured` where the pool's line predicts `expected`.
    ///
    /// ```
    /// use vanillatrail::policy::latency::Slowdown;
    /// let mut slowdown = Slowdown::default();
    /// (0..100).for_each(|_| slowdown.record(90.0, 30.0));
    /// assert!(slowdown.get() > 2.9);
    /// ```
    pub fn record(&mut self, measured: f64, expected: f64) {
        let sample = (measured / expected.max(0.001)).clamp(0.2, 10.0);
        self.0 += SERVER_SAMPLE_WEIGHT * (sample - self.0);
    }

    /// The current ratio; 1 until a call has been measured.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}
