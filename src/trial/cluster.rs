//! The stand-ins and VMs of a trial, run on threads of this process.

use crate::code::{Code, Failure};
use crate::serve::{self, Sockets};
use crate::settings::Settings;
use crate::standin::{self, Kind};
use serde_json::{Value, json};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Number of VMs; each is in an availability zone of its own.
const VM_COUNT: usize = 3;
/// Number of model engines.
const ENGINE_COUNT: usize = 3;
const SHARD_COUNT: usize = 16;
/// Limit on the time until every VM is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request to a stand-in or to an operators' address.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The running stand-ins and VMs.
#[derive(Debug)]
pub(super) struct Cluster {
    standin_runtime: Runtime,
    vm_threads: Vec<JoinHandle<()>>,
    stop: CancellationToken,
    http: reqwest::Client,
    pub(super) log: SocketAddr,
    pub(super) engines: Vec<SocketAddr>,
    pub(super) service: SocketAddr,
    vm_settings: Vec<Settings>,
}

impl Cluster {
    pub(super) fn start() -> io::Result<Self> {
        let standin_runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let stop = CancellationToken::new();
        let log = spawn_standin(&standin_runtime, Kind::Log)?;
        let service = spawn_standin(&standin_runtime, Kind::Service)?;
        let engines = (0..ENGINE_COUNT)
            .map(|_| spawn_standin(&standin_runtime, Kind::Engine))
            .collect::<io::Result<_>>()?;
        let vm_settings = settings(log)?;
        let vm_threads = vm_settings
            .iter()
            .map(|settings| spawn_vm(settings, &stop))
            .collect::<io::Result<_>>()?;
        Ok(Self {
            standin_runtime,
            vm_threads,
            stop,
            http: reqwest::Client::new(),
            log,
            engines,
            service,
            vm_settings,
        })
    }

    /// Publishes the configuration and waits until every VM is ready and every shard has an owner.
    pub(super) async fn wait_until_ready(&self) -> Result<(), Failure> {
        for (key, value) in configuration(&self.engines, self.service) {
            self.publish(&key, value).await?;
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() > deadline {
                let message = "the VMs did not become ready in time";
                return Err(Failure::refused(Code::Internal, message));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let mut owned_shards = 0;
        for vm in &self.vm_settings {
            let Ok(state) = self.get(vm.listen.operators, "/state").await else {
                return false;
            };
            if state["local"]["ready"] != true {
                return false;
            }
            owned_shards += state["owner"]["shards"]
                .as_object()
                .map_or(0, serde_json::Map::len);
        }
        owned_shards >= SHARD_COUNT
    }

    async fn publish(&self, key: &str, value: Value) -> Result<(), Failure> {
        let change = json!({ "schema": 1, "key": key, "value": value, "by": "trial" });
        let url = format!("http://{}/streams/config", self.log);
        let request = self
            .http
            .post(url)
            .body(change.to_string())
            .timeout(REQUEST_TIMEOUT);
        let reply = request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        reply.map(|_| ()).map_err(|error| request_error(&error))
    }

    /// Reads a JSON document from a stand-in or a VM.
    pub(super) async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Failure> {
        let request = self
            .http
            .get(format!("http://{address}{path}"))
            .timeout(REQUEST_TIMEOUT);
        let reply = request
            .send()
            .await
            .map_err(|error| request_error(&error))?;
        reply.json().await.map_err(|error| request_error(&error))
    }

    /// Sends a request to a stand-in and reads the reply to its end.
    pub(super) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<(), Failure> {
        let request = self.http.post(format!("http://{address}{path}"));
        let request = request.header("idempotency-key", key).json(body);
        let reply = request.timeout(REQUEST_TIMEOUT).send().await;
        let reply = reply.and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| request_error(&error))?;
        reply.bytes().await.map_err(|error| request_error(&error))?;
        Ok(())
    }

    /// Number of appends to the journal streams, as counted by the log stand-in.
    pub(super) async fn journal_appends(&self) -> Result<u64, Failure> {
        let counters = self.get(self.log, "/counters").await?;
        let streams = counters["appends_by_stream"].as_object();
        let journals = streams
            .into_iter()
            .flatten()
            .filter(|(name, _)| name.starts_with("journal"));
        Ok(journals.filter_map(|(_, appends)| appends.as_u64()).sum())
    }

    /// Addresses at which the VMs accept callers.
    pub(super) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.vm_settings
            .iter()
            .map(|vm| vm.listen.callers)
            .collect()
    }

