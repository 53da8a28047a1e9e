//! A call that must not be repeated runs at most once, whatever is lost on the way.

mod support;

use serde_json::{Value, json};
use support::{Environment, poll, service};

/// Makes call 1 of a new program, a filing receipt, at a VM that is not the owner. `fault` gets
/// the program and its owner while the call is under way. Gives what the caller is told.
fn receipt(
    environment: &Environment,
    key: &str,
    fault: impl FnOnce(&str, usize),
) -> (String, usize, (u16, Value)) {
    let program = environment.open(0, "quick", key, 5000);
    let owner = environment.owner(&program);
    let entry = (owner + 1) % environment.vms.len();
    let told = std::thread::scope(|scope| {
        let call =
            scope.spawn(|| environment.call(entry, &program, &service(1, "receipt", &json!({}))));
        fault(&program, owner);
        call.join().expect("the caller is answered")
    });
    (program, owner, told)
}

fn asked_again(environment: &Environment, owner: usize, program: &str) -> (u16, Value) {
    let entry = (owner + 2) % environment.vms.len();
    environment.call(entry, program, &service(1, "receipt", &json!({})))
}

/// The caller asks for a receipt; the service issues it and is slow to reply; the owner is
/// killed. The log is slow too, so the next owner is asked for the call before its record of the
/// unknown outcome is in the log. Sent again there, the employer would have declared twice.
#[test]
fn a_receipt_is_not_sent_again_by_the_next_owner() {
    let environment = Environment::start(0, 3);
    environment.faults(
        environment.service.address,
        &json!({ "reply_after_ms": 60000 }),
    );
    let (program, owner, told) = receipt(&environment, "levy-1", |program, owner| {
        poll("the effect", || {
            (environment.effects(program, 1) == 1).then_some(())
        });
        environment.faults(environment.log.address, &json!({ "slow_ms": 700 }));
        environment.vms[owner].process.signal("KILL");
    });
    assert_eq!(
        (told.0, &told.1["code"]),
        (502, &json!("VT4003")),
        "{told:?}"
    );
    assert_eq!(told.1["ran"], "unknown");
    assert_eq!(environment.effects(&program, 1), 1);
    assert_eq!(asked_again(&environment, owner, &program), told);
    assert_eq!(environment.effects(&program, 1), 1);
}
