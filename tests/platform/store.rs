//! A fake of the platform's store.

use super::{Request, address, answer, listen};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    writers: HashMap<String, (u64, u64)>,
}

/// A fake of the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    partitions: Arc<Mutex<HashMap<(String, u64), Partition>>>,
    down: Arc<AtomicBool>,
    /// How the names of topics begin of which no partition takes records.
    stuck: Arc<Mutex<Option<String>>>,
    /// How many more records of those topics it takes all the same.
    passes: Arc<AtomicUsize>,
    /// Whether it answers nothing.
    silent: Arc<AtomicBool>,
    /// Milliseconds that it takes to give the newest records of a partition.
    read_ms: Arc<AtomicU64>,
    /// Milliseconds that it takes to add records.
    append_ms: Arc<AtomicU64>,
    /// A topic that can't be read.
    unread: Arc<Mutex<Option<String>>>,
    /// Bytes that it has given, by topic.
    given: Arc<Mutex<HashMap<String, u64>>>,
}

impl Store {
    pub fn start() -> Self {
        Self::over(Arc::default())
    }

    /// Another address of the same store, whose faults are its own.
    pub fn door(&self) -> Self {
        Self::over(Arc::clone(&self.partitions))
    }

    fn over(partitions: Arc<Mutex<HashMap<(String, u64), Partition>>>) -> Self {
        let down = Arc::new(AtomicBool::new(false));
        let stuck: Arc<Mutex<Option<String>>> = Arc::default();
        let (served, off) = (Arc::clone(&partitions), Arc::clone(&down));
        let refused = Arc::clone(&stuck);
        let silent = Arc::new(AtomicBool::new(false));
        let mute = Arc::clone(&silent);
        let passes = Arc::new(AtomicUsize::new(0));
        let left = Arc::clone(&passes);
        let read_ms = Arc::new(AtomicU64::new(0));
        let pause = Arc::clone(&read_ms);
        let append_ms = Arc::new(AtomicU64::new(0));
        let hold_back = Arc::clone(&append_ms);
        let given: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
        let counted = Arc::clone(&given);
        let unread: Arc<Mutex<Option<String>>> = Arc::default();
        let hidden = Arc::clone(&unread);
        let bound = listen(SocketAddr::new(address(), 0), move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            while let Some(request) = Request::read(&mut reader) {
                let topic = refused.lock().expect("not poisoned").clone();
                let appends = request.target.starts_with("/log-append");
                let named = request.query("topic").unwrap_or_default();
                let is_stuck = appends && topic.is_some_and(|stuck| named.starts_with(&stuck));
                if request.target.starts_with("/log-newest") {
                    std::thread::sleep(Duration::from_millis(pause.load(Ordering::Relaxed)));
                }
                if appends {
                    std::thread::sleep(Duration::from_millis(hold_back.load(Ordering::Relaxed)));
                }
                let one_less = |left: usize| left.checked_sub(1);
                let passes = is_stuck
                    && left
                        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, one_less)
                        .is_ok();
                let is_hidden = hidden.lock().expect("not poisoned").as_deref() == Some(named);
                let is_stuck = is_stuck && !passes || is_hidden;
                if mute.load(Ordering::Relaxed) {
                    // Nothing is done, and the connection says nothing any more.
                    std::thread::sleep(Duration::from_secs(5));
                    return;
                }
                let reply = if off.load(Ordering::Relaxed) || is_stuck {
                    answer("503 Service Unavailable", b"{}")
                } else {
                    serve(&served, &request)
                };
                let mut counted = counted.lock().expect("not poisoned");
                *counted.entry(named.to_owned()).or_default() += reply.len() as u64;
                drop(counted);
                if stream.write_all(&reply).is_err() {
                    return;
                }
            }
        });
        Self {
            address: bound,
            partitions,
            down,
            stuck,
            passes,
            silent,
            read_ms,
            append_ms,
            unread,
            given,
        }
    }

    /// The topic that can't be read or written, if there is one.
    pub fn set_unread(&self, topic: Option<&str>) {
        *self.unread.lock().expect("not poisoned") = topic.map(ToOwned::to_owned);
    }

    /// Bytes that it has given of a topic, by this address.
    pub fn given(&self, topic: &str) -> u64 {
        let given = self.given.lock().expect("not poisoned");
        given.get(topic).copied().unwrap_or(0)
    }

    /// Whether it takes calls and answers none.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// How the names of the topics begin that take no records, if there are some.
    pub fn set_stuck(&self, topic: Option<&str>) {
        *self.stuck.lock().expect("not poisoned") = topic.map(ToOwned::to_owned);
    }

    /// How long it takes to give the newest records of a partition.
    pub fn set_read_time(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).expect("a short time");
        self.read_ms.store(millis, Ordering::Relaxed);
    }

    /// How long it takes to add records.
    pub fn set_append_time(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).expect("a short time");
        self.append_ms.store(millis, Ordering::Relaxed);
    }

    /// Takes so many more calls of the topics that take none.
    pub fn pass(&self, calls: usize) {
        self.passes.store(calls, Ordering::Relaxed);
    }

    /// The same store behind a proxy.
    pub fn behind(&self, proxy: SocketAddr) -> Self {
        Self {
            address: proxy,
            ..self.clone()
        }
    }

    /// Whether it refuses every call.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Writes the newest record of a key; no value drops it.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map(ToString::to_string).unwrap_or_default();
        let size = u8::try_from(key.len()).expect("a short key");
        let mut record = vec![size];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut partitions = self.partitions.lock().expect("not poisoned");
        let partition = partitions.entry((topic.to_owned(), 0)).or_default();
        partition.records.push(record);
    }

    /// The newest values of our own topics, by key.
    pub fn values(&self, topic: &str) -> BTreeMap<String, String> {
        let partitions = self.partitions.lock().expect("not poisoned");
        let parts = partitions.iter().filter(|((name, _), _)| name == topic);
        let newest = parts.flat_map(|(_, partition)| newest(&partition.records));
        newest
            .map(|(key, (value, _))| (key, String::from_utf8_lossy(&value).into_owned()))
            .collect()
    }

    /// Publishes a configuration with one route for each of `routes`: prefix, kind and more fields.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, Value)]) {
        self.configure_teams(version, routes, None);
    }

    /// The same with teams, whose keys requests then need.
    pub fn configure_teams(
        &self,
        version: u64,
        routes: &[(&str, &str, Value)],
        teams: Option<Value>,
    ) {
        let routes = routes.iter().map(|(prefix, kind, more)| {
            let mut route = json!({
                "name": format!("route{prefix}"), "host": "site.example", "pathPrefix": prefix,
                "kind": kind, "timeoutMs": 4000, "sloMs": 250, "priority": 0,
                "service": "pool", "attempts": 2, "canResume": true, "retainS": 60.0,
            });
            let fields = more.as_object().expect("an object").clone();
            route.as_object_mut().expect("an object").extend(fields);
            route
        });
        let mut config = json!({
            "version": version,
            "routes": routes.collect::<Vec<_>>(),
            "services": [{
                "name": "pool", "healthPath": "/healthz", "maxConns": 100,
                "engine": { "slots": 4, "kvCapTokens": 10_000, "chunkTokens": 10 },
            }, { "name": "other", "healthPath": "/healthz" }],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "idleTimeoutMs": 15000 },
        });
        if let Some(teams) = teams {
            config["tenants"] = teams;
        }
        self.put("keyed.op", "config", Some(&config));
    }

    /// Registers a backend server.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        let entry = json!({
            "service": service, "addr": address.to_string(), "zone": "z", "slots": 4,
            "version": "v1", "state": state, "coldLeftMs": 0, "seq": 1,
        });
        self.put("keyed.servers", id, Some(&entry));
    }
}

