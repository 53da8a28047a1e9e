//! One VM: its sockets, its duties and their order of stopping.

use crate::acceptor::NoDelay;
use crate::code::{Code, Failure};
use crate::config::{self, Book, Snapshot};
use crate::entry::{self, Router};
use crate::id::{self, Boot, Millicores, Offset};
use crate::journal::{self, Pace, Share};
use crate::member::{self, Beat, View};
use crate::operator::{self, Operator};
use crate::order;
use crate::owner;
use crate::peer::{self, Links};
use crate::platform::LogClient;
use crate::settings::{Listen, Settings};
use crate::supervisor::Supervisor;
use crate::telemetry::{Metrics, event};
use crate::{dispatch, standin};
use poem::{EndpointExt, IntoEndpoint, Server};
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Lists of VMs that may wait.
const LISTS: usize = 2;
/// Places in the ring between two duties.
const RING: usize = 4096;
/// How long a stopping VM goes on accepting, so that the balancer sees that it is not ready.
const UNREADY: Duration = Duration::from_secs(1);

/// The bound sockets of a VM.
#[derive(Debug)]
pub(crate) struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
    operators: TcpListener,
}

impl Sockets {
    /// Binds every address, or none.
    pub(crate) fn bind(listen: &Listen) -> Result<Self, Failure> {
        let tcp = |path: &str, address| {
            standin::bind(address)
                .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
                .map_err(|error| unbound(path, &error))
        };
        let gossip = UdpSocket::bind(listen.peers)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
            .map_err(|error| unbound("listen.peers", &error))?;
        Ok(Self {
            callers: tcp("listen.callers", listen.callers)?,
            peers: tcp("listen.peers", listen.peers)?,
            gossip,
            operators: tcp("listen.operators", listen.operators)?,
        })
    }
}

fn unbound(path: &str, error: &std::io::Error) -> Failure {
    Failure::refused(
        Code::BadSettings,
        format!("at `{path}`: can't listen: {error}"),
    )
}

#[derive(Debug, Clone)]
struct Members(watch::Receiver<Arc<View>>);

impl Share for Members {
    fn members(&self) -> usize {
        self.0.borrow().members.len()
    }
}

/// The order in which the duties stop.
#[derive(Debug, Clone)]
struct Stages {
    /// The VM says that it is not ready, whatever else changes.
    unready: CancellationToken,
    /// No new connections of callers; those in flight are finished.
    entry: CancellationToken,
    /// Cancelled once the last caller has its answer.
    entry_over: CancellationToken,
    /// Shards are handed over.
    owner: CancellationToken,
    /// Cancelled once no shard is left.
    owner_over: CancellationToken,
    /// Everything else.
    rest: CancellationToken,
}

/// Serves as one VM until `stop`, then stops without cutting what is in flight.
pub(crate) fn run(settings: &Settings, sockets: Sockets, stop: &CancellationToken) {
    let stages = Stages {
        unready: CancellationToken::new(),
        entry: CancellationToken::new(),
        entry_over: CancellationToken::new(),
        owner: CancellationToken::new(),
        owner_over: CancellationToken::new(),
        rest: CancellationToken::new(),
    };
    let local = Arc::new(watch::channel(first_beat(settings)).0);
    let mut supervisor = Supervisor::new(stop.clone());
    start(&mut supervisor, settings, sockets, &local, &stages);
    event!(info, "vm_started", vm = settings.vm, zone = settings.zone);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system gives a runtime");
    runtime.block_on(async {
        stop.cancelled().await;
        event!(info, "vm_stopping", vm = settings.vm);
        stages.unready.cancel();
        local.send_modify(|beat| beat.ready = false);
        let bound = Duration::from_millis(settings.stop_ms);
        tokio::time::sleep(UNREADY.min(bound)).await;
        stages.entry.cancel();
        let _ = timeout(bound, stages.entry_over.cancelled()).await;
        stages.owner.cancel();
        let _ = timeout(bound, stages.owner_over.cancelled()).await;
        stages.rest.cancel();
    });
    drop(runtime);
    supervisor.join();
    event!(info, "vm_stopped", vm = settings.vm);
}

/// What a VM says of its processor time: these settings do not tell it, and all count as alike.
const ONE_CORE: Millicores = Millicores(1000);

fn first_beat(settings: &Settings) -> Beat {
    Beat {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        boot: Boot(0),
        address: settings.listen.peers,
        cores: ONE_CORE,
        ready: false,
        applied: Offset(0),
        held: Vec::new(),
    }
}

/// What the duties share: the sending ends of their rings, and what they watch.
#[derive(Clone)]
struct Wiring {
    settings: Settings,
    metrics: Metrics,
    log: LogClient,
    links: Links,
    local: Arc<watch::Sender<Beat>>,
    config: watch::Receiver<Arc<Snapshot>>,
    view: watch::Receiver<Arc<View>>,
    books: watch::Receiver<Arc<Book>>,
    owner: flume::Sender<owner::Ask>,
    dispatch: flume::Sender<dispatch::Command>,
    stages: Stages,
}

