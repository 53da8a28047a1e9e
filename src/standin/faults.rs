//! Fault switches that every stand-in has.

use parking::Cell;
use poem::http::StatusCode;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The faults in force; `POST /faults` replaces those it names.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
pub(crate) struct Faults {
    /// Every request fails before it takes effect.
    pub(crate) down: bool,
    /// Every request waits this long first, in milliseconds.
    pub(crate) slow_ms: u64,
    /// So many coming requests take effect and then lose their reply.
    pub(crate) lose_replies: u64,
    /// Requests hang while this is set.
    pub(crate) frozen: bool,
    /// Streams are cut after this many tokens (engine).
    pub(crate) cut_after: Option<u64>,
    /// Tokens beyond what was asked for (engine).
    pub(crate) extra_tokens: u64,
    /// Token time is multiplied by this, unseen in the load report (engine); 0 means 1.
    pub(crate) slower: u64,
    /// Share of cache events that are lost, in percent (engine).
    pub(crate) lose_events: u64,
    /// The load report says that the server is leaving.
    pub(crate) leaving: bool,
    /// Orders with an old fencing number are taken (engine).
    pub(crate) ignore_fence: bool,
    /// Milliseconds between an effect and its reply (service).
    pub(crate) reply_after_ms: u64,
    /// So many coming replies are cut after their first byte (service).
    pub(crate) cut_replies: u64,
    /// Reads of the journal hang, while appends take effect (log).
    pub(crate) hold_reads: bool,
    /// Each answer differs from the one before to the same prompt (engine).
    pub(crate) vary: bool,
}

mod parking {
    /// A value behind a lock that is held only to copy or replace it.
    #[derive(Debug, Default)]
    pub(crate) struct Cell<T>(std::sync::Mutex<T>);

    impl<T: Clone> Cell<T> {
        pub(crate) fn get(&self) -> T {
            self.0.lock().expect("no holder panics").clone()
        }

        pub(crate) fn with<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
            change(&mut self.0.lock().expect("no holder panics"))
        }
    }
}

/// The switches of one stand-in.
#[derive(Debug, Clone, Default)]
pub(crate) struct Switches(Arc<Cell<Faults>>);

impl Switches {
    pub(crate) fn get(&self) -> Faults {
        self.0.get()
    }

    /// Sets the faults that `patch` names and leaves the others.
    pub(crate) fn patch(&self, patch: &serde_json::Value) -> Result<Faults, String> {
        let mut all = serde_json::to_value(self.get()).map_err(|error| error.to_string())?;
        if let (Some(all), Some(patch)) = (all.as_object_mut(), patch.as_object()) {
            all.extend(patch.clone());
        }
        let fresh: Faults = serde_json::from_value(all).map_err(|error| error.to_string())?;
        self.0.with(|faults| *faults = fresh.clone());
        Ok(fresh)
    }

    /// Waits or fails as the switches say, before a request takes effect.
    pub(crate) async fn enter(&self) -> Result<(), poem::Error> {
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

    /// Whether the reply of a request that took effect is to be cut after its first byte.
    pub(crate) fn cuts_reply(&self) -> bool {
        self.0.with(|faults| {
            let cut = faults.cut_replies > 0;
            faults.cut_replies = faults.cut_replies.saturating_sub(1);
            cut
        })
    }

    /// Whether the reply of a request that took effect is to be lost.
    pub(crate) fn loses_reply(&self) -> bool {
        self.0.with(|faults| {
            let lose = faults.lose_replies > 0;
            faults.lose_replies = faults.lose_replies.saturating_sub(1);
            lose
        })
    }
}

/// `POST /faults`.
#[poem::handler]
pub(crate) fn set(
    switches: poem::web::Data<&Switches>,
    patch: poem::web::Json<serde_json::Value>,
) -> poem::Result<poem::web::Json<Faults>> {
    let bad = |reason: String| poem::Error::from_string(reason, StatusCode::BAD_REQUEST);
    switches.patch(&patch.0).map(poem::web::Json).map_err(bad)
}
