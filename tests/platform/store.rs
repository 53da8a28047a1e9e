//! Fake of the store, with faults that tests can set.

use super::log::{Partitions, newest_records, serve};
use super::rate::Rate;
use super::{Request, listen, response, unused_address};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One endpoint of the fake store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    partitions: Arc<Partitions>,
    down: Arc<AtomicBool>,
    /// Prefix of the topics to which appends are refused.
    refused_prefix: Arc<Mutex<Option<String>>>,
    /// Number of appends that are accepted in spite of `refused_prefix`.
    passes: Arc<AtomicUsize>,
    /// Whether requests are accepted but never answered.
    silent: Arc<AtomicBool>,
    /// Delay of reads of the newest records.
    read_delay_ms: Arc<AtomicU64>,
    /// Delay of appends.
    append_delay_ms: Arc<AtomicU64>,
    /// Delay of all requests.
    latency_ms: Arc<AtomicU64>,
    /// Number of requests received by path and topic.
    request_counts: Arc<Mutex<HashMap<(String, String), usize>>>,
    /// Topic whose reads and appends are refused.
    unavailable_topic: Arc<Mutex<Option<String>>>,
    /// Partitions whose reads and appends are refused.
    unavailable_partitions: Arc<Mutex<HashSet<(String, u64)>>>,
    /// Bytes of all responses by topic.
    sent_bytes: Arc<Mutex<HashMap<String, u64>>>,
    /// Bytes a second that all reads of the newest records share in equal parts; 0 for no limit.
    read_bandwidth: Arc<AtomicU64>,
    /// Limit of the calls; those beyond it are rejected with 429.
    rate: Arc<Rate>,
}

/// Takes the time of a response that shares its bandwidth with `active` others.
fn pace(bytes: usize, bandwidth: &AtomicU64, active: &AtomicUsize) {
    const STEP: Duration = Duration::from_millis(5);
    active.fetch_add(1, Ordering::Relaxed);
    let mut left = bytes as f64;
    while left > 0.0 {
        let per_second = bandwidth.load(Ordering::Relaxed) as f64;
        if per_second <= 0.0 {
            break;
        }
        std::thread::sleep(STEP);
        left -= per_second * STEP.as_secs_f64() / active.load(Ordering::Relaxed) as f64;
    }
    active.fetch_sub(1, Ordering::Relaxed);
}

impl Store {
    pub fn start() -> Self {
        Self::listen_on(Arc::default())
    }

    /// Returns another endpoint of the same store. Faults are set for each endpoint.
    pub fn new_endpoint(&self) -> Self {
        Self::listen_on(Arc::clone(&self.partitions))
    }

