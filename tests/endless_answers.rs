//! Backend servers that send bytes without end which are no answer, through the binary.

mod crowd;
mod platform;

use crowd::Watch;
use platform::{
    Act, Backend, Reply, Request, Store, Vm, call, events, full_response, stream_head, until,
};
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MIB: usize = 1 << 20;
/// Longest time for the answer of a server that does nothing unusual, beside servers that do.
const PROMPT: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(3);

/// What an endless response begins with, and what is repeated.
type Endless = fn(&Request) -> (String, Vec<u8>);

/// A VM before three servers. The first that gets a request for `/a/endless` or `/b/endless` answers without end; the others
/// answer all requests.
struct Site {
    vm: Vm,
    servers: Vec<Backend>,
}

impl Site {
    fn start(endless: Endless, pause: Duration) -> Self {
        let store = Store::start();
        let first = Arc::new(AtomicUsize::new(usize::MAX));
        let servers = (0..3).map(|number| {
            let first = Arc::clone(&first);
            let server = Backend::start(move |request, _| {
                let is_first = request.target.ends_with("endless")
                    && match first.compare_exchange(
                        usize::MAX,
                        number,
                        Ordering::SeqCst,
                        Ordering::SeqCst,
                    ) {
                        Ok(_) => true,
                        Err(first) => first == number,
                    };
                if is_first {
                    let (head, repeated) = endless(request);
                    return Act::Endless(head.into_bytes(), repeated, pause);
                }
                if request.target.starts_with("/a/") {
                    let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
                    let text = stream_head(request) + &events(first..=2) + "0\r\n\r\n";
                    return Act::Keep(text.into_bytes());
                }
                Act::Keep(full_response(request, "whole"))
            });
            store.register(&format!("s{number}"), "pool", server.address, "ready");
            store.register(&format!("o{number}"), "other", server.address, "ready");
            server
        });
        let servers = servers.collect();
        let other = json!({ "attempts": 2, "service": "other" });
        store.configure(
            1,
            &[
                ("/a/", "stream", json!({ "attempts": 2 })),
                ("/b/", "safe", other),
            ],
        );
        let vm = Vm::start(&store);
        vm.wait_ready();
        Self { vm, servers }
    }

    fn call(&self, path: &str, id: &str) -> Reply {
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", &*deadline)];
        call(self.vm.callers, "POST", path, &headers, b"")
    }

    /// Sends a request to the endless server, while others use the VM. Returns its reply and the longest time of the others.
    fn call_beside_others(&self, path: &str) -> (Reply, Duration, Duration) {
        let is_over = AtomicBool::new(false);
        let longest = Mutex::new(Duration::ZERO);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let started = Instant::now();
                    let reply = self.call("/b/x", &format!("o{number}"));
                    assert_eq!(reply.status, 200);
                    let mut longest = longest.lock().expect("not poisoned");
                    *longest = longest.max(started.elapsed());
                }
            });
            // The others are under way.
            std::thread::sleep(Duration::from_millis(100));
            let started = Instant::now();
            let reply = self.call(path, "e");
            let took = started.elapsed();
            is_over.store(true, Ordering::SeqCst);
            drop(self.call("/b/x", "last"));
            (reply, took, *longest.lock().expect("not poisoned"))
        })
    }

    /// Bytes that the VM let the endless server send, and whether it has closed the connection.
    fn sent(&self) -> (usize, bool) {
        let sent = self.servers.iter();
        let sent = sent.map(|server| server.endless_bytes.load(Ordering::Relaxed));
        let closed = self.servers.iter();
        let closed = closed.map(|server| server.client_closed.load(Ordering::Relaxed));
        (sent.sum(), closed.into_iter().any(|closed| closed))
    }

    /// Checks that the request was sent on soon, the connection closed after this many bytes, and nobody held up.
    fn check(&self, path: &str, most_bytes: usize) {
        let (reply, took, longest) = self.call_beside_others(path);
        assert!(reply.status == 200 && reply.whole, "{reply:?}");
        assert!(took < 2 * PROMPT, "answered after {took:?}");
        assert!(longest < PROMPT, "others waited {longest:?}");
        until("the connection is closed", || self.sent().1);
        let (sent, _) = self.sent();
        assert!(sent < most_bytes + kernel_buffers(), "{sent} bytes sent");
        let failed = || self.vm.lines("event=attempt_failed").len();
        until("the server counts as failed", || failed() > 0);
        assert_eq!(failed(), 1, "the server counts as failed once");
    }
}

/// Most bytes that are sent and not read: those in the buffers of both sockets.
fn kernel_buffers() -> usize {
    let largest = |name: &str| {
        let limits = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}"));
        let limits = limits.expect("the limits of buffers can be read");
        let largest = limits.split_whitespace().last().expect("three limits");
        largest.parse::<usize>().expect("a number")
    };
    largest("tcp_rmem") + largest("tcp_wmem") + MIB
}

fn head(request: &Request, status: &str, more: &str) -> String {
    let id = request.header("x-request-id");
    format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Seal: s\r\n{more}\r\n")
}

