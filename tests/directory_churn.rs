//! Servers that leave while requests come in, through the binary.

mod platform;

use platform::{Act, Backend, Store, Vm, call, full_response};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Guards against a request that asks for the same server without end, as it has left and the queue does not know it yet.
#[test]
fn requests_are_answered_while_the_last_server_leaves() {
    let store = Store::start();
    let server = Backend::start(|request, _| Act::Keep(full_response(request, "a")));
    store.register("s1", "other", server.address, "ready");
    store.configure(1, &[("/a/", "safe", json!({ "service": "other" }))]);
    let vm = Vm::start(&store);
    vm.wait_ready();
    let stops = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..6 {
            let (vm, stops) = (&vm, &stops);
            scope.spawn(move || {
                while !stops.load(Ordering::Relaxed) {
                    let started = Instant::now();
                    let id = format!("c{caller}");
                    let reply = call(vm.callers, "POST", "/a/x", &[("X-Request-Id", &id)], b"");
                    // A VM that loops answers nobody.
                    assert!(started.elapsed() < Duration::from_secs(10), "{reply:?}");
                }
            });
        }
        for round in 0..100 {
            std::thread::sleep(Duration::from_millis(20));
            store.put("keyed.servers", &format!("s{}", round + 1), None);
            std::thread::sleep(Duration::from_millis(10));
            store.register(&format!("s{}", round + 2), "other", server.address, "ready");
        }
        stops.store(true, Ordering::Relaxed);
    });
    assert_ne!(vm.state(), serde_json::Value::Null);
}