fn start(
    supervisor: &mut Supervisor,
    settings: &Settings,
    sockets: Sockets,
    local: &Arc<watch::Sender<Beat>>,
    stages: &Stages,
) {
    let (config, config_seen) = watch::channel(Arc::new(Snapshot::default()));
    let (books, books_seen) = watch::channel(Arc::new(Book::default()));
    let (view, view_seen) = watch::channel(Arc::new(View::default()));
    let (owner, asks) = flume::bounded(RING);
    let (dumps, owner_dumps) = flume::bounded(RING);
    let (dispatch, dispatched) = flume::bounded(RING);
    let (journal, journaled) = flume::bounded(RING);
    let (leaving, left) = flume::bounded(RING);
    let (events, owner_events) = flume::bounded(RING);
    let wiring = Wiring {
        settings: settings.clone(),
        metrics: Metrics::new(),
        log: LogClient::new(&settings.log),
        links: Links::new(&settings.peer_key),
        local: local.clone(),
        config: config_seen,
        view: view_seen,
        books: books_seen,
        owner,
        dispatch,
        stages: stages.clone(),
    };
    wiring.config(supervisor, config, books);
    wiring.member(supervisor, sockets.gossip, view, left);
    wiring.journal(supervisor, journaled, events);
    wiring.dispatch(supervisor, dispatched, leaving);
    wiring.order(supervisor);
    wiring.owner(supervisor, journal, asks, owner_events, owner_dumps);
    wiring.peer(supervisor, sockets.peers);
    wiring.entry(supervisor, sockets.callers);
    wiring.operator(supervisor, sockets.operators, dumps);
}

impl Wiring {
    fn config(
        &self,
        supervisor: &mut Supervisor,
        snapshots: watch::Sender<Arc<Snapshot>>,
        books: watch::Sender<Arc<Book>>,
    ) {
        let context = config::Context {
            me: self.settings.vm.clone(),
            log: self.log.clone(),
            links: self.links.clone(),
            view: self.view.clone(),
            has_peers: self
                .settings
                .seeds
                .iter()
                .any(|seed| *seed != self.settings.listen.peers),
            retention: Duration::from_millis(self.settings.log_retention_ms),
            snapshots,
            books,
            stop: self.stages.rest.clone(),
        };
        supervisor.duty("config", move || config::run(context.clone()));
    }

    fn member(
        &self,
        supervisor: &mut Supervisor,
        socket: UdpSocket,
        published: watch::Sender<Arc<View>>,
        leaving: flume::Receiver<id::Server>,
    ) {
        let wiring = self.clone();
        supervisor.duty("member", move || {
            let settings = wiring.settings.clone();
            let (lists, listed) = flume::bounded(LISTS);
            let follow = member::follow(settings.vms, lists);
            let work = member::run(member::Setup {
                introduction: watch::channel(None).0,
                socket: socket.try_clone().expect("the system gives a handle"),
                key: settings.peer_key,
                seeds: settings.seeds,
                listed,
                local: wiring.local.subscribe(),
                published: published.clone(),
                leaving: leaving.clone(),
                stop: wiring.stages.rest.clone(),
            });
            async move {
                tokio::select! { () = follow => {}, () = work => {} }
            }
        });
    }

    fn journal(
        &self,
        supervisor: &mut Supervisor,
        commands: flume::Receiver<journal::Command>,
        events: flume::Sender<journal::Event>,
    ) {
        let pace = Pace {
            appends_per_second: self.settings.appends_per_second,
            streams: usize::try_from(self.settings.journal_streams).expect("checked to be small"),
            share: Members(self.view.clone()),
        };
        let wiring = self.clone();
        supervisor.duty("journal", move || {
            let (log, metrics) = (wiring.log.clone(), wiring.metrics.clone());
            let work = journal::run(log, commands.clone(), events.clone(), pace.clone(), metrics);
            let rest = wiring.stages.rest.clone();
            async move {
                tokio::select! { () = work => {}, () = rest.cancelled() => {} }
            }
        });
    }

    fn dispatch(
        &self,
        supervisor: &mut Supervisor,
        commands: flume::Receiver<dispatch::Command>,
        leaving: flume::Sender<id::Server>,
    ) {
        let context = dispatch::Context {
            commands,
            config: self.config.clone(),
            view: self.view.clone(),
            draining: leaving,
            stop: self.stages.rest.clone(),
        };
        supervisor.duty("dispatch", move || dispatch::run(context.clone()));
    }

    fn order(&self, supervisor: &mut Supervisor) {
        let context = order::Context {
            shards: self.settings.shards,
            config: self.config.clone(),
            local: self.local.subscribe(),
            stop: self.stages.rest.clone(),
        };
        supervisor.duty("order", move || order::run(context.clone()));
    }

