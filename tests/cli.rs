//! Command line of the built binary.

mod support;

use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};
use support::{Environment, model, poll, service};
use tempfile::TempDir;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_vanillatrail"))
        .args(arguments)
        .env_remove("VANILLATRAIL_VM")
        .output()
        .expect("the binary runs")
}

/// Returns the exit code and the output, with standard error after standard output.
fn run_text(arguments: &[&str]) -> (i32, String) {
    let output = run(arguments);
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("text");
    assert!(
        !text.contains('\u{1b}'),
        "colors without a terminal: {text:?}"
    );
    (output.status.code().expect("no signal"), text)
}

fn run_json(arguments: &[&str]) -> Value {
    let output = run(arguments);
    let text = String::from_utf8(output.stdout).expect("text");
    serde_json::from_str(&text).expect("JSON")
}

fn write_file(dir: &TempDir, name: &str, value: &Value) -> String {
    let path: PathBuf = dir.path().join(name);
    std::fs::write(&path, value.to_string()).expect("the folder is writable");
    path.to_string_lossy().into_owned()
}

#[test]
fn check_reports_path_and_code_of_each_fault() {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let config = json!({
        "class/quick": { "target_ms": "soon" },
        "class/slow": { "target_ms": 5000, "weight": 3 },
        "class/good": { "target_ms": 5000 },
        "service/filing": { "servers": [], "operations": { "receipt": { "mode": "twice" } } },
    });
    let path = write_file(&dir, "config.json", &config);
    let (code, text) = run_text(&["check", "--config", &path]);
    assert_eq!(code, 2, "{text}");
    for fault in [
        "VT5003: class/quick at `target_ms`",
        "VT5003: class/slow at `weight`",
        "VT5003: service/filing at `operations.receipt.mode`",
    ] {
        assert!(text.contains(fault), "{fault} not in {text}");
    }
    assert!(!text.contains("class/good"), "{text}");
    let report = run_json(&["check", "--config", "--json", &path]);
    assert_eq!(
        report["faults"].as_array().map(Vec::len),
        Some(3),
        "{report}"
    );

    let settings = write_file(&dir, "vm.json", &json!({ "vm": "vm-a", "zone": 3 }));
    let (code, text) = run_text(&["check", &settings]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("VT5001: at `zone`"), "{text}");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/settings/vm-a.json");
    assert_eq!(run_text(&["check", example]).0, 0);
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    assert_eq!(run_text(&["check", "--config", example]).0, 0);
}

#[test]
fn completions_and_manual_pages_are_generated() {
    for shell in ["bash", "zsh", "fish"] {
        let (code, text) = run_text(&["completions", shell]);
        assert_eq!(code, 0, "{text}");
        assert!(
            text.contains("vanillatrail") && text.contains("trial"),
            "{text}"
        );
    }
    let dir = tempfile::tempdir().expect("a temporary folder");
    let (code, _) = run_text(&["man", "--out", &dir.path().to_string_lossy()]);
    assert_eq!(code, 0);
    let page = std::fs::read_to_string(dir.path().join("vanillatrail-config-apply.1"));
    assert!(page.expect("a page").contains(r"\-\-base"));
    let (code, text) = run_text(&["--help"]);
    assert_eq!(code, 0);
    assert!(text.contains("Exit codes"), "{text}");
    assert_eq!(run_text(&["trial", "--programs", "many"]).0, 2);
}

/// Guards against a lost update by a change based on an older offset, and against refusing its other keys with it.
#[test]
fn config_changes_are_applied_or_refused_by_key() {
    let environment = Environment::start(1, 3);
    let dir = tempfile::tempdir().expect("a temporary folder");
    let log = format!("http://{}", environment.log.address);
    let show = || run_json(&["config", "show", "--json", "--log", &log]);
    let before = show();
    let base = before["applied"].as_u64().expect("an offset").to_string();
    assert_eq!(
        before["values"]["class/quick"]["target_ms"], 5000,
        "{before}"
    );

    let change = write_file(
        &dir,
        "a.json",
        &json!({ "class/quick": { "target_ms": 4000 } }),
    );
    let mut apply = vec!["config", "apply", &change, "--log", &log, "--base", &base];
    apply.extend(["--by", "ama", "--wait-ms", "60000"]);
    let vms: Vec<String> = environment
        .vms
        .iter()
        .map(|vm| vm.operators.to_string())
        .collect();
    for vm in &vms {
        apply.extend(["--wait", vm]);
    }
    let (code, text) = run_text(&apply);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("class/quick by ama: accepted"), "{text}");
    assert!(text.contains("in force on 3 of 3 VMs"), "{text}");

    let late = json!({ "class/quick": { "target_ms": 3000 }, "class/new": { "target_ms": 100 } });
    let late = write_file(&dir, "b.json", &late);
    let (code, text) = run_text(&[
        "config", "apply", &late, "--log", &log, "--base", &base, "--by", "rui",
    ]);
    assert_eq!(code, 5, "{text}");
    assert!(
        text.contains("class/quick by rui: refused VT5002"),
        "{text}"
    );
    assert!(text.contains("class/new by rui: accepted"), "{text}");
    assert_eq!(show()["values"]["class/quick"]["target_ms"], 4000);
    assert_eq!(show()["values"]["class/new"]["target_ms"], 100);

    let (code, text) = run_text(&["config", "apply", &change, "--log", &log]);
    assert_eq!((code, text.as_str()), (0, "nothing differs\n"));
    let (code, text) = run_text(&["config", "history", "--log", &log]);
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("class/quick by rui: refused VT5002"),
        "{text}"
    );

    let malformed = write_file(
        &dir,
        "c.json",
        &json!({ "class/quick": { "target_ms": 0 } }),
    );
    let (code, text) = run_text(&["config", "apply", &malformed, "--log", &log]);
    assert_eq!(code, 2, "{text}");
    let unreachable = support::free_address();
    let (code, text) = run_text(&["config", "show", "--log", &format!("http://{unreachable}")]);
    assert_eq!(code, 4, "{text}");
    let vm = unreachable.to_string();
    let mut apply = vec!["config", "apply", &malformed, "--log", &log, "--wait", &vm];
    let removal = write_file(&dir, "d.json", &json!({ "class/new": null }));
    apply[2] = &removal;
    apply.extend(["--wait-ms", "300"]);
    let (code, text) = run_text(&apply);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("in force on 0 of 1 VMs"), "{text}");
}

