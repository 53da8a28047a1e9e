//! A call that must not be repeated runs at most once, whatever fails on the way.

mod support;

use serde_json::{Value, json};
use std::time::Duration;
use support::{Environment, poll, service};

/// What the caller of a receipt was answered, with the owner at that time.
struct ReceiptOutcome {
    program: String,
    owner: usize,
    status: u16,
    body: Value,
}

/// Makes call 1 of a new program, a filing receipt, at a VM that is not the owner. `before` runs
/// ahead of the call, `during` while it is in flight, with the program and its owner.
fn issue_receipt(
    environment: &Environment,
    key: &str,
    before: impl FnOnce(),
    during: impl FnOnce(&str, usize),
) -> ReceiptOutcome {
    let program = environment.open(0, "quick", key, 5000);
    let owner = environment.owner(&program);
    before();
    let entry = (owner + 1) % environment.vms.len();
    let (status, body) = std::thread::scope(|scope| {
        let call = scope.spawn(|| environment.call(entry, &program, &receipt_call()));
        during(&program, owner);
        call.join().expect("the caller is answered")
    });
    ReceiptOutcome {
        program,
        owner,
        status,
        body,
    }
}

fn receipt_call() -> Value {
    service(1, "receipt", &json!({}))
}

impl ReceiptOutcome {
    /// Checks that the answer agrees with the effects, and that repeating the call changes neither.
    fn check(&self, environment: &Environment, step: &str) {
        let effects = environment.effects(&self.program, 1);
        let agrees = match (self.status, &self.body["ran"]) {
            (200, _) => effects == 1,
            (_, Value::Bool(false)) => effects == 0,
            _ => effects <= 1,
        };
        assert!(agrees, "{step}: {effects} effects, answered {}", self.body);
        let entry = (self.owner + 2) % environment.vms.len();
        let repeated = environment.call(entry, &self.program, &receipt_call());
        if self.body["ran"] != json!(false) {
            assert_eq!(repeated, (self.status, self.body.clone()), "{step}");
            assert_eq!(environment.effects(&self.program, 1), effects, "{step}");
        }
    }

    fn is_unknown(&self) -> bool {
        self.body["code"] == "VT4003" && self.body["ran"] == "unknown"
    }
}

fn wait_effect(environment: &Environment, program: &str) {
    poll("the effect has happened", || {
        (environment.effects(program, 1) == 1).then_some(())
    });
}

/// The owner is killed after the service issued the receipt but before it replied, and the log is
/// slow. The next owner must not send the receipt again.
#[test]
fn a_takeover_does_not_send_a_receipt_twice() {
    let environment = Environment::start(0, 3);
    let delay_replies = || {
        environment.faults(
            environment.service.address,
            &json!({ "reply_after_ms": 60000 }),
        );
    };
    let outcome = issue_receipt(&environment, "levy-1", delay_replies, |program, owner| {
        wait_effect(&environment, program);
        environment.faults(environment.log.address, &json!({ "slow_ms": 700 }));
        environment.vms[owner].process.signal("KILL");
    });
    assert!(outcome.is_unknown(), "{}", outcome.body);
    assert_eq!(environment.effects(&outcome.program, 1), 1);
    outcome.check(&environment, "effect");
}

/// The owner is killed at each step of a receipt in turn. The next owner must answer with the
/// recorded outcome, or with "unknown" if only the intent was recorded.
#[test]
fn a_receipt_whose_owner_is_killed_at_any_step_is_issued_at_most_once() {
    let mut environment = Environment::start(0, 3);
    let steps = [
        "intent sent",
        "intent taken",
        "sent",
        "effect",
        "outcome taken",
    ];
    for (index, step) in steps.into_iter().enumerate() {
        let outcome = issue_receipt(
            &environment,
            &format!("levy-{index}"),
            || inject_fault(&environment, step),
            |program, owner| kill_owner_at(&environment, step, program, owner),
        );
        environment.clear_faults();
        match step {
            "intent taken" | "effect" => assert!(outcome.is_unknown(), "{step}: {}", outcome.body),
            "outcome taken" => assert_eq!(outcome.status, 200, "{}", outcome.body),
            _ => {}
        }
        outcome.check(&environment, step);
        environment.vms[outcome.owner].process.kill();
        environment.restart_vm(outcome.owner);
        environment.wait_ready(outcome.owner);
        environment.wait_owned();
    }
}

