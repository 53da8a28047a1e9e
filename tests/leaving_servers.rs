//! Servers that say that they leave while requests are at work there, through the binary.

mod platform;

use platform::engine::{self, Cluster, Engine};
use platform::{
    Act, Backend, Reply, Request, Store, Vm, call, chunk, events, full_response, stream_head, until,
};
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Time in which a run still goes on at a leaving server that has its memory: half of what such a server has.
const RETURN_LIMIT: Duration = Duration::from_secs(1);

/// A VM before two servers, of which the one that gets the first request breaks it off once the VM knows that it leaves.
struct Site {
    vm: Vm,
    servers: Vec<Backend>,
}

impl Site {
    /// `broken` is what the leaving server sends before it breaks off.
    fn start(kind: &str, attempts: u32, broken: fn(&Request) -> Vec<u8>) -> Self {
        let store = Store::start();
        let plain = json!({ "attempts": attempts, "service": "pool" });
        store.configure(1, &[("/a/", kind, plain)]);
        let is_known = Arc::new(AtomicBool::new(false));
        let leaving = Arc::new(Mutex::new(None));
        let servers = (0..2).map(|number| {
            let (is_known, leaving) = (Arc::clone(&is_known), Arc::clone(&leaving));
            let server = Backend::start(move |request, count| {
                let first = *leaving.lock().expect("not poisoned").get_or_insert(number);
                if first == number && count == 0 {
                    until("the VM knows", || is_known.load(Ordering::SeqCst));
                    return Act::Close(broken(request));
                }
                if request.header("last-event-id").is_empty() {
                    return Act::Keep(full_response(request, "whole"));
                }
                let stream = stream_head(request) + &events(2..=3) + "0\r\n\r\n";
                Act::Keep(stream.into_bytes())
            });
            store.register(&format!("s{number}"), "pool", server.address, "ready");
            server
        });
        let servers: Vec<_> = servers.collect();
        let vm = Vm::start(&store);
        vm.wait_ready();
        let (log, addresses) = (
            Arc::clone(&vm.log),
            servers.iter().map(|server| server.address),
        );
        let addresses: Vec<_> = addresses.collect();
        std::thread::spawn(move || {
            let first = || *leaving.lock().expect("not poisoned");
            until("a server has the request", || first().is_some());
            let number: usize = first().expect("a server");
            store.register(&format!("s{number}"), "pool", addresses[number], "draining");
            until("the VM knows", || {
                let log = log.lock().expect("not poisoned");
                log.iter()
                    .any(|line| line.contains("event=server_draining"))
            });
            is_known.store(true, Ordering::SeqCst);
        });
        Self { vm, servers }
    }

    fn call(&self) -> Reply {
        let headers = [("X-Request-Id", "r"), ("X-Deadline-Ms", "4000")];
        call(self.vm.callers, "POST", "/a/x", &headers, b"")
    }

    /// Requests at each server, the fewest first.
    fn counts(&self) -> [usize; 2] {
        let mut counts = [self.servers[0].count(), self.servers[1].count()];
        counts.sort_unstable();
        counts
    }
}

fn first_event(request: &Request) -> Vec<u8> {
    (stream_head(request) + &chunk("id: 1\ndata: e1\n\n")).into_bytes()
}

/// Guards against streams that are resumed at the server that broke them off, though it has said that it leaves.
#[test]
fn a_stream_is_not_resumed_at_a_leaving_server() {
    let site = Site::start("stream", 2, first_event);
    let reply = site.call();
    assert_eq!((reply.is_whole_success(), site.counts()), (true, [1, 1]));
    assert_eq!(reply.last_event_id(), Some(3));
}

/// Guards against more servers than the route allows for one request, where the one that it began at leaves.
#[test]
fn a_stream_of_one_attempt_ends_with_its_leaving_server() {
    let site = Site::start("stream", 1, first_event);
    let reply = site.call();
    assert_eq!((reply.is_whole_success(), site.counts()), (false, [0, 1]));
}

/// Guards against repeats at a server that has broken the request off and said that it leaves.
#[test]
fn a_request_is_not_repeated_at_a_leaving_server() {
    for (attempts, status, counts) in [(2, 200, [1, 1]), (1, 502, [0, 1])] {
        let site = Site::start("safe", attempts, |_| Vec::new());
        assert_eq!((site.call().status, site.counts()), (status, counts));
    }
}

/// Guards against runs that continue at the engine of their copy long after that has said that it leaves. Within half of the
/// time that it has, the run goes on there.
#[test]
fn a_run_does_not_continue_at_an_engine_that_left_long_ago() {
    let moment = Duration::from_millis(100);
    for (pause, is_whole) in [(RETURN_LIMIT + moment * 4, false), (moment, true)] {
        let store = Store::start();
        let cluster: Arc<Mutex<Cluster>> = Arc::default();
        engine::configure(&store, 1, &json!({}), &json!({ "backups": true }));
        let engines = [0, 1].map(|number| {
            let engine = Engine::start(&cluster);
            engine.step_ms.store(250, Ordering::Relaxed);
            store.register(&format!("s{number}"), "pool", engine.address, "ready");
            engine
        });
        let vm = Vm::start(&store);
        vm.wait_ready();
        let headers = [("X-Request-Id", "r"), ("X-Deadline-Ms", "5000")];
        let reply = std::thread::scope(|scope| {
            let turn = scope.spawn(|| call(vm.callers, "POST", "/a/x", &headers, b""));
            let has_run = |engine: &Engine| !engine.header_values("x-request-id").is_empty();
            until("the run has begun", || engines.iter().any(has_run));
            let number = usize::from(has_run(&engines[0]));
            let name = format!("s{number}");
            store.register(&name, "pool", engines[number].address, "draining");
            until("the VM knows", || {
                !vm.lines("event=server_draining").is_empty()
            });
            sleep(pause);
            engines[1 - number].dead.store(true, Ordering::Relaxed);
            turn.join().expect("the call returns")
        });
        assert_eq!(reply.whole, is_whole, "after {pause:?}");
    }
}
