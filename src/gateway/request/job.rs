//! State of one in-flight request: its input, deadline, timings and result.

use crate::conversation::{self, Turn};
use crate::gateway::Gateway;
use crate::gateway::conversation::Extension;
use crate::gateway::server::continuation::RunState;
use crate::gateway::server::exposure::Attempted;
use crate::gateway::tokens::partitions::Grant;
use crate::gateway::world::directory::Instance;
use crate::gateway::world::table::{Engine, Kind, Route};
use crate::gateway::world::team::Team;
use crate::id::ContentHash;
use crate::intake::Charge;
use crate::platform::headers::Meta;
use crate::policy::server_ends::{Run, ServerHash};
use crate::segments::Segments;
use crate::telemetry::event;
use http::{HeaderMap, Method, Uri};
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An in-flight request of a caller.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) meta: Meta,
    /// Team that holds the request's API key; `None` without configured teams, or on a public route without a valid key.
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    /// Version of the configuration that selected the route.
    pub(crate) version: u64,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// Body as the caller sent it.
    pub(crate) input: Segments,
    /// See [`Job::content`].
    pub(super) content: OnceCell<ContentHash>,
    /// Body sent to the server: the input, preceded by the conversation history where turns are stored.
    pub(crate) body: RefCell<Segments>,
    /// Memory of the part of the history that the body does not share with others.
    pub(crate) prompt_charge: RefCell<Option<Charge>>,
    /// Previous turn of the conversation, where the route stores turns.
    pub(crate) prev_turn: Option<conversation::Id>,
    /// Earlier turns of the conversation whose retention may be too short when this one ends.
    pub(crate) expiring_turns: RefCell<Vec<Rc<Turn>>>,
    /// The extension of their retention, once the response has begun.
    pub(crate) extension: RefCell<Option<Rc<Extension>>>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Tokens in one event of the response; 0 where the service generates none.
    pub(crate) tokens_per_event: u64,
    /// Grant for the tokens that this turn may generate, from the token budget of its program.
    pub(crate) allowance: RefCell<Option<Grant>>,
    /// Servers that the request was assigned to, in order, including those that its run continued at.
    pub(crate) servers: RefCell<Vec<Instance>>,
    /// Time spent in queues for backend servers.
    pub(crate) queue_time: Cell<Duration>,
    /// Time spent on the token reservation.
    pub(crate) reservation_time: Cell<Duration>,
    /// Time spent on the team's rate limit, including the delay that it imposed.
    pub(crate) limit_time: Cell<Duration>,
    /// Time spent loading the conversation history.
    pub(crate) history_time: Cell<Duration>,
    /// Time for which the end of the response was held back while the turn was saved.
    pub(crate) turn_save_time: Cell<Duration>,
    /// Whether a server may have run the request.
    pub(crate) may_have_run: Cell<bool>,
    /// Whether the end was already logged and counted.
    pub(crate) end_recorded: Cell<bool>,
    /// Events of the response passed to the caller.
    pub(crate) events_relayed: Cell<u64>,
    /// Software version of the server that began the stream, once that is known.
    pub(crate) stream_version: RefCell<Option<Arc<str>>>,
    /// Identifies this try of its caller in the ledger of attempts.
    pub(crate) run_number: Run,
    /// The attempt under way, which has no whole answer yet.
    pub(crate) attempted: RefCell<Option<Attempted>>,
    /// VM whose queue granted the last slot, unless that is this one, and the server.
    pub(crate) granted: Cell<Option<(SocketAddr, ServerHash)>>,
    /// Copies, moves and pins of its run.
    pub(crate) run: RunState,
}

impl Job {
    /// Time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn team_name(&self) -> Option<&str> {
        self.team.as_ref().map(|team| &*team.name)
    }

    /// Priority rank: the team's, or else the route's.
    pub(crate) fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        team.unwrap_or(self.route.rank)
    }

    pub(crate) fn age_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Milliseconds until its program misses its target, or the route's where the caller gave none; negative if it
    /// has.
    pub(crate) fn left_ms(&self) -> i64 {
        let age_ms = i64::try_from(self.age_ms()).unwrap_or(i64::MAX);
        let target_ms = i64::try_from(self.route.latency_target.as_millis()).unwrap_or(i64::MAX);
        let finish_ms = self.meta.finish_ms.unwrap_or(target_ms);
        finish_ms.saturating_sub(age_ms)
    }

    /// Settings of its engines; `None` if its response is not a stream of an engine, or is one that callers resume by
    /// themselves.
    pub(crate) fn engine_settings(&self) -> Option<Engine> {
        if self.route.kind != Kind::Stream || self.route.resumable {
            return None;
        }
        let routing = self.gateway.routing.borrow();
        let services = &routing.table.as_ref()?.services;
        services.get(&*self.service)?.engine
    }

    /// Logs and counts the end of the request; `result` is an HTTP status or the reason for the abort.
    pub(crate) fn record_end(&self, result: &str, succeeded: bool) {
        self.end_recorded.set(true);
        let gateway = &self.gateway;
        let total = self.arrived.elapsed();
        gateway
            .metrics
            .record_response(self.route.kind.name(), result.to_owned(), total);
        gateway.metrics.record_slot_wait(self.queue_time.get());
        if succeeded && !gateway.sampler.should_log(&self.meta.id) {
            return;
        }
        let grant = self.allowance.borrow();
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
            turn = grant.as_ref().map_or(0, |grant| grant.turns),
            parts = self.meta.prompt_parts.len(),
            events = self.events_relayed.get(),
            waited_ms = self.queue_time.get().as_millis(),
            allowed_ms = self.reservation_time.get().as_millis(),
            limited_ms = self.limit_time.get().as_millis(),
            prev = self.prev_turn.as_ref().map_or("", conversation::Id::as_str),
            history_ms = self.history_time.get().as_millis(),
            kept_ms = self.turn_save_time.get().as_millis(),
            total_ms = total.as_millis(),
            limit_ms = self
                .deadline
                .saturating_duration_since(self.arrived)
                .as_millis(),
            content = self.content()
        );
    }
}

impl Drop for Job {
    /// Returns unused tokens to the token budget of the program.
    fn drop(&mut self) {
        if !self.end_recorded.get() {
            self.record_end("caller_left", false);
        }
        self.drop_attempt();
        let Some(grant) = self.allowance.take() else {
            return;
        };
        let used_tokens = self.events_relayed.get() * self.tokens_per_event;
        let gateway = Rc::clone(&self.gateway);
        tokio::task::spawn_local(async move { gateway.settle_tokens(grant, used_tokens).await });
    }
}
