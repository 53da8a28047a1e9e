//! Cache that engines hold for an ended program is always evicted.

mod support;

use serde_json::json;
use support::{Environment, model, poll};

/// Tokens that the engines hold in cache, by their own counters.
fn held_tokens(environment: &Environment) -> u64 {
    let held_tokens = environment.engines.iter().map(|engine| {
        let counters = environment.counters(engine.address);
        let held_tokens = counters["held"].as_object().expect("a map").values();
        held_tokens
            .map(|tokens| tokens.as_u64().expect("a number"))
            .sum::<u64>()
    });
    held_tokens.sum()
}

fn wait_evicted(environment: &Environment) {
    poll("the engines hold no cache", || {
        (held_tokens(environment) == 0).then_some(())
    });
}

fn ended_program(environment: &Environment, key: &str) -> String {
    let program = environment.open(0, "quick", key, 5000);
    let (status, answer) = environment.call(0, &program, &model(1, "Which levy applies?", 5));
    assert_eq!(status, 200, "{answer}");
    assert!(held_tokens(environment) > 0);
    program
}

/// The engine refuses evictions when a program ends, and the owner is killed before one succeeds. The
/// VM that takes over must find the engine in the journal and evict the cache.
#[test]
fn an_eviction_is_completed_after_a_takeover() {
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

/// The reply to an eviction is lost. The owner must repeat the eviction, and the engine must not be
/// listed for the program afterwards.
#[test]
fn an_eviction_whose_reply_is_lost_is_retried() {
    let environment = Environment::start(1, 3);
    let program = ended_program(&environment, "evict-2");
    environment.faults(
        environment.engines[0].address,
        &json!({ "lose_replies": 1 }),
    );
    environment.end(0, &program);
    poll("the eviction is retried", || {
        let counters = environment.counters(environment.engines[0].address);
        (counters["evictions"].as_u64() >= Some(2)).then_some(())
    });
    wait_evicted(&environment);
    poll("no engine is listed for the program", || {
        let (_, view) = environment.try_get(
            environment.vms[0].callers,
            &format!("/v1/programs/{program}"),
        )?;
        (view["resident"] == json!([])).then_some(())
    });
}

/// The owner is killed in mid-stream and the program is ended at another VM. The new owner must evict
/// the cache of the interrupted attempt, since the engine was journaled before the request was sent.
#[test]
fn the_cache_of_an_interrupted_attempt_is_evicted() {
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
            (held_tokens(&environment) > 0).then_some(())
        });
    });
    environment.vms[owner].process.kill();
    let (status, account) = environment.end(entry, &program);
    assert_eq!(status, 200, "{account}");
    wait_evicted(&environment);
}

/// A program that loops is ended by the turn limit of its class, and its cache must be evicted without
/// a request to end the program.
#[test]
fn a_looping_program_is_ended_and_its_cache_evicted() {
    let environment = Environment::start(1, 3);
    environment.publish("class/loop", json!({ "target_ms": 5000, "turns": 3 }), None);
    let program = poll("the class is applied", || {
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
