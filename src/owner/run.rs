//! A call in progress: its permit, records, stream and result.

use super::duty::{Owner, not_owner};
use super::serve::deadline_passed;
use super::{Frame, Position};
use crate::code::{Code, Failure, Ran};
use crate::config::Class;
use crate::dispatch::{Key, Lease};
use crate::id::{Call, Digest, Epoch, Program};
use crate::journal::Body;
use crate::policy;
use crate::program::{Answer, Message, Request};
use crate::telemetry::event;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// A call in progress, shared with the requests that wait for it.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) program: Program,
    pub(super) call: Call,
    pub(super) digest: Digest,
    /// Cancelled when the program ends or another VM takes the shard over.
    pub(super) cancel: CancellationToken,
    /// Parts of the answer received so far in this attempt.
    pub(super) deltas: RefCell<Vec<Arc<str>>>,
    attempt: Cell<usize>,
    /// Random id of the attempt, see [`Position`].
    stream: Cell<u32>,
    /// Current step, as shown to operators.
    pub(super) stage: Cell<&'static str>,
    started_at: Instant,
    /// Whether a backend server may have received any of the call.
    pub(super) sent: Cell<bool>,
    result: RefCell<Option<Result<Answer, Failure>>>,
    progress: Notify,
}

impl Run {
    /// Streams the answer from a position on, then returns the result.
    pub(super) async fn follow(
        &self,
        mut from: Position,
        frames: &mpsc::Sender<Frame>,
        deadline: Instant,
    ) -> Result<Value, Failure> {
        loop {
            let progress = self.progress.notified();
            let stream = self.stream.get();
            if from.stream != stream {
                if from.at > 0 {
                    send(frames, Frame::Restart).await?;
                }
                from = Position { stream, at: 0 };
            }
            let index = usize::try_from(from.at).unwrap_or(usize::MAX);
            let next = self.deltas.borrow().get(index).cloned();
            if let Some(text) = next {
                let text = text.as_ref().to_owned();
                send(frames, Frame::Delta { at: from, text }).await?;
                from.at += 1;
                continue;
            }
            if let Some(result) = self.result.borrow().as_ref() {
                return result.clone().and_then(|answer| answer.body(self.call));
            }
            if timeout_at(deadline, progress).await.is_err() {
                return Err(deadline_passed(Ran::Unknown));
            }
        }
    }

    /// Sets the result and wakes the requests that wait for it; a second call has no effect.
    pub(super) fn set_result(&self, result: Result<Answer, Failure>) {
        let correct_ran = |failure: Failure| {
            // "Not run" may hold for the last attempt only: an earlier one may have reached a server.
            let may_have_run = failure.ran == Ran::No && self.sent.get();
            if may_have_run {
                failure.ran(Ran::Unknown)
            } else {
                failure
            }
        };
        let mut stored = self.result.borrow_mut();
        stored.get_or_insert_with(|| result.map_err(correct_ran));
        drop(stored);
        self.progress.notify_waiters();
    }

    /// State of the call as shown to operators.
    pub(super) fn state(&self) -> Value {
        json!({
            "call": self.call,
            "stage": self.stage.get(),
            "for_ms": u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            "attempt": self.attempt.get(),
            "parts": self.deltas.borrow().len(),
        })
    }

    pub(super) fn push_delta(&self, text: Arc<str>) {
        self.deltas.borrow_mut().push(text);
        self.progress.notify_waiters();
    }

    /// Discards the stream for another attempt.
    pub(super) fn restart_stream(&self) {
        self.deltas.borrow_mut().clear();
        self.attempt.set(self.attempt.get() + 1);
        self.stream.set(rand::random());
        self.progress.notify_waiters();
    }
}

async fn send(frames: &mpsc::Sender<Frame>, frame: Frame) -> Result<(), Failure> {
    let disconnected =
        |_| Failure::refused(Code::DeadlinePassed, "the caller disconnected").ran(Ran::Unknown);
    frames.send(frame).await.map_err(disconnected)
}

/// A call in progress with the limits that apply to it.
pub(super) struct Job {
    pub(super) run: Rc<Run>,
    pub(super) epoch: Epoch,
    pub(super) class: Class,
    /// Deadline of the request that started the call.
    pub(super) caller_deadline: Instant,
    /// Deadline of the call, which continues if its caller disconnects.
    pub(super) deadline: Instant,
}

