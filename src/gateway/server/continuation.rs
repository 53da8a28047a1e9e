//! Copies of runs at a second engine, and runs that continue there after their engine was lost.

use crate::gateway::Gateway;
use crate::gateway::request::job::Job;
use crate::gateway::server::attempt::{AttemptResult, Stream, attempt_at};
use crate::gateway::server::event::EventBatch;
use crate::gateway::server::pinning::{self, TurnState};
use crate::gateway::world::directory::{Directory, Entry};
use crate::platform::headers::{CopyOf, RunHeaders};
use crate::policy::backup::{Candidate, Copy, Planner, Run, Skip};
use crate::policy::dispatch::Load;
use crate::telemetry::event;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two events after which a run with a copy is continued elsewhere. A host that loses power closes no
/// connection, and callers abandon a stream after 2 s without an event.
const STALL_LIMIT: Duration = Duration::from_secs(1);

/// The copies of the runs whose streams this VM serves.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    planner: RefCell<Planner>,
}

impl Copies {
    pub(crate) fn state(&self) -> serde_json::Value {
        self.planner.borrow().state(Instant::now())
    }
}

/// The part of a request's state that concerns copies of its run.
#[derive(Debug, Default)]
pub(crate) struct RunState {
    /// Set from the first attempt on, where runs may be copied.
    counted: RefCell<Option<Counted>>,
    continuations: Cell<u32>,
    pub(crate) pins: TurnState,
    /// Whether a move was begun; each run is moved once at most.
    pub(crate) moved: Cell<bool>,
}

/// A run counted by the planner. Dropping it ends the count.
#[derive(Debug)]
struct Counted {
    gateway: Rc<Gateway>,
    copy: Option<(Copy, Arc<Entry>)>,
    /// The engine of the run.
    server: Arc<Entry>,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let copy = self.copy.as_ref().map(|(copy, _)| copy);
        self.gateway.copies.planner.borrow_mut().end(copy);
    }
}

impl RunState {
    fn has_copy(&self) -> bool {
        let counted = self.counted.borrow();
        counted.as_ref().is_some_and(|run| run.copy.is_some())
    }

    /// Removes the copy from the run, to continue from it.
    fn take_copy(&self) -> Option<(Copy, Arc<Entry>)> {
        let mut counted = self.counted.borrow_mut();
        let run = counted.as_mut()?;
        let taken = run.copy.take()?;
        run.gateway.copies.planner.borrow_mut().release(&taken.0);
        Some(taken)
    }
}

/// Longest pause between two events; `None` if the run could not continue elsewhere. `last_event` is the ID of the
/// last event that the caller has.
pub(crate) fn stall_limit(job: &Job, last_event: Option<u64>) -> Option<Duration> {
    let can_continue =
        job.run.has_copy() && allows_another(job) && is_position_known(job, last_event);
    can_continue.then_some(STALL_LIMIT)
}

/// Whether an engine can tell from `last_event` which events the caller has.
fn is_position_known(job: &Job, last_event: Option<u64>) -> bool {
    job.events_relayed.get() == 0 || last_event.is_some()
}

/// Ends the count of a run that its engine has finished. Its copy no longer exists, though the turn may not be stored.
pub(crate) fn run_ended(job: &Job) {
    drop(job.run.counted.take());
}

/// Whether the run may be copied, and the memory of an engine in tokens if it may.
fn copyable(job: &Job) -> Option<u64> {
    if !job.gateway.settings.run_copies || job.route.attempts < 2 {
        return None;
    }
    let engine = job.engine_settings().filter(|engine| engine.backups)?;
    Some(engine.cache_tokens)
}

/// Decides at the start of an attempt whether its run is copied; returns the address of the second engine.
pub(crate) fn plan(job: &Job, server: &Arc<Entry>) -> Option<SocketAddr> {
    // An earlier attempt was refused, so its copy is void, even where the configuration no longer allows copies.
    let earlier = job.run.counted.take();
    let engine_tokens = copyable(job)?;
    let stage = match earlier {
        None => Stage::First,
        Some(refused) => Stage::Repeated {
            copied: refused.copy.is_some(),
        },
    };
    let decision = decide(job, server, engine_tokens, stage);
    let target = decision.as_ref().map(|(_, entry)| entry.address).ok();
    job.run.counted.replace(Some(Counted {
        gateway: Rc::clone(&job.gateway),
        copy: decision.ok(),
        server: Arc::clone(server),
    }));
    target
}

/// What an attempt is to its run.
#[derive(Debug, Clone, Copy)]
enum Stage {
    First,
    /// The engine of the attempt before refused the run.
    Repeated {
        copied: bool,
    },
    /// The run continues from a copy.
    Continued,
}

