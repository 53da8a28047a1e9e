//! Runs one VM: binds its sockets, starts its duties and stops them in order.

use crate::code::{Code, Failure};
use crate::config::{self, Snapshot, State};
use crate::entry::{self, Router};
use crate::id::{self, Boot, Millicores, Offset};
use crate::intake::Intake;
use crate::journal::{self, MemberCount, Rate};
use crate::listener::{close_overdue, serve_http};
use crate::member::{self, Announcement, View};
use crate::operator::{self, HandlerContext};
use crate::order;
use crate::owner;
use crate::peer::{self, Connections};
use crate::platform::LogClient;
use crate::policy::room::Port;
use crate::settings::{Listen, Settings};
use crate::supervisor::Supervisor;
use crate::telemetry::{Metrics, event};
use crate::{dispatch, standin};
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const VM_LIST_QUEUE_CAPACITY: usize = 2;
/// Capacity of a queue between two duties.
const QUEUE_CAPACITY: usize = 4096;
/// A stopping VM still accepts connections for this long, until the load balancer has noticed that
/// it is not ready.
const NOT_READY_PERIOD: Duration = Duration::from_secs(1);

/// Bound sockets of a VM.
#[derive(Debug)]
pub(crate) struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    gossip: UdpSocket,
    operators: TcpListener,
}

impl Sockets {
    /// Binds all listen addresses.
    pub(crate) fn bind(listen: &Listen) -> Result<Self, Failure> {
        let tcp = |path: &str, address| {
            standin::bind(address)
                .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
                .map_err(|error| bind_error(path, &error))
        };
        let gossip = UdpSocket::bind(listen.peers)
            .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
            .map_err(|error| bind_error("listen.peers", &error))?;
        Ok(Self {
            callers: tcp("listen.callers", listen.callers)?,
            peers: tcp("listen.peers", listen.peers)?,
            gossip,
            operators: tcp("listen.operators", listen.operators)?,
        })
    }
}

fn bind_error(path: &str, error: &std::io::Error) -> Failure {
    Failure::refused(
        Code::BadSettings,
        format!("at `{path}`: can't bind the address: {error}"),
    )
}

#[derive(Debug, Clone)]
struct MemberCounter(watch::Receiver<Arc<View>>);

impl MemberCount for MemberCounter {
    fn members(&self) -> usize {
        self.0.borrow().members.len()
    }
}

/// Stages of a graceful shutdown, in order.
#[derive(Debug, Clone)]
struct Stages {
    /// The VM reports that it is not ready.
    not_ready: CancellationToken,
    /// The caller API accepts no new connections and finishes in-flight requests.
    entry: CancellationToken,
    /// Cancelled when all in-flight requests are finished.
    entry_done: CancellationToken,
    /// The VM hands its shards over.
    owner: CancellationToken,
    /// Cancelled when the VM owns no shards.
    owner_done: CancellationToken,
    /// All other duties stop.
    rest: CancellationToken,
}

/// Runs one VM until `stop` is cancelled, then shuts down gracefully.
pub(crate) fn run(settings: &Settings, sockets: Sockets, stop: &CancellationToken) {
    let stages = Stages {
        not_ready: CancellationToken::new(),
        entry: CancellationToken::new(),
        entry_done: CancellationToken::new(),
        owner: CancellationToken::new(),
        owner_done: CancellationToken::new(),
        rest: CancellationToken::new(),
    };
    let local = Arc::new(watch::channel(initial_announcement(settings)).0);
    let mut supervisor = Supervisor::new(stop.clone());
    start(&mut supervisor, settings, sockets, &local, &stages);
    event!(info, "vm_started", vm = settings.vm, zone = settings.zone);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be created");
    runtime.block_on(async {
        stop.cancelled().await;
        event!(info, "vm_stopping", vm = settings.vm);
        stages.not_ready.cancel();
        local.send_modify(|announcement| announcement.ready = false);
        let stop_timeout = Duration::from_millis(settings.stop_ms);
        tokio::time::sleep(NOT_READY_PERIOD.min(stop_timeout)).await;
        stages.entry.cancel();
        let _ = timeout(stop_timeout, stages.entry_done.cancelled()).await;
        stages.owner.cancel();
        let _ = timeout(stop_timeout, stages.owner_done.cancelled()).await;
        stages.rest.cancel();
    });
    drop(runtime);
    supervisor.join();
    event!(info, "vm_stopped", vm = settings.vm);
}

/// CPU time announced to the members. These settings don't specify it, so all VMs count as equal.
const ONE_CORE: Millicores = Millicores(1000);

fn initial_announcement(settings: &Settings) -> Announcement {
    Announcement {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        boot: Boot(0),
        address: settings.listen.peers,
        cores: ONE_CORE,
        ready: false,
        applied: Offset(0),
        owned: Vec::new(),
    }
}

