//! A model call: its reserve in the log, its stream, its settlement.

use super::duty::{Owner, not_owner};
use super::run::Work;
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

/// Engines that one model call may be tried on.
const ATTEMPTS: usize = 3;

enum Broken {
    Cancelled,
    Failed(String),
}

impl Owner {
    pub(super) async fn run_model(
        self: &Rc<Self>,
        work: &Work,
        prompt: Prompt,
    ) -> Result<Answer, Failure> {
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
            if self.is_leaving(&server) {
                // The permit is older than the news; nothing was sent, so it is given back.
                drop(lease);
                self.settled(work, Tokens(0)).await?;
                avoid.push(server);
                continue;
            }
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
                Err(Broken::Failed(reason)) => {
                    event!(warn, "engine_failed", server = server, reason = reason);
                    // The engine may have gone on behind what reached us, up to its bound.
                    self.settled(work, reserve).await?;
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

    async fn settled(&self, work: &Work, tokens: Tokens) -> Result<(), Failure> {
        let (program, call) = (work.run.program, work.run.call);
        let body = Body::Settled {
            program,
            call,
            tokens,
        };
        self.recorded(work, body).await.map(|_| ())
    }

    fn is_leaving(&self, server: &Server) -> bool {
        self.context.view.borrow().leaving.contains(server)
    }

    fn prepare(
        &self,
        work: &Work,
        prompt: &Prompt,
        model: &crate::id::Model,
        avoid: &[Server],
    ) -> Result<(Tokens, Request, backend::Chat), Failure> {
        let id = work.run.program;
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program = held.table.get(id)?;
        let reserve = program.reservation_for(&prompt.messages, prompt.max_tokens)?;
        let messages: Vec<Message> = program
            .history
            .iter()
            .chain(&prompt.messages)
            .cloned()
            .collect();
        let urgency = self.urgency(program, &work.class);
        let bytes: usize = messages.iter().map(|message| message.content.len()).sum();
        let ask = Request {
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
        Ok((reserve, ask, chat))
    }

    async fn stream(
        &self,
        work: &Work,
        lease: Lease,
        chat: &backend::Chat,
    ) -> Result<(Arc<str>, Usage), Broken> {
        let run = &work.run;
        run.sent.set(true);
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
                    streamed.unwrap_or_else(|_| Err(backend::EngineError("the deadline passed".into())))
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
            let fresh = usage.prompt.0.saturating_sub(usage.cached.0);
            let mut forecast = self.forecast.borrow_mut();
            forecast.set_rates(lease.grant.rates);
            let (now, made) = (Instant::now(), usage.completion.0);
            forecast.record_answer(now, run.program, now - sent, fresh, made);
        }
        lease.finish(outcome).await;
        match usage {
            Ok(usage) => Ok((run.deltas.borrow().concat().into(), usage)),
            Err(backend::EngineError(reason)) => Err(Broken::Failed(reason)),
        }
    }
}
