//! Forwards the requests of callers to backend servers.
//!
//! One thread carries a request from its first byte to its last; what follows the store, and what
//! may block, are threads of their own.
//!
//! | Module | What it does | Who calls it |
//! |---|---|---|
//! | `front` | accepts callers, answers the balancer and operators, starts and stops the rest | the command |
//! | `request` | the life of one request, from its head to its last byte | `front` |
//! | `tokens` | counts what programs may generate | `request`, other VMs |
//! | `limits` | counts the requests of teams | `request`, other VMs |
//! | `reachability` | which VMs there were lately | `limits`, `tokens` |
//! | `conversation` | keeps turns, and finds what was said before | `request`, other VMs |
//! | `queue` | lets a request wait for a place at a server | `request`, other VMs |
//! | `server` | connections to backend servers, and one attempt at one of them | `request` |
//! | `world` | follows the configuration and the directory of servers | all |
//! | `peers` | messages between VMs that requests wait for | `tokens`, `conversation`, `queue` |

mod conversation;
mod front;
mod limits;
mod peers;
mod queue;
mod reachability;
mod request;
mod server;
mod tokens;
mod world;

pub(crate) use front::run;
pub use world::{changes, directory, table, team};

use crate::member::View;
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

/// How long the store may be silent before a VM no longer trusts that its configuration is the
/// newest.
const BLIND: Duration = Duration::from_secs(3);

/// What the request thread works with.
#[derive(Debug)]
pub(crate) struct Gateway {
    settings: settings::Gateway,
    /// Where the settings are read again from.
    settings_path: PathBuf,
    stop_ms: Cell<u64>,
    zone: Arc<str>,
    routing: watch::Receiver<Routing>,
    view: watch::Receiver<Arc<View>>,
    peers: Peers,
    partitions: Rc<Partitions>,
    limit_state: Limits,
    recent_members: Members,
    conversations: Rc<Conversations>,
    connections: Pool,
    queue: Queue,
    leases: Leases,
    metrics: Metrics,
    sampler: Sampler,
    discovery: Rc<Discovery>,
    copier: Copier,
    stopping: Cell<bool>,
}

impl Gateway {
    fn zone(&self) -> Arc<str> {
        Arc::clone(&self.zone)
    }

    /// Whether the configuration may be out of date: the store has not been heard for a while, or another VM has
    /// applied a newer one.
    fn config_may_be_stale(&self) -> bool {
        let heard = self.routing.borrow().last_store_read;
        let blind = heard.is_none_or(|heard| heard.elapsed() > BLIND);
        blind || self.view.borrow().newest > self.config_version()
    }
}
