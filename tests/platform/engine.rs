//! Fake engines that copy the memory of runs to each other.

use super::{Act, Request, Store, chunk, listen, response, stream_head, unused_address};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Events of a whole run.
pub const EVENTS: u64 = 12;
/// Time of one copy of a run's memory.
const COPY_TIME: Duration = Duration::from_millis(20);
/// Longest time in which an engine notices that its client has closed the channel.
const STOP_LIMIT: Duration = Duration::from_millis(400);

/// What the engines of a test share: the copies between them, and which run is at work where.
#[derive(Debug, Default)]
pub struct Cluster {
    /// Events in each copy, by the engine that holds it and the ID of the run.
    copies: BTreeMap<(SocketAddr, String), u64>,
    /// Events in the memory of each stopped run, by the engine that keeps it and its handle.
    handles: BTreeMap<(SocketAddr, String), u64>,
    /// Runs that are to stop for a move, by engine.
    stopping: BTreeSet<(SocketAddr, String)>,
    /// Events that each run has sent.
    sent: BTreeMap<String, u64>,
    /// Engines at which each run is at work.
    at_work: BTreeMap<String, Vec<SocketAddr>>,
    /// Runs that were at work at two engines for longer than [`STOP_LIMIT`].
    pub doubled: Vec<String>,
}

