//! A call that must not be repeated runs at most once, whatever is lost on the way.

mod support;

use serde_json::{Value, json};
use std::time::Duration;
use support::{Environment, poll, service};

/// What the caller of a receipt was told, and where.
struct Told {
    program: String,
    owner: usize,
    status: u16,
    body: Value,
}

/// Makes call 1 of a new program, a filing receipt, at a VM that is not the owner. `before` comes
/// ahead of the call; `during` gets the program and its owner while the call is under way.
fn receipt(
    environment: &Environment,
    key: &str,
    before: impl FnOnce(),
    during: impl FnOnce(&str, usize),
) -> Told {
    let program = environment.open(0, "quick", key, 5000);
    let owner = environment.owner(&program);
    before();
    let entry = (owner + 1) % environment.vms.len();
    let (status, body) = std::thread::scope(|scope| {
        let call = scope.spawn(|| environment.call(entry, &program, &file()));
        during(&program, owner);
        call.join().expect("the caller is answered")
    });
    Told {
        program,
        owner,
        status,
        body,
    }
}

fn file() -> Value {
    service(1, "receipt", &json!({}))
}

impl Told {
    /// What was told agrees with the effects, and asking again changes neither.
    fn check(&self, environment: &Environment, step: &str) {
        let effects = environment.effects(&self.program, 1);
        let agrees = match (self.status, &self.body["ran"]) {
            (200, _) => effects == 1,
            (_, Value::Bool(false)) => effects == 0,
            _ => effects <= 1,
        };
        assert!(agrees, "{step}: {effects} effects, told {}", self.body);
        let entry = (self.owner + 2) % environment.vms.len();
        let again = environment.call(entry, &self.program, &file());
        if self.body["ran"] != json!(false) {
            assert_eq!(again, (self.status, self.body.clone()), "{step}");
            assert_eq!(environment.effects(&self.program, 1), effects, "{step}");
        }
    }

    fn is_unknown(&self) -> bool {
        self.body["code"] == "VT4003" && self.body["ran"] == "unknown"
    }
}

fn wait_effect(environment: &Environment, program: &str) {
    poll("the effect", || {
        (environment.effects(program, 1) == 1).then_some(())
    });
}

/// The caller asks for a receipt; the service issues it and is slow to reply; the owner is
/// killed. The log is slow too, so the next owner is asked for the call before its record of the
/// unknown outcome is in the log. Sent again there, the employer would have declared twice.
#[test]
fn a_receipt_is_not_sent_again_by_the_next_owner() {
    let environment = Environment::start(0, 3);
    let late = || {
        environment.faults(
            environment.service.address,
            &json!({ "reply_after_ms": 60000 }),
        );
    };
    let told = receipt(&environment, "levy-1", late, |program, owner| {
        wait_effect(&environment, program);
        environment.faults(environment.log.address, &json!({ "slow_ms": 700 }));
        environment.vms[owner].process.signal("KILL");
    });
    assert!(told.is_unknown(), "{}", told.body);
    assert_eq!(environment.effects(&told.program, 1), 1);
    told.check(&environment, "effect");
}

/// The owner is killed at each step of a receipt in turn: with the intent on its way to the log,
/// in the log but not read back, sent, in effect, and with the outcome in the log but not read
/// back. The entry that the caller asked brings the call to the next owner, which tells the
/// recorded answer where there is one and "unknown" where there is only the intent.
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
        let told = receipt(
            &environment,
            &format!("levy-{index}"),
            || hold_at(&environment, step),
            |program, owner| kill_at(&environment, step, program, owner),
        );
        environment.heal();
        match step {
            "intent taken" | "effect" => assert!(told.is_unknown(), "{step}: {}", told.body),
            "outcome taken" => assert_eq!(told.status, 200, "{}", told.body),
            _ => {}
        }
        told.check(&environment, step);
        environment.vms[told.owner].process.kill();
        environment.restart_vm(told.owner);
        environment.wait_ready(told.owner);
        environment.wait_owned();
    }
}

