//! A limit whose counter changes while both VMs live.

mod platform;

use platform::program::acquainted;
use platform::team::{KEY, WINDOW, busiest, most, servers, tool_call};
use platform::{Vm, until};
use std::time::{Duration, Instant};
use vanillatrail::id::rendezvous_score;
use xxhash_rust::xxh3::xxh3_64;

const LIMIT: u64 = 10;

/// Whether the first of two VMs is the one that should count the team.
fn counts(first: &Vm, second: &Vm) -> bool {
    let part = xxh3_64(b"team/payroll") % 4;
    let rank = |vm: &Vm| rendezvous_score(&format!("allowance/{part}"), &vm.name);
    rank(first) > rank(second)
}

/// Sends tool calls one after the other; gives when those ended that ran.
fn flood(vm: &Vm, name: &str, time: Duration) -> Vec<Instant> {
    let began = Instant::now();
    let calls = (0..).take_while(|_| began.elapsed() < time);
    let ran = calls.filter_map(|number| {
        let reply = tool_call(vm, &format!("{name}-{number}"), &[("Api-Key", KEY)]);
        (reply.status == 200).then(Instant::now)
    });
    ran.collect()
}

/// Nobody has ever counted a team. A VM begins to take it while the store is slow to write for that VM, and another VM
/// is faster. That one grants all that the limit carries at once, stops, and hands the team over to the first.
/// The first must not grant as much again: a window would have half as much again as the limit and its tolerance.
#[test]
fn a_vm_that_was_too_slow_to_count_first_begins_empty_later() {
    let (store, _model, _tool) = servers(LIMIT);
    let mut doors = [store.door(), store.door()];
    let mut vms = doors.each_ref().map(Vm::start);
    acquainted(&vms);
    if !counts(&vms[0], &vms[1]) {
        doors.reverse();
        vms.reverse();
    }
    doors[0].set_append_time(Duration::from_secs(2));
    until("another VM counts", || {
        tool_call(&vms[0], "first", &[("Api-Key", KEY)]).status == 200
    });
    doors[0].set_append_time(Duration::ZERO);
    let mut ran = flood(&vms[1], "one", Duration::from_secs(2));
    vms[1].terminate();
    ran.extend(flood(&vms[0], "two", Duration::from_secs(4)));
    assert!(vms[1].wait());
    assert!(!vms[0].lines("allowances_adopted").is_empty());
    let worst = busiest(ran.clone(), WINDOW);
    assert!(worst as f64 <= most(LIMIT), "{worst} requests in 5 s");
    assert!(ran.len() >= 60, "{} requests", ran.len());
}
