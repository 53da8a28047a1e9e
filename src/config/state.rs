//! Replicated configuration state: every VM applies the same stream and accepts the same changes.

use super::value::{Snapshot, Value};
use crate::code::{Code, Failure};
use crate::id::Offset;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Newest entry schema that this build supports.
pub(crate) const SUPPORTED_SCHEMA: u32 = 1;

/// A change published by an operator, one JSON object per stream entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Schema version of the change.
    pub schema: u32,
    /// Key that the change sets, for example `class/quick`.
    pub key: String,
    /// Offset of the previous change of this key, for optimistic concurrency; absent for the
    /// first change.
    #[serde(default)]
    pub base: Option<Offset>,
    /// New value; null removes the key.
    pub value: serde_json::Value,
    /// Operator who made the change.
    pub by: String,
    /// Idempotency key: entries with the same id are one change that was published repeatedly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
}

/// The newest accepted change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setting {
    /// Offset of the change in the stream.
    pub offset: Offset,
    /// The value; `None` if the key was removed.
    pub value: Option<Value>,
    /// [`Change::id`] of the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
}

/// Snapshot of all settings, written by a VM so that the log can trim older entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Schema version of the checkpoint.
    pub schema: u32,
    /// The checkpoint includes every entry before this offset.
    pub through: Offset,
    /// Settings by key, including removed ones.
    pub settings: BTreeMap<String, Setting>,
    /// Time of writing, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Entry {
    Checkpoint(Checkpoint),
    Change(Change),
}

/// Result of applying an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Outcome {
    /// The change took effect.
    Accepted,
    /// Duplicate of the change accepted at this earlier offset.
    Repeated(Offset),
    /// The change was rejected and has no effect.
    Refused(Failure),
    /// A checkpoint; it changes no setting.
    Checkpoint,
    /// Earlier entries are missing; the entry is applied after a checkpoint covers them.
    #[serde(rename = "held")]
    Deferred,
}

/// Decision about the entry at one offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// Offset of the entry in the stream.
    pub offset: Offset,
    /// Key that the change sets; empty for a checkpoint or an unreadable entry.
    pub key: String,
    /// Operator who made the change; empty for a checkpoint or an unreadable entry.
    pub by: String,
    /// Whether the change took effect.
    #[serde(rename = "ruling")]
    pub outcome: Outcome,
}

/// Configuration state built by applying the entries of the stream in order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Removed keys stay as tombstones, so that a change with an older base still conflicts.
    settings: BTreeMap<String, Setting>,
    history: Vec<Decision>,
    /// Offset of the next entry to apply.
    applied: Offset,
    /// Time of the last checkpoint in the stream, in milliseconds since the Unix epoch.
    checkpoint_ms: Option<u64>,
    /// Entries applied since the last checkpoint.
    entries_since: u64,
    newer_schema: bool,
    #[serde(skip)]
    caught_up: bool,
    /// Set while trimmed entries are missing. Later entries are deferred, because without the
    /// missing ones the decisions could differ from those on other VMs.
    #[serde(skip)]
    gap: Option<Gap>,
}

#[derive(Debug, Clone, PartialEq)]
struct Gap {
    /// First offset that the log still has.
    first: Offset,
    deferred: Vec<(Offset, Vec<u8>)>,
}

impl State {
    /// Number of decisions kept for operators.
    const MAX_HISTORY: usize = 1000;
    /// A checkpoint is due after this many entries, regardless of its age.
    const MAX_ENTRIES_SINCE_CHECKPOINT: u64 = 1000;

    /// Offset of the next entry to apply.
    ///
    /// ```
    /// use vanillatrail::config::State;
    /// use vanillatrail::id::Offset;
    /// assert_eq!(State::default().applied(), Offset(0));
    /// ```
    #[must_use]
    pub const fn applied(&self) -> Offset {
        self.applied
    }

    /// The most recent decisions, oldest first.
    ///
    /// ```
    /// assert!(vanillatrail::config::State::default().history().is_empty());
    /// ```
    #[must_use]
    pub fn history(&self) -> &[Decision] {
        &self.history
    }

    /// The newest accepted change of each key, including removals.
    ///
    /// ```
    /// assert!(vanillatrail::config::State::default().settings().is_empty());
    /// ```
    #[must_use]
    pub const fn settings(&self) -> &BTreeMap<String, Setting> {
        &self.settings
    }

