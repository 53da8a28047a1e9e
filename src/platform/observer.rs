//! How the store has answered the calls of this process.

use crate::policy::store_health::StoreHealth;
use reqwest::StatusCode;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

/// What all clients of this process have seen of the store.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    health: Mutex<StoreHealth>,
    /// Notified when the store answers after a silence.
    recovered: Notify,
}

impl Observer {
    /// The present state.
    pub(crate) fn health(&self) -> StoreHealth {
        self.lock().clone()
    }

    /// Time limit of a wait for a call; see [`StoreHealth::scaled_timeout`]. At a silent store it is `limit`, even if the
    /// store was slow before: two longer waits in a row exceed the 2 s after which callers leave.
    pub(crate) fn scaled_timeout(&self, limit: Duration) -> Duration {
        let health = self.lock();
        if health.is_silent(Instant::now()) {
            return limit;
        }
        health.scaled_timeout(limit)
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.lock().is_slow()
    }

    /// Waits until the store answers after a silence.
    pub(crate) fn recovered(&self) -> Notified<'_> {
        self.recovered.notified()
    }

    /// How long the store has been silent; `None` if it is not.
    pub(crate) fn silent_for(&self) -> Option<Duration> {
        self.lock().silent_for(Instant::now())
    }

    pub(super) fn record_answer(&self, status: StatusCode, began: Instant) {
        let now = Instant::now();
        let ends_silence = if status.is_server_error() {
            self.lock().refused(now)
        } else {
            self.lock().answered(now, now - began)
        };
        if ends_silence {
            self.recovered.notify_waiters();
        }
    }

    pub(super) fn lock(&self) -> std::sync::MutexGuard<'_, StoreHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
