//! Prompts that engines keep between the turns of a session, and their release.

use crate::gateway::Gateway;
use crate::gateway::request::job::Job;
use crate::gateway::world::directory::Entry;
use crate::gateway::world::table::Engine;
use crate::platform::headers::{self, Pinned};
use crate::policy::pins::{Pin, Planner, Room, Turn};
use crate::telemetry::event;
use http::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Time limit of a release. Pins end by themselves after a second, so that a later one is of no use.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Releases under way at a time; further pins are left to end by themselves.
const MAX_RELEASES: usize = 16;
/// Longest idle time of a connection that is reused for a release.
const MAX_IDLE: Duration = Duration::from_millis(1500);

/// The pins that this VM has set.
#[derive(Debug, Default)]
pub(crate) struct Pins {
    planner: RefCell<Planner>,
    /// Locations of the pins, by session.
    locations: RefCell<HashMap<u64, Location>>,
    releases: Cell<usize>,
}

impl Pins {
    pub(crate) fn state(&self) -> serde_json::Value {
        self.planner.borrow().state()
    }
}

/// The part of a request's state that concerns pins.
#[derive(Debug, Default)]
pub(crate) struct TurnState {
    /// Set once the turn was counted.
    turn: Cell<Option<Turn>>,
    /// Pin of the turn before, which the start of this one ends.
    before: RefCell<Option<Location>>,
    /// Pin that the engine sets at the end of the run.
    planned: RefCell<Option<Planned>>,
}

/// The engine of a pin, and the prompt part that identifies the pin there.
#[derive(Debug, Clone)]
struct Location {
    server: Arc<Entry>,
    name: String,
}

/// A pin that an attempt has asked for. Dropping it before the run has ended releases it.
#[derive(Debug)]
struct Planned {
    gateway: Rc<Gateway>,
    pin: Option<Pin>,
    location: Location,
}

impl Drop for Planned {
    fn drop(&mut self) {
        if let Some(pin) = self.pin.take() {
            self.gateway.pins.planner.borrow_mut().release(&pin);
            self.gateway.release_pin(self.location.clone(), "not_ended");
        }
    }
}

/// The engine settings of a request whose prompt may be pinned.
fn pinnable(job: &Job) -> Option<Engine> {
    if job.meta.prompt_parts.is_empty() {
        return None;
    }
    let engine = job.engine_settings();
    engine.filter(|engine| !engine.pin_limit.is_zero())
}

/// The turn of a request; `None` if its session is unknown.
fn turn(job: &Job) -> Option<Turn> {
    let meta = &job.meta;
    let session = meta.session.as_ref().or(meta.program.as_ref())?;
    let age_ms = i64::try_from(job.age_ms()).unwrap_or(i64::MAX);
    Some(Turn {
        class: xxh3_64(job.route.name.as_bytes()),
        session: xxh3_64(session.as_bytes()),
        step: meta.prompt_parts.len(),
        tokens: meta.prompt_tokens + meta.output_hint.unwrap_or(meta.max_tokens),
        left_ms: meta.finish_ms.unwrap_or(i64::MAX).saturating_sub(age_ms),
    })
}

/// Decides at the start of an attempt whether its prompt is pinned at its end; returns for how long.
pub(crate) fn plan(job: &Job, server: &Arc<Entry>) -> Option<Duration> {
    let engine = pinnable(job)?;
    let turn = turn(job)?;
    let pins = &job.gateway.pins;
    let state = &job.run.pins;
    // An earlier attempt was refused; its engine has nothing to release.
    discard_planned(job);
    if state.turn.replace(Some(turn)).is_none() {
        let pin = pins.planner.borrow_mut().arrive(job.arrived, &turn);
        let location = pins.locations.borrow_mut().remove(&turn.session);
        state.before.replace(pin.and(location));
    }
    let name = headers::last_prompt_part(&job.headers)?;
    let routing = job.gateway.routing.borrow();
    let room = Room {
        engine_tokens: engine.cache_tokens,
        engines: routing.directory.of_service(&job.service).count(),
        vms: job.gateway.view.borrow().members.len(),
        limit: engine.pin_limit,
    };
    let pin = pins.planner.borrow_mut().plan(&turn, &server.id, &room)?;
    let time = pin.time;
    state.planned.replace(Some(Planned {
        gateway: Rc::clone(&job.gateway),
        pin: Some(pin),
        location: Location {
            server: Arc::clone(server),
            name,
        },
    }));
    Some(time)
}

