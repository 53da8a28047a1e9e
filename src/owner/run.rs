//! One call under way: its permit, its records, its stream and its result.

use super::Frame;
use super::duty::{Owner, not_owner, wall_ms};
use super::serve::passed;
use crate::backend;
use crate::code::{Code, Failure, Ran};
use crate::config::{Class, Mode, Operation};
use crate::dispatch::{Key, Lease};
use crate::id::{Call, Digest, Epoch, Program, Server, Tokens};
use crate::journal::Body;
use crate::policy::{Ask, Outcome};
use crate::program::{self, Answer, Invocation, Message, Prompt, Request, Spawn, Usage};
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

/// Engines that one model call may be tried on.
const ATTEMPTS: usize = 3;
/// Time between the read-back of an intent and its sending, past which it is dropped.
const SEND_WINDOW: Duration = Duration::from_millis(500);

/// One call under way.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) program: Program,
    pub(super) call: Call,
    pub(super) digest: Digest,
    /// Cancelled when the program ends or the shard has another owner.
    pub(super) cancel: CancellationToken,
    deltas: RefCell<Vec<Arc<str>>>,
    attempt: Cell<usize>,
    stage: Cell<&'static str>,
    since: Instant,
    result: RefCell<Option<Result<Answer, Failure>>>,
    progress: Notify,
}

