//! A tool that hangs and a program that loops end with their codes and free what they held.

mod support;

use serde_json::{Value, json};
use support::{Environment, model, poll, service};

fn start(class: &Value) -> (Environment, String) {
    let environment = Environment::start(1, 2);
    environment.publish("class/bounded", class.clone(), None);
    let open = json!({ "class": "bounded", "key": "loop-1", "budget": { "tokens": 50_000 } });
    let program = poll("the class is in force", || {
        let (_, told) = environment.post(environment.vms[0].callers, "/v1/programs", &open);
        told["program"].as_str().map(str::to_owned)
    });
    (environment, program)
}

/// Waits until the program has ended with a code and no engine holds cache for it.
fn wait_freed(environment: &Environment, program: &str, code: &str) {
    poll("the program has ended and holds nothing", || {
        let path = format!("/v1/programs/{program}");
        let (_, look) = environment.get(environment.vms[1].callers, &path);
        let held = &environment.counters(environment.engines[0].address)["held"];
        let free = look["resident"] == json!([]) && held.get(program).is_none();
        (look["ended_with"] == code && free).then_some(())
    });
}

/// A program makes call after call without an end. At the number of turns of its class it is
/// ended with a code, and the engine's cache for it is evicted.
#[test]
fn a_program_that_loops_ends_with_its_code() {
    let (environment, program) = start(&json!({ "target_ms": 5000, "turns": 4 }));
    for call in 1..=4 {
        let (status, told) = environment.call(0, &program, &model(call, "Again", 4));
        assert_eq!(status, 200, "{told}");
    }
    let (_, told) = environment.call(1, &program, &model(5, "Again", 4));
    assert_eq!(
        (&told["code"], &told["ran"]),
        (&json!("VT2002"), &json!(false))
    );
    wait_freed(&environment, &program, "VT2002");
}

/// A tool hangs past the time that the class gives a program. The program is ended with a code,
/// its cache is evicted, and the tool's server has its place free for the call of another.
#[test]
fn a_tool_that_hangs_does_not_hold_its_program() {
    let (environment, program) = start(&json!({ "target_ms": 1000, "limit_ms": 2500 }));
    assert_eq!(
        environment.call(0, &program, &model(1, "Look it up", 4)).0,
        200
    );
    environment.faults(environment.service.address, &json!({ "frozen": true }));
    let (status, told) = environment.call(1, &program, &service(2, "rates", &json!({})));
    assert_eq!((status, &told["ran"]), (409, &json!("unknown")), "{told}");
    wait_freed(&environment, &program, "VT2006");
    environment.heal();
    let other = environment.open(0, "quick", "loop-2", 500);
    assert_eq!(
        environment
            .call(1, &other, &service(1, "rates", &json!({})))
            .0,
        200
    );
}