/// Guards against a `why` that does not name what a program waits for at each stage, such as a service that does not
/// answer.
#[test]
fn why_explains_what_a_program_waits_for() {
    let environment = Environment::start(1, 2);
    let vm = environment.vms[1].callers.to_string();
    let operators = environment.vms[0].operators.to_string();
    let program = |arguments: &[&str]| run_text(&[&["program", "--vm", &vm], arguments].concat());

    let open = [
        "open", "--class", "quick", "--key", "by-hand", "--tokens", "5000",
    ];
    let (code, text) = program(&open);
    assert_eq!(code, 0, "{text}");
    let id = text
        .trim()
        .strip_prefix("program: ")
        .expect("an id")
        .to_owned();
    let (_, text) = program(&["why", &id]);
    assert!(
        text.contains("waits for its caller to make call 1"),
        "{text}"
    );

    let body = model(1, "Which levy applies?", 5)["model"].to_string();
    let (code, text) = program(&["call", &id, "1", &format!(r#"{{"model": {body}}}"#)]);
    assert_eq!(code, 0, "{text}");
    let (code, watched) = program(&["watch", &id, "1"]);
    assert_eq!((code, watched), (0, text));

    environment.faults(environment.service.address, &json!({ "frozen": true }));
    let caller = std::thread::spawn({
        let (address, id) = (environment.vms[0].callers, id.clone());
        let body = service(2, "rates", &json!({})).to_string();
        move || {
            let url = format!("http://{address}/v1/programs/{id}/calls");
            let client = reqwest::blocking::Client::new();
            client
                .post(url)
                .body(body)
                .send()
                .map(|reply| reply.status())
        }
    });
    let text = poll("the program waits for its service", || {
        let (code, text) = program(&["why", &id, "--operators", &operators]);
        assert_eq!(code, 0, "{text}");
        text.contains("was sent to its service").then_some(text)
    });
    assert!(
        text.contains("call 2") && text.contains("owner vm-"),
        "{text}"
    );
    environment.faults(environment.service.address, &json!({ "frozen": false }));
    let status = caller.join().expect("the caller does not panic");
    assert_eq!(status.expect("an answer"), 200);

    let (code, text) = program(&["call", &id, "1", r#"{"service": {}}"#]);
    assert_eq!(code, 2, "{text}");
    let (code, text) = program(&["end", &id]);
    assert_eq!(code, 0, "{text}");
    let (_, text) = program(&["why", &id]);
    assert!(text.contains("it has ended"), "{text}");
    let other = format!("p1-{:032x}", 7);
    let (code, text) = program(&["show", &other]);
    assert_eq!(code, 5, "{text}");
    assert!(text.contains("VT1004"), "{text}");
}

#[test]
fn state_prints_summary_and_json() {
    let environment = Environment::start(1, 2);
    let program = environment.open(0, "quick", "seen", 5000);
    let vms: Vec<String> = environment
        .vms
        .iter()
        .map(|vm| vm.operators.to_string())
        .collect();
    let (code, text) = run_text(&["state", &vms[0], &vms[1]]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("vm-0 in zone-0: ready"), "{text}");
    assert!(text.contains("1 programs open"), "{text}");
    let owner = environment.owner(&program);
    let dump = run_json(&["state", "--json", &vms[owner]]);
    let state = &dump[&vms[owner]];
    for part in ["local", "view", "config", "dispatch", "owner"] {
        assert!(state[part].is_object(), "{part} in {state}");
    }
    let shards = state["owner"]["shards"].as_object().expect("shards");
    let mut open = shards
        .values()
        .filter_map(|shard| shard["open_programs"].get(&program));
    assert_eq!(open.next().expect("the program")["next_call"], 1, "{state}");
    let unreachable = support::free_address().to_string();
    let (code, text) = run_text(&["state", &vms[0], &unreachable]);
    assert_eq!(code, 4, "{text}");
    assert!(
        text.contains("vm-0 in zone-0"),
        "the reachable VM is missing: {text}"
    );
}
