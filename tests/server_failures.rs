//! Requests under which backend servers end, through the binary: the servers' processes are gone, so that connections to
//! them are refused.

mod platform;

use platform::program::wait_until_joined;
use platform::{Reply, Request, Store, Vm, call, events, stream_head, unused_address};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Servers that may end under one request.
const MAX_ENDED: usize = 3;

/// How a server treats the requests whose path contains `fatal`.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fatal {
    /// It ends before it answers.
    BeforeResponse,
    /// It ends after the next event.
    MidStream,
    /// It only closes the connection after the next event.
    CloseOnly,
}

/// Servers of the service `pool`, each of which listens until a request ends it.
struct Servers {
    fatal: Fatal,
    /// Fatal requests that end a server; further ones are answered.
    fatal_left: AtomicUsize,
    ended: AtomicUsize,
    /// Fatal requests that reached a server, by their request ID.
    received: Arc<Mutex<Vec<String>>>,
}

impl Servers {
    fn start(store: &Store, count: usize, fatal: Fatal, fatal_requests: usize) -> Arc<Self> {
        let servers = Arc::new(Self {
            fatal,
            fatal_left: AtomicUsize::new(fatal_requests),
            ended: AtomicUsize::new(0),
            received: Arc::default(),
        });
        for number in 0..count {
            let address = Arc::clone(&servers).listen();
            store.register(&format!("s{number}"), "pool", address, "ready");
        }
        servers
    }

    fn listen(self: Arc<Self>) -> SocketAddr {
        let address = SocketAddr::new(unused_address(), 0);
        let listener = TcpListener::bind(address).expect("the address is free");
        listener.set_nonblocking(true).expect("the mode is set");
        let address = listener.local_addr().expect("the listener is bound");
        std::thread::spawn(move || {
            let ends = Arc::new(AtomicBool::new(false));
            let listens = Arc::new(AtomicBool::new(true));
            while !ends.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("the mode is set");
                let (servers, ends, listens) =
                    (Arc::clone(&self), Arc::clone(&ends), Arc::clone(&listens));
                std::thread::spawn(move || {
                    if !servers.serve(&stream) {
                        return;
                    }
                    ends.store(true, Ordering::SeqCst);
                    // The connection closes after the listener, as when a process ends.
                    while listens.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                });
            }
            drop(listener);
            self.ended.fetch_add(1, Ordering::SeqCst);
            listens.store(false, Ordering::SeqCst);
        });
        address
    }

    /// Serves a connection to its end; returns whether a request ends the server.
    fn serve(&self, mut stream: &TcpStream) -> bool {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Some(request) = Request::read(&mut reader) {
            let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
            let is_fatal = request.target.contains("fatal") && self.takes_fatal(&request);
            if is_fatal && self.fatal == Fatal::BeforeResponse {
                return true;
            }
            let bytes = if is_fatal {
                stream_head(&request) + &events(first..=first)
            } else {
                stream_head(&request) + &events(first..=first + 1) + "0\r\n\r\n"
            };
            if stream.write_all(bytes.as_bytes()).is_err() {
                return false;
            }
            if is_fatal {
                return self.fatal == Fatal::MidStream;
            }
        }
        false
    }

    /// Counts a fatal request; returns whether it takes effect.
    fn takes_fatal(&self, request: &Request) -> bool {
        let id = request.header("x-request-id").to_owned();
        self.received.lock().expect("not poisoned").push(id);
        let take = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        self.fatal_left.fetch_update(order, order, take).is_ok()
    }

    fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }

    fn received(&self) -> usize {
        self.received.lock().expect("not poisoned").len()
    }
}

/// Starts a store, servers and VMs that know each other.
fn start(vms: usize, fatal: Fatal, fatal_requests: usize) -> (Store, Arc<Servers>, Vec<Vm>) {
    start_with(vms, fatal, fatal_requests, &json!({ "attempts": 1 }))
}

fn start_with(
    vms: usize,
    fatal: Fatal,
    fatal_requests: usize,
    route: &Value,
) -> (Store, Arc<Servers>, Vec<Vm>) {
    let store = Store::start();
    let servers = Servers::start(&store, 9, fatal, fatal_requests);
    store.configure(1, &[("/a/", "stream", route.clone())]);
    let vms: Vec<Vm> = (0..vms).map(|_| Vm::start(&store)).collect();
    wait_until_joined(&vms);
    (store, servers, vms)
}

/// Sends a turn; its content depends on `path` alone.
fn turn(vm: &Vm, path: &str, id: &str) -> Reply {
    let headers = [
        ("X-Request-Id", id),
        ("X-Program", "p"),
        ("X-Session", "p"),
        ("X-Token-Count", "100,290"),
        ("X-Deadline-Ms", "4000"),
    ];
    call(vm.callers, "POST", path, &headers, b"a prompt")
}

/// Guards against a request that ends a server in each of its caller's retries, at any VM.
#[test]
fn a_request_that_ended_three_servers_is_not_sent_again_by_any_vm() {
    let (_store, servers, vms) = start(3, Fatal::BeforeResponse, usize::MAX);
    for number in 0..6 {
        let reply = turn(&vms[number % 3], "/a/fatal", &format!("r{number}"));
        assert!(reply.status >= 500, "{reply:?}");
    }
    assert_eq!(
        (servers.ended(), servers.received()),
        (MAX_ENDED, MAX_ENDED)
    );
    for vm in &vms {
        assert_eq!(turn(vm, "/a/other", "o").status, 200);
    }
}

/// Guards against a stream that is resumed at one server after another, and ends each of them.
#[test]
fn a_stream_that_ended_three_servers_is_not_resumed() {
    let (_store, servers, vms) = start(3, Fatal::MidStream, usize::MAX);
    for (number, vm) in vms.iter().enumerate() {
        let reply = turn(vm, "/a/fatal", &format!("r{number}"));
        assert!(!reply.whole || reply.status >= 500, "{reply:?}");
    }
    assert_eq!(
        (servers.ended(), servers.received()),
        (MAX_ENDED, MAX_ENDED)
    );
}
