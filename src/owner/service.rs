//! A call of a plain service, and what keeps one that must not be repeated to one sending.

use super::duty::{Owner, not_owner, wall_ms};
use super::run::{Run, Work};
use crate::backend;
use crate::code::{Code, Failure, Ran};
use crate::config::{Mode, Operation};
use crate::dispatch::{Key, Lease};
use crate::id::{Program, Tokens};
use crate::journal::Body;
use crate::policy::{Ask, Outcome};
use crate::program::{self, Answer, Invocation};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time between the read-back of an intent and its sending, past which it is dropped.
const SEND_WINDOW: Duration = Duration::from_millis(500);

impl Owner {
    pub(super) async fn run_service(
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
}
