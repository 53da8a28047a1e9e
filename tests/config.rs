//! Configuration changes: all VMs accept the same ones, apply them within seconds and never revert them.

mod support;

use proptest::prelude::*;
use serde_json::{Value, json};
use support::{Environment, poll};
use vanillatrail::config::{Outcome, State};
use vanillatrail::id::Offset;

fn change(key: &str, target_ms: u64, base: Option<u64>, id: Option<&str>) -> Vec<u8> {
    let value = json!({ "target_ms": target_ms });
    json!({ "schema": 1, "key": key, "base": base, "value": value, "by": "ama", "id": id })
        .to_string()
        .into_bytes()
}

/// Guards against a lost update: of two changes based on the same offset, only the first in the stream is accepted.
#[test]
fn second_of_two_concurrent_changes_is_refused() {
    let mut book = State::default();
    book.apply(Offset(0), &change("class/quick", 900, None, None));
    let first = book.apply(Offset(1), &change("class/quick", 800, Some(0), None));
    let second = book.apply(Offset(2), &change("class/quick", 700, Some(0), None));
    assert_eq!(first.outcome, Outcome::Accepted);
    let Outcome::Refused(failure) = second.outcome else {
        panic!("{second:?}")
    };
    assert_eq!(failure.code.to_string(), "VT5002");
    let class = "quick".parse().expect("a name");
    assert_eq!(book.snapshot().classes[&class].target_ms, 800);
}

/// Guards against a retry of a published change that is reported as a conflict, or undoes a later change.
#[test]
fn republished_change_is_applied_once() {
    let mut book = State::default();
    book.apply(Offset(0), &change("class/quick", 900, None, Some("c1")));
    let repeated = book.apply(Offset(1), &change("class/quick", 900, None, Some("c1")));
    assert_eq!(repeated.outcome, Outcome::Repeated(Offset(0)));
    book.apply(Offset(2), &change("class/quick", 800, Some(0), Some("c2")));
    let late = book.apply(Offset(3), &change("class/quick", 900, None, Some("c1")));
    assert!(matches!(late.outcome, Outcome::Refused(_)), "{late:?}");
    let class = "quick".parse().expect("a name");
    assert_eq!(book.snapshot().classes[&class].target_ms, 800);
}

#[test]
fn record_with_a_newer_schema_stops_admission() {
    let mut book = State::default();
    book.apply(
        Offset(0),
        br#"{"schema":2,"key":"class/quick","value":{},"by":"ama"}"#,
    );
    book.mark_caught_up();
    assert!(!book.snapshot().allows_admission());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against a VM that starts from a trimmed stream and gets other settings than a VM that read all of it,
    /// or admits programs without having read a checkpoint.
    #[test]
    fn reader_of_a_trimmed_stream_gets_the_same_settings(
        steps in prop::collection::vec((0_u8..3, 1_u64..5, 0_u64..12, any::<bool>()), 1..40),
        trimmed in 0_usize..40,
    ) {
        let mut full_reader = State::default();
        let mut stream: Vec<Vec<u8>> = Vec::new();
        for (key, target, base, checkpoint) in steps {
            let offset = Offset(stream.len() as u64);
            full_reader.mark_caught_up();
            let entry = match full_reader.due_checkpoint(0, 0).filter(|_| checkpoint) {
                Some(checkpoint) => serde_json::to_vec(&checkpoint).expect("JSON"),
                None => change(&format!("class/c{key}"), target, base.checked_sub(1), None),
            };
            full_reader.apply(offset, &entry);
            stream.push(entry);
        }
        let trimmed = trimmed.min(stream.len());
        let mut late_reader = State::default();
        late_reader.note_trimmed(Offset(trimmed as u64));
        for (index, entry) in stream.iter().enumerate().skip(trimmed) {
            late_reader.apply(Offset(index as u64), entry);
        }
        late_reader.mark_caught_up();
        if late_reader.has_gap() {
            prop_assert!(!late_reader.snapshot().allows_admission());
        } else {
            prop_assert_eq!(late_reader.settings(), full_reader.settings());
        }
    }
}

fn target_ms(environment: &Environment, vm: usize) -> Option<Value> {
    let (_, state) = environment.try_get(environment.vms[vm].operators, "/state")?;
    Some(state["config"]["classes"]["quick"]["target_ms"].clone())
}

fn is_ready(environment: &Environment, vm: usize) -> bool {
    environment.try_status(environment.vms[vm].operators, "/readyz") == Some(200)
}

