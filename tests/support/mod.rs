//! Test environment: the built binary as separate processes on loopback.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod process;
pub mod stream;

pub use process::Process;

use process::{serve, standin};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const POLL_TIMEOUT: Duration = Duration::from_mins(1);

/// One VM: its process and its addresses.
pub struct Vm {
    pub process: Process,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
}

/// The platform, the backend servers and the VMs of one test.
pub struct Environment {
    dir: TempDir,
    http: reqwest::blocking::Client,
    pub log: Process,
    pub engines: Vec<Process>,
    pub service: Process,
    list: Option<Process>,
    pub vms: Vec<Vm>,
}

/// Listen addresses of a VM.
struct Listen {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

impl Listen {
    fn free() -> Self {
        Self {
            callers: free_address(),
            peers: free_address(),
            operators: free_address(),
        }
    }
}

/// An address that no other process listens on.
///
/// Each test process uses a loopback address of its own and ports below the ephemeral range, so that
/// neither another test nor an outgoing connection can take the port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(10_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high, middle, low.max(1));
    SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::Relaxed)))
}

impl Environment {
    /// Starts the stand-ins, publishes the configuration, and starts VMs until they are ready.
    pub fn start(engines: usize, vms: usize) -> Self {
        let mut environment = Self::platform(engines);
        environment.configure();
        environment.start_vms(vms);
        environment
    }

    /// Starts the stand-ins only.
    pub fn platform(engines: usize) -> Self {
        let dir = tempfile::tempdir().expect("a temporary folder");
        let log = standin(&dir, "log", 0);
        let service = standin(&dir, "service", 0);
        let engines = (0..engines)
            .map(|index| standin(&dir, "engine", index))
            .collect();
        let http = reqwest::blocking::Client::builder()
            .timeout(POLL_TIMEOUT)
            .pool_max_idle_per_host(0)
            .build()
            .expect("a client");
        Self {
            dir,
            http,
            log,
            engines,
            service,
            list: None,
            vms: Vec::new(),
        }
    }

    /// Publishes two classes, a pool of the engines and a service.
    pub fn configure(&self) {
        let engines: Vec<Value> = self
            .engines
            .iter()
            .enumerate()
            .map(
                |(index, engine)| json!({ "name": format!("e{index}"), "address": engine.address }),
            )
            .collect();
        self.publish("class/quick", json!({ "target_ms": 5000 }), None);
        self.publish("class/rework", json!({ "target_ms": 9000 }), None);
        self.publish(
            "pool/main",
            json!({ "model": "small", "engines": engines }),
            None,
        );
        let operations = json!({
            "receipt": { "mode": "once" },
            "book": { "mode": "keyed" },
            "rates": { "mode": "repeatable" },
        });
        let servers = json!([{ "name": "s0", "address": self.service.address }]);
        self.publish(
            "service/filing",
            json!({ "servers": servers, "operations": operations }),
            None,
        );
    }

    /// Starts a stand-in for the VM list of the platform and returns its address.
    pub fn vm_list(&mut self) -> SocketAddr {
        let list = standin(&self.dir, "vms", 0);
        let address = list.address;
        self.list = Some(list);
        address
    }

    /// Publishes a configuration change and returns its offset.
    pub fn publish(&self, key: &str, value: Value, base: Option<u64>) -> u64 {
        let change = json!({ "schema": 1, "key": key, "base": base, "value": value, "by": "ama" });
        let url = format!("http://{}/streams/config", self.log.address);
        let reply = self
            .http
            .post(url)
            .body(change.to_string())
            .send()
            .expect("the log answers");
        let reply: Value = reply.json().expect("JSON");
        reply["offset"].as_u64().expect("an offset")
    }

    /// Starts VMs and waits until each is ready and every shard has an owner.
    pub fn start_vms(&mut self, count: usize) {
        let listen: Vec<Listen> = (0..count).map(|_| Listen::free()).collect();
        let seeds: Vec<SocketAddr> = listen.iter().map(|listen| listen.peers).collect();
        for listen in &listen {
            self.start_vm(listen, &seeds, &json!({}));
        }
        self.wait_owned();
    }

