//! The verdict on each configuration change, computed alike by every reader of the stream.

use super::value::{Snapshot, Value};
use crate::code::{Code, Failure};
use crate::id::Offset;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The schema of changes that this build knows.
const SCHEMA: u32 = 1;

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
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Ruling {
    /// It is in force.
    Accepted,
    /// It is not, and never will be.
    Refused(Failure),
}

/// The verdict on the change at one offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Verdict {
    /// Where the change stands.
    pub offset: Offset,
    /// The key that it sets; empty when it can't be read.
    pub key: String,
    /// Who made it.
    pub by: String,
    /// What became of it.
    pub ruling: Ruling,
}

/// The configuration, folded from the stream.
#[derive(Debug, Clone, Default)]
pub struct Book {
    // The offset of a removal stays, so that a change based on an older one loses against it.
    newest: BTreeMap<String, (Offset, Option<Value>)>,
    history: Vec<Verdict>,
    snapshot: Snapshot,
}

impl Book {
    /// Verdicts kept for operators.
    const HISTORY: usize = 1000;

    /// The configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The newest verdicts, oldest first.
    #[must_use]
    pub fn history(&self) -> &[Verdict] {
        &self.history
    }

    /// The offset of the newest accepted change of each key, and its value.
    pub fn keys(&self) -> impl Iterator<Item = (&str, Offset, Option<&Value>)> {
        self.newest
            .iter()
            .map(|(key, (offset, value))| (key.as_str(), *offset, value.as_ref()))
    }

    /// Notes that the stream has been read to its end.
    pub fn caught_up(&mut self) {
        self.snapshot.caught_up = true;
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
        self.snapshot.applied = Offset(offset.0 + 1);
        let (key, by, outcome) = match serde_json::from_slice::<Change>(entry) {
            Ok(change) => {
                let outcome = self.judge(&change);
                (change.key, change.by, outcome)
            }
            Err(error) => {
                if newer(entry) {
                    self.snapshot.newer_schema = true;
                }
                let failure = Failure::refused(Code::BadConfig, error.to_string());
                (String::new(), String::new(), Err(failure))
            }
        };
        let ruling = match outcome {
            Ok(value) => {
                self.newest.insert(key.clone(), (offset, value));
                self.rebuild();
                Ruling::Accepted
            }
            Err(failure) => Ruling::Refused(failure),
        };
        let verdict = Verdict {
            offset,
            key,
            by,
            ruling,
        };
        self.history.push(verdict.clone());
        if self.history.len() > Self::HISTORY {
            self.history.remove(0);
        }
        verdict
    }

    fn judge(&mut self, change: &Change) -> Result<Option<Value>, Failure> {
        if change.schema > SCHEMA {
            self.snapshot.newer_schema = true;
            let message = format!("schema {} is newer than {SCHEMA}", change.schema);
            return Err(Failure::refused(Code::NewerSchema, message));
        }
        let newest = self.newest.get(&change.key).map(|(offset, _)| *offset);
        if newest != change.base {
            let place = newest.map_or("never".to_owned(), |offset| format!("at offset {offset}"));
            let message = format!("{} was last changed {place}", change.key);
            return Err(Failure::refused(Code::ConfigConflict, message));
        }
        if change.value.is_null() {
            return Ok(None);
        }
        Value::check(&change.key, &change.value).map(Some)
    }

    fn rebuild(&mut self) {
        let mut fresh = Snapshot {
            applied: self.snapshot.applied,
            caught_up: self.snapshot.caught_up,
            newer_schema: self.snapshot.newer_schema,
            ..Snapshot::default()
        };
        for (key, (_, value)) in &self.newest {
            let name = key.split_once('/').map_or("", |(_, name)| name);
            match value {
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
                None => {}
            }
        }
        self.snapshot = fresh;
    }
}

fn newer(entry: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Value>(entry)
        .ok()
        .and_then(|value| value.get("schema")?.as_u64())
        .is_some_and(|schema| schema > u64::from(SCHEMA))
}
