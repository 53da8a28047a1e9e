//! Runs a model call: records the reservation, streams the answer, records the result.

use super::duty::{Owner, not_owner};
use super::run::Job;
use crate::backend;
use crate::code::{Code, Failure, Ran};
use crate::dispatch::{Key, Lease};
use crate::id::{Server, Tokens};
use crate::journal::Body;
use crate::policy::{Outcome, Request};
use crate::program::{Answer, Message, Prompt, Usage};
use crate::telemetry::event;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Most engines that one model call is tried on.
const MAX_ATTEMPTS: usize = 3;

enum StreamError {
    Cancelled,
    Failed(String),
}

impl Owner {
    pub(super) async fn run_model(
        self: &Rc<Self>,
        job: &Job,
        prompt: Prompt,
    ) -> Result<Answer, Failure> {
        let run = &job.run;
        let pool = self
            .context
            .config
            .borrow()
            .pool(prompt.model.as_ref())?
            .clone();
        let key = Key::Model(pool.model.clone());
        let mut avoid = Vec::new();
        loop {
            let (reserve, request, chat) = self.prepare(job, &prompt, &pool.model, &avoid)?;
            run.stage.set("permit");
            let lease = self.acquire_permit(job, &key, &request).await?;
            let server = lease.grant.server.clone();
            run.stage.set("journal_begun");
            // Recorded before anything is sent, so that a successor knows what the attempt may have spent
            // and which engine may cache the program's prompt.
            let begun = Body::Begun {
                program: run.program,
                call: run.call,
                reserve,
                server: server.clone(),
            };
            self.append_by_deadline(job, begun).await?;
            if self.is_draining(&server) {
                // The server started to drain after the permit was granted; nothing was sent yet.
                drop(lease);
                self.settle(job, Tokens(0)).await?;
                avoid.push(server);
                continue;
            }
            run.stage.set("stream");
            match self.stream(job, lease, &chat).await {
                Ok((text, usage)) => {
                    run.stage.set("journal_done");
                    let answer = Answer::Model {
                        text,
                        usage,
                        server,
                    };
                    return self.record_answer(job, prompt.messages, answer).await;
                }
                Err(StreamError::Cancelled) => return Err(self.cancellation_failure(job)),
                Err(StreamError::Failed(reason)) => {
                    event!(warn, "engine_failed", server = server, reason = reason);
                    // The engine may have generated more than was received, up to `max_tokens`.
                    self.settle(job, reserve).await?;
                    avoid.push(server);
                    if avoid.len() >= MAX_ATTEMPTS {
                        return Err(Failure::refused(Code::EngineFailed, reason)
                            .ran(Ran::Yes)
                            .retry_after(Duration::from_secs(1)));
                    }
                    run.restart_stream();
                }
            }
        }
    }

    async fn settle(&self, job: &Job, tokens: Tokens) -> Result<(), Failure> {
        let (program, call) = (job.run.program, job.run.call);
        let body = Body::Settled {
            program,
            call,
            tokens,
        };
        self.append_by_deadline(job, body).await.map(|_| ())
    }

    fn is_draining(&self, server: &Server) -> bool {
        self.context.view.borrow().draining.contains(server)
    }

    fn prepare(
        &self,
        job: &Job,
        prompt: &Prompt,
        model: &crate::id::Model,
        avoid: &[Server],
    ) -> Result<(Tokens, Request, backend::Chat), Failure> {
        let id = job.run.program;
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program = state.table.get(id)?;
        let reserve = program.reservation_for(&prompt.messages, prompt.max_tokens)?;
        let messages: Vec<Message> = program
            .history
            .iter()
            .chain(&prompt.messages)
            .cloned()
            .collect();
        let urgency = self.urgency(program, &job.class);
        let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
        let request = Request {
            program: id,
            class: Some(program.class.clone()),
            slack_ms: urgency.slack_ms,
            remaining_ms: urgency.remaining_ms,
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
            cache_key: id.to_string(),
        };
        Ok((reserve, request, chat))
    }

    async fn stream(
        &self,
        job: &Job,
        lease: Lease,
        chat: &backend::Chat,
    ) -> Result<(Arc<str>, Usage), StreamError> {
        let run = &job.run;
        run.sent.set(true);
        let sent = Instant::now();
        let first_delta = Cell::new(None);
        let delta_count = Cell::new(0);
        let result = {
            let on_delta = |text: Arc<str>| {
                first_delta.set(first_delta.get().or_else(|| Some(Instant::now())));
                delta_count.set(delta_count.get() + 1);
                run.push_delta(text);
            };
            let stream = self.engines.complete(lease.grant.address, chat, on_delta);
            tokio::select! {
                result = timeout_at(job.deadline, stream) => {
                    result.unwrap_or_else(|_| Err(backend::EngineError("the deadline passed".into())))
                }
                // Dropping the request closes the connection, which makes the engine cancel it.
                () = run.cancel.cancelled() => return Err(StreamError::Cancelled),
            }
        };
        let first_delta = first_delta.get().unwrap_or_else(Instant::now);
        let mut outcome = Outcome {
            failed: result.is_err(),
            first_ms: (first_delta - sent).as_secs_f64() * 1000.0,
            rest_ms: first_delta.elapsed().as_secs_f64() * 1000.0,
            completion: Tokens(delta_count.get()),
            ..Outcome::default()
        };
        let usage = result.map(|usage| {
            // An engine may generate more than `max_tokens`; the stream was cut off there, and only the
            // tokens received count.
            Usage {
                completion: Tokens(usage.completion.0.min(chat.max_tokens.0)),
                ..usage
            }
        });
        if let Ok(usage) = &usage {
            outcome.prompt = usage.prompt;
            outcome.cached = usage.cached;
            let uncached = usage.prompt.0.saturating_sub(usage.cached.0);
            let mut forecast = self.forecast.borrow_mut();
            forecast.set_rates(lease.grant.rates);
            let (now, generated) = (Instant::now(), usage.completion.0);
            forecast.record_answer(now, run.program, now - sent, uncached, generated);
        }
        lease.finish(outcome).await;
        match usage {
            Ok(usage) => Ok((run.deltas.borrow().concat().into(), usage)),
            Err(backend::EngineError(reason)) => Err(StreamError::Failed(reason)),
        }
    }
}
