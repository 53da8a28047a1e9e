//! Engine memory that is held for an ended program is always evicted.

mod support;

use serde_json::json;
use support::{Environment, model, poll};

/// Tokens that the engines hold, by the stand-ins' own count.
fn held(environment: &Environment) -> u64 {
    let held = environment.engines.iter().map(|engine| {
        let counters = environment.counters(engine.address);
        let held = counters["held"].as_object().expect("a map").values();
        held.map(|tokens| tokens.as_u64().expect("a number"))
            .sum::<u64>()
    });
    held.sum()
}

fn wait_evicted(environment: &Environment) {
    poll("the engines hold nothing", || {
        (held(environment) == 0).then_some(())
    });
}

fn ended_program(environment: &Environment, key: &str) -> String {
    let program = environment.open(0, "quick", key, 5000);
    let (status, answer) = environment.call(0, &program, &model(1, "Which levy applies?", 5));
    assert_eq!(status, 200, "{answer}");
    assert!(held(environment) > 0);
    program
}

/// The program ends while its engine refuses evictions, and its owner is killed before any of them
/// is taken. The engine comes back. The VM that takes the shard over finds the engine in the
/// journaled list of those that hold cache for the program and evicts it.
#[test]
fn an_eviction_outlives_the_owner_that_owed_it() {
    let mut environment = Environment::start(1, 3);
    let program = ended_program(&environment, "evict-1");
    let owner = environment.owner(&program);
    environment.faults(environment.engines[0].address, &json!({ "down": true }));
    let (status, account) = environment.end((owner + 1) % 3, &program);
    assert_eq!(status, 200, "{account}");
    poll("an eviction has failed", || {
        (environment.vms[owner].process.logged("event=evict_failed") > 0).then_some(())
    });
    environment.vms[owner].process.kill();
    environment.faults(environment.engines[0].address, &json!({ "down": false }));
    wait_evicted(&environment);
}

/// The reply of the eviction is lost after it took effect. The owner evicts again, which frees
/// nothing more and harms nothing; the record that ends the matter is written once a reply came.
#[test]
fn an_eviction_whose_reply_is_lost_is_made_again() {
    let environment = Environment::start(1, 3);
    let program = ended_program(&environment, "evict-2");
    environment.faults(
        environment.engines[0].address,
        &json!({ "lose_replies": 1 }),
    );
    environment.end(0, &program);
    poll("the eviction was made again", || {
        let counters = environment.counters(environment.engines[0].address);
        (counters["evictions"].as_u64() >= Some(2)).then_some(())
    });
    wait_evicted(&environment);
    poll("no engine is listed any more", || {
        let (_, look) = environment.try_get(
            environment.vms[0].callers,
            &format!("/v1/programs/{program}"),
        )?;
        (look["resident"] == json!([])).then_some(())
    });
}

/// The owner is killed while an answer streams, and nobody calls again: the program is ended at
/// another VM. The engine was journaled before anything was sent, so the new owner evicts what
/// the cut attempt has left there.
#[test]
fn the_cache_of_a_cut_attempt_is_evicted() {
    let mut environment = Environment::start(1, 3);
    let program = environment.open(0, "quick", "evict-3", 5000);
    let owner = environment.owner(&program);
    let entry = (owner + 1) % 3;
    environment.faults(environment.engines[0].address, &json!({ "slower": 100 }));
    let callers = environment.vms[entry].callers;
    let path = format!("/v1/programs/{program}/calls");
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut call = model(1, "Which levy applies?", 50);
            call["timeout_ms"] = json!(3000);
            environment.try_post(callers, &path, &call)
        });
        poll("the engine holds the prompt", || {
            (held(&environment) > 0).then_some(())
        });
    });
    environment.vms[owner].process.kill();
    let (status, account) = environment.end(entry, &program);
    assert_eq!(status, 200, "{account}");
    wait_evicted(&environment);
}

/// A loop is cut by the turn limit of its class: the call past it is refused with that code, the
/// program ends by itself, and the engines are freed without anybody asking.
#[test]
fn a_program_that_loops_is_ended_and_freed() {
    let environment = Environment::start(1, 3);
    environment.publish("class/loop", json!({ "target_ms": 5000, "turns": 3 }), None);
    let program = poll("the class is in force", || {
        let body = json!({ "class": "loop", "key": "loop-1", "budget": { "tokens": 9000 } });
        let reply = environment.try_post(environment.vms[0].callers, "/v1/programs", &body)?;
        reply.1["program"].as_str().map(str::to_owned)
    });
    for call in 1..=3 {
        let (status, answer) = environment.call(0, &program, &model(call, "Again", 3));
        assert_eq!(status, 200, "{answer}");
    }
    let (_, refusal) = environment.call(0, &program, &model(4, "Again", 3));
    assert_eq!(
        (&refusal["code"], &refusal["ran"]),
        (&json!("VT2002"), &json!(false))
    );
    wait_evicted(&environment);
    let (_, account) = environment.end(0, &program);
    assert_eq!(account["ended_with"], json!("VT2002"));
}
