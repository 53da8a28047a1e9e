//! A team limit whose owner changes while both VMs are alive.

mod platform;

use platform::program::wait_until_joined;
use platform::team::{
    KEY, WINDOW, max_in_any_window, max_requests_per_window, start_servers, tool_call,
};
use platform::{Vm, until};
use std::time::{Duration, Instant};
use vanillatrail::id::rendezvous_score;
use xxhash_rust::xxh3::xxh3_64;

const LIMIT_PER_SECOND: u64 = 10;

/// Whether the first of two VMs is the preferred owner of the team's partition.
fn is_preferred_owner(first: &Vm, second: &Vm) -> bool {
    let partition = xxh3_64(b"team/payroll") % 4;
    let rank = |vm: &Vm| rendezvous_score(&format!("allowance/{partition}"), &vm.name);
    rank(first) > rank(second)
}

/// Sends sequential tool calls for `time`; returns when each accepted call completed.
fn send_for(vm: &Vm, name: &str, time: Duration) -> Vec<Instant> {
    let started = Instant::now();
    let calls = (0..).take_while(|_| started.elapsed() < time);
    let completed = calls.filter_map(|number| {
        let reply = tool_call(vm, &format!("{name}-{number}"), &[("Api-Key", KEY)]);
        (reply.status == 200).then(Instant::now)
    });
    completed.collect()
}

/// A VM takes a team over too slowly, another one becomes the owner, uses up the limit and hands over to the
/// first. The first must not grant a full burst again.
#[test]
fn a_late_owner_does_not_grant_the_limit_again() {
    let (store, _model, _tool) = start_servers(LIMIT_PER_SECOND);
    let mut endpoints = [store.new_endpoint(), store.new_endpoint()];
    let mut vms = endpoints.each_ref().map(Vm::start);
    wait_until_joined(&vms);
    if !is_preferred_owner(&vms[0], &vms[1]) {
        endpoints.reverse();
        vms.reverse();
    }
    endpoints[0].set_append_delay(Duration::from_secs(2));
    until("another VM is the owner", || {
        tool_call(&vms[0], "first", &[("Api-Key", KEY)]).status == 200
    });
    endpoints[0].set_append_delay(Duration::ZERO);
    let mut completed = send_for(&vms[1], "one", Duration::from_secs(2));
    vms[1].terminate();
    completed.extend(send_for(&vms[0], "two", Duration::from_secs(4)));
    assert!(vms[1].wait());
    assert!(!vms[0].lines("allowances_adopted").is_empty());
    let max_in_window = max_in_any_window(completed.clone(), WINDOW);
    assert!(
        max_in_window as f64 <= max_requests_per_window(LIMIT_PER_SECOND),
        "{max_in_window} requests in 5 s"
    );
    assert!(completed.len() >= 60, "only {} requests", completed.len());
}
