//! Teams with keys and limits, before an engine and a plain server.

use super::program::{acquainted, engine, turn_with};
use super::{Act, Backend, Reply, Store, Vm, call, whole};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The time over which limits are counted.
pub const WINDOW: Duration = Duration::from_secs(5);
pub const KEY: &str = "5mgjy5rcpihhacrudded";
pub const SECOND: &str = "ev3nax7u27gxprymh2rr";
pub const OTHERS: &str = "qq8nax7u27gxprymh3ss";

pub fn teams(limit: u64) -> Value {
    json!([
        { "name": "payroll", "apiKeys": [KEY, SECOND], "priority": 1, "ratePerS": limit, "burst": limit },
        { "name": "audit", "apiKeys": [OTHERS], "priority": 0 },
    ])
}

pub fn routes() -> [(&'static str, &'static str, Value); 3] {
    [
        ("/a/", "stream", json!({})),
        ("/tool/", "unsafe", json!({ "service": "other" })),
        (
            "/open/",
            "safe",
            json!({ "service": "other", "public": true }),
        ),
    ]
}

/// An engine and a plain server, with teams that may send `limit` requests a second.
pub fn servers(limit: u64) -> (Store, Backend, Backend) {
    let (model, tool) = (
        engine(2),
        Backend::start(|request, _| Act::Keep(whole(request, "fine"))),
    );
    let store = Store::start();
    store.configure_teams(1, &routes(), Some(teams(limit)));
    store.register("s", "pool", model.address, "ready");
    store.register("t", "other", tool.address, "ready");
    (store, model, tool)
}

/// VMs before an engine and a plain server, with teams that may send `limit` requests a second.
pub fn site(vms: usize, limit: u64) -> (Store, Backend, Backend, Vec<Vm>) {
    let (store, model, tool) = servers(limit);
    let vms: Vec<_> = (0..vms).map(|_| Vm::start(&store)).collect();
    acquainted(&vms);
    (store, model, tool, vms)
}

pub fn tool_call(vm: &Vm, id: &str, headers: &[(&str, &str)]) -> Reply {
    let mut all = vec![("X-Request-Id", id), ("X-Deadline-Ms", "4000")];
    all.extend_from_slice(headers);
    call(vm.callers, "POST", "/tool/x", &all, b"")
}

pub fn turn_of(vm: &Vm, key: &str, program: &str, budget: u64, id: &str) -> u16 {
    turn_with(vm, program, budget, id, &[("Api-Key", key)]).status
}

/// The most requests of a team with that limit, and as much at once, in any window.
pub fn most(limit: u64) -> f64 {
    (limit * WINDOW.as_secs() + limit) as f64 * 1.1 + 20.0
}

/// The most that came within any span of that length.
pub fn busiest(mut arrivals: Vec<Instant>, span: Duration) -> usize {
    arrivals.sort();
    let spans = arrivals.iter().enumerate().map(|(first, begin)| {
        let within = arrivals[first..]
            .iter()
            .take_while(|at| **at < *begin + span);
        within.count()
    });
    spans.max().unwrap_or(0)
}
