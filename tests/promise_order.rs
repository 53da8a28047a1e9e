//! The calls of one program run in the order in which the program made them.

mod support;

use serde_json::json;
use support::{Environment, model, poll, service};

/// A caller that retries at two VMs feeds both of them call n and call n + 1 at once. Whichever
/// comes in first, the receipts are issued in the order of their numbers, each of them once.
#[test]
fn calls_fed_to_two_vms_at_once_run_in_order() {
    let environment = Environment::start(0, 3);
    let program = environment.open(0, "quick", "levy-1", 5000);
    std::thread::scope(|scope| {
        for (vm, call) in (1..=8).rev().flat_map(|call| [(1, call), (2, call)]) {
            let (environment, program) = (&environment, &program);
            scope.spawn(move || {
                let (status, told) =
                    environment.call(vm, program, &service(call, "receipt", &json!({})));
                assert_eq!(status, 200, "{told}");
                assert_eq!(told["body"]["key"], format!("{program}/{call}"));
            });
            // The later call of each pair comes in first.
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    let expected: Vec<String> = (1..=8).map(|call| format!("{program}/{call}")).collect();
    let counters = environment.counters(environment.service.address);
    assert_eq!(counters["order"], json!(expected));
}

/// The owner is stopped while it streams an answer. The next owner runs the call anew and tells
/// its answer, then the next call. The former owner wakes and finishes its stream: its record
/// comes too late to count, and its own caller gets the answer that the history has.
#[test]
fn a_former_owner_that_wakes_changes_no_history() {
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
    let last = stream.last().expect("a final event");
    assert_eq!(last.1, first);
    for vm in [owner, entry, other] {
        poll("every VM tells the same", || {
            (environment.call(vm, &program, &call).1 == first).then_some(())
        });
    }
    let (_, look) = environment.get(
        environment.vms[owner].callers,
        &format!("/v1/programs/{program}"),
    );
    assert_eq!(
        (&look["history_messages"], &look["next_call"]),
        (&json!(4), &json!(3))
    );
}
