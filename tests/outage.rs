//! The store refuses every VM, and what the VMs do to each other then.

mod platform;

use platform::program::{EVENT, acquainted, engine, site, turn};
use platform::{Store, Vm, until};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const BUDGET: u64 = 870;
const MOST: u64 = 290;
/// A budget that no test spends.
const LARGE: u64 = 20_000;

fn takings(vms: &[Vm]) -> usize {
    let lines = |vm: &Vm| vm.lines("event=allowances_taken").len();
    vms.iter().map(lines).sum()
}

fn hand_overs(vms: &[Vm]) -> usize {
    let lines = |vm: &Vm| vm.lines("event=allowances_handed_over").len();
    vms.iter().map(lines).sum()
}

/// A store, another way to it, and VMs: the first goes that way, and counts the programs before the
/// `others` start, which go straight.
fn with_a_door(programs: &[String], others: usize) -> (Store, Store, Vec<Vm>) {
    let backend = engine(2);
    let store = Store::start();
    let door = store.door();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    store.register("s", "pool", backend.address, "ready");
    let mut vms = vec![Vm::start(&door)];
    vms[0].wait_ready();
    for program in programs {
        until("it is counted", || {
            turn(&vms[0], program, LARGE, &format!("{program}-first")).0 == 200
        });
    }
    vms.extend((0..others).map(|_| Vm::start(&store)));
    acquainted(&vms);
    (store, door, vms)
}

fn programs() -> Vec<String> {
    (0..16).map(|number| format!("p{number}")).collect()
}

fn counted(vm: &Vm) -> u64 {
    vm.state()["counted"]["partitions"].as_u64().unwrap_or(0)
}

/// Callers see programs that loop without end, whose turns come in through six VMs at the same instant.
/// The store refuses every VM for four seconds and is then back. The VMs that count live all the while, so
/// nobody takes their partitions over or is handed them, and each program gets its budget once. Before,
/// each VM that lost the store handed its partitions over, and each that was refused took them.
#[test]
fn nobody_takes_over_while_the_store_refuses_everybody() {
    let backend = engine(2);
    let (store, vms) = site(&backend, 6);
    let programs: Vec<String> = (0..8).map(|number| format!("loop{number}")).collect();
    for program in &programs {
        until("it is counted", || {
            turn(&vms[0], program, BUDGET, &format!("{program}-first")).0 == 200
        });
    }
    let before = takings(&vms);
    let handed: Vec<AtomicU64> = programs.iter().map(|_| AtomicU64::new(2 * EVENT)).collect();
    let over = AtomicBool::new(false);
    let in_outage = thread::scope(|scope| {
        for (index, program) in programs.iter().enumerate() {
            for (number, vm) in vms.iter().enumerate() {
                let (handed, over) = (&handed[index], &over);
                scope.spawn(move || {
                    let mut made = 0;
                    while !over.load(Ordering::Relaxed) {
                        let id = format!("{program}-{number}-{made}");
                        handed.fetch_add(turn(vm, program, BUDGET, &id).1, Ordering::Relaxed);
                        made += 1;
                        thread::sleep(Duration::from_millis(30));
                    }
                });
            }
        }
        store.set_down(true);
        thread::sleep(Duration::from_secs(4));
        let in_outage = (takings(&vms), hand_overs(&vms));
        store.set_down(false);
        thread::sleep(Duration::from_secs(3));
        over.store(true, Ordering::Relaxed);
        in_outage
    });
    assert_eq!(
        in_outage,
        (before, 0),
        "taken and handed over in the outage"
    );
    assert_eq!(takings(&vms), before, "taken after the outage");
    for (program, handed) in programs.iter().zip(&handed) {
        let handed = handed.load(Ordering::Relaxed);
        assert!(handed <= BUDGET + MOST, "{program}: {handed}");
    }
}

/// One VM loses the store and the other keeps it. What the first one counts is handed over within some
/// seconds, so that callers go on getting turns whose tokens are recorded, through either VM.
#[test]
fn a_vm_that_loses_the_store_alone_hands_over() {
    let programs = programs();
    let (_store, door, vms) = with_a_door(&programs, 1);
    assert_eq!(counted(&vms[0]), 4);
    door.set_down(true);
    until("it is handed over", || {
        counted(&vms[0]) == 0 && counted(&vms[1]) == 4
    });
    for program in &programs {
        for (number, vm) in vms.iter().enumerate() {
            let id = format!("{program}-{number}-after");
            assert_eq!(
                turn(vm, program, LARGE, &id).0,
                200,
                "{program} at {number}"
            );
        }
    }
}

