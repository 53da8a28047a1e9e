//! Two VMs and a backend server that reports a slow host in the head of a stream.

mod platform;

use platform::{Act, Backend, Store, Vm, call, events, stream_head, until};
use serde_json::json;
use std::thread;

/// Guards against a pace that reaches the VM that holds the queue only when the stream ends: the
/// streams here never do.
#[test]
fn pace_of_a_stream_reaches_the_queue_before_the_stream_ends() {
    let backend = Backend::start(|request, _| {
        let load = "HTTP/1.1 200 OK\r\nX-Server-Load: 1, 0, 4, 250\r\n";
        let head = stream_head(request).replace("HTTP/1.1 200 OK\r\n", load);
        Act::Hang((head + &events(1..=1)).into_bytes())
    });
    let store = Store::start();
    store.configure(1, &[("/a/", "stream", json!({ "canResume": false }))]);
    store.register("s", "pool", backend.address, "ready");
    let vms = [Vm::start(&store), Vm::start(&store)];
    vms.iter().for_each(Vm::wait_ready);
    until("the VMs know each other", || {
        let members = |vm: &Vm| vm.state()["members"].as_array().map(Vec::len);
        vms.iter().all(|vm| members(vm) == Some(2))
    });
    for (vm, id) in vms.iter().zip(["r1", "r2"]) {
        let (callers, id) = (vm.callers, id.to_owned());
        thread::spawn(move || call(callers, "POST", "/a/x", &[("X-Request-Id", &id)], b""));
    }
    until("one VM has both reports", || {
        let reports = |vm: &Vm| vm.state()["services"]["pool"]["pace_reports"].as_u64();
        vms.iter().any(|vm| reports(vm) == Some(2))
    });
}
