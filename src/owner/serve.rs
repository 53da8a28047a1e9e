//! One request of a caller, from admission to its final frame.

use super::duty::{Owner, not_owner};
use super::run::Run;
use super::{Ask, Frame, Position, Request};
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
    pub(super) async fn serve(self: Rc<Self>, ask: Ask) {
        let Ask {
            request,
            frames,
            until,
        } = ask;
        let answer = match request {
            Request::Open { key, class, budget } => {
                let owner = self.clone();
                let open = async move { owner.open(key, class, budget).await };
                bounded(until, Ran::Unknown, detached(open)).await
            }
            Request::Call {
                program,
                call,
                request,
                from,
            } => {
                self.call(program, call, request, from, &frames, until)
                    .await
            }
            Request::Read {
                program,
                call,
                from,
            } => self.read(program, call, from, &frames, until).await,
            Request::End { program } => {
                let owner = self.clone();
                let end = async move { owner.end(program, None).await };
                bounded(until, Ran::Unknown, detached(end)).await
            }
            Request::Look { program } => self.look(program),
        };
        let last = match answer {
            Ok(body) => Frame::Final(body),
            Err(failure) => Frame::Failed(failure),
        };
        let _ = frames.send(last).await;
    }

    async fn open(&self, key: String, class: Class, budget: Budget) -> Result<Value, Failure> {
        let shard = shard_of(&key, self.context.shards);
        self.context.config.borrow().class(&class)?;
        let gate = format!("open/{key}");
        loop {
            let changed = self.changed.notified();
            let epoch = self.epoch(shard)?;
            if let Some(opened) = self.opened(&key, &class, budget)? {
                return Ok(json!({ "program": opened }));
            }
            if !self.busy.borrow_mut().insert(gate.clone()) {
                changed.await;
                continue;
            }
            let opened = self.open_new(shard, epoch, key, class, budget).await;
            self.busy.borrow_mut().remove(&gate);
            self.changed.notify_waiters();
            return opened;
        }
    }

    fn opened(&self, key: &str, class: &Class, budget: Budget) -> Result<Option<Program>, Failure> {
        let shard = shard_of(key, self.context.shards);
        let shards = self.shards.borrow();
        let found = shards.get(&shard).and_then(|held| held.table.by_key(key));
        let Some(program) = found else {
            return Ok(None);
        };
        if program.class == *class && program.budget == budget {
            return Ok(Some(program.id));
        }
        Err(Failure::refused(
            Code::KeyConflict,
            "the key opened another program",
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
        let open: usize = self
            .shards
            .borrow()
            .values()
            .map(|held| held.table.open_count())
            .sum();
        if open >= self.context.max_programs {
            let message = format!("{open} programs are open");
            return Err(Failure::refused(Code::TooManyPrograms, message)
                .retry_after(Duration::from_secs(2)));
        }
        self.gate(&class, open)?;
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
        self.opened_program(program, &opened_class);
        Ok(json!({ "program": program }))
    }

    async fn call(
        self: &Rc<Self>,
        id: Program,
        call: Call,
        request: program::Request,
        from: Position,
        frames: &mpsc::Sender<Frame>,
        until: Instant,
    ) -> Result<Value, Failure> {
        let digest = request.digest();
        loop {
            let changed = self.changed.notified();
            let epoch = self.epoch(id.shard())?;
            match self.admit(id, call, digest)? {
                Admission::Answered(answer) => return answer.body(call),
                Admission::Refuse(failure) => return Err(failure),
                Admission::Run => match self.running(id, call, digest)? {
                    Some(run) => return run.attend(from, frames, until).await,
                    None if self.starts(id)? => {
                        self.start_run(id, call, digest, &request, epoch, until);
                    }
                    None => wait(changed, until, self.may_have_run(id, call)).await?,
                },
                Admission::Wait => wait(changed, until, Ran::No).await?,
            }
        }
    }

    fn admit(&self, id: Program, call: Call, digest: Digest) -> Result<Admission, Failure> {
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        Ok(held.table.get(id)?.admit(call, digest))
    }

    /// The run of this call, if it is under way.
    fn running(&self, id: Program, call: Call, digest: Digest) -> Result<Option<Rc<Run>>, Failure> {
        let runs = self.runs.borrow();
        let Some(run) = runs.get(&id) else {
            return Ok(None);
        };
        if run.call == call && run.digest != digest {
            let message = format!("call {call} is running with another body");
            return Err(Failure::refused(Code::CallConflict, message));
        }
        Ok((run.call == call).then(|| run.clone()))
    }

    /// Whether a new run may start: the shard stays here and nothing of the program is under way.
    ///
    /// An open intent counts as under way: a VM that has just taken the shard over finds the
    /// intent of the former owner, and has first to record its outcome as unknown. A run started
    /// before that would send the call a second time.
    fn starts(&self, id: Program) -> Result<bool, Failure> {
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .filter(|held| !held.leaving)
            .ok_or_else(|| not_owner(id.shard()))?;
        let open = held.table.get(id)?.intent.is_some();
        let busy = self.busy.borrow();
        let ending = held
            .table
            .lineage(id)
            .into_iter()
            .any(|id| busy.contains(&end_gate(id)));
        Ok(!open && !ending && !self.runs.borrow().contains_key(&id))
    }

    /// What can be said of a call that waits behind an open intent.
    fn may_have_run(&self, id: Program, call: Call) -> Ran {
        let shards = self.shards.borrow();
        let program = shards
            .get(&id.shard())
            .and_then(|held| held.table.get(id).ok());
        let intent = program.and_then(|program| program.intent.as_ref());
        if intent.is_some_and(|intent| intent.call == call) {
            Ran::Unknown
        } else {
            Ran::No
        }
    }

    async fn read(
        self: &Rc<Self>,
        id: Program,
        call: Call,
        from: Position,
        frames: &mpsc::Sender<Frame>,
        until: Instant,
    ) -> Result<Value, Failure> {
        self.epoch(id.shard())?;
        let running = self
            .runs
            .borrow()
            .get(&id)
            .filter(|run| run.call == call)
            .cloned();
        if let Some(run) = running {
            return run.attend(from, frames, until).await;
        }
        let answer = self.kept(id, call)?;
        answer.body(call)
    }

    pub(super) fn kept(&self, id: Program, call: Call) -> Result<Answer, Failure> {
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let index = usize::try_from(call.0)
            .unwrap_or(usize::MAX)
            .wrapping_sub(1);
        let kept = held
            .table
            .get(id)?
            .answered
            .get(index)
            .map(|kept| kept.answer.clone());
        kept.ok_or_else(|| {
            let message = format!("call {call} has no answer and does not run; make it again");
            Failure::refused(Code::UnknownCall, message)
        })
    }

    /// Ends a program and all that it has spawned: their runs are cancelled, unless they must not
    /// be repeated; those are waited for.
    pub(super) async fn end(
        self: &Rc<Self>,
        id: Program,
        reason: Option<Code>,
    ) -> Result<Value, Failure> {
        loop {
            let changed = self.changed.notified();
            let epoch = self.epoch(id.shard())?;
            if self.ended(id)? {
                return self.account(id);
            }
            if !self.quiet(id) || !self.busy.borrow_mut().insert(end_gate(id)) {
                changed.await;
                continue;
            }
            let body = Body::Ended {
                program: id,
                reason,
                at_ms: wall_ms(),
            };
            let ended = self.append(id.shard(), epoch, body).await;
            self.busy.borrow_mut().remove(&end_gate(id));
            self.changed.notify_waiters();
            ended?;
            let (now, whole) = (Instant::now(), reason.is_none());
            self.forecast.borrow_mut().record_end(now, id, whole);
        }
    }

    /// Cancels the runs of a program and of all that it has spawned; true once there is none.
    ///
    /// A child that was ended with a call under way would lose its answer: the record of the
    /// answer comes behind the end and counts for nothing.
    fn quiet(&self, id: Program) -> bool {
        let shards = self.shards.borrow();
        let Some(held) = shards.get(&id.shard()) else {
            return true;
        };
        let runs = self.runs.borrow();
        let mut quiet = true;
        for program in held.table.subtree(id) {
            if let Some(run) = runs.get(&program) {
                run.cancel.cancel();
                quiet = false;
            }
            // A child may have been forgotten.
            let state = held.table.get(program);
            quiet &= state.map_or(true, |state| state.intent.is_none());
        }
        quiet
    }

    fn ended(&self, id: Program) -> Result<bool, Failure> {
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        Ok(held.table.get(id)?.is_ended())
    }

    fn account(&self, id: Program) -> Result<Value, Failure> {
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program = held.table.get(id)?;
        Ok(json!({
            "program": id,
            "calls": program.answered.len(),
            "tokens": program.used_tokens(),
            "budget": program.budget,
            "ended_with": program.reason,
        }))
    }

    fn look(&self, id: Program) -> Result<Value, Failure> {
        self.epoch(id.shard())?;
        let running = self.runs.borrow().get(&id).map(|run| run.state());
        let shards = self.shards.borrow();
        let held = shards
            .get(&id.shard())
            .ok_or_else(|| not_owner(id.shard()))?;
        let program = held.table.get(id)?;
        Ok(json!({
            "program": id,
            "owner": self.context.me,
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

/// Held while a program is being ended, so that no run of it starts.
fn end_gate(id: Program) -> String {
    format!("end/{id}")
}

/// Waits for a change, up to `until`.
async fn wait(changed: impl Future<Output = ()>, until: Instant, ran: Ran) -> Result<(), Failure> {
    timeout_at(until, changed).await.map_err(|_| passed(ran))
}

/// Runs on when its caller's deadline has passed: what it has appended may still count, and until
/// that is known its gate has to stay closed.
async fn detached(
    work: impl Future<Output = Result<Value, Failure>> + 'static,
) -> Result<Value, Failure> {
    spawn_local(work).await.unwrap_or_else(|error| {
        Err(Failure::refused(Code::Internal, error.to_string()).ran(Ran::Unknown))
    })
}

async fn bounded<T>(
    until: Instant,
    ran: Ran,
    work: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    timeout_at(until, work)
        .await
        .unwrap_or_else(|_| Err(passed(ran)))
}

/// The failure of a request whose deadline passed.
pub(super) fn passed(ran: Ran) -> Failure {
    Failure::refused(
        Code::DeadlinePassed,
        "the deadline passed; ask again for the same call",
    )
    .ran(ran)
    .retry_after(Duration::from_millis(500))
}
