//! The verdict on each configuration change, computed alike by every reader of the stream.

use super::value::{Snapshot, Value};
use crate::code::{Code, Failure};
use crate::id::Offset;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The schema of entries that this build knows.
pub(crate) const SCHEMA: u32 = 1;

/// A change as an operator publishes it: one JSON object per entry of the stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The schema it was written for.
    pub schema: u32,
    /// The key it sets.
    pub key: String,
    /// The offset of the change of this key that it is based on; absent for a first one.
    #[serde(default)]
    pub base: Option<Offset>,
    /// The value, or null to remove the key.
    pub value: serde_json::Value,
    /// Who made it.
    pub by: String,
    /// Tells one change that was published twice from two changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
}

/// The newest accepted change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setting {
    /// Where the change stands.
    pub offset: Offset,
    /// The value; none for a key that was removed.
    pub value: Option<Value>,
    /// The id of the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
}

/// All settings before one offset, written by a VM so that older entries may be trimmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The schema it was written for.
    pub schema: u32,
    /// Every entry before this offset is taken in.
    pub through: Offset,
    /// The settings by key, removed ones too.
    pub settings: BTreeMap<String, Setting>,
    /// When it was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Entry {
    Checkpoint(Checkpoint),
    Change(Change),
}

/// What became of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Ruling {
    /// The change is in force.
    Accepted,
    /// The change stands earlier in the stream too, where it was accepted.
    Repeated(Offset),
    /// The change is not in force and never will be.
    Refused(Failure),
    /// A checkpoint, which changes nothing.
    Checkpoint,
    /// Entries before this one are missing; it is judged once a checkpoint makes up for them.
    Held,
}

/// The verdict on the entry at one offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Verdict {
    /// Where the entry stands.
    pub offset: Offset,
    /// The key that it sets; empty when it can't be read.
    pub key: String,
    /// Who made it.
    pub by: String,
    /// What became of it.
    pub ruling: Ruling,
}

/// The configuration, folded from the stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Book {
    // The offset of a removal stays, so that a change based on an older one loses against it.
    settings: BTreeMap<String, Setting>,
    history: Vec<Verdict>,
    applied: Offset,
    checkpoint_ms: Option<u64>,
    entries_since: u64,
    newer_schema: bool,
    #[serde(skip)]
    caught_up: bool,
    // The log has trimmed entries that this reader has not seen: what follows is held back, as a
    // verdict without them could differ from that of the other VMs.
    #[serde(skip)]
    gap: Option<Gap>,
}

#[derive(Debug, Clone, PartialEq)]
struct Gap {
    first: Offset,
    held: Vec<(Offset, Vec<u8>)>,
}

impl Book {
    /// Verdicts kept for operators.
    const HISTORY: usize = 1000;
    /// Entries after which a checkpoint is due, however young the last one is.
    const ENTRIES: u64 = 1000;

    /// Every entry before this offset has been taken in.
    ///
    /// ```
    /// use vanillatrail::config::Book;
    /// use vanillatrail::id::Offset;
    /// assert_eq!(Book::default().applied(), Offset(0));
    /// ```
    #[must_use]
    pub const fn applied(&self) -> Offset {
        self.applied
    }

    /// The newest verdicts, oldest first.
    ///
    /// ```
    /// assert!(vanillatrail::config::Book::default().history().is_empty());
    /// ```
    #[must_use]
    pub fn history(&self) -> &[Verdict] {
        &self.history
    }

    /// The newest accepted change of each key.
    ///
    /// ```
    /// assert!(vanillatrail::config::Book::default().settings().is_empty());
    /// ```
    #[must_use]
    pub const fn settings(&self) -> &BTreeMap<String, Setting> {
        &self.settings
    }

    /// Whether entries are missing that no checkpoint has made up for yet.
    ///
    /// ```
    /// use vanillatrail::config::Book;
    /// use vanillatrail::id::Offset;
    /// let mut book = Book::default();
    /// book.trimmed(Offset(3));
    /// assert!(book.has_gap());
    /// ```
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Notes that the stream has been read to its end.
    ///
    /// ```
    /// let mut book = vanillatrail::config::Book::default();
    /// book.caught_up();
    /// assert!(book.snapshot().caught_up);
    /// ```
    pub fn caught_up(&mut self) {
        self.caught_up = self.gap.is_none();
    }

