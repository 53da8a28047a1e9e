//! `check`: validates a settings file or a configuration file.

use super::{Exit, paint, print_json};
use crate::code::{Code, Failure};
use crate::config::Value;
use crate::settings::{Gateway, Settings};
use serde_json::{Map, json};
use std::path::Path;

/// Type of a file to check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Settings of one VM.
    Settings,
    /// Settings of one gateway.
    Gateway,
    /// Configuration values by key.
    Config,
}

/// Checks the file and prints all errors found.
pub(crate) fn run(path: &Path, kind: Kind, json: bool) -> Result<Exit, Failure> {
    let errors = match kind {
        Kind::Settings => Settings::load(path).err().into_iter().collect(),
        Kind::Gateway => Gateway::load(path).err().into_iter().collect(),
        Kind::Config => validate(&load(path)?),
    };
    if json {
        print_json(&json!({ "file": path, "faults": errors }))?;
    } else if errors.is_empty() {
        println!("{}: {}", path.display(), paint::green("ok"));
    } else {
        for error in &errors {
            println!("{}: {}", path.display(), paint::red(&error.to_string()));
        }
    }
    Ok(if errors.is_empty() {
        Exit::Success
    } else {
        Exit::BadInput
    })
}

/// Validates configuration values by key and returns all errors.
pub(super) fn validate(values: &Map<String, serde_json::Value>) -> Vec<Failure> {
    let values = values.iter().filter(|(_, value)| !value.is_null());
    values
        .filter_map(|(key, value)| Value::check(key, value).err())
        .collect()
}

/// Reads a JSON file of configuration values by key.
pub(super) fn load(path: &Path) -> Result<Map<String, serde_json::Value>, Failure> {
    let invalid =
        |reason: String| Failure::refused(Code::BadConfig, format!("{}: {reason}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))
}
