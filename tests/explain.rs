//! `explain`, run as a command on the logs of a short outage.

use assert_cmd::Command;
use serde_json::Value;

/// Log of a VM before and during a store outage, which refuses a request of program `p`.
const LOG_A: &str = "\
-1.2 vm-a ts=2026-12-03T02:01:24.156 level=info event=started vm=vm-a zone=z version=0.1.0
-1.1 vm-a ts=2026-12-03T02:01:24.300 level=info event=request_ended id=a1 result=200 program=p allowed_ms=4 waited_ms=1 kept_ms=0 total_ms=40
rubbish
-1.0 vm-a ts=2026-12-03T02:01:26.010 level=warn event=store_lost for_what=config reason=\"refused with status 503\"
-0.9 vm-a ts=2026-12-03T02:01:26.500 level=info event=request_ended id=a2 result=VT3002 program=p allowed_ms=660 waited_ms=0 kept_ms=0 total_ms=661
";
/// Log of another VM, which serves a retry of the program.
const LOG_B: &str = "\
ts=2026-12-03T02:01:25.900 level=info event=request_ended id=b1 result=200 program=q allowed_ms=5 waited_ms=2 kept_ms=0 total_ms=60
ts=2026-12-03T02:01:27.400 level=info event=request_ended id=a3 result=200 program=p allowed_ms=6 waited_ms=1 kept_ms=0 total_ms=50
";

fn explain(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_vanillatrail"));
    command.arg("explain").args(arguments);
    command
}

fn write_logs() -> (tempfile::TempDir, [String; 2]) {
    let dir = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("the file is writable");
        path.to_str().expect("a plain path").to_owned()
    };
    let paths = [write("b.log", LOG_B), write("a.log", LOG_A)];
    (dir, paths)
}

#[test]
fn slices_count_results_and_state_changes() {
    let (_dir, [b, a]) = write_logs();
    let output = explain(&[&b, &a, "--json"])
        .output()
        .expect("the command runs");
    assert!(output.status.success());
    let slices: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(slices.as_array().expect("slices").len(), 2);
    let [before, during] = [&slices[0], &slices[1]];
    assert_eq!(
        (&before["good"], &before["results"]),
        (&2.into(), &serde_json::json!({}))
    );
    assert_eq!(before["total"]["p99"], 60);
    assert_eq!(during["results"], serde_json::json!({ "VT3002": 1 }));
    assert_eq!(during["beliefs"], serde_json::json!({ "store_lost": 1 }));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        stderr.contains("6 lines read, 1 that are none of a VM"),
        "{stderr}"
    );
}

#[test]
fn requests_of_a_program_are_listed_across_vms() {
    let (_dir, [b, a]) = write_logs();
    let output = explain(&[&b, &a, "--program", "p"])
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let ids: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split("id=").nth(1)?.split(' ').next())
        .collect();
    assert_eq!(ids, ["a1", "a2", "a3"]);
}

#[test]
fn standard_input_is_read_and_an_unknown_id_fails() {
    let text = explain(&[])
        .write_stdin(LOG_A)
        .output()
        .expect("the command runs");
    assert!(String::from_utf8_lossy(&text.stdout).contains("VT3002=1; store_lost=1"));
    explain(&["--id", "nobody"])
        .write_stdin(LOG_A)
        .assert()
        .code(1);
}

#[test]
fn invalid_arguments_fail() {
    explain(&["--slice", "0"]).write_stdin("").assert().code(2);
    explain(&["absent.log"]).assert().code(2);
}

/// Guards against an error exit when the reader of the output closes the pipe early.
#[test]
fn closed_output_pipe_is_not_an_error() {
    let long_log = LOG_A.repeat(20_000);
    let (dir, _) = write_logs();
    let path = dir.path().join("many.log");
    std::fs::write(&path, long_log).expect("the file is writable");
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_vanillatrail"))
        .args(["explain", "--program", "p"])
        .arg(&path)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("the command starts");
    drop(child.stdout.take());
    assert!(child.wait().expect("the command ends").success());
}

/// Programs with refused requests are listed first, with the total time that they waited.
#[test]
fn programs_are_sorted_worst_first() {
    let (_dir, [b, a]) = write_logs();
    let arguments = [&b, &a, "--by", "program", "--json"];
    let output = explain(&arguments).output().expect("the command runs");
    let groups: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let programs: Vec<_> = groups.as_array().expect("groups").iter().collect();
    assert_eq!(programs.len(), 2);
    assert_eq!(
        (&programs[0]["name"], &programs[0]["bad"]),
        (&"p".into(), &1.into())
    );
    assert_eq!(programs[0]["results"], serde_json::json!({ "VT3002": 1 }));
    assert_eq!(programs[0]["waited_ms"], 4 + 1 + 660 + 6 + 1);
    let printed = explain(&[&b, &a, "--by", "program"])
        .output()
        .expect("the command runs");
    let printed = String::from_utf8_lossy(&printed.stdout).into_owned();
    assert!(
        printed
            .lines()
            .nth(1)
            .is_some_and(|line| line.starts_with("p ")),
        "{printed}"
    );
    explain(&[&a, "--by", "program", "--id", "a1"])
        .assert()
        .code(2);
}
