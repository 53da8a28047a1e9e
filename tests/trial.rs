//! The trial as a newcomer runs it: the built binary and nothing else.

use assert_cmd::Command;
use serde_json::Value;

fn trial(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::cargo_bin("vanillatrail")
        .expect("the binary is built")
        .arg("trial")
        .args(["--seconds", "3", "--pairs", "5"])
        .args(arguments)
        .output()
        .expect("the binary runs");
    let text = String::from_utf8(output.stdout).expect("the report is text");
    (output.status.code(), text)
}

#[test]
fn a_trial_counts_what_happened_and_everything_holds() {
    let (code, text) = trial(&["--seed", "5", "--programs", "40", "--json"]);
    let report: Value = serde_json::from_str(&text).expect("the report is JSON");
    assert_eq!(code, Some(0), "{text}");

    let classes = report["classes"].as_array().expect("one row per class");
    let sum = |field: &str| -> u64 { classes.iter().filter_map(|row| row[field].as_u64()).sum() };
    assert_eq!(sum("programs"), 40, "{text}");
    assert_eq!(sum("failed"), 0, "{text}");
    assert!(sum("cached_tokens") > 0, "{text}");
    assert!(sum("cached_tokens") < sum("prompt_tokens"), "{text}");
    assert!(report["calls"].as_u64() > Some(40), "{text}");
    assert_eq!(report["path"]["pairs"], 5, "{text}");

    let invariants = report["invariants"].as_array().expect("a list");
    assert_eq!(invariants.len(), 9, "{text}");
    for invariant in invariants {
        assert_eq!(invariant["broken"], 0, "{invariant}");
        assert!(invariant["of"].as_u64() > Some(0), "{invariant}");
    }
}

/// Once the load is over, an effect that was confirmed takes place again and an engine is given
/// the history of an ended program, both behind the scheduler's back. Callers see nothing of it;
/// the counters of the stand-ins do, so the trial names both and its exit code says so.
#[test]
fn a_trial_finds_what_is_planted() {
    let plants = ["--plant", "doubled-effect", "--plant", "held-memory"];
    let (code, text) = trial(&[&["--programs", "20"], &plants[..]].concat());
    assert_eq!(code, Some(3), "{text}");
    let broken: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("BROKEN "))
        .collect();
    assert_eq!(broken.len(), 2, "{text}");
    assert!(broken[0].starts_with("effects run twice: 1 of"), "{text}");
    let held = "ended programs that still hold memory: 1 of";
    assert!(broken[1].starts_with(held), "{text}");
}
