//! Fault injection, common to all stand-ins.

use cell::Cell;
use poem::http::StatusCode;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Active faults; `POST /faults` replaces the fields that it names.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
pub(crate) struct Faults {
    /// Every request fails before it takes effect.
    pub(crate) down: bool,
    /// Delay before each request is processed, in milliseconds.
    pub(crate) slow_ms: u64,
    /// Number of further requests that take effect and then fail instead of replying.
    pub(crate) lose_replies: u64,
    /// Requests and streams hang while this is set.
    pub(crate) frozen: bool,
    /// Streams break off after this many tokens (engine).
    pub(crate) cut_after: Option<u64>,
    /// Tokens generated beyond `max_tokens` (engine).
    pub(crate) extra_tokens: u64,
    /// Factor on prefill time and time per token, not reported as load (engine); 0 means 1.
    pub(crate) slower: u64,
    /// Share of cache events that are lost, in percent (engine).
    pub(crate) lose_events: u64,
    /// The load report says that the server is draining.
    pub(crate) leaving: bool,
    /// Orders with an outdated fencing token are accepted (engine).
    pub(crate) ignore_fence: bool,
    /// Delay between the effect of a request and its reply, in milliseconds (service).
    pub(crate) reply_after_ms: u64,
    /// Number of further replies that break off after their first byte (service).
    pub(crate) cut_replies: u64,
    /// Reads of the journal streams hang; appends still work (log).
    pub(crate) hold_reads: bool,
    /// Answers to the same prompt differ from each other (engine).
    pub(crate) vary: bool,
}

mod cell {
    /// Value behind a lock that is held only to copy or update it.
    #[derive(Debug, Default)]
    pub(crate) struct Cell<T>(std::sync::Mutex<T>);

    impl<T: Clone> Cell<T> {
        pub(crate) fn get(&self) -> T {
            self.0.lock().expect("the lock is not poisoned").clone()
        }

        pub(crate) fn with<R>(&self, update: impl FnOnce(&mut T) -> R) -> R {
            update(&mut self.0.lock().expect("the lock is not poisoned"))
        }
    }
}

/// Shared, adjustable faults of one stand-in.
#[derive(Debug, Clone, Default)]
pub(crate) struct Switches(Arc<Cell<Faults>>);

impl Switches {
    pub(crate) fn get(&self) -> Faults {
        self.0.get()
    }

    /// Sets the faults that `patch` names and keeps the others.
    pub(crate) fn patch(&self, patch: &serde_json::Value) -> Result<Faults, String> {
        let mut merged = serde_json::to_value(self.get()).map_err(|error| error.to_string())?;
        if let (Some(merged), Some(patch)) = (merged.as_object_mut(), patch.as_object()) {
            merged.extend(patch.clone());
        }
        let updated: Faults = serde_json::from_value(merged).map_err(|error| error.to_string())?;
        self.0.with(|faults| *faults = updated.clone());
        Ok(updated)
    }

    /// Delays or rejects a request before it takes effect.
    pub(crate) async fn delay_or_fail(&self) -> Result<(), poem::Error> {
        while self.get().frozen {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let faults = self.get();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if self.get().down {
            return Err(poem::Error::from_status(StatusCode::SERVICE_UNAVAILABLE));
        }
        Ok(())
    }

    /// Whether to break off this reply after its first byte; counts down `cut_replies`.
    pub(crate) fn take_cut_reply(&self) -> bool {
        self.0.with(|faults| {
            let cut = faults.cut_replies > 0;
            faults.cut_replies = faults.cut_replies.saturating_sub(1);
            cut
        })
    }

    /// Whether to fail instead of replying; counts down `lose_replies`.
    pub(crate) fn take_lost_reply(&self) -> bool {
        self.0.with(|faults| {
            let lose = faults.lose_replies > 0;
            faults.lose_replies = faults.lose_replies.saturating_sub(1);
            lose
        })
    }
}

/// Handler of `POST /faults`.
#[poem::handler]
pub(crate) fn set_faults(
    switches: poem::web::Data<&Switches>,
    patch: poem::web::Json<serde_json::Value>,
) -> poem::Result<poem::web::Json<Faults>> {
    let bad_request = |reason: String| poem::Error::from_string(reason, StatusCode::BAD_REQUEST);
    switches
        .patch(&patch.0)
        .map(poem::web::Json)
        .map_err(bad_request)
}
