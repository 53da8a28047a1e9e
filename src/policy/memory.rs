//! Memory of engines: the tokens that their runs hold until they end.
//!
//! An engine whose memory is full preempts runs, which then start anew. A run is therefore placed
//! where its prompt and its expected output fit beside those of the other runs.

use super::dispatch::{Demand, Request};
use super::prefix::Part;
use crate::id::Permit;
use std::collections::HashMap;

/// Classes of requests whose output is learned. Cleared when full.
const MAX_CLASSES: usize = 1024;
/// Weight of the newest answer in what a class generates.
const OUTPUT_WEIGHT: f64 = 0.05;
/// Bounds of one sample of the ratio of the output to the hint.
const RATIO_BOUNDS: (f64, f64) = (0.1, 10.0);
/// Share of the runs that are to stay within the expected output and its margin. Memory is summed
/// over the runs of an engine, of which only a few exceed it together.
const COVERED_SHARE: f64 = 0.95;
/// Margin before anything was learned: hints are right at the median but often far off.
const INITIAL_MARGIN: f64 = 2.0;
/// Change of the margin by a run that exceeds it.
const MARGIN_STEP: f64 = 0.1;

/// Output of the requests of one class.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Ratio of the output to the hint of the caller.
    ratio: f64,
    /// Tokens, for requests without a hint; none before the first answer.
    mean: Option<f64>,
    /// Factor on the expected output that [`COVERED_SHARE`] of the runs stay within.
    margin: f64,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            mean: None,
            margin: INITIAL_MARGIN,
        }
    }
}

impl Class {
    fn expected(&self, demand: &Demand) -> Option<f64> {
        let expected = match demand.output_tokens {
            0 => self.mean,
            hint => Some(f64::from(hint) * self.ratio),
        };
        expected.map(|expected| limited(expected, demand))
    }
}

fn limited(tokens: f64, demand: &Demand) -> f64 {
    match demand.max_output_tokens {
        0 => tokens,
        most => tokens.min(f64::from(most)),
    }
}

/// What requests are expected to generate, learned by class.
#[derive(Debug, Default)]
pub(super) struct Outputs {
    classes: HashMap<u64, Class>,
}

impl Outputs {
    /// Tokens that a request is expected to generate; none if nothing is known of it.
    pub(super) fn expected(&self, demand: &Demand) -> Option<f64> {
        let class = self.classes.get(&demand.class);
        class.copied().unwrap_or_default().expected(demand)
    }

    /// Tokens that a request rarely exceeds.
    pub(super) fn likely_most(&self, demand: &Demand) -> f64 {
        let class = self.classes.get(&demand.class).copied();
        let class = class.unwrap_or_default();
        let most = f64::from(demand.max_output_tokens);
        let expected = class.expected(demand);
        expected.map_or(most, |expected| limited(expected * class.margin, demand))
    }

    /// Records what a request has generated.
    pub(super) fn record(&mut self, demand: &Demand, tokens: f64) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&demand.class) {
            self.classes.clear();
        }
        let class = self.classes.entry(demand.class).or_default();
        if let Some(expected) = class.expected(demand) {
            let exceeds = tokens > limited(expected * class.margin, demand);
            let step = if exceeds {
                COVERED_SHARE
            } else {
                COVERED_SHARE - 1.0
            };
            class.margin = (class.margin + MARGIN_STEP * step).max(1.0);
        }
        if demand.output_tokens > 0 {
            let ratio = tokens / f64::from(demand.output_tokens);
            let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            class.ratio += OUTPUT_WEIGHT * (ratio - class.ratio);
        }
        let mean = class.mean.get_or_insert(tokens);
        *mean += OUTPUT_WEIGHT * (tokens - *mean);
    }
}

#[derive(Debug)]
struct Held {
    /// Tokens of its own, until its end.
    own: f64,
    /// Identities of its prompt parts.
    parts: Vec<u64>,
}

/// Memory of one engine that the runs of this dispatcher hold.
#[derive(Debug, Default)]
pub(super) struct Memory {
    runs: HashMap<Permit, Held>,
    /// Length of each prompt part, and the runs that have it: the engine holds it once.
    parts: HashMap<u64, (u32, u32)>,
    tokens: f64,
}

impl Memory {
    /// Tokens that its runs hold at their end.
    pub(super) const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Tokens that the engine would hold in addition for a run.
    pub(super) fn needed(&self, prompt: &[Part], own: f64) -> f64 {
        let new_parts = prompt
            .iter()
            .filter(|part| !self.parts.contains_key(&part.id));
        own + new_parts.map(|part| f64::from(part.tokens)).sum::<f64>()
    }

    /// Adds a run with `own` tokens beyond the parts of its prompt.
    pub(super) fn begin(&mut self, permit: Permit, prompt: &[Part], own: f64) {
        self.tokens += own;
        for part in prompt {
            let (tokens, runs) = self.parts.entry(part.id).or_insert((part.tokens, 0));
            // Counted once, also if the prompt lists the part twice.
            if *runs == 0 {
                self.tokens += f64::from(*tokens);
            }
            *runs += 1;
        }
        let parts = prompt.iter().map(|part| part.id).collect();
        self.runs.insert(permit, Held { own, parts });
    }

    /// Removes a run.
    pub(super) fn end(&mut self, permit: Permit) {
        let Some(held) = self.runs.remove(&permit) else {
            return;
        };
        self.tokens -= held.own;
        for id in held.parts {
            let Some((tokens, runs)) = self.parts.get_mut(&id) else {
                continue;
            };
            *runs -= 1;
            if *runs == 0 {
                self.tokens -= f64::from(*tokens);
                self.parts.remove(&id);
            }
        }
    }

    /// Mean tokens of a run; none without runs.
    pub(super) fn mean(&self) -> Option<f64> {
        (!self.runs.is_empty()).then(|| self.tokens / self.runs.len() as f64)
    }
}

/// Tokens that a request needs, the same on each server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    /// Whether the request tells what it is expected to use.
    pub(super) is_known: bool,
    /// Tokens of the prompt.
    pub(super) prompt: f64,
    /// Tokens of the prompt beyond its known parts.
    pub(super) beyond_parts: f64,
    /// Tokens that it is expected to generate; none if unknown.
    pub(super) output: Option<f64>,
    /// Tokens that it rarely exceeds.
    pub(super) likely_most: f64,
}

impl Need {
    pub(super) fn of(request: &Request, outputs: &Outputs) -> Self {
        let in_parts: u64 = (request.prompt.iter())
            .map(|part| u64::from(part.tokens))
            .sum();
        let demand = request.demand.as_ref();
        let prompt = demand.map_or(0, |demand| u64::from(demand.prompt_tokens));
        Self {
            is_known: demand.is_some(),
            prompt: prompt.max(in_parts) as f64,
            beyond_parts: prompt.saturating_sub(in_parts) as f64,
            output: demand.and_then(|demand| outputs.expected(demand)),
            likely_most: demand.map_or(0.0, |demand| outputs.likely_most(demand)),
        }
    }

    /// Tokens that only the run itself holds until its end.
    pub(super) const fn own(&self) -> f64 {
        self.beyond_parts + self.likely_most
    }
}
