//! The configuration thread: follows the stream and publishes what is in force.

use super::book::{Book, Ruling};
use super::value::Snapshot;
use crate::id::Offset;
use crate::journal::CONFIG;
use crate::platform::Log;
use crate::telemetry::event;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// How long one read waits for a change.
const READ_WAIT: Duration = Duration::from_secs(1);
/// The pause after a failed read.
const BACKOFF: Duration = Duration::from_millis(300);

/// Follows the configuration until `stop`.
pub(crate) async fn run<L: Log>(
    log: L,
    published: watch::Sender<Arc<Snapshot>>,
    stop: CancellationToken,
) {
    let mut book = Book::default();
    let mut next = Offset(0);
    loop {
        let read = tokio::select! {
            read = log.read(CONFIG, next, READ_WAIT) => read,
            () = stop.cancelled() => return,
        };
        let page = match read {
            Ok(page) => page,
            Err(fault) => {
                event!(warn, "config_read_failed", reason = fault);
                sleep(BACKOFF).await;
                continue;
            }
        };
        next = next.max(page.first);
        for entry in page.entries {
            next = Offset(entry.offset.0 + 1);
            let verdict = book.take(entry.offset, &entry.data);
            match verdict.ruling {
                Ruling::Accepted => {
                    event!(
                        info,
                        "config_accepted",
                        key = verdict.key,
                        offset = verdict.offset
                    );
                }
                Ruling::Refused(failure) => {
                    event!(
                        warn,
                        "config_refused",
                        key = verdict.key,
                        offset = verdict.offset,
                        reason = failure
                    );
                }
            }
        }
        if next >= page.next {
            book.caught_up();
        }
        if *book.snapshot() != **published.borrow() {
            published.send_replace(Arc::new(book.snapshot().clone()));
        }
    }
}
