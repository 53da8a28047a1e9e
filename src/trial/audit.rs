//! Data to check the invariants: counters of the stand-ins, and every answer read again.

use super::caller::{CallRecord, Outcome};
use super::cluster::Cluster;
use crate::code::{Failure, Ran};
use futures::StreamExt;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Limit on the time for cache evictions after the last program has ended.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Limit on concurrent reads of the answer check.
const MAX_CONCURRENT_READS: usize = 16;

/// What the stand-ins counted, and the answers that changed.
#[derive(Debug, Clone, Default)]
pub(super) struct Audit {
    /// Tokens still cached at the engines after [`EVICTION_TIMEOUT`], by program.
    pub(super) cached_tokens: BTreeMap<String, u64>,
    /// Number of executions of each service call, by `PROGRAM/CALL`.
    executions: BTreeMap<String, u64>,
    /// Number of answers that differ when they are read again.
    pub(super) changed_answers: u64,
}

impl Audit {
    /// Collects the data once the load is over.
    pub(super) async fn collect(cluster: &Cluster, outcomes: &[Outcome]) -> Result<Self, Failure> {
        let changed_answers = changed_answers(cluster, outcomes).await;
        let cached_tokens = cached_tokens(cluster).await?;
        let counters = cluster.get(cluster.service, "/counters").await?;
        let executions = count_map(&counters["effects"]);
        Ok(Self {
            cached_tokens,
            executions,
            changed_answers,
        })
    }

    fn executions(&self, call: &CallRecord) -> u64 {
        let key = format!("{}/{}", call.program, call.number);
        self.executions.get(&key).copied().unwrap_or(0)
    }

    /// Whether a call that must run at most once ran more than once.
    pub(super) fn ran_twice(&self, call: &CallRecord) -> bool {
        call.at_most_once && self.executions(call) > 1
    }

    /// Whether a call was confirmed but never ran.
    pub(super) fn confirmed_but_not_run(&self, call: &CallRecord) -> bool {
        call.at_most_once && call.result.is_ok() && self.executions(call) == 0
    }

    /// Whether a call ran although it was refused as not run.
    pub(super) fn ran_though_refused(&self, call: &CallRecord) -> bool {
        let refused = matches!(&call.result, Err(failure) if failure.ran == Ran::No);
        call.at_most_once && refused && self.executions(call) > 0
    }
}

fn count_map(object: &Value) -> BTreeMap<String, u64> {
    let pairs = object.as_object().into_iter().flatten();
    pairs
        .filter_map(|(key, count)| Some((key.clone(), count.as_u64()?)))
        .collect()
}

/// Reads every answer again from one of the VMs and counts those that differ.
async fn changed_answers(cluster: &Cluster, outcomes: &[Outcome]) -> u64 {
    let calls = outcomes.iter().flat_map(|outcome| &outcome.trace.calls);
    let addresses = cluster.caller_addresses();
    let answered = calls.enumerate().filter_map(|(index, call)| {
        let answer = call.result.as_ref().ok()?;
        Some((addresses[index % addresses.len()], call, answer))
    });
    let comparisons = futures::stream::iter(answered).map(|(address, call, answer)| async move {
        let path = format!("/v1/programs/{}/calls/{}", call.program, call.number);
        let reread = cluster.get(address, &path).await;
        u64::from(reread.as_ref() != Ok(answer))
    });
    comparisons
        .buffer_unordered(MAX_CONCURRENT_READS)
        .fold(0, |sum, differs| async move { sum + differs })
        .await
}

/// Tokens cached at the engines by program; waits until there are none or the timeout passes.
async fn cached_tokens(cluster: &Cluster) -> Result<BTreeMap<String, u64>, Failure> {
    let deadline = Instant::now() + EVICTION_TIMEOUT;
    loop {
        let mut cached_tokens = BTreeMap::new();
        for engine in &cluster.engines {
            let counters = cluster.get(*engine, "/counters").await?;
            for (program, tokens) in count_map(&counters["held"]) {
                *cached_tokens.entry(program).or_default() += tokens;
            }
        }
        if cached_tokens.is_empty() || Instant::now() > deadline {
            return Ok(cached_tokens);
        }
        sleep(POLL_INTERVAL).await;
    }
}
