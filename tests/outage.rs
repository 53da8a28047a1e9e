//! Partition ownership and configuration while some or all VMs have lost the store.

mod platform;

use platform::program::{TOKENS_PER_EVENT, engine, start_site, turn, wait_until_joined};
use platform::{Store, Vm, until};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const BUDGET_TOKENS: u64 = 870;
const MAX_TURN_TOKENS: u64 = 290;
/// Never spent by a test.
const LARGE_BUDGET_TOKENS: u64 = 20_000;

/// Partition takeovers logged by all VMs.
fn takeover_count(vms: &[Vm]) -> usize {
    let lines = |vm: &Vm| vm.lines("event=allowances_taken").len();
    vms.iter().map(lines).sum()
}

/// Partition handovers logged by all VMs.
fn handover_count(vms: &[Vm]) -> usize {
    let lines = |vm: &Vm| vm.lines("event=allowances_handed_over").len();
    vms.iter().map(lines).sum()
}

/// Returns a store, a second endpoint of it with its own faults, and VMs. The first VM uses the second endpoint
/// and owns the programs before the `others` start.
fn start_with_separate_endpoint(programs: &[String], others: usize) -> (Store, Store, Vec<Vm>) {
    let backend = engine(2);
    let store = Store::start();
    let endpoint = store.new_endpoint();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    store.register("s", "pool", backend.address, "ready");
    let mut vms = vec![Vm::start(&endpoint)];
    vms[0].wait_ready();
    for program in programs {
        until("the program has an owner", || {
            turn(
                &vms[0],
                program,
                LARGE_BUDGET_TOKENS,
                &format!("{program}-first"),
            )
            .0 == 200
        });
    }
    vms.extend((0..others).map(|_| Vm::start(&store)));
    wait_until_joined(&vms);
    (store, endpoint, vms)
}

fn program_names() -> Vec<String> {
    (0..16).map(|number| format!("p{number}")).collect()
}

fn owned_partitions(vm: &Vm) -> u64 {
    vm.state()["counted"]["partitions"].as_u64().unwrap_or(0)
}

/// Guards against takeovers and handovers while all VMs have lost the store: the owners are alive, and each
/// takeover would grant the programs their budgets again.
#[test]
fn no_takeover_while_the_store_refuses_all_vms() {
    let backend = engine(2);
    let (store, vms) = start_site(&backend, 6);
    let programs: Vec<String> = (0..8).map(|number| format!("loop{number}")).collect();
    for program in &programs {
        until("the program has an owner", || {
            turn(&vms[0], program, BUDGET_TOKENS, &format!("{program}-first")).0 == 200
        });
    }
    let before = takeover_count(&vms);
    let sent_tokens: Vec<AtomicU64> = programs
        .iter()
        .map(|_| AtomicU64::new(2 * TOKENS_PER_EVENT))
        .collect();
    let stop = AtomicBool::new(false);
    let during_outage = thread::scope(|scope| {
        for (index, program) in programs.iter().enumerate() {
            for (number, vm) in vms.iter().enumerate() {
                let (sent_tokens, stop) = (&sent_tokens[index], &stop);
                scope.spawn(move || {
                    let mut turns = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("{program}-{number}-{turns}");
                        sent_tokens
                            .fetch_add(turn(vm, program, BUDGET_TOKENS, &id).1, Ordering::Relaxed);
                        turns += 1;
                        thread::sleep(Duration::from_millis(30));
                    }
                });
            }
        }
        store.set_down(true);
        thread::sleep(Duration::from_secs(4));
        let during_outage = (takeover_count(&vms), handover_count(&vms));
        store.set_down(false);
        thread::sleep(Duration::from_secs(3));
        stop.store(true, Ordering::Relaxed);
        during_outage
    });
    assert_eq!(
        during_outage,
        (before, 0),
        "takeovers and handovers during the outage"
    );
    assert_eq!(takeover_count(&vms), before, "takeovers after the outage");
    for (program, sent_tokens) in programs.iter().zip(&sent_tokens) {
        let sent_tokens = sent_tokens.load(Ordering::Relaxed);
        assert!(
            sent_tokens <= BUDGET_TOKENS + MAX_TURN_TOKENS,
            "{program}: {sent_tokens}"
        );
    }
}

/// If one VM loses the store and another still has it, partitions are handed over within seconds and turns are
/// served through either VM.
#[test]
fn a_vm_that_alone_loses_the_store_hands_its_partitions_over() {
    let programs = program_names();
    let (_store, endpoint, vms) = start_with_separate_endpoint(&programs, 1);
    assert_eq!(owned_partitions(&vms[0]), 4);
    endpoint.set_down(true);
    until("the partitions are handed over", || {
        owned_partitions(&vms[0]) == 0 && owned_partitions(&vms[1]) == 4
    });
    for program in &programs {
        for (number, vm) in vms.iter().enumerate() {
            let id = format!("{program}-{number}-after");
            assert_eq!(
                turn(vm, program, LARGE_BUDGET_TOKENS, &id).0,
                200,
                "{program} at {number}"
            );
        }
    }
}

