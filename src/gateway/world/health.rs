//! Tracks store outages as seen by one of the tasks that read the store.

use crate::platform::store::{Error, Store};
use crate::telemetry::event;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Minimum and maximum backoff after a failed read.
pub(super) const BACKOFF: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(800));

/// Logs the start and the end of an outage once, and applies exponential backoff in between.
#[derive(Debug)]
pub(super) struct Health {
    /// Name of the data that the task reads, for the log.
    data: &'static str,
    lost_at: Option<Instant>,
    backoff: Duration,
}

impl Health {
    pub(super) const fn new(data: &'static str) -> Self {
        Self {
            data,
            lost_at: None,
            backoff: BACKOFF.0,
        }
    }

    /// Records a successful call; returns the length of the outage that it ends, if any.
    pub(super) fn record_success(&mut self) -> Option<Duration> {
        self.backoff = BACKOFF.0;
        let outage = self.lost_at.take()?.elapsed();
        event!(
            info,
            "store_back",
            for_what = self.data,
            away_ms = outage.as_millis()
        );
        Some(outage)
    }

    /// Records a failed call and waits for the backoff. Reconnects if the call was not answered.
    pub(super) async fn record_failure(&mut self, error: &Error, store: &mut Store) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            event!(warn, "store_lost", for_what = self.data, reason = error);
        }
        if matches!(error, Error::OutcomeUnknown(_)) {
            store.reconnect();
        }
        sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(BACKOFF.1);
    }
}
