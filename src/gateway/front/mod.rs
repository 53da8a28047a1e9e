//! Accepts callers, answers the balancer, and stops without cutting anyone.

mod accept;
mod housekeeping;
pub(crate) mod listen;
pub(crate) mod metrics;
pub(crate) mod operators;
pub(crate) mod sample;
pub(crate) mod socket;

use crate::code::{Code, Failure};
use crate::gateway::census::Census;
use crate::gateway::conversation::Conversations;
use crate::gateway::limits::Limits;
use crate::gateway::peers::Peers;
use crate::gateway::queue::lease::Leases;
use crate::gateway::queue::permit::Queue;
use crate::gateway::request::body::Body;
use crate::gateway::server::connection::Pool;
use crate::gateway::tokens::handover::Reason;
use crate::gateway::tokens::partitions;
use crate::gateway::tokens::partitions::Partitions;
use crate::gateway::world::contact::Discovery;
use crate::gateway::world::copy::Copier;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::Routing;
use crate::gateway::world::{feed, snapshot, sources};
use crate::gateway::{Gateway, conversation, peers};
use crate::id::{Boot, Offset};
use crate::member::{self, Announcement, Introduction, List, View};
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
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// How long a VM that stops still takes new connections: the balancer asks once a second and
/// leaves it out after two answers that are not 200.
const STILL_TAKING: Duration = Duration::from_millis(2600);
/// Taken off the time that a planned stop may take, so that the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// How long the store may be silent before this VM says that it has lost it: two reads of its directory, or
/// one that is made again.
const UNHEARD: Duration = Duration::from_millis(1400);
/// Lists of other VMs that may wait.
const CONTACTS: usize = 2;

/// Forwards requests until a signal to stop.
///
/// # Errors
/// [`Code::BadSettings`] where an address can't be bound.
pub(crate) fn run(path: &Path, settings: settings::Gateway) -> Result<(), Failure> {
    let (worlds, world) = watch::channel(Routing::empty());
    let mut supervisor = Supervisor::new(CancellationToken::new());
    let (views, view) = watch::channel(Arc::new(View::default()));
    let (introducing, peers_known) = watch::channel(false);
    let sources = Sources {
        vm: settings.vm.clone(),
        store: settings.store.address,
        port: settings.listen.operators.port(),
        seeds: settings.seeds.clone(),
        zone: settings.zone.clone(),
        view: view.clone(),
        bounds: settings.bounds,
        peers_known,
    };
    let (relay, key) = (
        bound(sources::relay_address(settings.listen.peers))?,
        settings.peer_key.clone(),
    );
    supervisor.spawn("feed", move || {
        let socket = relay.try_clone().expect("the system gives a handle");
        feed::run(sources.clone(), socket, key.clone(), worlds.clone())
    });
    let beats = Arc::new(watch::channel(first_beat(&settings)).0);
    let (introduced, introduction) = watch::channel(None);
    let contacts = member(&mut supervisor, &settings, views, introduced, &beats)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::refused(Code::Internal, error.to_string()))?;
    let outside = Outside {
        world,
        view,
        beats,
        contacts,
        introduction,
        introducing,
    };
    LocalSet::new().block_on(&runtime, serve(path, settings, outside))
}

/// What the request thread is told by the others, and tells them.
#[derive(Debug)]
struct Outside {
    world: watch::Receiver<Routing>,
    view: watch::Receiver<Arc<View>>,
    beats: Arc<watch::Sender<Announcement>>,
    contacts: flume::Sender<List>,
    introduction: watch::Receiver<Option<Introduction>>,
    introducing: watch::Sender<bool>,
}

/// A socket for datagrams.
fn bound(address: SocketAddr) -> Result<std::net::UdpSocket, Failure> {
    let unbound = |error| Failure::refused(Code::BadSettings, format!("{address}: {error}"));
    let socket = std::net::UdpSocket::bind(address).map_err(unbound)?;
    socket.set_nonblocking(true).map_err(unbound)?;
    Ok(socket)
}