impl Owner {
    /// Starts a call; it continues if its caller disconnects.
    pub(super) fn start_run(
        self: &Rc<Self>,
        program: Program,
        call: Call,
        digest: Digest,
        request: &Request,
        epoch: Epoch,
        request_deadline: Instant,
    ) {
        let run = Rc::new(Run {
            program,
            call,
            digest,
            cancel: CancellationToken::new(),
            deltas: RefCell::default(),
            attempt: Cell::new(0),
            stream: Cell::new(rand::random()),
            stage: Cell::new("admission"),
            started_at: Instant::now(),
            sent: Cell::new(false),
            result: RefCell::new(None),
            progress: Notify::new(),
        });
        self.runs.borrow_mut().insert(program, run.clone());
        let (owner, request) = (self.clone(), request.clone());
        spawn_local(async move {
            let result = owner.execute(&run, epoch, request, request_deadline).await;
            let elapsed = run.started_at.elapsed();
            owner.context.metrics.calls.add(1, &[]);
            owner
                .context
                .metrics
                .call_ms
                .record(elapsed.as_secs_f64() * 1000.0, &[]);
            if let Err(failure) = &result {
                event!(
                    warn,
                    "call_refused",
                    program = program,
                    call = call,
                    reason = failure
                );
            }
            run.set_result(result);
            owner.runs.borrow_mut().remove(&program);
            owner.changed.notify_waiters();
        });
    }

    async fn execute(
        self: &Rc<Self>,
        run: &Rc<Run>,
        epoch: Epoch,
        request: Request,
        request_deadline: Instant,
    ) -> Result<Answer, Failure> {
        let class = self.check_limits(run.program)?;
        let deadline = request_deadline.max(run.started_at + Duration::from_millis(class.call_ms));
        let job = Job {
            run: run.clone(),
            epoch,
            class,
            caller_deadline: request_deadline,
            deadline,
        };
        match request {
            Request::Model(prompt) => self.run_model(&job, prompt).await,
            Request::Service(invocation) => self.run_service(&job, invocation).await,
            Request::Spawn(spawn) => self.run_spawn(&job, spawn).await,
        }
    }

    /// The class of the program, if its limits allow another call.
    fn check_limits(self: &Rc<Self>, id: Program) -> Result<Class, Failure> {
        let (class, turns, history) = {
            let shards = self.shards.borrow();
            let state = shards
                .get(&id.shard())
                .ok_or_else(|| not_owner(id.shard()))?;
            let program = state.table.get(id)?;
            let class = self.context.config.borrow().class(&program.class)?.clone();
            (
                class,
                program.answered.len() as u64,
                program.history_bytes(),
            )
        };
        let reason = if turns >= class.turns {
            Code::TurnLimit
        } else if history >= class.history_bytes {
            Code::HistoryLimit
        } else {
            return Ok(class);
        };
        // A program at a limit may be in an endless loop: end it to free its resources.
        let owner = self.clone();
        spawn_local(async move { owner.end(id, Some(reason)).await });
        Err(Failure::refused(
            reason,
            format!("the program ends with {reason}"),
        ))
    }

    pub(super) async fn acquire_permit(
        &self,
        job: &Job,
        key: &Key,
        request: &policy::Request,
    ) -> Result<Lease, Failure> {
        tokio::select! {
            lease = self.context.dispatch.acquire(key, request) => lease,
            () = job.run.cancel.cancelled() => Err(self.cancellation_failure(job)),
            () = tokio::time::sleep_until(job.deadline) => Err(deadline_passed(Ran::No)),
        }
    }

    /// Appends a record of the call, failing at the deadline of the call.
    pub(super) async fn append_by_deadline(
        &self,
        job: &Job,
        body: Body,
    ) -> Result<Instant, Failure> {
        let append = self.append(job.run.program.shard(), job.epoch, body);
        timeout_at(job.deadline, append)
            .await
            .unwrap_or_else(|_| Err(log_unavailable()))
    }

    /// Records the answer, and returns the one that the log has for the call.
    pub(super) async fn record_answer(
        &self,
        job: &Job,
        messages: Vec<Message>,
        answer: Answer,
    ) -> Result<Answer, Failure> {
        let Run {
            program,
            call,
            digest,
            ..
        } = *job.run.as_ref();
        let body = Body::Done {
            program,
            call,
            digest,
            messages,
            answer: answer.clone(),
        };
        self.append_retrying(program.shard(), job.epoch, body)
            .await?;
        // Returned from the applied state, so that all callers get the same answer.
        self.stored_answer(program, call)
            .map_err(|failure| failure.ran(Ran::Unknown))
    }

    pub(super) fn cancellation_failure(&self, job: &Job) -> Failure {
        let shard = job.run.program.shard();
        if self.owns_since(shard, job.epoch) {
            return Failure::refused(Code::ProgramEnded, "the program has ended").ran(Ran::Unknown);
        }
        not_owner(shard)
    }
}

/// Failure of a record that is not in the log by the deadline.
pub(super) fn log_unavailable() -> Failure {
    let message = "the record was not written to the log in time";
    Failure::refused(Code::LogUnavailable, message).retry_after(Duration::from_secs(1))
}
