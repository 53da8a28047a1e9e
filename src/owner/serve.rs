//! Handles the requests of callers, from admission to the final frame.

use super::duty::{Owner, not_owner};
use super::run::Run;
use super::{Envelope, Frame, Position, Request};
use crate::clock::wall_ms;
use crate::code::{Code, Failure, Ran};
use crate::id::{Call, Class, Digest, Program, shard_of};
use crate::journal::Body;
use crate::program::{self, Admission, Answer, Budget};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

impl Owner {
    pub(super) async fn serve(self: Rc<Self>, envelope: Envelope) {
        let Envelope {
            request,
            frames,
            deadline,
        } = envelope;
        let response = match request {
            Request::Open { key, class, budget } => {
                let owner = self.clone();
                let open = async move { owner.open(key, class, budget).await };
                with_deadline(deadline, Ran::Unknown, detached(open)).await
            }
            Request::Call {
                program,
                call,
                request,
                from,
            } => {
                self.call(program, call, request, from, &frames, deadline)
                    .await
            }
            Request::Read {
                program,
                call,
                from,
            } => {
                self.read_answer(program, call, from, &frames, deadline)
                    .await
            }
            Request::End { program } => {
                let owner = self.clone();
                let end = async move { owner.end(program, None).await };
                with_deadline(deadline, Ran::Unknown, detached(end)).await
            }
            Request::Look { program } => self.program_state(program),
        };
        let last = match response {
            Ok(body) => Frame::Final(body),
            Err(failure) => Frame::Failed(failure),
        };
        let _ = frames.send(last).await;
    }

    async fn open(&self, key: String, class: Class, budget: Budget) -> Result<Value, Failure> {
        let shard = shard_of(&key, self.context.shards);
        self.context.config.borrow().class(&class)?;
        let operation = format!("open/{key}");
        loop {
            let changed = self.changed.notified();
            let epoch = self.owned_epoch(shard)?;
            if let Some(opened) = self.find_opened(&key, &class, budget)? {
                return Ok(json!({ "program": opened }));
            }
            if !self.in_progress.borrow_mut().insert(operation.clone()) {
                changed.await;
                continue;
            }
            let opened = self.open_new(shard, epoch, key, class, budget).await;
            self.in_progress.borrow_mut().remove(&operation);
            self.changed.notify_waiters();
            return opened;
        }
    }

    fn find_opened(
        &self,
        key: &str,
        class: &Class,
        budget: Budget,
    ) -> Result<Option<Program>, Failure> {
        let shard = shard_of(key, self.context.shards);
        let shards = self.shards.borrow();
        let found = shards.get(&shard).and_then(|state| state.table.by_key(key));
        let Some(program) = found else {
            return Ok(None);
        };
        if program.class == *class && program.budget == budget {
            return Ok(Some(program.id));
        }
        Err(Failure::refused(
            Code::KeyConflict,
            "the key was used to open a program with another class or budget",
        ))
    }

    async fn open_new(
        &self,
        shard: crate::id::Shard,
        epoch: crate::id::Epoch,
        key: String,
        class: Class,
        budget: Budget,
    ) -> Result<Value, Failure> {
        let open_count: usize = self
            .shards
            .borrow()
            .values()
            .map(|state| state.table.open_count())
            .sum();
        if open_count >= self.context.max_programs {
            let message = format!("{open_count} programs are open");
            return Err(Failure::refused(Code::TooManyPrograms, message)
                .retry_after(Duration::from_secs(2)));
        }
        self.check_admission(&class, open_count)?;
        let opened_class = class.clone();
        let program = Program::new(shard, rand::random());
        let body = Body::Opened {
            program,
            key,
            class,
            budget,
            at_ms: wall_ms(),
        };
        self.append(shard, epoch, body).await?;
        self.record_opened(program, &opened_class);
        Ok(json!({ "program": program }))
    }

