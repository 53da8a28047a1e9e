//! Startup, readiness, reload and graceful shutdown of the gateway.

mod accept;
mod housekeeping;
pub(crate) mod listen;
pub(crate) mod metrics;
pub(crate) mod operators;
pub(crate) mod sample;
pub(crate) mod socket;

use crate::code::{Code, Failure};
use crate::gateway::conversation::Conversations;
use crate::gateway::limits::Limits;
use crate::gateway::peers::Peers;
use crate::gateway::queue::lease::Leases;
use crate::gateway::queue::permit::Queue;
use crate::gateway::queue::reports;
use crate::gateway::reachability::Members;
use crate::gateway::request::body::Body;
use crate::gateway::server::connection::Pool;
use crate::gateway::server::continuation::Copies;
use crate::gateway::server::end_records::{self, EndRecords};
use crate::gateway::server::ends::Ends;
use crate::gateway::server::moving::Moves;
use crate::gateway::server::pinning::Pins;
use crate::gateway::server::stream_records::StreamRecords;
use crate::gateway::server::stream_version::StreamVersions;
use crate::gateway::server::version_marks;
use crate::gateway::tokens::expiry;
use crate::gateway::tokens::handover::Reason;
use crate::gateway::tokens::partitions::Partitions;
use crate::gateway::world::contact::Discovery;
use crate::gateway::world::copy::Copier;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::Routing;
use crate::gateway::world::{feed, snapshot, sources};
use crate::gateway::{Gateway, conversation, peers};
use crate::id::{Boot, Offset};
use crate::intake::Intake;
use crate::member::{self, Announcement, Introduction, List, View};
use crate::platform::store::Store;
use crate::policy::room::Port;
use crate::policy::stop::Stop;
use crate::settings;
use crate::supervisor::Supervisor;
use crate::telemetry::event;
use bytes::Bytes;
use http::{Response, StatusCode};
use metrics::Metrics;
use sample::Sampler;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// Subtracted from the time limit of a planned stop, so that the process exits before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// The store counts as lost after this time without an answer: two reads of the directory, or one
/// and its retry.
const STORE_SILENCE_TIMEOUT: Duration = Duration::from_millis(1400);
/// Capacity of the queue of VM lists to the membership thread.
const VM_LIST_QUEUE_CAPACITY: usize = 2;

/// Runs the gateway until SIGTERM.
///
/// # Errors
/// [`Code::BadSettings`] if an address can't be bound.
pub(crate) fn run(path: &Path, settings: settings::Gateway) -> Result<(), Failure> {
    let (routing_sender, routing) = watch::channel(Routing::empty());
    let mut supervisor = Supervisor::new(CancellationToken::new());
    let (view_sender, view) = watch::channel(Arc::new(View::default()));
    let (peers_known_sender, peers_known) = watch::channel(false);
    let store = Store::new(settings.store.address);
    let sources = Sources {
        vm: settings.vm.clone(),
        store: store.separate(),
        port: settings.listen.operators.port(),
        seeds: settings.seeds.clone(),
        zone: settings.zone.clone(),
        view: view.clone(),
        bounds: settings.bounds,
        peers_known,
    };
    let (relay_socket, key) = (
        bind_udp(sources::relay_address(settings.listen.peers))?,
        settings.peer_key.clone(),
    );
    supervisor.spawn("feed", move || {
        let socket = relay_socket
            .try_clone()
            .expect("a socket can be duplicated");
        feed::run(sources.clone(), socket, key.clone(), routing_sender.clone())
    });
    let announcements = Arc::new(watch::channel(initial_announcement(&settings)).0);
    let (introduction_sender, introduction) = watch::channel(None);
    let vm_lists = start_membership(
        &mut supervisor,
        &settings,
        view_sender,
        introduction_sender,
        &announcements,
    )?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::refused(Code::Internal, error.to_string()))?;
    let channels = Channels {
        routing,
        view,
        announcements,
        vm_lists,
        introduction,
        peers_known_sender,
        store,
    };
    LocalSet::new().block_on(&runtime, serve(path, settings, channels))
}

/// Channels between the request thread and the other threads.
#[derive(Debug)]
struct Channels {
    routing: watch::Receiver<Routing>,
    view: watch::Receiver<Arc<View>>,
    announcements: Arc<watch::Sender<Announcement>>,
    vm_lists: flume::Sender<List>,
    introduction: watch::Receiver<Option<Introduction>>,
    peers_known_sender: watch::Sender<bool>,
    store: Store,
}

fn bind_udp(address: SocketAddr) -> Result<std::net::UdpSocket, Failure> {
    let bind_error = |error| Failure::refused(Code::BadSettings, format!("{address}: {error}"));
    let socket = std::net::UdpSocket::bind(address).map_err(bind_error)?;
    socket.set_nonblocking(true).map_err(bind_error)?;
    Ok(socket)
}