/// Sets the fault that holds the call before or at the step.
fn hold_at(environment: &Environment, step: &str) {
    let (log, service) = (environment.log.address, environment.service.address);
    match step {
        "intent sent" => environment.faults(log, &json!({ "frozen": true })),
        "intent taken" => environment.faults(log, &json!({ "hold_reads": true })),
        "effect" => environment.faults(service, &json!({ "reply_after_ms": 60000 })),
        _ => environment.faults(service, &json!({ "frozen": true })),
    }
}

fn kill_at(environment: &Environment, step: &str, program: &str, owner: usize) {
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
    environment.heal();
    // The next owner is asked before its own records are in the log.
    environment.faults(environment.log.address, &json!({ "slow_ms": 400 }));
}

/// The owner is stopped with its intent in the log and is woken after another VM has taken the
/// shard over and has told the caller "unknown". What it finds first in its socket is the old
/// reply that shows its intent as valid; sent then, the receipt would come long after the caller
/// was told.
#[test]
fn an_owner_that_wakes_after_a_takeover_sends_nothing() {
    let environment = Environment::start(0, 3);
    let hold = || environment.faults(environment.log.address, &json!({ "hold_reads": true }));
    let told = receipt(&environment, "levy-2", hold, |program, owner| {
        environment.wait_record(program, "intent");
        environment.vms[owner].process.signal("STOP");
        environment.heal();
    });
    assert!(told.is_unknown(), "{}", told.body);
    // Past the window in which a sending could follow; nothing is asserted of its length.
    std::thread::sleep(Duration::from_secs(3));
    environment.vms[told.owner].process.signal("CONT");
    poll("the woken VM has given the call up", || {
        let address = environment.vms[told.owner].operators;
        let (_, state) = environment.get(address, "/state");
        let runs = state["owner"]["runs"].as_object()?;
        (!runs.contains_key(&told.program)).then_some(())
    });
    assert_eq!(environment.effects(&told.program, 1), 0);
    told.check(&environment, "woken");
}

/// The service issues the receipt and the connection is reset after the first byte of its reply;
/// at the same time the log loses the replies of appends that it has taken, so that intent and
/// outcome are appended twice. The caller is told "unknown", once and for all.
#[test]
fn a_receipt_whose_reply_is_cut_is_told_as_unknown() {
    let environment = Environment::start(0, 3);
    let cut = || {
        environment.faults(environment.service.address, &json!({ "cut_replies": 1 }));
        environment.faults(environment.log.address, &json!({ "lose_replies": 3 }));
    };
    let told = receipt(&environment, "levy-3", cut, |_, _| {});
    assert!(told.is_unknown(), "{}", told.body);
    assert_eq!(environment.effects(&told.program, 1), 1);
    told.check(&environment, "cut");
}

/// The log takes no append until the caller's deadline. The call is refused as not run, and the
/// intent that reaches the log later does not count: it was dropped. Asked for again with the log
/// up, the receipt is issued once.
#[test]
fn a_receipt_is_refused_as_not_run_while_the_log_is_down() {
    let environment = Environment::start(0, 3);
    let program = environment.open(0, "quick", "levy-4", 5000);
    environment.faults(environment.log.address, &json!({ "down": true }));
    let mut call = file();
    call["timeout_ms"] = json!(1500);
    let (_, told) = environment.call(1, &program, &call);
    assert_eq!(
        (&told["code"], &told["ran"]),
        (&json!("VT3002"), &json!(false))
    );
    assert!(told["retry_after_ms"].as_u64() > Some(0), "{told}");
    assert_eq!(environment.effects(&program, 1), 0);
    environment.heal();
    poll("the log takes the call", || {
        (environment.call(2, &program, &file()).0 == 200).then_some(())
    });
    assert_eq!(environment.effects(&program, 1), 1);
}
