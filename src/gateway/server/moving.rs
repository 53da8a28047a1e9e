//! Moves of runs off an engine that is draining.

use crate::gateway::Gateway;
use crate::gateway::request::job::Job;
use crate::gateway::server::attempt::{AttemptResult, Stream, attempt_at};
use crate::gateway::server::continuation;
use crate::gateway::world::directory::Entry;
use crate::platform::headers::{self, CopyOf, Move, Moved, RunHeaders};
use crate::policy::moves::{Planner, Progress};
use crate::telemetry::event;
use http::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// Time limit of the call that copies the memory of a run while it goes on.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of the call that stops the run. Callers abandon a stream after 2 s without an event.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// No idle connection is reused: the engine may have closed it, and a lost call is not repeated.
const MAX_IDLE: Duration = Duration::ZERO;

/// The moves of the runs whose streams this VM serves.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    planner: RefCell<Planner>,
}

impl Moves {
    pub(crate) fn state(&self) -> serde_json::Value {
        self.planner.borrow().state()
    }
}

/// The memory of a run that has stopped, held by the engine that it ran on. Dropping it unused frees it.
#[derive(Debug)]
pub(crate) struct Handle {
    gateway: Rc<Gateway>,
    name: String,
    source: Arc<Entry>,
    /// Where the run goes on: the target of the move or, if that had no room, the source.
    next: Arc<Entry>,
    used: bool,
}

impl Drop for Handle {
    fn drop(&mut self) {
        if self.used {
            return;
        }
        let (gateway, source) = (Rc::clone(&self.gateway), Arc::clone(&self.source));
        let request = headers::free_handle_request(&self.name, &source.name, source.address);
        tokio::task::spawn_local(async move {
            if let Some(request) = request {
                let call = gateway.call_engine(&source, request, MAX_IDLE);
                // A failure is not repeated: the engine frees the handle by its own time limit.
                drop(timeout(STOP_TIMEOUT, call).await);
            }
        });
    }
}

/// A move in progress.
#[derive(Debug)]
pub(crate) struct Moving(oneshot::Receiver<Option<Handle>>);

impl Moving {
    /// Waits for the handle of the stopped run; `None` if the run was not stopped.
    pub(crate) async fn finish(self) -> Option<Handle> {
        timeout(STOP_TIMEOUT, self.0).await.ok()?.ok()?
    }
}

/// Starts to move a run if its engine is draining and the run would outlast it. Called after each event.
pub(crate) fn start(job: &Rc<Job>, server: &Arc<Entry>, started: Instant) -> Option<Moving> {
    job.engine_settings().filter(|engine| engine.moves)?;
    let gateway = &job.gateway;
    let directory = Arc::clone(&gateway.routing.borrow().directory);
    if !directory.get(&server.id)?.draining {
        return None;
    }
    if !continuation::allows_another(job) || job.run.moved.get() {
        return None;
    }
    let progress = Progress {
        tokens: job.events_relayed.get() * job.tokens_per_event,
        expected_tokens: job.meta.output_hint.unwrap_or(job.meta.max_tokens),
        elapsed: started.elapsed(),
    };
    let target = continuation::move_target(job, server, &directory)?;
    let limit = Duration::from_millis(gateway.settings.bounds.drain_ms);
    let mut planner = gateway.moves.planner.borrow_mut();
    if !planner.start(Instant::now(), &server.id, &progress, limit) {
        return None;
    }
    job.run.moved.set(true);
    let (sender, receiver) = oneshot::channel();
    let (gateway, source) = (Rc::clone(gateway), Arc::clone(server));
    let id = job.meta.id.clone();
    tokio::task::spawn_local(async move {
        let (outcome, handle) = gateway.move_run(&id, &source, &target).await;
        gateway.moves.planner.borrow_mut().end(&source.id);
        gateway.metrics.count_move(outcome);
        event!(
            info,
            "run_moved",
            id = id,
            from = source.id,
            server = target.id,
            outcome = outcome
        );
        // Fails if the stream has ended, which drops the handle.
        drop(sender.send(handle));
    });
    Some(Moving(receiver))
}

/// Continues a run from its handle; `None` if that failed.
pub(crate) async fn continue_moved(
    job: &Job,
    mut handle: Handle,
    last_event: Option<u64>,
) -> Option<Stream> {
    let mut next = Arc::clone(&handle.next);
    loop {
        job.servers.borrow_mut().push(Arc::clone(&next.id));
        let is_back = next.id == handle.source.id;
        continuation::record_moved(job, &next, !is_back);
        let run = RunHeaders {
            last_event,
            copy_of: Some(CopyOf {
                holder: handle.source.address,
                id: &handle.name,
            }),
            ..RunHeaders::default()
        };
        handle.used = true;
        match attempt_at(job, &next, &run).await {
            AttemptResult::Stream(stream) => return Some(*stream),
            // The handle is not used, and the source keeps the memory.
            AttemptResult::NotRun(_) | AttemptResult::Unreachable => handle.used = false,
            AttemptResult::Response(_) | AttemptResult::OutcomeUnknown(_) => {}
        }
        job.gateway.metrics.count_move("not_continued");
        if handle.used || is_back {
            return None;
        }
        next = Arc::clone(&handle.source);
    }
}

impl Gateway {
    /// Copies the memory of a run while it goes on, then stops it and copies the rest.
    async fn move_run(
        self: &Rc<Self>,
        id: &str,
        source: &Arc<Entry>,
        target: &Arc<Entry>,
    ) -> (&'static str, Option<Handle>) {
        let call = |last| {
            headers::move_request(&Move {
                id,
                target: target.address,
                last,
                server: &source.name,
                address: source.address,
            })
        };
        let (Some(copy), Some(stop)) = (call(false), call(true)) else {
            return ("no_id", None);
        };
        let copied = timeout(COPY_TIMEOUT, self.call_engine(source, copy, MAX_IDLE)).await;
        match copied {
            Ok(Some((StatusCode::OK, _))) => {}
            Ok(Some((status, _))) => return (refusal(status), None),
            Ok(None) | Err(_) => return ("no_answer", None),
        }
        let stopped = timeout(STOP_TIMEOUT, self.call_engine(source, stop, MAX_IDLE)).await;
        let Ok(Some((status, body))) = stopped else {
            return ("no_answer", None);
        };
        let handle = Moved::parse(&body).map(|moved| Handle {
            gateway: Rc::clone(self),
            name: moved.handle,
            source: Arc::clone(source),
            next: Arc::clone(if status == StatusCode::OK {
                target
            } else {
                source
            }),
            used: false,
        });
        match (status, &handle) {
            (StatusCode::OK, Some(_)) => ("moved", handle),
            (StatusCode::SERVICE_UNAVAILABLE, Some(_)) => ("back", handle),
            (status, _) => (refusal(status), None),
        }
    }
}

const fn refusal(status: StatusCode) -> &'static str {
    match status.as_u16() {
        404 => "no_run",
        409 => "busy",
        503 => "no_room",
        _ => "other_answer",
    }
}