fn initial_announcement(settings: &settings::Gateway) -> Announcement {
    Announcement {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        boot: Boot(rand::random()),
        address: settings.listen.peers,
        cores: settings.millicores(),
        ready: false,
        applied: Offset(0),
        owned: Vec::new(),
    }
}

/// Starts the membership thread; returns the channel that takes the addresses of other VMs.
fn start_membership(
    supervisor: &mut Supervisor,
    settings: &settings::Gateway,
    view: watch::Sender<Arc<View>>,
    introduction: watch::Sender<Option<Introduction>>,
    announcements: &Arc<watch::Sender<Announcement>>,
) -> Result<flume::Sender<List>, Failure> {
    let address = settings.listen.peers;
    let socket = bind_udp(address)?;
    let (vm_list_sender, vm_lists) = flume::bounded(VM_LIST_QUEUE_CAPACITY);
    // Nothing is sent here: the gateway takes draining servers from the directory. The sender is kept,
    // since a closed channel is always ready to receive.
    let (draining_sender, draining) = flume::bounded(1);
    let (key, announcements) = (settings.peer_key.clone(), Arc::clone(announcements));
    let seeds = settings.seeds.iter();
    let seeds: Vec<_> = seeds
        .map(|seed| SocketAddr::new(seed.ip(), address.port()))
        .collect();
    supervisor.spawn("member", move || {
        let _keep_open = &draining_sender;
        member::run(member::Setup {
            socket: socket.try_clone().expect("a socket can be duplicated"),
            key: key.clone(),
            seeds: seeds.clone(),
            vm_lists: vm_lists.clone(),
            local: announcements.subscribe(),
            view: view.clone(),
            introduction: introduction.clone(),
            draining: draining.clone(),
            stop: CancellationToken::new(),
        })
    });
    Ok(vm_list_sender)
}

async fn serve(
    path: &Path,
    settings: settings::Gateway,
    channels: Channels,
) -> Result<(), Failure> {
    let callers = bind_tcp(settings.listen.callers).await?;
    let ready = bind_tcp(settings.listen.ready).await?;
    let operators = bind_tcp(settings.listen.operators).await?;
    let peer_address = peers::peer_address(settings.listen.peers);
    let socket = UdpSocket::bind(peer_address).await;
    let socket = socket
        .map_err(|error| Failure::refused(Code::BadSettings, format!("{peer_address}: {error}")))?;
    let vm_number = peers::vm_number(peer_address);
    let intake = Intake::of_machine(settings.memory_mb, settings.max_descriptors);
    let gateway = Rc::new(Gateway {
        view: channels.view,
        peers: Peers::new(socket, &settings.peer_key),
        partitions: Rc::new(Partitions::new(
            peer_address,
            channels.store.separate(),
            settings.store.partitions,
        )),
        conversations: Rc::new(Conversations::new(
            channels.store.separate(),
            settings.store.partitions,
            &settings.peer_key,
            intake.clone(),
        )),
        limit_state: Limits::default(),
        recent_members: Members::default(),
        zone: settings.zone.as_str().into(),
        connections: Pool::default(),
        copies: Copies::default(),
        pins: Pins::default(),
        moves: Moves::default(),
        ends: Ends::new(),
        end_records: EndRecords::new(&channels.store, &settings.store, vm_number),
        stream_versions: StreamVersions::default(),
        stream_records: Rc::new(StreamRecords::new(
            &channels.store,
            settings.store.partitions,
            vm_number,
        )),
        queue: Queue::default(),
        leases: Leases::default(),
        metrics: Metrics::new(&intake),
        intake,
        sampler: Sampler::new(),
        discovery: Rc::new(Discovery::new(&settings)),
        copier: Copier::default(),
        settings_path: path.to_owned(),
        stop_ms: Cell::new(settings.stop_ms),
        stop: watch::Sender::new(None),
        routing: channels.routing,
        settings,
    });
    event!(
        info,
        "started",
        vm = gateway.settings.vm,
        zone = gateway.settings.zone,
        version = env!("CARGO_PKG_VERSION")
    );
    let stop = CancellationToken::new();
    spawn_local(serve_readiness(Rc::clone(&gateway), ready));
    spawn_local(housekeeping::follow_routing(Rc::clone(&gateway)));
    spawn_local(housekeeping::run_maintenance(
        Rc::clone(&gateway),
        channels.announcements,
    ));
    if let Some(address) = gateway.settings.listen.metrics {
        spawn_local(operators::run(
            Rc::clone(&gateway),
            bind_tcp(address).await?,
        ));
    }
    spawn_local(operators::run(Rc::clone(&gateway), operators));
    spawn_duties(&gateway);
    let discovery = Rc::clone(&gateway.discovery);
    spawn_local(async move {
        let (introduction, vm_lists) = (channels.introduction, channels.vm_lists);
        discovery
            .run(introduction, vm_lists, channels.peers_known_sender)
            .await;
    });
    let accepting = spawn_local(accept::accept(Rc::clone(&gateway), callers, stop.clone()));
    let (mut terminate, mut hangup) = (
        signal(SignalKind::terminate()).map_err(internal_error)?,
        signal(SignalKind::hangup()).map_err(internal_error)?,
    );
    loop {
        // Biased, so that a reload requested just before the stop is still carried out and logged.
        tokio::select! {
            biased;
            _ = hangup.recv() => gateway.reload(),
            _ = terminate.recv() => break,
        }
    }
    shut_down(&gateway, &stop, accepting).await;
    Ok(())
}

