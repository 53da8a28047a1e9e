//! Helpers for tests that send turns of programs through several VMs.

use super::{Act, Backend, Reply, Store, Vm, call, events, stream_head, until};
use serde_json::json;

/// Tokens per event: `chunkTokens` of the fake configuration.
pub const TOKENS_PER_EVENT: u64 = 10;

/// A backend server that answers each turn with this number of events.
pub fn engine(turn_events: u64) -> Backend {
    Backend::start(move |request, _| {
        let text = stream_head(request) + &events(1..=turn_events) + "0\r\n\r\n";
        Act::Keep(text.into_bytes())
    })
}

/// Starts a store, and VMs that know each other.
pub fn start_site(backend: &Backend, vms: usize) -> (Store, Vec<Vm>) {
    let store = Store::start();
    store.configure(1, &[("/a/", "stream", json!({}))]);
    store.register("s", "pool", backend.address, "ready");
    let vms: Vec<_> = (0..vms).map(|_| Vm::start(&store)).collect();
    wait_until_joined(&vms);
    (store, vms)
}

/// Waits until the VMs are ready and each knows all others.
pub fn wait_until_joined(vms: &[Vm]) {
    for vm in vms {
        vm.wait_ready();
    }
    for vm in vms {
        until("all VMs are members", || {
            let state = vm.state();
            let members = state["members"].as_array();
            members.is_some_and(|members| members.len() == vms.len())
        });
    }
}

/// Sends a turn of a program; returns the status and the tokens received.
pub fn turn(vm: &Vm, program: &str, budget: u64, id: &str) -> (u16, u64) {
    let reply = turn_with_headers(vm, program, budget, id, &[]);
    let events = reply.text().matches("data:").count() as u64;
    (reply.status, events * TOKENS_PER_EVENT)
}

/// Sends a turn of a program with additional headers.
pub fn turn_with_headers(
    vm: &Vm,
    program: &str,
    budget: u64,
    id: &str,
    extra: &[(&str, &str)],
) -> Reply {
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
    headers.extend_from_slice(extra);
    call(vm.callers, "POST", "/a/x", &headers, b"")
}