/// Handles shared by the duties: queue senders, watch receivers and clients.
#[derive(Clone)]
struct Handles {
    settings: Settings,
    metrics: Metrics,
    /// What is held for callers and operators.
    intake: Intake,
    log: LogClient,
    links: Connections,
    /// What this VM announces about itself to the members.
    local: Arc<watch::Sender<Announcement>>,
    config: watch::Receiver<Arc<Snapshot>>,
    view: watch::Receiver<Arc<View>>,
    states: watch::Receiver<Arc<State>>,
    owner: flume::Sender<owner::Envelope>,
    dispatch: flume::Sender<dispatch::Command>,
    stages: Stages,
}

fn start(
    supervisor: &mut Supervisor,
    settings: &Settings,
    sockets: Sockets,
    local: &Arc<watch::Sender<Announcement>>,
    stages: &Stages,
) {
    let (config, config_receiver) = watch::channel(Arc::new(Snapshot::default()));
    let (config_states, config_states_receiver) = watch::channel(Arc::new(State::default()));
    let (view, view_receiver) = watch::channel(Arc::new(View::default()));
    let (owner, owner_requests) = flume::bounded(QUEUE_CAPACITY);
    let (state_requests, owner_state_requests) = flume::bounded(QUEUE_CAPACITY);
    let (dispatch, dispatch_commands) = flume::bounded(QUEUE_CAPACITY);
    let (journal, journal_commands) = flume::bounded(QUEUE_CAPACITY);
    let (draining, draining_receiver) = flume::bounded(QUEUE_CAPACITY);
    let (journal_events, owner_events) = flume::bounded(QUEUE_CAPACITY);
    let intake = Intake::of_machine(settings.memory_mb, settings.max_descriptors);
    let handles = Handles {
        settings: settings.clone(),
        metrics: Metrics::new(&intake),
        intake,
        log: LogClient::new(&settings.log),
        links: Connections::new(&settings.peer_key),
        local: local.clone(),
        config: config_receiver,
        view: view_receiver,
        states: config_states_receiver,
        owner,
        dispatch,
        stages: stages.clone(),
    };
    handles.config(supervisor, config, config_states);
    handles.member(supervisor, sockets.gossip, view, draining_receiver);
    handles.journal(supervisor, journal_commands, journal_events);
    handles.dispatch(supervisor, dispatch_commands, draining);
    handles.order(supervisor);
    handles.owner(
        supervisor,
        journal,
        owner_requests,
        owner_events,
        owner_state_requests,
    );
    handles.peer(supervisor, sockets.peers);
    handles.entry(supervisor, sockets.callers);
    handles.operator(supervisor, sockets.operators, state_requests);
}

