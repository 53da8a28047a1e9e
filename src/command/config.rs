//! `config`: shows and changes the configuration on the log.

use super::client::Client;
use super::{Exit, check, paint, print_json, runtime};
use crate::code::{Code, Failure};
use crate::config::{Change, Decision, Outcome, SUPPORTED_SCHEMA, State};
use crate::id::Offset;
use crate::journal::CONFIG_STREAM;
use crate::platform::{Error, Log, LogClient};
use bytes::Bytes;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const MAX_APPEND_ATTEMPTS: u32 = 3;
/// Delay after a failed append.
const BACKOFF: Duration = Duration::from_millis(300);
/// Interval at which the VMs are asked whether a change has taken effect.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options of `config apply`.
#[derive(Debug, Clone)]
pub(crate) struct Apply {
    /// Base URL of the log service.
    pub(crate) log: String,
    /// JSON file of values by key; null removes a key.
    pub(crate) file: PathBuf,
    /// Offset printed by `config show`; `None` uses the end of the stream.
    pub(crate) base: Option<Offset>,
    /// Author of the change.
    pub(crate) by: String,
    /// Operator addresses of the VMs on which to wait until the change takes effect.
    pub(crate) wait: Vec<SocketAddr>,
    /// Timeout of the wait.
    pub(crate) wait_timeout: Duration,
    /// Print JSON.
    pub(crate) json: bool,
}