/// Chooses the engine that holds the copy of a run.
fn decide(
    job: &Job,
    server: &Entry,
    engine_tokens: u64,
    stage: Stage,
) -> Result<(Copy, Arc<Entry>), Skip> {
    let directory = Arc::clone(&job.gateway.routing.borrow().directory);
    let candidates = candidates(&directory, &job.service, &server.version);
    let run = describe(job, server, engine_tokens);
    let now = Instant::now();
    let mut planner = job.gateway.copies.planner.borrow_mut();
    let decision = match stage {
        Stage::First => planner.start(now, &run, candidates),
        Stage::Repeated { copied } => planner.restart(now, &run, copied, candidates),
        Stage::Continued => planner.renew(now, &run, candidates),
    };
    drop(planner);
    let verdict = match &decision {
        Ok(_) => "ordered",
        Err(skip) => skip.name(),
    };
    job.gateway.metrics.count_copy(verdict);
    let copy = decision?;
    let Some(entry) = directory.get(&copy.target) else {
        return Err(Skip::NoTarget);
    };
    if job.gateway.sampler.should_log(&job.meta.id) {
        event!(
            info,
            "run_copied",
            id = job.meta.id,
            server = server.id,
            target = copy.target,
            tokens = copy.tokens
        );
    }
    Ok((copy, Arc::clone(entry)))
}

/// The engines that a run may continue at: its memory fits only the software version that wrote it.
fn candidates<'a>(
    directory: &'a Directory,
    service: &'a str,
    version: &'a str,
) -> impl Iterator<Item = Candidate<'a>> {
    let servers = directory.of_service(service);
    let same_version = servers.filter(move |entry| *entry.version == *version);
    same_version.map(|entry| Candidate {
        id: &entry.id,
        address: entry.address,
        zone: &entry.zone,
        draining: entry.draining,
    })
}

fn describe<'a>(job: &'a Job, server: &'a Entry, engine_tokens: u64) -> Run<'a> {
    let meta = &job.meta;
    Run {
        id: &meta.id,
        prompt_tokens: meta.prompt_tokens,
        output_tokens: meta.output_hint.unwrap_or(meta.max_tokens),
        left_ms: job.left_ms(),
        waited: job.queue_time.get(),
        engine_tokens,
        address: server.address,
        zone: &server.zone,
    }
}

/// Whether the run may continue at one more engine.
pub(crate) fn allows_another(job: &Job) -> bool {
    job.run.continuations.get() + 1 < job.route.attempts
}

/// Records that a run continues at an engine with its moved memory, which may be another one.
pub(crate) fn record_moved(job: &Job, entry: &Arc<Entry>, is_other: bool) {
    pinning::discard_planned(job);
    let continuations = job.run.continuations.get() + u32::from(is_other);
    job.run.continuations.set(continuations);
    if let Some(run) = &mut *job.run.counted.borrow_mut() {
        run.server = Arc::clone(entry);
    }
}

/// The engine that a run may move to.
pub(crate) fn move_target(job: &Job, server: &Entry, directory: &Directory) -> Option<Arc<Entry>> {
    let run = describe(job, server, 0);
    let planner = job.gateway.copies.planner.borrow();
    let candidates = candidates(directory, &job.service, &server.version);
    let target = planner.target(Instant::now(), &run, candidates)?;
    directory.get(&target).cloned()
}

/// Records what an attempt showed about its engine.
pub(crate) fn note_attempt(job: &Job, server: &Arc<Entry>, result: &AttemptResult) {
    if job.run.counted.borrow().is_none() {
        return;
    }
    let full =
        |load: Option<Load>| load.is_some_and(|load| load.running + load.waiting >= server.slots);
    let mut planner = job.gateway.copies.planner.borrow_mut();
    let now = Instant::now();
    match result {
        AttemptResult::Unreachable | AttemptResult::OutcomeUnknown(_) => {
            planner.note_failure(now, &server.id);
        }
        AttemptResult::NotRun(_) => planner.note_full(now, &server.id),
        AttemptResult::Stream(stream) if full(stream.source.load) => {
            planner.note_full(now, &server.id);
        }
        AttemptResult::Stream(_) | AttemptResult::Response(_) => {}
    }
}

/// The engine of a run that is counted by the planner.
pub(crate) fn current_server(job: &Job) -> Option<Arc<Entry>> {
    let run = job.run.counted.borrow();
    run.as_ref().map(|run| Arc::clone(&run.server))
}

/// Records that the engine of a run broke its stream off.
pub(crate) fn note_broken(job: &Job) {
    if let Some(run) = &*job.run.counted.borrow() {
        let mut planner = job.gateway.copies.planner.borrow_mut();
        planner.note_failure(Instant::now(), &run.server.id);
    }
}

