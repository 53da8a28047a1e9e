//! Faults injected directly at the stand-ins, to test that the checks detect them.

use super::caller::Outcome;
use super::cluster::Cluster;
use crate::code::{Code, Failure};
use serde_json::json;

/// Fault that is injected after the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A confirmed service call is executed a second time.
    DuplicateEffect,
    /// An engine caches the history of a program that has ended.
    HeldMemory,
}

impl Fault {
    pub(super) async fn inject(
        self,
        cluster: &Cluster,
        outcomes: &[Outcome],
    ) -> Result<(), Failure> {
        match self {
            Self::DuplicateEffect => repeat_effect(cluster, outcomes).await,
            Self::HeldMemory => cache_ended_program(cluster, outcomes).await,
        }
    }
}

async fn repeat_effect(cluster: &Cluster, outcomes: &[Outcome]) -> Result<(), Failure> {
    let mut calls = outcomes.iter().flat_map(|outcome| &outcome.trace.calls);
    let confirmed = calls.find(|call| call.at_most_once && call.result.is_ok());
    let confirmed = confirmed.ok_or_else(|| no_candidate("no confirmed call to execute again"))?;
    let key = format!("{}/{}", confirmed.program, confirmed.number);
    cluster
        .post(cluster.service, "/operations/confirm", &key, &json!({}))
        .await
}

async fn cache_ended_program(cluster: &Cluster, outcomes: &[Outcome]) -> Result<(), Failure> {
    let completed = outcomes.iter().find(|outcome| outcome.failure.is_none());
    let program = completed.and_then(|outcome| outcome.trace.programs.first());
    let program =
        program.ok_or_else(|| no_candidate("no ended program whose history could be cached"))?;
    let body = json!({
        "messages": [{ "role": "user", "content": "planted" }],
        "max_tokens": 1,
        "prompt_cache_key": program,
    });
    cluster
        .post(cluster.engines[0], "/v1/chat/completions", program, &body)
        .await
}

fn no_candidate(message: &str) -> Failure {
    Failure::refused(Code::Internal, message)
}