/// Drops the pin that an attempt has asked for, where its engine has refused the run or is lost.
pub(crate) fn discard_planned(job: &Job) {
    if let Some(mut planned) = job.run.pins.planned.take()
        && let Some(pin) = planned.pin.take()
    {
        job.gateway.pins.planner.borrow_mut().release(&pin);
    }
}

/// Releases the pin of the turn before: this turn has begun, perhaps at another engine.
pub(crate) fn turn_began(job: &Job) {
    let Some(before) = job.run.pins.before.take() else {
        return;
    };
    // The engine ends a pin itself when a request with the same last part begins there.
    let same_engine = job.servers.borrow().last() == Some(&before.server.id);
    let same_prompt = headers::last_prompt_part(&job.headers).as_ref() == Some(&before.name);
    if !(same_engine && same_prompt) {
        job.gateway.release_pin(before, "next_turn");
    }
}

/// Records that the run has ended, so that its prompt is pinned from now on.
pub(crate) fn turn_ended(job: &Job) {
    let state = &job.run.pins;
    let Some(turn) = state.turn.get() else {
        return;
    };
    let pins = &job.gateway.pins;
    let planned = state.planned.take();
    let (pin, location) = planned.map_or((None, None), |mut planned| {
        (planned.pin.take(), Some(planned.location.clone()))
    });
    let mut locations = pins.locations.borrow_mut();
    let replaced = pins
        .planner
        .borrow_mut()
        .end(Instant::now(), turn, pin.clone());
    let refused = replaced.is_some() && replaced == pin;
    let outdated = if refused {
        location.clone()
    } else {
        replaced.and(locations.remove(&turn.session))
    };
    if let (Some(pin), Some(location), false) = (&pin, location, refused) {
        job.gateway.metrics.count_pin("set");
        if job.gateway.sampler.should_log(&job.meta.id) {
            event!(
                info,
                "prompt_pinned",
                id = job.meta.id,
                server = pin.engine,
                pin_ms = pin.time.as_millis(),
                tokens = pin.tokens
            );
        }
        locations.insert(turn.session, location);
    }
    drop(locations);
    if let Some(outdated) = outdated {
        job.gateway.release_pin(outdated, "replaced");
    }
}

/// Releases the pin of a session that was given up or refused for good.
pub(crate) fn session_ended(job: &Job, reason: &'static str) {
    if pinnable(job).is_none() {
        return;
    }
    let state = &job.run.pins;
    let pins = &job.gateway.pins;
    let mut released = state.before.take();
    if let Some(turn) = turn(job) {
        let pin = pins.planner.borrow_mut().end_session(turn.session);
        let location = pins.locations.borrow_mut().remove(&turn.session);
        released = released.or(pin.and(location));
    }
    if let Some(released) = released {
        job.gateway.release_pin(released, reason);
    }
}

impl Gateway {
    /// Forgets the locations of pins that have expired.
    pub(crate) fn sweep_pins(&self) {
        let planner = self.pins.planner.borrow();
        let mut locations = self.pins.locations.borrow_mut();
        locations.retain(|session, _| planner.has_pin(*session));
    }

    fn release_pin(self: &Rc<Self>, pin: Location, reason: &'static str) {
        let releases = &self.pins.releases;
        if releases.get() >= MAX_RELEASES {
            self.metrics.count_pin("left_to_expire");
            return;
        }
        releases.set(releases.get() + 1);
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let answer = timeout(RELEASE_TIMEOUT, gateway.send_release(&pin)).await;
            let outcome = match answer {
                Ok(true) => "released",
                Ok(false) | Err(_) => "release_failed",
            };
            gateway.metrics.count_pin(outcome);
            if gateway.sampler.should_log(&pin.name) {
                event!(
                    info,
                    "pin_released",
                    server = pin.server.id,
                    prompt = pin.name,
                    reason = reason,
                    outcome = outcome
                );
            }
            let releases = &gateway.pins.releases;
            releases.set(releases.get() - 1);
        });
    }

    async fn send_release(&self, pin: &Location) -> bool {
        let Some(request) = headers::release_request(&Pinned {
            name: &pin.name,
            server: &pin.server.name,
            address: pin.server.address,
        }) else {
            return false;
        };
        let answer = self.call_engine(&pin.server, request, MAX_IDLE).await;
        answer.is_some_and(|(status, _)| status.is_success() || status == StatusCode::NOT_FOUND)
    }
}
