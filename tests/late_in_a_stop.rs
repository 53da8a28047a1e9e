//! Requests that are late in a planned stop, through the binary.

mod platform;

use platform::program::start_site;
use platform::{
    Act, Backend, Reply, Request, Store, Vm, call, events, full_response, receive, stream_head,
    until,
};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time limit of a stop, as the settings of the VMs have it.
const STOP: Duration = Duration::from_secs(4);
/// When the process has ended.
const END: Duration = Duration::from_millis(3700);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn start_vm(backend: &Backend) -> (Store, Vm) {
    let store = Store::start();
    let plain = json!({ "service": "other", "attempts": 1, "timeoutMs": 6000 });
    store.configure(
        1,
        &[
            ("/a/", "stream", json!({ "timeoutMs": 6000 })),
            ("/b/", "unsafe", plain.clone()),
            ("/c/", "safe", plain),
        ],
    );
    store.register("s", "pool", backend.address, "ready");
    store.register("o", "other", backend.address, "ready");
    let vm = Vm::start(&store);
    vm.wait_ready();
    (store, vm)
}

/// Sends the head of a request and a part of its body on an open connection, and the rest at another time.
fn send_in_parts(to: SocketAddr, path: &str, head_at: Instant, end_at: Instant) -> Reply {
    let wait = |at: Instant| sleep(at.saturating_duration_since(Instant::now()));
    let mut stream = TcpStream::connect(to).expect("the VM listens");
    wait(head_at);
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: 6000\r\n\
         Content-Length: 4\r\n\r\nbo"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    wait(end_at);
    // Fails if the VM has answered and closed the connection.
    drop(stream.write_all(b"dy"));
    receive(&mut BufReader::new(stream)).unwrap_or_default()
}

/// Whether the reply is an answer that says of an unsafe request truly whether it ran.
fn is_true_answer(reply: &Reply, ran: bool) -> bool {
    match reply.status {
        200 => ran && reply.whole,
        502 | 504 => reply.whole,
        503 => !ran && reply.whole,
        _ => false,
    }
}

/// Guards against requests that are read whole late in a stop, run, and are cut off without an answer.
#[test]
fn a_request_whose_body_ends_late_in_a_stop_is_answered() {
    let backend = Backend::start(|request, _| {
        sleep(ms(700));
        Act::Keep(full_response(request, "fine"))
    });
    let (_store, mut vm) = start_vm(&backend);
    let (callers, began) = (vm.callers, Instant::now());
    vm.terminate();
    std::thread::scope(|scope| {
        for (number, head) in [1800, 2000, 2300].into_iter().enumerate() {
            for end in [2500, 2900, 3100, 3300, 3500] {
                let path = ["/b/x", "/c/x", "/a/x"][number];
                scope.spawn(move || {
                    let reply = send_in_parts(callers, path, began + ms(head), began + ms(end));
                    assert!(
                        reply.whole && reply.status >= 200,
                        "{path} {head} {end}: {reply:?}"
                    );
                });
            }
        }
    });
    assert!(vm.wait());
}

/// Guards against cutting off requests that wait for their server when the VM ends, and against refusing those that their server
/// still answers in time.
#[test]
fn a_request_at_work_at_the_end_of_a_stop_is_answered() {
    let backend = Backend::start(|request, _| {
        let work_ms = request.target.rsplit('/').next();
        let work_ms = work_ms.and_then(|text| text.parse().ok());
        sleep(ms(work_ms.expect("a number")));
        Act::Keep(full_response(request, "fine"))
    });
    let (_store, mut vm) = start_vm(&backend);
    let callers = vm.callers;
    std::thread::scope(|scope| {
        for kind in ["b", "c"] {
            for work_ms in [1500, 5000] {
                scope.spawn(move || {
                    sleep(ms(600));
                    let path = format!("/{kind}/{work_ms}");
                    let headers = [("X-Request-Id", &*path), ("X-Deadline-Ms", "6000")];
                    let reply = call(callers, "POST", &path, &headers, b"");
                    let expected = if work_ms == 1500 {
                        [200; 2]
                    } else {
                        [502, 504]
                    };
                    assert!(
                        reply.whole && expected.contains(&reply.status),
                        "{path}: {reply:?}"
                    );
                });
            }
        }
        sleep(ms(100));
        vm.terminate();
    });
    assert!(vm.wait());
}

