//! What an owner does unasked: evictions, limits in time, forgetting, open intents.

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

/// Steps of care that one tick starts at most.
const STEPS: usize = 64;

/// One thing to do for a program.
enum Step {
    Evict(Program, Server, Option<SocketAddr>),
    Expire(Program),
    Forget(Program),
    Settle(Program, Intent),
}

impl Owner {
    /// Starts what is due for the shards that this VM owns.
    pub(super) fn care(self: &Rc<Self>) {
        for (shard, epoch, step) in self.due() {
            let gate = match &step {
                Step::Evict(program, server, _) => format!("evict/{program}/{server}"),
                Step::Expire(program) => format!("expire/{program}"),
                Step::Forget(program) => format!("forget/{program}"),
                Step::Settle(program, _) => format!("settle/{program}"),
            };
            if !self.busy.borrow_mut().insert(gate.clone()) {
                continue;
            }
            let owner = self.clone();
            spawn_local(async move {
                owner.step(shard, epoch, step).await;
                owner.busy.borrow_mut().remove(&gate);
            });
        }
    }

    fn due(&self) -> Vec<(Shard, Epoch, Step)> {
        let now = wall_ms();
        let shards = self.shards.borrow();
        let mut due = Vec::new();
        for (shard, held) in shards.iter() {
            let Some(epoch) = held.epoch.filter(|_| !held.leaving) else {
                continue;
            };
            for program in held.table.iter() {
                for step in self.steps(program, now) {
                    due.push((*shard, epoch, step));
                }
                if due.len() >= STEPS {
                    return due;
                }
            }
        }
        due
    }

    fn steps(&self, program: &program::Program, now: u64) -> Vec<Step> {
        if let Some(intent) = &program.intent
            && !program.is_ended()
            && !self.runs.borrow().contains_key(&program.id)
        {
            return vec![Step::Settle(program.id, intent.clone())];
        }
        let config = self.context.config.borrow();
        let class = config.class(&program.class).ok();
        let Some(ended) = program.ended_ms else {
            let limit = class.map_or(u64::MAX, |class| class.limit_ms);
            let late = now.saturating_sub(program.opened_ms) > limit;
            return if late {
                vec![Step::Expire(program.id)]
            } else {
                Vec::new()
            };
        };
        if program.resident.is_empty() {
            let keep = class.map_or(0, |class| class.keep_ms);
            let over = now.saturating_sub(ended) > keep;
            return if over {
                vec![Step::Forget(program.id)]
            } else {
                Vec::new()
            };
        }
        let find = |server: &Server| {
            let mut engines = config.pools.values().flat_map(|pool| &pool.engines);
            engines
                .find(|engine| engine.name == *server)
                .map(|engine| engine.address)
        };
        let servers = program.resident.iter();
        servers
            .map(|server| Step::Evict(program.id, server.clone(), find(server)))
            .collect()
    }

    async fn step(self: &Rc<Self>, shard: Shard, epoch: Epoch, step: Step) {
        let body = match step {
            Step::Expire(program) => {
                event!(warn, "program_expired", program = program);
                let _ = self.end(program, Some(Code::TimeLimit)).await;
                return;
            }
            Step::Forget(program) => Body::Forgotten { program },
            Step::Settle(program, intent) => unknown(program, intent),
            Step::Evict(program, server, address) => {
                // An engine that is no longer configured holds nothing that could be asked for.
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

/// The outcome of a call that a former owner had sent or was about to send: unknown.
///
/// The former owner may have died before sending, or after the effect; from the log alone both
/// look alike, so the call is never sent again.
fn unknown(program: Program, intent: Intent) -> Body {
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
