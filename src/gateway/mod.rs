//! Forwards the requests of callers to backend servers.
//!
//! A request is handled on one thread from start to end. Following the store, membership, and work that may
//! block run on threads of their own.
//!
//! | Module | Purpose | Used by |
//! |---|---|---|
//! | `front` | listeners for callers, load balancer and operators; startup and shutdown | the command |
//! | `request` | handles one request, from its head to the last byte of the response | `front` |
//! | `tokens` | token budgets of programs | `request`, other VMs |
//! | `limits` | team limits | `request`, other VMs |
//! | `reachability` | recently seen members, and whether this VM reaches most of them | `limits`, `tokens` |
//! | `conversation` | stores turns, and loads conversation histories | `request`, other VMs |
//! | `queue` | queues requests until a slot at a backend server is free | `request`, other VMs |
//! | `server` | connections to backend servers, and attempts to forward a request | `request` |
//! | `world` | follows the configuration and the server directory | all |
//! | `peers` | messages between VMs on the path of a request | `tokens`, `conversation`, `queue` |
//! | `shared_read` | reads that several requests wait for | `conversation`, `server` |

mod conversation;
mod front;
mod limits;
mod peers;
mod queue;
mod reachability;
mod record_wait;
mod request;
mod server;
mod shared_read;
mod tokens;
mod world;

pub(crate) use front::run;
pub use world::{changes, directory, table, team};

use crate::intake::Intake;
use crate::member::View;
use crate::policy::stop::Stop;
use crate::settings;
use conversation::Conversations;
use front::metrics::Metrics;
use front::sample::Sampler;
use limits::Limits;
use peers::Peers;
use queue::lease::Leases;
use queue::permit::Queue;
use reachability::Members;
use server::connection::Pool;
use server::continuation::Copies;
use server::end_records::EndRecords;
use server::ends::Ends;
use server::moving::Moves;
use server::pinning::Pins;
use server::stream_records::StreamRecords;
use server::stream_version::StreamVersions;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokens::partitions::Partitions;
use tokio::sync::watch;
use world::contact::Discovery;
use world::copy::Copier;
use world::state::Routing;

/// Time without an answer of the store after which the configuration may be outdated.
const CONFIG_STALE_AFTER: Duration = Duration::from_secs(3);

/// State of the request thread.
#[derive(Debug)]
pub(crate) struct Gateway {
    settings: settings::Gateway,
    /// Settings file, read again on SIGHUP.
    settings_path: PathBuf,
    /// Time limit of a planned stop; follows the settings on reload.
    stop_ms: Cell<u64>,
    zone: Arc<str>,
    routing: watch::Receiver<Routing>,
    view: watch::Receiver<Arc<View>>,
    peers: Peers,
    partitions: Rc<Partitions>,
    limit_state: Limits,
    recent_members: Members,
    conversations: Rc<Conversations>,
    intake: Intake,
    connections: Pool,
    copies: Copies,
    pins: Pins,
    moves: Moves,
    ends: Ends,
    end_records: EndRecords,
    stream_versions: StreamVersions,
    stream_records: Rc<StreamRecords>,
    queue: Queue,
    leases: Leases,
    metrics: Metrics,
    sampler: Sampler,
    discovery: Rc<Discovery>,
    copier: Copier,
    /// The planned stop, once it has begun.
    stop: watch::Sender<Option<Stop>>,
}

impl Gateway {
    /// Whether a planned stop has begun.
    fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Waits for a planned stop.
    async fn stop_began(&self) -> Stop {
        let mut stop = self.stop.subscribe();
        loop {
            if let Some(stop) = *stop.borrow_and_update() {
                return stop;
            }
            // Fails only if the sender is dropped, which lives as long as this.
            drop(stop.changed().await);
        }
    }

    fn zone(&self) -> Arc<str> {
        Arc::clone(&self.zone)
    }

    /// Whether the configuration may be outdated: the store has not answered for a while, or another VM has
    /// applied a newer one.
    fn config_may_be_stale(&self) -> bool {
        let last_read = self.routing.borrow().last_store_read;
        let store_silent = last_read.is_none_or(|at| at.elapsed() > CONFIG_STALE_AFTER);
        store_silent || self.view.borrow().newest > self.config_version()
    }
}
