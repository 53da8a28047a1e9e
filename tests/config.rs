//! Configuration: one verdict everywhere, in force within seconds, never reverted.

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

/// Two operators change one class, both based on the same offset. The first in the stream wins;
/// the second is refused with the offset that beat it, and its value is never in force.
#[test]
fn of_two_racing_operators_one_wins() {
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

/// The reply of a published change is lost, so the operator publishes it again. The copy is told
/// as a repetition: it has not lost a race, and it does not undo what another has changed since.
#[test]
fn a_change_published_twice_counts_once() {
    let mut book = State::default();
    book.apply(Offset(0), &change("class/quick", 900, None, Some("c1")));
    let copy = book.apply(Offset(1), &change("class/quick", 900, None, Some("c1")));
    assert_eq!(copy.outcome, Outcome::Repeated(Offset(0)));
    book.apply(Offset(2), &change("class/quick", 800, Some(0), Some("c2")));
    let late = book.apply(Offset(3), &change("class/quick", 900, None, Some("c1")));
    assert!(matches!(late.outcome, Outcome::Refused(_)), "{late:?}");
    let class = "quick".parse().expect("a name");
    assert_eq!(book.snapshot().classes[&class].target_ms, 800);
}

#[test]
fn a_record_of_a_newer_schema_stops_admission() {
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

    /// A VM starts after the log has trimmed some changes. It holds later ones back until it
    /// meets a checkpoint, then judges them on top of it, and ends with the settings of a VM that
    /// has read every entry; without a checkpoint it says that it is not caught up.
    #[test]
    fn a_reader_of_a_trimmed_stream_agrees(
        steps in prop::collection::vec((0_u8..3, 1_u64..5, 0_u64..12, any::<bool>()), 1..40),
        cut in 0_usize..40,
    ) {
        let mut whole = State::default();
        let mut stream: Vec<Vec<u8>> = Vec::new();
        for (key, target, base, checkpoint) in steps {
            let offset = Offset(stream.len() as u64);
            whole.mark_caught_up();
            let entry = match whole.due_checkpoint(0, 0).filter(|_| checkpoint) {
                Some(checkpoint) => serde_json::to_vec(&checkpoint).expect("JSON"),
                None => change(&format!("class/c{key}"), target, base.checked_sub(1), None),
            };
            whole.apply(offset, &entry);
            stream.push(entry);
        }
        let cut = cut.min(stream.len());
        let mut late = State::default();
        late.note_trimmed(Offset(cut as u64));
        for (index, entry) in stream.iter().enumerate().skip(cut) {
            late.apply(Offset(index as u64), entry);
        }
        late.mark_caught_up();
        if late.has_gap() {
            prop_assert!(!late.snapshot().allows_admission());
        } else {
            prop_assert_eq!(late.settings(), whole.settings());
        }
    }
}

fn target(environment: &Environment, vm: usize) -> Option<Value> {
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

/// Two operators publish at once, based on the same offset; both get an offset from the log.
/// Every VM puts the first into force and refuses the second, whichever VM is asked.
#[test]
fn every_vm_comes_to_the_same_verdict() {
    let environment = Environment::start(1, 3);
    environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    let second = environment.publish("class/quick", json!({ "target_ms": 3000 }), Some(0));
    for vm in 0..3 {
        poll("both are judged", || {
            let (_, state) = environment.try_get(environment.vms[vm].operators, "/state")?;
            (state["config"]["applied"].as_u64()? > second).then_some(())
        });
        assert_eq!(target(&environment, vm), Some(json!(4000)));
    }
}

/// The log is down for longer than a VM alone would go on. Both VMs see each other, so both stay
/// ready. One is restarted meanwhile: it takes the configuration over from the other and is ready
/// with the change that was accepted before the outage.
#[test]
fn a_vm_restarted_during_an_outage_has_the_newest_configuration() {
    let mut environment = Environment::start(1, 2);
    environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    for vm in 0..2 {
        poll("the change is in force", || {
            (target(&environment, vm) == Some(json!(4000))).then_some(())
        });
    }
    environment.faults(environment.log.address, &json!({ "down": true }));
    // Each failed read is followed by a pause of 300 ms: 25 of them take longer than the 5 s
    // after which a VM without log and peers stops admitting.
    poll("the outage is long", || {
        (read_failures(&environment, 0) >= 25).then_some(())
    });
    assert!(is_ready(&environment, 0) && is_ready(&environment, 1));
    environment.vms[1].process.kill();
    environment.restart_vm(1);
    poll("the VM is ready again", || {
        is_ready(&environment, 1).then_some(())
    });
    assert_eq!(target(&environment, 1), Some(json!(4000)));
}

/// A VM can't reach the log, but sees its peers. A change accepted meanwhile reaches it through
/// them, as their heartbeats tell that they have applied more of the stream.
#[test]
fn a_vm_cut_off_from_the_log_follows_its_peers() {
    let mut environment = Environment::start(1, 2);
    let dead = format!("http://{}", support::free_address());
    environment.add_vm(&json!({ "log": dead }));
    poll("the VM is ready", || {
        is_ready(&environment, 2).then_some(())
    });
    environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    poll("the change is in force", || {
        (target(&environment, 2) == Some(json!(4000))).then_some(())
    });
}

/// A VM loses its peer and the log at once. The others could have another configuration by now,
/// so it stops admitting: an opening is refused as not run, with a time to come back.
#[test]
fn a_vm_cut_off_from_all_stops_admitting() {
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

/// The log trims every change. A VM writes a checkpoint before that, so a VM that starts
/// afterwards has the change that was accepted, and a later change is judged on top of it.
#[test]
fn configuration_outlives_the_retention_of_the_log() {
    let mut environment = Environment::start(1, 2);
    let changed = environment.publish("class/quick", json!({ "target_ms": 4000 }), Some(0));
    poll("the change is in force", || {
        (target(&environment, 0) == Some(json!(4000))).then_some(())
    });
    // Many refused changes make the next checkpoint due.
    for _ in 0..1000 {
        environment.publish("class/quick", json!({ "target_ms": 1 }), Some(0));
    }
    let checkpoint = poll("a checkpoint stands behind the change", || {
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
    assert_eq!(target(&environment, 1), Some(json!(4000)));
    environment.publish("class/quick", json!({ "target_ms": 3500 }), Some(changed));
    poll("the next change is in force", || {
        (target(&environment, 1) == Some(json!(3500))).then_some(())
    });
}
