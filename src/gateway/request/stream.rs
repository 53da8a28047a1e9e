//! Relays an event stream to its caller. If a server breaks it off, it is resumed, or its run continues from a copy.

use super::acquire_permit;
use super::body::{Body, Chunks};
use super::job::Job;
use crate::conversation::Transcript;
use crate::gateway::conversation::MAX_TURN_BYTES;
use crate::gateway::queue::permit::Permit;
use crate::gateway::server::attempt::{
    AttemptResult, ENDLESS, EventSource, OTHER_INSTANCE, Stream, StreamItem, attempt,
};
use crate::gateway::server::continuation::{self, Gap, Sequence, continue_run};
use crate::gateway::server::event::EventBatch;
use crate::gateway::server::leaving::LEAVING;
use crate::gateway::server::moving::{self, Moving, continue_moved};
use crate::gateway::server::pinning;
use crate::gateway::world::directory::Entry;
use crate::intake::{Charge, Kind, Shortage};
use crate::policy::dispatch::Outcome;
use crate::policy::room::Need;
use crate::telemetry::event;
use http::Response;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum resumptions of one stream.
const MAX_RESUMES: usize = 4;
/// Delay of the stall timer from which this VM, not the server, is assumed to have paused. Above the usual 100 ms
/// period of a CPU quota, which delays timers on small VMs.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);

/// Returns the head of a streamed response and spawns a task that relays the events. `permit` is `None` if the run was
/// continued at another server.
pub(super) fn relay(job: &Rc<Job>, permit: Option<Permit>, stream: Stream) -> Response<Body> {
    pinning::turn_began(job);
    job.gateway.extend_retention(job);
    let (chunks, body) = Body::streamed();
    let mut response = Response::new(body);
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers;
    let stream_relay = StreamRelay {
        job: Rc::clone(job),
        permit,
        source: stream.source,
        last_event: job.meta.last_event,
        sequence: Sequence::default(),
        moving: None,
        text: job.route.stores_history.then(Text::default),
        chunks,
    };
    tokio::task::spawn_local(stream_relay.run(stream.first_batch));
    response
}

#[derive(Debug)]
struct StreamRelay {
    job: Rc<Job>,
    /// `None` once the run has left the server of its permit.
    permit: Option<Permit>,
    source: EventSource,
    /// ID of the last event received, for resuming after it.
    last_event: Option<u64>,
    sequence: Sequence,
    /// A move of the run off its engine.
    moving: Option<Moving>,
    /// Response so far, where the route stores turns.
    text: Option<Text>,
    chunks: Chunks,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    CallerLeft,
    DeadlinePassed,
    /// The server broke off, with this reason.
    Broken(&'static str),
}

impl StreamRelay {
    async fn run(mut self, first_batch: Option<EventBatch>) {
        let mut end = match first_batch {
            Some(batch) => self.forward(batch).await,
            None => Some(StreamEnd::Complete),
        };
        let mut resumes = 0;
        let chunks = self.chunks.clone();
        let mut waiting_since = Instant::now();
        while end.is_none() {
            let stall_limit = continuation::stall_limit(&self.job, self.last_event);
            let stalled = tokio::time::sleep_until(waiting_since + stall_limit.unwrap_or_default());
            let next = tokio::select! {
                next = self.source.next() => next,
                () = stalled, if stall_limit.is_some() => {
                    let limit = stall_limit.unwrap_or_default() + MAX_TIMER_DELAY;
                    if waiting_since.elapsed() > limit {
                        // Events may have arrived while this VM was paused, and are read first.
                        waiting_since = Instant::now();
                        continue;
                    }
                    StreamItem::Broken("stalled")
                },
                () = chunks.closed() => {
                    end = Some(StreamEnd::CallerLeft);
                    break
                },
                () = tokio::time::sleep_until(self.job.deadline) => {
                    end = Some(StreamEnd::DeadlinePassed);
                    break
                },
            };
            let is_comment = matches!(&next, StreamItem::Events(batch) if !batch.has_event);
            end = match next {
                StreamItem::Events(batch) => self.forward(batch).await,
                StreamItem::End => Some(StreamEnd::Complete),
                StreamItem::Broken(reason) if !self.job.route.resumable => {
                    self.continue_elsewhere(reason).await
                }
                StreamItem::Broken(reason) if resumes >= MAX_RESUMES => {
                    self.job.attempt_failed().await;
                    Some(StreamEnd::Broken(reason))
                }
                StreamItem::Broken(reason) => {
                    resumes += 1;
                    self.resume(reason).await
                }
            };
            if !is_comment {
                waiting_since = Instant::now();
            }
        }
        self.finish(end.unwrap_or(StreamEnd::Complete)).await;
    }