/// Guards against interim responses without end, which kept the VM from all other work.
#[test]
fn interim_responses_without_end_are_given_up() {
    let endless: Endless = |_| {
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        (String::new(), interim.repeat(4000).into_bytes())
    };
    for path in ["/a/endless", "/b/endless"] {
        Site::start(endless, Duration::ZERO).check(path, MIB);
    }
}

/// Guards against interim responses that go on slowly until the deadline.
#[test]
fn interim_responses_that_trickle_are_given_up() {
    let endless: Endless = |_| (String::new(), b"HTTP/1.1 102 Processing\r\n\r\n".to_vec());
    Site::start(endless, Duration::from_millis(5)).check("/a/endless", MIB);
}

/// Guards against a head without end.
#[test]
fn a_head_without_end_is_given_up() {
    let endless: Endless = |_| ("HTTP/1.1 200 OK\r\nX-A: ".to_owned(), vec![b'a'; 65_536]);
    Site::start(endless, Duration::ZERO).check("/a/endless", MIB);
}

/// Guards against reading the endless body of a refusal before the request is sent on.
#[test]
fn a_refusal_with_an_endless_body_is_passed_over_at_once() {
    let endless: Endless = |request| {
        let more = "X-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n";
        let head = head(request, "503 Service Unavailable", more);
        (head, b"1\r\nx\r\n".to_vec())
    };
    for pause in [Duration::ZERO, Duration::from_millis(5)] {
        Site::start(endless, pause).check("/a/endless", MIB);
    }
}

/// Guards against a response body without end.
#[test]
fn a_body_without_end_is_given_up() {
    let endless: Endless = |request| {
        let head = head(request, "200 OK", "Transfer-Encoding: chunked\r\n");
        let chunk = format!("10000\r\n{}\r\n", "b".repeat(65_536));
        (head, chunk.into_bytes())
    };
    Site::start(endless, Duration::ZERO).check("/b/endless", 8 * MIB);
}

/// Guards against small chunks without end, fast or slow, which keep the VM from other work, or outlast their request.
#[test]
fn small_chunks_without_end_last_no_longer_than_their_request() {
    const CHUNK: &[u8] = b"1\r\nx\r\n";
    const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
    let fast: Endless = |request| (head(request, "200 OK", CHUNKED), CHUNK.repeat(10_000));
    let slow: Endless = |request| (head(request, "200 OK", CHUNKED), CHUNK.to_vec());
    for (endless, pause) in [(fast, Duration::ZERO), (slow, Duration::from_millis(5))] {
        let site = Site::start(endless, pause);
        let watch = Watch::start(site.vm.pid());
        let (reply, took, longest) = site.call_beside_others("/b/endless");
        assert!(reply.status >= 500 || reply.text() == "whole", "{reply:?}");
        assert!(took < DEADLINE + PROMPT, "answered after {took:?}");
        assert!(longest < PROMPT, "others waited {longest:?}");
        until("the connection is closed", || site.sent().1);
        watch.check();
    }
}

/// Guards against comments without end in a stream.
#[test]
fn comments_without_end_are_given_up() {
    let endless: Endless = |request| {
        let comment = ":no event\n\n".repeat(100);
        let chunk = format!("{:x}\r\n{comment}\r\n", comment.len());
        (stream_head(request), chunk.into_bytes())
    };
    Site::start(endless, Duration::ZERO).check("/a/endless", MIB);
}

/// Guards against comments without end after an event, at the same server again and again.
#[test]
fn a_stream_leaves_a_server_whose_comments_have_no_end() {
    let endless: Endless = |request| {
        let comment = ":no event\n\n".repeat(100);
        let chunk = format!("{:x}\r\n{comment}\r\n", comment.len());
        (stream_head(request) + &events(1..=1), chunk.into_bytes())
    };
    let site = Site::start(endless, Duration::ZERO);
    let (reply, took, longest) = site.call_beside_others("/a/endless");
    assert!(reply.status == 200 && reply.whole, "{reply:?}");
    let text = reply.text();
    let data: Vec<_> = text
        .lines()
        .filter(|line| line.starts_with("data:"))
        .collect();
    assert_eq!(data, ["data: e1", "data: e2"]);
    assert!(took < 2 * PROMPT, "answered after {took:?}");
    assert!(longest < PROMPT, "others waited {longest:?}");
    until("the connection is closed", || site.sent().1);
}

/// Guards against an event without end in a stream.
#[test]
fn an_event_without_end_is_given_up() {
    let endless: Endless = |request| {
        let chunk = format!("1000\r\n{}\r\n", "e".repeat(4096));
        (stream_head(request), chunk.into_bytes())
    };
    Site::start(endless, Duration::ZERO).check("/a/endless", 2 * MIB);
}

/// Guards against the size of a chunk that never ends.
#[test]
fn a_chunk_size_without_end_is_given_up() {
    let endless: Endless = |request| (stream_head(request), vec![b'0'; 65_536]);
    Site::start(endless, Duration::ZERO).check("/a/endless", MIB);
}

/// Guards against trailers without end.
#[test]
fn trailers_without_end_are_given_up() {
    let endless: Endless = |request| {
        let head = head(request, "200 OK", "Transfer-Encoding: chunked\r\n");
        (head + "1\r\nx\r\n0\r\n", b"X-A: b\r\n".repeat(1000))
    };
    Site::start(endless, Duration::ZERO).check("/b/endless", MIB);
}