    /// Starts one more VM whose settings are overridden by `overrides`.
    pub fn add_vm(&mut self, overrides: &Value) {
        let seeds: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.peers).collect();
        self.start_vm(&Listen::free(), &seeds, overrides);
    }

    fn start_vm(&mut self, listen: &Listen, seeds: &[SocketAddr], other: &Value) {
        let Listen {
            callers,
            peers,
            operators,
        } = *listen;
        let index = self.vms.len();
        let mut settings = json!({
            "vm": format!("vm-{index}"),
            "zone": format!("zone-{}", index % 3),
            "listen": { "callers": callers, "peers": peers, "operators": operators },
            "seeds": seeds,
            "peer_key": "a key for tests only",
            "log": format!("http://{}", self.log.address),
        });
        if let (Some(all), Some(other)) = (settings.as_object_mut(), other.as_object().cloned()) {
            all.extend(other);
        }
        let path = self.dir.path().join(format!("vm-{index}.json"));
        std::fs::write(&path, settings.to_string()).expect("the folder is writable");
        let process = serve(&self.dir, &path, callers);
        self.vms.push(Vm {
            process,
            callers,
            peers,
            operators,
            settings: path,
        });
    }

    /// Starts a killed or stopped VM again with its settings.
    pub fn restart_vm(&mut self, index: usize) {
        let vm = &self.vms[index];
        let (settings, callers) = (vm.settings.clone(), vm.callers);
        self.vms[index].process = serve(&self.dir, &settings, callers);
    }

    /// Waits until every shard has an owner among the reachable VMs.
    pub fn wait_owned(&self) {
        poll("every shard has an owner", || {
            let owned_shards: usize = self.vms.iter().map(|vm| self.owned_shards(vm)).sum();
            (owned_shards >= 16).then_some(())
        });
    }

    /// Waits until a VM accepts new programs.
    pub fn wait_ready(&self, index: usize) {
        poll("the VM is ready", || {
            let status = self.try_status(self.vms[index].operators, "/readyz");
            (status == Some(200)).then_some(())
        });
    }

    fn owned_shards(&self, vm: &Vm) -> usize {
        let state = self.try_get(vm.operators, "/state");
        state
            .and_then(|(_, state)| Some(state["owner"]["shards"].as_object()?.len()))
            .unwrap_or(0)
    }

    /// Status and body of a GET request, or `None` without an answer.
    pub fn try_get(&self, address: SocketAddr, path: &str) -> Option<(u16, Value)> {
        let request = self.http.get(format!("http://{address}{path}"));
        let reply = request.timeout(Duration::from_secs(3)).send().ok()?;
        let status = reply.status().as_u16();
        Some((status, reply.json().unwrap_or(Value::Null)))
    }

    /// Status of a GET request, or `None` without an answer.
    pub fn try_status(&self, address: SocketAddr, path: &str) -> Option<u16> {
        self.try_get(address, path).map(|(status, _)| status)
    }

    /// The VM that owns a program.
    pub fn owner(&self, program: &str) -> usize {
        poll("the program has an owner", || {
            let owner = self.vms.iter().find_map(|vm| {
                let (_, view) = self.try_get(vm.callers, &format!("/v1/programs/{program}"))?;
                view["owner"].as_str().map(str::to_owned)
            })?;
            (0..self.vms.len()).find(|index| format!("vm-{index}") == owner)
        })
    }

    pub fn get(&self, address: SocketAddr, path: &str) -> (u16, Value) {
        let reply = self
            .http
            .get(format!("http://{address}{path}"))
            .send()
            .expect("the VM answers");
        let status = reply.status().as_u16();
        (status, reply.json().unwrap_or(Value::Null))
    }

    pub fn post(&self, address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
        self.try_post(address, path, body).expect("the VM answers")
    }

    pub fn try_post(&self, address: SocketAddr, path: &str, body: &Value) -> Option<(u16, Value)> {
        let url = format!("http://{address}{path}");
        let reply = self.http.post(url).body(body.to_string()).send().ok()?;
        let status = reply.status().as_u16();
        Some((status, reply.json().ok()?))
    }

    /// Posts to a stand-in, which requires a JSON content type.
    pub fn post_json(&self, address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
        let reply = self
            .http
            .post(format!("http://{address}{path}"))
            .json(body)
            .send();
        let reply = reply.expect("the stand-in answers");
        (reply.status().as_u16(), reply.json().unwrap_or(Value::Null))
    }

    /// Sets fault switches of a stand-in.
    pub fn faults(&self, address: SocketAddr, faults: &Value) {
        let url = format!("http://{address}/faults");
        let reply = self
            .http
            .post(url)
            .json(faults)
            .send()
            .expect("the stand-in answers");
        assert!(reply.status().is_success(), "{faults}");
    }

    /// Trims the entries of a stream before an offset.
    pub fn trim(&self, stream: &str, before: u64) {
        let body = json!({ "stream": stream, "before": before });
        let url = format!("http://{}/trim", self.log.address);
        let reply = self
            .http
            .post(url)
            .json(&body)
            .send()
            .expect("the log answers");
        assert!(reply.status().is_success(), "{reply:?}");
    }

    pub fn counters(&self, address: SocketAddr) -> Value {
        self.get(address, "/counters").1
    }

    /// Opens a program at a VM and returns its id.
    pub fn open(&self, vm: usize, class: &str, key: &str, tokens: u64) -> String {
        let body = json!({ "class": class, "key": key, "budget": { "tokens": tokens } });
        let (status, reply) = self.post(self.vms[vm].callers, "/v1/programs", &body);
        assert_eq!(status, 200, "{reply}");
        reply["program"].as_str().expect("an id").to_owned()
    }

    pub fn call(&self, vm: usize, program: &str, body: &Value) -> (u16, Value) {
        self.post(
            self.vms[vm].callers,
            &format!("/v1/programs/{program}/calls"),
            body,
        )
    }

    pub fn end(&self, vm: usize, program: &str) -> (u16, Value) {
        self.post(
            self.vms[vm].callers,
            &format!("/v1/programs/{program}/end"),
            &json!({}),
        )
    }

    /// Stage of the current run of a program at a VM.
    pub fn stage(&self, vm: usize, program: &str) -> Option<String> {
        let (_, state) = self.try_get(self.vms[vm].operators, "/state")?;
        let run = &state["owner"]["runs"][program];
        run["stage"].as_str().map(str::to_owned)
    }

    /// Waits until the run of a program is at `stage`.
    pub fn wait_stage(&self, vm: usize, program: &str, stage: &str) {
        poll(stage, || (self.stage(vm, program)? == stage).then_some(()));
    }

    /// Clears the faults of the log and of the service.
    pub fn clear_faults(&self) {
        let no_faults = json!({ "down": false, "slow_ms": 0, "frozen": false, "lose_replies": 0 });
        self.faults(self.log.address, &no_faults);
        self.faults(self.log.address, &json!({ "hold_reads": false }));
        self.faults(self.service.address, &no_faults);
        self.faults(self.service.address, &json!({ "reply_after_ms": 0 }));
    }

    /// Number of log entries that contain all of the texts.
    pub fn entries(&self, texts: &[&str]) -> u64 {
        let path = format!("/entries?holding={}", texts.join(","));
        self.get(self.log.address, &path).1.as_u64().unwrap_or(0)
    }

    /// Waits until the log has a record of this kind for the program.
    pub fn wait_record(&self, program: &str, kind: &str) {
        poll(kind, || (self.entries(&[program, kind]) > 0).then_some(()));
    }

    /// How often a call took effect at the service.
    pub fn effects(&self, program: &str, call: u64) -> u64 {
        let counters = self.counters(self.service.address);
        counters["effects"][format!("{program}/{call}")]
            .as_u64()
            .unwrap_or(0)
    }
}

/// The body of a model call.
pub fn model(call: u64, text: &str, max_tokens: u64) -> Value {
    let messages = json!([{ "role": "user", "content": text }]);
    json!({ "call": call, "model": { "messages": messages, "max_tokens": max_tokens } })
}

/// The body of a service call.
pub fn service(call: u64, operation: &str, body: &Value) -> Value {
    json!({ "call": call, "service": { "service": "filing", "operation": operation, "body": body } })
}

/// Polls until there is a value; panics after `POLL_TIMEOUT`.
pub fn poll<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + POLL_TIMEOUT;
    loop {
        if let Some(value) = attempt() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}