    /// The server of the stream; `None` if it is unknown.
    fn server(&self) -> Option<Arc<Entry>> {
        match &self.permit {
            Some(permit) => Some(Arc::clone(&permit.server)),
            None => continuation::current_server(&self.job),
        }
    }

    /// Sends a batch of events to the caller; returns `Some` if that ended the stream.
    async fn forward(&mut self, batch: EventBatch) -> Option<StreamEnd> {
        let batch = match self.sequence.accept(batch) {
            Ok(Some(batch)) => batch,
            Ok(None) => return None,
            Err(Gap) => return Some(StreamEnd::Broken("gap")),
        };
        self.last_event = batch.last_id.or(self.last_event);
        let job = &self.job;
        job.events_relayed
            .set(job.events_relayed.get() + batch.events);
        if let Some(text) = &mut self.text {
            tokio::select! {
                biased;
                pushed = text.push(job, &batch.bytes) => if pushed.is_err() {
                    return Some(StreamEnd::DeadlinePassed);
                },
                () = self.chunks.closed() => return Some(StreamEnd::CallerLeft),
            }
        }
        if let Some(permit) = &self.permit
            && self.moving.is_none()
        {
            self.moving = moving::start(job, &permit.server, self.source.started);
        }
        let intake = &job.gateway.intake;
        let size = batch.bytes.len();
        if !intake.admits(Need::Answer, size) {
            intake.make_room(Need::Answer, size);
        }
        let bytes = intake.hold(Kind::Answer, batch.bytes);
        let sent = tokio::time::timeout_at(job.deadline, self.chunks.send(bytes)).await;
        match sent {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(StreamEnd::CallerLeft),
            Err(_) => Some(StreamEnd::DeadlinePassed),
        }
    }

    /// Resumes after the last complete event, at the same server or, if that is unreachable, at another one.
    async fn resume(&mut self, reason: &'static str) -> Option<StreamEnd> {
        let chunks = self.chunks.clone();
        let job = Rc::clone(&self.job);
        let resuming = self.resume_at_server(reason);
        tokio::select! {
            end = resuming => end,
            () = chunks.closed() => Some(StreamEnd::CallerLeft),
            () = tokio::time::sleep_until(job.deadline) => Some(StreamEnd::DeadlinePassed),
        }
    }

    /// Continues the run from its copy at another server, if it has one.
    async fn continue_elsewhere(&mut self, reason: &'static str) -> Option<StreamEnd> {
        let handle = match self.moving.take() {
            Some(moving) => {
                let finished = tokio::time::timeout_at(self.job.deadline, moving.finish());
                finished.await.unwrap_or_default()
            }
            None => None,
        };
        // The run must not be at work twice: the server stops it when its connection is closed.
        self.source.close().await;
        let outcome = if handle.is_some() {
            self.job.attempt_answered();
            Outcome::Void
        } else {
            self.job.attempt_failed().await;
            continuation::note_broken(&self.job);
            Outcome::Failed
        };
        if let Some(server) = self.server().filter(|_| handle.is_none()) {
            self.job.check_server(&server).await;
        }
        if let Some(permit) = self.permit.take() {
            permit.release(outcome);
        }
        if !self.job.may_expose_server().await {
            return Some(StreamEnd::Broken("servers_ended"));
        }
        let chunks = self.chunks.clone();
        let job = Rc::clone(&self.job);
        let continued = async {
            if let Some(handle) = handle
                && let Some(stream) = continue_moved(&job, handle, self.last_event).await
            {
                return Some(stream);
            }
            continue_run(&job, reason, self.last_event).await
        };
        let stream = tokio::select! {
            stream = continued => stream,
            () = chunks.closed() => return Some(StreamEnd::CallerLeft),
            () = tokio::time::sleep_until(job.deadline) => return Some(StreamEnd::DeadlinePassed),
        };
        let Some(stream) = stream else {
            return Some(StreamEnd::Broken(reason));
        };
        self.source = stream.source;
        self.sequence.continue_run();
        match stream.first_batch {
            Some(batch) => self.forward(batch).await,
            None => Some(StreamEnd::Complete),
        }
    }