    /// Stops the VMs, then the stand-ins that they depend on.
    pub(super) fn stop(self) {
        self.stop.cancel();
        for thread in self.vm_threads {
            if thread.join().is_err() {
                eprintln!("vanillatrail: a VM of the trial panicked");
            }
        }
        self.standin_runtime.shutdown_background();
    }
}

fn request_error(error: &reqwest::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

fn spawn_standin(runtime: &Runtime, kind: Kind) -> io::Result<SocketAddr> {
    let listener = standin::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    runtime.spawn(standin::serve(kind, listener, CancellationToken::new()));
    Ok(address)
}

fn spawn_vm(settings: &Settings, stop: &CancellationToken) -> io::Result<JoinHandle<()>> {
    let sockets =
        Sockets::bind(&settings.listen).map_err(|failure| io::Error::other(failure.message))?;
    let (settings, stop) = (settings.clone(), stop.clone());
    std::thread::Builder::new()
        .name(settings.vm.to_string())
        .spawn(move || serve::run(&settings, sockets, &stop))
}

/// Settings of the VMs, with free ports.
fn settings(log: SocketAddr) -> io::Result<Vec<Settings>> {
    // All listeners stay open until every port is known, so that no port is assigned twice.
    let listeners = (0..VM_COUNT * 3)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<io::Result<Vec<_>>>()?;
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<io::Result<Vec<_>>>()?;
    let seeds: Vec<_> = addresses.chunks(3).map(|listen| listen[1]).collect();
    let peer_key = format!("{:032x}", rand::random::<u128>());
    let vm_settings = addresses.chunks(3).enumerate().map(|(index, listen)| {
        let text = json!({
            "vm": format!("vm-{index}"),
            "zone": zone(index),
            "listen": { "callers": listen[0], "peers": listen[1], "operators": listen[2] },
            "seeds": seeds,
            "peer_key": peer_key,
            "log": format!("http://{log}"),
            "shards": SHARD_COUNT,
            "stop_ms": 3000,
        });
        Settings::parse(&text.to_string())
    });
    vm_settings
        .collect::<Result<_, _>>()
        .map_err(|failure| io::Error::other(failure.message))
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % VM_COUNT)
}

fn configuration(engines: &[SocketAddr], service: SocketAddr) -> Vec<(String, Value)> {
    let classes = super::plan::Kind::ALL.into_iter().map(|kind| {
        let target = u64::try_from(kind.target().as_millis()).unwrap_or(u64::MAX);
        let value = json!({ "target_ms": target, "waiting": kind.has_waiting_caller() });
        (format!("class/{kind}"), value)
    });
    let engines = engines.iter().enumerate().map(|(index, address)| {
        json!({ "name": format!("engine-{index}"), "address": address, "zone": zone(index) })
    });
    let pool = json!({ "model": "small", "engines": engines.collect::<Vec<_>>() });
    let service = json!({
        "servers": [{ "name": "desk-0", "address": service, "zone": zone(0) }],
        "operations": {
            "rates": { "mode": "repeatable" },
            "book": { "mode": "keyed" },
            "receipt": { "mode": "once" },
            "confirm": { "mode": "once" },
        },
    });
    let mut entries: Vec<_> = classes.collect();
    entries.push(("pool/main".to_owned(), pool));
    entries.push(("service/desk".to_owned(), service));
    entries
}
