//! The calls of one program run in the order in which the program made them.

mod support;

use serde_json::json;
use support::{Environment, model, poll, service};

/// A caller sends calls n and n + 1 to two VMs at the same time. The receipts must be issued once each
/// and in the order of their numbers.
#[test]
fn calls_sent_to_two_vms_at_once_run_in_order() {
    let environment = Environment::start(0, 3);
    let program = environment.open(0, "quick", "levy-1", 5000);
    std::thread::scope(|scope| {
        for (vm, call) in (1..=8).rev().flat_map(|call| [(1, call), (2, call)]) {
            let (environment, program) = (&environment, &program);
            scope.spawn(move || {
                let (status, response) =
                    environment.call(vm, program, &service(call, "receipt", &json!({})));
                assert_eq!(status, 200, "{response}");
                assert_eq!(response["body"]["key"], format!("{program}/{call}"));
            });
            // Lets the call with the higher number arrive first.
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    let expected: Vec<String> = (1..=8).map(|call| format!("{program}/{call}")).collect();
    let counters = environment.counters(environment.service.address);
    assert_eq!(counters["order"], json!(expected));
}

/// The owner is stopped in mid-stream and resumed after a takeover. Its late record must not change the
/// history, and its own caller must get the answer of the new owner.
#[test]
fn a_resumed_former_owner_does_not_change_the_history() {
    let environment = Environment::start(1, 3);
    let slow = json!({ "slower": 20, "vary": true });
    environment.faults(environment.engines[0].address, &slow);
    let program = environment.open(0, "quick", "route-1", 5000);
    let owner = environment.owner(&program);
    let (entry, other) = ((owner + 1) % 3, (owner + 2) % 3);
    let call = model(1, "Rework the route", 30);
    let mut stream = environment.stream_call(owner, &program, &call);
    assert_eq!(stream.next().expect("a part").0, "delta");
    environment.vms[owner].process.signal("STOP");
    let (status, first) = environment.call(entry, &program, &call);
    assert_eq!(status, 200, "{first}");
    let (status, second) = environment.call(other, &program, &model(2, "Once more", 10));
    assert_eq!(status, 200, "{second}");
    environment.vms[owner].process.signal("CONT");
    let last_event = stream.last().expect("a final event");
    assert_eq!(last_event.1, first);
    for vm in [owner, entry, other] {
        poll("every VM gives the same answer", || {
            (environment.call(vm, &program, &call).1 == first).then_some(())
        });
    }
    let (_, view) = environment.get(
        environment.vms[owner].callers,
        &format!("/v1/programs/{program}"),
    );
    assert_eq!(
        (&view["history_messages"], &view["next_call"]),
        (&json!(4), &json!(3))
    );
}
