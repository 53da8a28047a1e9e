//! A call that is refused as not run has not run.

mod support;

use serde_json::{Value, json};
use support::{Environment, model, poll, service};

fn wait_effect(environment: &Environment, program: &str, call: u64) {
    poll("the effect", || {
        (environment.effects(program, call) == 1).then_some(())
    });
}

/// Callers make calls that can't be taken: out of turn, with another body, beyond the budget, of
/// an operation that is not there, after the end. Each refusal says that the call did not run, and
/// the service has seen none of them.
#[test]
fn every_refusal_of_a_call_leaves_no_effect() {
    let environment = Environment::start(1, 3);
    let program = environment.open(0, "quick", "levy-1", 300);
    let receipt = |call| service(call, "receipt", &json!({}));
    let mut early = receipt(2);
    early["timeout_ms"] = json!(800);
    let refusals = [
        (early, 2, "VT3007"),
        (receipt(0), 0, "VT1001"),
        (service(1, "absent", &json!({})), 1, "VT1005"),
        (model(1, "too long an answer", 400), 1, "VT2001"),
        (json!({ "call": 1 }), 1, "VT1001"),
    ];
    for (body, call, code) in refusals {
        let (_, told) = environment.call(1, &program, &body);
        assert_eq!(
            (&told["code"], &told["ran"]),
            (&json!(code), &json!(false)),
            "{told}"
        );
        assert_eq!(environment.effects(&program, call), 0, "{told}");
    }
    assert_eq!(environment.call(0, &program, &receipt(1)).0, 200);
    let other = service(1, "receipt", &json!({ "another": "body" }));
    let (_, told) = environment.call(2, &program, &other);
    assert_eq!(
        (&told["code"], &told["ran"]),
        (&json!("VT1007"), &json!(false))
    );
    assert_eq!(
        environment.effects(&program, 1),
        1,
        "the first body ran, once"
    );
    environment.end(0, &program);
    let (_, told) = environment.call(1, &program, &receipt(2));
    assert_eq!(
        (&told["code"], &told["ran"]),
        (&json!("VT1009"), &json!(false))
    );
    assert_eq!(environment.effects(&program, 2), 0);
}

/// The operators have named a server that nobody listens on. A receipt can't be sent there: it is
/// refused as not run, its intent is dropped, and the next call is refused in the same way
/// instead of being told as "unknown".
#[test]
fn a_receipt_that_finds_no_server_is_refused_as_not_run() {
    let mut environment = Environment::start(0, 3);
    let program = environment.open(0, "quick", "levy-2", 300);
    environment.service.kill();
    for vm in [0, 1] {
        let (_, told) = environment.call(vm, &program, &service(1, "receipt", &json!({})));
        assert_eq!(told["ran"], json!(false), "{told}");
        poll("the intent is dropped", || {
            let address = environment.vms[vm].callers;
            let (_, look) = environment.get(address, &format!("/v1/programs/{program}"));
            look["intent"].is_null().then_some(())
        });
    }
}

/// A booking takes effect and its owner is killed before the reply; the service goes down as
/// well. The next owner can't send the booking and says that it did not run there; the entry
/// knows that the owner before may have sent it, and tells the caller "unknown".
#[test]
fn a_call_that_a_lost_owner_may_have_sent_is_not_told_as_not_run() {
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
    let told = call.join().expect("the caller is answered");
    assert_eq!(told["ran"], "unknown", "{told}");
}

/// A parent is ended while a receipt of its child is under way. The end waits for the receipt;
/// the child's caller gets it, and gets it again afterwards. Ended at once, the child would have
/// lost the answer, and asking again would be refused as not run.
#[test]
fn an_end_waits_for_the_receipt_of_a_child() {
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
    let told = std::thread::scope(|scope| {
        let call = scope.spawn(|| environment.call(1, child, &receipt));
        wait_effect(&environment, child, 1);
        let (status, account) = environment.end(2, &program);
        assert_eq!(status, 200, "{account}");
        call.join().expect("the caller is answered")
    });
    assert_eq!(told.0, 200, "{}", told.1);
    assert_eq!(environment.call(2, child, &receipt), told);
    assert_eq!(environment.effects(child, 1), 1);
}
