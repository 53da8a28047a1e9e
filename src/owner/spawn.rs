//! A call that opens a child program.

use super::duty::{Owner, not_owner};
use super::run::{Job, Run};
use crate::clock::wall_ms;
use crate::code::{Code, Failure};
use crate::id::Program;
use crate::journal::Body;
use crate::program::{Answer, Spawn};

impl Owner {
    pub(super) async fn run_spawn(&self, job: &Job, spawn: Spawn) -> Result<Answer, Failure> {
        let Run {
            program,
            call,
            digest,
            ..
        } = *job.run.as_ref();
        let Spawn { class, budget } = spawn;
        self.context.config.borrow().class(&class)?;
        {
            let shards = self.shards.borrow();
            let state = shards
                .get(&program.shard())
                .ok_or_else(|| not_owner(program.shard()))?;
            let parent = state.table.get(program)?;
            // Without a limit, the child could make more calls than its parent has left.
            if parent.budget.calls.is_some() && budget.calls.is_none() {
                let message = "the parent has a call budget, so the child needs one too";
                return Err(Failure::refused(Code::BudgetExceeded, message));
            }
            parent.check_budget(budget.tokens, 1 + budget.calls.unwrap_or(0))?;
            if parent.depth >= job.class.depth {
                return Err(Failure::refused(
                    Code::DepthLimit,
                    Code::DepthLimit.meaning(),
                ));
            }
            if parent.children.len() >= job.class.children {
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
        self.append_by_deadline(job, body).await?;
        Ok(Answer::Spawned { child })
    }
}