/// Injects the fault that holds the call before or at the step.
fn inject_fault(environment: &Environment, step: &str) {
    let (log, service) = (environment.log.address, environment.service.address);
    match step {
        "intent sent" => environment.faults(log, &json!({ "frozen": true })),
        "intent taken" => environment.faults(log, &json!({ "hold_reads": true })),
        "effect" => environment.faults(service, &json!({ "reply_after_ms": 60000 })),
        _ => environment.faults(service, &json!({ "frozen": true })),
    }
}

/// Waits until the call is at the step and kills the owner.
fn kill_owner_at(environment: &Environment, step: &str, program: &str, owner: usize) {
    match step {
        "intent sent" => environment.wait_stage(owner, program, "journal_intent"),
        "intent taken" => environment.wait_record(program, "intent"),
        "effect" => wait_effect(environment, program),
        _ => environment.wait_stage(owner, program, "send"),
    }
    if step == "outcome taken" {
        environment.faults(environment.log.address, &json!({ "hold_reads": true }));
        environment.faults(environment.service.address, &json!({ "frozen": false }));
        environment.wait_record(program, "done");
    }
    environment.vms[owner].process.signal("KILL");
    environment.clear_faults();
    // So that the next owner gets the call before its own records are in the log.
    environment.faults(environment.log.address, &json!({ "slow_ms": 400 }));
}

/// The owner is stopped with its intent in the log and resumed after a takeover. It must not send the
/// receipt although the first reply that it reads shows the intent as valid.
#[test]
fn an_owner_resumed_after_a_takeover_sends_nothing() {
    let environment = Environment::start(0, 3);
    let hold_reads = || environment.faults(environment.log.address, &json!({ "hold_reads": true }));
    let outcome = issue_receipt(&environment, "levy-2", hold_reads, |program, owner| {
        environment.wait_record(program, "intent");
        environment.vms[owner].process.signal("STOP");
        environment.clear_faults();
    });
    assert!(outcome.is_unknown(), "{}", outcome.body);
    // Longer than the time in which the call could still be sent.
    std::thread::sleep(Duration::from_secs(3));
    environment.vms[outcome.owner].process.signal("CONT");
    poll("the resumed VM has dropped the call", || {
        let address = environment.vms[outcome.owner].operators;
        let (_, state) = environment.get(address, "/state");
        let runs = state["owner"]["runs"].as_object()?;
        (!runs.contains_key(&outcome.program)).then_some(())
    });
    assert_eq!(environment.effects(&outcome.program, 1), 0);
    outcome.check(&environment, "woken");
}

/// The connection is reset within the reply of the service, and the log loses replies, so that intent
/// and outcome are appended twice. The caller must be answered "unknown", also when it repeats.
#[test]
fn a_receipt_with_a_truncated_reply_is_unknown() {
    let environment = Environment::start(0, 3);
    let cut_replies = || {
        environment.faults(environment.service.address, &json!({ "cut_replies": 1 }));
        environment.faults(environment.log.address, &json!({ "lose_replies": 3 }));
    };
    let outcome = issue_receipt(&environment, "levy-3", cut_replies, |_, _| {});
    assert!(outcome.is_unknown(), "{}", outcome.body);
    assert_eq!(environment.effects(&outcome.program, 1), 1);
    outcome.check(&environment, "cut");
}

/// The log accepts no append until the deadline. The call must be refused as not run, and its intent
/// must not count when it reaches the log later.
#[test]
fn a_receipt_is_refused_as_not_run_while_the_log_is_down() {
    let environment = Environment::start(0, 3);
    let program = environment.open(0, "quick", "levy-4", 5000);
    environment.faults(environment.log.address, &json!({ "down": true }));
    let mut call = receipt_call();
    call["timeout_ms"] = json!(1500);
    let (_, outcome) = environment.call(1, &program, &call);
    assert_eq!(
        (&outcome["code"], &outcome["ran"]),
        (&json!("VT3002"), &json!(false))
    );
    assert!(outcome["retry_after_ms"].as_u64() > Some(0), "{outcome}");
    assert_eq!(environment.effects(&program, 1), 0);
    environment.clear_faults();
    poll("the call is recorded", || {
        (environment.call(2, &program, &receipt_call()).0 == 200).then_some(())
    });
    assert_eq!(environment.effects(&program, 1), 1);
}