fn first_beat(settings: &settings::Gateway) -> Announcement {
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

/// Starts the thread of the membership; gives where addresses of other VMs go.
fn member(
    supervisor: &mut Supervisor,
    settings: &settings::Gateway,
    views: watch::Sender<Arc<View>>,
    introduction: watch::Sender<Option<Introduction>>,
    beats: &Arc<watch::Sender<Announcement>>,
) -> Result<flume::Sender<List>, Failure> {
    let address = settings.listen.peers;
    let socket = bound(address)?;
    let (contacts, listed) = flume::bounded(CONTACTS);
    // Nobody tells of leaving servers here: the directory does. The ring stays open all the same,
    // since a closed one is ready to be read all the time.
    let (untold, leaving) = flume::bounded(1);
    let (key, beats) = (settings.peer_key.clone(), Arc::clone(beats));
    let seeds = settings.seeds.iter();
    let seeds: Vec<_> = seeds
        .map(|seed| SocketAddr::new(seed.ip(), address.port()))
        .collect();
    supervisor.spawn("member", move || {
        let _open = &untold;
        member::run(member::Setup {
            socket: socket.try_clone().expect("the system gives a handle"),
            key: key.clone(),
            seeds: seeds.clone(),
            vm_lists: listed.clone(),
            local: beats.subscribe(),
            view: views.clone(),
            introduction: introduction.clone(),
            draining: leaving.clone(),
            stop: CancellationToken::new(),
        })
    });
    Ok(contacts)
}

async fn serve(path: &Path, settings: settings::Gateway, outside: Outside) -> Result<(), Failure> {
    let callers = bind(settings.listen.callers).await?;
    let ready = bind(settings.listen.ready).await?;
    let operators = bind(settings.listen.operators).await?;
    let peers = peers::address(settings.listen.peers);
    let socket = UdpSocket::bind(peers).await;
    let socket =
        socket.map_err(|error| Failure::refused(Code::BadSettings, format!("{peers}: {error}")))?;
    let gateway = Rc::new(Gateway {
        view: outside.view,
        peers: Peers::new(socket, &settings.peer_key),
        keeper: Rc::new(Partitions::new(
            peers,
            settings.store.address,
            settings.store.partitions,
        )),
        conversations: Rc::new(Conversations::new(
            settings.store.address,
            settings.store.partitions,
            &settings.peer_key,
        )),
        limit_state: Limits::default(),
        census: Census::default(),
        zone: settings.zone.as_str().into(),
        connections: Pool::default(),
        queue: Queue::default(),
        leases: Leases::default(),
        metrics: Metrics::new(),
        sampler: Sampler::new(),
        contacts: Rc::new(Discovery::new(&settings)),
        copier: Copier::default(),
        path: path.to_owned(),
        stop_ms: Cell::new(settings.stop_ms),
        stopping: Cell::new(false),
        world: outside.world,
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
    spawn_local(answer_balancer(Rc::clone(&gateway), ready));
    spawn_local(housekeeping::follow_world(Rc::clone(&gateway)));
    spawn_local(housekeeping::keep(Rc::clone(&gateway), outside.beats));
    if let Some(address) = gateway.settings.listen.metrics {
        spawn_local(operators::run(Rc::clone(&gateway), bind(address).await?));
    }
    spawn_local(operators::run(Rc::clone(&gateway), operators));
    spawn_local(snapshot::publish(Rc::clone(&gateway)));
    spawn_local(peers::receive(Rc::clone(&gateway)));
    spawn_local(partitions::run_maintenance(Rc::clone(&gateway)));
    spawn_local(conversation::run_maintenance(Rc::clone(&gateway)));
    let contacts = Rc::clone(&gateway.contacts);
    spawn_local(async move {
        let (introduction, others) = (outside.introduction, outside.contacts);
        contacts
            .run(introduction, others, outside.introducing)
            .await;
    });
    let accepting = spawn_local(accept::accept(Rc::clone(&gateway), callers, stop.clone()));
    let (mut terminate, mut hangup) = (
        signal(SignalKind::terminate()).map_err(internal)?,
        signal(SignalKind::hangup()).map_err(internal)?,
    );
    loop {
        // A reload that came just before the stop is done and told.
        tokio::select! {
            biased;
            _ = hangup.recv() => gateway.reload(),
            _ = terminate.recv() => break,
        }
    }
    stopped(&gateway, &stop, accepting).await;
    Ok(())
}

async fn stopped(
    gateway: &Rc<Gateway>,
    stop: &CancellationToken,
    accepting: tokio::task::JoinHandle<()>,
) {
    let limit = Duration::from_millis(gateway.stop_ms.get()).saturating_sub(STOP_MARGIN);
    let began = Instant::now();
    event!(info, "stopping", limit_ms = limit.as_millis());
    gateway.stopping.set(true);
    let handing = Rc::clone(gateway);
    spawn_local(async move { handing.hand_over_partitions(Reason::Stopping).await });
    sleep(STILL_TAKING.min(limit)).await;
    stop.cancel();
    let rest = limit.saturating_sub(began.elapsed());
    let clean = timeout(rest, accepting).await.is_ok();
    event!(
        info,
        "stopped",
        clean = clean,
        took_ms = began.elapsed().as_millis()
    );
}

fn internal(error: std::io::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    TcpListener::bind(address)
        .await
        .map_err(|error| Failure::refused(Code::BadSettings, format!("{address}: {error}")))
}

async fn answer_balancer(gateway: Rc<Gateway>, listener: TcpListener) {
    listen::serve(listener, move |_| {
        std::future::ready(readiness(gateway.is_ready()))
    })
    .await;
}

fn readiness(ready: bool) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

impl Gateway {
    /// Reads the settings again. Addresses and the store stay as they are until the next start; how
    /// long a stop may take is used at once.
    fn reload(&self) {
        match settings::Gateway::load(&self.path) {
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

    /// Whether the store answers this VM.
    pub(crate) fn has_store(&self) -> bool {
        let heard = self.world.borrow().last_store_read;
        heard.is_some_and(|heard| heard.elapsed() < UNHEARD) && self.keeper.has_store()
    }

    /// How many milliseconds ago the newest call began that the store answered, unless it refuses the
    /// records of this VM.
    pub(crate) fn store_heard_ms(&self) -> Option<u64> {
        let heard = self.world.borrow().last_store_read?;
        let ago_ms = u64::try_from(heard.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.keeper.has_store().then_some(ago_ms)
    }

    /// The version of the configuration that is in force here.
    pub(super) fn applied(&self) -> Offset {
        let world = self.world.borrow();
        Offset(world.config_version())
    }

    /// Whether this VM counts and queues for others: unlike routing, that needs no directory.
    fn takes_part(&self) -> bool {
        !self.stopping.get() && self.world.borrow().table.is_some()
    }

    /// Whether the balancer should send callers here.
    fn is_ready(&self) -> bool {
        !self.stopping.get() && self.world.borrow().is_complete()
    }
}