/// Callers go on through the other VM while one that has lost the store hands over what it counts: whoever
/// asks for a partition that is on its way waits until it has arrived, and no turn is refused.
#[test]
fn turns_go_on_while_their_partition_is_handed_over() {
    let programs = programs();
    let (_store, door, vms) = with_a_door(&programs, 1);
    assert_eq!(counted(&vms[0]), 4);
    door.set_down(true);
    let mut round = 0;
    let mut all_go_on = || {
        round += 1;
        for program in &programs {
            let id = format!("{program}-{round}");
            assert_eq!(turn(&vms[1], program, LARGE, &id).0, 200, "{id}");
        }
    };
    until("it is handed over", || {
        all_go_on();
        counted(&vms[0]) == 0
    });
    for _ in 0..20 {
        all_go_on();
    }
}

/// One VM has lost the store, and the one that counted is killed while a third one has the store. Callers of
/// the first go on: the third one counts. Were the first to count from the copies that it keeps, two would
/// count one program, and it would get its budget more than once.
#[test]
fn a_vm_that_is_cut_off_alone_does_not_count_from_copies() {
    let programs = programs();
    let (_store, door, mut vms) = with_a_door(&[], 2);
    door.set_down(true);
    for program in &programs {
        until("it is counted", || {
            turn(&vms[1], program, LARGE, &format!("{program}-first")).0 == 200
        });
    }
    // Copies are trusted by a VM that has run for 5 s, and a dead one is dropped within 5 s more.
    thread::sleep(Duration::from_secs(3));
    vms[1].kill();
    until("the dead VM is dropped", || {
        let state = vms[0].state();
        state["members"]
            .as_array()
            .is_some_and(|members| members.len() == 2)
    });
    for program in &programs {
        until("it goes on", || {
            turn(&vms[0], program, LARGE, &format!("{program}-after")).0 == 200
        });
    }
    let from_copies = vms[0].lines("event=allowances_taken_from_copies");
    assert!(from_copies.is_empty(), "{from_copies:?}");
}

/// All VMs lose power and start in the same moment, and callers come back through each of them at once. Each
/// VM finds that nobody counts and would count itself. One of them takes each partition: every further
/// taking counts what was allowed as spent, and a program that had begun was refused for good.
#[test]
fn each_partition_is_taken_once_after_the_loss_of_all_vms() {
    let backend = engine(2);
    let (store, mut vms) = site(&backend, 6);
    let programs = programs();
    for program in &programs {
        until("it is counted", || {
            turn(&vms[0], program, LARGE, &format!("{program}-first")).0 == 200
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
    // Between what a VM reads and what it writes others read the same.
    store.set_read_time(Duration::from_millis(60));
    thread::scope(|scope| {
        for (number, vm) in vms.iter().enumerate() {
            let programs = &programs;
            scope.spawn(move || {
                for program in programs {
                    let id = format!("{program}-{number}-again");
                    until("it goes on", || turn(vm, program, LARGE, &id).0 == 200);
                }
            });
        }
    });
    assert_eq!(takings(&vms), 4);
}

/// One VM has lost the store when operators add a route. The others tell it that a newer configuration is
/// in force and it gets that from one of them, so that its callers are served on the new route.
#[test]
fn a_vm_without_the_store_gets_a_newer_configuration_from_another() {
    let backend = engine(2);
    let store = Store::start();
    let door = store.door();
    let route = |prefix| (prefix, "stream", serde_json::json!({}));
    store.configure(1, &[route("/a/")]);
    store.register("s", "pool", backend.address, "ready");
    let vms = [Vm::start(&door), Vm::start(&store), Vm::start(&store)];
    acquainted(&vms);
    door.set_down(true);
    store.configure(2, &[route("/a/"), route("/b/")]);
    until("the new configuration is known", || {
        vms[0].state()["config"] == 2
    });
    assert_eq!(vms[0].lines("event=config_applied version=2").len(), 1);
}