impl Run {
    /// Passes the stream on from position `from`, then the result.
    pub(super) async fn attend(
        &self,
        from: u64,
        frames: &mpsc::Sender<Frame>,
        until: Instant,
    ) -> Result<Value, Failure> {
        let mut at = usize::try_from(from).unwrap_or(usize::MAX);
        let mut attempt = self.attempt.get();
        loop {
            let progress = self.progress.notified();
            if self.attempt.get() != attempt {
                attempt = self.attempt.get();
                if at > 0 {
                    at = 0;
                    send(frames, Frame::Restart).await?;
                }
            }
            let next = self.deltas.borrow().get(at).cloned();
            if let Some(text) = next {
                let frame = Frame::Delta {
                    at: at as u64,
                    text: text.as_ref().to_owned(),
                };
                at += 1;
                send(frames, frame).await?;
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

    fn push(&self, text: Arc<str>) {
        self.deltas.borrow_mut().push(text);
        self.progress.notify_waiters();
    }

    fn restart(&self) {
        self.deltas.borrow_mut().clear();
        self.attempt.set(self.attempt.get() + 1);
        self.progress.notify_waiters();
    }
}

async fn send(frames: &mpsc::Sender<Frame>, frame: Frame) -> Result<(), Failure> {
    let gone = |_| Failure::refused(Code::DeadlinePassed, "the caller has gone").ran(Ran::Unknown);
    frames.send(frame).await.map_err(gone)
}

/// What every kind of run needs.
struct Work {
    run: Rc<Run>,
    epoch: Epoch,
    class: Class,
    until: Instant,
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
            stage: Cell::new("admission"),
            since: Instant::now(),
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
            *run.result.borrow_mut() = Some(result);
            owner.runs.borrow_mut().remove(&program);
            run.progress.notify_waiters();
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
            (class, program.kept.len() as u64, program.history_bytes())
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

    async fn run_model(self: &Rc<Self>, work: &Work, prompt: Prompt) -> Result<Answer, Failure> {
        let run = &work.run;
        let pool = self
            .context
            .config
            .borrow()
            .pool(prompt.model.as_ref())?
            .clone();
        let key = Key::Model(pool.model.clone());
        let mut avoid = Vec::new();
        loop {
            let (reserve, ask, chat) = self.prepare(work, &prompt, &pool.model, &avoid)?;
            run.stage.set("permit");
            let lease = self.permit(work, &key, &ask).await?;
            let server = lease.grant.server.clone();
            run.stage.set("journal_begun");
            // In the log before anything is sent: a successor then knows what the attempt may
            // have spent and which engine may hold cache.
            let begun = Body::Begun {
                program: run.program,
                call: run.call,
                reserve,
                server: server.clone(),
            };
            self.recorded(work, begun).await?;
            run.stage.set("stream");
            match self.stream(work, lease, &chat).await {
                Ok((text, usage)) => {
                    run.stage.set("journal_done");
                    let answer = Answer::Model {
                        text,
                        usage,
                        server,
                    };
                    return self.finish(work, prompt.messages, answer).await;
                }
                Err(Broken::Cancelled) => return Err(self.cancelled(work)),
                Err(Broken::Failed(reason, tokens)) => {
                    event!(warn, "engine_failed", server = server, reason = reason);
                    let (program, call) = (run.program, run.call);
                    self.recorded(
                        work,
                        Body::Settled {
                            program,
                            call,
                            tokens,
                        },
                    )
                    .await?;
                    avoid.push(server);
                    if avoid.len() >= ATTEMPTS {
                        return Err(Failure::refused(Code::EngineFailed, reason)
                            .ran(Ran::Yes)
                            .retry_after(Duration::from_secs(1)));
                    }
                    run.restart();
                }
            }
        }
    }

    fn prepare(
        &self,
        work: &Work,
        prompt: &Prompt,
        model: &crate::id::Model,
        avoid: &[Server],
    ) -> Result<(Tokens, Ask, backend::Chat), Failure> {
        let id = work.run.program;
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program = held.table.get(id)?;
        let reserve = program.reserve(&prompt.messages, prompt.max_tokens)?;
        let messages: Vec<Message> = program
            .history
            .iter()
            .chain(&prompt.messages)
            .cloned()
            .collect();
        let elapsed = wall_ms().saturating_sub(program.opened_ms);
        let target = i64::try_from(work.class.target_ms).unwrap_or(i64::MAX);
        let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
        let ask = Ask {
            program: id,
            class: Some(program.class.clone()),
            slack_ms: target.saturating_sub(i64::try_from(elapsed).unwrap_or(i64::MAX)),
            prompt: Tokens(bytes as u64 / 4),
            max_tokens: prompt.max_tokens,
            resident: program.resident.iter().cloned().collect(),
            avoid: avoid.to_vec(),
            zone: Some(self.context.zone.clone()),
        };
        let chat = backend::Chat {
            model: model.clone(),
            messages,
            max_tokens: prompt.max_tokens,
            key: id.to_string(),
        };
        Ok((reserve, ask, chat))
    }

    async fn permit(&self, work: &Work, key: &Key, ask: &Ask) -> Result<Lease, Failure> {
        tokio::select! {
            lease = self.context.dispatch.acquire(key, ask) => lease,
            () = work.run.cancel.cancelled() => Err(self.cancelled(work)),
            () = tokio::time::sleep_until(work.until) => Err(passed(Ran::No)),
        }
    }

    /// Appends a record of the run and waits for its verdict, up to the deadline.
    async fn recorded(&self, work: &Work, body: Body) -> Result<(), Failure> {
        let append = self.append(work.run.program.shard(), work.epoch, body);
        let unavailable = || {
            Failure::refused(
                Code::LogUnavailable,
                "the log did not take the record in time",
            )
            .retry_after(Duration::from_secs(1))
        };
        timeout_at(work.until, append)
            .await
            .unwrap_or_else(|_| Err(unavailable()))
    }

    async fn stream(
        &self,
        work: &Work,
        lease: Lease,
        chat: &backend::Chat,
    ) -> Result<(Arc<str>, Usage), Broken> {
        let run = &work.run;
        let sent = Instant::now();
        let first = Cell::new(None);
        let count = Cell::new(0);
        let streamed = {
            let take = |text: Arc<str>| {
                first.set(first.get().or_else(|| Some(Instant::now())));
                count.set(count.get() + 1);
                run.push(text);
            };
            let streaming = self.engines.complete(lease.grant.address, chat, take);
            tokio::select! {
                streamed = timeout_at(work.until, streaming) => {
                    streamed.unwrap_or_else(|_| Err(backend::Fault("the deadline passed".into())))
                }
                // Dropping the request closes the connection, which the engine takes as cancel.
                () = run.cancel.cancelled() => return Err(Broken::Cancelled),
            }
        };
        let first = first.get().unwrap_or_else(Instant::now);
        let mut outcome = Outcome {
            failed: streamed.is_err(),
            first_ms: (first - sent).as_secs_f64() * 1000.0,
            rest_ms: first.elapsed().as_secs_f64() * 1000.0,
            completion: Tokens(count.get()),
            ..Outcome::default()
        };
        let usage = streamed.map(|usage| {
            // An engine may give more than was asked for; the stream was cut at the bound, and
            // what counts is what was taken.
            Usage {
                completion: Tokens(usage.completion.0.min(chat.max_tokens.0)),
                ..usage
            }
        });
        if let Ok(usage) = &usage {
            outcome.prompt = usage.prompt;
            outcome.cached = usage.cached;
        }
        lease.done(outcome).await;
        match usage {
            Ok(usage) => Ok((run.deltas.borrow().concat().into(), usage)),
            Err(backend::Fault(reason)) => {
                let new: usize = chat
                    .messages
                    .last()
                    .map_or(0, |message| message.content.len());
                Err(Broken::Failed(reason, Tokens(count.get() + new as u64)))
            }
        }
    }

    async fn finish(
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
        self.append(program.shard(), work.epoch, body).await?;
        Ok(answer)
    }

    async fn run_service(
        self: &Rc<Self>,
        work: &Work,
        invocation: Invocation,
    ) -> Result<Answer, Failure> {
        let Invocation {
            service, operation, ..
        } = &invocation;
        let found = self
            .context
            .config
            .borrow()
            .operation(service, operation)
            .map(|(_, operation)| operation.clone())?;
        self.afford_call(work.run.program)?;
        let key = Key::Service(service.clone());
        let ask = self.service_ask(work)?;
        work.run.stage.set("permit");
        let lease = self.permit(work, &key, &ask).await?;
        if found.mode == Mode::Once {
            return self.run_once(work, &invocation, &found, lease).await;
        }
        work.run.stage.set("send");
        let call_key = format!("{}/{}", work.run.program, work.run.call);
        let address = lease.grant.address;
        let sending = self
            .services
            .call(address, &invocation, &call_key, found.timeout());
        let reply = tokio::select! {
            reply = sending => reply,
            () = work.run.cancel.cancelled() => return Err(self.cancelled(work)),
        };
        lease
            .done(Outcome {
                failed: reply.is_err(),
                ..Outcome::default()
            })
            .await;
        match reply {
            Ok(backend::Reply { status, body }) => {
                self.finish(work, Vec::new(), Answer::Service { status, body })
                    .await
            }
            Err(backend::Broken { reason, .. }) => {
                Err(Failure::refused(Code::ServiceFailed, reason)
                    .ran(Ran::Unknown)
                    .retry_after(Duration::from_secs(1)))
            }
        }
    }

    /// Sends a call that must not be repeated: intent in the log, one sending, outcome in the log.
    async fn run_once(
        &self,
        work: &Work,
        invocation: &Invocation,
        operation: &Operation,
        lease: Lease,
    ) -> Result<Answer, Failure> {
        let Run {
            program,
            call,
            digest,
            ..
        } = *work.run.as_ref();
        work.run.stage.set("journal_intent");
        let target = format!("{}/{}", invocation.service, invocation.operation);
        let intent = Body::Intent {
            program,
            call,
            digest,
            target,
        };
        let recorded = self.recorded(work, intent).await;
        let read_back = Instant::now();
        if let Err(failure) = recorded {
            // The intent may still reach the log. Only this process could send it, and it will
            // not: it says so, in the stream right behind the intent.
            let _ = self.push(program.shard(), work.epoch, Body::Dropped { program, call });
            return Err(failure);
        }
        // A process that was paused here may have been succeeded by another that has told the
        // caller "unknown". That stays true, but nothing is to be sent late.
        if work.run.cancel.is_cancelled() || read_back.elapsed() > SEND_WINDOW {
            self.recorded(work, Body::Dropped { program, call }).await?;
            return Err(
                Failure::refused(Code::DeadlinePassed, "not sent within its window")
                    .retry_after(Duration::from_millis(500)),
            );
        }
        work.run.stage.set("send");
        let key = format!("{program}/{call}");
        let address = lease.grant.address;
        let reply = self
            .services
            .call(address, invocation, &key, operation.timeout())
            .await;
        lease
            .done(Outcome {
                failed: reply.is_err(),
                ..Outcome::default()
            })
            .await;
        work.run.stage.set("journal_done");
        match reply {
            Ok(backend::Reply { status, body }) => {
                self.finish(work, Vec::new(), Answer::Service { status, body })
                    .await
            }
            Err(backend::Broken {
                sent: false,
                reason,
            }) => {
                self.recorded(work, Body::Dropped { program, call }).await?;
                Err(Failure::refused(Code::ServiceFailed, reason)
                    .retry_after(Duration::from_secs(1)))
            }
            Err(backend::Broken { sent: true, reason }) => {
                self.finish(work, Vec::new(), Answer::Unknown { message: reason })
                    .await
            }
        }
    }

    async fn run_spawn(&self, work: &Work, spawn: Spawn) -> Result<Answer, Failure> {
        let Run {
            program,
            call,
            digest,
            ..
        } = *work.run.as_ref();
        let Spawn { class, budget } = spawn;
        self.context.config.borrow().class(&class)?;
        {
            let shards = self.shards.borrow();
            let held = shards
                .get(&program.shard())
                .ok_or_else(|| not_owner(program.shard()))?;
            let parent = held.table.get(program)?;
            parent.afford(budget.tokens, 1 + budget.calls.unwrap_or(0))?;
            if parent.depth >= work.class.depth {
                return Err(Failure::refused(
                    Code::DepthLimit,
                    Code::DepthLimit.meaning(),
                ));
            }
            if parent.children.len() >= work.class.children {
                return Err(Failure::refused(
                    Code::ChildLimit,
                    Code::ChildLimit.meaning(),
                ));
            }
        }
        let child = Program::new(program.shard(), rand::random());
        let at_ms = wall_ms();
        let body = Body::Spawned {
            program,
            call,
            digest,
            child,
            class,
            budget,
            at_ms,
        };
        self.recorded(work, body).await?;
        Ok(Answer::Spawned { child })
    }

    fn afford_call(&self, id: Program) -> Result<(), Failure> {
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        held.table.get(id)?.afford(Tokens(0), 1)
    }

    fn service_ask(&self, work: &Work) -> Result<Ask, Failure> {
        let id = work.run.program;
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program: &program::Program = held.table.get(id)?;
        let elapsed = wall_ms().saturating_sub(program.opened_ms);
        let target = i64::try_from(work.class.target_ms).unwrap_or(i64::MAX);
        Ok(Ask {
            program: id,
            class: Some(program.class.clone()),
            slack_ms: target.saturating_sub(i64::try_from(elapsed).unwrap_or(i64::MAX)),
            prompt: Tokens(0),
            max_tokens: Tokens(0),
            resident: Vec::new(),
            avoid: Vec::new(),
            zone: Some(self.context.zone.clone()),
        })
    }

    fn cancelled(&self, work: &Work) -> Failure {
        let shard = work.run.program.shard();
        match self.epoch(shard) {
            Ok(epoch) if epoch == work.epoch => {
                Failure::refused(Code::ProgramEnded, "the program has ended").ran(Ran::Unknown)
            }
            _ => not_owner(shard),
        }
    }
}

enum Broken {
    Cancelled,
    Failed(String, Tokens),
}
