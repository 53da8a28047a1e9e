//! Runs a service call. A call that must not be repeated is sent at most once.

use super::duty::{Owner, Receipt, not_owner};
use super::run::{Job, Run, log_unavailable};
use crate::backend;
use crate::code::{Code, Failure, Ran};
use crate::config::{Mode, Operation};
use crate::dispatch::{Key, Lease};
use crate::effect::{Action, Effect, Event};
use crate::id::{Program, Tokens};
use crate::journal::Body;
use crate::ownership::Validity;
use crate::policy::{Outcome, Request};
use crate::program::{self, Answer, Invocation};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A call whose intent is not in the log by this time before its caller's deadline is refused as not run.
const INTENT_MARGIN: Duration = Duration::from_millis(100);

impl Owner {
    pub(super) async fn run_service(
        self: &Rc<Self>,
        job: &Job,
        invocation: Invocation,
    ) -> Result<Answer, Failure> {
        let Invocation {
            service, operation, ..
        } = &invocation;
        let operation_config = self
            .context
            .config
            .borrow()
            .operation(service, operation)
            .map(|(_, operation)| operation.clone())?;
        self.check_call_budget(job.run.program)?;
        let key = Key::Service(service.clone());
        let request = self.service_request(job)?;
        job.run.stage.set("permit");
        let lease = self.acquire_permit(job, &key, &request).await?;
        if operation_config.mode == Mode::Once {
            return self
                .run_once(job, &invocation, &operation_config, lease)
                .await;
        }
        job.run.stage.set("send");
        let call_key = format!("{}/{}", job.run.program, job.run.call);
        let address = lease.grant.address;
        let sending =
            self.services
                .call(address, &invocation, &call_key, operation_config.timeout());
        let earlier_sent = job.run.sent.replace(true);
        let reply = tokio::select! {
            reply = sending => reply,
            () = job.run.cancel.cancelled() => return Err(self.cancellation_failure(job)),
        };
        lease
            .finish(Outcome {
                failed: reply.is_err(),
                ..Outcome::default()
            })
            .await;
        match reply {
            Ok(backend::Reply { status, body }) => {
                self.record_answer(job, Vec::new(), Answer::Service { status, body })
                    .await
            }
            Err(backend::ServiceError { maybe_sent, reason }) => {
                job.run.sent.set(earlier_sent || maybe_sent);
                Err(Failure::refused(Code::ServiceFailed, reason)
                    .retry_after(Duration::from_secs(1)))
            }
        }
    }

    /// Runs a call that must not be repeated: records the intent, sends once, records the outcome.
    async fn run_once(
        &self,
        job: &Job,
        invocation: &Invocation,
        operation: &Operation,
        lease: Lease,
    ) -> Result<Answer, Failure> {
        let mut effect = Effect::default();
        job.run.stage.set("journal_intent");
        let event = self.append_intent(job, invocation).await?;
        match effect.handle(event) {
            Action::Send => {}
            Action::DropIntent => {
                return self.drop_intent(job, self.unsent_failure(job, event)).await;
            }
            _ => return Err(not_owner(job.run.program.shard())),
        }
        job.run.stage.set("send");
        job.run.sent.set(true);
        let key = format!("{}/{}", job.run.program, job.run.call);
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
        job.run.stage.set("journal_done");
        let event = match &reply {
            Ok(_) => Event::Replied,
            Err(error) => Event::Failed {
                maybe_sent: error.maybe_sent,
            },
        };
        let answer = match (effect.handle(event), reply) {
            (Action::Record, Ok(backend::Reply { status, body })) => {
                Answer::Service { status, body }
            }
            (Action::DropIntent, Err(error)) => {
                job.run.sent.set(false);
                let failure = Failure::refused(Code::ServiceFailed, error.reason);
                return self
                    .drop_intent(job, failure.retry_after(Duration::from_secs(1)))
                    .await;
            }
            (_, Err(error)) => Answer::Unknown {
                message: error.reason,
            },
            (_, Ok(_)) => Answer::Unknown {
                message: "the reply came too late".to_owned(),
            },
        };
        self.record_answer(job, Vec::new(), answer).await
    }

    /// Appends the intent and waits until it is read back.
    async fn append_intent(&self, job: &Job, invocation: &Invocation) -> Result<Event, Failure> {
        let run = &job.run;
        let intent = Body::Intent {
            program: run.program,
            call: run.call,
            digest: run.digest,
            target: format!("{}/{}", invocation.service, invocation.operation),
        };
        let pending = self.submit(run.program.shard(), job.epoch, intent)?;
        // Before the caller's own deadline, after which the answer could only be "unknown".
        let intent_deadline = job
            .caller_deadline
            .checked_sub(INTENT_MARGIN)
            .unwrap_or(job.caller_deadline);
        let receipt = tokio::select! {
            biased;
            receipt = pending => receipt,
            () = run.cancel.cancelled() => return Ok(Event::Cancelled),
            () = tokio::time::sleep_until(intent_deadline) => return Ok(Event::Cancelled),
        };
        let Receipt { validity, asked } =
            receipt.map_err(|_| Failure::refused(Code::Internal, "the owner was restarted"))?;
        // A takeover may have been read with the intent; the new owner then decides on the call.
        let owned = self.owns_since(run.program.shard(), job.epoch);
        let valid = validity == Validity::Valid && owned && self.is_intent_open(run);
        let now = Instant::now();
        Ok(Event::IntentRead {
            valid,
            requested_at: asked,
            now,
        })
    }

    /// Whether this call's intent is the open intent of the program.
    ///
    /// A valid intent may follow the outcome that this VM recorded for the call when it took the shard over; if it
    /// were sent then, the call could take effect twice.
    fn is_intent_open(&self, run: &Run) -> bool {
        let shards = self.shards.borrow();
        let state = shards.get(&run.program.shard());
        let program = state.and_then(|state| state.table.get(run.program).ok());
        let intent = program.and_then(|program| program.intent.as_ref());
        intent.is_some_and(|intent| intent.call == run.call && intent.digest == run.digest)
    }

    /// Failure of a call whose intent was dropped before it was sent.
    fn unsent_failure(&self, job: &Job, event: Event) -> Failure {
        if matches!(event, Event::IntentRead { .. }) {
            let message = "the call could not be sent in time";
            return Failure::refused(Code::DeadlinePassed, message)
                .retry_after(Duration::from_millis(500));
        }
        if job.run.cancel.is_cancelled() {
            return self.cancellation_failure(job).ran(Ran::No);
        }
        log_unavailable()
    }

    /// Refuses the call at once, but keeps it running until the drop is in the log: another call of the program
    /// would find the intent still open.
    async fn drop_intent(&self, job: &Job, failure: Failure) -> Result<Answer, Failure> {
        let (program, call) = (job.run.program, job.run.call);
        job.run.stage.set("journal_dropped");
        job.run.set_result(Err(failure.clone()));
        let dropped = Body::Dropped { program, call };
        self.append_retrying(program.shard(), job.epoch, dropped)
            .await?;
        Err(failure)
    }

    fn check_call_budget(&self, id: Program) -> Result<(), Failure> {
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        state.table.get(id)?.check_budget(Tokens(0), 1)
    }

    fn service_request(&self, job: &Job) -> Result<Request, Failure> {
        let id = job.run.program;
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program: &program::Program = state.table.get(id)?;
        let urgency = self.urgency(program, &job.class);
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
