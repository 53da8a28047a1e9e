//! How fast the engines of a pool are, learned from the calls that they finished.

use serde::{Deserialize, Serialize};

/// Weight of the newest call in the learned averages.
const NEWEST: f64 = 0.02;
/// Weight of the newest call in the speed of one server.
const NEWEST_OF_SERVER: f64 = 0.08;
/// Time per token of a lone call before anything has been measured, in milliseconds.
const ALONE_MS: f64 = 20.0;
/// What each further call adds before anything has been measured, in milliseconds.
const STEP_MS: f64 = 1.0;
/// Time per prompt token that is not cached, before anything has been measured, in milliseconds.
const PREFILL_MS: f64 = 0.1;
/// How strongly the values assumed at first count, in calls.
const PRIOR: f64 = 20.0;
/// Calls in flight at the far end of the assumed line.
const PRIOR_CALLS: f64 = 32.0;
/// How many times faster or slower than assumed the engines must be for the assumed line to be
/// moved to the level that was measured.
const FAR: f64 = 2.0;
/// The least time per token, and the least that a further call adds, as parts of the mean time.
const LEAST_PARTS: (f64, f64) = (0.05, 0.0005);

/// Time per token as a line over the calls in flight, and time per token of prefill.
///
/// The line is a least-squares fit whose older samples fade.
///
/// ```
/// use vanillatrail::policy::pace::Pace;
/// let mut pace = Pace::default();
/// for running in [1.0, 10.0, 20.0, 40.0].into_iter().cycle().take(4000) {
///     pace.token(running, 10.0 + running, 1.0);
/// }
/// assert!((pace.token_ms(30.0) - 40.0).abs() < 1.0);
/// ```
#[derive(Debug, Clone)]
pub struct Pace {
    weight: f64,
    running: f64,
    time: f64,
    running_squared: f64,
    product: f64,
    prior: f64,
    prefill_ms: f64,
    share: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            weight: 0.0,
            running: 0.0,
            time: 0.0,
            running_squared: 0.0,
            product: 0.0,
            prior: PRIOR,
            prefill_ms: PREFILL_MS,
            share: 0.5,
        }
    }
}

impl Pace {
    fn add(&mut self, running: f64, time: f64, weight: f64) {
        self.weight += weight;
        self.running += weight * running;
        self.time += weight * time;
        self.running_squared += weight * running * running;
        self.product += weight * running * time;
    }

    /// Takes in the time per token of a call that ran among `running` calls, on a server that is
    /// `ratio` times as slow as the line says.
    pub fn token(&mut self, running: f64, time_ms: f64, ratio: f64) {
        // Far from the assumed level a slow server can't be told from a pool that is slow, and
        // divided times would never tell the line so.
        let time_ms = match self.far_level() {
            Some(_) => time_ms,
            None => time_ms / ratio.max(1.0),
        };
        let keep = 1.0 - NEWEST / 4.0;
        for sum in [
            &mut self.weight,
            &mut self.running,
            &mut self.time,
            &mut self.running_squared,
            &mut self.product,
            &mut self.prior,
        ] {
            *sum *= keep;
        }
        self.add(running, time_ms, 1.0);
    }

    /// Takes in the time per token of prompt that was not cached.
    pub fn prefill(&mut self, time_ms: f64) {
        self.prefill_ms += NEWEST * (time_ms - self.prefill_ms);
    }

    /// Takes in how much of the most tokens allowed a call generated.
    pub fn generated(&mut self, share: f64) {
        self.share += NEWEST * (share - self.share);
    }

    /// How many times as slow as assumed the engines are, where that is far from once.
    fn far_level(&self) -> Option<f64> {
        let assumed = ALONE_MS * self.weight + STEP_MS * self.running;
        let level = self.time / assumed;
        let near = level < FAR && level > FAR.recip();
        (assumed > 0.0 && !near).then_some(level)
    }

    /// The time per token of a lone call, and what each further call adds.
    ///
    /// The assumed line bends the fit of engines that are far from it: the times of a fast engine
    /// with few calls, together with the assumed time of many, look like a time that grows steeply
    /// with the calls. The window shrinks, and with few calls in flight nothing is measured that
    /// could correct it. Moved to the measured level, the assumed line gives its shape alone.
    fn line(&self) -> (f64, f64) {
        let level = self.far_level().unwrap_or(1.0);
        let mut fit = self.clone();
        for running in [0.0, PRIOR_CALLS] {
            let time = level * (ALONE_MS + STEP_MS * running);
            fit.add(running, time, self.prior / 2.0);
        }
        let mean = fit.time / fit.weight;
        let spread = fit.weight * fit.running_squared - fit.running * fit.running;
        let step = if spread > f64::EPSILON {
            (fit.weight * fit.product - fit.running * fit.time) / spread
        } else {
            0.0
        };
        let step = step.max(mean * LEAST_PARTS.1);
        let alone = (fit.time - step * fit.running) / fit.weight;
        (alone.max(mean * LEAST_PARTS.0), step)
    }

    /// Time per token among `running` calls, in milliseconds.
    #[must_use]
    pub fn token_ms(&self, running: f64) -> f64 {
        let (alone, step) = self.line();
        alone + step * running
    }

    /// Time per token of prefill, in milliseconds.
    #[must_use]
    pub const fn prefill_ms(&self) -> f64 {
        self.prefill_ms
    }

    /// Tokens that a call is expected to generate.
    #[must_use]
    pub fn expected(&self, max_tokens: f64) -> f64 {
        max_tokens * self.share
    }

    /// Calls at which a token takes `stretch` times as long as alone.
    #[must_use]
    pub fn calls_at(&self, stretch: f64) -> f64 {
        let (alone, step) = self.line();
        (stretch - 1.0) * alone / step
    }
}

/// What a pool gives, as its dispatcher tells those that use it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Engine time of a prompt token that is not cached, in milliseconds.
    pub prefill_ms: f64,
    /// Engine time of a generated token in a full window, in milliseconds.
    pub token_ms: f64,
    /// Engine time that the pool gives in each unit of time.
    pub capacity: f64,
}

impl Rates {
    /// Engine time of a call, in milliseconds.
    ///
    /// ```
    /// use vanillatrail::policy::pace::Rates;
    /// let rates = Rates { prefill_ms: 0.1, token_ms: 2.0, capacity: 10.0 };
    /// assert!((rates.work_ms(100, 50) - 110.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn work_ms(&self, fresh: u64, generated: u64) -> f64 {
        fresh as f64 * self.prefill_ms + generated as f64 * self.token_ms
    }
}

/// The speed of one server against the others of its pool; above one it is slower.
#[derive(Debug, Clone, Copy)]
pub struct Ratio(f64);

impl Default for Ratio {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Ratio {
    /// Takes in a call that took `measured` where the pool's line says `expected`.
    ///
    /// ```
    /// use vanillatrail::policy::pace::Ratio;
    /// let mut ratio = Ratio::default();
    /// (0..100).for_each(|_| ratio.take(90.0, 30.0));
    /// assert!(ratio.get() > 2.9);
    /// ```
    pub fn take(&mut self, measured: f64, expected: f64) {
        let sample = (measured / expected.max(0.001)).clamp(0.2, 10.0);
        self.0 += NEWEST_OF_SERVER * (sample - self.0);
    }

    /// The ratio.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}