    async fn resume_at_server(&mut self, reason: &'static str) -> Option<StreamEnd> {
        let Some(permit) = &mut self.permit else {
            return Some(StreamEnd::Broken(reason));
        };
        self.job.attempt_failed().await;
        // A server that started again under its name may have another version.
        let is_replaced = self.job.gateway.was_replaced(&permit.server);
        let servers = self.job.servers.borrow().len();
        let may_leave = servers < self.job.route.attempts as usize;
        let leaves = reason == ENDLESS && may_leave && !is_replaced;
        let mut resume_result = if is_replaced || leaves {
            AttemptResult::Unreachable
        } else {
            attempt(&self.job, permit, self.last_event).await
        };
        log_resume(
            &self.job,
            &permit.server,
            reason,
            &resume_result,
            self.last_event,
        );
        let is_leaving = matches!(resume_result, AttemptResult::NotRun(LEAVING));
        let has_ended = match resume_result {
            AttemptResult::Unreachable => !leaves,
            AttemptResult::NotRun(reason) => reason == OTHER_INSTANCE,
            _ => false,
        };
        if has_ended {
            self.job.record_end_of(&permit.server).await;
        }
        if matches!(resume_result, AttemptResult::Unreachable) || is_leaving && may_leave {
            if self.job.check_ended_servers().await.is_err() {
                return Some(StreamEnd::Broken("servers_ended"));
            }
            let avoid = [Arc::clone(&permit.server.id)];
            match acquire_permit(&self.job, &avoid).await {
                Ok(other) => {
                    let failed = std::mem::replace(permit, other);
                    failed.release(Outcome::Failed);
                }
                Err(_) => return Some(StreamEnd::Broken(reason)),
            }
            resume_result = attempt(&self.job, permit, self.last_event).await;
            log_resume(
                &self.job,
                &permit.server,
                reason,
                &resume_result,
                self.last_event,
            );
        }
        let AttemptResult::Stream(stream) = resume_result else {
            return Some(StreamEnd::Broken(reason));
        };
        self.source = stream.source;
        match stream.first_batch {
            Some(batch) => self.forward(batch).await,
            None => Some(StreamEnd::Complete),
        }
    }

    async fn finish(self, end: StreamEnd) {
        let Self {
            job,
            permit,
            source,
            text,
            chunks,
            ..
        } = self;
        if end == StreamEnd::Complete {
            let (took, load) = (source.started.elapsed(), source.load);
            source.finish(&job);
            if let Some(permit) = permit {
                permit.release(Outcome::Done {
                    took,
                    work: (job.events_relayed.get() + 1) as f64,
                    load,
                });
            }
            pinning::turn_ended(&job);
            continuation::run_ended(&job);
            job.record_success().await;
            let saved = save_turn(&job, text).await;
            job.record_end(if saved { "200" } else { "cut:not_kept" }, saved);
            if !saved {
                let _ = chunks.abort().await;
            }
            return;
        }
        let result = match end {
            StreamEnd::Complete => return,
            StreamEnd::CallerLeft => "caller_left",
            StreamEnd::DeadlinePassed => "cut:late",
            StreamEnd::Broken(reason) => reason,
        };
        job.record_end(result, false);
        if !matches!(end, StreamEnd::Broken(_)) {
            pinning::session_ended(&job, result);
        }
        if let (StreamEnd::Broken(_), Some(permit)) = (end, permit) {
            permit.release(Outcome::Failed);
        }
        if end != StreamEnd::CallerLeft {
            // Fails only if the caller has disconnected.
            let _ = chunks.abort().await;
        }
    }
}

/// Saves a completed turn if its route stores turns; returns false if that failed.
async fn save_turn(job: &Job, text: Option<Text>) -> bool {
    let Some(text) = text else {
        return true;
    };
    job.gateway.persist_turn(job, text.transcript).await
}

/// The text of a response, with its memory.
#[derive(Debug, Default)]
struct Text {
    transcript: Transcript,
    charges: Option<Charge>,
}

impl Text {
    /// Appends the text of complete events. A text that is too long to be kept as a turn does not grow further.
    ///
    /// # Errors
    /// If there is no memory for it before the deadline.
    async fn push(&mut self, job: &Job, events: &[u8]) -> Result<(), Shortage> {
        if self.transcript.len() > MAX_TURN_BYTES {
            return Ok(());
        }
        let need = Need::of_answer(self.transcript.len() + events.len());
        let intake = &job.gateway.intake;
        let charge = intake.reserve(Kind::History, need, events.len(), job.deadline);
        let charge = charge.await?;
        match &mut self.charges {
            Some(charges) => charges.add(charge),
            charges => *charges = Some(charge),
        }
        self.transcript.push(events);
        Ok(())
    }
}

fn log_resume(
    job: &Job,
    server: &Entry,
    reason: &str,
    resume_result: &AttemptResult,
    last_event: Option<u64>,
) {
    let outcome = match resume_result {
        AttemptResult::Stream(_) => "resumed",
        AttemptResult::Response(_) => "other_answer",
        AttemptResult::NotRun(reason) | AttemptResult::OutcomeUnknown(reason) => reason,
        AttemptResult::Unreachable => "unreachable",
    };
    event!(
        info,
        "stream_resumed",
        id = job.meta.id,
        server = server.id,
        version = server.version,
        after = reason,
        last = last_event.unwrap_or_default(),
        outcome = outcome,
        age_ms = job.age_ms(),
        content = job.content()
    );
}
