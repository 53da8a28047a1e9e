//! A backend server that is leaving gets nothing new.

mod support;

use serde_json::json;
use support::{Environment, model, poll, service};

/// Requests that a stand-in has had, by its own count.
fn requests(environment: &Environment, engine: usize) -> u64 {
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

fn wait_known(environment: &Environment, server: &str) {
    for vm in &environment.vms {
        poll("every VM knows that the server is leaving", || {
            let (_, state) = environment.try_get(vm.operators, "/state")?;
            let leaving = state["view"]["leaving"].as_array()?;
            leaving.contains(&json!(server)).then_some(())
        });
    }
}

/// The platform's list names a server as leaving, and only one VM can read the list; the others
/// have none. They learn of it from that VM, and once they have, no call of any VM goes there.
#[test]
fn a_leaving_server_that_one_vm_knows_of_gets_nothing_new() {
    let mut environment = Environment::start(2, 2);
    let list = environment.vm_list();
    environment.add_vm(&json!({ "vms": format!("http://{list}") }));
    run_programs(&environment, "before", 8);
    assert!(requests(&environment, 0) > 0);
    environment.post_json(list, "/vms", &json!({ "vms": [], "leaving": ["e0"] }));
    wait_known(&environment, "e0");
    let before = requests(&environment, 0);
    run_programs(&environment, "after", 12);
    assert_eq!(requests(&environment, 0), before);
}

/// The list lags, but the server itself reports that it is leaving. The VM that holds the queue
/// of the pool reads that and tells the others, and nothing new goes to the server.
#[test]
fn a_server_that_reports_leaving_gets_nothing_new() {
    let environment = Environment::start(2, 3);
    run_programs(&environment, "before", 8);
    assert!(requests(&environment, 0) > 0);
    environment.faults(environment.engines[0].address, &json!({ "leaving": true }));
    wait_known(&environment, "e0");
    let before = requests(&environment, 0);
    run_programs(&environment, "after", 12);
    assert_eq!(requests(&environment, 0), before);
}

/// The only server of a service leaves. A call is refused as not run, at once and with a time to
/// come back, and the service sees nothing of it.
#[test]
fn a_call_without_a_server_is_refused_as_not_run() {
    let environment = Environment::start(1, 3);
    let program = environment.open(0, "quick", "levy-1", 5000);
    let (status, answer) = environment.call(0, &program, &service(1, "rates", &json!({})));
    assert_eq!(status, 200, "{answer}");
    environment.faults(environment.service.address, &json!({ "leaving": true }));
    wait_known(&environment, "s0");
    let (_, refusal) = environment.call(0, &program, &service(2, "receipt", &json!({})));
    assert_eq!(
        (&refusal["code"], &refusal["ran"]),
        (&json!("VT3006"), &json!(false))
    );
    assert!(refusal["retry_after_ms"].is_u64(), "{refusal}");
    assert_eq!(environment.effects(&program, 2), 0);
}