    /// Notes that the log keeps nothing before `first`.
    ///
    /// ```
    /// use vanillatrail::config::Book;
    /// use vanillatrail::id::Offset;
    /// let mut book = Book::default();
    /// book.trimmed(Offset(0));
    /// assert!(!book.has_gap());
    /// ```
    pub fn trimmed(&mut self, first: Offset) {
        if first <= self.applied {
            return;
        }
        let held = self.gap.take().map_or_else(Vec::new, |gap| gap.held);
        self.gap = Some(Gap { first, held });
        self.caught_up = false;
    }

    /// Takes the place of this book by a peer's, if that has seen more of the stream.
    ///
    /// Both are folds of the same stream by the same rules, so the longer one contains the other.
    ///
    /// ```
    /// use vanillatrail::config::Book;
    /// let mut book = Book::default();
    /// assert!(!book.adopt(Book::default()));
    /// ```
    pub fn adopt(&mut self, other: Self) -> bool {
        if other.applied <= self.applied {
            return false;
        }
        let gap = self.gap.take();
        let caught_up = self.caught_up;
        *self = Self { caught_up, ..other };
        if let Some(gap) = gap {
            self.bridge(gap);
        }
        true
    }

    /// Takes in the entry at `offset` and judges it.
    ///
    /// A change counts only if its key has not been changed since the change it is based on, so
    /// of two operators who race one wins and the other is told. Only the order of the stream
    /// decides: every VM comes to the same verdict.
    ///
    /// ```
    /// use vanillatrail::config::{Book, Ruling};
    /// use vanillatrail::id::Offset;
    /// let mut book = Book::default();
    /// let change = br#"{"schema":1,"key":"class/quick","value":{"target_ms":900},"by":"ama"}"#;
    /// assert_eq!(book.take(Offset(0), change).ruling, Ruling::Accepted);
    /// assert_ne!(book.take(Offset(1), change).ruling, Ruling::Accepted);
    /// ```
    pub fn take(&mut self, offset: Offset, entry: &[u8]) -> Verdict {
        let parsed = serde_json::from_slice::<Entry>(entry);
        if let Some(mut gap) = self.gap.take() {
            gap.held.push((offset, entry.to_vec()));
            match parsed {
                Ok(Entry::Checkpoint(checkpoint))
                    if checkpoint.schema <= SCHEMA && checkpoint.through >= gap.first =>
                {
                    self.restore(checkpoint);
                    self.bridge(gap);
                }
                _ => self.gap = Some(gap),
            }
            return verdict(offset, Ruling::Held);
        }
        let verdict = self.judge(offset, entry, parsed);
        self.applied = Offset(offset.0 + 1);
        self.entries_since += 1;
        self.note(verdict.clone());
        verdict
    }

    /// Where to read on.
    pub(crate) fn read_from(&self) -> Offset {
        let held = self.gap.as_ref().map(|gap| {
            gap.held
                .last()
                .map_or(gap.first, |(offset, _)| Offset(offset.0 + 1))
        });
        held.unwrap_or(self.applied)
    }

    /// A checkpoint of all settings, if the newest is older than `age_ms` or has many entries
    /// after it.
    ///
    /// ```
    /// use vanillatrail::config::Book;
    /// assert!(Book::default().checkpoint_due(1_000, 60_000).is_none());
    /// ```
    #[must_use]
    pub fn checkpoint_due(&self, now_ms: u64, age_ms: u64) -> Option<Checkpoint> {
        if self.gap.is_some() || !self.caught_up || self.applied == Offset(0) {
            return None;
        }
        let fresh = self
            .checkpoint_ms
            .is_some_and(|at| now_ms.saturating_sub(at) < age_ms);
        if fresh && self.entries_since < Self::ENTRIES {
            return None;
        }
        Some(Checkpoint {
            schema: SCHEMA,
            through: self.applied,
            settings: self.settings.clone(),
            at_ms: now_ms,
        })
    }

