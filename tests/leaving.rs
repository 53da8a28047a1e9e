//! A draining backend server gets no new requests.

mod support;

use serde_json::json;
use support::{Environment, model, poll, service};

/// Number of requests that the engine has received, by its own counters.
fn request_count(environment: &Environment, engine: usize) -> u64 {
    let counters = environment.counters(environment.engines[engine].address);
    counters["requests"].as_u64().expect("a count")
}

fn run_programs(environment: &Environment, name: &str, count: u64) {
    for number in 0..count {
        let vm = usize::try_from(number).expect("small") % environment.vms.len();
        let program = environment.open(vm, "quick", &format!("{name}-{number}"), 5000);
        let (status, answer) = environment.call(vm, &program, &model(1, "Which levy applies?", 3));
        assert_eq!(status, 200, "{answer}");
        environment.end(vm, &program);
    }
}

/// Waits until every VM knows that the server is draining.
fn wait_draining(environment: &Environment, server: &str) {
    for vm in &environment.vms {
        poll("every VM knows that the server is draining", || {
            let (_, state) = environment.try_get(vm.operators, "/state")?;
            let draining = state["view"]["leaving"].as_array()?;
            draining.contains(&json!(server)).then_some(())
        });
    }
}

/// Only one VM reads the list that names a server as draining. The other VMs must learn of it through
/// gossip and send the server nothing new.
#[test]
fn a_draining_server_known_to_one_vm_gets_no_new_requests() {
    let mut environment = Environment::start(2, 2);
    let list = environment.vm_list();
    environment.add_vm(&json!({ "vms": format!("http://{list}") }));
    run_programs(&environment, "before", 8);
    assert!(request_count(&environment, 0) > 0);
    environment.post_json(list, "/vms", &json!({ "vms": [], "leaving": ["e0"] }));
    wait_draining(&environment, "e0");
    let before = request_count(&environment, 0);
    run_programs(&environment, "after", 12);
    assert_eq!(request_count(&environment, 0), before);
}

/// A server reports that it is draining before any list does. All VMs must learn of it from the VM that
/// owns the queue of the pool, and send the server nothing new.
#[test]
fn a_server_that_reports_draining_gets_no_new_requests() {
    let environment = Environment::start(2, 3);
    run_programs(&environment, "before", 8);
    assert!(request_count(&environment, 0) > 0);
    environment.faults(environment.engines[0].address, &json!({ "leaving": true }));
    wait_draining(&environment, "e0");
    let before = request_count(&environment, 0);
    run_programs(&environment, "after", 12);
    assert_eq!(request_count(&environment, 0), before);
}

/// The only server of a service is draining. A call must be refused at once as not run, with a
/// retry-after, and must not reach the service.
#[test]
fn a_call_without_a_server_is_refused_as_not_run() {
    let environment = Environment::start(1, 3);
    let program = environment.open(0, "quick", "levy-1", 5000);
    let (status, answer) = environment.call(0, &program, &service(1, "rates", &json!({})));
    assert_eq!(status, 200, "{answer}");
    environment.faults(environment.service.address, &json!({ "leaving": true }));
    wait_draining(&environment, "s0");
    let (_, refusal) = environment.call(0, &program, &service(2, "receipt", &json!({})));
    assert_eq!(
        (&refusal["code"], &refusal["ran"]),
        (&json!("VT3006"), &json!(false))
    );
    assert!(refusal["retry_after_ms"].is_u64(), "{refusal}");
    assert_eq!(environment.effects(&program, 2), 0);
}