/// A fake engine.
#[derive(Debug, Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub cluster: Arc<Mutex<Cluster>>,
    /// Received requests, in order of arrival.
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Closes its connections, and new ones at once.
    pub dead: Arc<AtomicBool>,
    /// Keeps its connections open, and sends nothing.
    pub frozen: Arc<AtomicBool>,
    /// Dies or freezes before this event of the next run; 0 for never.
    pub dies_at: Arc<AtomicU64>,
    pub freezes_at: Arc<AtomicU64>,
    /// Time of one event.
    pub step_ms: Arc<AtomicU64>,
    /// Events by which copies lag, and from which a continued run sends again.
    pub lag: Arc<AtomicU64>,
    /// Prompts that it keeps, with the end of their time.
    pub pins: Arc<Mutex<BTreeMap<String, Instant>>>,
    /// Whether a call for a move kills it.
    pub dies_on_move: Arc<AtomicBool>,
    /// Whether the targets of its moves have no room for the last part.
    pub no_room: Arc<AtomicBool>,
    /// Whether it takes no runs with a handle of another engine, and gives no copies.
    pub full: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(cluster: &Arc<Mutex<Cluster>>) -> Self {
        let mut engine = Self {
            address: SocketAddr::new(unused_address(), 0),
            cluster: Arc::clone(cluster),
            requests: Arc::default(),
            dead: Arc::default(),
            frozen: Arc::default(),
            dies_at: Arc::default(),
            freezes_at: Arc::default(),
            step_ms: Arc::new(AtomicU64::new(20)),
            lag: Arc::default(),
            pins: Arc::default(),
            no_room: Arc::default(),
            dies_on_move: Arc::default(),
            full: Arc::default(),
        };
        let serving = Arc::new(Mutex::new(engine.clone()));
        let served = Arc::clone(&serving);
        engine.address = listen(engine.address, move |stream| {
            let engine = served.lock().expect("not poisoned").clone();
            engine.serve(stream);
        });
        serving.lock().expect("not poisoned").address = engine.address;
        engine
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while !self.dead.load(Ordering::Relaxed) {
            let Some(request) = Request::read(&mut reader) else {
                return;
            };
            self.requests
                .lock()
                .expect("not poisoned")
                .push(request.clone());
            if let Act::Keep(bytes) = self.answer(&request, &mut stream) {
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            } else {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> Act {
        if let Some(prompt) = request.target.strip_prefix("/kv-pin/") {
            let pin = self.pins.lock().expect("not poisoned").remove(prompt);
            let status = if pin.is_some() {
                "200 OK"
            } else {
                "404 Not Found"
            };
            return Act::Keep(response(status, b""));
        }
        if request.target == "/kv-move" {
            if self.dies_on_move.load(Ordering::Relaxed) {
                self.dead.store(true, Ordering::Relaxed);
                return Act::Close(Vec::new());
            }
            return Act::Keep(self.move_run(request));
        }
        if let Some(handle) = request.target.strip_prefix("/kv-handle/") {
            let key = (self.address, handle.to_owned());
            self.cluster
                .lock()
                .expect("not poisoned")
                .handles
                .remove(&key);
            return Act::Keep(response("200 OK", b""));
        }
        let id = request.header("x-request-id").to_owned();
        let mut first = 1;
        if let Some((holder, run)) = request.header("kv-from").split_once('/') {
            let key = (holder.parse().expect("an address"), run.to_owned());
            let mut cluster = self.cluster.lock().expect("not poisoned");
            let is_full = self.full.load(Ordering::Relaxed);
            let own_copy = key.0 == self.address && run == id;
            let copied = if own_copy {
                cluster.copies.remove(&key)
            } else if is_full {
                None
            } else {
                cluster.handles.remove(&key)
            };
            drop(cluster);
            let Some(copied) = copied else {
                return Act::Keep(
                    format!(
                        "HTTP/1.1 503 Busy\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\n\
                         Content-Length: 0\r\n\r\n"
                    )
                    .into_bytes(),
                );
            };
            let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
            first = if self.lag.load(Ordering::Relaxed) > 0 {
                copied + 1
            } else {
                last + 1
            };
        }
        self.begin(&id);
        let whole = self.stream(request, &id, first, stream);
        let mut cluster = self.cluster.lock().expect("not poisoned");
        if let Some(engines) = cluster.at_work.get_mut(&id) {
            engines.retain(|engine| *engine != self.address);
        }
        if whole {
            self.pin(request);
            cluster.copies.retain(|(_, run), _| *run != id);
            return Act::Keep(b"0\r\n\r\n".to_vec());
        }
        Act::Close(Vec::new())
    }

    /// Answers a call for a move. A run that goes on at the target must find a handle, which stays while it is full.
    fn move_run(&self, request: &Request) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&request.body).expect("JSON");
        let id = body["id"].as_str().expect("an ID").to_owned();
        let works = || {
            let cluster = self.cluster.lock().expect("not poisoned");
            let engines = cluster.at_work.get(&id);
            engines.is_some_and(|engines| engines.contains(&self.address))
        };
        if !works() {
            return response("404 Not Found", b"");
        }
        if body["last"] != true {
            std::thread::sleep(COPY_TIME);
            return response("200 OK", b"{}");
        }
        let stop = (self.address, id.clone());
        self.cluster
            .lock()
            .expect("not poisoned")
            .stopping
            .insert(stop.clone());
        while works() {
            std::thread::sleep(Duration::from_millis(2));
        }
        let mut cluster = self.cluster.lock().expect("not poisoned");
        cluster.stopping.remove(&stop);
        let sent = cluster.sent.get(&id).copied().unwrap_or(0);
        let handle = format!("h-{id}");
        cluster.handles.insert((self.address, handle.clone()), sent);
        let no_room = self.no_room.load(Ordering::Relaxed);
        let status = if no_room { "503 No Room" } else { "200 OK" };
        let body = json!({ "handle": handle, "created": sent });
        response(status, body.to_string().as_bytes())
    }

    /// Handles of stopped runs that nobody has used.
    pub fn handles(&self) -> usize {
        self.cluster.lock().expect("not poisoned").handles.len()
    }

    /// Waits until no other engine works at the run.
    fn begin(&self, id: &str) {
        let limit = Instant::now() + STOP_LIMIT;
        loop {
            let mut cluster = self.cluster.lock().expect("not poisoned");
            let engines = cluster.at_work.entry(id.to_owned()).or_default();
            let alone = engines.is_empty();
            if alone || Instant::now() > limit {
                engines.push(self.address);
                if !alone {
                    cluster.doubled.push(id.to_owned());
                }
                return;
            }
            drop(cluster);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Sends the events; returns false if it died or its client closed the connection.
    fn stream(&self, request: &Request, id: &str, first: u64, stream: &mut TcpStream) -> bool {
        if self.stops(0, stream) || stream.write_all(stream_head(request).as_bytes()).is_err() {
            return false;
        }
        if let Ok(target) = request.header("x-kv-backup").parse() {
            self.copy(target, id, first - 1);
        }
        for event in first..=EVENTS {
            let step = Duration::from_millis(self.step_ms.load(Ordering::Relaxed));
            std::thread::sleep(step);
            if self.stops(event, stream) || self.is_moving(id) {
                return false;
            }
            let text = chunk(&format!("id: {event}\ndata: e{event}\n\n"));
            if stream.write_all(text.as_bytes()).is_err() {
                return false;
            }
            self.cluster
                .lock()
                .expect("not poisoned")
                .sent
                .insert(id.to_owned(), event);
            if let Ok(target) = request.header("x-kv-backup").parse() {
                self.copy(target, id, event);
            }
        }
        true
    }

    fn copy(&self, target: SocketAddr, id: &str, events: u64) {
        if !self.full.load(Ordering::Relaxed) {
            let events = events.saturating_sub(self.lag.load(Ordering::Relaxed));
            let mut cluster = self.cluster.lock().expect("not poisoned");
            cluster.copies.insert((target, id.to_owned()), events);
        }
    }

    fn is_moving(&self, id: &str) -> bool {
        let cluster = self.cluster.lock().expect("not poisoned");
        cluster.stopping.contains(&(self.address, id.to_owned()))
    }

    fn pin(&self, request: &Request) {
        let last = request.header("x-prompt-prefix").rsplit(',').next();
        let name = last
            .and_then(|part| part.split(':').next())
            .unwrap_or_default();
        if let Ok(ms) = request.header("x-pin-ms").parse() {
            let until = Instant::now() + Duration::from_millis(ms);
            self.pins
                .lock()
                .expect("not poisoned")
                .insert(name.to_owned(), until);
        }
    }

    /// Prompts that it keeps at present.
    pub fn pinned(&self) -> Vec<String> {
        let mut pins = self.pins.lock().expect("not poisoned");
        pins.retain(|_, until| *until > Instant::now());
        pins.keys().cloned().collect()
    }

    /// Whether the run ends before this event.
    fn stops(&self, event: u64, stream: &TcpStream) -> bool {
        let reached = |at: &AtomicU64| {
            let at = at.load(Ordering::Relaxed);
            at > 0 && event >= at
        };
        if reached(&self.dies_at) {
            self.dead.store(true, Ordering::Relaxed);
        }
        if reached(&self.freezes_at) {
            self.frozen.store(true, Ordering::Relaxed);
        }
        loop {
            if self.dead.load(Ordering::Relaxed) || is_closed(stream) {
                return true;
            }
            if !self.frozen.load(Ordering::Relaxed) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    /// Values of a header in all requests so far.
    pub fn header_values(&self, name: &str) -> Vec<String> {
        let requests = self.requests.lock().expect("not poisoned");
        requests
            .iter()
            .map(|request| request.header(name).to_owned())
            .collect()
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the mode is set");
    let peeked = stream.peek(&mut [0; 1]);
    stream.set_nonblocking(false).expect("the mode is set");
    match peeked {
        Ok(size) => size == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Publishes one stream route `/a/` of engines with these fields, which are registered as `s0` and on.
pub fn configure(store: &Store, version: u64, route: &Value, engine: &Value) {
    let merge = |mut object: Value, more: &Value| {
        let fields = more.as_object().expect("an object").clone();
        object.as_object_mut().expect("an object").extend(fields);
        object
    };
    let base = json!({
        "name": "a", "host": "site.example", "pathPrefix": "/a/", "kind": "stream",
        "timeoutMs": 6000, "priority": 0, "service": "pool", "attempts": 2,
        "canResume": false, "retainS": 60.0,
    });
    let slots = json!({ "slots": 4, "kvCapTokens": 10_000, "chunkTokens": 10 });
    let config = json!({
        "version": version,
        "routes": [merge(base, route)],
        "services": [{
            "name": "pool", "healthPath": "/healthz", "maxConns": 100,
            "engine": merge(slots, engine),
        }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "idleTimeoutMs": 15000 },
    });
    store.put("keyed.op", "config", Some(&config));
}