    /// Starts an endpoint that serves these partitions.
    fn listen_on(partitions: Arc<Partitions>) -> Self {
        let down = Arc::new(AtomicBool::new(false));
        let refused_prefix: Arc<Mutex<Option<String>>> = Arc::default();
        let (served, is_down) = (Arc::clone(&partitions), Arc::clone(&down));
        let refused_topics = Arc::clone(&refused_prefix);
        let silent = Arc::new(AtomicBool::new(false));
        let is_silent = Arc::clone(&silent);
        let passes = Arc::new(AtomicUsize::new(0));
        let remaining_passes = Arc::clone(&passes);
        let read_delay_ms = Arc::new(AtomicU64::new(0));
        let read_delay = Arc::clone(&read_delay_ms);
        let append_delay_ms = Arc::new(AtomicU64::new(0));
        let append_delay = Arc::clone(&append_delay_ms);
        let latency_ms = Arc::new(AtomicU64::new(0));
        let latency = Arc::clone(&latency_ms);
        let request_counts: Arc<Mutex<HashMap<(String, String), usize>>> = Arc::default();
        let counts = Arc::clone(&request_counts);
        let sent_bytes: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
        let byte_counts = Arc::clone(&sent_bytes);
        let unavailable_topic: Arc<Mutex<Option<String>>> = Arc::default();
        let read_bandwidth = Arc::new(AtomicU64::new(0));
        let (bandwidth, active_reads) = (Arc::clone(&read_bandwidth), AtomicUsize::new(0));
        let rate: Arc<Rate> = Arc::default();
        let call_rate = Arc::clone(&rate);
        let unavailable = Arc::clone(&unavailable_topic);
        let unavailable_partitions: Arc<Mutex<HashSet<(String, u64)>>> = Arc::default();
        let lost_partitions = Arc::clone(&unavailable_partitions);
        let local_address = listen(SocketAddr::new(unused_address(), 0), move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            while let Some(request) = Request::read(&mut reader) {
                let topic = refused_topics.lock().expect("not poisoned").clone();
                let appends = request.target.starts_with("/log-append");
                std::thread::sleep(Duration::from_millis(latency.load(Ordering::Relaxed)));
                let topic_name = request.query("topic").unwrap_or_default();
                let path = request.target.split('?').next().unwrap_or_default();
                let mut path_counts = counts.lock().expect("not poisoned");
                let key = (path.to_owned(), topic_name.to_owned());
                *path_counts.entry(key).or_default() += 1;
                drop(path_counts);
                let is_refused = appends
                    && topic.is_some_and(|refused_prefix| topic_name.starts_with(&refused_prefix));
                if request.target.starts_with("/log-newest") {
                    std::thread::sleep(Duration::from_millis(read_delay.load(Ordering::Relaxed)));
                }
                if appends {
                    std::thread::sleep(Duration::from_millis(append_delay.load(Ordering::Relaxed)));
                }
                let decrement = |remaining: usize| remaining.checked_sub(1);
                let passes = is_refused
                    && remaining_passes
                        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                        .is_ok();
                let is_unavailable =
                    unavailable.lock().expect("not poisoned").as_deref() == Some(topic_name);
                let partition = (topic_name.to_owned(), request.query_number("part"));
                let is_lost = lost_partitions
                    .lock()
                    .expect("not poisoned")
                    .contains(&partition);
                let is_refused = is_refused && !passes || is_unavailable || is_lost;
                if is_silent.load(Ordering::Relaxed) {
                    // Keeps the connection open for a while, then closes it without an answer.
                    std::thread::sleep(Duration::from_secs(5));
                    return;
                }
                let reply = if is_down.load(Ordering::Relaxed) || is_refused {
                    response("503 Service Unavailable", b"{}")
                } else if !call_rate.allows(appends) {
                    response("429 Too Many Requests", b"{}")
                } else {
                    serve(&served, &request)
                };
                if request.target.starts_with("/log-newest") {
                    pace(reply.len(), &bandwidth, &active_reads);
                }
                let mut byte_counts = byte_counts.lock().expect("not poisoned");
                *byte_counts.entry(topic_name.to_owned()).or_default() += reply.len() as u64;
                drop(byte_counts);
                if stream.write_all(&reply).is_err() {
                    return;
                }
            }
        });
        Self {
            address: local_address,
            partitions,
            down,
            refused_prefix,
            passes,
            silent,
            read_delay_ms,
            append_delay_ms,
            latency_ms,
            request_counts,
            unavailable_topic,
            unavailable_partitions,
            sent_bytes,
            read_bandwidth,
            rate,
        }
    }

    /// Rejects appends beyond this many a second; `None` accepts all.
    pub fn set_append_rate(&self, per_second: Option<f64>) {
        self.rate.set(per_second);
    }

    /// Rejects all requests as too many.
    pub fn reject_all(&self, rejects: bool) {
        self.rate.reject_all(rejects);
    }

    /// Limits the bandwidth that all reads of the newest records share, in bytes a second; 0 for no limit.
    pub fn set_read_bandwidth(&self, bytes_per_second: u64) {
        self.read_bandwidth
            .store(bytes_per_second, Ordering::Relaxed);
    }

    /// Refuses reads and appends of these partitions, given by topic and number, and serves all others.
    pub fn set_unavailable_partitions(&self, partitions: &[(&str, u64)]) {
        let partitions = partitions.iter();
        let partitions = partitions.map(|(topic, part)| ((*topic).to_owned(), *part));
        *self.unavailable_partitions.lock().expect("not poisoned") = partitions.collect();
    }

    /// Refuses reads and appends of this topic; `None` serves all.
    pub fn set_unavailable_topic(&self, topic: Option<&str>) {
        *self.unavailable_topic.lock().expect("not poisoned") = topic.map(ToOwned::to_owned);
    }

    /// Bytes of all responses for a topic from this endpoint.
    pub fn bytes_sent(&self, topic: &str) -> u64 {
        let sent_bytes = self.sent_bytes.lock().expect("not poisoned");
        sent_bytes.get(topic).copied().unwrap_or(0)
    }

    /// Accepts requests but never answers them.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Refuses appends to topics whose names start with this prefix; `None` accepts all.
    pub fn refuse_appends(&self, topic: Option<&str>) {
        *self.refused_prefix.lock().expect("not poisoned") = topic.map(ToOwned::to_owned);
    }

    /// Delays reads of the newest records.
    pub fn set_read_delay(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).expect("a short time");
        self.read_delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Delays all requests.
    pub fn set_latency(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).expect("a short time");
        self.latency_ms.store(millis, Ordering::Relaxed);
    }

    /// Number of requests received for a path, and for topics whose names start with this prefix.
    pub fn request_count(&self, path: &str, topics: &str) -> usize {
        let counts = self.request_counts.lock().expect("not poisoned");
        let counts = counts.iter();
        let matching = counts.filter(|((at, topic), _)| at == path && topic.starts_with(topics));
        matching.map(|(_, count)| count).sum()
    }

    /// Lets the records of a key expire: there is no tombstone, but reads of the newest records leave the key out.
    pub fn expire(&self, topic: &str, key: &str) {
        let mut partitions = self.partitions.lock().expect("not poisoned");
        let partition = partitions.entry((topic.to_owned(), 0)).or_default();
        partition.expired.insert(key.to_owned());
    }

    /// Delays appends.
    pub fn set_append_delay(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).expect("a short time");
        self.append_delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Accepts this number of appends in spite of [`Store::refuse_appends`].
    pub fn allow_appends(&self, calls: usize) {
        self.passes.store(calls, Ordering::Relaxed);
    }

    /// Returns the same store with the address of a proxy in front of it.
    pub fn via_proxy(&self, proxy: SocketAddr) -> Self {
        Self {
            address: proxy,
            ..self.clone()
        }
    }

    /// Refuses all requests with 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Appends a record of a key; `None` writes a tombstone.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map(ToString::to_string).unwrap_or_default();
        let size = u8::try_from(key.len()).expect("a short key");
        let mut record = vec![size];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut partitions = self.partitions.lock().expect("not poisoned");
        let partition = partitions.entry((topic.to_owned(), 0)).or_default();
        partition.records.push(record);
        partition.expired.remove(key);
    }

    /// Appends a record of a key to a partition.
    pub fn put_record(&self, topic: &str, part: u64, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut partitions = self.partitions.lock().expect("not poisoned");
        let partition = partitions.entry((topic.to_owned(), part)).or_default();
        partition.records.push(record);
    }

    /// Newest values of a topic by key.
    pub fn values(&self, topic: &str) -> BTreeMap<String, String> {
        let partitions = self.partitions.lock().expect("not poisoned");
        let parts = partitions.iter().filter(|((name, _), _)| name == topic);
        let newest = parts.flat_map(|(_, partition)| newest_records(&partition.records));
        newest
            .map(|(key, (value, _))| (key, String::from_utf8_lossy(&value).into_owned()))
            .collect()
    }

    /// Newest values of all topics whose names start with this prefix.
    pub fn newest_values(&self, topics: &str) -> Vec<Vec<u8>> {
        let partitions = self.partitions.lock().expect("not poisoned");
        let parts = partitions
            .iter()
            .filter(|((name, _), _)| name.starts_with(topics));
        let newest = parts.flat_map(|(_, partition)| newest_records(&partition.records));
        newest.map(|(_, (value, _))| value).collect()
    }

    /// Publishes a configuration. Each route is a prefix, a kind and further fields.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, Value)]) {
        self.configure_teams(version, routes, None);
    }

    /// Publishes a configuration with teams; requests then need an API key.
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
        self.register_version(id, service, address, state, "v1");
    }

    /// Registers a backend server with a version of its software.
    pub fn register_version(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        state: &str,
        version: &str,
    ) {
        let entry = json!({
            "service": service, "addr": address.to_string(), "zone": "z", "slots": 4,
            "version": version, "state": state, "coldLeftMs": 0, "seq": 1,
        });
        self.put("keyed.servers", id, Some(&entry));
    }
}
