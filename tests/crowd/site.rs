//! A VM before a server, for crowds of callers.

use crate::crowd::{Watch, chunks, gather};
use crate::platform::{
    self, Act, Backend, Reply, Request, Store, Vm, WAIT_TIMEOUT, call, chunk, full_response,
    stream_head, until,
};
use serde_json::{Value, json};
use std::io::{BufReader, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

pub const MIB: usize = 1 << 20;
pub const MAX_BODY_BYTES: usize = 4 * MIB;
const MAX_HEAD_BYTES: usize = 16_384;
/// Callers in a crowd that sends bodies or reads no answers.
pub const CROWD: usize = 64;
const ROUTE_TIMEOUT_MS: u64 = 30_000;

/// A VM before a server.
pub struct Site {
    pub store: Store,
    pub vm: Vm,
    _backend: Backend,
}

impl Site {
    pub fn start() -> Self {
        Self::start_limited(None)
    }

    pub fn start_limited(descriptors: Option<u64>) -> Self {
        let store = Store::start();
        let backend = Backend::start(answer);
        // A server has four slots; requests for `/busy/` keep them.
        for (name, service) in [("a", "plain"), ("b", "busy")] {
            store.register(name, service, backend.address, "ready");
        }
        // Enough slots for a crowd.
        for number in 0..CROWD / 4 {
            store.register(&format!("c{number}"), "pool", backend.address, "ready");
        }
        store.put("keyed.op", "config", Some(&configuration()));
        let vm = Vm::start_limited(&store, descriptors);
        vm.wait_ready();
        Self {
            store,
            vm,
            _backend: backend,
        }
    }

    pub fn watch(&self) -> Watch {
        Watch::start(self.vm.pid())
    }

    pub fn gather<P: IntoIterator<Item = Vec<u8>>>(
        &self,
        count: usize,
        pieces: impl Fn(usize) -> P + Sync,
    ) -> Vec<TcpStream> {
        gather(self.vm.callers, count, pieces)
    }

    pub fn call(&self, path: &str, body: &[u8]) -> Reply {
        let headers = [("X-Request-Id", "ordinary"), ("X-Deadline-Ms", "3000")];
        call(self.vm.callers, "POST", path, &headers, body)
    }

    /// Sends a request until the service has a place for it, and reads its answer slowly.
    pub fn read_slowly(&self, path: &str) -> Reply {
        loop {
            let caller = self
                .gather(1, |number| with_length(path, number, 0, 0))
                .pop();
            let mut reader = BufReader::new(SlowReader(caller.expect("a connection")));
            let reply = platform::receive(&mut reader).expect("a response");
            if reply.status != 503 {
                return reply;
            }
        }
    }

    /// Waits until an ordinary request is answered.
    pub fn wait_served(&self) {
        until("an ordinary request is answered", || {
            let reply = self.call("/plain/x", b"hello");
            reply.status == 200 && reply.text() == "5"
        });
    }

    /// Checks what must hold while the crowd stays, and when it has left.
    pub fn check(&self, watch: &Watch, crowd: Vec<TcpStream>) {
        watch.settle();
        self.wait_served();
        watch.check();
        drop(crowd);
        self.wait_served();
        let largest = vec![b'x'; MAX_BODY_BYTES];
        until("a body of the largest size is served in calm", || {
            self.call("/plain/x", &largest).text() == MAX_BODY_BYTES.to_string()
        });
        watch.check();
        self.wait_released();
    }

    /// Waits until all that was held is released, for as long as that makes progress: what the crowd sent before it left may
    /// still have to be read.
    fn wait_released(&self) {
        let mut last = (Value::Null, Instant::now());
        loop {
            let state = self.vm.state();
            let held = &state["held"]["bytes"];
            let kinds = ["bodies", "answers", "messages"];
            if kinds.iter().all(|kind| held[kind] == 0) {
                return;
            }
            if last.0 != *held {
                last = (held.clone(), Instant::now());
            }
            assert!(last.1.elapsed() < 6 * WAIT_TIMEOUT, "still held: {held}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn configuration() -> Value {
    let route = |prefix: &str, kind: &str, service: &str, timeout_ms: u64| {
        json!({
            "name": prefix, "host": "site.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "sloMs": 250, "priority": 0, "service": service,
            "attempts": 1, "canResume": false, "retainS": 60.0, "retain": prefix == "/chat/",
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("/plain/", "unsafe", "plain", ROUTE_TIMEOUT_MS),
            route("/busy/", "unsafe", "busy", ROUTE_TIMEOUT_MS),
            route("/chat/", "stream", "pool", ROUTE_TIMEOUT_MS),
        ],
        "services": [{
            "name": "pool", "healthPath": "/healthz", "maxConns": 1000,
            "engine": { "slots": 4, "kvCapTokens": 1_000_000, "chunkTokens": 10 },
        }, { "name": "plain", "healthPath": "/healthz" }, { "name": "busy", "healthPath": "/healthz" }],
        "limits": {
            "maxHeaderBytes": MAX_HEAD_BYTES, "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 600_000,
        },
    })
}

/// Answers with the size of the body, or as the path says.
fn answer(request: &Request, _: usize) -> Act {
    if request.target.starts_with("/busy/") || request.target.ends_with("/wait") {
        return Act::Hang(Vec::new());
    }
    if let Some(size) = request.target.strip_prefix("/plain/answer-") {
        let size = size.parse().expect("a size");
        return Act::Keep(full_response(request, &"y".repeat(size)));
    }
    if request.target.starts_with("/chat/") {
        let size = request.target.rsplit('-').next();
        let size = size.and_then(|size| size.parse().ok()).unwrap_or(1);
        let events =
            (1..=64).map(|number| chunk(&format!("id: {number}\ndata: {}\n\n", "z".repeat(size))));
        let events: String = events.take(if size == 1 { 1 } else { 64 }).collect();
        return Act::Keep(format!("{}{events}0\r\n\r\n", stream_head(request)).into_bytes());
    }
    Act::Keep(full_response(request, &request.body.len().to_string()))
}

pub fn head(path: &str, number: usize, more: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r{number}\r\n\
         X-Deadline-Ms: 30000\r\n{more}\r\n"
    )
    .into_bytes()
}

/// A head with this body length, and that many bytes.
pub fn with_length(path: &str, number: usize, length: usize, sent: usize) -> Vec<Vec<u8>> {
    let head = head(path, number, &format!("Content-Length: {length}\r\n"));
    vec![head, vec![b'x'; sent]]
}

/// A head, and an unfinished body of this many bytes in chunks.
pub fn in_chunks(path: &str, number: usize, size: usize, chunk: usize) -> Vec<Vec<u8>> {
    let head = head(path, number, "Transfer-Encoding: chunked\r\n");
    std::iter::once(head).chain(chunks(size, chunk)).collect()
}

/// Reads at most 50 KB each 0.1 s.
struct SlowReader(TcpStream);

impl Read for SlowReader {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(100));
        let most = buf.len().min(50_000);
        self.0.read(&mut buf[..most])
    }
}
