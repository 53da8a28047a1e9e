//! What the log no longer keeps is neither needed nor passed over in silence.

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

fn trim(environment: &Environment, stream: &str, before: u64) {
    let trim = json!({ "stream": stream, "before": before });
    let url = format!("http://{}/trim", environment.log.address);
    let reply = reqwest::blocking::Client::new()
        .post(url)
        .json(&trim)
        .send();
    assert!(reply.expect("the log answers").status().is_success());
}

/// The log trims the records of a program's first calls. A VM that starts afterwards reads the
/// claim and the checkpoints that its owner has written since, and takes the program over when
/// the owner is killed: with its history, its kept answers and its budget, and a receipt that is
/// asked for again is not issued again.
#[test]
fn a_program_outlives_the_records_of_its_calls() {
    let mut environment = Environment::platform(1);
    environment.configure();
    let often = json!({ "checkpoint_entries": 64 });
    environment.add_vm(&often);
    environment.wait_ready(0);
    environment.wait_owned();
    let program = environment.open(0, "quick", "fleet-1", 50_000);
    let first = environment.call(0, &program, &model(1, "Which levy applies?", 6));
    let receipt = environment.call(0, &program, &service(2, "receipt", &json!({})));
    assert_eq!((first.0, receipt.0), (200, 200));
    let mut calls = 2;
    poll("each shard of the stream is written anew", || {
        calls += 1;
        let told = environment.call(0, &program, &service(calls, "rates", &json!({})));
        assert_eq!(told.0, 200, "{}", told.1);
        (environment.entries(&["checkpointed"]) >= 8).then_some(())
    });
    let (_, before) = environment.get(
        environment.vms[0].callers,
        &format!("/v1/programs/{program}"),
    );

    trim(&environment, &stream_of(&program), 60);
    environment.add_vm(&often);
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
    for fact in ["history_bytes", "next_call", "used", "resident", "budget"] {
        assert_eq!(after[fact], before[fact], "{fact}");
    }
    let (status, told) = environment.call(1, &program, &model(calls + 1, "Go on", 6));
    assert_eq!(status, 200, "{told}");
}

/// The log has trimmed all that it had of a program, and no VM is left that has read it. The
/// program is told as a gap; taken for unknown, it could be opened a second time with its key,
/// and its receipt issued again.
#[test]
fn a_gap_that_nobody_can_bridge_is_told() {
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
    let (_, told) = environment.call(0, &program, &receipt);
    assert_eq!(told["code"], "VT3010", "{told}");
    let budget = json!({ "tokens": 300 });
    let open = json!({ "class": "quick", "key": "levy-1", "budget": budget });
    let (_, told) = environment.post(environment.vms[1].callers, "/v1/programs", &open);
    assert_eq!(told["code"], "VT3010", "{told}");
    assert_eq!(environment.effects(&program, 1), 1);
}
