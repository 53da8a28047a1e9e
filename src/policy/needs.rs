//! What programs of a class need of the servers of a service, learned from programs that have ended.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest program, or pause, in an average.
const EWMA_WEIGHT: f64 = 0.05;
/// Deviations above the mean pause after which a program counts as ended.
const PAUSE_DEVIATIONS: f64 = 4.0;
/// Shortest such time; below it, the spread of a few samples is not trusted.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Step of the share of the target in which one in ten programs ends. A step down is nine times as
/// large, so that the steps balance at that share.
const FAST_SHARE_STEP: f64 = 0.002;
/// Programs of a class that must have ended before its averages are used. The averages are plain means until then.
const MIN_SAMPLES: u32 = 20;
/// Classes are routes; cleared when full.
const MAX_CLASSES: usize = 1000;

/// Programs of one class.
#[derive(Debug, Default)]
pub(super) struct Need {
    samples: u32,
    /// Slots in use by one program.
    slots: f64,
    /// Time in which one in ten programs ends, as a fraction of its target.
    fast_share: f64,
    target_ms: f64,
    requests: f64,
    pauses: u32,
    /// Time between two requests of a program, where none of it is open, and its mean deviation.
    pause_ms: f64,
    pause_deviation_ms: f64,
}

/// A program that has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    pub(super) slots: f64,
    pub(super) duration_ms: f64,
    pub(super) target_ms: f64,
    pub(super) requests: u32,
}

fn average(mean: &mut f64, samples: u32, sample: f64) {
    let weight = EWMA_WEIGHT.max(1.0 / f64::from(samples.max(1)));
    *mean += weight * (sample - *mean);
}

impl Need {
    pub(super) fn record(&mut self, sample: Sample) {
        self.samples = self.samples.saturating_add(1);
        average(&mut self.slots, self.samples, sample.slots);
        average(&mut self.target_ms, self.samples, sample.target_ms);
        let share = sample.duration_ms / sample.target_ms.max(1.0);
        if self.samples == 1 {
            self.fast_share = share.min(1.0);
        }
        let step = if share < self.fast_share {
            -9.0 * FAST_SHARE_STEP
        } else {
            FAST_SHARE_STEP
        };
        // Without the bound, programs far faster than their target would make it negative.
        self.fast_share = (self.fast_share + step).max(0.0);
        average(&mut self.requests, self.samples, f64::from(sample.requests));
    }

    pub(super) fn record_pause(&mut self, pause: Duration) {
        let pause_ms = pause.as_secs_f64() * 1000.0;
        self.pauses = self.pauses.saturating_add(1);
        average(&mut self.pause_ms, self.pauses, pause_ms);
        let deviation_ms = (pause_ms - self.pause_ms).abs();
        average(&mut self.pause_deviation_ms, self.pauses, deviation_ms);
    }

    /// Pause after which a program counts as ended; none before enough were seen.
    pub(super) fn longest_pause(&self) -> Option<Duration> {
        let pause_ms = self.pause_ms + PAUSE_DEVIATIONS * self.pause_deviation_ms;
        let pause = Duration::from_secs_f64(pause_ms / 1000.0).max(MIN_PAUSE);
        (self.pauses >= MIN_SAMPLES).then_some(pause)
    }

    pub(super) const fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    pub(super) fn slots(&self) -> Option<f64> {
        self.is_known().then_some(self.slots)
    }

    /// Shortest time in which a program with this target is expected to end once it has made so many requests,
    /// including the one at hand.
    pub(super) fn remaining(&self, target_ms: f64, requests: u32) -> Option<Duration> {
        let expected = (self.requests * target_ms / self.target_ms.max(1.0)).max(1.0);
        let share = 1.0 - f64::from(requests.saturating_sub(1)) / expected;
        // A negative time can't be converted, and would end the task that serves the request.
        let remaining_ms = (target_ms * self.fast_share * share.max(1.0 / expected)).max(0.0);
        self.is_known()
            .then(|| Duration::from_secs_f64(remaining_ms / 1000.0))
    }
}

/// The needs of all classes of a service.
#[derive(Debug, Default)]
pub(super) struct Needs(HashMap<u64, Need>);

impl Needs {
    pub(super) fn get(&self, class: u64) -> Option<&Need> {
        self.0.get(&class)
    }

    /// Slots of one program, by class, of the classes that are known.
    pub(super) fn slots(&self) -> impl Iterator<Item = (u64, f64)> {
        let classes = self.0.iter();
        classes.filter_map(|(class, need)| Some((*class, need.slots()?)))
    }

    /// The fewest slots that a program of any known class needs.
    pub(super) fn fewest_slots(&self) -> Option<f64> {
        self.slots().map(|(_, slots)| slots).reduce(f64::min)
    }

    pub(super) fn of(&mut self, class: u64) -> &mut Need {
        if self.0.len() >= MAX_CLASSES && !self.0.contains_key(&class) {
            self.0.clear();
        }
        self.0.entry(class).or_default()
    }
}
