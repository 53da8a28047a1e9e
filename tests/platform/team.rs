//! Helpers for tests with teams: API keys, limits, an engine and a tool server.

use super::program::{engine, turn_with_headers, wait_until_joined};
use super::{Act, Backend, Reply, Store, Vm, call, full_response};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Time window of the team limits.
pub const WINDOW: Duration = Duration::from_secs(5);
pub const KEY: &str = "5mgjy5rcpihhacrudded";
pub const SECOND_KEY: &str = "ev3nax7u27gxprymh2rr";
pub const OTHER_TEAM_KEY: &str = "qq8nax7u27gxprymh3ss";

/// Two teams, of which `payroll` is limited to `limit` requests per second.
pub fn teams(limit: u64) -> Value {
    json!([
        { "name": "payroll", "apiKeys": [KEY, SECOND_KEY], "priority": 1, "ratePerS": limit, "burst": limit },
        { "name": "audit", "apiKeys": [OTHER_TEAM_KEY], "priority": 0 },
    ])
}

/// Routes to the engine and the tool server; `/open/` needs no key.
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

/// Starts a store, an engine and a tool server, with the teams of [`teams`].
pub fn start_servers(limit: u64) -> (Store, Backend, Backend) {
    let (model, tool) = (
        engine(2),
        Backend::start(|request, _| Act::Keep(full_response(request, "fine"))),
    );
    let store = Store::start();
    store.configure_teams(1, &routes(), Some(teams(limit)));
    store.register("s", "pool", model.address, "ready");
    store.register("t", "other", tool.address, "ready");
    (store, model, tool)
}

/// Starts VMs, an engine and a tool server, with the teams of [`teams`].
pub fn start_site(vms: usize, limit: u64) -> (Store, Backend, Backend, Vec<Vm>) {
    let (store, model, tool) = start_servers(limit);
    let vms: Vec<_> = (0..vms).map(|_| Vm::start(&store)).collect();
    wait_until_joined(&vms);
    (store, model, tool, vms)
}

/// Sends a request to the tool server.
pub fn tool_call(vm: &Vm, id: &str, headers: &[(&str, &str)]) -> Reply {
    let mut all = vec![("X-Request-Id", id), ("X-Deadline-Ms", "4000")];
    all.extend_from_slice(headers);
    call(vm.callers, "POST", "/tool/x", &all, b"")
}

/// Sends a turn with an API key and returns the status.
pub fn turn_with_key(vm: &Vm, key: &str, program: &str, budget: u64, id: &str) -> u16 {
    turn_with_headers(vm, program, budget, id, &[("Api-Key", key)]).status
}

/// Highest number of requests that the limit, an equal burst and the tolerance allow in a window.
pub fn max_requests_per_window(limit: u64) -> f64 {
    (limit * WINDOW.as_secs() + limit) as f64 * 1.1 + 20.0
}

/// Highest number of arrivals in any window.
pub fn max_in_any_window(mut arrivals: Vec<Instant>, window: Duration) -> usize {
    arrivals.sort();
    let counts = arrivals.iter().enumerate().map(|(first, start)| {
        let within = arrivals[first..]
            .iter()
            .take_while(|at| **at < *start + window);
        within.count()
    });
    counts.max().unwrap_or(0)
}