    /// Whether trimmed entries are missing that no checkpoint has covered yet.
    ///
    /// ```
    /// use vanillatrail::config::State;
    /// use vanillatrail::id::Offset;
    /// let mut state = State::default();
    /// state.note_trimmed(Offset(3));
    /// assert!(state.has_gap());
    /// ```
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Records that the stream has been read to its end.
    ///
    /// ```
    /// let mut state = vanillatrail::config::State::default();
    /// state.mark_caught_up();
    /// assert!(state.snapshot().caught_up);
    /// ```
    pub fn mark_caught_up(&mut self) {
        self.caught_up = self.gap.is_none();
    }

    /// Records that the log has trimmed all entries before `first`.
    ///
    /// ```
    /// use vanillatrail::config::State;
    /// use vanillatrail::id::Offset;
    /// let mut state = State::default();
    /// state.note_trimmed(Offset(0));
    /// assert!(!state.has_gap());
    /// ```
    pub fn note_trimmed(&mut self, first: Offset) {
        if first <= self.applied {
            return;
        }
        let deferred = self.gap.take().map_or_else(Vec::new, |gap| gap.deferred);
        self.gap = Some(Gap { first, deferred });
        self.caught_up = false;
    }

    /// Replaces this state with a peer's if the peer has applied more of the stream.
    ///
    /// Both apply the same stream by the same rules, so the later state includes the earlier one.
    ///
    /// ```
    /// use vanillatrail::config::State;
    /// let mut state = State::default();
    /// assert!(!state.adopt_newer(State::default()));
    /// ```
    pub fn adopt_newer(&mut self, other: Self) -> bool {
        if other.applied <= self.applied {
            return false;
        }
        let gap = self.gap.take();
        let caught_up = self.caught_up;
        *self = Self { caught_up, ..other };
        if let Some(gap) = gap {
            self.apply_deferred(gap);
        }
        true
    }

    /// Applies the entry at `offset`.
    ///
    /// A change is accepted only if its key has not changed since its base offset, so one of two
    /// concurrent changes wins and the other is refused. The result depends only on the order of
    /// the stream and is therefore the same on every VM.
    ///
    /// ```
    /// use vanillatrail::config::{State, Outcome};
    /// use vanillatrail::id::Offset;
    /// let mut state = State::default();
    /// let change = br#"{"schema":1,"key":"class/quick","value":{"target_ms":900},"by":"ama"}"#;
    /// assert_eq!(state.apply(Offset(0), change).outcome, Outcome::Accepted);
    /// assert_ne!(state.apply(Offset(1), change).outcome, Outcome::Accepted);
    /// ```
    pub fn apply(&mut self, offset: Offset, entry: &[u8]) -> Decision {
        let parsed = serde_json::from_slice::<Entry>(entry);
        if let Some(mut gap) = self.gap.take() {
            gap.deferred.push((offset, entry.to_vec()));
            match parsed {
                Ok(Entry::Checkpoint(checkpoint))
                    if checkpoint.schema <= SUPPORTED_SCHEMA && checkpoint.through >= gap.first =>
                {
                    self.restore(checkpoint);
                    self.apply_deferred(gap);
                }
                _ => self.gap = Some(gap),
            }
            return decision(offset, Outcome::Deferred);
        }
        let decision = self.evaluate(offset, entry, parsed);
        self.applied = Offset(offset.0 + 1);
        self.entries_since += 1;
        self.add_to_history(decision.clone());
        decision
    }

    /// Offset of the next entry to read, which is after the deferred entries.
    pub(crate) fn next_offset(&self) -> Offset {
        let after_deferred = self.gap.as_ref().map(|gap| {
            gap.deferred
                .last()
                .map_or(gap.first, |(offset, _)| Offset(offset.0 + 1))
        });
        after_deferred.unwrap_or(self.applied)
    }

    /// A checkpoint to write, if the last one is older than `age_ms` or many entries followed it.
    ///
    /// ```
    /// use vanillatrail::config::State;
    /// assert!(State::default().due_checkpoint(1_000, 60_000).is_none());
    /// ```
    #[must_use]
    pub fn due_checkpoint(&self, now_ms: u64, age_ms: u64) -> Option<Checkpoint> {
        if self.gap.is_some() || !self.caught_up || self.applied == Offset(0) {
            return None;
        }
        let is_recent = self
            .checkpoint_ms
            .is_some_and(|at| now_ms.saturating_sub(at) < age_ms);
        if is_recent && self.entries_since < Self::MAX_ENTRIES_SINCE_CHECKPOINT {
            return None;
        }
        Some(Checkpoint {
            schema: SUPPORTED_SCHEMA,
            through: self.applied,
            settings: self.settings.clone(),
            at_ms: now_ms,
        })
    }

