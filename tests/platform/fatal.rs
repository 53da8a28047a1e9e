//! Nine backend servers, and requests that end the process of each server which runs them.

use super::program::wait_until_joined;
use super::{Act, Backend, Reply, Request, Store, Vm, call, events, stream_head, until};
use serde_json::{Value, json};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Servers that may end under one request.
pub const MAX_ENDED: usize = 3;
const SERVERS: usize = 9;

/// How a server treats the requests whose path contains `fatal`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fatal {
    /// It ends before it answers.
    BeforeResponse,
    /// It ends after the next event.
    MidStream,
    /// It only closes the connection after the next event.
    CloseOnly,
    /// It only closes the connection, before it answers.
    CloseBeforeResponse,
    /// It closes the connection, and ends later.
    CloseThenEnd(Duration),
    /// It sends bytes that are no response and closes the connection, and ends later.
    GarbageThenEnd(Duration),
    /// It closes the connection at the first of them, and ends at the second.
    EndAtRepeat,
    /// It is silent.
    Hang,
    /// It is silent, and ends later.
    SilentThenEnd(Duration),
    /// Another process, under another name, is at its address at once.
    Replaced,
    /// As [`Fatal::Replaced`], after the next event.
    MidStreamReplaced,
    /// It closes the connection, and its registration is removed later; its address still accepts connections.
    CloseThenLapse(Duration),
    /// It ends before it answers, with the VMs that are set for it.
    EndWithVm,
}

/// Servers of the service `pool`, and VMs that know each other.
pub struct Site {
    pub store: Store,
    pub vms: Vec<Vm>,
    servers: Vec<Backend>,
    fatal_left: Arc<AtomicUsize>,
    /// Servers that ended and left their address to another process.
    replaced: Arc<AtomicUsize>,
    /// Processes of the VMs that end with the next server.
    doomed_vms: Arc<Mutex<Vec<u32>>>,
}

/// What a server needs to know to act on a request.
struct Server {
    store: Store,
    name: Mutex<String>,
    service: String,
    fatal: Fatal,
    fatal_left: Arc<AtomicUsize>,
    replaced: Arc<AtomicUsize>,
    doomed_vms: Arc<Mutex<Vec<u32>>>,
    received: AtomicUsize,
}

impl Server {
    fn act(&self, request: &Request) -> Act {
        let name = self.name.lock().expect("not poisoned").clone();
        if request.header("x-expect-instance") != name {
            let head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\n";
            let id = request.header("x-request-id");
            let text = format!("{head}X-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return Act::Keep(text.into_bytes());
        }
        let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
        let take = |left: usize| left.checked_sub(1);
        let is_fatal = request.target.contains("fatal")
            && self
                .fatal_left
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
                .is_ok();
        if !is_fatal {
            let text = stream_head(request) + &events(first..=first + 1) + "0\r\n\r\n";
            return Act::Keep(text.into_bytes());
        }
        let one_event = || (stream_head(request) + &events(first..=first)).into_bytes();
        match self.fatal {
            Fatal::BeforeResponse => Act::End(Vec::new()),
            Fatal::MidStream => Act::End(one_event()),
            Fatal::CloseOnly => Act::Close(one_event()),
            Fatal::CloseBeforeResponse => Act::Close(Vec::new()),
            Fatal::CloseThenEnd(delay) => Act::CloseThenEnd(Vec::new(), delay),
            Fatal::GarbageThenEnd(delay) => {
                Act::CloseThenEnd(b"\x00\x17no response\r\n\r\n".to_vec(), delay)
            }
            Fatal::EndAtRepeat => match self.received.fetch_add(1, Ordering::SeqCst) {
                0 => Act::Close(Vec::new()),
                _ => Act::End(Vec::new()),
            },
            Fatal::Hang => Act::Hang(Vec::new()),
            Fatal::SilentThenEnd(delay) => Act::SilentThenEnd(delay),
            Fatal::Replaced => {
                self.replace(request);
                Act::Close(Vec::new())
            }
            Fatal::MidStreamReplaced => {
                self.replace(request);
                Act::Close(one_event())
            }
            Fatal::CloseThenLapse(delay) => {
                let store = self.store.clone();
                if self.received.fetch_add(1, Ordering::SeqCst) == 0 {
                    self.replaced.fetch_add(1, Ordering::SeqCst);
                }
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    store.put("keyed.servers", &name, None);
                });
                Act::Close(Vec::new())
            }
            Fatal::EndWithVm => {
                for vm in self.doomed_vms.lock().expect("not poisoned").drain(..) {
                    // Fails if it has ended.
                    let _ = Command::new("kill")
                        .args(["-KILL", &vm.to_string()])
                        .status();
                }
                Act::End(Vec::new())
            }
        }
    }

    /// Registers another process at the address of this one.
    fn replace(&self, request: &Request) {
        self.replaced.fetch_add(1, Ordering::SeqCst);
        let mut name = self.name.lock().expect("not poisoned");
        name.push('n');
        let address = request.local_address.expect("a received request");
        self.store.register(&name, &self.service, address, "ready");
    }
}

