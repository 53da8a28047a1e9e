//! What must always hold, counted at the stand-ins and by asking every answer again.

use super::caller::{Outcome, Seen};
use super::site::Site;
use crate::code::{Failure, Ran};
use futures::StreamExt;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long evictions may take after the last program has ended.
const EVICTION: Duration = Duration::from_secs(10);
/// Time between looks at what the engines hold.
const LOOK: Duration = Duration::from_millis(200);
/// Answers that are asked again at a time.
const READERS: usize = 16;

/// Counts by program.
#[derive(Debug, Clone, Default)]
pub(super) struct Audit {
    /// Tokens that the engines hold, by program, after the time for evictions.
    pub(super) held: BTreeMap<String, u64>,
    /// Effects by call that must not be repeated, `PROGRAM/CALL`.
    effects: BTreeMap<String, u64>,
    /// Answers that differ when they are asked for again.
    pub(super) changed: u64,
}

impl Audit {
    /// Counts once the load is over.
    pub(super) async fn take(site: &Site, outcomes: &[Outcome]) -> Result<Self, Failure> {
        let changed = changed(site, outcomes).await;
        let held = held(site).await?;
        let counters = site.get(site.service, "/counters").await?;
        let effects = numbers(&counters["effects"]);
        Ok(Self {
            held,
            effects,
            changed,
        })
    }

    fn effects(&self, seen: &Seen) -> u64 {
        let key = format!("{}/{}", seen.program, seen.call);
        self.effects.get(&key).copied().unwrap_or(0)
    }

    /// Whether an effect that must not be repeated took place more than once.
    pub(super) fn doubled(&self, seen: &Seen) -> bool {
        seen.once && self.effects(seen) > 1
    }

    /// Whether a confirmed effect did not take place.
    pub(super) fn unfounded(&self, seen: &Seen) -> bool {
        seen.once && seen.ended.is_ok() && self.effects(seen) == 0
    }

    /// Whether a call that was refused as not run did run.
    pub(super) fn ran_though_refused(&self, seen: &Seen) -> bool {
        let refused = matches!(&seen.ended, Err(failure) if failure.ran == Ran::No);
        seen.once && refused && self.effects(seen) > 0
    }
}

fn numbers(object: &Value) -> BTreeMap<String, u64> {
    let pairs = object.as_object().into_iter().flatten();
    pairs
        .filter_map(|(key, count)| Some((key.clone(), count.as_u64()?)))
        .collect()
}

/// Asks every answer again, at any VM, and counts those that differ.
async fn changed(site: &Site, outcomes: &[Outcome]) -> u64 {
    let calls = outcomes.iter().flat_map(|outcome| &outcome.trace.calls);
    let entries = site.entries();
    let answered = calls.enumerate().filter_map(|(index, seen)| {
        let answer = seen.ended.as_ref().ok()?;
        Some((entries[index % entries.len()], seen, answer))
    });
    let again = futures::stream::iter(answered).map(|(entry, seen, answer)| async move {
        let path = format!("/v1/programs/{}/calls/{}", seen.program, seen.call);
        let read = site.get(entry, &path).await;
        u64::from(read.as_ref() != Ok(answer))
    });
    again
        .buffer_unordered(READERS)
        .fold(0, |sum, differs| async move { sum + differs })
        .await
}

/// What the engines hold once nothing is left, or once the time for evictions is over.
async fn held(site: &Site) -> Result<BTreeMap<String, u64>, Failure> {
    let until = Instant::now() + EVICTION;
    loop {
        let mut held = BTreeMap::new();
        for engine in &site.engines {
            let counters = site.get(*engine, "/counters").await?;
            for (program, tokens) in numbers(&counters["held"]) {
                *held.entry(program).or_default() += tokens;
            }
        }
        if held.is_empty() || Instant::now() > until {
            return Ok(held);
        }
        sleep(LOOK).await;
    }
}
