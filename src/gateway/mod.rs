//! Forwards the requests of callers to backend servers.
//!
//! One thread carries a request from its first byte to its last; what follows the store, and what
//! may block, are threads of their own.

mod attempt;
mod body;
mod contact;
mod conversation;
mod copies;
mod counter;
mod detour;
pub mod directory;
mod event;
mod feed;
mod forward;
mod front;
mod job;
mod keeper;
mod lease;
mod link;
mod listen;
mod metrics;
mod operators;
mod part;
mod peers;
mod permit;
mod reply;
mod reserve;
mod sample;
mod snapshot;
mod socket;
pub mod table;
mod takeover;

pub(crate) use front::run;

use crate::member::View;
use crate::settings;
use conversation::Conversations;
use feed::World;
use keeper::Keeper;
use lease::Leases;
use link::Links;
use metrics::Metrics;
use peers::Peers;
use permit::Desk;
use sample::Sampler;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long the store may be silent before a VM no longer trusts that its configuration is the
/// newest.
const BLIND: Duration = Duration::from_secs(3);

/// What the request thread works with.
#[derive(Debug)]
pub(crate) struct Gateway {
    settings: settings::Gateway,
    /// Where the settings are read again from.
    path: PathBuf,
    stop_ms: Cell<u64>,
    zone: Arc<str>,
    world: watch::Receiver<World>,
    view: watch::Receiver<Arc<View>>,
    peers: Peers,
    keeper: Rc<Keeper>,
    conversations: Rc<Conversations>,
    links: Links,
    desk: Desk,
    leases: Leases,
    metrics: Metrics,
    sampler: Sampler,
    stopping: Cell<bool>,
}

impl Gateway {
    fn zone(&self) -> Arc<str> {
        Arc::clone(&self.zone)
    }

    /// Whether the configuration may be out of date.
    fn is_blind(&self) -> bool {
        let heard = self.world.borrow().heard;
        heard.is_none_or(|heard| heard.elapsed() > BLIND)
    }
}
