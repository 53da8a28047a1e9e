//! Checks that the committed pages generated from the code are up to date.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use vanillatrail::code::Code;

fn generate(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_vanillatrail"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    assert!(output.status.success(), "{arguments:?}");
    String::from_utf8(output.stdout).expect("text")
}

fn assert_up_to_date(arguments: &[&str], page: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(page);
    let committed = std::fs::read_to_string(path).unwrap_or_default();
    let command = arguments.join(" ");
    assert!(
        generate(arguments) == committed,
        "{page} is out of date: run `cargo run -- {command} > {page}`"
    );
}

#[test]
fn code_table_is_up_to_date() {
    assert_up_to_date(&["codes"], "docs/CODES.md");
}

#[test]
fn schemas_are_up_to_date() {
    assert_up_to_date(&["schema", "settings"], "docs/schema/settings.json");
    assert_up_to_date(&["schema", "gateway"], "docs/schema/gateway.json");
    assert_up_to_date(&["schema", "config"], "docs/schema/config.json");
}

#[test]
fn codes_are_unique_and_listed_in_the_table() {
    let page = generate(&["codes"]);
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    for code in Code::ALL {
        assert_eq!(code.to_string().parse(), Ok(*code));
        assert!(
            page.contains(&format!("| {code} | {} |", code.status())),
            "{code}"
        );
        assert!(generate(&["codes", &code.to_string()]).contains(code.meaning()));
    }
}
