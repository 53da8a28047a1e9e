//! The `trial` command of the built binary.

use assert_cmd::Command;
use serde_json::Value;

fn run_trial(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::cargo_bin("vanillatrail")
        .expect("the binary is built")
        .arg("trial")
        .args(["--seconds", "3", "--pairs", "5"])
        .args(arguments)
        .output()
        .expect("the binary runs");
    let report_text = String::from_utf8(output.stdout).expect("the report is text");
    (output.status.code(), report_text)
}

#[test]
fn a_trial_reports_its_load_and_no_violations() {
    let (code, report_text) = run_trial(&["--seed", "5", "--programs", "40", "--json"]);
    let report: Value = serde_json::from_str(&report_text).expect("the report is JSON");
    assert_eq!(code, Some(0), "{report_text}");

    let classes = report["classes"].as_array().expect("one row per class");
    let sum = |field: &str| -> u64 { classes.iter().filter_map(|row| row[field].as_u64()).sum() };
    assert_eq!(sum("programs"), 40, "{report_text}");
    assert_eq!(sum("failed"), 0, "{report_text}");
    assert!(sum("cached_tokens") > 0, "{report_text}");
    assert!(sum("cached_tokens") < sum("prompt_tokens"), "{report_text}");
    assert!(report["calls"].as_u64() > Some(40), "{report_text}");
    assert_eq!(report["path"]["pairs"], 5, "{report_text}");

    let invariants = report["invariants"].as_array().expect("a list");
    assert_eq!(invariants.len(), 9, "{report_text}");
    for invariant in invariants {
        assert_eq!(invariant["broken"], 0, "{invariant}");
        assert!(invariant["of"].as_u64() > Some(0), "{invariant}");
    }
}

/// The trial injects a repeated effect and cache of an ended program. Its report and its exit code must
/// show both.
#[test]
fn a_trial_reports_injected_violations() {
    let injected = ["--plant", "doubled-effect", "--plant", "held-memory"];
    let (code, report_text) = run_trial(&[&["--programs", "20"], &injected[..]].concat());
    assert_eq!(code, Some(3), "{report_text}");
    let broken: Vec<_> = report_text
        .lines()
        .filter_map(|line| line.strip_prefix("BROKEN "))
        .collect();
    assert_eq!(broken.len(), 2, "{report_text}");
    assert!(
        broken[0].starts_with("effects run twice: 1 of"),
        "{report_text}"
    );
    let held_cache = "ended programs that still hold memory: 1 of";
    assert!(broken[1].starts_with(held_cache), "{report_text}");
}
