//! One call under way: its permit, its records, its stream and its result.

use super::duty::{Owner, not_owner};
use super::serve::passed;
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

/// One call under way.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) program: Program,
    pub(super) call: Call,
    pub(super) digest: Digest,
    /// Cancelled when the program ends or the shard has another owner.
    pub(super) cancel: CancellationToken,
    pub(super) deltas: RefCell<Vec<Arc<str>>>,
    attempt: Cell<usize>,
    stream: Cell<u32>,
    pub(super) stage: Cell<&'static str>,
    since: Instant,
    /// Whether a backend server may have got any of it.
    pub(super) sent: Cell<bool>,
    result: RefCell<Option<Result<Answer, Failure>>>,
    progress: Notify,
}

impl Run {
    /// Passes the stream on from a position, then the result.
    pub(super) async fn attend(
        &self,
        mut from: Position,
        frames: &mpsc::Sender<Frame>,
        until: Instant,
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
            if timeout_at(until, progress).await.is_err() {
                return Err(passed(Ran::Unknown));
            }
        }
    }

    /// Gives those who wait for the call its result; the first one counts.
    pub(super) fn tell(&self, result: Result<Answer, Failure>) {
        let honest = |failure: Failure| {
            // A later attempt may be refused; the earlier one has reached a server all the same.
            let no = failure.ran == Ran::No && self.sent.get();
            if no {
                failure.ran(Ran::Unknown)
            } else {
                failure
            }
        };
        let mut told = self.result.borrow_mut();
        told.get_or_insert_with(|| result.map_err(honest));
        drop(told);
        self.progress.notify_waiters();
    }

    /// What the run does now, for an operator.
    pub(super) fn state(&self) -> Value {
        json!({
            "call": self.call,
            "stage": self.stage.get(),
            "for_ms": u64::try_from(self.since.elapsed().as_millis()).unwrap_or(u64::MAX),
            "attempt": self.attempt.get(),
            "parts": self.deltas.borrow().len(),
        })
    }

    pub(super) fn push(&self, text: Arc<str>) {
        self.deltas.borrow_mut().push(text);
        self.progress.notify_waiters();
    }

    pub(super) fn restart(&self) {
        self.deltas.borrow_mut().clear();
        self.attempt.set(self.attempt.get() + 1);
        self.stream.set(rand::random());
        self.progress.notify_waiters();
    }
}

async fn send(frames: &mpsc::Sender<Frame>, frame: Frame) -> Result<(), Failure> {
    let gone = |_| Failure::refused(Code::DeadlinePassed, "the caller has gone").ran(Ran::Unknown);
    frames.send(frame).await.map_err(gone)
}

/// What every kind of run needs.
pub(super) struct Work {
    pub(super) run: Rc<Run>,
    pub(super) epoch: Epoch,
    pub(super) class: Class,
    /// The deadline of the request that started the run.
    pub(super) asked: Instant,
    /// The deadline of the run, which goes on when its caller has gone.
    pub(super) until: Instant,
}

impl Owner {
    /// Starts a call; the run goes on when its caller's connection is lost.
    pub(super) fn start_run(
        self: &Rc<Self>,
        program: Program,
        call: Call,
        digest: Digest,
        request: &Request,
        epoch: Epoch,
        asked_until: Instant,
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
            since: Instant::now(),
            sent: Cell::new(false),
            result: RefCell::new(None),
            progress: Notify::new(),
        });
        self.runs.borrow_mut().insert(program, run.clone());
        let (owner, request) = (self.clone(), request.clone());
        spawn_local(async move {
            let result = owner.carry_out(&run, epoch, request, asked_until).await;
            let elapsed = run.since.elapsed();
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
            run.tell(result);
            owner.runs.borrow_mut().remove(&program);
            owner.changed.notify_waiters();
        });
    }

    async fn carry_out(
        self: &Rc<Self>,
        run: &Rc<Run>,
        epoch: Epoch,
        request: Request,
        asked_until: Instant,
    ) -> Result<Answer, Failure> {
        let class = self.check_limits(run.program)?;
        let until = asked_until.max(run.since + Duration::from_millis(class.call_ms));
        let work = Work {
            run: run.clone(),
            epoch,
            class,
            asked: asked_until,
            until,
        };
        match request {
            Request::Model(prompt) => self.run_model(&work, prompt).await,
            Request::Service(invocation) => self.run_service(&work, invocation).await,
            Request::Spawn(spawn) => self.run_spawn(&work, spawn).await,
        }
    }

    /// The class of the program, if its limits allow another call.
    fn check_limits(self: &Rc<Self>, id: Program) -> Result<Class, Failure> {
        let (class, turns, history) = {
            let shards = self.shards.borrow();
            let held = shards
                .get(&id.shard())
                .ok_or_else(|| not_owner(id.shard()))?;
            let program = held.table.get(id)?;
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
        // The program loops or grows without end: it is ended, and what it holds is freed.
        let owner = self.clone();
        spawn_local(async move { owner.end(id, Some(reason)).await });
        Err(Failure::refused(
            reason,
            format!("the program ends with {reason}"),
        ))
    }

    pub(super) async fn permit(
        &self,
        work: &Work,
        key: &Key,
        ask: &policy::Request,
    ) -> Result<Lease, Failure> {
        tokio::select! {
            lease = self.context.dispatch.acquire(key, ask) => lease,
            () = work.run.cancel.cancelled() => Err(self.cancelled(work)),
            () = tokio::time::sleep_until(work.until) => Err(passed(Ran::No)),
        }
    }

    /// Appends a record of the run and waits for its verdict, up to the deadline.
    pub(super) async fn recorded(&self, work: &Work, body: Body) -> Result<Instant, Failure> {
        let append = self.append(work.run.program.shard(), work.epoch, body);
        timeout_at(work.until, append)
            .await
            .unwrap_or_else(|_| Err(unavailable()))
    }

    pub(super) async fn finish(
        &self,
        work: &Work,
        messages: Vec<Message>,
        answer: Answer,
    ) -> Result<Answer, Failure> {
        let Run {
            program,
            call,
            digest,
            ..
        } = *work.run.as_ref();
        let body = Body::Done {
            program,
            call,
            digest,
            messages,
            answer: answer.clone(),
        };
        self.append_surely(program.shard(), work.epoch, body)
            .await?;
        // The caller gets what the history has, so that two answers to one call are never told.
        self.kept(program, call)
            .map_err(|failure| failure.ran(Ran::Unknown))
    }

    pub(super) fn cancelled(&self, work: &Work) -> Failure {
        let shard = work.run.program.shard();
        if self.holds(shard, work.epoch) {
            return Failure::refused(Code::ProgramEnded, "the program has ended").ran(Ran::Unknown);
        }
        not_owner(shard)
    }
}

/// The failure when a record is not in the log by the deadline.
pub(super) fn unavailable() -> Failure {
    let message = "the log did not take the record in time";
    Failure::refused(Code::LogUnavailable, message).retry_after(Duration::from_secs(1))
}
