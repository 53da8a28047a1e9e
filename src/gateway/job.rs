//! One request on its way: what it is, how long it has, and what is known of its fate.

use super::Gateway;
use super::keeper::Allowance;
use super::table::Route;
use crate::platform::headers::Meta;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) meta: Meta,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    /// The version of the configuration that routed it.
    pub(crate) version: u64,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Instant,
    /// When it gets its final answer at the latest.
    pub(crate) deadline: Instant,
    /// Tokens of one event, where its service generates them.
    pub(crate) tokens_per_event: u64,
    /// What the program allows this turn to generate.
    pub(crate) allowance: RefCell<Option<Allowance>>,
    /// Whether a server may have run it.
    pub(crate) sent: Cell<bool>,
    /// Events that were passed on to the caller.
    pub(crate) events: Cell<u64>,
}

impl Job {
    /// What is left of its time.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// How long ago it arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Drop for Job {
    /// However it ended, what was not handed out is the program's again.
    fn drop(&mut self) {
        let Some(allowance) = self.allowance.take() else {
            return;
        };
        let used = self.events.get() * self.tokens_per_event;
        let gateway = Rc::clone(&self.gateway);
        tokio::task::spawn_local(async move { gateway.settle(allowance, used).await });
    }
}
