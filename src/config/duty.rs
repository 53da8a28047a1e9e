//! Follows the configuration stream and publishes the effective configuration.

use super::state::{Decision, Outcome, State};
use super::value::Snapshot;
use crate::clock::wall_ms;
use crate::id::{Offset, Vm};
use crate::journal::CONFIG_STREAM;
use crate::member::View;
use crate::peer::Connections;
use crate::platform::{Log, Page};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Long-poll timeout of one read of the stream.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const BACKOFF: Duration = Duration::from_millis(300);
/// A VM that reaches neither the log nor a peer for this long stops admitting programs.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Inputs and outputs of the configuration duty.
#[derive(Debug, Clone)]
pub(crate) struct Context<L> {
    pub(crate) me: Vm,
    pub(crate) log: L,
    pub(crate) links: Connections,
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Whether the settings list other VMs as seeds.
    pub(crate) has_peers: bool,
    /// How long the log retains entries.
    pub(crate) retention: Duration,
    pub(crate) snapshots: watch::Sender<Arc<Snapshot>>,
    pub(crate) states: watch::Sender<Arc<State>>,
    pub(crate) stop: CancellationToken,
}

/// Follows the configuration until `context.stop` is cancelled.
pub(crate) async fn run<L: Log>(context: Context<L>) {
    let mut state = State::default();
    let mut last_read = Instant::now();
    loop {
        let read = tokio::select! {
            read = context.log.read(CONFIG_STREAM, state.next_offset(), READ_TIMEOUT) => read,
            () = context.stop.cancelled() => return,
        };
        match read {
            Ok(page) => {
                last_read = Instant::now();
                apply_page(&mut state, page);
                context.write_checkpoint(&state).await;
            }
            Err(fault) => {
                event!(warn, "config_read_failed", reason = fault);
                sleep(BACKOFF).await;
            }
        }
        context.sync_with_peers(&mut state, last_read).await;
        context.publish(&state, last_read);
    }
}

fn apply_page(state: &mut State, page: Page) {
    state.note_trimmed(page.first);
    for entry in page.entries {
        log_decision(&state.apply(entry.offset, &entry.data));
    }
    if state.next_offset() >= page.next {
        state.mark_caught_up();
    }
}

fn log_decision(decision: &Decision) {
    let Decision {
        offset,
        key,
        outcome,
        ..
    } = decision;
    match outcome {
        Outcome::Accepted => event!(info, "config_accepted", key = key, offset = offset),
        Outcome::Repeated(original) => {
            event!(
                info,
                "config_repeated",
                key = key,
                offset = offset,
                of = original
            );
        }
        Outcome::Refused(failure) => {
            event!(
                warn,
                "config_refused",
                key = key,
                offset = offset,
                reason = failure
            );
        }
        Outcome::Checkpoint => event!(info, "config_checkpoint", offset = offset),
        Outcome::Deferred => event!(warn, "config_held", offset = offset),
    }
}

impl<L: Log> Context<L> {
    /// Copies the configuration from the most recent peer if this VM can't read the stream.
    ///
    /// Otherwise a VM that starts during a log outage, or loses its connection to the log, would
    /// have an outdated configuration or none.
    async fn sync_with_peers(&self, state: &mut State, last_read: Instant) {
        let reads_log = last_read.elapsed() < READ_TIMEOUT * 2 && !state.has_gap();
        if reads_log {
            return;
        }
        let Some((address, applied)) = self.most_recent_peer() else {
            return;
        };
        if applied > state.applied()
            && let Ok(other) = self.links.fetch_config(address).await
            && state.adopt_newer(other)
        {
            event!(
                info,
                "config_from_peer",
                peer = address,
                applied = state.applied()
            );
        }
        if state.applied() >= applied && applied > Offset(0) {
            state.mark_caught_up();
        }
    }

    /// The peer that has applied most of the stream, and its offset.
    fn most_recent_peer(&self) -> Option<(SocketAddr, Offset)> {
        let view = self.view.borrow();
        let others = view.members.values().filter(|member| member.vm != self.me);
        others
            .map(|member| (member.address, member.applied))
            .max_by_key(|(_, applied)| *applied)
    }

    fn publish(&self, state: &State, last_read: Instant) {
        let mut snapshot = state.snapshot();
        // A log outage alone is harmless. Without peers as well, the other VMs may have a newer
        // configuration that this one can't see.
        let without_peers = self.has_peers && self.most_recent_peer().is_none();
        snapshot.cut_off = without_peers && last_read.elapsed() > ISOLATION_TIMEOUT;
        if snapshot != **self.snapshots.borrow() {
            self.snapshots.send_replace(Arc::new(snapshot));
        }
        if state != self.states.borrow().as_ref() {
            self.states.send_replace(Arc::new(state.clone()));
        }
    }

    /// Writes a checkpoint before the log trims the changes that it covers.
    ///
    /// Rendezvous hashing picks one VM. Duplicate checkpoints are harmless: a reader without a gap
    /// ignores them.
    async fn write_checkpoint(&self, state: &State) {
        let writer = self
            .view
            .borrow()
            .preferred_member("config/checkpoint")
            .map(|member| member.vm.clone());
        if writer.as_ref() != Some(&self.me) {
            return;
        }
        let age_ms = u64::try_from(self.retention.as_millis() / 2).unwrap_or(u64::MAX);
        let Some(checkpoint) = state.due_checkpoint(wall_ms(), age_ms) else {
            return;
        };
        let Ok(entry) = serde_json::to_vec(&checkpoint) else {
            return;
        };
        if let Err(fault) = self.log.append(CONFIG_STREAM, entry.into()).await {
            event!(warn, "config_checkpoint_failed", reason = fault);
        }
    }
}
