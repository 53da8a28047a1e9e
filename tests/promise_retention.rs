//! Programs survive the trimming of the log, and a gap in the log is reported.

mod support;

use serde_json::json;
use support::{Environment, model, poll, service};

/// The journal stream that holds the records of a program.
fn stream_of(program: &str) -> String {
    let shard = program[1..].split('-').next().expect("a shard");
    format!(
        "journal-{}",
        u64::from_str_radix(shard, 16).expect("a number") % 2
    )
}

/// Trims the records of the stream before this position.
fn trim(environment: &Environment, stream: &str, before: u64) {
    let trim = json!({ "stream": stream, "before": before });
    let url = format!("http://{}/trim", environment.log.address);
    let reply = reqwest::blocking::Client::new()
        .post(url)
        .json(&trim)
        .send();
    assert!(reply.expect("the log answers").status().is_success());
}

/// The log trims the records of the first calls of a program. A new VM must take the program over from
/// the checkpoints, with history, answers and budget, and must not issue a receipt again.
#[test]
fn a_program_survives_the_trimming_of_its_first_records() {
    let mut environment = Environment::platform(1);
    environment.configure();
    let settings = json!({ "checkpoint_entries": 64 });
    environment.add_vm(&settings);
    environment.wait_ready(0);
    environment.wait_owned();
    let program = environment.open(0, "quick", "fleet-1", 50_000);
    let first = environment.call(0, &program, &model(1, "Which levy applies?", 6));
    let receipt = environment.call(0, &program, &service(2, "receipt", &json!({})));
    assert_eq!((first.0, receipt.0), (200, 200));
    let mut calls = 2;
    poll("each shard of the stream has a checkpoint", || {
        calls += 1;
        let response = environment.call(0, &program, &service(calls, "rates", &json!({})));
        assert_eq!(response.0, 200, "{}", response.1);
        (environment.entries(&["checkpointed"]) >= 8).then_some(())
    });
    let (_, before) = environment.get(
        environment.vms[0].callers,
        &format!("/v1/programs/{program}"),
    );

    trim(&environment, &stream_of(&program), 60);
    environment.add_vm(&settings);
    environment.wait_ready(1);
    environment.vms[0].process.kill();
    assert_eq!(
        environment.call(1, &program, &model(1, "Which levy applies?", 6)),
        first
    );
    assert_eq!(
        environment.call(1, &program, &service(2, "receipt", &json!({}))),
        receipt
    );
    assert_eq!(environment.effects(&program, 2), 1);
    let (_, after) = environment.get(
        environment.vms[1].callers,
        &format!("/v1/programs/{program}"),
    );
    for field in ["history_bytes", "next_call", "used", "resident", "budget"] {
        assert_eq!(after[field], before[field], "{field}");
    }
    let (status, response) = environment.call(1, &program, &model(calls + 1, "Go on", 6));
    assert_eq!(status, 200, "{response}");
}

/// The log has trimmed all records of a program and no VM has read them. The gap must be reported;
/// otherwise the program could be opened again with its key and its receipt issued twice.
#[test]
fn a_gap_in_the_log_is_reported() {
    let mut environment = Environment::start(0, 2);
    let program = environment.open(0, "quick", "levy-1", 300);
    let receipt = service(1, "receipt", &json!({}));
    assert_eq!(environment.call(0, &program, &receipt).0, 200);
    for vm in [0, 1] {
        environment.vms[vm].process.kill();
    }
    trim(&environment, &stream_of(&program), 1_000_000);
    for vm in [0, 1] {
        environment.restart_vm(vm);
        environment.wait_ready(vm);
    }
    let (_, response) = environment.call(0, &program, &receipt);
    assert_eq!(response["code"], "VT3010", "{response}");
    let budget = json!({ "tokens": 300 });
    let open = json!({ "class": "quick", "key": "levy-1", "budget": budget });
    let (_, response) = environment.post(environment.vms[1].callers, "/v1/programs", &open);
    assert_eq!(response["code"], "VT3010", "{response}");
    assert_eq!(environment.effects(&program, 1), 1);
}
