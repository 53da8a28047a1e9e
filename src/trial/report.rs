//! The report of a trial, as text and as JSON.

use super::Options;
use super::audit::Audit;
use super::caller::{CallRecord, Outcome};
use super::latency::AddedLatency;
use super::plan::Kind;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Input of the report.
#[derive(Debug)]
pub(super) struct Results {
    pub(super) options: Options,
    pub(super) duration: Duration,
    pub(super) appends: u64,
    pub(super) outcomes: Vec<Outcome>,
    pub(super) audit: Audit,
    pub(super) added_latency: AddedLatency,
}

/// Figures of the programs of one class.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct ClassRow {
    class: Kind,
    target_ms: u64,
    programs: u64,
    failed: u64,
    /// Programs that finished within the target.
    in_target: u64,
    p50_ms: u64,
    p95_ms: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    /// Tokens that engines still cache for ended programs.
    held_tokens: u64,
    /// Calls that ran more than once although they must not.
    effects_doubled: u64,
    /// Calls without an answer.
    answers_lost: u64,
}

/// Invariant, and how often it was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Invariant {
    name: &'static str,
    broken: u64,
    /// Number of cases checked.
    of: u64,
}

/// Result of a trial.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Report {
    seed: u64,
    programs: usize,
    took_ms: u64,
    classes: Vec<ClassRow>,
    failures: Vec<String>,
    /// Number of answered calls.
    calls: u64,
    /// Appends to the journal during the load.
    appends: u64,
    appends_per_call: f64,
    path: AddedLatency,
    invariants: Vec<Invariant>,
}

impl Report {
    pub(super) fn new(results: Results) -> Self {
        let calls = answered_calls(&results);
        let failures = results.outcomes.iter().filter_map(|outcome| {
            let failure = outcome.failure.as_ref()?;
            Some(format!("{}: {failure}", outcome.kind))
        });
        Self {
            seed: results.options.seed,
            programs: results.options.programs,
            took_ms: ms(results.duration),
            classes: Kind::ALL
                .into_iter()
                .map(|kind| class_row(&results, kind))
                .collect(),
            failures: failures.collect(),
            calls,
            appends: results.appends,
            appends_per_call: results.appends as f64 / calls.max(1) as f64,
            invariants: invariants(&results),
            path: results.added_latency,
        }
    }

