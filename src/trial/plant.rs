//! Faults planted behind the scheduler's back, to see that the checks find them.

use super::caller::Outcome;
use super::site::Site;
use crate::code::{Code, Failure};
use serde_json::json;

/// What is planted once the load is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Plant {
    /// A confirmed effect takes place a second time.
    DoubledEffect,
    /// An engine holds memory for a program that has ended.
    HeldMemory,
}

impl Plant {
    pub(super) async fn put(self, site: &Site, outcomes: &[Outcome]) -> Result<(), Failure> {
        match self {
            Self::DoubledEffect => double(site, outcomes).await,
            Self::HeldMemory => hold(site, outcomes).await,
        }
    }
}

async fn double(site: &Site, outcomes: &[Outcome]) -> Result<(), Failure> {
    let mut calls = outcomes.iter().flat_map(|outcome| &outcome.trace.calls);
    let confirmed = calls.find(|seen| seen.once && seen.ended.is_ok());
    let confirmed = confirmed.ok_or_else(|| nothing("no confirmed effect to double"))?;
    let key = format!("{}/{}", confirmed.program, confirmed.call);
    site.post(site.service, "/operations/confirm", &key, &json!({}))
        .await
}

async fn hold(site: &Site, outcomes: &[Outcome]) -> Result<(), Failure> {
    let ended = outcomes.iter().find(|outcome| outcome.failure.is_none());
    let program = ended.and_then(|outcome| outcome.trace.programs.first());
    let program = program.ok_or_else(|| nothing("no ended program to hold memory for"))?;
    let body = json!({
        "messages": [{ "role": "user", "content": "planted" }],
        "max_tokens": 1,
        "prompt_cache_key": program,
    });
    site.post(site.engines[0], "/v1/chat/completions", program, &body)
        .await
}

fn nothing(message: &str) -> Failure {
    Failure::refused(Code::Internal, message)
}
