//! Whether the store answers one of the tasks that read it.

use crate::platform::store::{Fault, Store};
use crate::telemetry::event;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The pause after a failed read, at first and at most.
pub(super) const PAUSE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(800));

/// Tells of a lost and a regained dependency once, and paces the tries between.
#[derive(Debug)]
pub(super) struct Health {
    what: &'static str,
    lost: Option<Instant>,
    pause: Duration,
}

impl Health {
    pub(super) const fn new(what: &'static str) -> Self {
        Self {
            what,
            lost: None,
            pause: PAUSE.0,
        }
    }

    /// A call succeeded; gives how long the store was away, if it was.
    pub(super) fn good(&mut self) -> Option<Duration> {
        self.pause = PAUSE.0;
        let away = self.lost.take()?.elapsed();
        event!(
            info,
            "store_back",
            for_what = self.what,
            away_ms = away.as_millis()
        );
        Some(away)
    }

    pub(super) async fn bad(&mut self, fault: &Fault, store: &mut Store) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            event!(warn, "store_lost", for_what = self.what, reason = fault);
        }
        if matches!(fault, Fault::Unknown(_)) {
            store.reconnect();
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(PAUSE.1);
    }
}
