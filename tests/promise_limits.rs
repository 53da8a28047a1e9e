//! A program that loops, or whose tool hangs, is ended with a code and its resources are freed.

mod support;

use serde_json::{Value, json};
use support::{Environment, model, poll, service};

/// Starts an environment with a program of a class with these limits.
fn start_program(class: &Value) -> (Environment, String) {
    let environment = Environment::start(1, 2);
    environment.publish("class/bounded", class.clone(), None);
    let open = json!({ "class": "bounded", "key": "loop-1", "budget": { "tokens": 50_000 } });
    let program = poll("the class is applied", || {
        let (_, response) = environment.post(environment.vms[0].callers, "/v1/programs", &open);
        response["program"].as_str().map(str::to_owned)
    });
    (environment, program)
}

/// Waits until the program has ended with the code and no engine holds cache for it.
fn wait_freed(environment: &Environment, program: &str, code: &str) {
    poll("the program has ended and its cache is freed", || {
        let path = format!("/v1/programs/{program}");
        let (_, view) = environment.get(environment.vms[1].callers, &path);
        let held = &environment.counters(environment.engines[0].address)["held"];
        let freed = view["resident"] == json!([]) && held.get(program).is_none();
        (view["ended_with"] == code && freed).then_some(())
    });
}

/// A program makes calls without end. At the turn limit of its class it must be ended with a code and
/// its cache at the engine evicted.
#[test]
fn a_looping_program_is_ended_at_its_turn_limit() {
    let (environment, program) = start_program(&json!({ "target_ms": 5000, "turns": 4 }));
    for call in 1..=4 {
        let (status, response) = environment.call(0, &program, &model(call, "Again", 4));
        assert_eq!(status, 200, "{response}");
    }
    let (_, response) = environment.call(1, &program, &model(5, "Again", 4));
    assert_eq!(
        (&response["code"], &response["ran"]),
        (&json!("VT2002"), &json!(false))
    );
    wait_freed(&environment, &program, "VT2002");
}

/// A tool hangs past the time limit of the program. The program must be ended, its cache evicted and
/// the slot at the tool's server freed for other calls.
#[test]
fn a_hanging_tool_does_not_block_its_program() {
    let (environment, program) = start_program(&json!({ "target_ms": 1000, "limit_ms": 2500 }));
    assert_eq!(
        environment.call(0, &program, &model(1, "Look it up", 4)).0,
        200
    );
    environment.faults(environment.service.address, &json!({ "frozen": true }));
    let (status, response) = environment.call(1, &program, &service(2, "rates", &json!({})));
    assert_eq!(
        (status, &response["ran"]),
        (409, &json!("unknown")),
        "{response}"
    );
    wait_freed(&environment, &program, "VT2006");
    environment.clear_faults();
    let other = environment.open(0, "quick", "loop-2", 500);
    assert_eq!(
        environment
            .call(1, &other, &service(1, "rates", &json!({})))
            .0,
        200
    );
}