    async fn call(
        self: &Rc<Self>,
        id: Program,
        call: Call,
        request: program::Request,
        from: Position,
        frames: &mpsc::Sender<Frame>,
        deadline: Instant,
    ) -> Result<Value, Failure> {
        let digest = request.digest();
        loop {
            let changed = self.changed.notified();
            let epoch = self.owned_epoch(id.shard())?;
            match self.admit(id, call, digest)? {
                Admission::Answered(answer) => return answer.body(call),
                Admission::Refuse(failure) => return Err(failure),
                Admission::Run => match self.find_run(id, call, digest)? {
                    Some(run) => return run.follow(from, frames, deadline).await,
                    None if self.can_start(id)? => {
                        self.start_run(id, call, digest, &request, epoch, deadline);
                    }
                    None => wait_for_change(changed, deadline, self.may_have_run(id, call)).await?,
                },
                Admission::Wait => wait_for_change(changed, deadline, Ran::No).await?,
            }
        }
    }

    fn admit(&self, id: Program, call: Call, digest: Digest) -> Result<Admission, Failure> {
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        Ok(state.table.get(id)?.admit(call, digest))
    }

    /// The run of this call, if it is in progress.
    fn find_run(
        &self,
        id: Program,
        call: Call,
        digest: Digest,
    ) -> Result<Option<Rc<Run>>, Failure> {
        let runs = self.runs.borrow();
        let Some(run) = runs.get(&id) else {
            return Ok(None);
        };
        if run.call == call && run.digest != digest {
            let message = format!("call {call} is running with a different body");
            return Err(Failure::refused(Code::CallConflict, message));
        }
        Ok((run.call == call).then(|| run.clone()))
    }

    /// Whether a new run may start: the shard is not being handed over, and no call of the program is in progress.
    ///
    /// An open intent counts as in progress: after a takeover, the outcome of a call of the previous owner must
    /// first be recorded as unknown. A run started before that could send the call a second time.
    fn can_start(&self, id: Program) -> Result<bool, Failure> {
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .filter(|state| !state.releasing)
            .ok_or_else(|| not_owner(id.shard()))?;
        let has_intent = state.table.get(id)?.intent.is_some();
        let in_progress = self.in_progress.borrow();
        let ending = state
            .table
            .lineage(id)
            .into_iter()
            .any(|id| in_progress.contains(&end_key(id)));
        Ok(!has_intent && !ending && !self.runs.borrow().contains_key(&id))
    }

