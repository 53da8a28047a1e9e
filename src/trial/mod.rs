//! A trial in one process: stand-ins, three VMs on loopback, and a seeded mix of programs.

mod audit;
mod caller;
mod latency;
mod plan;
mod plant;
mod report;
mod site;

pub(crate) use plant::Plant;
pub(crate) use report::Report;

use crate::code::{Code, Failure};
use audit::Audit;
use caller::Caller;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use plan::Plan;
use report::Run;
use site::Site;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Threads that the callers share.
const CALLER_THREADS: usize = 2;

/// What a trial runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Options {
    /// The seed of the mix.
    pub(crate) seed: u64,
    /// How many programs callers open, sub-agents not counted.
    pub(crate) programs: usize,
    /// The time over which the programs are opened.
    pub(crate) spread: Duration,
    /// Pairs of calls, direct and through the path, by which the path is measured.
    pub(crate) pairs: usize,
    /// Faults to plant.
    pub(crate) plants: Vec<Plant>,
}

/// Runs a trial and counts what happened, at the stand-ins and at the callers.
///
/// # Errors
/// [`Code::Internal`] when the stand-ins or the VMs do not come up; a broken invariant is no error
/// here but stands in the report.
pub(crate) fn run(options: &Options) -> Result<Report, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(CALLER_THREADS)
        .enable_all()
        .build()
        .map_err(|error| failed(&error))?;
    let site = Site::start().map_err(|error| failed(&error))?;
    let report = runtime.block_on(measure(options, &site));
    site.stop();
    report
}

async fn measure(options: &Options, site: &Site) -> Result<Report, Failure> {
    site.ready().await?;
    let paths = latency::measure(site, options.pairs, options.seed).await?;
    let plans = plan::mix(options.seed, options.programs, options.spread);
    let before = site.journal_appends().await?;
    let started = Instant::now();
    let outcomes = load(site, plans).await;
    let took = started.elapsed();
    let appends = site.journal_appends().await? - before;
    for plant in &options.plants {
        plant.put(site, &outcomes).await?;
    }
    let audit = Audit::take(site, &outcomes).await?;
    Ok(Report::new(Run {
        options: options.clone(),
        took,
        appends,
        outcomes,
        audit,
        paths,
    }))
}

async fn load(site: &Site, plans: Vec<Plan>) -> Vec<caller::Outcome> {
    let bar = bar(plans.len());
    let caller = Arc::new(Caller::new(site.entries()));
    let tasks: Vec<_> = plans
        .into_iter()
        .map(|plan| {
            let (caller, bar) = (caller.clone(), bar.clone());
            tokio::spawn(async move {
                let outcome = caller.run(plan).await;
                bar.inc(1);
                outcome
            })
        })
        .collect();
    let mut outcomes = Vec::with_capacity(tasks.len());
    for task in tasks {
        outcomes.push(task.await.expect("a caller does not panic"));
    }
    bar.finish_and_clear();
    outcomes
}

/// A bar on standard error; it draws nothing unless that is a terminal.
fn bar(length: usize) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(Some(length as u64), ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} programs over, {elapsed}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}

fn failed(error: &std::io::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}