fn newest(records: &[Vec<u8>]) -> BTreeMap<String, (Vec<u8>, usize)> {
    let mut newest = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let size = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=size]).into_owned();
        let value = record[1 + size..].to_vec();
        if value.is_empty() {
            newest.remove(&key);
        } else {
            newest.insert(key, (value, offset));
        }
    }
    newest
}

fn serve(partitions: &Mutex<HashMap<(String, u64), Partition>>, request: &Request) -> Vec<u8> {
    let topic = request.query("topic").unwrap_or_default().to_owned();
    let key = (topic, request.number("part"));
    let path = request
        .target
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    match path.as_str() {
        "/log-append" => append(partitions, key, request),
        "/log-newest" => {
            let partitions = partitions.lock().expect("not poisoned");
            let records = partitions
                .get(&key)
                .map_or(&[][..], |partition| &partition.records);
            let items = newest(records).into_iter().map(|(key, (value, offset))| {
                let value =
                    base64::Engine::encode(&base64::engine::general_purpose::STANDARD, value);
                json!({ "key": key, "value": value, "offset": offset })
            });
            let items: Vec<_> = items.collect();
            let body = json!({ "items": items, "truncated": false, "end": records.len() });
            answer("200 OK", body.to_string().as_bytes())
        }
        "/log-read" => read(partitions, &key, request),
        _ => answer("404 Not Found", b"{}"),
    }
}

fn append(
    partitions: &Mutex<HashMap<(String, u64), Partition>>,
    key: (String, u64),
    request: &Request,
) -> Vec<u8> {
    let mut partitions = partitions.lock().expect("not poisoned");
    let partition = partitions.entry(key).or_default();
    let end = partition.records.len() as u64;
    if request.query("asOf").is_some() && request.number("asOf") != end {
        return answer("412 Precondition Failed", br#"{"end":0}"#);
    }
    if let Some(writer) = request.query("producer") {
        let (epoch, sequence) = (request.number("epoch"), request.number("seq"));
        let known = partition
            .writers
            .entry(writer.to_owned())
            .or_insert((epoch, sequence));
        if epoch < known.0 {
            return answer("409 Conflict", br#"{"why":"fenced"}"#);
        }
        if epoch > known.0 {
            *known = (epoch, sequence);
        } else if sequence < known.1 {
            return answer("200 OK", br#"{"offset":0,"end":0}"#);
        }
        if !request.body.is_empty() {
            known.1 = sequence + 1;
        }
    }
    let mut rest = &*request.body;
    while let Some((size, tail)) = rest.split_at_checked(4) {
        let size = u32::from_be_bytes(size.try_into().expect("four bytes")) as usize;
        partition.records.push(tail[..size].to_vec());
        rest = &tail[size..];
    }
    answer("200 OK", br#"{"offset":0,"end":0}"#)
}

fn read(
    partitions: &Mutex<HashMap<(String, u64), Partition>>,
    key: &(String, u64),
    request: &Request,
) -> Vec<u8> {
    let from = usize::try_from(request.number("from")).expect("small");
    let until = Instant::now() + Duration::from_millis(request.number("waitMs"));
    loop {
        {
            let partitions = partitions.lock().expect("not poisoned");
            let records = partitions
                .get(key)
                .map_or(&[][..], |partition| &partition.records);
            if records.len() > from || Instant::now() >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    let size = u32::try_from(record.len()).expect("small");
                    body.extend_from_slice(&size.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return answer("200 OK", &body);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
