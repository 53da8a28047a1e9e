//! A call that is refused as not run has not run.

mod support;

use serde_json::{Value, json};
use support::{Environment, model, poll, service};

fn wait_effect(environment: &Environment, program: &str, call: u64) {
    poll("the effect has happened", || {
        (environment.effects(program, call) == 1).then_some(())
    });
}

/// Invalid calls: out of order, with a changed body, beyond the budget, of an unknown operation, after
/// the end. Each refusal must say that the call did not run, and the service must not have seen it.
#[test]
fn refused_calls_have_no_effect() {
    let environment = Environment::start(1, 3);
    let program = environment.open(0, "quick", "levy-1", 300);
    let receipt = |call| service(call, "receipt", &json!({}));
    let mut out_of_order = receipt(2);
    out_of_order["timeout_ms"] = json!(800);
    let refusals = [
        (out_of_order, 2, "VT3007"),
        (receipt(0), 0, "VT1001"),
        (service(1, "absent", &json!({})), 1, "VT1005"),
        (model(1, "too long an answer", 400), 1, "VT2001"),
        (json!({ "call": 1 }), 1, "VT1001"),
    ];
    for (body, call, code) in refusals {
        let (_, response) = environment.call(1, &program, &body);
        assert_eq!(
            (&response["code"], &response["ran"]),
            (&json!(code), &json!(false)),
            "{response}"
        );
        assert_eq!(environment.effects(&program, call), 0, "{response}");
    }
    assert_eq!(environment.call(0, &program, &receipt(1)).0, 200);
    let changed = service(1, "receipt", &json!({ "another": "body" }));
    let (_, response) = environment.call(2, &program, &changed);
    assert_eq!(
        (&response["code"], &response["ran"]),
        (&json!("VT1007"), &json!(false))
    );
    assert_eq!(
        environment.effects(&program, 1),
        1,
        "only the first body ran, once"
    );
    environment.end(0, &program);
    let (_, response) = environment.call(1, &program, &receipt(2));
    assert_eq!(
        (&response["code"], &response["ran"]),
        (&json!("VT1009"), &json!(false))
    );
    assert_eq!(environment.effects(&program, 2), 0);
}

/// Nothing listens at the registered server. The receipt must be refused as not run and its intent
/// dropped, so that the next call is not answered "unknown".
#[test]
fn a_receipt_without_a_reachable_server_is_refused_as_not_run() {
    let mut environment = Environment::start(0, 3);
    let program = environment.open(0, "quick", "levy-2", 300);
    environment.service.kill();
    for vm in [0, 1] {
        let (_, response) = environment.call(vm, &program, &service(1, "receipt", &json!({})));
        assert_eq!(response["ran"], json!(false), "{response}");
        poll("the intent is dropped", || {
            let address = environment.vms[vm].callers;
            let (_, view) = environment.get(address, &format!("/v1/programs/{program}"));
            view["intent"].is_null().then_some(())
        });
    }
}

/// The owner is killed after a booking took effect, and the service goes down. The next owner cannot
/// have run it, but the caller must be answered "unknown" since the former owner may have.
#[test]
fn a_call_that_a_killed_owner_may_have_sent_is_unknown() {
    let mut environment = Environment::start(0, 3);
    environment.faults(
        environment.service.address,
        &json!({ "reply_after_ms": 60000 }),
    );
    let program = environment.open(0, "quick", "slot-1", 300);
    let owner = environment.owner(&program);
    let entry = environment.vms[(owner + 1) % 3].callers;
    let path = format!("/v1/programs/{program}/calls");
    let call = std::thread::spawn(move || {
        let client = reqwest::blocking::Client::new();
        let body = service(1, "book", &json!({})).to_string();
        let reply = client.post(format!("http://{entry}{path}")).body(body);
        reply
            .send()
            .expect("an answer")
            .json::<Value>()
            .expect("JSON")
    });
    wait_effect(&environment, &program, 1);
    environment.service.kill();
    environment.vms[owner].process.kill();
    let response = call.join().expect("the caller is answered");
    assert_eq!(response["ran"], "unknown", "{response}");
}

/// A parent is ended while a receipt of its child is in flight. The end must wait for it; otherwise the
/// answer is lost and a repeated call is refused as not run.
#[test]
fn ending_a_program_waits_for_the_receipt_of_a_child() {
    let environment = Environment::start(0, 3);
    environment.faults(
        environment.service.address,
        &json!({ "reply_after_ms": 1500 }),
    );
    let program = environment.open(0, "quick", "levy-3", 3000);
    let spawn = json!({ "call": 1, "spawn": { "class": "rework", "budget": { "tokens": 900 } } });
    let (_, child) = environment.call(0, &program, &spawn);
    let child = child["program"].as_str().expect("an id");
    let receipt = service(1, "receipt", &json!({}));
    let response = std::thread::scope(|scope| {
        let call = scope.spawn(|| environment.call(1, child, &receipt));
        wait_effect(&environment, child, 1);
        let (status, account) = environment.end(2, &program);
        assert_eq!(status, 200, "{account}");
        call.join().expect("the caller is answered")
    });
    assert_eq!(response.0, 200, "{}", response.1);
    assert_eq!(environment.call(2, child, &receipt), response);
    assert_eq!(environment.effects(child, 1), 1);
}
