//! One request on its way: what it is, how long it has, and what is known of its fate.

use crate::conversation;
use crate::gateway::Gateway;
use crate::gateway::tokens::partitions::Grant;
use crate::gateway::world::directory::Instance;
use crate::gateway::world::table::Route;
use crate::gateway::world::team::Team;
use crate::platform::headers::Meta;
use crate::telemetry::event;
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
    /// The team whose key it carries.
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    /// The version of the configuration that routed it.
    pub(crate) version: u64,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// What the caller sent.
    pub(crate) input: Bytes,
    /// What a server gets: the input, after what was said before where the system keeps that.
    pub(crate) body: RefCell<Bytes>,
    /// The turn that it goes on from, where the system keeps turns.
    pub(crate) prev: Option<conversation::Id>,
    pub(crate) arrived: Instant,
    /// When it gets its final answer at the latest.
    pub(crate) deadline: Instant,
    /// Tokens of one event, where its service generates them.
    pub(crate) tokens_per_event: u64,
    /// What the program allows this turn to generate.
    pub(crate) allowance: RefCell<Option<Grant>>,
    /// The servers that it was sent to, in this order.
    pub(crate) servers: RefCell<Vec<Instance>>,
    /// How long it waited for places at servers.
    pub(crate) waited: Cell<Duration>,
    /// How long it waited for leave to generate tokens.
    pub(crate) allowed: Cell<Duration>,
    /// How long it waited for its team's limit.
    pub(crate) limited: Cell<Duration>,
    /// How long it waited for what was said before.
    pub(crate) assembled: Cell<Duration>,
    /// How long its end waited for its turn to be kept.
    pub(crate) kept: Cell<Duration>,
    /// Whether a server may have run it.
    pub(crate) sent: Cell<bool>,
    /// Whether its end was told.
    pub(crate) told: Cell<bool>,
    /// Events that were passed on to the caller.
    pub(crate) events: Cell<u64>,
}

impl Job {
    /// What is left of its time.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The name of its team, as servers get it.
    pub(crate) fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| &*team.name)
    }

    /// Its rank: its team's, or else its route's.
    pub(crate) fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        team.unwrap_or(self.route.rank)
    }

    /// How long ago it arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Tells how the request ended: a status, or why it was cut.
    pub(crate) fn ended(&self, result: &str, good: bool) {
        self.told.set(true);
        let gateway = &self.gateway;
        let total = self.arrived.elapsed();
        gateway
            .metrics
            .answered(self.route.kind.name(), result.to_owned(), total);
        gateway.metrics.waited(self.waited.get());
        if good && !gateway.sampler.takes(&self.meta.id) {
            return;
        }
        let allowance = self.allowance.borrow();
        event!(
            info,
            "request_ended",
            id = self.meta.id,
            result = result,
            team = self.team_name().unwrap_or_default(),
            route = self.route.name,
            kind = self.route.kind,
            config = self.version,
            service = self.service,
            servers = self.servers.borrow().join(","),
            program = self.meta.program.as_deref().unwrap_or_default(),
            turn = allowance.as_ref().map_or(0, |allowance| allowance.turns),
            parts = self.meta.prompt_parts.len(),
            events = self.events.get(),
            waited_ms = self.waited.get().as_millis(),
            allowed_ms = self.allowed.get().as_millis(),
            limited_ms = self.limited.get().as_millis(),
            prev = self.prev.as_ref().map_or("", conversation::Id::as_str),
            history_ms = self.assembled.get().as_millis(),
            kept_ms = self.kept.get().as_millis(),
            total_ms = total.as_millis(),
            limit_ms = self
                .deadline
                .saturating_duration_since(self.arrived)
                .as_millis()
        );
    }
}

impl Drop for Job {
    /// However it ended, what was not handed out is the program's again.
    fn drop(&mut self) {
        if !self.told.get() {
            self.ended("caller_left", false);
        }
        let Some(allowance) = self.allowance.take() else {
            return;
        };
        let used = self.events.get() * self.tokens_per_event;
        let gateway = Rc::clone(&self.gateway);
        tokio::task::spawn_local(async move { gateway.settle_tokens(allowance, used).await });
    }
}