    /// Whether a call that waits for an open intent may have run: the intent may be its own.
    fn may_have_run(&self, id: Program, call: Call) -> Ran {
        let shards = self.shards.borrow();
        let program = shards
            .get(&id.shard())
            .and_then(|state| state.table.get(id).ok());
        let intent = program.and_then(|program| program.intent.as_ref());
        if intent.is_some_and(|intent| intent.call == call) {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    async fn read_answer(
        self: &Rc<Self>,
        id: Program,
        call: Call,
        from: Position,
        frames: &mpsc::Sender<Frame>,
        deadline: Instant,
    ) -> Result<Value, Failure> {
        self.owned_epoch(id.shard())?;
        let running = self
            .runs
            .borrow()
            .get(&id)
            .filter(|run| run.call == call)
            .cloned();
        if let Some(run) = running {
            return run.follow(from, frames, deadline).await;
        }
        let answer = self.stored_answer(id, call)?;
        answer.body(call)
    }

    pub(super) fn stored_answer(&self, id: Program, call: Call) -> Result<Answer, Failure> {
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let index = usize::try_from(call.0)
            .unwrap_or(usize::MAX)
            .wrapping_sub(1);
        let answered = state
            .table
            .get(id)?
            .answered
            .get(index)
            .map(|kept| kept.answer.clone());
        answered.ok_or_else(|| {
            let message =
                format!("call {call} has no stored answer and is not running; send it again");
            Failure::refused(Code::UnknownCall, message)
        })
    }

    /// Ends a program and its descendants. Their runs are cancelled, except calls that must not be repeated, which
    /// are waited for.
    pub(super) async fn end(
        self: &Rc<Self>,
        id: Program,
        reason: Option<Code>,
    ) -> Result<Value, Failure> {
        loop {
            let changed = self.changed.notified();
            let epoch = self.owned_epoch(id.shard())?;
            if self.is_ended(id)? {
                return self.final_summary(id);
            }
            if !self.cancel_subtree(id) || !self.in_progress.borrow_mut().insert(end_key(id)) {
                changed.await;
                continue;
            }
            let body = Body::Ended {
                program: id,
                reason,
                at_ms: wall_ms(),
            };
            let ended = self.append(id.shard(), epoch, body).await;
            self.in_progress.borrow_mut().remove(&end_key(id));
            self.changed.notify_waiters();
            ended?;
            let (now, completed) = (Instant::now(), reason.is_none());
            self.forecast.borrow_mut().record_end(now, id, completed);
        }
    }

    /// Cancels the runs of a program and its descendants; `true` once there is no run and no open intent.
    ///
    /// Ending a program during a call would lose the answer: a record of the answer that follows the end of the
    /// program has no effect.
    fn cancel_subtree(&self, id: Program) -> bool {
        let shards = self.shards.borrow();
        let Some(state) = shards.get(&id.shard()) else {
            return true;
        };
        let runs = self.runs.borrow();
        let mut idle = true;
        for program in state.table.subtree(id) {
            if let Some(run) = runs.get(&program) {
                run.cancel.cancel();
                idle = false;
            }
            // Descendants may already be removed from the table.
            let descendant = state.table.get(program);
            idle &= descendant.map_or(true, |program| program.intent.is_none());
        }
        idle
    }

    fn is_ended(&self, id: Program) -> Result<bool, Failure> {
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        Ok(state.table.get(id)?.is_ended())
    }

    fn final_summary(&self, id: Program) -> Result<Value, Failure> {
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program = state.table.get(id)?;
        Ok(json!({
            "program": id,
            "calls": program.answered.len(),
            "tokens": program.used_tokens(),
            "budget": program.budget,
            "ended_with": program.reason,
        }))
    }

    fn program_state(&self, id: Program) -> Result<Value, Failure> {
        self.owned_epoch(id.shard())?;
        let running = self.runs.borrow().get(&id).map(|run| run.state());
        let shards = self.shards.borrow();
        let state = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program = state.table.get(id)?;
        Ok(json!({
            "program": id,
            "owner": self.context.vm,
            "class": program.class,
            "parent": program.parent,
            "children": program.children,
            "next_call": program.next_call(),
            "running": running,
            "intent": program.intent,
            "ended": program.is_ended(),
            "ended_with": program.reason,
            "budget": program.budget,
            "used": program.used_tokens(),
            "history_messages": program.history.len(),
            "history_bytes": program.history_bytes(),
            "resident": program.resident,
        }))
    }
}

/// Key in `in_progress` while a program is being ended, so that no run of it starts.
fn end_key(id: Program) -> String {
    format!("end/{id}")
}

/// Waits for a change, failing at `deadline`.
async fn wait_for_change(
    changed: impl Future<Output = ()>,
    deadline: Instant,
    ran: Ran,
) -> Result<(), Failure> {
    timeout_at(deadline, changed)
        .await
        .map_err(|_| deadline_passed(ran))
}

/// Runs `operation` to its end even if the caller stops waiting: a record that it appended may still take
/// effect, and its key must stay in `in_progress` until that is known.
async fn detached(
    operation: impl Future<Output = Result<Value, Failure>> + 'static,
) -> Result<Value, Failure> {
    spawn_local(operation).await.unwrap_or_else(|error| {
        Err(Failure::refused(Code::Internal, error.to_string()).ran(Ran::Unknown))
    })
}

async fn with_deadline<T>(
    deadline: Instant,
    ran: Ran,
    operation: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    timeout_at(deadline, operation)
        .await
        .unwrap_or_else(|_| Err(deadline_passed(ran)))
}

pub(super) fn deadline_passed(ran: Ran) -> Failure {
    Failure::refused(
        Code::DeadlinePassed,
        "the deadline passed; retry the same call",
    )
    .ran(ran)
    .retry_after(Duration::from_millis(500))
}