/// Prints the current values and the offset to use as base of a change.
pub(crate) fn show(log: &str, json: bool) -> Result<Exit, Failure> {
    let state = runtime()?.block_on(read(&LogClient::new(log), None))?;
    let values = current_values(&state)?;
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

/// Prints the decision on each recent change, oldest first.
pub(crate) fn history(log: &str, json: bool) -> Result<Exit, Failure> {
    let state = runtime()?.block_on(read(&LogClient::new(log), None))?;
    if json {
        print_json(&state.history())?;
    } else {
        for decision in state.history() {
            println!("{}", format_decision(decision));
        }
    }
    Ok(Exit::Success)
}

/// Publishes the values of a file that differ from the current ones.
pub(crate) fn apply(apply: &Apply) -> Result<Exit, Failure> {
    let wanted = check::load(&apply.file)?;
    if let Some(error) = check::validate(&wanted).into_iter().next() {
        return Err(error);
    }
    runtime()?.block_on(publish(apply, &wanted))
}

async fn publish(apply: &Apply, wanted: &Map<String, Value>) -> Result<Exit, Failure> {
    let log = LogClient::new(&apply.log);
    // Changes are based on the state at the operator's base offset, so that a key changed since
    // then is refused as a conflict.
    let base = read(&log, apply.base).await?;
    let mut published = BTreeSet::new();
    for change in changes(apply, &base, wanted)? {
        published.insert(append(&log, &change).await?);
    }
    let Some(last) = published.last() else {
        return report(apply, &[], None);
    };
    let after = Offset(last.0 + 1);
    let latest = read(&log, Some(after)).await?;
    let decisions = latest.history().iter();
    let decisions = decisions.filter(|decision| published.contains(&decision.offset));
    let decisions: Vec<Decision> = decisions.cloned().collect();
    let mut vms_applied = None;
    if !apply.wait.is_empty() {
        vms_applied = Some(wait(apply, after).await);
    }
    report(apply, &decisions, vms_applied)
}

/// Appends a change. Its id makes a retry after a lost reply idempotent.
async fn append(log: &LogClient, change: &Change) -> Result<Offset, Failure> {
    let entry = serde_json::to_vec(change).map_err(|error| serialization_error(&error))?;
    let entry = Bytes::from(entry);
    let mut last_error = Error(String::new());
    for _ in 0..MAX_APPEND_ATTEMPTS {
        match log.append(CONFIG_STREAM, entry.clone()).await {
            Ok(offset) => return Ok(offset),
            Err(error) => last_error = error,
        }
        sleep(BACKOFF).await;
    }
    Err(outcome_unknown(&change.key, &last_error))
}

/// The changes that turn the values of `base` into the wanted ones.
fn changes(
    apply: &Apply,
    base: &State,
    wanted: &Map<String, Value>,
) -> Result<Vec<Change>, Failure> {
    let current = current_values(base)?;
    let mut changes = Vec::new();
    for (key, value) in wanted {
        let value = with_defaults(key, value)?;
        if current.get(key).unwrap_or(&Value::Null) == &value {
            continue;
        }
        let id = format!("{:032x}", rand::random::<u128>());
        changes.push(Change {
            schema: SUPPORTED_SCHEMA,
            key: key.clone(),
            base: base.settings().get(key).map(|setting| setting.offset),
            value,
            by: apply.by.clone(),
            id: Some(id),
        });
    }
    Ok(changes)
}

/// The value with its defaults filled in, for comparison with the current one.
fn with_defaults(key: &str, value: &Value) -> Result<Value, Failure> {
    if value.is_null() {
        return Ok(Value::Null);
    }
    untagged(&crate::config::Value::check(key, value)?)
}

/// The value without its enum tag, as written in a change.
fn untagged(value: &crate::config::Value) -> Result<Value, Failure> {
    let tagged = serde_json::to_value(value).map_err(|error| serialization_error(&error))?;
    let inner = tagged.as_object().and_then(|object| object.values().next());
    Ok(inner.cloned().unwrap_or_default())
}

fn current_values(state: &State) -> Result<Map<String, Value>, Failure> {
    let settings = state.settings().iter();
    settings
        .filter_map(|(key, setting)| Some((key.clone(), setting.value.as_ref()?)))
        .map(|(key, value)| Ok((key, untagged(value)?)))
        .collect()
}

fn serialization_error(error: &serde_json::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

fn outcome_unknown(key: &str, fault: &Error) -> Failure {
    let message = format!("{key}: {fault}; check `config history` to see if it was published");
    Failure::refused(Code::LogUnavailable, message).ran(crate::code::Ran::Unknown)
}

/// Applies the stream up to its end or to `until`.
async fn read(log: &LogClient, until: Option<Offset>) -> Result<State, Failure> {
    let mut state = State::default();
    let mut next = Offset(0);
    loop {
        let page = log.read(CONFIG_STREAM, next, Duration::ZERO).await;
        let page = page.map_err(|fault| Failure::refused(Code::Unreachable, fault.to_string()))?;
        state.note_trimmed(page.first);
        next = next.max(page.first);
        for entry in page.entries {
            if until.is_some_and(|until| entry.offset >= until) {
                return check_complete(state);
            }
            next = Offset(entry.offset.0 + 1);
            state.apply(entry.offset, &entry.data);
        }
        if next >= page.next {
            return check_complete(state);
        }
    }
}

/// Fails if trimmed entries are missing, since decisions could differ from those of the VMs.
fn check_complete(state: State) -> Result<State, Failure> {
    if state.has_gap() {
        let message = "the log has trimmed the changes up to the base offset; use a newer base";
        return Err(Failure::refused(Code::HistoryGap, message));
    }
    Ok(state)
}

/// Waits until the VMs have applied the configuration up to `offset`; returns how many have.
async fn wait(apply: &Apply, offset: Offset) -> usize {
    let client = Client::new();
    let deadline = Instant::now() + apply.wait_timeout;
    loop {
        let mut applied = 0;
        for vm in &apply.wait {
            let state = client.get(*vm, "/state").await.unwrap_or_default();
            let vm_offset = state["config"]["applied"].as_u64();
            applied += usize::from(vm_offset.is_some_and(|vm_offset| vm_offset >= offset.0));
        }
        if applied == apply.wait.len() || Instant::now() > deadline {
            return applied;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn report(
    apply: &Apply,
    decisions: &[Decision],
    vms_applied: Option<usize>,
) -> Result<Exit, Failure> {
    let vms_total = apply.wait.len();
    if apply.json {
        let applied = vms_applied.map(|vms| json!({ "vms": vms, "of": vms_total }));
        print_json(&json!({ "changes": decisions, "in_force": applied }))?;
    } else {
        for decision in decisions {
            println!("{}", format_decision(decision));
        }
        if decisions.is_empty() {
            println!("nothing differs");
        }
        if let Some(vms) = vms_applied {
            println!("in force on {vms} of {vms_total} VMs");
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
        None if vms_applied.is_some_and(|vms| vms < vms_total) => Exit::Failed,
        None => Exit::Success,
    })
}

fn format_decision(decision: &Decision) -> String {
    let outcome = match &decision.outcome {
        Outcome::Accepted => paint::green("accepted"),
        Outcome::Repeated(original) => format!("duplicate of {original}"),
        Outcome::Refused(failure) => format!("{} {failure}", paint::red("refused")),
        Outcome::Checkpoint => return format!("{} checkpoint", decision.offset),
        Outcome::Deferred => "held".to_owned(),
    };
    format!(
        "{} {} by {}: {outcome}",
        decision.offset, decision.key, decision.by
    )
}