fn read_failures(environment: &Environment, vm: usize) -> usize {
    environment.vms[vm]
        .process
        .logged("event=config_read_failed")
}

/// Guards against VMs that disagree on which of two concurrent changes is in force.
#[test]
fn all_vms_accept_the_same_change() {
    let environment = Environment::start(1, 3);
    environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    let second = environment.publish("class/quick", json!({ "target_ms": 3000 }), Some(0));
    for vm in 0..3 {
        poll("both changes are processed", || {
            let (_, state) = environment.try_get(environment.vms[vm].operators, "/state")?;
            (state["config"]["applied"].as_u64()? > second).then_some(())
        });
        assert_eq!(target_ms(&environment, vm), Some(json!(4000)));
    }
}

/// Guards against VMs that stop admitting in a log outage although they see each other, and against a VM that restarts
/// with an old configuration, or none, instead of a peer's.
#[test]
fn vm_restarted_during_a_log_outage_gets_the_newest_configuration() {
    let mut environment = Environment::start(1, 2);
    environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    for vm in 0..2 {
        poll("the change is in force", || {
            (target_ms(&environment, vm) == Some(json!(4000))).then_some(())
        });
    }
    environment.faults(environment.log.address, &json!({ "down": true }));
    // With 300 ms after each failed read, 25 of them take longer than the 5 s after which a VM without log and peers
    // stops admitting.
    poll("the outage lasts long enough", || {
        (read_failures(&environment, 0) >= 25).then_some(())
    });
    assert!(is_ready(&environment, 0) && is_ready(&environment, 1));
    environment.vms[1].process.kill();
    environment.restart_vm(1);
    poll("the VM is ready again", || {
        is_ready(&environment, 1).then_some(())
    });
    assert_eq!(target_ms(&environment, 1), Some(json!(4000)));
}

/// Guards against a VM without access to the log that misses changes which its peers have applied.
#[test]
fn vm_without_log_access_gets_changes_from_peers() {
    let mut environment = Environment::start(1, 2);
    let unreachable_log = format!("http://{}", support::free_address());
    environment.add_vm(&json!({ "log": unreachable_log }));
    poll("the VM is ready", || {
        is_ready(&environment, 2).then_some(())
    });
    environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    poll("the change is in force", || {
        (target_ms(&environment, 2) == Some(json!(4000))).then_some(())
    });
}

/// Guards against an isolated VM that admits programs by a configuration that may be outdated.
#[test]
fn isolated_vm_stops_admitting() {
    let mut environment = Environment::start(1, 2);
    environment.vms[1].process.kill();
    environment.faults(environment.log.address, &json!({ "down": true }));
    poll("the VM is not ready", || {
        (!is_ready(&environment, 0)).then_some(())
    });
    let body = json!({ "class": "quick", "key": "k", "budget": { "tokens": 100 } });
    let (status, refusal) = environment.post(environment.vms[0].callers, "/v1/programs", &body);
    assert_eq!(
        (status, &refusal["code"]),
        (503, &json!("VT3009")),
        "{refusal}"
    );
    assert_eq!(refusal["ran"], json!(false));
    assert!(refusal["retry_after_ms"].is_u64(), "{refusal}");
}

/// Guards against losing the configuration when the log trims all changes: a checkpoint preserves it.
#[test]
fn configuration_survives_log_trimming() {
    let mut environment = Environment::start(1, 2);
    let changed = environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    poll("the change is in force", || {
        (target_ms(&environment, 0) == Some(json!(4000))).then_some(())
    });
    // Refused changes count towards the next checkpoint, too.
    for _ in 0..1000 {
        environment.publish("class/quick", json!({ "target_ms": 1 }), Some(0));
    }
    let checkpoint = poll("a checkpoint is written after the change", || {
        let logs = environment
            .vms
            .iter()
            .map(|vm| vm.process.offset_of("event=config_checkpoint"));
        logs.flatten().filter(|offset| *offset > changed).max()
    });
    environment.trim("config", checkpoint);
    environment.vms[1].process.kill();
    environment.restart_vm(1);
    poll("the VM is ready again", || {
        is_ready(&environment, 1).then_some(())
    });
    assert_eq!(target_ms(&environment, 1), Some(json!(4000)));
    environment.publish("class/quick", json!({ "target_ms": 3500 }), Some(changed));
    poll("the next change is in force", || {
        (target_ms(&environment, 1) == Some(json!(3500))).then_some(())
    });
}
