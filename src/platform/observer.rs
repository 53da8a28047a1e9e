//! How the store has answered the calls of this process.

use crate::policy::store_health::StoreHealth;
use reqwest::StatusCode;
use std::collections::BTreeMap;
use std::mem::take;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

/// What a call to the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Call {
    Read,
    Append,
}

/// Number of calls for the topics of one kind of record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Calls {
    pub(crate) reads: u32,
    pub(crate) appends: u32,
    /// Those that the store rejected as too many.
    pub(crate) rejected: u32,
}

/// What all clients of this process have seen of the store.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    health: Mutex<StoreHealth>,
    /// Notified when the store answers after a silence.
    recovered: Notify,
    /// Calls since they were last asked for, by kind of topic.
    calls: Mutex<BTreeMap<String, Calls>>,
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

    /// Whether the store rejects some calls as too many; see [`StoreHealth::is_busy`].
    pub(crate) fn is_busy(&self) -> bool {
        self.lock().is_busy(Instant::now())
    }

    /// Waits until the store answers after a silence.
    pub(crate) fn recovered(&self) -> Notified<'_> {
        self.recovered.notified()
    }

    /// How long the store has been silent; `None` if it is not.
    pub(crate) fn silent_for(&self) -> Option<Duration> {
        self.lock().silent_for(Instant::now())
    }

    /// Records a call for a topic that began at this time; `status` is `None` if it got no answer.
    pub(super) fn record_call(
        &self,
        topic: &str,
        call: Call,
        status: Option<StatusCode>,
        began: Instant,
    ) {
        self.count_call(topic, call, status);
        let Some(status) = status else {
            return;
        };
        let now = Instant::now();
        let ends_silence = if status.is_server_error() {
            self.lock().refused(now)
        } else if status == StatusCode::TOO_MANY_REQUESTS {
            self.lock().rejected(now)
        } else {
            self.lock().answered(now, now - began)
        };
        if ends_silence {
            self.recovered.notify_waiters();
        }
    }

    fn count_call(&self, topic: &str, call: Call, status: Option<StatusCode>) {
        // Topics that differ only in their number hold the same kind of record.
        let kind = topic.trim_end_matches(|character: char| character.is_ascii_digit());
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let calls = calls.entry(kind.to_owned()).or_default();
        match call {
            Call::Read => calls.reads += 1,
            Call::Append => calls.appends += 1,
        }
        calls.rejected += u32::from(status == Some(StatusCode::TOO_MANY_REQUESTS));
    }

    /// The calls since this was last asked.
    pub(crate) fn take_calls(&self) -> BTreeMap<String, Calls> {
        take(&mut *self.calls.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn lock(&self) -> std::sync::MutexGuard<'_, StoreHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
