//! The pages that are made from the code are the ones that are committed.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use vanillatrail::code::Code;

fn made(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_vanillatrail"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    assert!(output.status.success(), "{arguments:?}");
    String::from_utf8(output.stdout).expect("text")
}

fn same(arguments: &[&str], page: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(page);
    let committed = std::fs::read_to_string(path).unwrap_or_default();
    let command = arguments.join(" ");
    assert!(
        made(arguments) == committed,
        "{page} is out of date: run `cargo run -- {command} > {page}`"
    );
}

#[test]
fn the_table_of_codes_is_committed() {
    same(&["codes"], "docs/CODES.md");
}

#[test]
fn the_schemas_are_committed() {
    same(&["schema", "settings"], "docs/schema/settings.json");
    same(&["schema", "gateway"], "docs/schema/gateway.json");
    same(&["schema", "config"], "docs/schema/config.json");
}

#[test]
fn each_code_has_a_number_of_its_own_and_a_place_in_the_table() {
    let page = made(&["codes"]);
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    for code in Code::ALL {
        assert_eq!(code.to_string().parse(), Ok(*code));
        assert!(
            page.contains(&format!("| {code} | {} |", code.status())),
            "{code}"
        );
        assert!(made(&["codes", &code.to_string()]).contains(code.meaning()));
    }
}
