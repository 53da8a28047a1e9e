//! End-to-end self-test in one process: stand-ins for the platform and the backend servers, three
//! VMs on loopback, and a seeded mix of programs.

mod audit;
mod caller;
mod cluster;
mod fault;
mod latency;
mod plan;
mod report;

pub(crate) use fault::Fault;
pub(crate) use report::Report;

use crate::code::{Code, Failure};
use audit::Audit;
use caller::Caller;
use cluster::Cluster;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use plan::Plan;
use report::Results;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Worker threads of the runtime that runs the callers.
const CALLER_THREADS: usize = 2;

/// Parameters of a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Options {
    /// Seed of the random mix of programs.
    pub(crate) seed: u64,
    /// Number of programs that callers open, without sub-agents.
    pub(crate) programs: usize,
    /// Period over which the programs are opened.
    pub(crate) arrival_window: Duration,
    /// Pairs of model calls, one direct and one through a VM, that measure the added latency.
    pub(crate) latency_pairs: usize,
    /// Faults to inject after the load, to test the checks themselves.
    pub(crate) faults: Vec<Fault>,
}

/// Runs a trial and checks the invariants against the counters of the stand-ins and the callers.
///
/// # Errors
/// [`Code::Internal`] if the stand-ins or the VMs do not start. A broken invariant is not an error;
/// the report lists it.
pub(crate) fn run(options: &Options) -> Result<Report, Failure> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(CALLER_THREADS)
        .enable_all()
        .build()
        .map_err(|error| internal_error(&error))?;
    let cluster = Cluster::start().map_err(|error| internal_error(&error))?;
    let report = runtime.block_on(run_trial(options, &cluster));
    cluster.stop();
    report
}

async fn run_trial(options: &Options, cluster: &Cluster) -> Result<Report, Failure> {
    cluster.wait_until_ready().await?;
    let added_latency = latency::measure(cluster, options.latency_pairs, options.seed).await?;
    let plans = plan::draw_programs(options.seed, options.programs, options.arrival_window);
    let appends_before = cluster.journal_appends().await?;
    let started = Instant::now();
    let outcomes = run_load(cluster, plans).await;
    let duration = started.elapsed();
    let appends = cluster.journal_appends().await? - appends_before;
    for fault in &options.faults {
        fault.inject(cluster, &outcomes).await?;
    }
    let audit = Audit::collect(cluster, &outcomes).await?;
    Ok(Report::new(Results {
        options: options.clone(),
        duration,
        appends,
        outcomes,
        audit,
        added_latency,
    }))
}

async fn run_load(cluster: &Cluster, plans: Vec<Plan>) -> Vec<caller::Outcome> {
    let progress = progress_bar(plans.len());
    let caller = Arc::new(Caller::new(cluster.caller_addresses()));
    let tasks: Vec<_> = plans
        .into_iter()
        .map(|plan| {
            let (caller, progress) = (caller.clone(), progress.clone());
            tokio::spawn(async move {
                let outcome = caller.run(plan).await;
                progress.inc(1);
                outcome
            })
        })
        .collect();
    let mut outcomes = Vec::with_capacity(tasks.len());
    for task in tasks {
        outcomes.push(task.await.expect("a caller does not panic"));
    }
    progress.finish_and_clear();
    outcomes
}

/// Progress bar on standard error; hidden if that is not a terminal.
fn progress_bar(length: usize) -> ProgressBar {
    let progress = ProgressBar::with_draw_target(Some(length as u64), ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} programs finished, {elapsed}");
    if let Ok(style) = style {
        progress.set_style(style);
    }
    progress
}

fn internal_error(error: &std::io::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}