impl Handles {
    fn config(
        &self,
        supervisor: &mut Supervisor,
        snapshots: watch::Sender<Arc<Snapshot>>,
        states: watch::Sender<Arc<State>>,
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
            states,
            stop: self.stages.rest.clone(),
        };
        supervisor.spawn("config", move || config::run(context.clone()));
    }

    fn member(
        &self,
        supervisor: &mut Supervisor,
        socket: UdpSocket,
        published: watch::Sender<Arc<View>>,
        leaving: flume::Receiver<id::Server>,
    ) {
        let handles = self.clone();
        supervisor.spawn("member", move || {
            let settings = handles.settings.clone();
            let (lists, vm_lists) = flume::bounded(VM_LIST_QUEUE_CAPACITY);
            let poll_vm_list = member::poll_vm_list(settings.vms, lists);
            let run = member::run(member::Setup {
                introduction: watch::channel(None).0,
                socket: socket.try_clone().expect("the socket can be duplicated"),
                key: settings.peer_key,
                seeds: settings.seeds,
                vm_lists,
                local: handles.local.subscribe(),
                view: published.clone(),
                draining: leaving.clone(),
                stop: handles.stages.rest.clone(),
            });
            async move {
                tokio::select! { () = poll_vm_list => {}, () = run => {} }
            }
        });
    }

    fn journal(
        &self,
        supervisor: &mut Supervisor,
        commands: flume::Receiver<journal::Command>,
        events: flume::Sender<journal::Event>,
    ) {
        let pace = Rate {
            appends_per_second: self.settings.appends_per_second,
            streams: usize::try_from(self.settings.journal_streams).expect("checked to be small"),
            members: MemberCounter(self.view.clone()),
        };
        let handles = self.clone();
        supervisor.spawn("journal", move || {
            let (log, metrics) = (handles.log.clone(), handles.metrics.clone());
            let run = journal::run(log, commands.clone(), events.clone(), pace.clone(), metrics);
            let rest = handles.stages.rest.clone();
            async move {
                tokio::select! { () = run => {}, () = rest.cancelled() => {} }
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
        supervisor.spawn("dispatch", move || dispatch::run(context.clone()));
    }

    fn order(&self, supervisor: &mut Supervisor) {
        let context = order::Context {
            shards: self.settings.shards,
            config: self.config.clone(),
            local: self.local.subscribe(),
            stop: self.stages.rest.clone(),
        };
        supervisor.spawn("order", move || order::run(context.clone()));
    }

    fn owner(
        &self,
        supervisor: &mut Supervisor,
        journal: flume::Sender<journal::Command>,
        requests: flume::Receiver<owner::Envelope>,
        events: flume::Receiver<journal::Event>,
        state_requests: flume::Receiver<oneshot::Sender<serde_json::Value>>,
    ) {
        let settings = &self.settings;
        let context = owner::Context {
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            shards: settings.shards,
            streams: settings.journal_streams,
            max_programs: settings.max_programs,
            checkpoint_entries: settings.checkpoint_entries,
            config: self.config.clone(),
            view: self.view.clone(),
            announcement: self.local.clone(),
            journal,
            dispatch: dispatch::Client {
                vm: settings.vm.clone(),
                dispatcher: self.dispatch.clone(),
                view: self.view.clone(),
                connections: self.links.clone(),
            },
            metrics: self.metrics.clone(),
            leaving: self.stages.owner.clone(),
        };
        let stages = self.stages.clone();
        supervisor.spawn("owner", move || {
            let run = owner::run(
                context.clone(),
                requests.clone(),
                events.clone(),
                state_requests.clone(),
            );
            let stages = stages.clone();
            async move {
                tokio::select! { () = run => {}, () = stages.rest.cancelled() => {} }
                stages.owner_done.cancel();
            }
        });
    }

    fn peer(&self, supervisor: &mut Supervisor, listener: TcpListener) {
        let service = peer::Service {
            key: self.settings.peer_key.clone(),
            owner: self.owner.clone(),
            dispatch: self.dispatch.clone(),
            config: self.states.clone(),
        };
        let (rest, intake) = (self.stages.rest.clone(), self.intake.clone());
        supervisor.spawn("peer", move || {
            let listener = listener.try_clone().expect("the socket can be duplicated");
            peer::serve(listener, service.clone(), intake.clone(), rest.clone())
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
            intake: self.intake.clone(),
        };
        let stages = self.stages.clone();
        let stop_timeout = Duration::from_millis(self.settings.stop_ms);
        supervisor.spawn("entry", move || {
            let listener = listener.try_clone().expect("the socket can be duplicated");
            let (routes, stages) = (entry::routes(entry.clone()), stages.clone());
            let intake = entry.intake.clone();
            async move {
                let closing = close_overdue(intake.clone());
                let port = Port::Callers;
                let serving =
                    serve_http(listener, routes, intake, port, stages.entry, stop_timeout);
                tokio::select! { () = serving => {}, () = closing => {} }
                stages.entry_done.cancel();
            }
        });
    }

    fn operator(
        &self,
        supervisor: &mut Supervisor,
        listener: TcpListener,
        state_requests: flume::Sender<oneshot::Sender<serde_json::Value>>,
    ) {
        let context = HandlerContext {
            local: self.local.subscribe(),
            view: self.view.clone(),
            config: self.config.clone(),
            dispatch: self.dispatch.clone(),
            owner: state_requests,
            metrics: self.metrics.clone(),
        };
        let handles = self.clone();
        supervisor.spawn("operator", move || {
            let listener = listener.try_clone().expect("the socket can be duplicated");
            let routes = operator::routes(context.clone());
            let (config, local) = (handles.config.clone(), handles.local.clone());
            tokio::task::spawn_local(update_readiness(
                config,
                local,
                handles.stages.not_ready.clone(),
            ));
            serve_http(
                listener,
                routes,
                handles.intake.clone(),
                Port::Operators,
                handles.stages.rest.clone(),
                Duration::from_secs(1),
            )
        });
    }
}

/// Updates the applied offset and the readiness of this VM when its configuration changes.
async fn update_readiness(
    mut config: watch::Receiver<Arc<Snapshot>>,
    local: Arc<watch::Sender<Announcement>>,
    stopping: CancellationToken,
) {
    loop {
        let snapshot = config.borrow_and_update().clone();
        // Checks `stopping` under the lock, so that a configuration change during the shutdown
        // can't make the VM ready again.
        local.send_modify(|announcement| {
            announcement.applied = snapshot.applied;
            announcement.ready = snapshot.allows_admission() && !stopping.is_cancelled();
        });
        tokio::select! {
            changed = config.changed() => if changed.is_err() { return },
            () = stopping.cancelled() => return,
        }
    }
}