    /// The effective configuration.
    ///
    /// ```
    /// assert!(vanillatrail::config::State::default().snapshot().classes.is_empty());
    /// ```
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot {
            applied: self.applied,
            caught_up: self.caught_up,
            newer_schema: self.newer_schema,
            ..Snapshot::default()
        };
        for (key, setting) in &self.settings {
            let name = key.split_once('/').map_or("", |(_, name)| name);
            match &setting.value {
                Some(Value::Class(class)) => {
                    if let Ok(name) = name.parse() {
                        snapshot.classes.insert(name, class.clone());
                    }
                }
                Some(Value::Pool(pool)) => {
                    snapshot.pools.insert(pool.model.clone(), pool.clone());
                }
                Some(Value::Service(service)) => {
                    if let Ok(name) = name.parse() {
                        snapshot.services.insert(name, service.clone());
                    }
                }
                Some(Value::Store(store)) => snapshot.store = Some(store.clone()),
                None => {}
            }
        }
        snapshot
    }

    fn restore(&mut self, checkpoint: Checkpoint) {
        self.settings = checkpoint.settings;
        self.applied = checkpoint.through;
        self.checkpoint_ms = Some(checkpoint.at_ms);
    }

    /// Applies the deferred entries if no earlier entry is missing.
    fn apply_deferred(&mut self, gap: Gap) {
        if self.applied < gap.first {
            self.gap = Some(gap);
            return;
        }
        for (offset, entry) in gap.deferred {
            if offset >= self.applied {
                self.apply(offset, &entry);
            }
        }
    }

    fn evaluate(
        &mut self,
        offset: Offset,
        entry: &[u8],
        parsed: Result<Entry, serde_json::Error>,
    ) -> Decision {
        let change = match parsed {
            Ok(Entry::Change(change)) => change,
            Ok(Entry::Checkpoint(checkpoint)) => {
                self.checkpoint_ms = Some(checkpoint.at_ms);
                self.entries_since = 0;
                return decision(offset, Outcome::Checkpoint);
            }
            Err(_) => {
                self.newer_schema |= has_newer_schema(entry);
                let reason = serde_json::from_slice::<Change>(entry)
                    .map_or_else(|error| error.to_string(), |_| String::new());
                let failure = Failure::refused(Code::BadConfig, reason);
                return decision(offset, Outcome::Refused(failure));
            }
        };
        let outcome = match self.check(&change) {
            Ok(ValidChange::New(value)) => {
                let setting = Setting {
                    offset,
                    value,
                    id: change.id,
                };
                self.settings.insert(change.key.clone(), setting);
                Outcome::Accepted
            }
            Ok(ValidChange::Repeated(at)) => Outcome::Repeated(at),
            Err(failure) => Outcome::Refused(failure),
        };
        Decision {
            offset,
            key: change.key,
            by: change.by,
            outcome,
        }
    }

    fn check(&mut self, change: &Change) -> Result<ValidChange, Failure> {
        if change.schema > SUPPORTED_SCHEMA {
            self.newer_schema = true;
            let message = format!(
                "schema {} is newer than the supported {SUPPORTED_SCHEMA}",
                change.schema
            );
            return Err(Failure::refused(Code::NewerSchema, message));
        }
        let newest = self.settings.get(&change.key);
        // A retry after a lost reply must neither apply twice nor conflict with the first attempt.
        if let Some(newest) = newest
            && change.id.is_some()
            && newest.id == change.id
        {
            return Ok(ValidChange::Repeated(newest.offset));
        }
        let newest = newest.map(|setting| setting.offset);
        if newest != change.base {
            let when = newest.map_or("never".to_owned(), |offset| format!("at offset {offset}"));
            let message = format!("{} was last changed {when}", change.key);
            return Err(Failure::refused(Code::ConfigConflict, message));
        }
        if change.value.is_null() {
            return Ok(ValidChange::New(None));
        }
        Value::check(&change.key, &change.value).map(|value| ValidChange::New(Some(value)))
    }

    fn add_to_history(&mut self, decision: Decision) {
        self.history.push(decision);
        if self.history.len() > Self::MAX_HISTORY {
            self.history.remove(0);
        }
    }
}

enum ValidChange {
    /// The value to set; `None` removes the key.
    New(Option<Value>),
    /// Offset of the accepted change with the same id.
    Repeated(Offset),
}

fn decision(offset: Offset, outcome: Outcome) -> Decision {
    Decision {
        offset,
        key: String::new(),
        by: String::new(),
        outcome,
    }
}

fn has_newer_schema(entry: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Value>(entry)
        .ok()
        .and_then(|value| value.get("schema")?.as_u64())
        .is_some_and(|schema| schema > u64::from(SUPPORTED_SCHEMA))
}