/// Continues a run from its copy after `reason` ended it at its engine; `None` if it has none or that failed.
///
/// The connection to the first engine must be closed, so that the run is never at work twice.
pub(crate) async fn continue_run(
    job: &Job,
    reason: &'static str,
    last_event: Option<u64>,
) -> Option<Stream> {
    if !is_position_known(job, last_event) {
        return None;
    }
    while let Some((copy, entry)) = job.run.take_copy() {
        if !allows_another(job) {
            return None;
        }
        let continuations = job.run.continuations.get() + 1;
        job.run.continuations.set(continuations);
        pinning::discard_planned(job);
        job.servers.borrow_mut().push(Arc::clone(&entry.id));
        let from = job.run.counted.borrow().as_ref()?.server.id.clone();
        let backup = plan_next(job, &entry, continuations);
        let headers = RunHeaders {
            last_event,
            backup,
            pin: None,
            copy_of: Some(CopyOf {
                holder: entry.address,
                id: &job.meta.id,
            }),
        };
        let result = attempt_at(job, &entry, &headers).await;
        let outcome = match &result {
            AttemptResult::Stream(_) => "continued",
            AttemptResult::Response(_) => "other_answer",
            AttemptResult::NotRun(_) => "no_copy",
            AttemptResult::OutcomeUnknown(reason) => reason,
            AttemptResult::Unreachable => "unreachable",
        };
        job.gateway.metrics.count_continued_run(outcome);
        event!(
            info,
            "run_continued",
            id = job.meta.id,
            from = from,
            server = copy.target,
            after = reason,
            last = last_event.unwrap_or_default(),
            events = job.events_relayed.get(),
            outcome = outcome,
            age_ms = job.age_ms()
        );
        match result {
            AttemptResult::Stream(stream) => return Some(*stream),
            // The run may have gone on at the second engine, which may have copied it further.
            AttemptResult::OutcomeUnknown(_) => {}
            AttemptResult::Response(_) | AttemptResult::NotRun(_) | AttemptResult::Unreachable => {
                return None;
            }
        }
    }
    None
}

/// Makes the holder of the copy the engine of the run, and asks for a further copy if another attempt is allowed.
fn plan_next(job: &Job, entry: &Arc<Entry>, continuations: u32) -> Option<SocketAddr> {
    if let Some(run) = &mut *job.run.counted.borrow_mut() {
        run.server = Arc::clone(entry);
    }
    if continuations + 1 >= job.route.attempts {
        return None;
    }
    let engine_tokens = copyable(job)?;
    let (copy, target) = decide(job, entry, engine_tokens, Stage::Continued).ok()?;
    let address = target.address;
    if let Some(run) = &mut *job.run.counted.borrow_mut() {
        run.copy = Some((copy, target));
    }
    Some(address)
}

/// The event IDs that were passed to the caller.
#[derive(Debug, Default)]
pub(crate) struct Sequence {
    first: Option<u64>,
    last: Option<u64>,
    events: u64,
    /// Whether the run was continued, so that events may come twice.
    continued: bool,
}

/// Events are missing between those before and after a continuation.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Gap;

impl Sequence {
    /// Prepares for the events of a continued run.
    pub(crate) const fn continue_run(&mut self) {
        self.continued = true;
    }

    /// Returns the events of a batch that the caller does not have; `None` if it has all.
    pub(crate) fn accept(&mut self, batch: EventBatch) -> Result<Option<EventBatch>, Gap> {
        let batch = if self.continued {
            match self.without_repeats(batch)? {
                Some(batch) => batch,
                None => return Ok(None),
            }
        } else {
            batch
        };
        if self.first.is_none() {
            self.first = batch.ids().next().flatten();
        }
        self.last = batch.last_id.or(self.last);
        self.events += batch.events;
        Ok(Some(batch))
    }

    fn without_repeats(&mut self, mut batch: EventBatch) -> Result<Option<EventBatch>, Gap> {
        let Some(last) = self.last else {
            self.continued = false;
            return Ok(Some(batch));
        };
        let repeats = batch.ids().take_while(|id| id.is_some_and(|id| id <= last));
        let repeats = repeats.count() as u64;
        batch.drop_first(repeats);
        let Some(next) = batch.ids().next() else {
            return Ok(None);
        };
        self.continued = false;
        if self.is_consecutive() && next != Some(last.wrapping_add(1)) {
            return Err(Gap);
        }
        Ok(Some(batch))
    }

    /// Whether the events so far show that IDs grow by one.
    fn is_consecutive(&self) -> bool {
        let (Some(first), Some(last)) = (self.first, self.last) else {
            return false;
        };
        let ids = last.checked_sub(first).and_then(|ids| ids.checked_add(1));
        ids == Some(self.events) && (self.events > 1 || first <= 1)
    }
}
