//! The configuration thread: follows the stream and publishes what is in force.

use super::book::{Book, Ruling, Verdict};
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

/// How long one read waits for a change.
const READ_WAIT: Duration = Duration::from_secs(1);
/// The pause after a failed read.
const BACKOFF: Duration = Duration::from_millis(300);
/// How long a VM that sees neither the log nor any peer goes on admitting programs.
const CUT_OFF: Duration = Duration::from_secs(5);

/// What the configuration thread works with.
#[derive(Debug, Clone)]
pub(crate) struct Context<L> {
    pub(crate) me: Vm,
    pub(crate) log: L,
    pub(crate) links: Connections,
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Whether the settings name other VMs.
    pub(crate) has_peers: bool,
    /// How long the log keeps entries.
    pub(crate) retention: Duration,
    pub(crate) snapshots: watch::Sender<Arc<Snapshot>>,
    pub(crate) books: watch::Sender<Arc<Book>>,
    pub(crate) stop: CancellationToken,
}

/// Follows the configuration until the token is cancelled.
pub(crate) async fn run<L: Log>(context: Context<L>) {
    let mut book = Book::default();
    let mut reached = Instant::now();
    loop {
        let read = tokio::select! {
            read = context.log.read(CONFIG_STREAM, book.read_from(), READ_WAIT) => read,
            () = context.stop.cancelled() => return,
        };
        match read {
            Ok(page) => {
                reached = Instant::now();
                take(&mut book, page);
                context.write_checkpoint(&book).await;
            }
            Err(fault) => {
                event!(warn, "config_read_failed", reason = fault);
                sleep(BACKOFF).await;
            }
        }
        context.ask_peers(&mut book, reached).await;
        context.publish(&book, reached);
    }
}

fn take(book: &mut Book, page: Page) {
    book.trimmed(page.first);
    for entry in page.entries {
        tell(&book.take(entry.offset, &entry.data));
    }
    if book.read_from() >= page.next {
        book.caught_up();
    }
}

fn tell(verdict: &Verdict) {
    let Verdict {
        offset,
        key,
        ruling,
        ..
    } = verdict;
    match ruling {
        Ruling::Accepted => event!(info, "config_accepted", key = key, offset = offset),
        Ruling::Repeated(of) => {
            event!(info, "config_repeated", key = key, offset = offset, of = of);
        }
        Ruling::Refused(failure) => {
            event!(
                warn,
                "config_refused",
                key = key,
                offset = offset,
                reason = failure
            );
        }
        Ruling::Checkpoint => event!(info, "config_checkpoint", offset = offset),
        Ruling::Held => event!(warn, "config_held", offset = offset),
    }
}

impl<L: Log> Context<L> {
    /// Takes over what a peer has seen of the stream, where this VM can't read it itself.
    ///
    /// A VM that starts while the log is down, or that has been cut off from it, would otherwise
    /// serve by an older configuration than the others, or not at all.
    async fn ask_peers(&self, book: &mut Book, reached: Instant) {
        let reading = reached.elapsed() < READ_WAIT * 2 && !book.has_gap();
        if reading {
            return;
        }
        let Some((address, applied)) = self.freshest() else {
            return;
        };
        if applied > book.applied()
            && let Ok(other) = self.links.fetch_config(address).await
            && book.adopt(other)
        {
            event!(
                info,
                "config_from_peer",
                peer = address,
                applied = book.applied()
            );
        }
        if book.applied() >= applied && applied > Offset(0) {
            book.caught_up();
        }
    }

    fn freshest(&self) -> Option<(SocketAddr, Offset)> {
        let view = self.view.borrow();
        let others = view.members.values().filter(|member| member.vm != self.me);
        others
            .map(|member| (member.address, member.applied))
            .max_by_key(|(_, applied)| *applied)
    }

    fn publish(&self, book: &Book, reached: Instant) {
        let mut snapshot = book.snapshot();
        // With peers in view a silent log is an outage of the platform, which stops nobody. Alone
        // and without the log, the others may long have another configuration.
        let alone = self.has_peers && self.freshest().is_none();
        snapshot.cut_off = alone && reached.elapsed() > CUT_OFF;
        if snapshot != **self.snapshots.borrow() {
            self.snapshots.send_replace(Arc::new(snapshot));
        }
        if book != self.books.borrow().as_ref() {
            self.books.send_replace(Arc::new(book.clone()));
        }
    }

    /// Writes the settings back before the log trims the changes that made them.
    ///
    /// One VM does it, by rendezvous; two that both do it harm nothing, as a reader that has seen
    /// the changes passes over checkpoints.
    async fn write_checkpoint(&self, book: &Book) {
        let first = self
            .view
            .borrow()
            .preferred_member("config/checkpoint")
            .map(|member| member.vm.clone());
        if first.as_ref() != Some(&self.me) {
            return;
        }
        let age_ms = u64::try_from(self.retention.as_millis() / 2).unwrap_or(u64::MAX);
        let Some(checkpoint) = book.checkpoint_due(wall_ms(), age_ms) else {
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
