//! The whole path from caller to backend server, with separate processes.

mod support;

use serde_json::json;
use support::{Environment, model, service};

#[test]
fn a_program_runs_across_three_vms() {
    let environment = Environment::start(2, 3);
    let program = environment.open(0, "quick", "levy-1", 5000);
    assert_eq!(environment.open(2, "quick", "levy-1", 5000), program);

    let (status, first) = environment.call(1, &program, &model(1, "Which levy applies?", 6));
    assert_eq!(status, 200, "{first}");
    let (_, repeated) = environment.call(2, &program, &model(1, "Which levy applies?", 6));
    assert_eq!(repeated, first);
    let (status, conflicting) = environment.call(2, &program, &model(1, "Another question", 6));
    assert_eq!((status, &conflicting["code"]), (409, &json!("VT1007")));

    let (status, rates) = environment.call(0, &program, &service(2, "rates", &json!({})));
    assert_eq!(status, 200, "{rates}");
    let spawn = json!({ "call": 3, "spawn": { "class": "rework", "budget": { "tokens": 900 } } });
    let (status, child) = environment.call(1, &program, &spawn);
    assert_eq!(status, 200, "{child}");
    let child = child["program"].as_str().expect("an id").to_owned();
    let (status, answer) = environment.call(2, &child, &model(1, "Rework the route", 4));
    assert_eq!(status, 200, "{answer}");

    let (status, account) = environment.end(2, &program);
    assert_eq!(status, 200, "{account}");
    let (_, read) = environment.get(
        environment.vms[0].callers,
        &format!("/v1/programs/{program}/calls/1"),
    );
    assert_eq!(read, first);
    support::poll("the engines hold no cache", || {
        let held_programs = |engine: &support::Process| {
            environment.counters(engine.address)["held"]
                .as_object()
                .map_or(1, serde_json::Map::len)
        };
        environment
            .engines
            .iter()
            .all(|engine| held_programs(engine) == 0)
            .then_some(())
    });
}

/// The owner is killed between two calls. The second call must run at the VM that takes over, with the
/// history, the budget and the stored answers of the first owner.
#[test]
fn a_program_continues_after_its_owner_is_killed() {
    let mut environment = Environment::start(1, 3);
    let program = environment.open(0, "quick", "levy-2", 5000);
    let (_, first) = environment.call(0, &program, &model(1, "Which levy applies?", 6));
    let owner = environment.owner(&program);
    environment.vms[owner].process.kill();

    let entry = (owner + 1) % 3;
    let (status, second) = environment.call(entry, &program, &model(2, "And for a van?", 6));
    assert_eq!(status, 200, "{second}");
    assert!(
        second["usage"]["prompt"].as_u64() > first["usage"]["prompt"].as_u64(),
        "{second}"
    );
    let (_, repeated) = environment.call(entry, &program, &model(1, "Which levy applies?", 6));
    assert_eq!(repeated, first);
    let (_, account) = environment.end(entry, &program);
    assert_eq!(account["calls"], 2);
}
