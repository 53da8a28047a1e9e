//! The report of a trial, for a person and for a machine.

use super::Options;
use super::audit::Audit;
use super::caller::{Outcome, Seen};
use super::latency::Paths;
use super::plan::Kind;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// What was counted.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) options: Options,
    pub(super) took: Duration,
    pub(super) appends: u64,
    pub(super) outcomes: Vec<Outcome>,
    pub(super) audit: Audit,
    pub(super) paths: Paths,
}

/// The programs of one class.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct Row {
    class: Kind,
    target_ms: u64,
    programs: u64,
    failed: u64,
    in_target: u64,
    p50_ms: u64,
    p95_ms: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    held_tokens: u64,
    effects_doubled: u64,
    answers_lost: u64,
}

/// Something that must always hold, and how often it did not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Invariant {
    name: &'static str,
    broken: u64,
    of: u64,
}

/// The report of a trial.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Report {
    seed: u64,
    programs: usize,
    took_ms: u64,
    classes: Vec<Row>,
    failures: Vec<String>,
    calls: u64,
    appends: u64,
    appends_per_call: f64,
    path: Paths,
    invariants: Vec<Invariant>,
}

impl Report {
    pub(super) fn new(run: Run) -> Self {
        let calls = answered(&run);
        let failures = run.outcomes.iter().filter_map(|outcome| {
            let failure = outcome.failure.as_ref()?;
            Some(format!("{}: {failure}", outcome.kind))
        });
        Self {
            seed: run.options.seed,
            programs: run.options.programs,
            took_ms: ms(run.took),
            classes: Kind::ALL.into_iter().map(|kind| row(&run, kind)).collect(),
            failures: failures.collect(),
            calls,
            appends: run.appends,
            appends_per_call: run.appends as f64 / calls.max(1) as f64,
            invariants: invariants(&run),
            path: run.paths,
        }
    }

    /// Whether everything held that must always hold.
    pub(crate) fn holds(&self) -> bool {
        self.invariants
            .iter()
            .all(|invariant| invariant.broken == 0)
    }
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn calls(run: &Run) -> impl Iterator<Item = &Seen> {
    run.outcomes.iter().flat_map(|outcome| &outcome.trace.calls)
}

fn count<T>(all: impl Iterator<Item = T>, counts: impl Fn(&T) -> bool) -> u64 {
    all.filter(counts).count() as u64
}

fn answered(run: &Run) -> u64 {
    count(calls(run), |seen| seen.ended.is_ok())
}

fn row(run: &Run, kind: Kind) -> Row {
    let of_kind = || run.outcomes.iter().filter(|outcome| outcome.kind == kind);
    let calls = || of_kind().flat_map(|outcome| &outcome.trace.calls);
    let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
    for outcome in of_kind() {
        times.record(ms(outcome.took)).expect("the histogram grows");
    }
    let in_target = |outcome: &&Outcome| outcome.failure.is_none() && outcome.took <= kind.target();
    let held = |outcome: &Outcome| -> u64 {
        let programs = outcome.trace.programs.iter();
        programs
            .filter_map(|program| run.audit.held.get(program))
            .sum()
    };
    Row {
        class: kind,
        target_ms: ms(kind.target()),
        programs: of_kind().count() as u64,
        failed: count(of_kind(), |outcome| outcome.failure.is_some()),
        in_target: count(of_kind(), in_target),
        p50_ms: times.value_at_quantile(0.5),
        p95_ms: times.value_at_quantile(0.95),
        prompt_tokens: of_kind().map(|outcome| outcome.trace.prompt_tokens).sum(),
        cached_tokens: of_kind().map(|outcome| outcome.trace.cached_tokens).sum(),
        held_tokens: of_kind().map(held).sum(),
        effects_doubled: count(calls(), |seen| run.audit.doubled(seen)),
        answers_lost: count(calls(), |seen| seen.ended.is_err()),
    }
}

fn invariants(run: &Run) -> Vec<Invariant> {
    let made = calls(run).count() as u64;
    let once = count(calls(run), |seen| seen.once);
    let broken = |breaks: &dyn Fn(&Seen) -> bool| count(calls(run), |seen| breaks(seen));
    let programs = run
        .outcomes
        .iter()
        .map(|outcome| outcome.trace.programs.len() as u64)
        .sum();
    let overspent = run
        .outcomes
        .iter()
        .map(|outcome| outcome.trace.overspent)
        .sum();
    let invariant = |name, broken, of| Invariant { name, broken, of };
    vec![
        invariant(
            "effects run twice",
            broken(&|seen| run.audit.doubled(seen)),
            once,
        ),
        invariant(
            "effects confirmed but not run",
            broken(&|seen| run.audit.unfounded(seen)),
            once,
        ),
        invariant(
            "calls refused as not run that ran",
            broken(&|seen| run.audit.ran_though_refused(seen)),
            once,
        ),
        invariant("answers lost", broken(&|seen| seen.ended.is_err()), made),
        invariant(
            "answers that changed when read again",
            run.audit.changed,
            answered(run),
        ),
        invariant(
            "streams that were not the whole answer",
            broken(&|seen| seen.incomplete),
            made,
        ),
        invariant(
            "histories mixed, lost or out of order",
            broken(&|seen| seen.mixed),
            made,
        ),
        invariant("budgets passed", overspent, programs),
        invariant(
            "ended programs that still hold memory",
            run.audit.held.len() as u64,
            programs,
        ),
    ]
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = self.cached_tokens as f64 * 100.0 / self.prompt_tokens.max(1) as f64;
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
            share,
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
        writeln!(f, "{}\n", Added(&self.path))?;
        for invariant in &self.invariants {
            let verdict = if invariant.broken == 0 {
                "holds "
            } else {
                "BROKEN"
            };
            writeln!(
                f,
                "{verdict} {}: {} of {}",
                invariant.name, invariant.broken, invariant.of
            )?;
        }
        for failure in &self.failures {
            writeln!(f, "failed: {failure}")?;
        }
        Ok(())
    }
}

/// The line on what the path adds.
struct Added<'a>(&'a Paths);

impl fmt::Display for Added<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let paths = self.0;
        write!(
            f,
            "the path adds to a model call, over {} pairs: first token p50 {:.1} ms, p95 {:.1} ms; \
             end p50 {:.1} ms, p95 {:.1} ms",
            paths.pairs,
            paths.added_first_ms.p50,
            paths.added_first_ms.p95,
            paths.added_end_ms.p50,
            paths.added_end_ms.p95
        )
    }
}
