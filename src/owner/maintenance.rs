//! Background work for owned shards: evictions, time limits, removal of ended programs, and open intents.

use super::duty::Owner;
use crate::clock::wall_ms;
use crate::code::Code;
use crate::id::{Epoch, Program, Server, Shard};
use crate::journal::Body;
use crate::program::{self, Answer, Intent};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Most steps that one tick starts.
const MAX_STEPS_PER_TICK: usize = 64;

/// A background step for one program.
enum Step {
    Evict(Program, Server, Option<SocketAddr>),
    Expire(Program),
    Remove(Program),
    RecordUnknown(Program, Intent),
}

impl Owner {
    /// Starts the steps that are due for the shards that this VM owns.
    pub(super) fn start_due_steps(self: &Rc<Self>) {
        for (shard, epoch, step) in self.due_steps() {
            let key = match &step {
                Step::Evict(program, server, _) => format!("evict/{program}/{server}"),
                Step::Expire(program) => format!("expire/{program}"),
                Step::Remove(program) => format!("forget/{program}"),
                Step::RecordUnknown(program, _) => format!("settle/{program}"),
            };
            if !self.in_progress.borrow_mut().insert(key.clone()) {
                continue;
            }
            let owner = self.clone();
            spawn_local(async move {
                owner.run_step(shard, epoch, step).await;
                owner.in_progress.borrow_mut().remove(&key);
            });
        }
    }

    fn due_steps(&self) -> Vec<(Shard, Epoch, Step)> {
        let now = wall_ms();
        let shards = self.shards.borrow();
        let mut due = Vec::new();
        for (shard, state) in shards.iter() {
            let Some(epoch) = state.epoch.filter(|_| !state.releasing) else {
                continue;
            };
            for program in state.table.iter() {
                for step in self.steps_for(program, now) {
                    due.push((*shard, epoch, step));
                }
                if due.len() >= MAX_STEPS_PER_TICK {
                    return due;
                }
            }
        }
        due
    }

    fn steps_for(&self, program: &program::Program, now: u64) -> Vec<Step> {
        if let Some(intent) = &program.intent
            && !program.is_ended()
            && !self.runs.borrow().contains_key(&program.id)
        {
            return vec![Step::RecordUnknown(program.id, intent.clone())];
        }
        let config = self.context.config.borrow();
        let class = config.class(&program.class).ok();
        let Some(ended) = program.ended_ms else {
            let limit = class.map_or(u64::MAX, |class| class.limit_ms);
            let overdue = now.saturating_sub(program.opened_ms) > limit;
            return if overdue {
                vec![Step::Expire(program.id)]
            } else {
                Vec::new()
            };
        };
        if program.resident.is_empty() {
            let keep = class.map_or(0, |class| class.keep_ms);
            let expired = now.saturating_sub(ended) > keep;
            return if expired {
                vec![Step::Remove(program.id)]
            } else {
                Vec::new()
            };
        }
        let address_of = |server: &Server| {
            let mut engines = config.pools.values().flat_map(|pool| &pool.engines);
            engines
                .find(|engine| engine.name == *server)
                .map(|engine| engine.address)
        };
        let servers = program.resident.iter();
        servers
            .map(|server| Step::Evict(program.id, server.clone(), address_of(server)))
            .collect()
    }

    async fn run_step(self: &Rc<Self>, shard: Shard, epoch: Epoch, step: Step) {
        let body = match step {
            Step::Expire(program) => {
                event!(warn, "program_expired", program = program);
                let _ = self.end(program, Some(Code::TimeLimit)).await;
                return;
            }
            Step::Remove(program) => Body::Forgotten { program },
            Step::RecordUnknown(program, intent) => unknown_outcome(program, intent),
            Step::Evict(program, server, address) => {
                // A server that is no longer configured can't be asked to evict.
                if let Some(address) = address
                    && let Err(fault) = self.engines.evict(address, &program.to_string()).await
                {
                    event!(
                        warn,
                        "evict_failed",
                        program = program,
                        server = server,
                        reason = fault
                    );
                    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
                    return;
                }
                self.context.metrics.evictions.add(1, &[]);
                Body::Evicted { program, server }
            }
        };
        let _ = self.append(shard, epoch, body).await;
    }
}

/// Record of an unknown outcome for a call whose intent a previous owner left open.
///
/// The log does not show whether the previous owner failed before or after it sent the call, so the call is
/// never sent again.
fn unknown_outcome(program: Program, intent: Intent) -> Body {
    let Intent {
        call,
        digest,
        target,
    } = intent;
    event!(warn, "outcome_unknown", program = program, call = call);
    let message = format!("the VM that sent {target} was lost before its reply");
    Body::Done {
        program,
        call,
        digest,
        messages: Vec::new(),
        answer: Answer::Unknown { message },
    }
}
