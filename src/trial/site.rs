//! The stand-ins and the three VMs of a trial, on threads of this process.

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

/// VMs, one for each availability zone.
const VMS: usize = 3;
/// Model engines.
const ENGINES: usize = 3;
/// Shards that the programs are spread over.
const SHARDS: usize = 16;
/// How long everything may take to come up.
const START: Duration = Duration::from_secs(30);
/// Time between looks at what is coming up.
const LOOK: Duration = Duration::from_millis(50);
/// How long a stand-in or an operator's address may take to answer.
const ANSWER: Duration = Duration::from_secs(5);

/// Everything that a trial runs against.
#[derive(Debug)]
pub(super) struct Site {
    standins: Runtime,
    threads: Vec<JoinHandle<()>>,
    stop: CancellationToken,
    http: reqwest::Client,
    pub(super) log: SocketAddr,
    pub(super) engines: Vec<SocketAddr>,
    pub(super) service: SocketAddr,
    vms: Vec<Settings>,
}

impl Site {
    /// Starts the stand-ins and the VMs.
    pub(super) fn start() -> io::Result<Self> {
        let standins = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let stop = CancellationToken::new();
        let log = standin(&standins, Kind::Log)?;
        let service = standin(&standins, Kind::Service)?;
        let engines = (0..ENGINES)
            .map(|_| standin(&standins, Kind::Engine))
            .collect::<io::Result<_>>()?;
        let vms = settings(log)?;
        let threads = vms
            .iter()
            .map(|settings| vm(settings, &stop))
            .collect::<io::Result<_>>()?;
        Ok(Self {
            standins,
            threads,
            stop,
            http: reqwest::Client::new(),
            log,
            engines,
            service,
            vms,
        })
    }

    /// Publishes the configuration, then waits until every VM is ready and every shard is owned.
    pub(super) async fn ready(&self) -> Result<(), Failure> {
        for (key, value) in configuration(&self.engines, self.service) {
            self.publish(&key, value).await?;
        }
        let until = Instant::now() + START;
        while !self.is_ready().await {
            if Instant::now() > until {
                let message = "the VMs do not become ready";
                return Err(Failure::refused(Code::Internal, message));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let mut owned = 0;
        for vm in &self.vms {
            let Ok(state) = self.get(vm.listen.operators, "/state").await else {
                return false;
            };
            if state["local"]["ready"] != true {
                return false;
            }
            owned += state["owner"]["shards"]
                .as_object()
                .map_or(0, serde_json::Map::len);
        }
        owned >= SHARDS
    }

    async fn publish(&self, key: &str, value: Value) -> Result<(), Failure> {
        let change = json!({ "schema": 1, "key": key, "value": value, "by": "trial" });
        let url = format!("http://{}/streams/config", self.log);
        let request = self.http.post(url).body(change.to_string()).timeout(ANSWER);
        let reply = request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        reply.map(|_| ()).map_err(|error| silent(&error))
    }

    /// A JSON page of a stand-in or a VM.
    pub(super) async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Failure> {
        let request = self
            .http
            .get(format!("http://{address}{path}"))
            .timeout(ANSWER);
        let reply = request.send().await.map_err(|error| silent(&error))?;
        reply.json().await.map_err(|error| silent(&error))
    }

    /// Posts to a stand-in and reads its whole reply.
    pub(super) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<(), Failure> {
        let request = self.http.post(format!("http://{address}{path}"));
        let request = request.header("idempotency-key", key).json(body);
        let reply = request.timeout(ANSWER).send().await;
        let reply = reply.and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| silent(&error))?;
        reply.bytes().await.map_err(|error| silent(&error))?;
        Ok(())
    }

    /// Appends to the journal so far, as the log stand-in counts them.
    pub(super) async fn journal_appends(&self) -> Result<u64, Failure> {
        let counters = self.get(self.log, "/counters").await?;
        let streams = counters["appends_by_stream"].as_object();
        let journals = streams
            .into_iter()
            .flatten()
            .filter(|(name, _)| name.starts_with("journal"));
        Ok(journals.filter_map(|(_, appends)| appends.as_u64()).sum())
    }

    /// Where the VMs take callers.
    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.listen.callers).collect()
    }

    /// Stops the VMs, then the stand-ins.
    pub(super) fn stop(self) {
        self.stop.cancel();
        for thread in self.threads {
            if thread.join().is_err() {
                eprintln!("vanillatrail: a VM of the trial panicked");
            }
        }
        self.standins.shutdown_background();
    }
}

fn silent(error: &reqwest::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

fn standin(runtime: &Runtime, kind: Kind) -> io::Result<SocketAddr> {
    let listener = standin::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    runtime.spawn(standin::serve(kind, listener, CancellationToken::new()));
    Ok(address)
}

fn vm(settings: &Settings, stop: &CancellationToken) -> io::Result<JoinHandle<()>> {
    let sockets =
        Sockets::bind(&settings.listen).map_err(|failure| io::Error::other(failure.message))?;
    let (settings, stop) = (settings.clone(), stop.clone());
    std::thread::Builder::new()
        .name(settings.vm.to_string())
        .spawn(move || serve::run(&settings, sockets, &stop))
}

/// Settings of the VMs, on ports that were free a moment ago.
fn settings(log: SocketAddr) -> io::Result<Vec<Settings>> {
    // All are held at once, so that no port is given twice.
    let held = (0..VMS * 3)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<io::Result<Vec<_>>>()?;
    let addresses = held
        .iter()
        .map(TcpListener::local_addr)
        .collect::<io::Result<Vec<_>>>()?;
    let seeds: Vec<_> = addresses.chunks(3).map(|listen| listen[1]).collect();
    let peer_key = format!("{:032x}", rand::random::<u128>());
    let each = addresses.chunks(3).enumerate().map(|(index, listen)| {
        let text = json!({
            "vm": format!("vm-{index}"),
            "zone": zone(index),
            "listen": { "callers": listen[0], "peers": listen[1], "operators": listen[2] },
            "seeds": seeds,
            "peer_key": peer_key,
            "log": format!("http://{log}"),
            "shards": SHARDS,
            "stop_ms": 3000,
        });
        Settings::parse(&text.to_string())
    });
    each.collect::<Result<_, _>>()
        .map_err(|failure| io::Error::other(failure.message))
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % VMS)
}

fn configuration(engines: &[SocketAddr], service: SocketAddr) -> Vec<(String, Value)> {
    let classes = super::plan::Kind::ALL.into_iter().map(|kind| {
        let target = u64::try_from(kind.target().as_millis()).unwrap_or(u64::MAX);
        let value = json!({ "target_ms": target, "waiting": kind.waits() });
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
    let mut all: Vec<_> = classes.collect();
    all.push(("pool/main".to_owned(), pool));
    all.push(("service/desk".to_owned(), service));
    all
}