    /// The configuration in force.
    ///
    /// ```
    /// assert!(vanillatrail::config::Book::default().snapshot().classes.is_empty());
    /// ```
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let mut fresh = Snapshot {
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
                        fresh.classes.insert(name, class.clone());
                    }
                }
                Some(Value::Pool(pool)) => {
                    fresh.pools.insert(pool.model.clone(), pool.clone());
                }
                Some(Value::Service(service)) => {
                    if let Ok(name) = name.parse() {
                        fresh.services.insert(name, service.clone());
                    }
                }
                Some(Value::Store(store)) => fresh.store = Some(store.clone()),
                None => {}
            }
        }
        fresh
    }

    fn restore(&mut self, checkpoint: Checkpoint) {
        self.settings = checkpoint.settings;
        self.applied = checkpoint.through;
        self.checkpoint_ms = Some(checkpoint.at_ms);
    }

    /// Judges what was held back, if nothing before it is missing any more.
    fn bridge(&mut self, gap: Gap) {
        if self.applied < gap.first {
            self.gap = Some(gap);
            return;
        }
        for (offset, entry) in gap.held {
            if offset >= self.applied {
                self.take(offset, &entry);
            }
        }
    }

    fn judge(
        &mut self,
        offset: Offset,
        entry: &[u8],
        parsed: Result<Entry, serde_json::Error>,
    ) -> Verdict {
        let change = match parsed {
            Ok(Entry::Change(change)) => change,
            Ok(Entry::Checkpoint(checkpoint)) => {
                self.checkpoint_ms = Some(checkpoint.at_ms);
                self.entries_since = 0;
                return verdict(offset, Ruling::Checkpoint);
            }
            Err(_) => {
                self.newer_schema |= newer(entry);
                let reason = serde_json::from_slice::<Change>(entry)
                    .map_or_else(|error| error.to_string(), |_| String::new());
                let failure = Failure::refused(Code::BadConfig, reason);
                return verdict(offset, Ruling::Refused(failure));
            }
        };
        let ruling = match self.check(&change) {
            Ok(Checked::New(value)) => {
                let setting = Setting {
                    offset,
                    value,
                    id: change.id,
                };
                self.settings.insert(change.key.clone(), setting);
                Ruling::Accepted
            }
            Ok(Checked::Repeated(at)) => Ruling::Repeated(at),
            Err(failure) => Ruling::Refused(failure),
        };
        Verdict {
            offset,
            key: change.key,
            by: change.by,
            ruling,
        }
    }

    fn check(&mut self, change: &Change) -> Result<Checked, Failure> {
        if change.schema > SCHEMA {
            self.newer_schema = true;
            let message = format!("schema {} is newer than {SCHEMA}", change.schema);
            return Err(Failure::refused(Code::NewerSchema, message));
        }
        let newest = self.settings.get(&change.key);
        // An operator whose reply was lost publishes again; the copy must neither win a second
        // time nor be told that it lost against itself.
        if let Some(newest) = newest
            && change.id.is_some()
            && newest.id == change.id
        {
            return Ok(Checked::Repeated(newest.offset));
        }
        let newest = newest.map(|setting| setting.offset);
        if newest != change.base {
            let place = newest.map_or("never".to_owned(), |offset| format!("at offset {offset}"));
            let message = format!("{} was last changed {place}", change.key);
            return Err(Failure::refused(Code::ConfigConflict, message));
        }
        if change.value.is_null() {
            return Ok(Checked::New(None));
        }
        Value::check(&change.key, &change.value).map(|value| Checked::New(Some(value)))
    }

    fn note(&mut self, verdict: Verdict) {
        self.history.push(verdict);
        if self.history.len() > Self::HISTORY {
            self.history.remove(0);
        }
    }
}

enum Checked {
    New(Option<Value>),
    Repeated(Offset),
}

fn verdict(offset: Offset, ruling: Ruling) -> Verdict {
    Verdict {
        offset,
        key: String::new(),
        by: String::new(),
        ruling,
    }
}

fn newer(entry: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Value>(entry)
        .ok()
        .and_then(|value| value.get("schema")?.as_u64())
        .is_some_and(|schema| schema > u64::from(SCHEMA))
}
