//! A call of a plain service, and what keeps one that must not be repeated to one sending.

use super::duty::{Owner, Receipt, not_owner};
use super::run::{Run, Work, unavailable};
use crate::backend;
use crate::code::{Code, Failure, Ran};
use crate::config::{Mode, Operation};
use crate::dispatch::{Key, Lease};
use crate::effect::{Action, Effect, Event};
use crate::id::{Program, Tokens};
use crate::journal::Body;
use crate::ownership::Verdict;
use crate::policy::{Outcome, Request};
use crate::program::{self, Answer, Invocation};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long before its caller's deadline a call that is not in the log is refused as not run.
const MARGIN: Duration = Duration::from_millis(100);

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
        let before = work.run.sent.replace(true);
        let reply = tokio::select! {
            reply = sending => reply,
            () = work.run.cancel.cancelled() => return Err(self.cancelled(work)),
        };
        lease
            .finish(Outcome {
                failed: reply.is_err(),
                ..Outcome::default()
            })
            .await;
        match reply {
            Ok(backend::Reply { status, body }) => {
                self.finish(work, Vec::new(), Answer::Service { status, body })
                    .await
            }
            Err(backend::ServiceError { maybe_sent, reason }) => {
                work.run.sent.set(before || maybe_sent);
                Err(Failure::refused(Code::ServiceFailed, reason)
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
        let mut effect = Effect::default();
        work.run.stage.set("journal_intent");
        let event = self.intend(work, invocation).await?;
        match effect.handle(event) {
            Action::Send => {}
            Action::DropIntent => return self.drop_intent(work, self.unsent(work, event)).await,
            _ => return Err(not_owner(work.run.program.shard())),
        }
        work.run.stage.set("send");
        work.run.sent.set(true);
        let key = format!("{}/{}", work.run.program, work.run.call);
        let address = lease.grant.address;
        let sending = self
            .services
            .call(address, invocation, &key, operation.timeout());
        let reply = sending.await;
        let failed = reply.is_err();
        lease
            .finish(Outcome {
                failed,
                ..Outcome::default()
            })
            .await;
        work.run.stage.set("journal_done");
        let event = match &reply {
            Ok(_) => Event::Replied,
            Err(broken) => Event::Failed {
                maybe_sent: broken.maybe_sent,
            },
        };
        let answer = match (effect.handle(event), reply) {
            (Action::Record, Ok(backend::Reply { status, body })) => {
                Answer::Service { status, body }
            }
            (Action::DropIntent, Err(broken)) => {
                work.run.sent.set(false);
                let failure = Failure::refused(Code::ServiceFailed, broken.reason);
                return self
                    .drop_intent(work, failure.retry_after(Duration::from_secs(1)))
                    .await;
            }
            (_, Err(broken)) => Answer::Unknown {
                message: broken.reason,
            },
            (_, Ok(_)) => Answer::Unknown {
                message: "the reply came too late".to_owned(),
            },
        };
        self.finish(work, Vec::new(), answer).await
    }

    /// Appends the intent and waits until it has been read back.
    async fn intend(&self, work: &Work, invocation: &Invocation) -> Result<Event, Failure> {
        let run = &work.run;
        let intent = Body::Intent {
            program: run.program,
            call: run.call,
            digest: run.digest,
            target: format!("{}/{}", invocation.service, invocation.operation),
        };
        let wait = self.push(run.program.shard(), work.epoch, intent)?;
        // Ahead of the caller's own deadline, which could only say "unknown".
        let until = work.asked.checked_sub(MARGIN).unwrap_or(work.asked);
        let receipt = tokio::select! {
            biased;
            receipt = wait => receipt,
            () = run.cancel.cancelled() => return Ok(Event::Cancelled),
            () = tokio::time::sleep_until(until) => return Ok(Event::Cancelled),
        };
        let Receipt { verdict, asked } =
            receipt.map_err(|_| Failure::refused(Code::Internal, "the owner was restarted"))?;
        // A takeover may have been read with the intent: the next owner has its word on the call.
        let held = self.holds(run.program.shard(), work.epoch);
        let valid = verdict == Verdict::Valid && held && self.intends(run);
        let now = Instant::now();
        Ok(Event::IntentRead {
            valid,
            requested_at: asked,
            now,
        })
    }

    /// Whether the program has this run's intent as the open one of its next call.
    ///
    /// A valid intent may stand behind the outcome that this VM gave the call when it took the
    /// shard over; sent then, the call would take effect a second time.
    fn intends(&self, run: &Run) -> bool {
        let shards = self.shards.borrow();
        let held = shards.get(&run.program.shard());
        let program = held.and_then(|held| held.table.get(run.program).ok());
        let intent = program.and_then(|program| program.intent.as_ref());
        intent.is_some_and(|intent| intent.call == run.call && intent.digest == run.digest)
    }

    /// The failure of a call whose intent was dropped before it was sent.
    fn unsent(&self, work: &Work, event: Event) -> Failure {
        if matches!(event, Event::IntentRead { .. }) {
            let message = "not sent within its window";
            return Failure::refused(Code::DeadlinePassed, message)
                .retry_after(Duration::from_millis(500));
        }
        if work.run.cancel.is_cancelled() {
            return self.cancelled(work).ran(Ran::No);
        }
        unavailable()
    }

    /// Refuses the call at once, and keeps its program busy until the log says so too: another
    /// run before that would find the intent open.
    async fn drop_intent(&self, work: &Work, failure: Failure) -> Result<Answer, Failure> {
        let (program, call) = (work.run.program, work.run.call);
        work.run.stage.set("journal_dropped");
        work.run.tell(Err(failure.clone()));
        let dropped = Body::Dropped { program, call };
        self.append_surely(program.shard(), work.epoch, dropped)
            .await?;
        Err(failure)
    }

    fn afford_call(&self, id: Program) -> Result<(), Failure> {
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        held.table.get(id)?.check_budget(Tokens(0), 1)
    }

    fn service_ask(&self, work: &Work) -> Result<Request, Failure> {
        let id = work.run.program;
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program: &program::Program = held.table.get(id)?;
        let urgency = self.urgency(program, &work.class);
        Ok(Request {
            program: id,
            class: Some(program.class.clone()),
            slack_ms: urgency.slack_ms,
            remaining_ms: urgency.remaining_ms,
            prompt: Tokens(0),
            max_tokens: Tokens(0),
            resident: Vec::new(),
            avoid: Vec::new(),
            zone: Some(self.context.zone.clone()),
        })
    }
}
