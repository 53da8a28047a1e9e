//! Validates a request, reads its body and finds its route, team and service.

use super::identify::{identify, scope_names};
use super::job::Job;
use crate::code::{Code, Failure};
use crate::conversation;
use crate::gateway::Gateway;
use crate::gateway::conversation::MAX_INPUT_BYTES;
use crate::gateway::server::continuation::RunState;
use crate::gateway::world::table::Route;
use crate::intake::{Kind, Link, ReadError, Shortage, read_body};
use crate::platform::headers::{self, Meta};
use crate::segments::Segments;
use http::{Request, header};
use hyper::body::Incoming;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// `Retry-After` while no current configuration is known. Long enough that a few retries span a
/// short store outage. It is known 20 ms after the start where the store answers.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(900);
/// Part of the caller's timeout reserved for the response to reach it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// `Retry-After` for a caller that must request a stream again from its first event.
const RESTART_RETRY_AFTER: Duration = Duration::from_millis(50);

pub(super) async fn admit(
    gateway: &Rc<Gateway>,
    link: &Link,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Job, Failure> {
    let (mut parts, body) = request.into_parts();
    if headers::has_ambiguous_framing(&parts.headers) {
        return Err(Failure::refused(
            Code::BadBody,
            "the length of the body is ambiguous",
        ));
    }
    let mut meta = Meta::of(&parts.headers);
    let table = gateway.routing.borrow().table.clone();
    let Some(table) = table else {
        let failure = Failure::refused(Code::NotReady, "no configuration has been loaded yet");
        return Err(failure.retry_after(NOT_READY_RETRY_AFTER));
    };
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()) else {
        return Err(unknown_route(gateway));
    };
    let team = identify(gateway, &table, route, &mut parts.headers)?;
    scope_names(&mut meta, &table, team.as_deref());
    let timeout = meta
        .timeout
        .unwrap_or(DEFAULT_TIMEOUT)
        .saturating_sub(RESPONSE_MARGIN);
    let deadline = arrived + timeout.min(route.timeout);
    link.set_deadline(deadline);
    let mut limit = table.request_limits.max_body_bytes;
    if route.stores_history {
        limit = limit.min(MAX_INPUT_BYTES);
    }
    let body = read_body(&gateway.intake, link, Kind::Body, body, limit, deadline).await;
    let body = body.map_err(read_failure)?;
    let prev_turn = parse_prev_turn(route, &meta, &body)?;
    let selector = xxh3_64(meta.program.as_deref().unwrap_or(&meta.id).as_bytes());
    let Some(service) = route.pick_service(selector) else {
        return Err(Failure::refused(
            Code::NoServer,
            "the route has no target service",
        ));
    };
    let engine = table
        .services
        .get(service)
        .and_then(|service| service.engine.as_ref());
    Ok(Job {
        gateway: Rc::clone(gateway),
        service: service.into(),
        tokens_per_event: engine.map_or(0, |engine| engine.tokens_per_event),
        team,
        route: Arc::clone(route),
        version: table.version,
        meta,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        input: body.clone(),
        content: OnceCell::new(),
        body: RefCell::new(body),
        prev_turn,
        prompt_charge: RefCell::default(),
        expiring_turns: RefCell::default(),
        extension: RefCell::default(),
        arrived,
        deadline,
        allowance: RefCell::new(None),
        servers: RefCell::default(),
        queue_time: Cell::default(),
        reservation_time: Cell::default(),
        limit_time: Cell::default(),
        history_time: Cell::default(),
        turn_save_time: Cell::default(),
        may_have_run: Cell::new(false),
        end_recorded: Cell::new(false),
        events_relayed: Cell::new(0),
        stream_version: RefCell::default(),
        run_number: rand::random(),
        attempted: RefCell::default(),
        granted: Cell::new(None),
        run: RunState::default(),
    })
}

fn read_failure(error: ReadError) -> Failure {
    match error {
        ReadError::TooLarge => {
            Failure::refused(Code::TooLarge, "the body is larger than the limit")
        }
        ReadError::EndedEarly => Failure::refused(Code::BadBody, "the request body ended early"),
        ReadError::Late => Failure::refused(
            Code::DeadlinePassed,
            "the request body did not arrive before the deadline",
        ),
        ReadError::NoRoom(shortage) => no_room(shortage),
    }
}

/// The refusal of a request for which there is no memory.
pub(super) fn no_room(shortage: Shortage) -> Failure {
    let failure = Failure::refused(Code::NoRoom, shortage.to_string());
    failure.retry_after(shortage.retry_after)
}

/// The previous turn named by the request, where the route stores turns.
fn parse_prev_turn(
    route: &Route,
    meta: &Meta,
    input: &Segments,
) -> Result<Option<conversation::Id>, Failure> {
    if !route.stores_history {
        return Ok(None);
    }
    if meta.last_event.is_some() {
        // Resuming would store only the second part of the response as the turn.
        let failure = Failure::refused(
            Code::HistoryAway,
            "a stored turn can't be resumed; request it from its first event",
        );
        return Err(failure.retry_after(RESTART_RETRY_AFTER));
    }
    if input.len() > MAX_INPUT_BYTES {
        let failure = Failure::refused(Code::TooLarge, "the turn is too large to store");
        return Err(failure);
    }
    let Some(prev_turn) = &meta.prev_turn else {
        return Ok(None);
    };
    let malformed = |_| {
        Failure::refused(
            Code::UnknownTurn,
            "the ID of the previous turn is malformed",
        )
    };
    prev_turn.parse().map(Some).map_err(malformed)
}

fn unknown_route(gateway: &Gateway) -> Failure {
    // A stale configuration may lack a new route, and callers do not retry a 404.
    stale_config_failure(gateway).unwrap_or_else(|| {
        Failure::refused(Code::UnknownRoute, "no route matches the host and path")
    })
}

/// A retryable failure if the configuration may be out of date, instead of a permanent refusal.
pub(super) fn stale_config_failure(gateway: &Gateway) -> Option<Failure> {
    gateway.config_may_be_stale().then(|| {
        let failure = Failure::refused(Code::NotReady, "the configuration may be out of date");
        failure.retry_after(NOT_READY_RETRY_AFTER)
    })
}