/// Starts what runs beside the listeners.
fn spawn_duties(gateway: &Rc<Gateway>) {
    spawn_local(snapshot::publish(Rc::clone(gateway)));
    spawn_local(peers::receive(Rc::clone(gateway)));
    spawn_local(reports::run(Rc::clone(gateway)));
    spawn_local(Rc::clone(gateway).learn_ends());
    spawn_local(expiry::run_maintenance(Rc::clone(gateway)));
    spawn_local(conversation::run_maintenance(Rc::clone(gateway)));
    spawn_local(version_marks::run_maintenance(Rc::clone(gateway)));
    spawn_local(end_records::run_maintenance(Rc::clone(gateway)));
}

async fn shut_down(
    gateway: &Rc<Gateway>,
    stop: &CancellationToken,
    accepting: tokio::task::JoinHandle<()>,
) {
    let limit = Duration::from_millis(gateway.stop_ms.get()).saturating_sub(STOP_MARGIN);
    let began = Instant::now();
    let planned = Stop {
        began,
        ends: began + limit,
    };
    event!(info, "stopping", limit_ms = limit.as_millis());
    gateway.stop.send_replace(Some(planned));
    let gateway = Rc::clone(gateway);
    let handover = spawn_local(async move { gateway.hand_over_partitions(Reason::Stopping).await });
    sleep_until(planned.accepts_until()).await;
    stop.cancel();
    let remaining = limit.saturating_sub(began.elapsed());
    let clean = timeout(remaining, accepting).await.is_ok();
    let remaining = limit.saturating_sub(began.elapsed());
    let handed_over = timeout(remaining, handover).await.is_ok();
    event!(
        info,
        "stopped",
        clean = clean,
        handed_over = handed_over,
        took_ms = began.elapsed().as_millis()
    );
}

fn internal_error(error: std::io::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

async fn bind_tcp(address: SocketAddr) -> Result<TcpListener, Failure> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Failure::refused(Code::BadSettings, format!("{address}: {error}")))
}

async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let intake = gateway.intake.clone();
    listen::serve(intake, Port::Readiness, listener, move |_, _| {
        std::future::ready(readiness_response(gateway.is_ready()))
    })
    .await;
}

fn readiness_response(ready: bool) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

impl Gateway {
    /// Reads the settings again. Only the time limit of a stop takes effect at once; other changes need a
    /// restart.
    fn reload(&self) {
        match settings::Gateway::load(&self.settings_path) {
            Ok(settings) => {
                let changed = self.stop_ms.replace(settings.stop_ms) != settings.stop_ms;
                let restart = settings
                    != (settings::Gateway {
                        stop_ms: settings.stop_ms,
                        ..self.settings.clone()
                    });
                event!(info, "reloaded", changed = changed, needs_restart = restart);
            }
            Err(failure) => event!(error, "reload_refused", reason = failure),
        }
    }

    /// Whether the store recently answered this VM and accepts its records.
    pub(crate) fn has_store(&self) -> bool {
        self.store_answers() && self.partitions.has_store()
    }

    /// Whether the store recently answered this VM, though perhaps not for all partitions.
    pub(crate) fn store_answers(&self) -> bool {
        let last_read = self.routing.borrow().last_store_read;
        // At a slow store the answer to the read after that one is still on its way.
        let slow_answer = match self.partitions.store.observer().health() {
            health if health.is_slow() => health.scaled_timeout(Duration::ZERO),
            _ => Duration::ZERO,
        };
        last_read.is_some_and(|at| at.elapsed() < STORE_SILENCE_TIMEOUT + slow_answer)
    }

    /// Milliseconds since the start of the newest read that the store answered; `None` without one, or if
    /// the store refuses the records of this VM.
    pub(crate) fn store_contact_age_ms(&self) -> Option<u64> {
        let last_read = self.routing.borrow().last_store_read?;
        let ago_ms = u64::try_from(last_read.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.partitions.has_store().then_some(ago_ms)
    }

    /// Version of the configuration that this VM applies, 0 if none.
    pub(super) fn config_version(&self) -> Offset {
        let routing = self.routing.borrow();
        Offset(routing.config_version())
    }

    /// Whether this VM may own partitions and queues: unlike routing, that needs no directory.
    fn can_own(&self) -> bool {
        !self.is_stopping() && self.routing.borrow().table.is_some()
    }

    /// Whether the load balancer should send callers here.
    fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routing.borrow().is_complete() && !self.ends.is_reading()
    }
}