impl Site {
    /// Starts servers that treat this many requests as fatal, and answer further ones.
    pub fn start(vms: usize, fatal: Fatal, fatal_requests: usize) -> Self {
        Self::with_route(vms, fatal, fatal_requests, &json!({ "attempts": 1 }))
    }

    /// As [`Site::start`], with these fields of the route.
    pub fn with_route(vms: usize, fatal: Fatal, fatal_requests: usize, route: &Value) -> Self {
        let service = route["service"].as_str().unwrap_or("pool").to_owned();
        let store = Store::start();
        let fatal_left = Arc::new(AtomicUsize::new(fatal_requests));
        let replaced = Arc::<AtomicUsize>::default();
        let doomed_vms = Arc::<Mutex<Vec<u32>>>::default();
        let servers = (0..SERVERS).map(|number| {
            let name = format!("s{number}");
            let server = Server {
                store: store.clone(),
                name: Mutex::new(name.clone()),
                service: service.clone(),
                fatal,
                fatal_left: Arc::clone(&fatal_left),
                replaced: Arc::clone(&replaced),
                doomed_vms: Arc::clone(&doomed_vms),
                received: AtomicUsize::new(0),
            };
            let server = Backend::start(move |request, _| server.act(request));
            store.register(&name, &service, server.address, "ready");
            server
        });
        let servers = servers.collect();
        store.configure(1, &[("/a/", "stream", route.clone())]);
        let vms: Vec<Vm> = (0..vms).map(|_| Vm::start(&store)).collect();
        wait_until_joined(&vms);
        let site = Self {
            store,
            vms,
            servers,
            fatal_left,
            replaced,
            doomed_vms,
        };
        site.vms.iter().for_each(wait_until_informed);
        site
    }

    /// Servers that have ended so far.
    pub fn ended(&self) -> usize {
        let servers = self.servers.iter();
        let ended = servers.filter(|server| server.has_ended()).count();
        ended + self.replaced.load(Ordering::SeqCst)
    }

    /// Fatal requests that reached a server.
    pub fn received(&self) -> usize {
        let requests = self.servers.iter().map(|server| {
            let requests = server.requests.lock().expect("not poisoned");
            let fatal = requests
                .iter()
                .filter(|request| request.target.contains("fatal"));
            fatal.count()
        });
        requests.sum()
    }

    /// Ends the first servers.
    pub fn end_first(&self, count: usize) {
        self.servers.iter().take(count).for_each(Backend::end);
    }

    /// Ends all servers that received a request.
    pub fn end_receivers(&self) {
        let servers = self.servers.iter();
        let receivers: Vec<_> = servers.filter(|server| server.count() > 0).collect();
        receivers.into_iter().for_each(Backend::end);
    }

    pub fn set_fatal_requests(&self, count: usize) {
        self.fatal_left.store(count, Ordering::SeqCst);
    }

    /// Lets these VMs end with the next server.
    pub fn doom(&self, vms: &[usize]) {
        let vms = vms.iter().map(|vm| self.vms[*vm].pid());
        *self.doomed_vms.lock().expect("not poisoned") = vms.collect();
    }

    /// Starts a VM again that has been killed.
    pub fn restart(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        vm.kill();
        vm.restart();
    }
}

/// Waits until the VM knows which servers ended before it started.
pub fn wait_until_informed(vm: &Vm) {
    vm.wait_ready();
    until("the VM knows which servers ended", || {
        vm.state()["server_ends"]["informed"] == true
    });
}

/// Sends a turn; its content depends on `path` alone.
pub fn turn(vm: &Vm, path: &str, id: &str) -> Reply {
    turn_within(vm, path, id, 4000)
}

/// As [`turn`], for a caller that waits this long.
pub fn turn_within(vm: &Vm, path: &str, id: &str, deadline_ms: u32) -> Reply {
    send_turn(vm, path, id, deadline_ms, None)
}

/// As [`turn`], for a caller that has the events up to this one from an earlier try.
pub fn turn_after(vm: &Vm, path: &str, id: &str, last_event: Option<u64>) -> Reply {
    send_turn(vm, path, id, 4000, last_event)
}

fn send_turn(vm: &Vm, path: &str, id: &str, deadline_ms: u32, last_event: Option<u64>) -> Reply {
    let (deadline_ms, last) = (deadline_ms.to_string(), last_event.unwrap_or(0).to_string());
    let mut headers = vec![
        ("X-Request-Id", id),
        ("X-Program", "p"),
        ("X-Session", "p"),
        ("X-Token-Count", "100,290"),
        ("X-Deadline-Ms", &deadline_ms),
    ];
    headers.extend(last_event.map(|_| ("Last-Event-Id", &*last)));
    call(vm.callers, "POST", path, &headers, b"a prompt")
}