    fn owner(
        &self,
        supervisor: &mut Supervisor,
        journal: flume::Sender<journal::Command>,
        asks: flume::Receiver<owner::Ask>,
        events: flume::Receiver<journal::Event>,
        dumps: flume::Receiver<oneshot::Sender<serde_json::Value>>,
    ) {
        let settings = &self.settings;
        let context = owner::Context {
            me: settings.vm.clone(),
            zone: settings.zone.clone(),
            shards: settings.shards,
            streams: settings.journal_streams,
            max_programs: settings.max_programs,
            checkpoint_entries: settings.checkpoint_entries,
            config: self.config.clone(),
            view: self.view.clone(),
            local: self.local.clone(),
            journal,
            dispatch: dispatch::Client {
                vm: settings.vm.clone(),
                dispatcher: self.dispatch.clone(),
                view: self.view.clone(),
                connections: self.links.clone(),
            },
            metrics: self.metrics.clone(),
            leave: self.stages.owner.clone(),
        };
        let stages = self.stages.clone();
        supervisor.duty("owner", move || {
            let work = owner::run(context.clone(), asks.clone(), events.clone(), dumps.clone());
            let stages = stages.clone();
            async move {
                tokio::select! { () = work => {}, () = stages.rest.cancelled() => {} }
                stages.owner_over.cancel();
            }
        });
    }

    fn peer(&self, supervisor: &mut Supervisor, listener: TcpListener) {
        let service = peer::Service {
            key: self.settings.peer_key.clone(),
            owner: self.owner.clone(),
            dispatch: self.dispatch.clone(),
            books: self.books.clone(),
        };
        let rest = self.stages.rest.clone();
        supervisor.duty("peer", move || {
            let listener = listener.try_clone().expect("the system gives a handle");
            peer::serve(listener, service.clone(), rest.clone())
        });
    }

    fn entry(&self, supervisor: &mut Supervisor, listener: TcpListener) {
        let entry = entry::Context {
            router: Router {
                vm: self.settings.vm.clone(),
                shards: self.settings.shards,
                view: self.view.clone(),
                local_owner: self.owner.clone(),
                connections: self.links.clone(),
            },
            config: self.config.clone(),
            metrics: self.metrics.clone(),
            max_body_bytes: self.settings.max_body_bytes,
        };
        let stages = self.stages.clone();
        let bound = Duration::from_millis(self.settings.stop_ms);
        supervisor.duty("entry", move || {
            let listener = listener.try_clone().expect("the system gives a handle");
            let (routes, stages) = (entry::routes(entry.clone()), stages.clone());
            async move {
                http(listener, routes, stages.entry, bound).await;
                stages.entry_over.cancel();
            }
        });
    }

    fn operator(
        &self,
        supervisor: &mut Supervisor,
        listener: TcpListener,
        dumps: flume::Sender<oneshot::Sender<serde_json::Value>>,
    ) {
        let operator = Operator {
            local: self.local.subscribe(),
            view: self.view.clone(),
            config: self.config.clone(),
            dispatch: self.dispatch.clone(),
            owner: dumps,
            metrics: self.metrics.clone(),
        };
        let wiring = self.clone();
        supervisor.duty("operator", move || {
            let listener = listener.try_clone().expect("the system gives a handle");
            let routes = operator::routes(operator.clone());
            let (config, local) = (wiring.config.clone(), wiring.local.clone());
            tokio::task::spawn_local(readiness(config, local, wiring.stages.unready.clone()));
            http(
                listener,
                routes,
                wiring.stages.rest.clone(),
                Duration::from_secs(1),
            )
        });
    }
}

/// Keeps what this VM says of itself in step with the configuration it has applied.
async fn readiness(
    mut config: watch::Receiver<Arc<Snapshot>>,
    local: Arc<watch::Sender<Beat>>,
    stopping: CancellationToken,
) {
    loop {
        let snapshot = config.borrow_and_update().clone();
        // Judged under the lock: a configuration that comes while the VM begins to stop must not
        // make it ready again, or the balancer sends it callers until it is gone.
        local.send_modify(|beat| {
            beat.applied = snapshot.applied;
            beat.ready = snapshot.admits() && !stopping.is_cancelled();
        });
        tokio::select! {
            changed = config.changed() => if changed.is_err() { return },
            () = stopping.cancelled() => return,
        }
    }
}

async fn http(
    listener: TcpListener,
    routes: impl IntoEndpoint<Endpoint: 'static>,
    stop: CancellationToken,
    bound: Duration,
) {
    let acceptor = match NoDelay::new(listener) {
        Ok(acceptor) => acceptor,
        Err(error) => {
            event!(error, "listen_failed", reason = error);
            return;
        }
    };
    let endpoint = routes.into_endpoint().map_to_response();
    let served = Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, async move { stop.cancelled().await }, Some(bound))
        .await;
    if let Err(error) = served {
        event!(error, "serve_failed", reason = error);
    }
}