/// Guards against refused turns during a handover: requests for the partition wait until it has arrived.
#[test]
fn turns_are_served_during_a_partition_handover() {
    let programs = program_names();
    let (_store, endpoint, vms) = start_with_separate_endpoint(&programs, 1);
    assert_eq!(owned_partitions(&vms[0]), 4);
    endpoint.set_down(true);
    let mut round = 0;
    let mut assert_all_served = || {
        round += 1;
        for program in &programs {
            let id = format!("{program}-{round}");
            assert_eq!(
                turn(&vms[1], program, LARGE_BUDGET_TOKENS, &id).0,
                200,
                "{id}"
            );
        }
    };
    until("the partitions are handed over", || {
        assert_all_served();
        owned_partitions(&vms[0]) == 0
    });
    for _ in 0..20 {
        assert_all_served();
    }
}

/// Guards against two owners of one program: a VM without the store must not take over from its replicas while
/// another VM has the store.
#[test]
fn a_vm_that_alone_lost_the_store_does_not_take_over_from_replicas() {
    let programs = program_names();
    let (_store, endpoint, mut vms) = start_with_separate_endpoint(&[], 2);
    endpoint.set_down(true);
    for program in &programs {
        until("the program has an owner", || {
            turn(
                &vms[1],
                program,
                LARGE_BUDGET_TOKENS,
                &format!("{program}-first"),
            )
            .0 == 200
        });
    }
    // A VM uses replicas after 5 s of running, and drops a dead member within 5 s.
    thread::sleep(Duration::from_secs(3));
    vms[1].kill();
    until("the killed VM is removed from the members", || {
        let state = vms[0].state();
        state["members"]
            .as_array()
            .is_some_and(|members| members.len() == 2)
    });
    for program in &programs {
        until("the program continues", || {
            turn(
                &vms[0],
                program,
                LARGE_BUDGET_TOKENS,
                &format!("{program}-after"),
            )
            .0 == 200
        });
    }
    let takeovers_from_replicas = vms[0].lines("event=allowances_taken_from_copies");
    assert!(
        takeovers_from_replicas.is_empty(),
        "{takeovers_from_replicas:?}"
    );
}

/// All VMs are killed and restart together. Each takeover counts the recorded allowance as spent, so several
/// takeovers of a partition would exhaust the budgets of its programs.
#[test]
fn each_partition_is_taken_over_once_after_all_vms_restart() {
    let backend = engine(2);
    let (store, mut vms) = start_site(&backend, 6);
    let programs = program_names();
    for program in &programs {
        until("the program has an owner", || {
            turn(
                &vms[0],
                program,
                LARGE_BUDGET_TOKENS,
                &format!("{program}-first"),
            )
            .0 == 200
        });
    }
    for vm in &mut vms {
        vm.kill();
    }
    for vm in &mut vms {
        vm.restart();
    }
    for vm in &vms {
        vm.wait_ready();
    }
    // Delays reads so that several VMs read the same state before one of them writes.
    store.set_read_delay(Duration::from_millis(60));
    thread::scope(|scope| {
        for (number, vm) in vms.iter().enumerate() {
            let programs = &programs;
            scope.spawn(move || {
                for program in programs {
                    let id = format!("{program}-{number}-again");
                    until("the program continues", || {
                        turn(vm, program, LARGE_BUDGET_TOKENS, &id).0 == 200
                    });
                }
            });
        }
    });
    assert_eq!(takeover_count(&vms), 4);
}

/// A VM that has lost the store gets a newer configuration from another member.
#[test]
fn a_vm_without_the_store_gets_configuration_from_a_member() {
    let backend = engine(2);
    let store = Store::start();
    let endpoint = store.new_endpoint();
    let route = |prefix| (prefix, "stream", serde_json::json!({}));
    store.configure(1, &[route("/a/")]);
    store.register("s", "pool", backend.address, "ready");
    let vms = [Vm::start(&endpoint), Vm::start(&store), Vm::start(&store)];
    wait_until_joined(&vms);
    endpoint.set_down(true);
    store.configure(2, &[route("/a/"), route("/b/")]);
    until("the new configuration is applied", || {
        vms[0].state()["config"] == 2
    });
    let applied = || vms[0].lines("event=config_applied version=2").len();
    // The log is written by another thread.
    until("the new configuration is logged", || applied() > 0);
    assert_eq!(applied(), 1);
}

/// Guards against a VM whose queue stays empty after it has read its servers from a snapshot, later than its
/// configuration.
#[test]
fn a_directory_from_a_snapshot_reaches_the_queue() {
    let backend = engine(2);
    let (store, mut vms) = start_site(&backend, 1);
    until("a snapshot is written", || {
        !store.values("keyed.snapshot").is_empty()
    });
    vms[0].kill();
    store.set_unavailable_topic(Some("keyed.servers"));
    vms[0].restart();
    vms[0].wait_ready();
    let reply = turn(&vms[0], "p", BUDGET_TOKENS, "r");
    assert_eq!(reply.0, 200);
}
