//! `config`: the configuration on the log, read and judged as every VM does it.

use super::client::Client;
use super::{Exit, check, paint, print_json, runtime};
use crate::code::{Code, Failure};
use crate::config::{Change, Decision, Outcome, SUPPORTED_SCHEMA, State};
use crate::id::Offset;
use crate::journal::CONFIG;
use crate::platform::{Fault, Http, Log};
use bytes::Bytes;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often a change is appended before its outcome is left unknown.
const ATTEMPTS: u32 = 3;
/// The pause after a failed append.
const BACKOFF: Duration = Duration::from_millis(300);
/// Time between looks at the VMs.
const LOOK: Duration = Duration::from_millis(100);

/// What `config apply` publishes.
#[derive(Debug, Clone)]
pub(crate) struct Apply {
    /// Base address of the log service.
    pub(crate) log: String,
    /// A JSON object of values by key; null removes a key.
    pub(crate) file: PathBuf,
    /// The offset that `config show` gave to the operator; none takes the newest.
    pub(crate) base: Option<Offset>,
    /// Who makes the change.
    pub(crate) by: String,
    /// Operators' addresses of the VMs whose application to wait for.
    pub(crate) wait: Vec<SocketAddr>,
    /// How long to wait for them.
    pub(crate) limit: Duration,
    /// Whether the report is JSON.
    pub(crate) json: bool,
}

/// Prints the configuration in force, with the offset to base a change on.
pub(crate) fn show(log: &str, json: bool) -> Result<Exit, Failure> {
    let state = runtime()?.block_on(read(&Http::new(log), None))?;
    let values = in_force(&state)?;
    if json {
        print_json(&json!({ "applied": state.applied(), "values": values }))?;
    } else {
        println!("applied {}", state.applied());
        for (key, value) in &values {
            println!("{key} {value}");
        }
    }
    Ok(Exit::Success)
}

/// Prints the decision on each change, oldest first.
pub(crate) fn history(log: &str, json: bool) -> Result<Exit, Failure> {
    let state = runtime()?.block_on(read(&Http::new(log), None))?;
    if json {
        print_json(&state.history())?;
    } else {
        for decision in state.history() {
            println!("{}", line(decision));
        }
    }
    Ok(Exit::Success)
}

/// Publishes the values of a file that differ from those in force.
pub(crate) fn apply(apply: &Apply) -> Result<Exit, Failure> {
    let wanted = check::load(&apply.file)?;
    if let Some(fault) = check::faults(&wanted).into_iter().next() {
        return Err(fault);
    }
    runtime()?.block_on(publish(apply, &wanted))
}

async fn publish(apply: &Apply, wanted: &Map<String, Value>) -> Result<Exit, Failure> {
    let log = Http::new(&apply.log);
    // What the operator looked at: a key that was changed since makes the change refused.
    let seen = read(&log, apply.base).await?;
    let mut ours = BTreeSet::new();
    for change in changes(apply, &seen, wanted)? {
        ours.insert(append(&log, &change).await?);
    }
    let Some(last) = ours.last() else {
        return report(apply, &[], None);
    };
    let after = Offset(last.0 + 1);
    let judged = read(&log, Some(after)).await?;
    let decisions = judged.history().iter();
    let decisions = decisions.filter(|decision| ours.contains(&decision.offset));
    let decisions: Vec<Decision> = decisions.cloned().collect();
    let mut in_force = None;
    if !apply.wait.is_empty() {
        in_force = Some(wait(apply, after).await);
    }
    report(apply, &decisions, in_force)
}

/// Appends a change; its id makes it safe to append again when the reply was lost.
async fn append(log: &Http, change: &Change) -> Result<Offset, Failure> {
    let entry = serde_json::to_vec(change).map_err(|error| malformed(&error))?;
    let entry = Bytes::from(entry);
    let mut fault = Fault(String::new());
    for _ in 0..ATTEMPTS {
        match log.append(CONFIG, entry.clone()).await {
            Ok(offset) => return Ok(offset),
            Err(error) => fault = error,
        }
        sleep(BACKOFF).await;
    }
    Err(unsure(&change.key, &fault))
}

/// The changes that bring the keys of `wanted` from what was seen to what is wanted.
fn changes(
    apply: &Apply,
    seen: &State,
    wanted: &Map<String, Value>,
) -> Result<Vec<Change>, Failure> {
    let current = in_force(seen)?;
    let mut changes = Vec::new();
    for (key, value) in wanted {
        let value = full(key, value)?;
        if current.get(key).unwrap_or(&Value::Null) == &value {
            continue;
        }
        let id = format!("{:032x}", rand::random::<u128>());
        changes.push(Change {
            schema: SUPPORTED_SCHEMA,
            key: key.clone(),
            base: seen.settings().get(key).map(|setting| setting.offset),
            value,
            by: apply.by.clone(),
            id: Some(id),
        });
    }
    Ok(changes)
}