/// Guards against requests that get a place at a server late in a stop, after others have held all places.
#[test]
fn a_request_that_waits_for_a_place_in_a_stop_is_refused_as_not_run() {
    // Four places, each taken for longer than the stop.
    let backend = Backend::start(|request, _| {
        if request.target.ends_with("hold") {
            sleep(ms(3200));
        }
        let stream = stream_head(request) + &events(1..=2) + "0\r\n\r\n";
        Act::Keep(stream.into_bytes())
    });
    let (_store, mut vm) = start_vm(&backend);
    let (callers, began) = (vm.callers, Instant::now());
    std::thread::scope(|scope| {
        for number in 0..4 {
            scope.spawn(move || {
                let headers = [
                    ("X-Request-Id", &*format!("h{number}")),
                    ("X-Deadline-Ms", "6000"),
                ];
                call(callers, "POST", "/a/hold", &headers, b"")
            });
        }
        until("all places are taken", || backend.count() == 4);
        vm.terminate();
        for number in 0..6 {
            let backend = &backend;
            scope.spawn(move || {
                let id = format!("w{number}");
                let headers = [("X-Request-Id", &*id), ("X-Deadline-Ms", "6000")];
                let reply = call(callers, "POST", "/a/x", &headers, b"");
                let seen = backend.requests.lock().expect("not poisoned");
                let ran = seen
                    .iter()
                    .any(|request| request.header("x-request-id") == id);
                assert!(is_true_answer(&reply, ran), "{id} ran: {ran}, {reply:?}");
                assert!(began.elapsed() < STOP);
            });
        }
    });
    assert!(vm.wait());
}

/// Guards against repeats late in a stop that are cut off: the server breaks a safe request off after 3 s and is silent at the
/// repeat.
#[test]
fn a_repeat_late_in_a_stop_is_answered() {
    let backend = Backend::start(|request, number| {
        let wait = if number == 0 { ms(3000) } else { END };
        sleep(wait);
        Act::Close(if number == 0 {
            Vec::new()
        } else {
            full_response(request, "late")
        })
    });
    let (_store, mut vm) = start_vm(&backend);
    let callers = vm.callers;
    std::thread::scope(|scope| {
        scope.spawn(move || {
            let headers = [("X-Request-Id", "r"), ("X-Deadline-Ms", "6000")];
            let reply = call(callers, "POST", "/c/x", &headers, b"");
            assert!(
                reply.whole && [502, 504].contains(&reply.status),
                "{reply:?}"
            );
        });
        until("the request has arrived", || backend.count() == 1);
        vm.terminate();
    });
    assert!(vm.wait());
}

/// Guards against turns that wait for the store when a stop ends, and are cut off.
#[test]
fn a_turn_that_waits_for_the_store_in_a_stop_is_answered() {
    let backend = platform::program::engine(2);
    let (store, mut vms) = start_site(&backend, 2);
    store.set_silent(true);
    let callers = vms[0].callers;
    let began = Instant::now();
    vms[0].terminate();
    std::thread::scope(|scope| {
        for number in 0..12 {
            scope.spawn(move || {
                sleep(ms(number * 200));
                let program = format!("p{number}");
                let headers = [
                    ("X-Request-Id", &*program),
                    ("X-Program", &program),
                    ("X-Token-Budget", "900"),
                    ("X-Token-Count", "100,290"),
                    ("X-Deadline-Ms", "6000"),
                ];
                let reply = call(callers, "POST", "/a/x", &headers, b"");
                assert!(reply.whole && reply.status >= 200, "{program}: {reply:?}");
                assert!(began.elapsed() < STOP);
            });
        }
    });
    assert!(vms[0].wait());
}

/// Guards against a head that stops before its end in a stop and holds the process up.
#[test]
fn an_unfinished_head_does_not_hold_a_stop_up() {
    let backend = Backend::start(|request: &Request, _| Act::Keep(full_response(request, "fine")));
    let (_store, mut vm) = start_vm(&backend);
    let mut stream = TcpStream::connect(vm.callers).expect("the VM listens");
    stream
        .write_all(b"POST /b/x HTTP/1.1\r\nHo")
        .expect("a part is sent");
    let began = Instant::now();
    vm.terminate();
    assert!(vm.wait());
    assert!(began.elapsed() < STOP + ms(500));
}
