//! A looping program over several VMs: an engine, a site and turns.

use super::{Act, Backend, Reply, Store, Vm, call, events, head, until};
use serde_json::json;

/// Tokens that one event stands for, as the fake configuration says.
pub const EVENT: u64 = 10;

/// An engine whose turns have so many events.
pub fn engine(turn_events: u64) -> Backend {
    Backend::start(move |request, _| {
        let text = head(request) + &events(1..=turn_events) + "0\r\n\r\n";
        Act::Keep(text.into_bytes())
    })
}

/// A store, and VMs that know each other.
pub fn site(backend: &Backend, vms: usize) -> (Store, Vec<Vm>) {
    let store = Store::start();
    store.configure(1, &[("/a/", "stream", json!({}))]);
    store.register("s", "pool", backend.address, "ready");
    let vms: Vec<_> = (0..vms).map(|_| Vm::start(&store)).collect();
    acquainted(&vms);
    (store, vms)
}

/// Waits until the VMs are ready and know each other.
pub fn acquainted(vms: &[Vm]) {
    for vm in vms {
        vm.wait_ready();
    }
    for vm in vms {
        until("the VMs know each other", || {
            let state = vm.state();
            let members = state["members"].as_array();
            members.is_some_and(|members| members.len() == vms.len())
        });
    }
}

/// Makes a turn of a program; gives the status and the tokens that were handed out.
pub fn turn(vm: &Vm, program: &str, budget: u64, id: &str) -> (u16, u64) {
    let reply = turn_with(vm, program, budget, id, &[]);
    let events = reply.text().matches("data:").count() as u64;
    (reply.status, events * EVENT)
}

/// Makes a turn of a program with further headers.
pub fn turn_with(vm: &Vm, program: &str, budget: u64, id: &str, more: &[(&str, &str)]) -> Reply {
    let budget = budget.to_string();
    let mut headers = vec![
        ("X-Request-Id", id),
        ("X-Program", program),
        ("X-Session", program),
        ("X-Finish-Ms", "5000"),
        ("X-Token-Budget", &budget),
        ("X-Token-Count", "100,290"),
        ("X-Deadline-Ms", "4000"),
    ];
    headers.extend_from_slice(more);
    call(vm.callers, "POST", "/a/x", &headers, b"")
}
