//! `codes` and `schema`: the tables that the documentation is made from.

use super::{Exit, print_json};
use crate::code::{Code, Failure};
use crate::config::{Class, Pool, Service, Store};
use crate::settings::{Gateway, Settings};
use schemars::{JsonSchema, SchemaGenerator, schema_for};
use serde_json::{Value, json};
use std::fmt::Write;

/// Which schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Schema {
    /// Of the settings file of a VM.
    Settings,
    /// Of the settings file of a VM that forwards requests of callers.
    Gateway,
    /// Of a file of configuration values by key.
    Config,
}

/// Codes that begin with this digit, and what they have in common.
const GROUPS: [(u16, &str); 6] = [
    (1, "The request: mend it before it is sent again"),
    (2, "A limit of the program or the VM"),
    (3, "Not now: come back after the time that is told"),
    (4, "A backend server"),
    (5, "Operators: settings, configuration, peers"),
    (9, "A fault of the scheduler itself"),
];

/// Prints every code as a page, or what one code means.
pub(crate) fn codes(code: Option<Code>) -> Exit {
    match code {
        Some(code) => println!("{code} (HTTP {}): {}", code.status(), code.meaning()),
        None => print!("{}", page()),
    }
    Exit::Success
}

/// Prints a JSON schema.
pub(crate) fn schema(of: Schema) -> Result<Exit, Failure> {
    match of {
        Schema::Settings => print_json(&schema_for!(Settings))?,
        Schema::Gateway => print_json(&schema_for!(Gateway))?,
        Schema::Config => print_json(&config())?,
    }
    Ok(Exit::Success)
}

fn page() -> String {
    let mut page = "# Result codes\n\nMade by `vanillatrail codes`; a test keeps it so. A failure \
        is `{\"code\", \"message\", \"ran\", \"retry_after_ms\"}`. `ran` tells whether the action \
        took effect: `false`, it did not run and never will under this request; `true`, it did; \
        `\"unknown\"`, it was sent and nobody can tell. Without `retry_after_ms`, coming back is of \
        no use.\n"
        .to_owned();
    for (digit, heading) in GROUPS {
        let _ = write!(
            page,
            "\n## {heading}\n\n| Code | HTTP | Name | Meaning |\n|---|---|---|---|\n"
        );
        let codes = Code::ALL
            .iter()
            .filter(|code| code.number() / 1000 == digit);
        for code in codes {
            let (status, meaning) = (code.status(), code.meaning());
            let _ = writeln!(page, "| {code} | {status} | {code:?} | {meaning} |");
        }
    }
    page
}

/// The schema of an object whose keys say what kind their values are.
fn config() -> Value {
    let mut generator = SchemaGenerator::default();
    let class = removable::<Class>(&mut generator);
    let pool = removable::<Pool>(&mut generator);
    let service = removable::<Service>(&mut generator);
    let store = removable::<Store>(&mut generator);
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "Configuration",
        "description": "Configuration values by key; null removes a key.",
        "type": "object",
        "additionalProperties": false,
        "patternProperties": {
            "^class/[A-Za-z0-9._:/-]+$": class,
            "^pool/[A-Za-z0-9._:/-]+$": pool,
            "^service/[A-Za-z0-9._:/-]+$": service,
            "^store/weights$": store,
        },
        "$defs": generator.take_definitions(true),
    })
}

fn removable<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    json!({ "anyOf": [generator.subschema_for::<T>(), { "type": "null" }] })
}
