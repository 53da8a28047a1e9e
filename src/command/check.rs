//! `check`: whether a settings file or a configuration file can be used.

use super::{Exit, paint, print_json};
use crate::code::{Code, Failure};
use crate::config::Value;
use crate::settings::{Gateway, Settings};
use serde_json::{Map, json};
use std::path::Path;

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The settings of one VM.
    Settings,
    /// The settings of one VM that forwards requests of callers.
    Gateway,
    /// Configuration values by key.
    Config,
}

/// Checks the file and prints every fault that was found.
pub(crate) fn run(path: &Path, kind: Kind, json: bool) -> Result<Exit, Failure> {
    let faults = match kind {
        Kind::Settings => Settings::load(path).err().into_iter().collect(),
        Kind::Gateway => Gateway::load(path).err().into_iter().collect(),
        Kind::Config => faults(&load(path)?),
    };
    if json {
        print_json(&json!({ "file": path, "faults": faults }))?;
    } else if faults.is_empty() {
        println!("{}: {}", path.display(), paint::good("ok"));
    } else {
        for fault in &faults {
            println!("{}: {}", path.display(), paint::bad(&fault.to_string()));
        }
    }
    Ok(if faults.is_empty() {
        Exit::Success
    } else {
        Exit::BadInput
    })
}

/// The faults of configuration values by key.
pub(super) fn faults(values: &Map<String, serde_json::Value>) -> Vec<Failure> {
    let checked = values.iter().filter(|(_, value)| !value.is_null());
    checked
        .filter_map(|(key, value)| Value::check(key, value).err())
        .collect()
}

/// Reads a file of configuration values by key.
pub(super) fn load(path: &Path) -> Result<Map<String, serde_json::Value>, Failure> {
    let bad =
        |reason: String| Failure::refused(Code::BadConfig, format!("{}: {reason}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| bad(error.to_string()))
}
