//! Reads a request and finds its route, or says why it goes no further.

use super::identify::{claim, identify};
use super::job::Job;
use crate::code::{Code, Failure};
use crate::conversation;
use crate::gateway::Gateway;
use crate::gateway::conversation::MAX_INPUT_BYTES;
use crate::gateway::world::table::Route;
use crate::platform::headers::{self, Meta};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// How long a caller waits that does not say so.
const WAIT: Duration = Duration::from_secs(30);
/// When a caller may come back to a VM that does not know the configuration yet. It is known 20 ms
/// after the start where the store answers; where it does not, callers that come back a few times
/// only should still be there after an outage of some seconds.
const NOT_READY: Duration = Duration::from_millis(900);
/// What is left for the answer to reach the caller before it stops waiting.
const WAY: Duration = Duration::from_millis(15);
/// When a caller may come back that had better begin again.
const AT_ONCE: Duration = Duration::from_millis(50);

/// Reads the request and finds its route.
pub(super) async fn admit(
    gateway: &Rc<Gateway>,
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
    let table = gateway.world.borrow().table.clone();
    let Some(table) = table else {
        let failure = Failure::refused(Code::NotReady, "no configuration is known yet");
        return Err(failure.retry_after(NOT_READY));
    };
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()) else {
        return Err(no_route(gateway));
    };
    let team = identify(gateway, &table, route, &mut parts.headers)?;
    claim(&mut meta, &table, team.as_deref());
    let wait = meta.timeout.unwrap_or(WAIT).saturating_sub(WAY);
    let deadline = arrived + wait.min(route.timeout);
    let limit = table.request_limits.max_body_bytes;
    let body = timeout_at(deadline, Limited::new(body, limit).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Failure::refused(
                Code::TooLarge,
                "the body is larger than the limit",
            ));
        }
        Ok(Err(_)) => return Err(Failure::refused(Code::BadBody, "the body was cut short")),
        Err(_) => {
            return Err(Failure::refused(
                Code::DeadlinePassed,
                "the body came too late",
            ));
        }
    };
    let prev = prev_turn(route, &meta, &body)?;
    let draw = xxh3_64(meta.program.as_deref().unwrap_or(&meta.id).as_bytes());
    let Some(service) = route.pick_service(draw) else {
        return Err(Failure::refused(Code::NoServer, "the route leads nowhere"));
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
        body: RefCell::new(body),
        prev,
        arrived,
        deadline,
        allowance: RefCell::new(None),
        servers: RefCell::default(),
        waited: Cell::default(),
        allowed: Cell::default(),
        limited: Cell::default(),
        assembled: Cell::default(),
        kept: Cell::default(),
        sent: Cell::new(false),
        told: Cell::new(false),
        events: Cell::new(0),
    })
}

/// The turn that a request goes on from, where its route keeps turns.
fn prev_turn(
    route: &Route,
    meta: &Meta,
    input: &Bytes,
) -> Result<Option<conversation::Id>, Failure> {
    if !route.stores_history {
        return Ok(None);
    }
    if meta.last_event.is_some() {
        // The caller has the first part of an answer that left no turn; what comes now would be half
        // of one. From its start it is a turn.
        let failure = Failure::refused(Code::HistoryAway, "a kept turn begins at its first event");
        return Err(failure.retry_after(AT_ONCE));
    }
    if input.len() > MAX_INPUT_BYTES {
        let failure = Failure::refused(Code::TooLarge, "the turn is larger than can be kept");
        return Err(failure);
    }
    let Some(prev) = &meta.prev_turn else {
        return Ok(None);
    };
    let malformed = |_| Failure::refused(Code::UnknownTurn, "no turn has such an identity");
    prev.parse().map(Some).map_err(malformed)
}

fn no_route(gateway: &Gateway) -> Failure {
    // A route may have been added since; a 404 would end the caller's program.
    behind(gateway).unwrap_or_else(|| Failure::refused(Code::UnknownRoute, "no route leads there"))
}

/// What is answered in place of a refusal for good where the configuration may be out of date.
pub(super) fn behind(gateway: &Gateway) -> Option<Failure> {
    gateway.is_behind().then(|| {
        let failure = Failure::refused(Code::NotReady, "the configuration may be out of date");
        failure.retry_after(NOT_READY)
    })
}