    /// Whether no invariant was broken.
    pub(crate) fn invariants_hold(&self) -> bool {
        self.invariants
            .iter()
            .all(|invariant| invariant.broken == 0)
    }
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn calls(results: &Results) -> impl Iterator<Item = &CallRecord> {
    results
        .outcomes
        .iter()
        .flat_map(|outcome| &outcome.trace.calls)
}

fn count<T>(all: impl Iterator<Item = T>, predicate: impl Fn(&T) -> bool) -> u64 {
    all.filter(predicate).count() as u64
}

fn answered_calls(results: &Results) -> u64 {
    count(calls(results), |call| call.result.is_ok())
}

fn class_row(results: &Results, kind: Kind) -> ClassRow {
    let of_kind = || {
        results
            .outcomes
            .iter()
            .filter(|outcome| outcome.kind == kind)
    };
    let calls = || of_kind().flat_map(|outcome| &outcome.trace.calls);
    let mut durations = Histogram::<u64>::new(3).expect("three significant digits are supported");
    for outcome in of_kind() {
        durations
            .record(ms(outcome.duration))
            .expect("an auto-resizing histogram accepts every value");
    }
    let in_target =
        |outcome: &&Outcome| outcome.failure.is_none() && outcome.duration <= kind.target();
    let cached_tokens = |outcome: &Outcome| -> u64 {
        let programs = outcome.trace.programs.iter();
        programs
            .filter_map(|program| results.audit.cached_tokens.get(program))
            .sum()
    };
    ClassRow {
        class: kind,
        target_ms: ms(kind.target()),
        programs: of_kind().count() as u64,
        failed: count(of_kind(), |outcome| outcome.failure.is_some()),
        in_target: count(of_kind(), in_target),
        p50_ms: durations.value_at_quantile(0.5),
        p95_ms: durations.value_at_quantile(0.95),
        prompt_tokens: of_kind().map(|outcome| outcome.trace.prompt_tokens).sum(),
        cached_tokens: of_kind().map(|outcome| outcome.trace.cached_tokens).sum(),
        held_tokens: of_kind().map(cached_tokens).sum(),
        effects_doubled: count(calls(), |call| results.audit.ran_twice(call)),
        answers_lost: count(calls(), |call| call.result.is_err()),
    }
}

fn invariants(results: &Results) -> Vec<Invariant> {
    let all_calls = calls(results).count() as u64;
    let at_most_once = count(calls(results), |call| call.at_most_once);
    let broken =
        |predicate: &dyn Fn(&CallRecord) -> bool| count(calls(results), |call| predicate(call));
    let programs = results
        .outcomes
        .iter()
        .map(|outcome| outcome.trace.programs.len() as u64)
        .sum();
    let over_budget = results
        .outcomes
        .iter()
        .map(|outcome| outcome.trace.over_budget)
        .sum();
    let invariant = |name, broken, of| Invariant { name, broken, of };
    vec![
        invariant(
            "effects run twice",
            broken(&|call| results.audit.ran_twice(call)),
            at_most_once,
        ),
        invariant(
            "effects confirmed but not run",
            broken(&|call| results.audit.confirmed_but_not_run(call)),
            at_most_once,
        ),
        invariant(
            "calls refused as not run that ran",
            broken(&|call| results.audit.ran_though_refused(call)),
            at_most_once,
        ),
        invariant(
            "answers lost",
            broken(&|call| call.result.is_err()),
            all_calls,
        ),
        invariant(
            "answers that changed when read again",
            results.audit.changed_answers,
            answered_calls(results),
        ),
        invariant(
            "streams that were not the whole answer",
            broken(&|call| call.incomplete),
            all_calls,
        ),
        invariant(
            "histories mixed, lost or out of order",
            broken(&|call| call.wrong_history),
            all_calls,
        ),
        invariant("budgets passed", over_budget, programs),
        invariant(
            "ended programs that still hold memory",
            results.audit.cached_tokens.len() as u64,
            programs,
        ),
    ]
}

impl fmt::Display for ClassRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cached_percent = self.cached_tokens as f64 * 100.0 / self.prompt_tokens.max(1) as f64;
        write!(
            f,
            "{:<12} {:>8} {:>8} {:>6} {:>9} {:>8} {:>8} {:>7.1}% {:>6} {:>8} {:>6}",
            self.class.class(),
            self.target_ms,
            self.programs,
            self.failed,
            self.in_target,
            self.p50_ms,
            self.p95_ms,
            cached_percent,
            self.held_tokens,
            self.effects_doubled,
            self.answers_lost
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}, {} programs, {} calls in {:.1} s\n",
            self.seed,
            self.programs,
            self.calls,
            self.took_ms as f64 / 1000.0
        )?;
        writeln!(
            f,
            "{:<12} {:>8} {:>8} {:>6} {:>9} {:>8} {:>8} {:>8} {:>6} {:>8} {:>6}",
            "class",
            "target",
            "programs",
            "failed",
            "in target",
            "p50 ms",
            "p95 ms",
            "cached",
            "held",
            "doubled",
            "lost"
        )?;
        for row in &self.classes {
            writeln!(f, "{row}")?;
        }
        writeln!(
            f,
            "\n{} appends, {:.2} per finished call",
            self.appends, self.appends_per_call
        )?;
        writeln!(f, "{}\n", AddedLatencyLine(&self.path))?;
        for invariant in &self.invariants {
            let status = if invariant.broken == 0 {
                "holds "
            } else {
                "BROKEN"
            };
            writeln!(
                f,
                "{status} {}: {} of {}",
                invariant.name, invariant.broken, invariant.of
            )?;
        }
        for failure in &self.failures {
            writeln!(f, "failed: {failure}")?;
        }
        Ok(())
    }
}

/// Report line on the added latency.
struct AddedLatencyLine<'a>(&'a AddedLatency);

impl fmt::Display for AddedLatencyLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let added_latency = self.0;
        write!(
            f,
            "latency that a VM adds to a model call, over {} pairs: first token p50 {:.1} ms, \
             p95 {:.1} ms; end p50 {:.1} ms, p95 {:.1} ms",
            added_latency.pairs,
            added_latency.added_first_ms.p50,
            added_latency.added_first_ms.p95,
            added_latency.added_end_ms.p50,
            added_latency.added_end_ms.p95
        )
    }
}