/// The value with its defaults filled in, so that it can be compared.
fn full(key: &str, value: &Value) -> Result<Value, Failure> {
    if value.is_null() {
        return Ok(Value::Null);
    }
    bare(&crate::config::Value::check(key, value)?)
}

/// The value without the name of its kind, as it stands in a change.
fn bare(value: &crate::config::Value) -> Result<Value, Failure> {
    let tagged = serde_json::to_value(value).map_err(|error| malformed(&error))?;
    let inner = tagged.as_object().and_then(|object| object.values().next());
    Ok(inner.cloned().unwrap_or_default())
}

fn in_force(state: &State) -> Result<Map<String, Value>, Failure> {
    let settings = state.settings().iter();
    settings
        .filter_map(|(key, setting)| Some((key.clone(), setting.value.as_ref()?)))
        .map(|(key, value)| Ok((key, bare(value)?)))
        .collect()
}

fn malformed(error: &serde_json::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

fn unsure(key: &str, fault: &Fault) -> Failure {
    let message = format!("{key}: {fault}; see `config history` for whether it was taken");
    Failure::refused(Code::LogUnavailable, message).ran(crate::code::Ran::Unknown)
}

/// Folds the stream up to its end, or up to `until`.
async fn read(log: &Http, until: Option<Offset>) -> Result<State, Failure> {
    let mut state = State::default();
    let mut next = Offset(0);
    loop {
        let page = log.read(CONFIG, next, Duration::ZERO).await;
        let page = page.map_err(|fault| Failure::refused(Code::Unreachable, fault.to_string()))?;
        state.note_trimmed(page.first);
        next = next.max(page.first);
        for entry in page.entries {
            if until.is_some_and(|until| entry.offset >= until) {
                return whole(state);
            }
            next = Offset(entry.offset.0 + 1);
            state.apply(entry.offset, &entry.data);
        }
        if next >= page.next {
            return whole(state);
        }
    }
}

/// A book without the changes that the log has trimmed would give other decisions than the VMs.
fn whole(state: State) -> Result<State, Failure> {
    if state.has_gap() {
        let message = "the log no longer keeps the changes up to there; use a newer base";
        return Err(Failure::refused(Code::HistoryGap, message));
    }
    Ok(state)
}

/// On how many of the VMs the configuration up to `offset` is in force, once all or the limit.
async fn wait(apply: &Apply, offset: Offset) -> usize {
    let client = Client::new();
    let until = Instant::now() + apply.limit;
    loop {
        let mut applied = 0;
        for vm in &apply.wait {
            let state = client.get(*vm, "/state").await.unwrap_or_default();
            let reached = state["config"]["applied"].as_u64();
            applied += usize::from(reached.is_some_and(|reached| reached >= offset.0));
        }
        if applied == apply.wait.len() || Instant::now() > until {
            return applied;
        }
        sleep(LOOK).await;
    }
}

fn report(apply: &Apply, decisions: &[Decision], in_force: Option<usize>) -> Result<Exit, Failure> {
    let asked = apply.wait.len();
    if apply.json {
        let waited = in_force.map(|vms| json!({ "vms": vms, "of": asked }));
        print_json(&json!({ "changes": decisions, "in_force": waited }))?;
    } else {
        for decision in decisions {
            println!("{}", line(decision));
        }
        if decisions.is_empty() {
            println!("nothing differs");
        }
        if let Some(vms) = in_force {
            println!("in force on {vms} of {asked} VMs");
        }
    }
    let refusal = decisions
        .iter()
        .find_map(|decision| match &decision.outcome {
            Outcome::Refused(failure) => Some(failure),
            _ => None,
        });
    Ok(match refusal {
        Some(failure) => Exit::from(failure),
        None if in_force.is_some_and(|vms| vms < asked) => Exit::Failed,
        None => Exit::Success,
    })
}

fn line(decision: &Decision) -> String {
    let outcome = match &decision.outcome {
        Outcome::Accepted => paint::good("accepted"),
        Outcome::Repeated(of) => format!("repeats {of}"),
        Outcome::Refused(failure) => format!("{} {failure}", paint::bad("refused")),
        Outcome::Checkpoint => return format!("{} checkpoint", decision.offset),
        Outcome::Deferred => "held".to_owned(),
    };
    format!(
        "{} {} by {}: {outcome}",
        decision.offset, decision.key, decision.by
    )
}
